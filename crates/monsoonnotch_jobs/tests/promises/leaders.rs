//! Directed tests of a leader that has been superseded and does not know it yet.

use monsoonnotch_jobs::access::Caller;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::Query;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::plan::JobId;

use crate::directed::deliver;
use crate::directed::job_of_one_task;
use crate::directed::scheduler_with;
use crate::directed::start_one;
use crate::directed::starts;
use crate::directed::wait;

/// Token of the leader that supersedes the one under test.
const NEWER_TOKEN: u64 = 2;

fn steps_down(fx: &[Effect]) -> bool {
    fx.iter().any(|e| matches!(e, Effect::StepDown))
}

/// Returns a record that starts nothing: the cancellation of a job that was never submitted.
fn cancellation(id: u64) -> KeyedRecord {
    journal::cancellation_record(JobId(id))
}

/// A superseded leader learns from a member of a job that was stored after the first record of
/// its successor, which runs the job. It must not start the job as well: not before it reads
/// the journal, and not when it does.
#[test]
fn a_superseded_leader_starts_no_job_of_its_successors_term() {
    let (mut scheduler, _) = scheduler_with(1);
    let reported = Event::RecordsStored(vec![(2, job_of_one_task())]);
    let mut fx = deliver(&mut scheduler, 100, reported);
    fx.extend(wait(&mut scheduler, 110..2_000));
    assert_eq!(starts(&fx), Vec::new(), "the record at offset 1 is unknown");
    let read = vec![
        (1, journal::term_record(NEWER_TOKEN)),
        (2, job_of_one_task()),
    ];
    let mut fx = deliver(&mut scheduler, 2_000, Event::Journal(read));
    fx.extend(wait(&mut scheduler, 2_010..2_200));
    assert!(steps_down(&fx), "a newer term has begun");
    assert_eq!(starts(&fx), Vec::new());
    let (id, account) = (JobId(5), "ann".into());
    let caller = Caller {
        account,
        ..Caller::default()
    };
    let query = Query::State { id, caller };
    let key = QueryKey { link: 0, seq: 1 };
    let fx = deliver(&mut scheduler, 2_300, Event::Query { key, query });
    let is_unread = |e: &Effect| {
        matches!(
            e,
            Effect::Reply {
                answer: Answer::NoJob { read_to: 1 },
                ..
            }
        )
    };
    assert!(fx.iter().any(is_unread), "the job is stored: {fx:?}");
}

/// Members report their records in another order than they were stored. The last report must
/// start the job at once: waiting for the journal would delay every job on a slow store.
#[test]
fn a_job_starts_at_once_when_all_earlier_records_are_reported() {
    let (mut scheduler, _) = scheduler_with(1);
    let job = Event::RecordsStored(vec![(3, job_of_one_task())]);
    assert_eq!(starts(&deliver(&mut scheduler, 100, job)), Vec::new());
    let earlier = Event::RecordsStored(vec![(1, cancellation(7))]);
    assert_eq!(starts(&deliver(&mut scheduler, 101, earlier)), Vec::new());
    let earlier = Event::RecordsStored(vec![(2, cancellation(8))]);
    assert_eq!(starts(&deliver(&mut scheduler, 102, earlier)).len(), 1);
}

/// A member stores a record without being able to report it. Later reports must take effect
/// once the journal has been read up to them, without being read themselves.
#[test]
fn the_journal_fills_a_gap_between_reported_records() {
    let (mut scheduler, _) = scheduler_with(1);
    let job = Event::RecordsStored(vec![(2, job_of_one_task())]);
    assert_eq!(starts(&deliver(&mut scheduler, 100, job)), Vec::new());
    let read = Event::Journal(vec![(1, cancellation(7))]);
    assert_eq!(starts(&deliver(&mut scheduler, 140, read)).len(), 1);
}

/// The journal cannot be read for long, and reports exceed what the scheduler keeps. The
/// journal must still deliver every record.
#[test]
fn reports_beyond_the_buffer_are_read_from_the_journal() {
    let (mut scheduler, _) = scheduler_with(1);
    let unrelated = (2..10_000).map(|offset| (offset, cancellation(10_000 + offset)));
    let mut fx = deliver(
        &mut scheduler,
        100,
        Event::RecordsStored(unrelated.clone().collect()),
    );
    let job = (10_000, job_of_one_task());
    let reported = Event::RecordsStored(vec![job.clone()]);
    fx.extend(deliver(&mut scheduler, 101, reported));
    assert_eq!(starts(&fx), Vec::new(), "the record at offset 1 is unknown");
    let read = std::iter::once((1, cancellation(1))).chain(unrelated);
    deliver(&mut scheduler, 200, Event::Journal(read.collect()));
    let fx = deliver(&mut scheduler, 201, Event::Journal(vec![job]));
    assert_eq!(starts(&fx).len(), 1);
}

/// Records were trimmed before a superseded leader read them, so that it reads the newest
/// record of each key, in the order of the keys: jobs come before the record of the newer
/// term. It must start none of them.
#[test]
fn reading_the_newest_records_again_reveals_a_newer_term_first() {
    let (mut scheduler, _) = scheduler_with(1);
    let records = vec![
        (9, job_of_one_task()),
        (8, journal::term_record(NEWER_TOKEN)),
    ];
    let newest = Event::NewestRecords { records, next: 10 };
    let mut fx = deliver(&mut scheduler, 100, newest);
    fx.extend(wait(&mut scheduler, 110..300));
    assert!(steps_down(&fx), "a newer term has begun");
    assert_eq!(starts(&fx), Vec::new());
}

/// The newest records are read again page by page, and one of them was stored after the first
/// page was read. Records between the two are unknown, so that a job reported after them must
/// wait until they are read.
#[test]
fn records_after_the_first_page_of_the_newest_are_not_known_yet() {
    let (mut scheduler, _) = scheduler_with(1);
    let records = vec![(4, cancellation(7)), (12, cancellation(8))];
    let newest = Event::NewestRecords { records, next: 10 };
    deliver(&mut scheduler, 100, newest);
    let job = Event::RecordsStored(vec![(13, job_of_one_task())]);
    let mut fx = deliver(&mut scheduler, 101, job);
    fx.extend(wait(&mut scheduler, 110..300));
    assert_eq!(starts(&fx), Vec::new(), "offsets 10 and 11 are unknown");
    let read = vec![(10, cancellation(9)), (11, cancellation(10))];
    deliver(&mut scheduler, 300, Event::Journal(read));
    let read = Event::Journal(vec![(12, cancellation(8))]);
    assert_eq!(starts(&deliver(&mut scheduler, 301, read)).len(), 1);
}

/// The start of a run is unanswered when the leader learns that it is superseded. It must not
/// send the start again, since its successor may have placed the task elsewhere.
#[test]
fn a_superseded_leader_sends_no_start_again() {
    let (mut scheduler, _) = scheduler_with(1);
    let (run, _) = start_one(&mut scheduler);
    let read = Event::Journal(vec![(2, journal::term_record(NEWER_TOKEN))]);
    let now = monsoonnotch_core::time::Time(200_000);
    scheduler.handle(read, now, 0);
    let answer = StartAnswer::Unknown;
    let fx = deliver(&mut scheduler, 220, Event::Started { run, answer });
    assert!(steps_down(&fx));
    assert_eq!(starts(&fx), Vec::new());
}
