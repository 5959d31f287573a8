//! Whom jobs belong to, over changes of keys, queues and leaders.

use std::sync::Arc;

use monsoonnotch_jobs::access::Caller;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::JobState;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::Query;
use monsoonnotch_jobs::explanation::Subject;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::Entry;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::journal::Outcome;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::tuning::Tuning;
use rstest::rstest;

use crate::directed::at;
use crate::directed::deliver;
use crate::directed::job_of_one_task;
use crate::directed::scheduler_with;
use crate::directed::start_one;
use crate::directed::starts;
use crate::directed::successor;
use crate::directed::wait;
use crate::faults::Faults;
use crate::load::step;
use crate::random::fleet;
use crate::random::site;
use crate::random::submission;
use crate::simulation::Simulation;

/// The job of [`job_of_one_task`], which belongs to `ann` and the queue `quick`.
const JOB: JobId = JobId(5);

fn caller(account: &str, open_queue: &str) -> Caller {
    Caller {
        account: account.into(),
        open_queue: open_queue.into(),
    }
}

fn ask(scheduler: &mut Scheduler, ms: u64, caller: Caller) -> Answer {
    let key = QueryKey { link: 0, seq: 1 };
    let query = Query::State { id: JOB, caller };
    let fx = deliver(scheduler, ms, Event::Query { key, query });
    let answer = fx.iter().find_map(|e| match e {
        Effect::Reply { answer, .. } => Some(*answer),
        _ => None,
    });
    answer.expect("the query is answered")
}

fn is_stopped(fx: &[Effect]) -> bool {
    fx.iter().any(|e| matches!(e, Effect::Stop { .. }))
}

/// Returns the last record with a key that was appended.
fn written(fx: &[Effect], key: &str) -> Option<KeyedRecord> {
    let records = fx.iter().rev().flat_map(|e| match e {
        Effect::Append(records) => records.as_slice(),
        _ => &[],
    });
    let mut records = records.filter(|r| r.key == key);
    records.next().cloned()
}

/// Guards against an accepted job that its caller is told does not exist (`NoJob`): its key was taken away, its queue is
/// open to callers without a key, or its queue was taken away.
#[test]
fn a_job_is_there_for_its_callers_whatever_the_configuration() {
    let (mut scheduler, _) = scheduler_with(1);
    start_one(&mut scheduler);
    let active = Answer::State(JobState::Active);
    assert_eq!(ask(&mut scheduler, 110, caller("ann", "")), active);
    assert_eq!(ask(&mut scheduler, 111, caller("bob", "")), Answer::Foreign);
    assert_eq!(ask(&mut scheduler, 112, caller("", "quick")), active);
    let mut cfg = site(0, false);
    cfg.queues.remove("quick");
    deliver(&mut scheduler, 120, Event::Config(Arc::new(cfg)));
    assert_eq!(ask(&mut scheduler, 130, caller("ann", "")), active);
    assert_eq!(ask(&mut scheduler, 131, caller("", "bulk")), active);
    assert_eq!(ask(&mut scheduler, 132, caller("bob", "")), Answer::Foreign);
    let key = QueryKey { link: 0, seq: 2 };
    let subject = Subject::Job(JOB);
    let fx = deliver(&mut scheduler, 140, Event::Explain { key, subject });
    let is_explained =
        |e: &Effect| matches!(e, Effect::Explained { explanation, .. } if explanation.is_some());
    assert!(fx.iter().any(is_explained), "operators see it as well");
}

/// Guards against a job that has ended and that the next leader tells its callers does not exist, or tells others of.
#[test]
fn an_ended_job_keeps_its_owner_over_a_change_of_leader() {
    let mut sim = Simulation::new(3, site(0, false), fleet(2, 8_000), Faults::default());
    sim.claim();
    let job = submission(&sim, "quick", "ann", vec![step(1, 500, 50)]);
    sim.submit(JOB, job);
    for _ in 0..1_000 {
        sim.step();
    }
    assert_eq!(sim.outcome(JOB), Some(Outcome::Completed));
    let key = format!("{JOB}.p");
    let record = sim.log.iter().rfind(|r| r.key == key).cloned();
    let (mut scheduler, _) = successor(1, vec![record.expect("its outcome is stored")]);
    let completed = Answer::State(JobState::Completed);
    assert_eq!(ask(&mut scheduler, 10, caller("ann", "")), completed);
    assert_eq!(ask(&mut scheduler, 11, caller("", "quick")), completed);
    assert_eq!(ask(&mut scheduler, 12, caller("", "bulk")), Answer::Foreign);
    assert_eq!(ask(&mut scheduler, 13, caller("bob", "")), Answer::Foreign);
}

/// Guards against a job that another account cancels, and against an owner's cancellation without effect: no leader
/// answered the member that stored it. Before or after the submission.
#[rstest]
#[case::of_the_owner(caller("ann", ""), true, false)]
#[case::of_the_owner_before_the_submission(caller("ann", ""), true, true)]
#[case::on_an_open_queue(caller("", "quick"), true, false)]
#[case::of_another_account(caller("bob", ""), false, false)]
#[case::of_another_account_before_the_submission(caller("bob", ""), false, true)]
fn a_cancellation_counts_if_its_caller_may_cancel(
    #[case] by: Caller,
    #[case] counts: bool,
    #[case] early: bool,
) {
    let cancellation = journal::cancellation_record_of(JOB, &by);
    let (mut scheduler, _) = scheduler_with(1);
    if early {
        deliver(&mut scheduler, 90, Event::Journal(vec![(1, cancellation)]));
        let job = Event::Journal(vec![(2, job_of_one_task())]);
        let fx = deliver(&mut scheduler, 100, job);
        assert_eq!(starts(&fx).is_empty(), counts);
        return;
    }
    start_one(&mut scheduler);
    let mut fx = deliver(
        &mut scheduler,
        200,
        Event::Journal(vec![(2, cancellation.clone())]),
    );
    fx.extend(wait(&mut scheduler, 210..400));
    assert_eq!(is_stopped(&fx), counts);
    // A successor sees it the same way.
    let (mut next, _) = successor(1, vec![job_of_one_task(), cancellation]);
    let cancelled = Answer::State(JobState::Cancelled);
    assert_eq!(ask(&mut next, 10, caller("ann", "")) == cancelled, counts);
}

/// Guards against a cancelled job that the next leader starts again: a cancellation of another account has replaced the
/// record of the owner's.
#[test]
fn a_cancellation_of_another_account_does_not_revive_a_cancelled_job() {
    let (mut scheduler, _) = scheduler_with(1);
    start_one(&mut scheduler);
    let own = journal::cancellation_record(JOB);
    deliver(&mut scheduler, 200, Event::Journal(vec![(2, own.clone())]));
    let foreign = journal::cancellation_record_of(JOB, &caller("bob", ""));
    let mut fx = deliver(&mut scheduler, 300, Event::Journal(vec![(3, foreign)]));
    fx.extend(wait(&mut scheduler, 310..400));
    assert_eq!(written(&fx, &own.key), Some(own));
}

/// Guards against a job that changes hands: it is submitted again after its key was taken away or given to another account,
/// and the next leader reads the newest record.
#[rstest]
#[case::without_an_account("")]
#[case::under_another_account("bob")]
fn a_job_that_is_submitted_again_keeps_its_account(#[case] account: &str) {
    let (mut scheduler, _) = scheduler_with(1);
    start_one(&mut scheduler);
    let Some(Entry::Submitted(_, first)) = journal::decode_entry(&job_of_one_task()) else {
        panic!("the record is a submission");
    };
    let mut again = first.clone();
    again.account = account.into();
    again.accepted_ms += 50;
    let again = journal::submission_record(JOB, &again);
    let mut fx = deliver(&mut scheduler, 200, Event::Journal(vec![(2, again)]));
    fx.extend(wait(&mut scheduler, 210..400));
    let restored = written(&fx, &journal::submission_key(JOB));
    let restored = restored.as_ref().and_then(journal::decode_entry);
    assert_eq!(restored, Some(Entry::Submitted(JOB, first)));
}

/// Guards against a job that changes hands with its leader, which ended before it could restore the submission. The
/// job had begun.
#[test]
fn a_successor_gives_a_job_back_to_its_account() {
    let (mut scheduler, _) = scheduler_with(1);
    let mut fx = deliver(
        &mut scheduler,
        100,
        Event::Journal(vec![(1, job_of_one_task())]),
    );
    fx.extend(wait(&mut scheduler, 110..200));
    let placed = written(&fx, &format!("{JOB}.r")).expect("its placement is stored");
    let Some(Entry::Submitted(_, first)) = journal::decode_entry(&job_of_one_task()) else {
        panic!("the record is a submission");
    };
    let mut again = first.clone();
    again.account = "bob".into();
    let again = journal::submission_record(JOB, &again);
    let cfg = Arc::new(site(0, false));
    let mut next = Scheduler::new(2, Tuning::default(), cfg, at(5_000));
    deliver(&mut next, 0, Event::AllVms(fleet(1, 8_000)));
    let read = vec![(0, again), (0, placed)];
    deliver(&mut next, 1, Event::Journal(read));
    let fx = deliver(&mut next, 2, Event::CaughtUp { marker: 4 });
    let active = Answer::State(JobState::Active);
    assert_eq!(ask(&mut next, 10, caller("ann", "")), active);
    assert_eq!(ask(&mut next, 11, caller("bob", "")), Answer::Foreign);
    let restored = written(&fx, &journal::submission_key(JOB));
    let restored = restored.as_ref().and_then(journal::decode_entry);
    assert_eq!(restored, Some(Entry::Submitted(JOB, first)));
}

/// Guards against an append for each submission that is sent again as it was.
#[test]
fn a_job_that_is_submitted_again_as_it_was_is_not_stored_again() {
    let (mut scheduler, _) = scheduler_with(1);
    start_one(&mut scheduler);
    let mut fx = deliver(
        &mut scheduler,
        200,
        Event::Journal(vec![(2, job_of_one_task())]),
    );
    fx.extend(wait(&mut scheduler, 210..400));
    assert_eq!(written(&fx, &journal::submission_key(JOB)), None);
}
