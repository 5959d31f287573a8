//! Callers' requests: admission, waiting, dispatch, the end.

use super::Control;
use crate::call::Call;
use crate::call::Started;
use crate::call::State;
use crate::call::Waiter;
use crate::config::Lane;
use crate::config::Profile;
use crate::effect::Effect;
use crate::event::CallArrived;
use crate::event::CallOutcome;
use crate::event::KeyProof;
use crate::fleet::HealthChange;
use crate::fleet::UncertainRequest;
use crate::ident::CallKey;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::VmKey;
use crate::notice::Notice;
use crate::queue::Class;
use crate::queue::Waiting;
use crate::resource::Resources;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;
use crate::wire::PeerMsg;

/// Wait told to callers when nothing better is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Pause between log lines about one reason for refusing.
const REFUSING_PAUSE: Duration = Duration::from_secs(10);

impl Control {
    pub(super) fn call_arrived(&mut self, arrived: CallArrived) {
        let call = arrived.call;
        match self.admit(&arrived) {
            Ok(c) => self.enter(call, c, &arrived),
            Err(refusal) => self.refuse(call, refusal),
        }
    }

    pub(super) fn call_ended(&mut self, call: CallKey, ended: CallOutcome) {
        let Some(c) = self.calls.open.remove(&call) else {
            return;
        };
        let verdict = match ended {
            CallOutcome::Complete | CallOutcome::Failed => Verdict::Ran,
            CallOutcome::NotRun(_) => Verdict::NotRun,
            CallOutcome::MayHaveRun(_) | CallOutcome::Cut(_) => Verdict::MayHaveRun,
        };
        self.judge(&c, ended);
        self.free_slot(call, &c, verdict);
        match ended {
            CallOutcome::Complete | CallOutcome::Failed | CallOutcome::Cut(_) => {
                self.settle_intent(call, &c, verdict)
            }
            CallOutcome::NotRun(r) => self.retry_or_refuse(call, c, r, verdict),
            CallOutcome::MayHaveRun(r) if c.profile.repeatable => {
                self.retry_or_refuse(call, c, r, verdict);
            }
            CallOutcome::MayHaveRun(reason) => {
                self.settle_intent(call, &c, verdict);
                self.refuse(
                    call,
                    Refusal {
                        verdict,
                        reason,
                        retry_after: None,
                    },
                );
            }
        }
    }

    /// The caller went away; what runs keeps its slot until it ends.
    pub(super) fn call_gone(&mut self, call: CallKey) {
        let waits = self.calls.open.get(&call).is_some_and(waiting);
        if waits {
            self.give_up(call, Refusal::not_run(Reason::Cancelled));
        }
    }

    pub(super) fn expire_calls(&mut self) {
        while let Some((at, call)) = self.calls.by_expiry.first().copied() {
            if at > self.now {
                return;
            }
            let after = self.calls.open.get(&call).map_or(RETRY_AFTER, |c| {
                let class = self.class_of_call(c);
                self.retry_after(c, class)
            });
            self.give_up(call, Refusal::later(Reason::WaitedTooLong, after));
        }
    }

    /// Ends a waiting call with its final answer.
    pub(super) fn give_up(&mut self, call: CallKey, refusal: Refusal) {
        self.take_back(call);
        let Some(c) = self.calls.open.remove(&call) else {
            self.calls.by_expiry.retain(|(_, k)| *k != call);
            return;
        };
        self.stop_waiting(call, &c);
        self.settle_intent(call, &c, Verdict::NotRun);
        self.refuse(call, refusal);
    }

    pub(super) fn refuse(&mut self, call: CallKey, refusal: Refusal) {
        let pause = REFUSING_PAUSE;
        let last = self.refusing.get(&refusal.reason).copied();
        if last.is_none_or(|t| self.now.since(t) > pause) {
            self.refusing.insert(refusal.reason, self.now);
            self.note(Notice::Refusing(refusal.reason));
        }
        self.out.push(Effect::Refuse { call, refusal });
    }

    /// The team of a key that is in force.
    pub(super) fn team_of(&self, key: &KeyProof) -> Option<Name> {
        self.ledger.config.team_of(&key.id, &key.hash).cloned()
    }

    /// Puts an allowed call into the queue.
    pub(super) fn wait_for_slot(&mut self, call: CallKey) {
        let Some(c) = self.calls.open.get_mut(&call) else {
            return;
        };
        c.state = State::Waiting;
        let (team, priority, arrived) = (c.team.clone(), c.profile.priority, c.arrived);
        let class = self.class_of_call(&self.calls.open[&call]);
        self.enqueue(team.as_ref(), class, priority, arrived, Waiter::Own(call));
        self.forwarding.begins(call);
    }

    /// Puts an own or a peer's request into the queue.
    pub(super) fn enqueue(
        &mut self,
        team: Option<&Name>,
        class: Class,
        priority: u8,
        arrived: Time,
        waiter: Waiter,
    ) {
        let team = team.cloned().unwrap_or_default();
        let known = self.ledger.config.teams.get(&team);
        let waiting = Waiting {
            share: known.map_or(1, |t| t.value.share),
            class,
            priority,
            arrived,
        };
        self.calls.queue.push(self.now, &team, waiting, waiter);
    }

    /// The turn that a request waits for.
    pub(super) fn class_of_call(&self, c: &Call) -> Class {
        let run = self.run_of(&c.profile_name, &c.profile);
        self.class_of(c.profile.priority, run)
    }

    /// A slot of a peer was granted.
    ///
    /// It is good for a while from the question that it answers; the peer may
    /// have lost the worker since.
    pub(super) fn slot_granted(&mut self, peer: MemberId, call: CallKey, asked: Time, addr: Name) {
        let limit = self.cfg.timing.grant_validity;
        let now = self.now;
        let state = State::AwaitingPeer { peer, asked };
        let open = self.calls.open.get(&call);
        let wanted = open.is_some_and(|c| c.state == state) && now.since(asked) < limit;
        if !wanted || !self.is_certain() {
            let verdict = Verdict::NotRun;
            self.return_slot(peer, call, asked, verdict);
            return;
        }
        let class = self.class_of_call(&self.calls.open[&call]);
        self.stop_asking(call);
        self.calls
            .queue
            .started_elsewhere(self.now, Waiter::Own(call));
        self.started(call, class, 0);
        let until = asked + limit;
        self.dispatch(call, State::Remote { peer, asked }, addr, until);
    }

    pub(super) fn slot_denied(&mut self, peer: MemberId, call: CallKey, _reason: Reason) {
        let c = self.calls.open.get(&call);
        if c.is_some_and(|c| matches!(c.state, State::AwaitingPeer { peer: p, .. } if p == peer)) {
            self.asked_in_vain(call, peer);
        }
    }

    /// Forgets what a former peer was asked for; what it granted runs on.
    pub(super) fn calls_peer_ended(&mut self, m: MemberId) {
        self.forwarding_peer_ended(m);
    }

    fn admit(&mut self, a: &CallArrived) -> Result<Call, Refusal> {
        if self.stopping.begun() {
            return Err(Refusal::later(Reason::Stopping, RETRY_AFTER));
        }
        if !self.is_certain() {
            return Err(Refusal::later(Reason::Uncertain, RETRY_AFTER));
        }
        let profile = self.profile_of(&a.profile, Lane::Short)?;
        let team = self.team_for(a, &profile)?;
        if !self.fleet.fits_somewhere(&profile.size) {
            return Err(Refusal::not_run(Reason::FitsNowhere));
        }
        if self.calls.queue.len() >= self.cfg.queue_max {
            return Err(Refusal::later(Reason::QueueFull, RETRY_AFTER));
        }
        let longest = self.now + profile.max_wait();
        let c = Call {
            team,
            profile_name: a.profile.clone(),
            arrived: self.now,
            expires: a.deadline.map_or(longest, |d| d.min(longest)),
            state: State::Waiting,
            intent: None,
            attempts: 0,
            refused_by: Default::default(),
            next_peer_request: self.now,
            started: None,
            profile,
        };
        let class = self.class_of_call(&c);
        self.admit_wait(&c, class)?;
        Ok(c)
    }

    /// The profile of a name, if it is of the right kind.
    pub(super) fn profile_of(&self, name: &str, lane: Lane) -> Result<Profile, Refusal> {
        let profile = self.ledger.config.profiles.get(name);
        let fits = profile.filter(|p| (p.value.lane == Lane::Short) == (lane == Lane::Short));
        let found = fits.map(|p| p.value.clone());
        found.ok_or(Refusal::not_run(Reason::ProfileUnknown))
    }

    fn team_for(&self, a: &CallArrived, profile: &Profile) -> Result<Option<Name>, Refusal> {
        match &a.key {
            None if profile.open => Ok(None),
            None => Err(Refusal::not_run(Reason::KeyMissing)),
            Some(key) => {
                let team = self.team_of(key);
                let team = team.ok_or(Refusal::not_run(Reason::KeyRefused))?;
                Ok(Some(team))
            }
        }
    }

    fn enter(&mut self, call: CallKey, c: Call, a: &CallArrived) {
        self.calls.by_expiry.insert((c.expires, call));
        let once = !c.profile.repeatable;
        let key = match (&c.team, &a.idem) {
            (Some(team), Some(key)) if once => Some((team.clone(), key.clone())),
            _ => None,
        };
        self.calls.open.insert(call, c);
        match key {
            Some((team, key)) => {
                let key = crate::wire::IdemKey { team, key };
                self.ask_home(call, key, a.digest);
            }
            None => self.wait_for_slot(call),
        }
    }

    /// Starts a request on an own worker.
    pub(super) fn start_here(&mut self, call: CallKey, class: Class) -> bool {
        let Some(c) = self.calls.open.get(&call) else {
            self.calls.queue.remove(Waiter::Own(call));
            return false;
        };
        let size = *c.size();
        let team = c.team.clone();
        let run = self.run_of(&c.profile_name, &c.profile);
        let Some(key) = self.place(&size, class) else {
            return false;
        };
        self.take_back(call);
        self.used.add(team.as_ref());
        let addr = self.fleet.update(key, |vm| {
            vm.start_request(&size);
            vm.info.addr.clone()
        });
        let cost = self.cost(&size, run);
        self.calls.queue.started(self.now, Waiter::Own(call), cost);
        self.started(call, class, cost);
        if class != Class::Long {
            self.calls.short_slots += size.slots;
        }
        let until = self.certain_until();
        self.dispatch(call, State::Local(key), addr, until);
        true
    }

    /// An own worker for a request of a class.
    pub(super) fn place(&self, size: &Resources, class: Class) -> Option<VmKey> {
        match class {
            Class::Long if !self.long_may_start(size.slots) => None,
            Class::Long => self.fleet.place_task(size),
            _ => self.fleet.place_request(size),
        }
    }

    fn started(&mut self, call: CallKey, class: Class, charged: u64) {
        let at = self.now;
        if let Some(c) = self.calls.open.get_mut(&call) {
            c.started = Some(Started { at, charged, class });
        }
    }

    /// Takes a request back from a peer's queue.
    fn take_back(&mut self, call: CallKey) {
        if let Some((peer, asked)) = self.stop_asking(call) {
            self.return_slot(peer, call, asked, Verdict::NotRun);
        }
    }

    /// Returns the slot that answers one question to the peer that was asked.
    fn return_slot(&mut self, peer: MemberId, call: CallKey, asked: Time, verdict: Verdict) {
        let asked = asked.0;
        let msg = PeerMsg::SlotReturn {
            call,
            asked,
            verdict,
        };
        self.send(peer, msg);
    }

    fn dispatch(&mut self, call: CallKey, state: State, addr: Name, until: Time) {
        let certain_until = until.min(self.certain_until());
        let c = self
            .calls
            .open
            .get_mut(&call)
            .expect("a started call is open");
        c.state = state;
        c.attempts += 1;
        self.calls.by_expiry.remove(&(c.expires, call));
        self.out.push(Effect::Dispatch {
            call,
            addr,
            timeout: c.profile.timeout(),
            certain_until,
            repeatable: c.profile.repeatable,
            waited: self.now.since(c.arrived),
        });
    }

    /// Scores the worker that a request ended on.
    fn judge(&mut self, c: &Call, ended: CallOutcome) {
        let State::Local(key) = c.state else {
            return;
        };
        if ended == CallOutcome::NotRun(Reason::Uncertain) || !self.cfg.policy.quarantine {
            return;
        }
        let failed = ended != CallOutcome::Complete;
        let name = |vm: &crate::fleet::Vm| vm.info.name.clone();
        match self.fleet.record_outcome(self.now, key, failed) {
            HealthChange::Unchanged => {}
            judged => {
                let vm = self.fleet.get(key).map(name).unwrap_or_default();
                self.note(match judged {
                    HealthChange::Quarantined => Notice::VmQuarantined(vm),
                    _ => Notice::VmReleased(vm),
                });
            }
        }
    }

    fn free_slot(&mut self, call: CallKey, c: &Call, verdict: Verdict) {
        if let (Some(s), Verdict::Ran) = (&c.started, verdict) {
            self.learn_run(&c.profile_name, self.now.since(s.at));
        }
        match c.state {
            State::Local(key) => self.free_local(key, c, verdict),
            State::Remote { peer, asked } => self.return_slot(peer, call, asked, verdict),
            _ => {}
        }
    }

    fn free_local(&mut self, key: VmKey, c: &Call, verdict: Verdict) {
        if let Some(s) = &c.started {
            self.settle_cost(c.team.as_ref(), c.size(), s);
        }
        self.end_use(key, c.team.as_ref(), c.size(), verdict);
    }

    /// Frees a request's slot, or leaves it occupied while the request may still run.
    pub(super) fn end_use(
        &mut self,
        key: VmKey,
        team: Option<&Name>,
        size: &Resources,
        verdict: Verdict,
    ) {
        if verdict == Verdict::MayHaveRun {
            let doubt = UncertainRequest {
                since: self.now,
                size: *size,
                team: team.cloned(),
                found: false,
            };
            self.fleet.update(key, |vm| vm.mark_uncertain(doubt));
        } else {
            self.used.take(team);
            self.fleet.update(key, |vm| vm.end_request(size));
        }
    }

    fn retry_or_refuse(&mut self, call: CallKey, mut c: Call, reason: Reason, verdict: Verdict) {
        let may = c.attempts < c.profile.max_attempts && self.now < c.expires;
        let team = c.team.clone().unwrap_or_default();
        if may && !self.stopping.begun() && self.retries.spend(&team) {
            c.started = None;
            c.state = State::Waiting;
            self.calls.by_expiry.insert((c.expires, call));
            self.calls.open.insert(call, c);
            self.wait_for_slot(call);
            return;
        }
        self.settle_intent(call, &c, verdict);
        let class = self.class_of_call(&c);
        let retry_after = Some(self.retry_after(&c, class));
        self.refuse(
            call,
            Refusal {
                verdict,
                reason,
                retry_after,
            },
        );
    }

    fn stop_waiting(&mut self, call: CallKey, c: &Call) {
        self.calls.by_expiry.remove(&(c.expires, call));
        self.calls.queue.remove(Waiter::Own(call));
    }
}

fn waiting(c: &Call) -> bool {
    !matches!(c.state, State::Local(_) | State::Remote { .. })
}
