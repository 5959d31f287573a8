//! Directed tests: single steps of the scheduler, in an order that random schedules hardly
//! ever produce.

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
use crate::simulation::START_UNIX_MS;

pub(crate) fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

/// Delivers an event and returns the effects; appends are reported as stored at once.
pub(crate) fn deliver(scheduler: &mut Scheduler, ms: u64, event: Event) -> Vec<Effect> {
    scheduler.handle(event, at(ms), START_UNIX_MS + ms);
    decide(scheduler, ms)
}

/// Advances the time in steps of ten milliseconds and returns the effects.
pub(crate) fn wait(scheduler: &mut Scheduler, ms: std::ops::Range<u64>) -> Vec<Effect> {
    ms.step_by(10)
        .flat_map(|ms| decide(scheduler, ms))
        .collect()
}

pub(crate) fn decide(scheduler: &mut Scheduler, ms: u64) -> Vec<Effect> {
    let mut fx = scheduler.decide(at(ms), START_UNIX_MS + ms);
    if appends(&fx) {
        let stored = Event::Appended { stored: true };
        scheduler.handle(stored, at(ms), START_UNIX_MS + ms);
        fx.extend(scheduler.decide(at(ms), START_UNIX_MS + ms));
    }
    fx
}

pub(crate) fn appends(fx: &[Effect]) -> bool {
    fx.iter().any(|e| matches!(e, Effect::Append(_)))
}

pub(crate) fn polls(fx: &[Effect]) -> Vec<PollKey> {
    let key = |e: &Effect| match e {
        Effect::Poll { key, .. } => Some(*key),
        _ => None,
    };
    fx.iter().filter_map(key).collect()
}

pub(crate) fn starts(fx: &[Effect]) -> Vec<RunKey> {
    let key = |e: &Effect| match e {
        Effect::Start { run, .. } => Some(*run),
        _ => None,
    };
    fx.iter().filter_map(key).collect()
}

pub(crate) fn poll_answer(ended: Vec<FinishedRun>) -> PollAnswer {
    PollAnswer {
        clock_ms: 1_000,
        finished: ended,
        ..PollAnswer::default()
    }
}

/// Returns a scheduler with `vms` VMs that have answered, and the polls that wait there.
pub(crate) fn scheduler_with(vms: u64) -> (Scheduler, Vec<PollKey>) {
    let tuning = Tuning::default();
    let mut scheduler = Scheduler::new(1, tuning, Arc::new(site(0, false)), at(0));
    deliver(&mut scheduler, 0, Event::AllVms(fleet(vms, 8_000)));
    let fx = deliver(&mut scheduler, 1, Event::CaughtUp { marker: 0 });
    let mut waiting = Vec::new();
    for key in polls(&fx) {
        let answer = Ok(poll_answer(Vec::new()));
        let fx = deliver(&mut scheduler, 2, Event::Polled { key, answer });
        waiting.extend(polls(&fx));
    }
    wait(&mut scheduler, 3..60);
    (scheduler, waiting)
}

/// Returns the record of a job with one task.
pub(crate) fn job_of_one_task() -> KeyedRecord {
    job_with_tasks(1)
}

/// Returns the record of a job with `count` tasks.
pub(crate) fn job_with_tasks(count: u32) -> KeyedRecord {
    numbered_job(JobId(5), count)
}

/// The same for the job with an id.
pub(crate) fn numbered_job(id: JobId, count: u32) -> KeyedRecord {
    let submission = journal::Submission {
        queue: "quick".into(),
        account: "ann".into(),
        pool: "pool".into(),
        accepted_ms: START_UNIX_MS,
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
    journal::submission_record(id, &submission)
}

/// Submits a job with one task and returns the run that is started for it.
pub(crate) fn start_one(scheduler: &mut Scheduler) -> (RunKey, TaskId) {
    let fx = deliver(scheduler, 100, Event::Journal(vec![(1, job_of_one_task())]));
    let started = fx.iter().find_map(|e| match e {
        Effect::Start { run, order, .. } => Some((*run, order.task)),
        _ => None,
    });
    started.expect("the task is started")
}

/// Returns the first finished run of a VM: the first attempt at `task`, which succeeded.
pub(crate) fn done(task: TaskId) -> FinishedRun {
    FinishedRun {
        number: 1,
        task,
        attempt: 1,
        outcome: RunOutcome::Done,
        checkpoint: "".into(),
    }
}

/// A VM leaves a status poll unanswered while a run finishes there. A hedged poll, sent
/// soon after the first one is overdue, must report the finished run, and the VM must not
/// count as unresponsive.
#[test]
fn a_hedged_poll_reports_a_finished_run_when_the_first_is_unanswered() {
    let (mut scheduler, waiting) = scheduler_with(1);
    let (run, task) = start_one(&mut scheduler);
    let answer = StartAnswer::Running;
    deliver(&mut scheduler, 102, Event::Started { run, answer });
    let wait = Tuning::default().poll_wait.as_millis();
    let mut fx = Vec::new();
    let mut ms = 103;
    while polls(&fx).is_empty() {
        assert!(
            ms < 2 + wait + 300,
            "no hedged poll is sent beside the overdue one"
        );
        fx = scheduler.decide(at(ms), START_UNIX_MS + ms);
        ms += 1;
    }
    assert!(ms > wait, "a poll was sent before the wait was over");
    let key = polls(&fx)[0];
    let answer = Ok(poll_answer(vec![done(task)]));
    let fx = deliver(&mut scheduler, ms, Event::Polled { key, answer });
    assert!(appends(&fx), "the outcome of the job is not stored");
    let unresponsive = Event::Polled {
        key: waiting[0],
        answer: Err(PollError::Unresponsive),
    };
    let fx = deliver(&mut scheduler, ms + 600, unresponsive);
    let logged = |e: &Effect| matches!(e, Effect::Log(n) if n.event == "vm unresponsive");
    assert!(
        !fx.iter().any(logged),
        "a VM that answered counts as unresponsive"
    );
}

/// The member that stored a job reports it a second before the journal delivers it. The job
/// must start at once, and must not start again when the journal delivers it.
#[test]
fn starts_a_job_once_when_the_member_and_the_journal_report_it() {
    let (mut scheduler, _) = scheduler_with(1);
    let reported = Event::RecordsStored(vec![(1, job_of_one_task())]);
    assert_eq!(starts(&deliver(&mut scheduler, 100, reported)).len(), 1);
    let read = Event::Journal(vec![(1, job_of_one_task())]);
    assert_eq!(starts(&deliver(&mut scheduler, 1_010, read)), Vec::new());
}

/// A member reports a job before the journal is read. Only the journal shows whether a
/// previous leader may have started the job, so that it must not start before.
#[test]
fn a_job_reported_before_the_journal_is_read_waits_for_the_journal() {
    let tuning = Tuning::default();
    let mut scheduler = Scheduler::new(2, tuning, Arc::new(site(0, false)), at(9_000));
    deliver(&mut scheduler, 0, Event::AllVms(fleet(2, 8_000)));
    let reported = Event::RecordsStored(vec![(1, job_of_one_task())]);
    deliver(&mut scheduler, 1, reported);
    let ids = ["v000".into(), "v001".into()];
    let read = vec![(1, job_of_one_task()), (1, journal::fleet_record(&ids))];
    deliver(&mut scheduler, 2, Event::Journal(read));
    let fx = deliver(&mut scheduler, 3, Event::CaughtUp { marker: 4 });
    let key = *polls(&fx).first().expect("each VM is polled");
    let answer = Ok(poll_answer(Vec::new()));
    let fx = deliver(&mut scheduler, 4, Event::Polled { key, answer });
    assert_eq!(starts(&fx), Vec::new(), "one VM has not answered");
}

/// Returns the placement of a task of job 5 as stored by a previous leader.
pub(crate) fn placement(vm: &str, index: u32) -> KeyedRecord {
    let placement = journal::Placed {
        vm: vm.into(),
        runs: vec![(0, 0, index, 1_000)],
    };
    journal::placements_record(
        JobId(5),
        0,
        &journal::Placements {
            vms: vec![placement],
            ..Default::default()
        },
    )
}

/// Returns a scheduler that succeeds another one, and its first polls. The leases of the
/// previous leader expire by 5 s; `vms` VMs are listed and the journal contains `read`.
pub(crate) fn successor(vms: u64, read: Vec<KeyedRecord>) -> (Scheduler, Vec<PollKey>) {
    let tuning = Tuning::default();
    let mut scheduler = Scheduler::new(2, tuning, Arc::new(site(0, false)), at(5_000));
    deliver(&mut scheduler, 0, Event::AllVms(fleet(vms, 8_000)));
    let read = read.into_iter().map(|stored| (0, stored));
    deliver(&mut scheduler, 1, Event::Journal(read.collect()));
    let fx = deliver(&mut scheduler, 2, Event::CaughtUp { marker: 4 });
    (scheduler, polls(&fx))
}

/// Returns the fleet record that a previous leader stored.
pub(crate) fn fleet_record_of(ids: [&str; 2]) -> KeyedRecord {
    journal::fleet_record(&ids.map(Into::into))
}

/// Returns the placements in appended records, as VM id and task index.
pub(crate) fn placements(fx: &[Effect]) -> Vec<(String, u32)> {
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

/// The previous leader sent one task to a VM, and the VM does not list it. That task must
/// be placed again at once, although another VM is unresponsive. The other task has no
/// stored placement: the previous leader may have started it on the unresponsive VM just
/// before its term ended, so that it must wait until every lease has expired.
#[test]
fn a_task_with_a_stored_placement_waits_only_for_its_vm() {
    let fleet = fleet_record_of(["v000", "v001"]);
    let (mut scheduler, polls_sent) =
        successor(2, vec![job_with_tasks(2), placement("v000", 0), fleet]);
    let v000 = polls_sent[0];
    let answer = Ok(poll_answer(Vec::new()));
    scheduler.handle(
        Event::Polled { key: v000, answer },
        at(30),
        START_UNIX_MS + 30,
    );
    let fx = scheduler.decide(at(30), START_UNIX_MS + 30);
    assert_eq!(placements(&fx), vec![("v000".to_owned(), 0)]);
    assert_eq!(starts(&fx), Vec::new(), "its new placement is not stored");
    let fx = deliver(&mut scheduler, 35, Event::Appended { stored: true });
    assert_eq!(starts(&fx).len(), 1);
    let fx = wait(&mut scheduler, 40..5_000);
    assert_eq!(starts(&fx), Vec::new(), "the other task may be running");
    let fx = wait(&mut scheduler, 5_000..5_300);
    assert_eq!(starts(&fx).len(), 1, "every lease has expired");
}

/// The list lacks a VM that is in the fleet record of the previous leader. A task without a
/// stored placement may run there, and must not start before that VM has answered.
#[test]
fn an_unlisted_vm_of_the_predecessor_keeps_tasks_uncertain() {
    let previous_fleet = fleet_record_of(["v000", "v001"]);
    let (mut scheduler, polls_sent) = successor(1, vec![job_of_one_task(), previous_fleet]);
    let answer = Ok(poll_answer(Vec::new()));
    let key = polls_sent[0];
    let fx = deliver(&mut scheduler, 4, Event::Polled { key, answer });
    assert_eq!(starts(&fx), Vec::new(), "v001 has not answered");
    let listed = Event::Vms(vec![("v001".into(), fleet(2, 8_000).pop())]);
    let mut fx = deliver(&mut scheduler, 600, listed);
    fx.extend(wait(&mut scheduler, 610..700));
    let v001 = polls(&fx).into_iter().find(|k| k.vm != key.vm);
    let key = v001.expect("the VM that is listed again is polled");
    let answer = Ok(poll_answer(Vec::new()));
    let fx = deliver(&mut scheduler, 702, Event::Polled { key, answer });
    assert_eq!(starts(&fx).len(), 1, "all have answered");
}

/// A VM that is no longer listed may still run the tasks that the previous leader placed
/// there. They must not start elsewhere before their leases have expired.
#[test]
fn a_placement_on_an_unlisted_vm_waits_for_its_lease() {
    let previous_fleet = fleet_record_of(["v000", "v777"]);
    let read = vec![job_of_one_task(), placement("v777", 0), previous_fleet];
    let (mut scheduler, polls_sent) = successor(1, read);
    let answer = Ok(poll_answer(Vec::new()));
    let key = polls_sent[0];
    let mut fx = deliver(&mut scheduler, 4, Event::Polled { key, answer });
    fx.extend(wait(&mut scheduler, 10..5_000));
    assert_eq!(placements(&fx), Vec::new(), "its lease may hold");
    let fx = wait(&mut scheduler, 5_000..5_300);
    assert_eq!(placements(&fx), vec![("v000".to_owned(), 0)]);
}

/// The answer to a start order is lost and the run succeeds. The order is repeated, and the
/// VM refuses it as old before a poll reports the finished run. The task must not start on
/// another VM meanwhile.
#[test]
fn a_start_refused_as_old_is_not_repeated_elsewhere() {
    let (mut scheduler, _) = scheduler_with(2);
    let (run, task) = start_one(&mut scheduler);
    let answer = StartAnswer::Unknown;
    let fx = deliver(&mut scheduler, 230, Event::Started { run, answer });
    assert_eq!(starts(&fx), vec![run], "the same start order is repeated");
    let answer = StartAnswer::Old;
    let mut fx = deliver(&mut scheduler, 232, Event::Started { run, answer });
    for ms in 233..400 {
        assert_eq!(starts(&fx), Vec::new(), "started elsewhere at {ms} ms");
        fx.extend(scheduler.decide(at(ms), START_UNIX_MS + ms));
    }
    let key = *polls(&fx).last().expect("the VM is polled again");
    let answer = Ok(poll_answer(vec![done(task)]));
    let fx = deliver(&mut scheduler, 401, Event::Polled { key, answer });
    assert_eq!(starts(&fx), Vec::new(), "the task has succeeded");
    assert!(appends(&fx), "the outcome of the job is not stored");
}
