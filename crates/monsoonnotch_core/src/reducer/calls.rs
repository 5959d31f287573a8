//! Callers' requests: admission, waiting, dispatch, the end.

use super::Control;
use crate::call::Call;
use crate::call::State;
use crate::config::Lane;
use crate::config::Profile;
use crate::effect::Effect;
use crate::event::CallArrived;
use crate::event::CallEnd;
use crate::event::KeyProof;
use crate::fleet::Doubt;
use crate::ident::CallKey;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::VmKey;
use crate::notice::Notice;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;
use crate::wire::PeerMsg;
use crate::wire::SlotAsk;

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

    pub(super) fn call_ended(&mut self, call: CallKey, ended: CallEnd) {
        let Some(c) = self.calls.open.remove(&call) else {
            return;
        };
        let verdict = match ended {
            CallEnd::Complete => Verdict::Ran,
            CallEnd::NotRun(_) => Verdict::NotRun,
            CallEnd::MayHaveRun(_) | CallEnd::Cut(_) => Verdict::MayHaveRun,
        };
        self.free_slot(call, &c, verdict);
        match ended {
            CallEnd::Complete | CallEnd::Cut(_) => self.settle_intent(call, &c, verdict),
            CallEnd::NotRun(r) => self.retry_or_refuse(call, c, r, verdict),
            CallEnd::MayHaveRun(r) if c.profile.repeatable => {
                self.retry_or_refuse(call, c, r, verdict);
            }
            CallEnd::MayHaveRun(reason) => {
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
        while let Some((at, call)) = self.calls.give_up.first().copied() {
            if at > self.now {
                return;
            }
            let refusal = Refusal::later(Reason::WaitedTooLong, RETRY_AFTER);
            self.give_up(call, refusal);
        }
    }

    /// Starts what waits, in fair order, as far as there is room.
    pub(super) fn start_waiting_calls(&mut self) {
        if self.calls.queue.is_empty() || !self.is_certain() {
            return;
        }
        loop {
            let heads = self.calls.queue.heads();
            let started = heads.iter().any(|(_, call)| self.start_here(*call));
            if !started {
                for (_, call) in heads {
                    self.ask_peer(call);
                }
                return;
            }
        }
    }

    /// Ends a waiting call with its final answer.
    pub(super) fn give_up(&mut self, call: CallKey, refusal: Refusal) {
        let Some(c) = self.calls.open.remove(&call) else {
            self.calls.give_up.retain(|(_, k)| *k != call);
            return;
        };
        self.stop_waiting(call, &c);
        if let State::AskedPeer { peer, .. } = c.state {
            let verdict = Verdict::NotRun;
            self.send(peer, PeerMsg::SlotReturn { call, verdict });
        }
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
        let team = c.team.clone().unwrap_or_default();
        let share = self
            .ledger
            .config
            .teams
            .get(&team)
            .map_or(1, |t| t.value.share);
        let cost = c.size().slots;
        self.calls
            .queue
            .push(&team, share, c.profile.priority, cost, call);
    }

    /// A slot of a peer was granted.
    pub(super) fn slot_granted(&mut self, peer: MemberId, call: CallKey, addr: Name) {
        let limit = self.cfg.timing.grant;
        let now = self.now;
        let asked = |c: &Call| match c.state {
            State::AskedPeer { peer: p, asked } => p == peer && now.since(asked) < limit,
            _ => false,
        };
        let wanted = self.calls.open.get(&call).is_some_and(asked);
        if !wanted || !self.is_certain() {
            let verdict = Verdict::NotRun;
            self.send(peer, PeerMsg::SlotReturn { call, verdict });
            return;
        }
        self.calls.queue.started(call);
        let until = now + limit;
        self.dispatch(call, State::Remote(peer), addr, until);
    }

    pub(super) fn slot_denied(&mut self, peer: MemberId, call: CallKey, _reason: Reason) {
        if let Some(c) = self.calls.open.get_mut(&call)
            && matches!(c.state, State::AskedPeer { peer: p, .. } if p == peer)
        {
            c.state = State::Waiting;
            c.refused_by.insert(peer);
        }
    }

    /// Forgets what a former peer was asked for; what it granted runs on.
    pub(super) fn calls_peer_ended(&mut self, m: MemberId) {
        for c in self.calls.open.values_mut() {
            if matches!(c.state, State::AskedPeer { peer, .. } if peer == m) {
                c.state = State::Waiting;
            }
        }
    }

    fn admit(&self, a: &CallArrived) -> Result<Call, Refusal> {
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
        Ok(Call {
            team,
            profile_name: a.profile.clone(),
            arrived: self.now,
            give_up: a.deadline.map_or(longest, |d| d.min(longest)),
            state: State::Waiting,
            intent: None,
            attempts: 0,
            refused_by: Default::default(),
            profile,
        })
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
        self.calls.give_up.insert((c.give_up, call));
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

    fn start_here(&mut self, call: CallKey) -> bool {
        let Some(c) = self.calls.open.get(&call) else {
            self.calls.queue.remove(call);
            return false;
        };
        if c.state != State::Waiting || !self.team_may_start(c.team.as_ref()) {
            return false;
        }
        let size = *c.size();
        let Some(key) = self.fleet.place_request(&size) else {
            return false;
        };
        let team = c.team.clone();
        self.used.add(team.as_ref());
        let addr = self.fleet.update(key, |vm| {
            vm.start_request(&size);
            vm.info.addr.clone()
        });
        self.calls.queue.started(call);
        let until = self.certain_until();
        self.dispatch(call, State::Local(key), addr, until);
        true
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
        self.calls.give_up.remove(&(c.give_up, call));
        self.out.push(Effect::Dispatch {
            call,
            addr,
            timeout: c.profile.timeout(),
            certain_until,
            repeatable: c.profile.repeatable,
            waited: self.now.since(c.arrived),
        });
    }

    /// Asks a peer with free slots, one at a time.
    fn ask_peer(&mut self, call: CallKey) {
        let Some(c) = self.calls.open.get(&call) else {
            return;
        };
        if c.state != State::Waiting {
            self.forget_old_ask(call);
            return;
        }
        let ask = SlotAsk {
            call,
            team: c.team.clone(),
            profile: c.profile_name.clone(),
            size: *c.size(),
            timeout_ms: c.profile.timeout_ms,
        };
        let Some(peer) = self.peer_with_room(&c.refused_by) else {
            return;
        };
        if let Some((_, s)) = self.peers.summaries.get_mut(&peer) {
            s.free = s.free.saturating_sub(1);
        }
        let asked = self.now;
        let c = self.calls.open.get_mut(&call).expect("just seen");
        c.state = State::AskedPeer { peer, asked };
        self.send(peer, PeerMsg::SlotAsk(ask));
    }

    fn forget_old_ask(&mut self, call: CallKey) {
        let limit = self.cfg.timing.grant;
        let now = self.now;
        let Some(c) = self.calls.open.get_mut(&call) else {
            return;
        };
        if let State::AskedPeer { asked, .. } = c.state
            && now.since(asked) >= limit
        {
            c.state = State::Waiting;
        }
    }

    fn peer_with_room(&self, not: &std::collections::BTreeSet<MemberId>) -> Option<MemberId> {
        let fresh = self.cfg.timing.summary.times(4);
        let summaries = self.peers.summaries.iter();
        summaries
            .filter(|(m, (at, s))| s.free > 0 && self.now.since(*at) < fresh && !not.contains(m))
            .max_by_key(|(_, (_, s))| s.free)
            .map(|(m, _)| *m)
    }

    fn free_slot(&mut self, call: CallKey, c: &Call, verdict: Verdict) {
        match c.state {
            State::Local(key) => self.free_local(key, c, verdict),
            State::Remote(peer) => self.send(peer, PeerMsg::SlotReturn { call, verdict }),
            _ => {}
        }
    }

    fn free_local(&mut self, key: VmKey, c: &Call, verdict: Verdict) {
        self.end_use(key, c.team.as_ref(), c.size(), verdict);
    }

    /// Frees a request's slot, or leaves it occupied while the request may still run.
    pub(super) fn end_use(
        &mut self,
        key: VmKey,
        team: Option<&Name>,
        size: &crate::resource::Resources,
        verdict: Verdict,
    ) {
        if verdict == Verdict::MayHaveRun {
            let doubt = Doubt {
                since: self.now,
                size: *size,
                team: team.cloned(),
                found: false,
            };
            self.fleet.update(key, |vm| vm.doubt_request(doubt));
        } else {
            self.used.take(team);
            self.fleet.update(key, |vm| vm.end_request(size));
        }
    }

    fn retry_or_refuse(&mut self, call: CallKey, mut c: Call, reason: Reason, verdict: Verdict) {
        let may = c.attempts < c.profile.max_attempts && self.now < c.give_up;
        if may && !self.stopping.begun() {
            c.state = State::Waiting;
            self.calls.give_up.insert((c.give_up, call));
            self.calls.open.insert(call, c);
            self.wait_for_slot(call);
            return;
        }
        self.settle_intent(call, &c, verdict);
        let retry_after = Some(RETRY_AFTER);
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
        self.calls.give_up.remove(&(c.give_up, call));
        self.calls.queue.remove(call);
    }
}

fn waiting(c: &Call) -> bool {
    !matches!(c.state, State::Local(_) | State::Remote(_))
}
