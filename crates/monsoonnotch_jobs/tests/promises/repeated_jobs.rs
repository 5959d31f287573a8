//! Jobs that run often, and what they take of the leader's memory and of the journal.

use std::time::Duration;

use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::Outcome;
use monsoonnotch_jobs::journal::Submission;
use monsoonnotch_jobs::plan::JobId;

use crate::faults::Faults;
use crate::load::step;
use crate::random::fleet;
use crate::random::site;
use crate::random::submission;
use crate::simulation::RECORD_BYTES_MAX;
use crate::simulation::START_UNIX_MS;
use crate::simulation::Simulation;

const REPEATED: JobId = JobId(1);
/// What a small job may take of the leader's memory, in bytes, however often it runs.
const JOB_MEMORY_MAX: u64 = 256 << 10;

fn run(sim: &mut Simulation, time: Duration) {
    for _ in 0..time.as_millis() {
        sim.step();
    }
}

/// Returns a job of one task that was due `repeats` times by now.
fn repeated(sim: &Simulation, repeats: u32) -> Submission {
    let mut job = submission(sim, "bulk", "ann", vec![step(1, 500, 5)]);
    job.plan.repeats = repeats;
    job.plan.first_ms = START_UNIX_MS - 1_000_000;
    job.plan.every_ms = 1;
    job
}

fn jobs_memory(sim: &Simulation) -> u64 {
    let leader = sim.members.last().and_then(|m| m.scheduler.as_ref());
    leader.expect("the newest member leads").jobs_memory()
}

/// Guards against a leader that opens all occurrences of a job at once, keeps those that are complete, or
/// stores all of them in one record: it runs out of memory, or the store refuses the record, and each
/// leader after it fails in the same way.
#[test]
fn a_job_that_runs_often_does_not_grow() {
    let mut sim = Simulation::new(5, site(0, false), fleet(3, 8_000), Faults::default());
    sim.claim();
    run(&mut sim, Duration::from_millis(100));
    let job = repeated(&sim, 100_000);
    sim.submit(REPEATED, job);
    for _ in 0..4 {
        run(&mut sim, Duration::from_secs(6));
        assert!(jobs_memory(&sim) <= JOB_MEMORY_MAX, "{}", jobs_memory(&sim));
        sim.kill();
        sim.claim();
    }
    let other = JobId(2);
    let job = submission(&sim, "bulk", "bob", vec![step(2, 500, 50)]);
    sim.submit(other, job);
    run(&mut sim, Duration::from_secs(10));
    assert_eq!(sim.outcome(other), Some(Outcome::Completed));
    assert!(sim.done.len() > 5_000, "{} tasks succeeded", sim.done.len());
    let largest = sim.log.iter().map(|r| r.value.len()).max();
    assert!(largest < Some(RECORD_BYTES_MAX / 16), "{largest:?} bytes");
}

/// The occurrences that a predecessor has stored as complete do not run again, which the simulation
/// checks, and the others do.
#[test]
fn every_occurrence_runs_once_over_changes_of_leader() {
    for seed in 0..12 {
        let mut sim = Simulation::new(seed, site(0, false), fleet(2, 8_000), Faults::default());
        sim.claim();
        run(&mut sim, Duration::from_millis(50));
        let job = repeated(&sim, 400);
        sim.submit(REPEATED, job);
        for _ in 0..3 {
            run(&mut sim, Duration::from_millis(300 + 70 * seed));
            sim.kill();
            sim.claim();
        }
        run(&mut sim, Duration::from_secs(30));
        assert_eq!(
            sim.outcome(REPEATED),
            Some(Outcome::Completed),
            "seed {seed}"
        );
        assert_eq!(sim.done.len(), 400, "seed {seed}");
    }
}

/// Guards against a leader that fills up with jobs that have ended.
#[test]
fn a_job_that_has_ended_takes_less_memory() {
    let mut sim = Simulation::new(5, site(0, false), fleet(3, 8_000), Faults::default());
    sim.claim();
    run(&mut sim, Duration::from_millis(100));
    let job = submission(&sim, "bulk", "ann", vec![step(200, 100, 2_000)]);
    sim.submit(REPEATED, job);
    run(&mut sim, Duration::from_millis(100));
    let open = jobs_memory(&sim);
    run(&mut sim, Duration::from_secs(10));
    assert_eq!(sim.outcome(REPEATED), Some(Outcome::Completed));
    assert!(
        jobs_memory(&sim) * 20 < open,
        "{} of {open}",
        jobs_memory(&sim)
    );
}

/// Guards against a job that the store refuses although its request was within the limits: records leave
/// out what requests leave out.
#[test]
fn a_job_of_many_small_steps_fits_into_a_record() {
    let sim = Simulation::new(5, site(0, false), fleet(1, 8_000), Faults::default());
    let after = |i: u16| i.checked_sub(1).into_iter().collect();
    let steps = (0..4_000).map(|i| monsoonnotch_jobs::plan::Step {
        after: after(i),
        ..step(1, 0, 0)
    });
    let job = submission(&sim, "bulk", "ann", steps.collect());
    assert!(job.plan.is_admissible());
    let record = journal::submission_record(REPEATED, &job);
    assert!(
        record.value.len() < RECORD_BYTES_MAX / 2,
        "{}",
        record.value.len()
    );
    let decoded = journal::decode_entry(&record);
    assert_eq!(
        decoded,
        Some(journal::Entry::Submitted(REPEATED, Box::new(job)))
    );
}
