//! Forwarding of requests of this entry's callers to the workers of peers.
//!
//! A request for which no worker of this member has capacity waits in two
//! queues: in the local one and in that of one peer. It runs where a slot becomes
//! free first. Thus the queue of every entry holds work of every team, and a
//! team whose callers all use one entry still gets its share of the workers of
//! every entry.

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

/// Maximum number of requests of one team that wait in the queue of one peer.
const REQUESTS_PER_PEER_MAX: u32 = 8;
/// Maximum number of requests of one team and class that one tick forwards.
const REQUESTS_PER_TEAM_MAX: usize = 8;
/// Maximum number of requests of a team and class that one tick examines, and of requests that
/// it forwards in all.
const CANDIDATES_PER_TICK_MAX: usize = 64;
/// Delay before a request that all peers denied is forwarded again.
const DENIED_RETRY: Duration = Duration::from_millis(100);
/// Summary intervals after which the last summary of a peer is outdated.
const SUMMARY_VALID_INTERVALS: u64 = 4;

/// Requests that wait at peers.
#[derive(Debug, Default)]
pub(super) struct Forwarding {
    /// Requests of this entry's callers that began to wait and are not forwarded yet.
    new_calls: Vec<CallKey>,
    /// Number of requests that wait at a peer, by peer and team.
    queued_at_peers: BTreeMap<(MemberId, Name), u32>,
    /// The same requests in the order in which they were sent.
    by_request_time: BTreeSet<(Time, CallKey)>,
    /// Number of selections made; part of the hash that picks two candidates.
    selections: u64,
    price: super::price::Price,
}

impl Forwarding {
    /// Adds a call that began to wait, to be forwarded if it does not start at once.
    pub(super) fn add_new_call(&mut self, call: CallKey) {
        self.new_calls.push(call);
    }
}

impl Control {
    /// Forwards the new calls that did not start at once.
    pub(super) fn forward_new_calls(&mut self) {
        for call in std::mem::take(&mut self.forwarding.new_calls) {
            self.request_slot(call);
        }
    }

    pub(super) fn tick_forwarding(&mut self) {
        self.expire_own_requests();
        self.expire_peer_requests();
        let mut calls = Vec::new();
        for class in [Class::Urgent, Class::Quick, Class::Long] {
            let teams = self.calls.queue.heads(class).map(|(t, _)| t.clone());
            for team in teams {
                let own = self.calls.queue.of_team(&team, class);
                let own = own.take(CANDIDATES_PER_TICK_MAX).filter_map(own_call);
                calls.extend(
                    own.filter(|c| self.may_forward(*c))
                        .take(REQUESTS_PER_TEAM_MAX),
                );
            }
        }
        for call in calls.into_iter().take(CANDIDATES_PER_TICK_MAX) {
            self.request_slot(call);
        }
    }

    /// Marks a call as not waiting at a peer any more.
    ///
    /// Returns the peer and the time of the request, or `None` if it waited at no peer.
    pub(super) fn clear_peer_request(&mut self, call: CallKey) -> Option<(MemberId, Time)> {
        let c = self.calls.open.get_mut(&call)?;
        let State::AwaitingPeer { peer, asked } = c.state else {
            return None;
        };
        c.state = State::Waiting;
        let team = c.team.clone().unwrap_or_default();
        self.forwarding.by_request_time.remove(&(asked, call));
        if let Some(n) = self.forwarding.queued_at_peers.get_mut(&(peer, team)) {
            *n = n.saturating_sub(1);
        }
        Some((peer, asked))
    }

    /// Handles the denial of a slot by a peer.
    ///
    /// Another peer is tried; once all have denied, the call pauses and then tries all again.
    pub(super) fn retry_at_other_peer(&mut self, call: CallKey, peer: MemberId) {
        self.clear_peer_request(call);
        let known = self.peers.summaries.len();
        let now = self.now;
        if let Some(c) = self.calls.open.get_mut(&call) {
            c.denied_by.insert(peer);
            if c.denied_by.len() >= known {
                c.denied_by.clear();
                c.next_peer_request = now + DENIED_RETRY;
            }
            self.forwarding.add_new_call(call);
        }
    }

    /// Drops the requests that wait at an ended peer and those of that peer that wait here.
    pub(super) fn forwarding_peer_ended(&mut self, m: MemberId) {
        let with = |s: &State| matches!(s, State::AwaitingPeer { peer, .. } if *peer == m);
        let open = self.calls.open.iter().filter(|(_, c)| with(&c.state));
        let calls: Vec<CallKey> = open.map(|(k, _)| *k).collect();
        for call in calls {
            self.clear_peer_request(call);
        }
        self.forwarding.queued_at_peers.retain(|(p, _), _| *p != m);
        let waiting = self.calls.peer_requests.keys().filter(|(p, _)| *p == m);
        let waiting: Vec<(MemberId, CallKey)> = waiting.copied().collect();
        for (from, call) in waiting {
            self.drop_peer_request(from, call);
        }
    }

    /// Puts a peer's request into the local queue.
    pub(super) fn queue_peer_request(&mut self, from: MemberId, request: SlotRequest) {
        let call = request.call;
        let run = Duration(request.run_us);
        let class = self.class_of(request.priority, run);
        let arrived = self.now - Duration::from_millis(request.waited_ms);
        let team = request.team.clone();
        let until = self.now + Duration(self.cfg.timing.grant_validity.0 / 2);
        self.calls.peer_expiry.insert((until, from, call));
        let waiting = crate::call::PeerRequest { request, until };
        let priority = waiting.request.priority;
        self.calls.peer_requests.insert((from, call), waiting);
        let waiter = Waiter::Peer(from, call);
        self.enqueue(team.as_ref(), class, priority, arrived, waiter);
    }

    /// Removes a peer's request from the local queue.
    pub(super) fn drop_peer_request(&mut self, from: MemberId, call: CallKey) {
        if let Some(waiting) = self.calls.peer_requests.remove(&(from, call)) {
            self.calls.peer_expiry.remove(&(waiting.until, from, call));
            self.calls.queue.remove(Waiter::Peer(from, call));
        }
    }

    /// Returns the price that this member's next summary reports.
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

    fn expire_own_requests(&mut self) {
        let limit = self.cfg.timing.grant_validity;
        while let Some((asked, call)) = self.forwarding.by_request_time.first().copied() {
            if self.now.since(asked) < limit {
                return;
            }
            if self.clear_peer_request(call).is_none() {
                self.forwarding.by_request_time.remove(&(asked, call));
            }
        }
    }

    fn expire_peer_requests(&mut self) {
        while let Some((until, from, call)) = self.calls.peer_expiry.first().copied() {
            if until > self.now {
                return;
            }
            self.drop_peer_request(from, call);
            let reason = crate::verdict::Reason::QueueFull;
            self.send(from, PeerMsg::SlotDenied { call, reason });
        }
    }

    fn may_forward(&self, call: CallKey) -> bool {
        let c = self.calls.open.get(&call);
        c.is_some_and(|c| c.state == State::Waiting && c.next_peer_request <= self.now)
    }

    /// Requests a slot from one peer, if the call waits at none and a candidate exists.
    fn request_slot(&mut self, call: CallKey) {
        if !self.may_forward(call) || !self.is_certain() {
            return;
        }
        let Some(peer) = self.select_peer(call) else {
            return;
        };
        if let Some((_, s)) = self.peers.summaries.get_mut(&peer) {
            s.free = s.free.saturating_sub(1);
        }
        let request = self.slot_request(call);
        let asked = self.now;
        let c = self.calls.open.get_mut(&call).expect("the call is open");
        c.state = State::AwaitingPeer { peer, asked };
        let team = c.team.clone().unwrap_or_default();
        *self
            .forwarding
            .queued_at_peers
            .entry((peer, team))
            .or_default() += 1;
        self.forwarding.by_request_time.insert((asked, call));
        self.send(peer, PeerMsg::SlotRequest(request));
    }

    fn slot_request(&self, call: CallKey) -> SlotRequest {
        let c = &self.calls.open[&call];
        SlotRequest {
            call,
            asked: self.now.0,
            team: c.team.clone(),
            profile: c.profile_name.clone(),
            size: *c.size(),
            timeout_ms: c.profile.timeout_ms,
            priority: c.profile.priority,
            run_us: self.expected_run_time(&c.profile_name, &c.profile).0,
            waited_ms: self.now.since(c.arrived).as_millis(),
        }
    }

    fn select_peer(&mut self, call: CallKey) -> Option<MemberId> {
        self.forwarding.selections += 1;
        let c = self.calls.open.get(&call)?;
        let team = c.team.clone().unwrap_or_default();
        let validity = self
            .cfg
            .timing
            .summary_interval
            .times(SUMMARY_VALID_INTERVALS);
        let is_candidate = |(m, (at, s)): &(&MemberId, &(Time, Summary))| {
            let key = (**m, team.clone());
            let queued = self
                .forwarding
                .queued_at_peers
                .get(&key)
                .copied()
                .unwrap_or(0);
            let queues = self.cfg.policy.queue_peer_requests && queued < REQUESTS_PER_PEER_MAX;
            self.now.since(*at) < validity && !c.denied_by.contains(m) && (s.free > 0 || queues)
        };
        let candidates: Vec<(MemberId, &Summary)> = self
            .peers
            .summaries
            .iter()
            .filter(is_candidate)
            .map(|(m, (_, s))| (*m, s))
            .collect();
        let nth = mix(self.forwarding.selections ^ call.0 << 20 ^ self.cfg.me.0);
        select(self.cfg.policy.peer_selection, &candidates, nth)
    }
}

/// Selects one of the candidates; `nth` is a hash from which `TwoChoices` takes its two.
fn select(
    selection: PeerSelection,
    candidates: &[(MemberId, &Summary)],
    nth: u64,
) -> Option<MemberId> {
    let n = candidates.len() as u64;
    if n == 0 {
        return None;
    }
    let load = |s: &Summary| i64::from(s.waiting) - i64::from(s.free);
    let pick = |i: u64| candidates[usize::try_from(i % n).expect("fewer peers than that")];
    let best = match selection {
        PeerSelection::LeastLoaded => candidates.iter().copied().min_by_key(|(_, s)| load(s)),
        PeerSelection::Price => candidates
            .iter()
            .copied()
            .min_by_key(|(_, s)| (s.price, load(s))),
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

/// Mixes the bits of a counter with the finaliser of splitmix64.
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}
