//! Limits, capacity and labels that fall below what accepted work needs.

use monsoonnotch_core::resource::Resources;
use monsoonnotch_jobs::journal::Outcome;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::Step;
use monsoonnotch_jobs::site::PublishedConfig;
use rand::RngExt;
use rstest::rstest;

use crate::faults::Faults;
use crate::faults::vm_traits;
use crate::load::step;
use crate::random::cpu;
use crate::random::fleet;
use crate::random::random_steps;
use crate::random::site;
use crate::random::submission;
use crate::simulation::Simulation;

/// Time for which a job may have nothing running although there is room for it, in milliseconds.
const WAIT_MAX_MS: u64 = 3_000;
/// Time for which a long-lived task may run nowhere, in milliseconds.
const LONG_LIVED_WAIT_MAX_MS: u64 = 6_000 + WAIT_MAX_MS;
/// Limit of each account before it is lowered, in thousandths of a core.
const LIMIT_MILLI: u64 = 20_000;

fn run(sim: &mut Simulation, ms: u64) {
    for _ in 0..ms {
        sim.step();
    }
}

/// Returns a leader's site of six VMs of 8 cores whose accounts may use [`LIMIT_MILLI`].
fn simulation() -> Simulation {
    let cfg = site(LIMIT_MILLI, false);
    let mut sim = Simulation::new(15, cfg, fleet(6, 8_000), Faults::default());
    sim.claim();
    run(&mut sim, 100);
    sim
}

fn submit(sim: &mut Simulation, id: u64, queue: &str, steps: Vec<Step>) {
    let job = submission(sim, queue, "ann", steps);
    sim.submit(JobId(id), job);
}

/// Returns the configuration with other limits of the account `ann`.
fn limited(limit: Resources) -> PublishedConfig {
    let mut cfg = site(LIMIT_MILLI, false);
    if let Some(ann) = cfg.accounts.get_mut("ann") {
        ann.limit = limit;
    }
    cfg
}

/// Returns a step that follows the first one.
fn second(step: Step) -> Step {
    Step {
        after: vec![0],
        ..step
    }
}

fn long_lived(count: u32, milli: u64) -> Step {
    Step {
        long_lived: true,
        ..step(count, milli, 1_000)
    }
}

fn gang(count: u32, milli: u64, estimate_ms: u64) -> Step {
    Step {
        gang: true,
        ..step(count, milli, estimate_ms)
    }
}

/// Returns how many tasks of a job run.
fn running(sim: &Simulation, id: u64) -> usize {
    let tasks = sim.vms.values().flat_map(|v| v.running.keys());
    tasks.filter(|t| t.stage.job == JobId(id)).count()
}

/// Guards against accepted work that never starts: the limit of its account was lowered below what a single
/// task needs.
#[rstest]
#[case::of_processors("bulk", cpu(3_000), false)]
#[case::of_an_urgent_queue("quick", cpu(3_000), false)]
#[case::of_memory("bulk", Resources { memory_mib: 1_000, ..Resources::default() }, false)]
#[case::before_a_new_leader("bulk", cpu(3_000), true)]
#[case::to_a_single_thousandth("bulk", cpu(1), false)]
fn a_task_above_a_lowered_limit_runs(
    #[case] queue: &str,
    #[case] limit: Resources,
    #[case] new_leader: bool,
) {
    let mut sim = simulation();
    let steps = vec![step(1, 1_000, 1_000), second(step(2, 4_000, 300))];
    submit(&mut sim, 1, queue, steps);
    run(&mut sim, 200);
    sim.publish(limited(limit));
    run(&mut sim, 500);
    if new_leader {
        sim.kill();
        sim.claim();
    }
    run(&mut sim, 600 + 2 * (WAIT_MAX_MS + 300));
    assert_eq!(sim.outcome(JobId(1)), Some(Outcome::Completed));
}

/// Guards against accepted work that waits for as long as others run: its account uses less than half of the
/// lowered limit for good, and the rest is less than one task needs.
#[test]
fn a_task_starts_beside_long_lived_ones_that_use_less_than_half_of_the_limit() {
    let mut sim = simulation();
    submit(&mut sim, 1, "bulk", vec![long_lived(2, 1_000)]);
    run(&mut sim, 500);
    sim.publish(limited(cpu(5_000)));
    run(&mut sim, 1_000);
    submit(&mut sim, 2, "bulk", vec![step(3, 4_000, 500)]);
    run(&mut sim, 3 * (WAIT_MAX_MS + 500));
    assert_eq!(sim.outcome(JobId(2)), Some(Outcome::Completed));
    assert_eq!(running(&sim, 1), 2, "the long-lived tasks go on");
}

/// Guards against a service that is never back: its task is above the lowered limit and its VM crashes.
#[test]
fn a_long_lived_task_above_a_lowered_limit_starts_again() {
    let mut sim = simulation();
    submit(&mut sim, 1, "quick", vec![long_lived(1, 4_000)]);
    run(&mut sim, 500);
    sim.publish(limited(cpu(3_000)));
    run(&mut sim, 2_500);
    let of_job = |id: &&String| !sim.vms[*id].running.is_empty();
    let vm = sim.vms.keys().find(of_job).cloned();
    let vm = vm.expect("the task runs");
    sim.crash(&vm);
    run(&mut sim, 300);
    sim.restart(&vm);
    run(&mut sim, LONG_LIVED_WAIT_MAX_MS);
    assert_eq!(running(&sim, 1), 1, "it runs again");
}

/// Guards against a gang that never starts although all its tasks but one fit into the lowered limit, and against
/// one that exceeds it by more than a task.
#[test]
fn a_gang_may_exceed_a_lowered_limit_by_one_task() {
    let mut sim = simulation();
    submit(
        &mut sim,
        1,
        "bulk",
        vec![step(1, 1_000, 3_000), second(gang(5, 4_000, 500))],
    );
    submit(
        &mut sim,
        2,
        "bulk",
        vec![step(1, 1_000, 3_000), second(gang(6, 3_500, 500))],
    );
    run(&mut sim, 200);
    sim.publish(limited(cpu(16_500)));
    run(&mut sim, 3_000 + 2 * WAIT_MAX_MS);
    assert_eq!(sim.outcome(JobId(1)), Some(Outcome::Completed));
    assert_eq!(
        sim.outcome(JobId(2)),
        None,
        "five of its tasks are above the limit"
    );
    submit(&mut sim, 3, "bulk", vec![step(8, 1_000, 100)]);
    run(&mut sim, WAIT_MAX_MS);
    assert_eq!(
        sim.outcome(JobId(3)),
        Some(Outcome::Completed),
        "others go on"
    );
    sim.publish(limited(cpu(LIMIT_MILLI)));
    run(&mut sim, 1_000 + WAIT_MAX_MS);
    assert_eq!(sim.outcome(JobId(2)), Some(Outcome::Completed));
}

/// Guards against work that never starts on an empty pool: the VMs that are left have no more room than it needs,
/// and a part of that is reserved.
#[rstest]
#[case::for_a_task(step(1, 8_000, 500))]
#[case::for_a_gang(gang(2, 4_000, 500))]
fn work_that_needs_all_of_a_shrunken_pool_starts(#[case] large: Step) {
    let mut sim = Simulation::new(15, site(0, false), fleet(2, 8_000), Faults::default());
    sim.claim();
    run(&mut sim, 100);
    submit(
        &mut sim,
        1,
        "bulk",
        vec![step(1, 1_000, 1_000), second(large)],
    );
    run(&mut sim, 200);
    let idle = sim.vms.keys().find(|id| sim.vms[*id].running.is_empty());
    let idle = idle.cloned().expect("one task runs");
    sim.crash(&idle);
    sim.withdraw(&idle, 60_000);
    run(&mut sim, 1_000 + WAIT_MAX_MS);
    assert_eq!(sim.outcome(JobId(1)), Some(Outcome::Completed));
}

/// Guards against work that stays behind once there are VMs again that can run it, and against other work that
/// waits for it meanwhile: the VMs with its label are lost.
#[test]
fn work_whose_label_is_lost_starts_when_vms_with_it_are_back() {
    let mut vms = fleet(6, 8_000);
    for vm in &mut vms[..2] {
        vm.labels.push("large".into());
    }
    let mut sim = Simulation::new(15, site(LIMIT_MILLI, false), vms, Faults::default());
    sim.claim();
    run(&mut sim, 100);
    let labelled = Step {
        label: Some("large".into()),
        ..step(2, 4_000, 500)
    };
    submit(
        &mut sim,
        1,
        "bulk",
        vec![step(1, 1_000, 1_000), second(labelled)],
    );
    run(&mut sim, 200);
    for id in ["v000", "v001"] {
        sim.crash(id);
        sim.withdraw(id, 60_000);
    }
    run(&mut sim, 2_000);
    submit(&mut sim, 2, "bulk", vec![step(4, 4_000, 500)]);
    run(&mut sim, WAIT_MAX_MS);
    assert_eq!(sim.outcome(JobId(2)), Some(Outcome::Completed));
    for id in ["v000", "v001"] {
        sim.restart(id);
    }
    run(&mut sim, 500 + WAIT_MAX_MS);
    assert_eq!(sim.outcome(JobId(1)), Some(Outcome::Completed));
}

/// Plays a random schedule in which limits rise and fall, also below single tasks, while leaders are killed and
/// answers are lost, or orders arrive late and out of order.
fn run_schedule(seed: u64) {
    let is_lossy = seed % 2 == 1;
    let faults = match is_lossy {
        true => Faults::lossy(0.1),
        false => Faults {
            unanswered: 0.02,
            lost: 0.03,
            failed: 0.03,
            ..Faults::default()
        },
    };
    let traits = vm_traits(200, false);
    let cfg = site(LIMIT_MILLI, !seed.is_multiple_of(3));
    let mut sim = Simulation::with_vms(seed, cfg.clone(), fleet(10, 8_000), traits, faults);
    sim.claim();
    let mut next = 1_u64;
    while sim.now < 14_000 {
        sim.step();
        if sim.rng.random_bool(0.005) {
            let steps = random_steps(&mut sim);
            let queue = ["quick", "bulk"][sim.rng.random_range(0..2)];
            submit(&mut sim, next, queue, steps);
            next += 1;
        }
        if sim.rng.random_bool(0.0005) {
            let mut cfg = cfg.clone();
            let limit = cpu(sim.rng.random_range(1..LIMIT_MILLI));
            for account in cfg.accounts.values_mut() {
                account.limit = limit;
            }
            sim.publish(cfg);
        }
        if sim.rng.random_bool(0.0003) {
            sim.kill();
            sim.claim();
        }
    }
    sim.faults = match is_lossy {
        true => Faults::none_with_timeouts(),
        false => Faults::default(),
    };
    // Gangs that need more than the last limit wait for a higher one.
    sim.publish(cfg);
    run(&mut sim, 60_000);
    for id in sim.jobs.keys() {
        assert!(sim.outcome(*id).is_some(), "job {id} did not end");
    }
}

/// Guards against limits that are exceeded, and work that never ends, while limits rise and fall.
#[test]
fn random_schedules_with_changing_limits_keep_them() {
    if let Ok(seed) = std::env::var("MONSOONNOTCH_SEED") {
        return run_schedule(seed.parse().expect("MONSOONNOTCH_SEED is a number"));
    }
    for seed in 0..12 {
        println!("seed {seed}");
        run_schedule(seed);
    }
}
