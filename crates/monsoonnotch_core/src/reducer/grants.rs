//! Slots of this member's workers that are granted to peers.

use super::Control;
use crate::call::Granted;
use crate::call::Started;
use crate::call::Waiter;
use crate::ident::CallKey;
use crate::ident::MemberId;
use crate::ident::VmKey;
use crate::queue::Class;
use crate::time::Duration;
use crate::verdict::Reason;
use crate::verdict::Verdict;
use crate::wire::PeerMsg;
use crate::wire::SlotRequest;

impl Control {
    pub(super) fn slot_requested(&mut self, from: MemberId, request: SlotRequest) {
        let call = request.call;
        let key = (from, call);
        if self.calls.granted.contains_key(&key) {
            return;
        }
        if let Some(waiting) = self.calls.peer_requests.get_mut(&key) {
            waiting.request.asked = request.asked.max(waiting.request.asked);
            return;
        }
        match self.admit_peer_request(&request) {
            Ok(()) => self.queue_peer_request(from, request),
            Err(reason) => self.send(from, PeerMsg::SlotDenied { call, reason }),
        }
    }

    /// Handles the return of a slot by a peer.
    ///
    /// It ends the request sent at `asked`, whether it still waits here or holds a granted slot.
    pub(super) fn slot_returned(
        &mut self,
        from: MemberId,
        call: CallKey,
        asked: u64,
        verdict: Verdict,
    ) {
        let key = (from, call);
        let waiting = self.calls.peer_requests.get(&key);
        if waiting.is_some_and(|w| w.request.asked <= asked) {
            self.drop_peer_request(from, call);
        }
        let granted = self.calls.granted.get(&key);
        if granted.is_some_and(|g| g.asked == asked) {
            self.end_grant(from, call, verdict);
        }
    }

    fn end_grant(&mut self, from: MemberId, call: CallKey, verdict: Verdict) {
        if let Some(g) = self.calls.granted.remove(&(from, call)) {
            self.settle_cost(g.team.as_ref(), &g.size, &g.started);
            self.end_use(g.vm, g.team.as_ref(), &g.size, verdict);
        }
    }

    /// Ends grants that were not returned in time; their requests may have run, because the peer
    /// may have ended while it used the slot.
    pub(super) fn expire_grants(&mut self) {
        let now = self.now;
        let late: Vec<(MemberId, CallKey)> = self
            .calls
            .granted
            .iter()
            .filter(|(_, g)| g.until <= now)
            .map(|(k, _)| *k)
            .collect();
        for (from, call) in late {
            self.end_grant(from, call, Verdict::MayHaveRun);
        }
    }

    /// Shortens the grants of an ended peer to the time until which it may still use them; then
    /// their requests become uncertain.
    pub(super) fn grants_peer_ended(&mut self, m: MemberId) {
        let until = self.now + self.cfg.timing.eviction_wait();
        let own = self.calls.granted.iter_mut().filter(|((p, _), _)| *p == m);
        for (_, g) in own {
            g.until = g.until.min(until);
        }
    }

    fn admit_peer_request(&self, request: &SlotRequest) -> Result<(), Reason> {
        if self.stopping.begun() {
            return Err(Reason::Stopping);
        }
        if !self.is_certain() {
            return Err(Reason::Uncertain);
        }
        if !self.team_may_start(request.team.as_ref()) {
            return Err(Reason::AtLimit);
        }
        let waits = self.cfg.policy.queue_peer_requests || self.fleet.free_slots() > 0;
        if !waits || self.calls.queue.len() >= self.cfg.queue_max {
            return Err(Reason::QueueFull);
        }
        Ok(())
    }

    /// Grants a slot to the peer's request at the head of the queue; returns whether it did.
    pub(super) fn grant(&mut self, from: MemberId, call: CallKey, class: Class) -> bool {
        let waiter = Waiter::Peer(from, call);
        let Some(waiting) = self.calls.peer_requests.get(&(from, call)) else {
            self.calls.queue.remove(waiter);
            return false;
        };
        let request = waiting.request.clone();
        let Some(key) = self.find_worker(&request.size, class) else {
            return false;
        };
        let charged = self.cost(&request.size, Duration(request.run_us));
        self.calls.queue.started(self.now, waiter, charged);
        self.drop_peer_request(from, call);
        if class != Class::Long {
            self.calls.short_slots += request.size.slots;
        }
        let started = Started {
            at: self.now,
            charged,
            class,
        };
        let msg = self.grant_on(key, from, request, started);
        self.send(from, msg);
        true
    }

    fn grant_on(
        &mut self,
        key: VmKey,
        from: MemberId,
        request: SlotRequest,
        started: Started,
    ) -> PeerMsg {
        self.used.add(request.team.as_ref());
        let (vm, addr) = self.fleet.update(key, |vm| {
            vm.start_request(&request.size);
            (vm.info.name.clone(), vm.info.addr.clone())
        });
        let timing = &self.cfg.timing;
        let longest =
            timing.grant_validity + timing.dispatch_max + Duration::from_millis(request.timeout_ms);
        let granted = Granted {
            asked: request.asked,
            vm: key,
            team: request.team,
            size: request.size,
            until: self.now + longest.times(2),
            started,
        };
        let SlotRequest { call, asked, .. } = request;
        self.calls.granted.insert((from, call), granted);
        PeerMsg::SlotGrant {
            call,
            asked,
            vm,
            addr,
        }
    }
}
