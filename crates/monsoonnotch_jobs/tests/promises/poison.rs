//! Tests of poison tasks, each of which crashes every VM that starts it.

use std::collections::BTreeMap;

use compact_str::format_compact;
use monsoonnotch_jobs::journal::Outcome;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::StageId;
use monsoonnotch_jobs::plan::Step;
use monsoonnotch_jobs::plan::TaskId;
use monsoonnotch_jobs::vm::Registration;
use rand::RngExt;
use rstest::rstest;

use crate::faults::Faults;
use crate::random::cpu;
use crate::random::fleet;
use crate::random::site;
use crate::random::submission;
use crate::simulation::Simulation;

/// Number of VMs, a third of them in each failure domain.
const VMS: u64 = 12;
/// Shortest time between two crashes in one failure domain, or by one job, that a task causes
/// which has crashed a VM before: a VM is down for as long.
const CRASH_DISTANCE_MS: u64 = 3_000;
/// Largest number of VMs that one job crashes in a second, apart from the VMs that its tasks are
/// first started on.
const CRASHES_PER_S_MAX: usize = 1;
/// Time within which a job with a poison task is given up, in milliseconds.
const GIVEN_UP_MS: u64 = 20_000;
/// Job with the poison task.
const POISON: JobId = JobId(1);

/// Returns a fleet in three failure domains, each VM with an address of its own.
fn domains() -> Vec<Registration> {
    let place = |(i, vm): (usize, Registration)| Registration {
        addr: format_compact!("10.0.0.{i}:1"),
        domain: format_compact!("d{}", i % 3),
        ..vm
    };
    fleet(VMS, 4_000)
        .into_iter()
        .enumerate()
        .map(place)
        .collect()
}

fn step(count: u32) -> Step {
    Step {
        count,
        need: cpu(500),
        estimate_ms: 400,
        ..Step::default()
    }
}

fn task(job: JobId, index: u32) -> TaskId {
    let stage = StageId {
        job,
        occurrence: 0,
        step: 0,
    };
    TaskId { stage, index }
}

/// Starts a simulation whose leader has seen all VMs.
fn simulation(seed: u64, same_id: bool) -> Simulation {
    let mut sim = Simulation::new(seed, site(0, false), domains(), Faults::default());
    sim.poison.same_id = same_id;
    sim.claim();
    run(&mut sim, 500);
    sim
}

fn run(sim: &mut Simulation, ms: u64) {
    for _ in 0..ms {
        sim.step();
        sim.record_ends();
    }
}

/// Submits a job with one step, whose tasks at `poison` crash their VMs.
fn submit(sim: &mut Simulation, id: JobId, step: Step, poison: &[u32]) {
    sim.poison.tasks.extend(poison.iter().map(|&i| task(id, i)));
    let job = submission(sim, "bulk", "ann", vec![step]);
    sim.submit(id, job);
}

/// Runs for `ms`; an innocent job with three tasks is submitted every 100 ms.
fn run_among_others(sim: &mut Simulation, ms: u64) {
    let end = sim.now + ms;
    while sim.now < end {
        if sim.now.is_multiple_of(100) {
            submit(sim, JobId(1_000 + sim.now), step(3), &[]);
        }
        run(sim, 1);
    }
}

/// Lets the jobs end, and checks what holds of all of them.
fn finish(sim: &mut Simulation) {
    run(sim, GIVEN_UP_MS);
    sim.check_failed_jobs();
    let poisoned = |id: &JobId| sim.poison.tasks.iter().any(|t| t.stage.job == *id);
    for id in sim.jobs.keys() {
        let outcome = match poisoned(id) {
            true => Outcome::Failed,
            false => Outcome::Completed,
        };
        assert_eq!(sim.outcome(*id), Some(outcome), "job {id}");
    }
    check_distances(sim);
}

/// Checks that suspects are tried one after another in a failure domain, and so are those of
/// one job.
fn check_distances(sim: &Simulation) {
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    for crash in sim.poison.crashes.iter().filter(|c| c.again) {
        for key in [crash.domain.clone(), crash.task.stage.job.to_string()] {
            if let Some(before) = last.insert(key, crash.at) {
                let distance = crash.at - before;
                assert!(distance >= CRASH_DISTANCE_MS, "{distance} ms: {crash:?}");
            }
        }
    }
}

/// A task crashes each VM that starts it. It must be given up, under both forms of restart,
/// instead of being started on one VM after another for ever.
#[rstest]
#[case::other_id(false)]
#[case::same_id(true)]
fn a_task_that_crashes_its_vms_is_given_up(#[case] same_id: bool) {
    let mut sim = simulation(1, same_id);
    submit(&mut sim, POISON, step(1), &[0]);
    run(&mut sim, 1_000);
    finish(&mut sim);
    assert_eq!(sim.poison.crashes.len(), 2);
}

/// Many poison tasks among innocent ones, which are on the VMs that crash. No innocent job
/// may be shown as failed.
#[rstest]
#[case::other_id(false, 1)]
#[case::other_id_again(false, 2)]
#[case::same_id(true, 3)]
#[case::same_id_again(true, 4)]
fn neighbours_of_poison_tasks_are_not_given_up(#[case] same_id: bool, #[case] seed: u64) {
    let mut sim = simulation(seed, same_id);
    for i in 0..5 {
        submit(&mut sim, JobId(1 + i), step(3), &[1]);
        run_among_others(&mut sim, 700);
    }
    run_among_others(&mut sim, 12_000);
    finish(&mut sim);
}

/// The leader is killed, or paused and superseded, between the crash and the next start, and
/// again after it. The successor must know the crashes that its predecessor counted.
#[rstest]
#[case::killed(true, 3_500)]
#[case::killed_as_the_vm_returns(true, 3_020)]
#[case::killed_soon_after_the_next_start(true, 4_800)]
#[case::killed_before_the_crash_is_known(true, 1_500)]
#[case::paused(false, 3_500)]
#[case::paused_as_the_vm_returns(false, 3_020)]
#[case::paused_soon_after_the_next_start(false, 4_800)]
fn the_count_outlives_the_leader(#[case] killed: bool, #[case] after_ms: u64) {
    let mut sim = simulation(7, false);
    submit(&mut sim, POISON, step(1), &[0]);
    for _ in 0..3 {
        run(&mut sim, after_ms);
        match killed {
            true => sim.kill(),
            false => sim.freeze(4_000),
        }
        sim.claim();
    }
    finish(&mut sim);
    assert!(sim.poison.crashes.len() <= 4);
}

/// Two poison tasks crash one VM at the same time. The one that is given up first must not take the
/// crash back from the other.
#[test]
fn two_poison_tasks_on_one_vm_are_given_up_alike() {
    let mut sim = simulation(51, false);
    let jobs = [JobId(1), JobId(2)];
    for id in jobs {
        submit(&mut sim, id, step(1), &[0]);
    }
    run_among_others(&mut sim, 12_000);
    finish(&mut sim);
    for id in jobs {
        assert_eq!(sim.poison.under[&task(id, 0)], 2, "job {id}");
    }
}

/// VMs crash for reasons of their own, are unreachable and leave, while suspects and other
/// tasks run there. Nothing of it may convict a task.
#[rstest]
#[case::other_id(false, 11)]
#[case::other_id_again(false, 12)]
#[case::same_id(true, 13)]
#[case::same_id_again(true, 14)]
fn vms_that_crash_by_themselves_convict_no_task(#[case] same_id: bool, #[case] seed: u64) {
    let mut sim = simulation(seed, same_id);
    for _ in 0..40 {
        run_among_others(&mut sim, 300);
        let up = sim.vms.iter().filter(|(_, v)| v.up);
        let up: Vec<String> = up.map(|(id, _)| id.clone()).collect();
        let id = up[sim.rng.random_range(0..up.len())].clone();
        match sim.rng.random_range(0..3) {
            0 => sim.crash_for_a_while(&id),
            1 => sim.make_unreachable(&id, 6_000),
            _ => {}
        }
    }
    finish(&mut sim);
}

/// All VMs of a failure domain lose power at once. Their tasks must all complete, soon.
#[test]
fn a_domain_that_loses_power_delays_its_tasks_only() {
    let mut sim = simulation(21, false);
    run_among_others(&mut sim, 2_000);
    let in_domain = |v: &crate::vm::Vm| v.registration.domain == "d1";
    let ids = sim.vms.iter().filter(|(_, v)| in_domain(v));
    for id in ids.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
        sim.crash_for_a_while(&id);
    }
    run_among_others(&mut sim, 8_000);
    let due = sim.now - 3_000;
    let early = sim.jobs.iter();
    let early = early.filter(|(_, j)| j.accepted_ms < crate::simulation::START_UNIX_MS + due);
    for (id, _) in early {
        assert_eq!(sim.outcome(*id), Some(Outcome::Completed), "job {id}");
    }
    finish(&mut sim);
}

/// A poison task in a gang crashes the VM of each attempt of the gang; one that lasts and one
/// that may have copies are no exception.
#[rstest]
#[case::gang(Step { gang: true, ..step(4) })]
#[case::long_lived(Step { long_lived: true, ..step(2) })]
#[case::copies(Step { copies: true, ..step(3) })]
#[case::one_on_each_vm(Step { per_vm_max: 1, ..step(3) })]
fn poison_tasks_of_every_kind_are_given_up(#[case] step: Step) {
    let mut sim = simulation(31, false);
    submit(&mut sim, POISON, step, &[1]);
    run_among_others(&mut sim, 10_000);
    finish(&mut sim);
    assert!(sim.poison.crashes.len() <= 3);
}

/// All tasks of a job crash their VMs. After those that the first starts reached, the job must
/// not take down one VM after another.
#[test]
fn a_job_of_poison_tasks_crashes_few_vms_at_a_time() {
    let mut sim = simulation(41, false);
    let all: Vec<u32> = (0..30).collect();
    submit(&mut sim, POISON, step(30), &all);
    run(&mut sim, 2_000);
    let first = sim.poison.crashes.len();
    let from = sim.now;
    run_among_others(&mut sim, 10_000);
    finish(&mut sim);
    let later: Vec<u64> = sim.poison.crashes[first..].iter().map(|c| c.at).collect();
    for at in &later {
        let near = later.iter().filter(|t| (*at..at + 1_000).contains(*t));
        assert!(near.count() <= CRASHES_PER_S_MAX, "{later:?} from {from}");
    }
    assert!(sim.poison.crashes.len() <= first + 2);
}

/// A job has more poison tasks than the VMs can take at once. It must not crash all VMs before
/// the first crash is known.
#[test]
fn a_wide_job_of_poison_tasks_crashes_a_part_of_the_vms() {
    let mut sim = simulation(42, false);
    let all: Vec<u32> = (0..40).collect();
    let wide = Step {
        need: cpu(2_000),
        ..step(40)
    };
    submit(&mut sim, POISON, wide, &all);
    run(&mut sim, 2_900);
    assert!(sim.poison.crashes.len() <= (VMS / 3) as usize);
    run(&mut sim, 10_000);
    finish(&mut sim);
}
