//! Tests of journals whose old records the platform drops.

use monsoonnotch_core::prelude::*;

use crate::simulation::Simulation;

/// Minimum time for which the platform retains the records of a journal.
const RETENTION_MIN: Duration = Duration::from_secs(1_800);

/// A home rewrites the records of its jobs before the platform drops them. Otherwise the successor
/// would not find a job that is older than the retention time.
#[test]
fn a_long_lived_job_survives_its_home_after_its_first_record_was_dropped() {
    let mut sim = Simulation::new(4, 2);
    let job = sim.submit(MemberId(1), "watch", 4, "forever");
    sim.run_until("all tasks run", |sim| sim.running() == 4);
    for _ in 0..25 {
        sim.run(100_000);
        let before = sim.now - RETENTION_MIN;
        sim.trim_journals(before);
    }
    let control = &sim.members[&MemberId(1)];
    let home = control.ledger().home_of(job.0).expect("a home");
    sim.kill(home);
    let other = MemberId(if home == MemberId(1) { 2 } else { 1 });
    sim.run_until("the successor has the job", |sim| {
        sim.status(other, job).is_some()
    });
    sim.run_until("all tasks run", |sim| sim.running() == 4);
}

#[test]
fn journals_of_an_idle_cluster_do_not_grow() {
    let mut sim = Simulation::new(4, 2);
    sim.run(60_000);
    let entries: usize = sim.journals.values().flatten().map(|(_, e)| e.len()).sum();
    assert_eq!(entries, 0);
}
