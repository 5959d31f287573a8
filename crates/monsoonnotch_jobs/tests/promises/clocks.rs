//! Directed tests of times of day that differ between members: a leader whose clock is behind
//! those of its predecessor and of the members that accept jobs.

use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::Plan;
use monsoonnotch_jobs::plan::StageId;
use monsoonnotch_jobs::plan::Step;
use monsoonnotch_jobs::plan::TaskId;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::vm::FinishedRun;
use monsoonnotch_jobs::vm::PollAnswer;
use monsoonnotch_jobs::vm::RunningRun;
use rstest::rstest;

use crate::directed::deliver;
use crate::directed::done;
use crate::directed::fleet_record_of;
use crate::directed::poll_answer;
use crate::directed::starts;
use crate::directed::successor;
use crate::directed::wait;
use crate::random::cpu;
use crate::simulation::START_UNIX_MS;

/// How far the leader's clock is behind, in milliseconds.
const BEHIND_MS: u64 = 4_000;

/// Returns the record of a job with one task, accepted by a member whose clock is ahead. With
/// `repeats`, its occurrences are due every 100 ms from then on.
fn job_accepted_ahead(repeats: u32) -> KeyedRecord {
    let accepted_ms = START_UNIX_MS + BEHIND_MS;
    let step = Step {
        count: 1,
        need: cpu(500),
        estimate_ms: 100,
        ..Step::default()
    };
    let submission = journal::Submission {
        queue: "quick".into(),
        account: "ann".into(),
        pool: "pool".into(),
        accepted_ms,
        plan: Plan {
            spec: "spec".into(),
            steps: vec![step],
            repeats,
            first_ms: accepted_ms,
            every_ms: 100,
        },
    };
    journal::submission_record(JobId(5), &submission)
}

fn task(occurrence: u32) -> TaskId {
    let stage = StageId {
        job: JobId(5),
        occurrence,
        step: 0,
    };
    TaskId { stage, index: 0 }
}

fn listing(task: TaskId) -> PollAnswer {
    let run = RunningRun {
        task,
        attempt: 1,
        checkpoint: "".into(),
        percent: 50,
        latency_or_usage: 0,
    };
    PollAnswer {
        running: vec![run],
        ..poll_answer(Vec::new())
    }
}

/// Returns a successor whose first polls are answered: by the first VM with `answer`, by the
/// second with nothing; and the effects of the next 200 ms.
fn succeed(job: KeyedRecord, answer: PollAnswer) -> (Scheduler, Vec<Effect>) {
    let (mut scheduler, polls) = successor(2, vec![job, fleet_record_of(["v000", "v001"])]);
    let mut fx = Vec::new();
    for (key, answer) in polls.into_iter().zip([answer, poll_answer(Vec::new())]) {
        let answer = Ok(answer);
        fx.extend(deliver(&mut scheduler, 4, Event::Polled { key, answer }));
    }
    fx.extend(wait(&mut scheduler, 10..200));
    (scheduler, fx)
}

fn stops(fx: &[Effect]) -> usize {
    let stops = fx.iter().filter(|e| matches!(e, Effect::Stop { .. }));
    stops.count()
}

/// Guards against a task that starts again after its success was acknowledged: the job seems
/// to be accepted in the future, so that its finished run was ignored.
#[rstest]
#[case::without_times(0, 0)]
#[case::repeated(3, 0)]
#[case::third_occurrence(3, 2)]
fn a_finished_run_counts_before_its_job_is_due(#[case] repeats: u32, #[case] occurrence: u32) {
    let finished = poll_answer(vec![done(task(occurrence))]);
    let (mut scheduler, mut fx) = succeed(job_accepted_ahead(repeats), finished);
    fx.extend(wait(&mut scheduler, 210..BEHIND_MS + 1_000));
    let again = |e: &Effect| match e {
        Effect::Start { order, .. } => order.task == task(occurrence),
        _ => false,
    };
    assert!(!fx.iter().any(again), "the task has succeeded");
}

/// Guards against two runs of one task: the job seems to be accepted in the future, so that
/// its run was stopped as an orphan, and started again once the clock reached that time.
#[rstest]
#[case::without_times(0, 0)]
#[case::third_occurrence(3, 2)]
fn a_running_task_is_adopted_before_its_job_is_due(#[case] repeats: u32, #[case] occurrence: u32) {
    let running = listing(task(occurrence));
    let (_, fx) = succeed(job_accepted_ahead(repeats), running);
    assert_eq!(stops(&fx), 0, "its run is needed");
}

/// Guards against a job that waits because the member that accepted it has a clock ahead of the
/// leader's. Only the occurrences of a repeated job have due times.
#[test]
fn a_job_without_times_starts_at_once() {
    let (_, fx) = succeed(job_accepted_ahead(0), poll_answer(Vec::new()));
    assert_eq!(starts(&fx).len(), 1);
}

/// Guards against the loss of a failed attempt, which counts against the limit of attempts.
#[test]
fn a_failed_run_counts_before_its_job_is_due() {
    let failed = FinishedRun {
        outcome: monsoonnotch_jobs::vm::RunOutcome::Failed,
        ..done(task(0))
    };
    let (_, fx) = succeed(job_accepted_ahead(2), poll_answer(vec![failed]));
    let logged = |e: &Effect| matches!(e, Effect::Log(n) if n.event == "run failed");
    assert!(fx.iter().any(logged), "the attempt is not counted");
}
