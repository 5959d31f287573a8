//! Load pattern `large_jobs`: many jobs that are large and valid arrive at once. The leader's memory must hold
//! what is accepted, and small jobs must find room beside them.

use monsoonnotch_jobs::job_room::JobRoom;
use monsoonnotch_jobs::job_room::Known;
use monsoonnotch_jobs::plan::PLAN_TASKS_MAX;
use monsoonnotch_jobs::plan::Plan;
use monsoonnotch_jobs::plan::STEPS_MAX;
use monsoonnotch_jobs::plan::Step;
use monsoonnotch_jobs::scheduler::job_memory;
use rstest::rstest;

const MIB: u64 = 1 << 20;

fn plan(steps: usize, tasks_each: u32) -> Plan {
    let step = Step {
        count: tasks_each,
        ..Step::default()
    };
    Plan {
        steps: vec![step; steps],
        ..Plan::default()
    }
}

#[test]
fn large_jobs_leave_room_to_small_ones() {
    let mut room = JobRoom::new(64 * MIB);
    let large = job_memory(&plan(4_000, 1));
    let accepted = (0..1_500).filter(|_| room.take(large, Known::default()));
    assert!((1..16).contains(&accepted.count()));
    let small = job_memory(&plan(2, 20));
    for _ in 0..200 {
        assert!(room.take(small, Known::default()));
    }
}

/// The place of a job must not be free between its append and the scheduler's look at it.
#[test]
fn a_stored_job_counts_until_the_scheduler_knows_it() {
    let mut room = JobRoom::new(100);
    let known = |memory, read_to| Known { memory, read_to };
    assert!(room.take(20, known(0, 7)));
    room.keep(20, 7);
    assert!(!room.take(25, known(0, 7)));
    assert!(!room.take(25, known(20, 8)));
    assert!(room.take(20, known(20, 8)));
    room.give_back(20);
    assert!(room.take(25, known(0, 8)));
}

/// Guards against a job within the documented limits for which no leader has room.
#[rstest]
#[case::steps(plan(STEPS_MAX, 1))]
#[case::tasks(plan(2, PLAN_TASKS_MAX / 2))]
fn an_idle_leader_has_room_for_the_largest_job(#[case] plan: Plan) {
    assert!(plan.is_admissible());
    let vm_memory = 260 * MIB;
    let mut room = JobRoom::new(vm_memory / 4);
    assert!(
        room.take(job_memory(&plan), Known::default()),
        "{} bytes",
        job_memory(&plan)
    );
}

#[rstest]
#[case::steps(plan(STEPS_MAX + 1, 1))]
#[case::tasks(plan(3, PLAN_TASKS_MAX / 2))]
#[case::spec(Plan { spec: "a".repeat(4_001).into(), ..plan(1, 1) })]
fn a_job_beyond_the_documented_limits_is_not_admissible(#[case] plan: Plan) {
    assert!(plan.is_valid() && !plan.is_admissible());
}
