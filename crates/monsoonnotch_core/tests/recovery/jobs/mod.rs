//! Tests of jobs whose home, workers, workers' holders or messages fail.
//!
//! The home of a job decides where its tasks run; the holder of a worker starts
//! them there on the home's orders and reports updates to the home.

use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::job::Phase;
use monsoonnotch_core::prelude::*;
use monsoonnotch_core::wire::PeerMsg;
use monsoonnotch_core::wire::TaskOrder;

use crate::simulation::Simulation;
use crate::simulation::job_spec;

const A: MemberId = MemberId(1);
const B: MemberId = MemberId(2);
const C: MemberId = MemberId(3);
const D: MemberId = MemberId(4);

/// Returns the home of a job.
fn home(sim: &Simulation, job: JobId) -> MemberId {
    let control = sim.members.values().next().expect("a member");
    control.ledger().home_of(job.0).expect("a home")
}

fn phase(sim: &mut Simulation, m: MemberId, job: JobId) -> Option<Phase> {
    sim.status(m, job).map(|s| s.phase)
}

#[test]
fn a_job_survives_its_home() {
    let mut sim = Simulation::new(4, 6);
    let job = sim.submit(A, "batch", 60, "run:3000");
    let home = home(&sim, job);
    sim.run(2_000);
    let other = if home == D { C } else { D };
    sim.kill(home);
    sim.run_until("the job is done", |sim| {
        phase(sim, other, job) == Some(Phase::Done)
    });
    let again = sim.starts.values().filter(|n| **n > 1).count();
    assert_eq!(again, 0, "a completed task ran again");
}

#[test]
fn a_job_survives_its_home_and_then_the_successor() {
    let mut sim = Simulation::new(5, 6);
    let job = sim.submit(A, "batch", 30, "run:20000");
    let first = home(&sim, job);
    sim.run(1_000);
    sim.kill(first);
    sim.run_until("a successor", |sim| home(sim, job) != first);
    let second = home(&sim, job);
    sim.run(1_000);
    sim.kill(second);
    sim.run_until("a successor of the successor", |sim| {
        home(sim, job) != second
    });
    let requester = *sim.members.keys().next().expect("a member");
    sim.run_until("the job is done", |sim| {
        phase(sim, requester, job) == Some(Phase::Done)
    });
}

/// The simulation panics if a task starts elsewhere while it still runs on a worker of the dead
/// holder.
#[test]
fn tasks_of_a_dead_holder_are_placed_again_only_after_they_have_ended() {
    let mut sim = Simulation::new(4, 6);
    let job = sim.submit(A, "batch", 40, "run:8000");
    sim.run(1_500);
    let home = home(&sim, job);
    let holder = [A, B, C, D].into_iter().find(|m| *m != home);
    sim.kill(holder.expect("another member"));
    sim.run_until("the job is done", |sim| {
        phase(sim, home, job) == Some(Phase::Done)
    });
}

#[test]
fn a_task_of_a_dead_worker_runs_elsewhere_after_its_lease_expires() {
    let mut sim = Simulation::new(3, 4);
    let job = sim.submit(A, "watch", 8, "forever");
    sim.run_until("all tasks run", |sim| sim.running() == 8);
    let name = Name::from("vm-0");
    sim.workers.get_mut(&name).expect("a worker").unresponsive = true;
    sim.run(30_000);
    let status = sim.status(A, job).expect("a status");
    assert_eq!((status.running, sim.running()), (8, 8));
}

#[test]
fn an_evicted_home_starts_nothing_after_it_resumes() {
    let mut sim = Simulation::new(4, 6);
    let job = sim.submit(A, "batch", 100, "run:2000");
    let first = home(&sim, job);
    sim.run(500);
    sim.paused.insert(first);
    sim.run_until("a successor", |sim| {
        let other = sim.members.iter().find(|(m, _)| **m != first);
        other.expect("another").1.ledger().home_of(job.0) != Some(first)
    });
    sim.run(1_000);
    sim.resume(first);
    let other = if first == D { C } else { D };
    sim.run_until("the job is done", |sim| {
        phase(sim, other, job) == Some(Phase::Done)
    });
}

#[test]
fn lost_orders_and_updates_delay_a_job_but_duplicate_no_task() {
    let mut sim = Simulation::new(4, 6);
    let mut n = 0;
    sim.is_lost = Box::new(move |_, _, msg| {
        let jobs = matches!(
            msg,
            PeerMsg::TaskOrders { .. }
                | PeerMsg::TaskUpdates { .. }
                | PeerMsg::TaskUpdatesAck { .. }
        );
        n += u32::from(jobs);
        jobs && n % 3 == 0
    });
    let job = sim.submit(A, "batch", 200, "run:300");
    sim.run_until("the job is done", |sim| {
        phase(sim, A, job) == Some(Phase::Done)
    });
}

#[test]
fn a_member_without_a_hash_range_forwards_a_submission() {
    let mut sim = Simulation::new(3, 4);
    sim.join(D);
    sim.run_until("the new process is a certain member", |sim| {
        let d = &sim.members[&D];
        d.ledger().is_member(D) && d.certain(sim.now)
    });
    let none = !sim.members[&D].ledger().ranges.values().any(|m| *m == D);
    assert!(none, "the new member already holds a range");
    sim.submit(D, "batch", 3, "run:100");
}

#[test]
fn two_gangs_that_each_need_most_of_the_fleet_both_run() {
    let mut sim = Simulation::new(4, 6);
    let first = sim.submit(A, "gang", 32, "run:1000");
    let second = sim.submit(B, "gang", 32, "run:1000");
    sim.run_until("both jobs are done", |sim| {
        phase(sim, A, first) == Some(Phase::Done) && phase(sim, A, second) == Some(Phase::Done)
    });
    assert!(
        sim.starts.values().all(|n| *n == 1),
        "a gang was started in part and again"
    );
}

#[test]
fn a_gang_without_free_capacity_does_not_block_small_jobs() {
    let mut sim = Simulation::new(4, 6);
    let batch = sim.submit(A, "batch", 40, "run:30000");
    sim.run(1_000);
    let gang = sim.submit(B, "gang", 20, "run:1000");
    sim.run(10_000);
    assert_eq!(sim.status(A, gang).expect("a status").running, 0);
    let small = sim.submit(A, "batch", 8, "run:100");
    sim.run_until("the small job is done", |sim| {
        phase(sim, A, small) == Some(Phase::Done)
    });
    sim.run_until("the large job is done", |sim| {
        phase(sim, A, gang) == Some(Phase::Done)
    });
    assert_eq!(phase(&mut sim, A, batch), Some(Phase::Done));
}

/// The home of a gang reserves a slot for each task and then orders all of them to start. When some
/// of those orders are lost, the gang must not keep running in part.
#[test]
fn lost_orders_to_start_a_gang_leave_no_part_of_it_running() {
    let mut sim = Simulation::new(4, 6);
    let mut lost = 0;
    sim.is_lost = Box::new(move |_, _, msg| {
        let starts = |o: &TaskOrder| matches!(o, TaskOrder::StartReserved(_));
        let start_order =
            matches!(msg, PeerMsg::TaskOrders { orders, .. } if orders.iter().any(starts));
        lost += u32::from(start_order);
        start_order && lost < 12
    });
    let job = sim.submit(A, "gang", 40, "run:4000");
    sim.run_until("the job is done", |sim| {
        phase(sim, A, job) == Some(Phase::Done)
    });
}

/// When one worker of a gang stops responding, all tasks of the gang must end before it runs again.
#[test]
fn a_gang_on_an_unresponsive_worker_is_stopped_before_it_runs_again() {
    let mut sim = Simulation::new(4, 6);
    let job = sim.submit(A, "gang", 30, "run:15000");
    let home = home(&sim, job);
    sim.run_until("all tasks run", |sim| sim.running() == 30);
    let worker = sim.workers.get_mut(&Name::from("vm-1"));
    worker.expect("a worker").unresponsive = true;
    sim.run_until("the gang is stopped", |sim| sim.running() == 0);
    sim.run_until("the job is done", |sim| {
        phase(sim, home, job) == Some(Phase::Done)
    });
}

#[test]
fn a_job_that_can_never_fit_is_refused() {
    let mut sim = Simulation::new(3, 2);
    let spec = job_spec("gang", 17, "run:100");
    let answer = sim.request(A, |ticket| Event::Submit {
        ticket,
        key: None,
        spec: spec.clone(),
    });
    let refusal = Refusal::not_run(Reason::FitsNowhere);
    assert_eq!(answer, Answer::Refused(refusal));
}

#[test]
fn a_job_starts_no_tasks_after_its_deadline() {
    let mut sim = Simulation::new(3, 1);
    let mut spec = job_spec("batch", 20, "run:3000");
    spec.deadline_ms = 2_000;
    let answer = sim.request(A, |ticket| Event::Submit {
        ticket,
        key: None,
        spec: spec.clone(),
    });
    assert!(matches!(answer, Answer::Job(_)), "{answer:?}");
    sim.run(12_000);
    assert_eq!((sim.starts.len(), sim.running()), (8, 0));
}

#[test]
fn a_failing_long_lived_task_restarts_with_increasing_delays() {
    let mut sim = Simulation::new(3, 1);
    sim.submit(A, "watch", 1, "fail:100");
    sim.run(30_000);
    let starts = sim.starts.values().sum::<u32>();
    assert!((4..12).contains(&starts), "{starts} starts");
}

#[test]
fn ten_thousand_cancelled_tasks_do_not_delay_other_jobs() {
    let mut sim = Simulation::new(4, 40);
    let large = sim.submit(A, "batch", 10_000, "run:60000");
    // Some of the 320 slots are reserved for short requests.
    sim.run_until("the fleet is full", |sim| sim.running() >= 290);
    sim.cancel(A, large).expect("a status");
    let start = sim.now;
    let small = sim.submit(B, "batch", 8, "run:100");
    sim.run_until("the small job is done", |sim| {
        phase(sim, B, small) == Some(Phase::Done)
    });
    let elapsed = sim.now.since(start);
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
}

#[test]
fn long_lived_tasks_move_off_a_leaving_vm() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(A, "watch", 6, "forever");
    sim.run_until("all tasks run", |sim| sim.running() == 6);
    let mut list = sim.vm_list();
    let busy = sim.busiest();
    let leaving = list.iter_mut().find(|v| v.name == busy);
    leaving.expect("the VM is listed").leaving = true;
    for m in [A, B, C] {
        sim.step(m, Event::Vms(list.clone()));
    }
    sim.run_until("the leaving VM runs no tasks", |sim| {
        sim.tasks_on(&busy) == 0
    });
    sim.run_until("all tasks run elsewhere", |sim| sim.running() == 6);
}

/// Messages may be reordered. The holder has answered a later query that the task does not run, so
/// it must not start the task on the earlier order.
#[test]
fn a_holder_ignores_an_order_that_arrives_after_a_later_one() {
    let mut sim = Simulation::new(3, 4);
    sim.is_lost = Box::new(|_, _, msg| matches!(msg, PeerMsg::TaskOrders { .. }));
    let from = A;
    let range = sim.members[&A].ledger().ranges.iter();
    let range = range.filter(|(_, m)| **m == A).map(|(r, _)| *r).next();
    let job = JobId(u64::from(range.expect("a range").0) << 56);
    let task = TaskId {
        job,
        index: 0,
        attempt: 1,
    };
    let spec = monsoonnotch_core::job::TaskSpec {
        team: Name::from("hall"),
        size: Resources::one_task(),
        priority: 5,
        run_ms: 0,
        command: Name::from("forever"),
    };
    let query = vec![TaskOrder::Query(vec![task])];
    let start = vec![TaskOrder::Start {
        tasks: vec![task],
        spec,
    }];
    for (seq, orders) in [(1_002, query), (1_001, start)] {
        let msg = PeerMsg::TaskOrders { seq, orders };
        let to = B;
        sim.step(to, Event::Peer { from, to, msg });
    }
    sim.run(1_000);
    assert_eq!(sim.running(), 0);
}

#[test]
fn a_job_survives_the_graceful_shutdown_of_successive_homes() {
    let mut sim = Simulation::new(4, 6);
    let job = sim.submit(A, "batch", 40, "run:12000");
    for _ in 0..2 {
        let leaving = home(&sim, job);
        sim.run(1_000);
        sim.step(leaving, Event::Stop);
        sim.run_until("the home has left", |sim| {
            !sim.members.contains_key(&leaving)
        });
        sim.run_until("a successor", |sim| home(sim, job) != leaving);
    }
    let requester = *sim.members.keys().next().expect("a member");
    sim.run_until("the job is done", |sim| {
        phase(sim, requester, job) == Some(Phase::Done)
    });
    assert!(sim.starts.values().all(|n| *n == 1), "a task ran again");
}

#[test]
fn tasks_on_a_dead_worker_of_a_dead_holder_run_elsewhere() {
    let mut sim = Simulation::new(4, 6);
    let job = sim.submit(A, "watch", 12, "forever");
    sim.run_until("all tasks run", |sim| sim.running() == 12);
    let home = home(&sim, job);
    let busy = sim.busiest();
    let holder = sim.members[&home].ledger().holder_of_vm(&busy);
    let worker = sim.workers.get_mut(&busy).expect("a worker");
    worker.unresponsive = true;
    sim.kill(holder.expect("a holder"));
    let requester = *sim.members.keys().next().expect("a member");
    sim.run_until("all tasks run elsewhere", |sim| {
        let running = sim.running() - sim.tasks_on(&busy);
        running == 12 && sim.status(requester, job).is_some_and(|s| s.running == 12)
    });
}
