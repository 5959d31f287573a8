//! Gauges, set from a snapshot of the control state.

use monsoonnotch_core::ident::Name;
use monsoonnotch_core::reducer::Gauges;
use monsoonnotch_core::reducer::TeamGauges;

/// Sets all gauges from a snapshot of the control state and the readiness of the entry.
pub fn publish(g: &Gauges, ready: bool) {
    set(super::CERTAIN, u64::from(g.certain));
    set(super::LOG_UNAVAILABLE, u64::from(g.log_unavailable));
    set(super::STOPPING, u64::from(g.stopping));
    set(super::READY, u64::from(ready));
    set(super::CONTROL_OFFSET, g.control_offset);
    set(super::MEMBERS, g.members as u64);
    set(super::WAITING_REQUESTS, g.waiting as u64);
    set(super::OPEN_REQUESTS, g.open_calls as u64);
    set(super::GRANTED_SLOTS, g.granted_slots as u64);
    set(super::FREE_SLOTS, g.free_slots);
    set(super::HELD_WORKERS, g.held_workers as u64);
    set(super::QUARANTINED_WORKERS, g.quarantined_workers as u64);
    set(super::UNCERTAIN_SLOTS, g.uncertain_requests as u64);
    set(super::TASKS, g.tasks as u64);
    set(super::JOBS, g.jobs as u64);
    for (name, team) in &g.teams {
        publish_team(name, team);
    }
}

fn publish_team(name: &Name, team: &TeamGauges) {
    let set = |metric: &'static str, n: u32| {
        metrics::gauge!(metric, "team" => name.to_string()).set(f64::from(n));
    };
    set(super::TEAM_USED, team.used);
    set(super::TEAM_ALLOTMENT, team.allotment);
    set(super::TEAM_LIMIT, team.limit);
}

fn set(name: &'static str, n: u64) {
    metrics::gauge!(name).set(n as f64);
}
