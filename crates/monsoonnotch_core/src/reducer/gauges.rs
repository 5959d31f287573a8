//! Gauges of the control state, read on demand for the metrics.

use std::collections::BTreeMap;

use super::Control;
use crate::effect::Answer;
use crate::effect::Effect;
use crate::ident::Name;
use crate::ident::Ticket;

/// Gauges of the process.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Gauges {
    /// Whether the process is certain of its membership, so that it may start work.
    pub certain: bool,
    /// Whether the last exchange with the log failed.
    pub log_unavailable: bool,
    /// Whether a graceful shutdown has begun.
    pub stopping: bool,
    /// Offset of the next record of the control stream.
    pub control_offset: u64,
    /// Number of current members, including this one.
    pub members: usize,
    /// Number of requests that wait for a slot, those of peers included.
    pub waiting: usize,
    /// Number of requests of this entry's callers that have no final response yet.
    pub open_calls: usize,
    /// Number of slots granted to peers.
    pub granted_slots: usize,
    /// Number of free slots on held workers that accept work.
    pub free_slots: u64,
    /// Number of workers that this process holds.
    pub held_workers: usize,
    /// Number of held workers that are quarantined because the work on them fails.
    pub quarantined_workers: usize,
    /// Number of requests whose outcome is unknown; each keeps its slots.
    pub uncertain_requests: usize,
    /// Number of tasks on held workers.
    pub tasks: usize,
    /// Number of jobs whose home is this process.
    pub jobs: usize,
    /// Gauges of each team.
    pub teams: BTreeMap<Name, TeamGauges>,
}

/// Gauges of a team at this process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct TeamGauges {
    /// Number of the team's requests and tasks on held workers.
    pub used: u32,
    /// Part of the team's limit that this process holds.
    pub allotment: u32,
    /// The team's limit over all members.
    pub limit: u32,
}

impl Control {
    pub(super) fn gauges(&mut self, ticket: Ticket) {
        let answer = Answer::Gauges(Box::new(self.read_gauges()));
        self.effects.push(Effect::Answer { ticket, answer });
    }

    fn read_gauges(&self) -> Gauges {
        let held = || self.fleet.held().map(|(_, vm)| vm);
        Gauges {
            certain: self.is_certain(),
            log_unavailable: self.log.unavailable,
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
