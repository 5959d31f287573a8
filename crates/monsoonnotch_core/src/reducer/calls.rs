//! Requests of callers, from admission through queueing and dispatch to completion.

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

/// Default `retry_after` of a refusal.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest interval between two log lines about the same refusal reason.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);

impl Control {
    pub(super) fn call_arrived(&mut self, arrived: CallArrived) {
        let call = arrived.call;
        match self.admit(&arrived) {
            Ok(c) => self.open_call(call, c, &arrived),
            Err(refusal) => self.refuse(call, refusal),
        }
    }

    pub(super) fn call_ended(&mut self, call: CallKey, outcome: CallOutcome) {
        let Some(c) = self.calls.open.remove(&call) else {
            return;
        };
        let verdict = match outcome {
            CallOutcome::Complete | CallOutcome::Failed => Verdict::Ran,
            CallOutcome::NotRun(_) => Verdict::NotRun,
            CallOutcome::MayHaveRun(_) | CallOutcome::Cut(_) => Verdict::MayHaveRun,
        };
        self.record_health(&c, outcome);
        self.free_slot(call, &c, verdict);
        match outcome {
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

    /// Handles the disconnect of a caller.
    ///
    /// A waiting call is cancelled; a running call keeps its slot until it ends.
    pub(super) fn caller_disconnected(&mut self, call: CallKey) {
        let waits = self.calls.open.get(&call).is_some_and(is_waiting);
        if waits {
            self.refuse_waiting_call(call, Refusal::not_run(Reason::Cancelled));
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
            self.refuse_waiting_call(call, Refusal::later(Reason::WaitedTooLong, after));
        }
    }

    /// Removes a waiting call and refuses it with `refusal`.
    pub(super) fn refuse_waiting_call(&mut self, call: CallKey, refusal: Refusal) {
        self.withdraw_peer_request(call);
        let Some(c) = self.calls.open.remove(&call) else {
            self.calls.by_expiry.retain(|(_, k)| *k != call);
            return;
        };
        self.stop_waiting(call, &c);
        self.settle_intent(call, &c, Verdict::NotRun);
        self.refuse(call, refusal);
    }

    pub(super) fn refuse(&mut self, call: CallKey, refusal: Refusal) {
        let pause = REFUSAL_LOG_INTERVAL;
        let last = self.refusals_logged.get(&refusal.reason).copied();
        if last.is_none_or(|t| self.now.since(t) > pause) {
            self.refusals_logged.insert(refusal.reason, self.now);
            self.log_notice(Notice::Refusing(refusal.reason));
        }
        self.effects.push(Effect::Refuse { call, refusal });
    }

    /// Returns the team of a valid key, or `None` if the key is unknown, wrong or withdrawn.
    pub(super) fn team_of(&self, key: &KeyProof) -> Option<Name> {
        self.ledger.config.team_of(&key.id, &key.hash).cloned()
    }

    /// Puts an admitted call into the queue.
    pub(super) fn wait_for_slot(&mut self, call: CallKey) {
        let Some(c) = self.calls.open.get_mut(&call) else {
            return;
        };
        c.state = State::Waiting;
        let (team, priority, arrived) = (c.team.clone(), c.profile.priority, c.arrived);
        let class = self.class_of_call(&self.calls.open[&call]);
        self.enqueue(team.as_ref(), class, priority, arrived, Waiter::Own(call));
        self.forwarding.add_new_call(call);
    }

    /// Puts a request of this entry's caller or of a peer into the queue.
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

    /// Returns the scheduling class of a call.
    pub(super) fn class_of_call(&self, c: &Call) -> Class {
        let run = self.expected_run_time(&c.profile_name, &c.profile);
        self.class_of(c.profile.priority, run)
    }

    /// Handles a slot granted by a peer.
    ///
    /// The grant is valid for a limited time, counted from the request that it
    /// answers, because the peer may lose the worker afterwards.
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
        self.clear_peer_request(call);
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
            self.retry_at_other_peer(call, peer);
        }
    }

    /// Drops the open slot requests to a peer that has ended; calls on its workers run on.
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
            denied_by: Default::default(),
            next_peer_request: self.now,
            started: None,
            profile,
        };
        let class = self.class_of_call(&c);
        self.check_expected_wait(&c, class)?;
        Ok(c)
    }

    /// Returns the profile called `name` if both it and `lane`, or neither, are for short requests.
    ///
    /// Otherwise the profile counts as unknown.
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

    fn open_call(&mut self, call: CallKey, c: Call, a: &CallArrived) {
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
                self.request_intent(call, key, a.digest);
            }
            None => self.wait_for_slot(call),
        }
    }

    /// Starts a call on a worker of this member; returns whether it started.
    pub(super) fn start_here(&mut self, call: CallKey, class: Class) -> bool {
        let Some(c) = self.calls.open.get(&call) else {
            self.calls.queue.remove(Waiter::Own(call));
            return false;
        };
        let size = *c.size();
        let team = c.team.clone();
        let run = self.expected_run_time(&c.profile_name, &c.profile);
        let Some(key) = self.find_worker(&size, class) else {
            return false;
        };
        self.withdraw_peer_request(call);
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

    /// Chooses a worker of this member for a request of `class`; `None` if none has capacity.
    pub(super) fn find_worker(&self, size: &Resources, class: Class) -> Option<VmKey> {
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

    /// Withdraws a call from the queue of the peer at which it waits, if there is one.
    fn withdraw_peer_request(&mut self, call: CallKey) {
        if let Some((peer, asked)) = self.clear_peer_request(call) {
            self.return_slot(peer, call, asked, Verdict::NotRun);
        }
    }

    /// Sends back to the peer the slot that answers the request sent at `asked`.
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
        self.effects.push(Effect::Dispatch {
            call,
            addr,
            timeout: c.profile.timeout(),
            certain_until,
            repeatable: c.profile.repeatable,
            waited: self.now.since(c.arrived),
        });
    }

    /// Counts the outcome of a call for the health of the worker that ran it.
    fn record_health(&mut self, c: &Call, outcome: CallOutcome) {
        let State::Local(key) = c.state else {
            return;
        };
        if outcome == CallOutcome::NotRun(Reason::Uncertain) || !self.cfg.policy.quarantine {
            return;
        }
        let failed = outcome != CallOutcome::Complete;
        let name = |vm: &crate::fleet::Vm| vm.info.name.clone();
        match self.fleet.record_outcome(self.now, key, failed) {
            HealthChange::Unchanged => {}
            change => {
                let vm = self.fleet.get(key).map(name).unwrap_or_default();
                self.log_notice(match change {
                    HealthChange::Quarantined => Notice::VmQuarantined(vm),
                    _ => Notice::VmReleased(vm),
                });
            }
        }
    }

    fn free_slot(&mut self, call: CallKey, c: &Call, verdict: Verdict) {
        if let (Some(s), Verdict::Ran) = (&c.started, verdict) {
            self.record_run_time(&c.profile_name, self.now.since(s.at));
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

    /// Frees the slot of a request, or marks it uncertain while the request may still run.
    pub(super) fn end_use(
        &mut self,
        key: VmKey,
        team: Option<&Name>,
        size: &Resources,
        verdict: Verdict,
    ) {
        if verdict == Verdict::MayHaveRun {
            let uncertain = UncertainRequest {
                since: self.now,
                size: *size,
                team: team.cloned(),
                found: false,
            };
            self.fleet.update(key, |vm| vm.mark_uncertain(uncertain));
        } else {
            self.used.remove(team);
            self.fleet.update(key, |vm| vm.end_request(size));
        }
    }

    fn retry_or_refuse(&mut self, call: CallKey, mut c: Call, reason: Reason, verdict: Verdict) {
        let may = c.attempts < c.profile.max_attempts && self.now < c.expires;
        let team = c.team.clone().unwrap_or_default();
        if may && !self.stopping.begun() && self.retry_budgets.spend(&team) {
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

fn is_waiting(c: &Call) -> bool {
    !matches!(c.state, State::Local(_) | State::Remote { .. })
}
