//! A member whose link is full: more jobs are submitted than it can start.
//!
//! Every answer is late then. Orders that are sent again, stops of runs whose start was not
//! answered and polls that overtake each other would use up the link, so that leases lapse
//! and finished runs are not known of.

use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::Step;
use rstest::rstest;

use crate::faults::Faults;
use crate::faults::vm_traits;
use crate::random::cpu;
use crate::random::fleet;
use crate::random::site;
use crate::random::submission;
use crate::simulation::Simulation;

/// Bytes that the link transmits in a millisecond: 2 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 250;
/// Tasks that are submitted in a second at load 1, which the link can start.
const TASKS_PER_S: u64 = 120;
const TASKS_PER_JOB: u32 = 4;
/// How long jobs are submitted.
const LOAD_MS: u64 = 60_000;
const VMS: u64 = 24;
/// Longest time for which a stopped run goes on, in milliseconds.
const STOP_GRACE_MS: u64 = 200;

/// Submits `load` times [`TASKS_PER_S`] for [`LOAD_MS`].
fn run_load(load: u64) -> Simulation {
    let traits = vm_traits(STOP_GRACE_MS, false);
    let faults = Faults::none_with_timeouts();
    let mut sim = Simulation::with_vms(3, site(0, false), fleet(VMS, 64_000), traits, faults);
    sim.link.bytes_per_ms = LINK_BYTES_PER_MS;
    sim.claim();
    let mut due = 0;
    let mut id = 0;
    while sim.now < LOAD_MS {
        sim.step();
        due += load * TASKS_PER_S;
        while due >= 1_000 * u64::from(TASKS_PER_JOB) {
            due -= 1_000 * u64::from(TASKS_PER_JOB);
            id += 1;
            let step = Step {
                count: TASKS_PER_JOB,
                need: cpu(4_000),
                estimate_ms: 800,
                ..Step::default()
            };
            let queue = ["quick", "bulk"][(id % 2) as usize];
            let job = submission(&sim, queue, "ann", vec![step]);
            sim.submit(JobId(id), job);
        }
    }
    sim
}

/// Guards against work about work: a task that starts again although its success was listed,
/// leases that lapse behind starts, and orders that are repeated before their answers can arrive.
#[rstest]
#[case::bearable(1)]
#[case::twice(2)]
#[case::five_times(5)]
fn a_full_link_breaks_no_promise(#[case] load: u64) {
    // Whether a task runs twice is checked at each start.
    let sim = run_load(load);
    assert_eq!(sim.link.lapsed, 0, "runs whose lease expired");
    let first = sim.link.sends.len() as u64;
    let repeated = sim.link.sends.values().sum::<u64>() - first;
    assert!(
        repeated * 5 <= first,
        "{repeated} repeated sends of {first} starts"
    );
}

/// Guards against a throughput that collapses once the link is full.
#[test]
fn a_full_link_starts_as_many_tasks_as_it_can() {
    let bearable = run_load(1).done.len();
    let overloaded = run_load(5).done.len();
    assert!(
        overloaded * 10 >= bearable * 8,
        "{overloaded} tasks done at five times the load, {bearable} at the load"
    );
}
