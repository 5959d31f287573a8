//! The dump of the process state for operators.

use serde::Serialize;

use super::Control;
use crate::effect::Answer;
use crate::effect::Effect;
use crate::event::VmInfo;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::Ticket;
use crate::ledger::Ledger;
use crate::resource::Resources;
use crate::time::Time;

/// The content of a dump.
#[derive(Debug, Serialize)]
struct State<'a> {
    member: Name,
    now: Time,
    certain: bool,
    certain_until: Time,
    log_dark: bool,
    stopping: bool,
    waiting: usize,
    open_calls: usize,
    granted_slots: usize,
    free_slots: u64,
    jobs: usize,
    used: Vec<(&'a Name, u32)>,
    peers: Vec<Peer>,
    vms: Vec<VmState<'a>>,
    ledger: &'a Ledger,
}

/// The last load summary of a peer.
#[derive(Debug, Serialize)]
struct Peer {
    member: MemberId,
    age_ms: u64,
    free: u32,
    waiting: u32,
}

/// A VM and its state at this member.
#[derive(Debug, Serialize)]
pub(super) struct VmState<'a> {
    info: &'a VmInfo,
    held: bool,
    known: bool,
    used: &'a Resources,
    requests: u32,
    doubts: usize,
    tasks: usize,
    aside: bool,
    draining: bool,
}

impl Control {
    pub(super) fn dump(&mut self, ticket: Ticket) {
        let text = serde_json::to_string(&self.state()).expect("the state has a JSON form");
        let answer = Answer::Dump(text);
        self.effects.push(Effect::Answer { ticket, answer });
    }

    fn state(&self) -> State<'_> {
        State {
            member: self.cfg.me.to_string().into(),
            now: self.now,
            certain: self.is_certain(),
            certain_until: self.certain_until(),
            log_dark: self.log.unavailable,
            stopping: self.stopping.begun(),
            waiting: self.calls.queue.len(),
            open_calls: self.calls.open.len(),
            granted_slots: self.calls.granted.len(),
            free_slots: self.fleet.free_slots(),
            jobs: self.jobs.len(),
            used: self.used.teams().collect(),
            peers: self.peer_states(),
            vms: self.vm_states(),
            ledger: &self.ledger,
        }
    }

    fn peer_states(&self) -> Vec<Peer> {
        let summaries = self.peers.summaries.iter();
        summaries
            .map(|(m, (at, s))| Peer {
                member: *m,
                age_ms: self.now.since(*at).as_millis(),
                free: s.free,
                waiting: s.waiting,
            })
            .collect()
    }

    pub(super) fn vm_states(&self) -> Vec<VmState<'_>> {
        let vms = self.fleet.iter();
        vms.map(|(_, vm)| VmState {
            info: &vm.info,
            held: vm.held.is_some(),
            known: vm.held.is_some_and(|h| h.reported),
            used: &vm.used,
            requests: vm.requests,
            doubts: vm.uncertain.len(),
            tasks: vm.tasks.len(),
            aside: vm.health.is_restricted(),
            draining: vm.draining,
        })
        .collect()
    }
}
