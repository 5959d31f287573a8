//! Single steps of the reducer, in an order that random days hardly meet.

use std::sync::Arc;

use monsoonnotch_core::time::Time;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::PollKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::Step;
use monsoonnotch_jobs::plan::TaskId;
use monsoonnotch_jobs::scheduler::RunKey;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::tuning::Tuning;
use monsoonnotch_jobs::vm::FinishedRun;
use monsoonnotch_jobs::vm::PollAnswer;
use monsoonnotch_jobs::vm::RunOutcome;

use crate::random::cpu;
use crate::random::fleet;
use crate::random::site;
use crate::world::EPOCH;

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

/// Hands in an event; what is to be stored is stored at once.
fn tell(holder: &mut Scheduler, ms: u64, event: Event) -> Vec<Effect> {
    holder.handle(event, at(ms), EPOCH + ms);
    decide(holder, ms)
}

/// Lets time pass in steps of ten milliseconds.
fn wait(holder: &mut Scheduler, ms: std::ops::Range<u64>) -> Vec<Effect> {
    ms.step_by(10).flat_map(|ms| decide(holder, ms)).collect()
}

fn decide(holder: &mut Scheduler, ms: u64) -> Vec<Effect> {
    let mut fx = holder.decide(at(ms), EPOCH + ms);
    if stores(&fx) {
        let stored = Event::Appended { stored: true };
        holder.handle(stored, at(ms), EPOCH + ms);
        fx.extend(holder.decide(at(ms), EPOCH + ms));
    }
    fx
}

fn stores(fx: &[Effect]) -> bool {
    fx.iter().any(|e| matches!(e, Effect::Append(_)))
}

fn looks(fx: &[Effect]) -> Vec<PollKey> {
    let key = |e: &Effect| match e {
        Effect::Poll { key, .. } => Some(*key),
        _ => None,
    };
    fx.iter().filter_map(key).collect()
}

fn starts(fx: &[Effect]) -> Vec<RunKey> {
    let key = |e: &Effect| match e {
        Effect::Start { run, .. } => Some(*run),
        _ => None,
    };
    fx.iter().filter_map(key).collect()
}

fn look(ended: Vec<FinishedRun>) -> PollAnswer {
    PollAnswer {
        clock_ms: 1_000,
        finished: ended,
        ..PollAnswer::default()
    }
}

/// A holder of so many VMs that have answered, and the looks that wait there.
fn holder_of(vms: u64) -> (Scheduler, Vec<PollKey>) {
    let tuning = Tuning::default();
    let mut holder = Scheduler::new(1, tuning, Arc::new(site(0, false)), at(0));
    tell(&mut holder, 0, Event::AllVms(fleet(vms, 8_000)));
    let fx = tell(&mut holder, 1, Event::CaughtUp { marker: 0 });
    let mut waiting = Vec::new();
    for key in looks(&fx) {
        let answer = Ok(look(Vec::new()));
        let fx = tell(&mut holder, 2, Event::Polled { key, answer });
        waiting.extend(looks(&fx));
    }
    wait(&mut holder, 3..60);
    (holder, waiting)
}

/// The record of a job of one task.
fn one_task() -> KeyedRecord {
    job_of(1)
}

/// The record of a job of so many tasks.
fn job_of(count: u32) -> KeyedRecord {
    let submission = journal::Submission {
        queue: "quick".into(),
        account: "ann".into(),
        pool: "pool".into(),
        accepted_ms: EPOCH,
        plan: monsoonnotch_jobs::plan::Plan {
            steps: vec![Step {
                count,
                need: cpu(500),
                estimate_ms: 100,
                ..Step::default()
            }],
            ..Default::default()
        },
    };
    journal::submission_record(JobId(5), &submission)
}

/// Hands in a job of one task and returns the run that is started for it.
fn start_one(holder: &mut Scheduler) -> (RunKey, TaskId) {
    let fx = tell(holder, 100, Event::Journal(vec![(1, one_task())]));
    let started = fx.iter().find_map(|e| match e {
        Effect::Start { run, order, .. } => Some((*run, order.task)),
        _ => None,
    });
    started.expect("the task is started")
}

/// The first end on a VM: the first attempt at a task, which went well.
fn done(task: TaskId) -> FinishedRun {
    FinishedRun {
        number: 1,
        task,
        attempt: 1,
        outcome: RunOutcome::Done,
        checkpoint: "".into(),
    }
}

/// A VM leaves a look unanswered while a run ends there. The end shows soon after
/// the look's wait is over, and the VM is not taken for silent.
#[test]
fn an_end_shows_although_the_look_that_waited_for_it_is_never_answered() {
    let (mut holder, waiting) = holder_of(1);
    let (run, task) = start_one(&mut holder);
    let answer = StartAnswer::Running;
    tell(&mut holder, 102, Event::Started { run, answer });
    let wait = Tuning::default().poll_wait.as_millis();
    let mut fx = Vec::new();
    let mut ms = 103;
    while looks(&fx).is_empty() {
        assert!(
            ms < 2 + wait + 300,
            "no look goes out beside the overdue one"
        );
        fx = holder.decide(at(ms), EPOCH + ms);
        ms += 1;
    }
    assert!(ms > wait, "a look went out before the wait was over");
    let key = looks(&fx)[0];
    let answer = Ok(look(vec![done(task)]));
    let fx = tell(&mut holder, ms, Event::Polled { key, answer });
    assert!(stores(&fx), "the end of the job is stored");
    let silent = Event::Polled {
        key: waiting[0],
        answer: Err(PollError::Unresponsive),
    };
    let fx = tell(&mut holder, ms + 600, silent);
    let noted = |e: &Effect| matches!(e, Effect::Log(n) if n.event == "vm unresponsive");
    assert!(!fx.iter().any(noted), "a VM that answered is no silent one");
}

/// The journal is silent for a second; the member that stored a job tells of it.
#[test]
fn a_job_starts_when_its_member_tells_of_it_and_once() {
    let (mut holder, _) = holder_of(1);
    let told = Event::RecordsStored(vec![(1, one_task())]);
    assert_eq!(starts(&tell(&mut holder, 100, told)).len(), 1);
    let read = Event::Journal(vec![(1, one_task())]);
    assert_eq!(starts(&tell(&mut holder, 1_010, read)), Vec::new());
}

/// What is told before the journal was read is left to the journal, which knows
/// whether a former holder may have started it.
#[test]
fn a_job_told_of_before_the_journal_was_read_waits_for_it() {
    let tuning = Tuning::default();
    let mut holder = Scheduler::new(2, tuning, Arc::new(site(0, false)), at(9_000));
    tell(&mut holder, 0, Event::AllVms(fleet(2, 8_000)));
    let told = Event::RecordsStored(vec![(1, one_task())]);
    tell(&mut holder, 1, told);
    let ids = ["v000".into(), "v001".into()];
    let read = vec![(1, one_task()), (1, journal::fleet_record(&ids))];
    tell(&mut holder, 2, Event::Journal(read));
    let fx = tell(&mut holder, 3, Event::CaughtUp { marker: 4 });
    let key = *looks(&fx).first().expect("each VM is looked at");
    let answer = Ok(look(Vec::new()));
    let fx = tell(&mut holder, 4, Event::Polled { key, answer });
    assert_eq!(starts(&fx), Vec::new(), "one VM has not answered");
}

/// What a former holder stored of where it sent tasks of job 5.
fn placed(vm: &str, index: u32) -> KeyedRecord {
    let placed = journal::Placed {
        vm: vm.into(),
        runs: vec![(0, 0, index, 1_000)],
    };
    journal::placements_record(JobId(5), &journal::Placements { vms: vec![placed] })
}

/// A holder after another one, whose leases lapse by 5 s, with VMs of the list and what
/// it reads; and its first looks.
fn successor(vms: u64, read: Vec<KeyedRecord>) -> (Scheduler, Vec<PollKey>) {
    let tuning = Tuning::default();
    let mut holder = Scheduler::new(2, tuning, Arc::new(site(0, false)), at(5_000));
    tell(&mut holder, 0, Event::AllVms(fleet(vms, 8_000)));
    let read = read.into_iter().map(|stored| (0, stored));
    tell(&mut holder, 1, Event::Journal(read.collect()));
    let fx = tell(&mut holder, 2, Event::CaughtUp { marker: 4 });
    (holder, looks(&fx))
}

/// The record of the fleet of the former holder.
fn fleet_of(ids: [&str; 2]) -> KeyedRecord {
    journal::fleet_record(&ids.map(Into::into))
}

/// Places that the records of an append say, as VM and index.
fn places(fx: &[Effect]) -> Vec<(String, u32)> {
    let records = fx.iter().flat_map(|e| match e {
        Effect::Append(records) => records.clone(),
        _ => Vec::new(),
    });
    let placements = records.filter_map(|r| match journal::decode_entry(&r) {
        Some(journal::Entry::Placed(_, p)) => Some(p),
        _ => None,
    });
    let vms = placements.flat_map(|p| p.vms);
    let runs = vms.flat_map(|v| v.runs.into_iter().map(move |r| (v.vm.to_string(), r.2)));
    runs.collect()
}

/// The former holder sent one task to a VM, which shows that it does not run there.
/// It is sent again at once, though another VM is silent; the other task may have been
/// started there just before the end.
#[test]
fn a_task_with_a_stored_place_waits_for_its_vm_alone() {
    let fleet = fleet_of(["v000", "v001"]);
    let (mut holder, asked) = successor(2, vec![job_of(2), placed("v000", 0), fleet]);
    let v000 = asked[0];
    let answer = Ok(look(Vec::new()));
    holder.handle(Event::Polled { key: v000, answer }, at(30), EPOCH + 30);
    let fx = holder.decide(at(30), EPOCH + 30);
    assert_eq!(places(&fx), vec![("v000".to_owned(), 0)]);
    assert_eq!(starts(&fx), Vec::new(), "its new place is not stored");
    let fx = tell(&mut holder, 35, Event::Appended { stored: true });
    assert_eq!(starts(&fx).len(), 1);
    let fx = wait(&mut holder, 40..5_000);
    assert_eq!(starts(&fx), Vec::new(), "the other task is in doubt");
    let fx = wait(&mut holder, 5_000..5_300);
    assert_eq!(starts(&fx).len(), 1, "every lease has lapsed");
}

/// The list lacks a VM that the former holder had: what has no stored place may run there.
#[test]
fn a_vm_that_the_list_lacks_keeps_tasks_in_doubt() {
    let former = fleet_of(["v000", "v001"]);
    let (mut holder, asked) = successor(1, vec![one_task(), former]);
    let answer = Ok(look(Vec::new()));
    let key = asked[0];
    let fx = tell(&mut holder, 4, Event::Polled { key, answer });
    assert_eq!(starts(&fx), Vec::new(), "v001 has not answered");
    let listed = Event::Vms(vec![("v001".into(), fleet(2, 8_000).pop())]);
    let mut fx = tell(&mut holder, 600, listed);
    fx.extend(wait(&mut holder, 610..700));
    let v001 = looks(&fx).into_iter().find(|k| k.vm != key.vm);
    let key = v001.expect("the VM that came back is looked at");
    let answer = Ok(look(Vec::new()));
    let fx = tell(&mut holder, 702, Event::Polled { key, answer });
    assert_eq!(starts(&fx).len(), 1, "all have answered");
}

/// A VM that has left the list may still run what the former holder sent there.
#[test]
fn a_place_on_an_unlisted_vm_waits_for_its_lease() {
    let former = fleet_of(["v000", "v777"]);
    let read = vec![one_task(), placed("v777", 0), former];
    let (mut holder, asked) = successor(1, read);
    let answer = Ok(look(Vec::new()));
    let key = asked[0];
    let mut fx = tell(&mut holder, 4, Event::Polled { key, answer });
    fx.extend(wait(&mut holder, 10..5_000));
    assert_eq!(places(&fx), Vec::new(), "its lease may hold");
    let fx = wait(&mut holder, 5_000..5_300);
    assert_eq!(places(&fx), vec![("v000".to_owned(), 0)]);
}

/// A start is answered by nobody, though its run ends well; the same start goes
/// out again and is refused as old before any look shows the end.
#[test]
fn a_start_refused_as_old_may_have_run_and_is_not_run_elsewhere() {
    let (mut holder, _) = holder_of(2);
    let (run, task) = start_one(&mut holder);
    let answer = StartAnswer::Unknown;
    let fx = tell(&mut holder, 230, Event::Started { run, answer });
    assert_eq!(starts(&fx), vec![run], "the same start goes out again");
    let answer = StartAnswer::Old;
    let mut fx = tell(&mut holder, 232, Event::Started { run, answer });
    for ms in 233..400 {
        assert_eq!(starts(&fx), Vec::new(), "started elsewhere at {ms} ms");
        fx.extend(holder.decide(at(ms), EPOCH + ms));
    }
    let key = *looks(&fx).last().expect("a look is to tell");
    let answer = Ok(look(vec![done(task)]));
    let fx = tell(&mut holder, 401, Event::Polled { key, answer });
    assert_eq!(starts(&fx), Vec::new(), "its end was good");
    assert!(stores(&fx), "the end of the job is stored");
}
