//! Slots of own workers that peers use for their callers.

use super::Control;
use crate::call::Granted;
use crate::ident::CallKey;
use crate::ident::MemberId;
use crate::time::Duration;
use crate::verdict::Reason;
use crate::verdict::Verdict;
use crate::wire::PeerMsg;
use crate::wire::SlotAsk;

impl Control {
    pub(super) fn slot_asked(&mut self, from: MemberId, ask: SlotAsk) {
        let call = ask.call;
        if self.calls.granted.contains_key(&(from, call)) {
            return;
        }
        match self.grant(from, &ask) {
            Ok(msg) => self.send(from, msg),
            Err(reason) => self.send(from, PeerMsg::SlotNone { call, reason }),
        }
    }

    pub(super) fn slot_returned(&mut self, from: MemberId, call: CallKey, verdict: Verdict) {
        if let Some(g) = self.calls.granted.remove(&(from, call)) {
            self.end_use(g.vm, g.team.as_ref(), &g.size, verdict);
        }
    }

    /// A peer that does not return a slot in time may have gone while it used it.
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
            self.slot_returned(from, call, Verdict::MayHaveRun);
        }
    }

    /// Slots of a former peer become doubtful once it can use them no more.
    pub(super) fn grants_peer_ended(&mut self, m: MemberId) {
        let until = self.now + self.cfg.timing.evict();
        let own = self.calls.granted.iter_mut().filter(|((p, _), _)| *p == m);
        for (_, g) in own {
            g.until = g.until.min(until);
        }
    }

    fn grant(&mut self, from: MemberId, ask: &SlotAsk) -> Result<PeerMsg, Reason> {
        if self.stopping.begun() {
            return Err(Reason::Stopping);
        }
        if !self.is_certain() {
            return Err(Reason::Uncertain);
        }
        if !self.team_may_start(ask.team.as_ref()) {
            return Err(Reason::AtLimit);
        }
        let key = self
            .fleet
            .place_request(&ask.size)
            .ok_or(Reason::QueueFull)?;
        self.used.add(ask.team.as_ref());
        let (vm, addr) = self.fleet.update(key, |vm| {
            vm.start_request(&ask.size);
            (vm.info.name.clone(), vm.info.addr.clone())
        });
        let timing = &self.cfg.timing;
        let longest = timing.grant + timing.dispatch + Duration::from_millis(ask.timeout_ms);
        let granted = Granted {
            vm: key,
            team: ask.team.clone(),
            size: ask.size,
            until: self.now + longest.times(2),
        };
        self.calls.granted.insert((from, ask.call), granted);
        let call = ask.call;
        Ok(PeerMsg::SlotGrant { call, vm, addr })
    }
}
