//! Directed tests of what counts as a crash of a VM under a task, and of what does not.

use monsoonnotch_core::record::decode;
use monsoonnotch_core::record::encode;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::PollKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::Outcome;
use monsoonnotch_jobs::journal::Progress;
use monsoonnotch_jobs::journal::StageProgress;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::scheduler::RunKey;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::vm::PollAnswer;
use monsoonnotch_jobs::vm::Registration;
use rstest::rstest;
use serde::Serialize;

use crate::directed::deliver;
use crate::directed::job_of_one_task;
use crate::directed::placement;
use crate::directed::poll_answer;
use crate::directed::polls;
use crate::directed::scheduler_with;
use crate::directed::start_one;
use crate::directed::starts;
use crate::directed::successor;
use crate::directed::wait;
use crate::incarnations::listing;
use crate::incarnations::run_polls;
use crate::random::fleet;
use crate::simulation::START_UNIX_MS;

/// Returns how often an event was logged.
fn logged(fx: &[Effect], event: &str) -> usize {
    let is_event = |e: &&Effect| matches!(e, Effect::Log(entry) if entry.event == event);
    fx.iter().filter(is_event).count()
}

/// Returns the newest progress of job 5 in appended records.
fn stored_progress(fx: &[Effect]) -> Option<Progress> {
    let records = fx.iter().rev().filter_map(|e| match e {
        Effect::Append(records) => Some(records),
        _ => None,
    });
    let entries = records.flatten().filter_map(journal::decode_entry);
    let mut progress = entries.filter_map(|e| match e {
        journal::Entry::Progressed(_, progress) => Some(progress),
        _ => None,
    });
    progress.next()
}

fn polled(
    scheduler: &mut Scheduler,
    ms: u64,
    key: PollKey,
    answer: Result<PollAnswer, PollError>,
) -> Vec<Effect> {
    let mut fx = deliver(scheduler, ms, Event::Polled { key, answer });
    fx.extend(wait(scheduler, ms + 1..ms + 100));
    fx
}

fn started(scheduler: &mut Scheduler, ms: u64, run: RunKey, answer: StartAnswer) -> Vec<Effect> {
    deliver(scheduler, ms, Event::Started { run, answer })
}

/// Returns a scheduler with one VM, the poll that waits there and a run whose start was sent.
fn one_start() -> (Scheduler, PollKey, RunKey) {
    let (mut scheduler, waiting) = scheduler_with(1);
    let (run, _) = start_one(&mut scheduler);
    (scheduler, waiting[0], run)
}

/// A VM restarts right after it started a run. The crash must be stored with the VM's id before
/// the task starts again, and repeated reports must not count it twice.
#[test]
fn a_crash_is_counted_once_and_stored() {
    let (mut scheduler, poll, run) = one_start();
    for ms in [102, 103] {
        started(&mut scheduler, ms, run, StartAnswer::Running);
    }
    let mut fx = polled(
        &mut scheduler,
        3_000,
        poll,
        Err(PollError::OtherIncarnation),
    );
    fx.extend(started(&mut scheduler, 3_200, run, StartAnswer::Running));
    let again = wait(&mut scheduler, 3_200..4_500);
    for key in polls(&again) {
        let error = Err(PollError::OtherIncarnation);
        fx.extend(polled(&mut scheduler, 4_600, key, error));
    }
    assert_eq!(logged(&fx, "task suspected"), 1);
    let progress = stored_progress(&fx).expect("the crash is stored");
    assert_eq!(progress.stages[0].crashes, [(0, vec![(1, "v000".into())])]);
}

/// The follower that carries out the start reports the answer only after another one has
/// reported the restart. The crash must count all the same, once.
#[test]
fn a_start_that_is_confirmed_after_the_crash_counts() {
    let (mut scheduler, poll, run) = one_start();
    let fx = polled(
        &mut scheduler,
        3_000,
        poll,
        Err(PollError::OtherIncarnation),
    );
    assert_eq!(logged(&fx, "task suspected"), 0, "the start has no answer");
    let mut fx = started(&mut scheduler, 3_200, run, StartAnswer::Running);
    fx.extend(started(&mut scheduler, 3_201, run, StartAnswer::Running));
    fx.extend(wait(&mut scheduler, 3_210..3_400));
    assert_eq!(logged(&fx, "task suspected"), 1);
    assert!(stored_progress(&fx).is_some());
}

/// A start is sent to a VM that is down. The VM crashed before the run could begin, so that the
/// crash must not count against its task.
#[test]
fn a_start_without_an_answer_is_no_crash() {
    let (mut scheduler, poll, run) = one_start();
    started(&mut scheduler, 220, run, StartAnswer::Unknown);
    let fx = polled(
        &mut scheduler,
        3_000,
        poll,
        Err(PollError::OtherIncarnation),
    );
    assert_eq!(logged(&fx, "task suspected"), 0);
}

/// The VM lists the run long after its start, and crashes later: the run is not the cause.
#[test]
fn a_run_that_its_vm_survived_is_no_crash() {
    let (mut scheduler, poll, run) = one_start();
    started(&mut scheduler, 102, run, StartAnswer::Running);
    let task = monsoonnotch_jobs::plan::TaskId {
        stage: monsoonnotch_jobs::plan::StageId {
            job: JobId(5),
            occurrence: 0,
            step: 0,
        },
        index: 0,
    };
    let answer = Ok(listing(START_UNIX_MS - 1_000, &[task]));
    let fx = polled(&mut scheduler, 900, poll, answer);
    let next = polls(&fx)[0];
    let fx = polled(
        &mut scheduler,
        3_000,
        next,
        Err(PollError::OtherIncarnation),
    );
    assert_eq!(logged(&fx, "task suspected"), 0);
    assert_eq!(logged(&fx, "run lost"), 1);
}

/// A draining VM leaves, and another one takes its address: no crash.
#[test]
fn a_vm_that_leaves_is_no_crash() {
    let (mut scheduler, poll, run) = one_start();
    started(&mut scheduler, 102, run, StartAnswer::Running);
    let leaving = Registration {
        draining: true,
        ..fleet(1, 8_000).remove(0)
    };
    let entry = (leaving.id.clone(), Some(leaving));
    deliver(&mut scheduler, 110, Event::Vms(vec![entry]));
    let fx = polled(
        &mut scheduler,
        3_000,
        poll,
        Err(PollError::OtherIncarnation),
    );
    assert_eq!(logged(&fx, "task suspected"), 0);
}

/// A VM is cut off right after it started a run, until its leases have expired. If it answers
/// again as before, nothing has crashed; if another incarnation answers, the run may be the cause.
#[rstest]
#[case::cut_off(false)]
#[case::restarted(true)]
fn a_silence_is_a_crash_only_if_the_vm_restarted(#[case] restarted: bool) {
    let (mut scheduler, poll, run) = one_start();
    started(&mut scheduler, 102, run, StartAnswer::Running);
    let fx = polled(&mut scheduler, 200, poll, Err(PollError::Unresponsive));
    let back_ms = 6_000;
    let fx = run_polls(&mut scheduler, fx, 300..8_000, |_, ms| {
        Some(match (ms < back_ms, restarted) {
            (true, _) => Err(PollError::Unresponsive),
            (false, true) => Err(PollError::OtherIncarnation),
            (false, false) => Ok(listing(START_UNIX_MS - 1_000, &[])),
        })
    });
    assert_eq!(logged(&fx, "leases expired"), 1);
    assert_eq!(logged(&fx, "task suspected"), usize::from(restarted));
}

/// Returns the progress of job 5 as a predecessor stored it: a VM crashed under its task.
fn one_crash() -> journal::KeyedRecord {
    let stage = StageProgress {
        crashes: vec![(0, vec![(1, "v009".into())])],
        ..StageProgress::default()
    };
    let progress = Progress {
        begun: true,
        stages: vec![stage],
        ..Progress::default()
    };
    journal::progress_record(JobId(5), 0, &progress)
}

/// A predecessor counted a crash. The next one, under the successor, must end the job.
#[test]
fn a_successor_goes_on_counting() {
    let read = vec![job_of_one_task(), one_crash()];
    let (mut scheduler, keys) = successor(1, read);
    let answer = Ok(poll_answer(Vec::new()));
    let mut fx = polled(&mut scheduler, 10, keys[0], answer);
    let poll = polls(&fx)[0];
    fx.extend(wait(&mut scheduler, 5_100..5_200));
    let run = *starts(&fx).first().expect("the task starts again");
    started(&mut scheduler, 5_202, run, StartAnswer::Running);
    let fx = polled(
        &mut scheduler,
        8_000,
        poll,
        Err(PollError::OtherIncarnation),
    );
    assert_eq!(logged(&fx, "poison task"), 1);
    let progress = stored_progress(&fx).expect("the outcome is stored");
    assert_eq!(progress.outcome, Some(Outcome::Failed));
}

/// Returns the VM of the start of a task of a job.
fn start_of(fx: &[Effect], id: JobId) -> Option<String> {
    fx.iter().find_map(|e| match e {
        Effect::Start { to, order, .. } if order.task.stage.job == id => Some(to.id.to_string()),
        _ => None,
    })
}

/// Guards against a crash that is forgotten with its leader: it dies after it started a task, and
/// the VM has restarted when its successor polls it. The crash must count once and give nothing up,
/// since it is unknown when the run began, and the task must be tried alone.
#[test]
fn a_predecessors_run_on_a_restarted_vm_makes_a_suspect() {
    let submitted = journal::decode_entry(&job_of_one_task());
    let Some(journal::Entry::Submitted(_, submission)) = submitted else {
        panic!("the record is a submission");
    };
    let other = journal::submission_record(JobId(6), &submission);
    let read = vec![job_of_one_task(), placement("v000", 0)];
    let (mut scheduler, keys) = successor(3, read);
    let mut fx = Vec::new();
    for (key, restarted) in keys.into_iter().zip([true, false, false]) {
        let answer = match restarted {
            true => Err(PollError::OtherIncarnation),
            false => Ok(poll_answer(Vec::new())),
        };
        fx.extend(polled(&mut scheduler, 10, key, answer));
    }
    fx.extend(wait(&mut scheduler, 120..5_200));
    let first = start_of(&fx, JobId(5)).expect("the task starts again");
    let other_fx = deliver(&mut scheduler, 5_210, Event::Journal(vec![(9, other)]));
    let second = start_of(&other_fx, JobId(6)).expect("the other job starts");
    assert_ne!(first, second);
    fx.extend(other_fx);
    assert_eq!(logged(&fx, "task suspected"), 1);
    assert_eq!(logged(&fx, "poison task"), 0);
    let progress = stored_progress(&fx).expect("the crash is stored");
    assert_eq!(progress.stages[0].crashes.len(), 1);
}

/// Progress of a stage as releases without crashes stored it.
#[derive(Debug, Serialize)]
struct OldStageProgress {
    occurrence: u32,
    step: u16,
    whole: bool,
    done: Vec<u32>,
    failed: Vec<(u32, Vec<u64>)>,
    saved: Vec<(u32, String)>,
}

/// The journal holds progress that was stored before crashes were counted. It must be read as
/// before.
#[test]
fn progress_without_crashes_is_decoded() {
    let old = OldStageProgress {
        occurrence: 0,
        step: 1,
        whole: false,
        done: vec![2],
        failed: vec![(3, vec![1])],
        saved: Vec::new(),
    };
    let read: Option<StageProgress> = decode(&encode(&old));
    let expected = StageProgress {
        step: 1,
        done: vec![2],
        failed: vec![(3, vec![1])],
        ..StageProgress::default()
    };
    assert_eq!(read, Some(expected));
}
