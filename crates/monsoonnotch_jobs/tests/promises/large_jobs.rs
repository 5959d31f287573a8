//! Jobs of as many tasks as one may have, and fleets of many VMs: their records fit into the store, whatever becomes of
//! the tasks, and one that the store refuses holds up nothing else.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::journal::Outcome;
use monsoonnotch_jobs::journal::Progress;
use monsoonnotch_jobs::journal::StageProgress;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::Step;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::tuning::Tuning;
use monsoonnotch_jobs::vm::Registration;
use rstest::rstest;

use crate::directed::at;
use crate::directed::deliver;
use crate::directed::polls;
use crate::directed::wait;
use crate::faults::Faults;
use crate::load::step;
use crate::random::fleet;
use crate::random::site;
use crate::random::submission;
use crate::simulation::RECORD_BYTES_MAX;
use crate::simulation::Simulation;
use crate::vm::Traits;

const LARGE: JobId = JobId(1);
const SMALL: JobId = JobId(2);
/// Time for which a job may have nothing running although there is room for it.
const WAIT_MAX: Duration = Duration::from_secs(3);

fn run(sim: &mut Simulation, time: Duration) {
    for _ in 0..time.as_millis() {
        sim.step();
    }
}

fn submit_small(sim: &mut Simulation) {
    let job = submission(sim, "quick", "bob", vec![step(2, 500, 50)]);
    sim.submit(SMALL, job);
}

/// Plays a job of 20,000 tasks, each of which fails at first, over three leaders; all its tasks may run at
/// once. The simulation checks the size of each record.
fn play_failing(checkpoint_chars: usize) {
    let faults = Faults {
        failed: 1.0,
        ..Faults::default()
    };
    let traits = Traits {
        checkpoint_chars,
        ..Traits::default()
    };
    let mut sim = Simulation::with_vms(3, site(0, false), fleet(100, 8_000), traits, faults);
    sim.claim();
    run(&mut sim, Duration::from_millis(100));
    let large = || Step {
        checkpoints: checkpoint_chars > 0,
        ..step(10_000, 40, 100)
    };
    let job = submission(&sim, "bulk", "ann", vec![large(), large()]);
    assert!(job.plan.is_admissible());
    sim.submit(LARGE, job);
    for _ in 0..2 {
        run(&mut sim, Duration::from_millis(1_500));
        sim.kill();
        sim.claim();
    }
    run(&mut sim, Duration::from_secs(3));
    sim.faults.failed = 0.0;
    submit_small(&mut sim);
    run(&mut sim, Duration::from_secs(20));
    assert_eq!(sim.outcome(SMALL), Some(Outcome::Completed));
    assert!(sim.outcome(LARGE).is_some());
}

/// Guards against a job that stops all others for good: the store refuses its record.
#[test]
fn the_records_of_a_job_whose_tasks_fail_fit() {
    play_failing(0);
}

#[test]
fn the_records_of_a_job_with_long_checkpoints_fit() {
    play_failing(100);
}

/// Guards against a job that stops all others for good: all members are down until its leases expire, so that its
/// tasks ran before and wait, or run again.
#[test]
fn the_records_of_a_job_whose_runs_all_lapse_fit() {
    const DOWN: Duration = Duration::from_millis(5_500);
    let vms = fleet(24, 8_000);
    let mut sim = Simulation::new(11, site(0, false), vms, Faults::default());
    // Numbers of attempts grow with each term.
    for _ in 0..70 {
        sim.claim();
        sim.kill();
    }
    sim.claim();
    run(&mut sim, Duration::from_millis(100));
    let large = || step(10_000, 9, 25_000);
    let job = submission(&sim, "quick", "ann", vec![large(), large()]);
    sim.submit(LARGE, job);
    run(&mut sim, Duration::from_secs(4));
    let running = sim.vms.values().map(|v| v.running.len()).sum::<usize>();
    assert!(running > 15_000, "{running} tasks run");
    for _ in 0..2 {
        sim.kill();
        run(&mut sim, DOWN);
        sim.claim();
        run(&mut sim, Duration::from_secs(2));
    }
    submit_small(&mut sim);
    run(&mut sim, WAIT_MAX);
    assert_eq!(sim.outcome(SMALL), Some(Outcome::Completed));
    let done = sim.done.len();
    run(&mut sim, Duration::from_secs(8));
    assert!(sim.done.len() > done, "the large job goes on");
}

/// Guards against a task that gets more attempts than its queue allows, or fewer, because only the last failed ones are
/// stored one by one: all fail, over changes of leader.
#[test]
fn all_failed_attempts_count_over_changes_of_leader() {
    const ATTEMPTS_MAX: u32 = 100;
    let mut cfg = site(0, false);
    for queue in cfg.queues.values_mut() {
        queue.attempts_max = ATTEMPTS_MAX;
    }
    let faults = Faults {
        failed: 1.0,
        ..Faults::default()
    };
    let mut sim = Simulation::new(7, cfg, fleet(20, 8_000), faults);
    sim.claim();
    run(&mut sim, Duration::from_millis(100));
    let job = submission(&sim, "quick", "ann", vec![step(1, 500, 50)]);
    sim.submit(LARGE, job);
    while sim.outcome(LARGE).is_none() {
        run(&mut sim, Duration::from_secs(10));
        sim.kill();
        sim.claim();
        assert!(sim.now < 600_000, "it never ends: {} starts", sim.starts);
    }
    assert_eq!(sim.outcome(LARGE), Some(Outcome::Failed));
    assert_eq!(sim.starts, u64::from(ATTEMPTS_MAX));
}

/// Guards against work that is lost or done again while the records of a release that stored a job as a whole are
/// divided: the leader that divides them is killed at any moment.
#[rstest]
#[case::at_once(1)]
#[case::before_the_first_append(20)]
#[case::between_two_appends(45)]
#[case::after_some(150)]
fn records_of_a_whole_job_are_divided_without_loss(#[case] killed_after_ms: u64) {
    const TASKS: u32 = 5_000;
    let mut sim = Simulation::new(5, site(0, false), fleet(20, 8_000), Faults::default());
    sim.claim();
    sim.kill();
    let job = submission(&sim, "quick", "ann", vec![step(TASKS, 10, 200)]);
    sim.submit(LARGE, job);
    let stage = StageProgress {
        done: (0..TASKS).filter(|i| i % 50 != 7).collect(),
        ..StageProgress::default()
    };
    let left = u64::from(TASKS) - stage.done.len() as u64;
    let progress = Progress {
        begun: true,
        stages: vec![stage],
        ..Progress::default()
    };
    sim.store_earlier(journal::progress_record(LARGE, 0, &progress));
    sim.claim();
    run(&mut sim, Duration::from_millis(killed_after_ms));
    sim.kill();
    sim.claim();
    run(&mut sim, Duration::from_secs(20));
    assert_eq!(sim.outcome(LARGE), Some(Outcome::Completed));
    // Those that had not been stored as started may start a second time.
    assert!(sim.starts <= 2 * left, "{} of {left}", sim.starts);
}

/// Guards against a job whose records the store refuses for good and that holds up others: their placements, their ends
/// and their outcomes, and VMs that join.
#[test]
fn a_job_whose_records_are_refused_holds_up_no_other() {
    let mut sim = Simulation::new(9, site(0, false), fleet(8, 8_000), Faults::default());
    sim.claim();
    run(&mut sim, Duration::from_millis(100));
    // The placements of eight tasks and the ends of forty do not fit; those of the other jobs do.
    sim.record_bytes_max = 200;
    let large = Step {
        per_vm_max: 1,
        ..step(90, 100, 300)
    };
    let job = submission(&sim, "bulk", "ann", vec![large]);
    sim.submit(LARGE, job);
    run(&mut sim, Duration::from_millis(400));
    for n in 0..40 {
        let job = submission(&sim, "quick", "bob", vec![step(2, 500, 50)]);
        sim.submit(JobId(100 + n), job);
        if n == 20 {
            sim.crash("v001");
        }
        if n == 25 {
            sim.restart("v001");
        }
        run(&mut sim, Duration::from_millis(200));
    }
    run(&mut sim, WAIT_MAX);
    for n in 0..40 {
        let outcome = sim.outcome(JobId(100 + n));
        assert_eq!(outcome, Some(Outcome::Completed), "job {n}");
    }
    assert_eq!(sim.outcome(LARGE), None, "its ends are not stored");
    sim.record_bytes_max = RECORD_BYTES_MAX;
    run(&mut sim, Duration::from_secs(20));
    assert_eq!(sim.outcome(LARGE), Some(Outcome::Completed));
}

/// Returns VMs with the longest ids, each of a kind of its own with a long name.
fn verbose_fleet(count: u64) -> Vec<Registration> {
    let mut vms = fleet(count, 8_000);
    for (n, vm) in vms.iter_mut().enumerate() {
        vm.id = format_compact!("{n:0255}");
        vm.labels = vec![CompactString::from("k".repeat(300)), format_compact!("{n}")];
    }
    vms
}

fn assert_appends_fit(fx: &[Effect]) {
    for effect in fx {
        let Effect::Append(records) = effect else {
            continue;
        };
        for KeyedRecord { key, value } in records {
            let bytes = 1 + key.len() + value.len();
            assert!(bytes <= RECORD_BYTES_MAX, "{bytes} bytes in {key}");
        }
    }
}

/// Guards against a leader that stops for good because its fleet is large: the records of the fleet, of the leases of VMs
/// that do not answer, and of the speeds of kinds.
#[test]
fn the_records_of_a_large_fleet_fit() {
    let cfg = std::sync::Arc::new(site(0, false));
    let mut scheduler = Scheduler::new(2, Tuning::default(), cfg, at(9_000));
    let vms = verbose_fleet(2_000);
    let ids: Vec<CompactString> = vms.iter().take(900).map(|v| v.id.clone()).collect();
    deliver(&mut scheduler, 0, Event::AllVms(vms.clone()));
    let speeds: Vec<(CompactString, f64)> = vms
        .iter()
        .map(|v| {
            (
                format_compact!("pool/{}", v.labels[0].clone() + &v.labels[1]),
                0.3,
            )
        })
        .collect();
    let read = vec![
        (0, journal::fleet_record(&ids)),
        (0, journal::speeds_record(&speeds)),
    ];
    deliver(&mut scheduler, 1, Event::Journal(read));
    let mut fx = deliver(&mut scheduler, 2, Event::CaughtUp { marker: 4 });
    for key in polls(&fx) {
        let answer = Err(PollError::Unresponsive);
        fx.extend(deliver(&mut scheduler, 600, Event::Polled { key, answer }));
    }
    fx.extend(wait(&mut scheduler, 610..4_000));
    let leases = |r: &KeyedRecord| r.key == journal::LEASES_KEY;
    let fleet = |r: &KeyedRecord| r.key == journal::FLEET_KEY;
    let records = || {
        fx.iter().flat_map(|e| match e {
            Effect::Append(records) => records.as_slice(),
            _ => &[],
        })
    };
    assert!(records().any(leases), "leases are stored");
    assert!(records().any(fleet), "the fleet is stored");
    assert_appends_fit(&fx);
    // Those of the predecessor stay in the fleet before any others join it.
    let last = records().rfind(|r| fleet(r));
    let Some(Some(journal::Entry::Fleet(stored))) = last.map(journal::decode_entry) else {
        panic!("the fleet is decoded");
    };
    assert!(ids.iter().all(|id| stored.contains(id)));
}
