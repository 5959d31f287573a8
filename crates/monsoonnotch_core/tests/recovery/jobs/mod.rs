//! Jobs whose home, holder or messages are lost.

use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::job::Phase;
use monsoonnotch_core::prelude::*;
use monsoonnotch_core::wire::PeerMsg;
use monsoonnotch_core::wire::TaskOrder;

use crate::cell::Cell;
use crate::cell::spec;

const A: MemberId = MemberId(1);
const B: MemberId = MemberId(2);
const C: MemberId = MemberId(3);
const D: MemberId = MemberId(4);

/// The home of a job.
fn home(cell: &Cell, job: JobId) -> MemberId {
    let control = cell.members.values().next().expect("a member");
    control.ledger().home_of(job.0).expect("a home")
}

fn phase(cell: &mut Cell, m: MemberId, job: JobId) -> Option<Phase> {
    cell.status(m, job).map(|s| s.phase)
}

#[test]
fn a_job_survives_its_home() {
    let mut cell = Cell::new(4, 6);
    let job = cell.submit(A, "batch", 60, "run:3000");
    let home = home(&cell, job);
    cell.run(2_000);
    let other = if home == D { C } else { D };
    cell.kill(home);
    cell.until("the job is done", |c| {
        phase(c, other, job) == Some(Phase::Done)
    });
    let again = cell.starts.values().filter(|n| **n > 1).count();
    assert_eq!(again, 0, "no task that ran to its end runs again");
}

#[test]
fn a_job_survives_its_home_and_then_its_heir() {
    let mut cell = Cell::new(5, 6);
    let job = cell.submit(A, "batch", 30, "run:20000");
    let first = home(&cell, job);
    cell.run(1_000);
    cell.kill(first);
    cell.until("an heir", |c| home(c, job) != first);
    let second = home(&cell, job);
    cell.run(1_000);
    cell.kill(second);
    cell.until("an heir of the heir", |c| home(c, job) != second);
    let asker = *cell.members.keys().next().expect("a member");
    cell.until("the job is done", |c| {
        phase(c, asker, job) == Some(Phase::Done)
    });
}

#[test]
fn tasks_of_an_ended_holder_are_placed_again_only_when_they_are_gone() {
    let mut cell = Cell::new(4, 6);
    let job = cell.submit(A, "batch", 40, "run:8000");
    cell.run(1_500);
    let home = home(&cell, job);
    let holder = [A, B, C, D].into_iter().find(|m| *m != home);
    cell.kill(holder.expect("another member"));
    cell.until("the job is done", |c| {
        phase(c, home, job) == Some(Phase::Done)
    });
}

#[test]
fn a_task_of_a_dead_worker_runs_elsewhere_after_its_lease() {
    let mut cell = Cell::new(3, 4);
    let job = cell.submit(A, "watch", 8, "forever");
    cell.until("all run", |c| c.running() == 8);
    let name = Name::from("vm-0");
    cell.workers.get_mut(&name).expect("a worker").dark = true;
    cell.run(30_000);
    let status = cell.status(A, job).expect("a status");
    assert_eq!((status.running, cell.running()), (8, 8));
}

#[test]
fn a_paused_home_that_was_evicted_starts_nothing() {
    let mut cell = Cell::new(4, 6);
    let job = cell.submit(A, "batch", 100, "run:2000");
    let first = home(&cell, job);
    cell.run(500);
    cell.paused.insert(first);
    cell.until("an heir", |c| {
        let other = c.members.iter().find(|(m, _)| **m != first);
        other.expect("another").1.ledger().home_of(job.0) != Some(first)
    });
    cell.run(1_000);
    cell.wake(first);
    let other = if first == D { C } else { D };
    cell.until("the job is done", |c| {
        phase(c, other, job) == Some(Phase::Done)
    });
}

#[test]
fn lost_orders_and_news_delay_a_job_and_double_nothing() {
    let mut cell = Cell::new(4, 6);
    let mut n = 0;
    cell.loses = Box::new(move |_, _, msg| {
        let jobs = matches!(
            msg,
            PeerMsg::TaskOrders { .. }
                | PeerMsg::TaskUpdates { .. }
                | PeerMsg::TaskUpdatesAck { .. }
        );
        n += u32::from(jobs);
        jobs && n % 3 == 0
    });
    let job = cell.submit(A, "batch", 200, "run:300");
    cell.until("the job is done", |c| phase(c, A, job) == Some(Phase::Done));
}

#[test]
fn a_submission_where_no_range_is_held_is_passed_on() {
    let mut cell = Cell::new(3, 4);
    cell.join(D);
    cell.until("a member", |c| {
        let d = &c.members[&D];
        d.ledger().is_member(D) && d.certain(c.now)
    });
    let none = !cell.members[&D].ledger().ranges.values().any(|m| *m == D);
    assert!(none, "the new member holds no range yet");
    cell.submit(D, "batch", 3, "run:100");
}

#[test]
fn two_jobs_that_need_most_of_the_fleet_at_once_both_run() {
    let mut cell = Cell::new(4, 6);
    let first = cell.submit(A, "gang", 32, "run:1000");
    let second = cell.submit(B, "gang", 32, "run:1000");
    cell.until("both are done", |c| {
        phase(c, A, first) == Some(Phase::Done) && phase(c, A, second) == Some(Phase::Done)
    });
    assert!(
        cell.starts.values().all(|n| *n == 1),
        "none started in part"
    );
}

#[test]
fn an_all_at_once_job_without_room_holds_nothing_for_long() {
    let mut cell = Cell::new(4, 6);
    let batch = cell.submit(A, "batch", 40, "run:30000");
    cell.run(1_000);
    let gang = cell.submit(B, "gang", 20, "run:1000");
    cell.run(10_000);
    assert_eq!(cell.status(A, gang).expect("a status").running, 0);
    let small = cell.submit(A, "batch", 8, "run:100");
    cell.until("the small job is done", |c| {
        phase(c, A, small) == Some(Phase::Done)
    });
    cell.until("the large job is done", |c| {
        phase(c, A, gang) == Some(Phase::Done)
    });
    assert_eq!(phase(&mut cell, A, batch), Some(Phase::Done));
}

#[test]
fn lost_orders_to_go_do_not_leave_a_part_running() {
    let mut cell = Cell::new(4, 6);
    let mut lost = 0;
    cell.loses = Box::new(move |_, _, msg| {
        let go = |o: &TaskOrder| matches!(o, TaskOrder::StartReserved(_));
        let goes = matches!(msg, PeerMsg::TaskOrders { orders, .. } if orders.iter().any(go));
        lost += u32::from(goes);
        goes && lost < 12
    });
    let job = cell.submit(A, "gang", 40, "run:4000");
    cell.until("the job is done", |c| phase(c, A, job) == Some(Phase::Done));
}

#[test]
fn a_holder_that_ends_under_an_all_at_once_job_stops_all_of_it_first() {
    let mut cell = Cell::new(4, 6);
    let job = cell.submit(A, "gang", 30, "run:15000");
    let home = home(&cell, job);
    cell.until("all run", |c| c.running() == 30);
    let worker = cell.workers.get_mut(&Name::from("vm-1"));
    worker.expect("a worker").dark = true;
    cell.until("it is stopped", |c| c.running() == 0);
    cell.until("the job is done", |c| {
        phase(c, home, job) == Some(Phase::Done)
    });
}

#[test]
fn what_can_never_run_is_refused() {
    let mut cell = Cell::new(3, 2);
    let spec = spec("gang", 17, "run:100");
    let answer = cell.ask(A, |ticket| Event::Submit {
        ticket,
        key: None,
        spec: spec.clone(),
    });
    let refusal = Refusal::not_run(Reason::FitsNowhere);
    assert_eq!(answer, Answer::Refused(refusal));
}

#[test]
fn a_job_past_its_deadline_starts_nothing_more() {
    let mut cell = Cell::new(3, 1);
    let mut spec = spec("batch", 20, "run:3000");
    spec.deadline_ms = 2_000;
    let answer = cell.ask(A, |ticket| Event::Submit {
        ticket,
        key: None,
        spec: spec.clone(),
    });
    assert!(matches!(answer, Answer::Job(_)), "{answer:?}");
    cell.run(12_000);
    assert_eq!((cell.starts.len(), cell.running()), (8, 0));
}

#[test]
fn a_service_that_fails_is_started_again_with_growing_pauses() {
    let mut cell = Cell::new(3, 1);
    cell.submit(A, "watch", 1, "fail:100");
    cell.run(30_000);
    let starts = cell.starts.values().sum::<u32>();
    assert!((4..12).contains(&starts), "{starts} starts");
}

#[test]
fn ten_thousand_cancelled_tasks_do_not_stall_others() {
    let mut cell = Cell::new(4, 40);
    let wave = cell.submit(A, "batch", 10_000, "run:60000");
    // Of 320 slots some are kept for short requests.
    cell.until("the fleet is full", |c| c.running() >= 290);
    cell.cancel(A, wave).expect("a status");
    let start = cell.now;
    let small = cell.submit(B, "batch", 8, "run:100");
    cell.until("the small job is done", |c| {
        phase(c, B, small) == Some(Phase::Done)
    });
    let took = cell.now.since(start);
    assert!(took < Duration::from_secs(5), "{took:?}");
}

#[test]
fn long_lived_work_on_a_leaving_vm_moves_elsewhere() {
    let mut cell = Cell::new(3, 3);
    cell.submit(A, "watch", 6, "forever");
    cell.until("all run", |c| c.running() == 6);
    let mut list = cell.list();
    let busy = cell.busiest();
    let leaving = list.iter_mut().find(|v| v.name == busy);
    leaving.expect("listed").leaving = true;
    for m in [A, B, C] {
        cell.step(m, Event::Vms(list.clone()));
    }
    cell.until("it is empty", |c| c.tasks_on(&busy) == 0);
    cell.until("all run elsewhere", |c| c.running() == 6);
}

#[test]
fn a_holder_refuses_a_late_order_after_it_answered_a_later_one() {
    let mut cell = Cell::new(3, 4);
    cell.loses = Box::new(|_, _, msg| matches!(msg, PeerMsg::TaskOrders { .. }));
    let from = A;
    let range = cell.members[&A].ledger().ranges.iter();
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
    let check = vec![TaskOrder::Query(vec![task])];
    let start = vec![TaskOrder::Start {
        tasks: vec![task],
        spec,
    }];
    for (seq, orders) in [(1_002, check), (1_001, start)] {
        let msg = PeerMsg::TaskOrders { seq, orders };
        let to = B;
        cell.step(to, Event::Peer { from, to, msg });
    }
    cell.run(1_000);
    assert_eq!(cell.running(), 0);
}

#[test]
fn a_job_survives_the_planned_stop_of_each_home_in_turn() {
    let mut cell = Cell::new(4, 6);
    let job = cell.submit(A, "batch", 40, "run:12000");
    for _ in 0..2 {
        let leaving = home(&cell, job);
        cell.run(1_000);
        cell.step(leaving, Event::Stop);
        cell.until("it has left", |c| !c.members.contains_key(&leaving));
        cell.until("an heir", |c| home(c, job) != leaving);
    }
    let asker = *cell.members.keys().next().expect("a member");
    cell.until("the job is done", |c| {
        phase(c, asker, job) == Some(Phase::Done)
    });
    assert!(cell.starts.values().all(|n| *n == 1), "nothing runs again");
}

#[test]
fn tasks_on_a_dead_worker_of_a_dead_holder_run_elsewhere() {
    let mut cell = Cell::new(4, 6);
    let job = cell.submit(A, "watch", 12, "forever");
    cell.until("all run", |c| c.running() == 12);
    let home = home(&cell, job);
    let busy = cell.busiest();
    let holder = cell.members[&home].ledger().holder_of_vm(&busy);
    let worker = cell.workers.get_mut(&busy).expect("a worker");
    worker.dark = true;
    cell.kill(holder.expect("a holder"));
    let asker = *cell.members.keys().next().expect("a member");
    cell.until("all run elsewhere", |c| {
        let running = c.running() - c.tasks_on(&busy);
        running == 12 && c.status(asker, job).is_some_and(|s| s.running == 12)
    });
}
