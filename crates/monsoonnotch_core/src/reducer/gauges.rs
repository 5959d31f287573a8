//! Numbers for the metrics, read when they are asked for.

use std::collections::BTreeMap;

use super::Control;
use crate::effect::Answer;
use crate::effect::Effect;
use crate::ident::Name;
use crate::ident::Ticket;

/// How the process stands, in numbers.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Gauges {
    /// Whether the process may start work.
    pub certain: bool,
    /// Whether the log cannot be reached.
    pub log_unavailable: bool,
    /// Whether a graceful shutdown has begun.
    pub stopping: bool,
    /// Offset of the next record of the control stream.
    pub control_offset: u64,
    /// Present members, this one included.
    pub members: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Requests of own callers that have no final answer yet.
    pub open_calls: usize,
    /// Slots granted to peers.
    pub granted_slots: usize,
    /// Free slots on held workers that take work.
    pub free_slots: u64,
    /// Workers that this process holds.
    pub held_workers: usize,
    /// Held workers that are put aside because they fail what they start.
    pub quarantined_workers: usize,
    /// Slots of requests whose end is unknown.
    pub uncertain_requests: usize,
    /// Tasks on held workers.
    pub tasks: usize,
    /// Jobs whose home is this process.
    pub jobs: usize,
    /// Teams.
    pub teams: BTreeMap<Name, TeamGauges>,
}

/// How a team stands at this process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct TeamGauges {
    /// Requests and tasks on held workers.
    pub used: u32,
    /// This process's part of the team's limit.
    pub allotment: u32,
    /// The team's limit.
    pub limit: u32,
}

impl Control {
    pub(super) fn gauges(&mut self, ticket: Ticket) {
        let answer = Answer::Gauges(Box::new(self.read_gauges()));
        self.out.push(Effect::Answer { ticket, answer });
    }

    fn read_gauges(&self) -> Gauges {
        let held = || self.fleet.held().map(|(_, vm)| vm);
        Gauges {
            certain: self.is_certain(),
            log_unavailable: self.log.dark,
            stopping: self.stopping.begun(),
            control_offset: self.ledger.next,
            members: self.ledger.members.len(),
            waiting: self.calls.queue.len(),
            open_calls: self.calls.open.len(),
            granted_slots: self.calls.granted.len(),
            free_slots: self.fleet.free_slots(),
            held_workers: held().count(),
            quarantined_workers: held().filter(|vm| vm.health.is_restricted()).count(),
            uncertain_requests: held().map(|vm| vm.uncertain.len()).sum(),
            tasks: held().map(|vm| vm.tasks.len()).sum(),
            jobs: self.jobs.len(),
            teams: self.team_gauges(),
        }
    }

    fn team_gauges(&self) -> BTreeMap<Name, TeamGauges> {
        let used: BTreeMap<&Name, u32> = self.used.teams().collect();
        let of = |name: &Name, limit: u32| TeamGauges {
            used: used.get(name).copied().unwrap_or(0),
            allotment: self.ledger.allotments.part(name, self.cfg.me),
            limit,
        };
        let teams = self.ledger.config.teams.iter();
        teams
            .map(|(name, t)| (name.clone(), of(name, t.value.limit)))
            .collect()
    }
}
