//! Cancellations of jobs that were never submitted.

use std::collections::BTreeSet;
use std::time::Duration;

use monsoonnotch_core::time;
use monsoonnotch_jobs::plan::JobId;

use crate::faults::Faults;
use crate::load::step;
use crate::random::fleet;
use crate::random::site;
use crate::random::submission;
use crate::simulation::Simulation;

fn run(sim: &mut Simulation, time: Duration) {
    for _ in 0..time.as_millis() {
        sim.step();
    }
}

/// Returns the ids whose newest cancellation record is not deleted.
fn stored_cancellations(sim: &Simulation) -> BTreeSet<JobId> {
    let mut stored = BTreeSet::new();
    for record in &sim.log {
        let id = record.key.strip_suffix(".c").and_then(|id| id.parse().ok());
        match id {
            Some(id) if record.value.is_empty() => drop(stored.remove(&id)),
            Some(id) => drop(stored.insert(id)),
            None => {}
        }
    }
    stored
}

/// Guards against a journal, and a leader, that callers fill up with cancellations of jobs that do not
/// exist. A job whose submission follows soon stays cancelled.
#[test]
fn cancellations_of_unknown_jobs_are_forgotten() {
    let mut sim = Simulation::new(5, site(0, false), fleet(2, 8_000), Faults::default());
    sim.tuning.keep_ended = time::Duration::from_secs(5);
    sim.claim();
    run(&mut sim, Duration::from_millis(100));
    for id in 0..9_000 {
        sim.cancel(JobId(id));
    }
    run(&mut sim, Duration::from_secs(1));
    assert_eq!(stored_cancellations(&sim).len(), 9_000);
    let job = submission(&sim, "bulk", "ann", vec![step(1, 500, 10)]);
    sim.submit(JobId(7), job);
    run(&mut sim, Duration::from_secs(2));
    assert!(sim.done.is_empty(), "a cancelled job has run");
    run(&mut sim, Duration::from_secs(9));
    assert_eq!(stored_cancellations(&sim), BTreeSet::new());
}
