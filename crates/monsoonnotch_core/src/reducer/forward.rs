//! Slots of peers' workers for own requests.
//!
//! A request that no own worker has room for waits in two places: here, and in
//! the queue of one peer. Whichever has a slot first runs it. So every entry's
//! queue holds every team's work, and a team whose callers all reach one entry
//! gets its share of every entry's workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use super::policy::PeerSelection;
use crate::call::State;
use crate::call::Waiter;
use crate::ident::CallKey;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::queue::Class;
use crate::time::Duration;
use crate::time::Time;
use crate::wire::PeerMsg;
use crate::wire::SlotRequest;
use crate::wire::Summary;

/// Requests of one team that wait in one peer's queue at most.
const ASKS_PER_PEER: u32 = 8;
/// Requests of one team and class for which peers are asked in one tick.
const ASKS_PER_TEAM: usize = 8;
/// Requests looked at in one tick to ask peers for them.
const ASKS_PER_TICK: usize = 64;
/// Pause after which peers that had no slot are asked again.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// Summaries after which the last one of a peer is old.
const SUMMARIES_OLD: u64 = 4;

/// What is out with peers.
#[derive(Debug, Default)]
pub(super) struct Forwarding {
    /// Own requests that may be worth asking a peer for.
    fresh: Vec<CallKey>,
    /// Requests that wait with a peer, by team.
    out: BTreeMap<(MemberId, Name), u32>,
    /// The same, by when they were asked for.
    since: BTreeSet<(Time, CallKey)>,
    /// Choices made; picks peers together with the request.
    choices: u64,
    price: super::price::Price,
}

impl Forwarding {
    /// A request began to wait.
    pub(super) fn begins(&mut self, call: CallKey) {
        self.fresh.push(call);
    }
}

impl Control {
    /// Asks peers for requests that did not start at once.
    pub(super) fn ask_for_fresh(&mut self) {
        for call in std::mem::take(&mut self.forwarding.fresh) {
            self.ask_peer(call);
        }
    }

    pub(super) fn tick_forwarding(&mut self) {
        self.forget_old_asks();
        self.expire_peers_asks();
        let mut calls = Vec::new();
        for class in [Class::Urgent, Class::Quick, Class::Long] {
            let teams = self.calls.queue.heads(class).map(|(t, _)| t.clone());
            for team in teams {
                let own = self.calls.queue.of_team(&team, class);
                let own = own.take(ASKS_PER_TICK).filter_map(own_call);
                calls.extend(own.filter(|c| self.may_ask(*c)).take(ASKS_PER_TEAM));
            }
        }
        for call in calls.into_iter().take(ASKS_PER_TICK) {
            self.ask_peer(call);
        }
    }

    /// Takes a request back from the peer that was asked for it.
    pub(super) fn stop_asking(&mut self, call: CallKey) -> Option<(MemberId, Time)> {
        let c = self.calls.open.get_mut(&call)?;
        let State::AwaitingPeer { peer, asked } = c.state else {
            return None;
        };
        c.state = State::Waiting;
        let team = c.team.clone().unwrap_or_default();
        self.forwarding.since.remove(&(asked, call));
        if let Some(n) = self.forwarding.out.get_mut(&(peer, team)) {
            *n = n.saturating_sub(1);
        }
        Some((peer, asked))
    }

    /// A peer that held a request had no slot for it.
    pub(super) fn asked_in_vain(&mut self, call: CallKey, peer: MemberId) {
        self.stop_asking(call);
        let known = self.peers.summaries.len();
        let now = self.now;
        if let Some(c) = self.calls.open.get_mut(&call) {
            c.refused_by.insert(peer);
            if c.refused_by.len() >= known {
                c.refused_by.clear();
                c.next_peer_request = now + ASK_PAUSE;
            }
            self.forwarding.begins(call);
        }
    }

    /// Forgets all that waits with a former peer, and what it had waiting here.
    pub(super) fn forwarding_peer_ended(&mut self, m: MemberId) {
        let with = |s: &State| matches!(s, State::AwaitingPeer { peer, .. } if *peer == m);
        let open = self.calls.open.iter().filter(|(_, c)| with(&c.state));
        let calls: Vec<CallKey> = open.map(|(k, _)| *k).collect();
        for call in calls {
            self.stop_asking(call);
        }
        self.forwarding.out.retain(|(p, _), _| *p != m);
        let asked = self.calls.peer_requests.keys().filter(|(p, _)| *p == m);
        let asked: Vec<(MemberId, CallKey)> = asked.copied().collect();
        for (from, call) in asked {
            self.drop_ask(from, call);
        }
    }

    /// A peer's request begins to wait here.
    pub(super) fn queue_ask(&mut self, from: MemberId, ask: SlotRequest) {
        let call = ask.call;
        let run = Duration(ask.run_us);
        let class = self.class_of(ask.priority, run);
        let arrived = self.now - Duration::from_millis(ask.waited_ms);
        let team = ask.team.clone();
        let until = self.now + Duration(self.cfg.timing.grant_validity.0 / 2);
        self.calls.peer_expiry.insert((until, from, call));
        let asked = crate::call::PeerRequest {
            request: ask,
            until,
        };
        let priority = asked.request.priority;
        self.calls.peer_requests.insert((from, call), asked);
        let waiter = Waiter::Peer(from, call);
        self.enqueue(team.as_ref(), class, priority, arrived, waiter);
    }

    /// A peer's request does not wait here any more.
    pub(super) fn drop_ask(&mut self, from: MemberId, call: CallKey) {
        if let Some(a) = self.calls.peer_requests.remove(&(from, call)) {
            self.calls.peer_expiry.remove(&(a.until, from, call));
            self.calls.queue.remove(Waiter::Peer(from, call));
        }
    }

    /// This member's price for its summary.
    pub(super) fn next_price(&mut self) -> u32 {
        let first = |class| self.longest_wait(class);
        let wait = first(Class::Urgent)
            .max(first(Class::Quick))
            .max(first(Class::Long));
        self.forwarding.price.next(wait)
    }

    fn longest_wait(&self, class: Class) -> Duration {
        let heads = self
            .calls
            .queue
            .heads(class)
            .filter_map(|(_, w)| own_call(w));
        let waits = heads.filter_map(|c| self.calls.open.get(&c));
        let waits = waits.map(|c| self.now.since(c.arrived));
        waits.max().unwrap_or_default()
    }

    fn forget_old_asks(&mut self) {
        let limit = self.cfg.timing.grant_validity;
        while let Some((asked, call)) = self.forwarding.since.first().copied() {
            if self.now.since(asked) < limit {
                return;
            }
            if self.stop_asking(call).is_none() {
                self.forwarding.since.remove(&(asked, call));
            }
        }
    }

    fn expire_peers_asks(&mut self) {
        while let Some((until, from, call)) = self.calls.peer_expiry.first().copied() {
            if until > self.now {
                return;
            }
            self.drop_ask(from, call);
            let reason = crate::verdict::Reason::QueueFull;
            self.send(from, PeerMsg::SlotDenied { call, reason });
        }
    }

    fn may_ask(&self, call: CallKey) -> bool {
        let c = self.calls.open.get(&call);
        c.is_some_and(|c| c.state == State::Waiting && c.next_peer_request <= self.now)
    }

    /// Asks a peer for a slot, one at a time for each request.
    fn ask_peer(&mut self, call: CallKey) {
        if !self.may_ask(call) || !self.is_certain() {
            return;
        }
        let Some(peer) = self.choose_peer(call) else {
            return;
        };
        if let Some((_, s)) = self.peers.summaries.get_mut(&peer) {
            s.free = s.free.saturating_sub(1);
        }
        let ask = self.slot_ask(call);
        let asked = self.now;
        let c = self.calls.open.get_mut(&call).expect("just seen");
        c.state = State::AwaitingPeer { peer, asked };
        let team = c.team.clone().unwrap_or_default();
        *self.forwarding.out.entry((peer, team)).or_default() += 1;
        self.forwarding.since.insert((asked, call));
        self.send(peer, PeerMsg::SlotRequest(ask));
    }

    fn slot_ask(&self, call: CallKey) -> SlotRequest {
        let c = &self.calls.open[&call];
        SlotRequest {
            call,
            asked: self.now.0,
            team: c.team.clone(),
            profile: c.profile_name.clone(),
            size: *c.size(),
            timeout_ms: c.profile.timeout_ms,
            priority: c.profile.priority,
            run_us: self.run_of(&c.profile_name, &c.profile).0,
            waited_ms: self.now.since(c.arrived).as_millis(),
        }
    }

    fn choose_peer(&mut self, call: CallKey) -> Option<MemberId> {
        self.forwarding.choices += 1;
        let c = self.calls.open.get(&call)?;
        let team = c.team.clone().unwrap_or_default();
        let old = self.cfg.timing.summary_interval.times(SUMMARIES_OLD);
        let able = |(m, (at, s)): &(&MemberId, &(Time, Summary))| {
            let key = (**m, team.clone());
            let out = self.forwarding.out.get(&key).copied().unwrap_or(0);
            let queues = self.cfg.policy.queue_peer_requests && out < ASKS_PER_PEER;
            self.now.since(*at) < old && !c.refused_by.contains(m) && (s.free > 0 || queues)
        };
        let able: Vec<(MemberId, &Summary)> = self
            .peers
            .summaries
            .iter()
            .filter(able)
            .map(|(m, (_, s))| (*m, s))
            .collect();
        let nth = mix(self.forwarding.choices ^ call.0 << 20 ^ self.cfg.me.0);
        choose(self.cfg.policy.peer_selection, &able, nth)
    }
}

/// Picks one of the peers that may be asked.
fn choose(how: PeerSelection, able: &[(MemberId, &Summary)], nth: u64) -> Option<MemberId> {
    let n = able.len() as u64;
    if n == 0 {
        return None;
    }
    let load = |s: &Summary| i64::from(s.waiting) - i64::from(s.free);
    let pick = |i: u64| able[usize::try_from(i % n).expect("fewer peers than that")];
    let best = match how {
        PeerSelection::LeastLoaded => able.iter().copied().min_by_key(|(_, s)| load(s)),
        PeerSelection::Price => able.iter().copied().min_by_key(|(_, s)| (s.price, load(s))),
        PeerSelection::TwoChoices => {
            let (a, b) = (pick(nth), pick(nth >> 32));
            Some(if load(a.1) <= load(b.1) { a } else { b })
        }
    };
    best.map(|(m, _)| m)
}

fn own_call(w: Waiter) -> Option<CallKey> {
    match w {
        Waiter::Own(call) => Some(call),
        Waiter::Peer(..) => None,
    }
}

/// Spreads the bits of a counter (the finaliser of splitmix64).
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}
