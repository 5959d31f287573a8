//! Stores the records that callers submit.
//!
//! Followers relay their records to the leader, which stores them; a member that the leader cannot
//! serve stores its own.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use monsoonnotch_adapter::caller_api::Reply;
use monsoonnotch_adapter::store::fits_into_record;
use monsoonnotch_ingress::prelude::Share;
use monsoonnotch_jobs::comeback::Cause;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::Entry;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::journal::Submission;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::Plan;
use monsoonnotch_jobs::plan::parse_job_id;
use monsoonnotch_jobs::scheduler::job_memory;
use monsoonnotch_jobs::site::Queue;
use serde_bytes::ByteBuf;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::appender::PendingRecord;
use super::appender::RETRY_PAUSE;
use super::job_place::JobPlace;
use super::refusal;
use crate::control::unix_ms;
use crate::cx::Cx;
use crate::cx::lock;
use crate::links::Frame;
use crate::links::QueuedFrame;
use crate::links::StoreOutcome;
use crate::links::StoreResult;

/// Part of the wait for the leader that is reserved for the round trip to it.
const RELAY_ROUND_TRIP_MAX: Duration = Duration::from_millis(60);
/// Least time in which a record can be stored: the round trip to the leader, and an append.
const STORE_TIME_MIN: Duration = Duration::from_millis(80);
/// Number of copies of a record on its way to the store: the record, a frame, a message or the body of an
/// append, and a report to the leader.
const RECORD_COPIES: u64 = 4;
/// How long the store may fail to respond before it counts as unavailable. New submissions are then
/// refused at once, unless the leader can reach the store. The refusal truly states that they have
/// not run, because they were never sent.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(500);

/// Builds the submission of a job to the queue `name`, accepted now.
pub(super) fn submission(
    name: &CompactString,
    queue: &Queue,
    account: CompactString,
    plan: Plan,
) -> Submission {
    Submission {
        queue: name.clone(),
        account,
        pool: queue.pool.clone(),
        accepted_ms: unix_ms(),
        plan,
    }
}

/// A record that is to be stored, and what it takes meanwhile.
#[derive(Debug, Clone)]
pub(crate) struct Storable {
    pub(crate) record: KeyedRecord,
    /// What the job takes of the leader's memory, in bytes; zero if the record is no submission.
    pub(crate) job_memory: u64,
    /// Whether it was sent a short time ago as well, so that it must not be refused as not run.
    pub(crate) repeated: bool,
    /// The memory of the record and its copies. It is given back with the last of them.
    pub(crate) memory: Option<Arc<Share>>,
}

impl Storable {
    /// Wraps a record that takes `job_memory` bytes of the leader's memory.
    pub(crate) fn new(record: KeyedRecord, job_memory: u64) -> Self {
        Self {
            record,
            job_memory,
            repeated: false,
            memory: None,
        }
    }

    /// Returns the id of the job if the record is a submission. Other records have other keys.
    fn submitted(&self) -> Option<JobId> {
        parse_job_id(&self.record.key)
    }

    /// Refuses the record for want of memory; returns after which time its caller may come back, in seconds.
    /// `None` if it was sent before, and may be stored.
    fn no_memory_retry_s(&self, cx: &Cx) -> Option<u32> {
        match self.submitted() {
            Some(_) if self.repeated => None,
            Some(id) => Some(refusal::unsent_retry_s(cx, id, Cause::NoMemory)),
            None => Some(refusal::retry_s(Cause::NoMemory)),
        }
    }

    /// Returns the reply for want of memory.
    fn no_memory(&self, cx: &Cx) -> Reply {
        let retry_s = self.no_memory_retry_s(cx);
        retry_s.map_or(Reply::MayHaveRun, |retry_s| Reply::NotRun { retry_s })
    }
}

/// Turns a submission into the record to store; `memory` is that of the request.
///
/// The error is the reply if the submission is turned away, or if there is no memory for the record.
pub(super) async fn prepare(
    cx: &Cx,
    id: JobId,
    submission: Submission,
    mut memory: Share,
) -> Result<Storable, Reply> {
    let storable = encode(cx, id, submission)?;
    let copies = storable.record.value.len() as u64 * RECORD_COPIES;
    if !memory.resize(copies).await {
        return Err(storable.no_memory(cx));
    }
    Ok(Storable {
        memory: Some(Arc::new(memory)),
        ..storable
    })
}

/// Encodes a submission, unless it is turned away. Its plan is dropped: many may wait for memory, and each
/// may be large.
fn encode(cx: &Cx, id: JobId, submission: Submission) -> Result<Storable, Reply> {
    let record = journal::submission_record(id, &submission);
    if !fits_into_record(&record) {
        return Err(Reply::TooLarge);
    }
    let repeated = refusal::is_repeated(cx, id);
    let job_memory = job_memory(&submission.plan);
    let turned_away = match repeated {
        true => None,
        false => refusal::turned_away_s(cx, id, || Some(submission)),
    };
    match turned_away {
        Some(retry_s) => Err(Reply::NotRun { retry_s }),
        None => Ok(Storable {
            repeated,
            ..Storable::new(record, job_memory)
        }),
    }
}

/// Stores a record through the leader, or directly if the leader cannot store it.
///
/// A single append of the leader carries the records of many members. Their own appends would
/// queue up at a store that is slow, which handles them one by one.
///
/// Returns [`Reply::NotRun`] when the record is certainly not stored, and [`Reply::MayHaveRun`]
/// when the outcome is unknown.
pub(super) async fn store(cx: &Arc<Cx>, record: Storable, deadline: Instant) -> Reply {
    // A caller that comes back may have little of its time left.
    if Instant::now() + STORE_TIME_MIN >= deadline {
        return refusal::not_run(Cause::NoTime);
    }
    let relayed = match cx.leader_reaches_store.load(Ordering::Relaxed) {
        true => relay_to_leader(cx, &record, deadline).await,
        false => Relayed::NotSent,
    };
    let leader_reaches_store = cx.leader_reaches_store.load(Ordering::Relaxed);
    let may_have_run = match relayed {
        Relayed::Outcome(StoreOutcome::Stored) => return Reply::Stored,
        // Another append would queue up behind those of the leader.
        Relayed::Outcome(StoreOutcome::Unknown) => return Reply::MayHaveRun,
        Relayed::TurnedAway(retry_s) => return Reply::NotRun { retry_s },
        Relayed::Outcome(StoreOutcome::NotStored) if leader_reaches_store => {
            return refusal::not_stored(cx);
        }
        Relayed::Outcome(StoreOutcome::NotStored) | Relayed::NotSent => false,
        Relayed::LinkLost => true,
    };
    if is_store_unavailable(cx) || Instant::now() + RETRY_PAUSE >= deadline {
        return if may_have_run {
            Reply::MayHaveRun
        } else {
            refusal::not_stored(cx)
        };
    }
    let Some(place) = JobPlace::take(cx, &record) else {
        return match may_have_run {
            true => Reply::MayHaveRun,
            false => record.no_memory(cx),
        };
    };
    // A record that the leader may have stored can be appended again, because the store keeps one
    // record per key.
    match store_directly(cx, record, place, deadline).await {
        Reply::Stored => Reply::Stored,
        _ if may_have_run => Reply::MayHaveRun,
        reply => reply,
    }
}

/// What became of a record that was relayed to the leader.
#[derive(Debug, Clone, Copy)]
enum Relayed {
    /// There is no link to a leader, or its queue is full.
    NotSent,
    /// The link ended before the leader responded, so that the record may be stored.
    LinkLost,
    /// The leader has turned the submission away; its caller may come back after this time, in
    /// seconds.
    TurnedAway(u32),
    /// The leader responded, or the time was over.
    Outcome(StoreOutcome),
}

/// Stores a record through this member's own connection to the store.
///
/// Waits for the batch that carries the record, and returns the reply for the caller.
async fn store_directly(
    cx: &Arc<Cx>,
    record: Storable,
    place: JobPlace,
    deadline: Instant,
) -> Reply {
    let (reply, rx) = oneshot::channel();
    let pending = PendingRecord {
        record: record.record,
        began: Instant::now(),
        deadline,
        may_have_run: false,
        reply: Some(reply),
        place,
        memory: record.memory,
    };
    if cx.submissions.send(pending).is_err() {
        return refusal::not_stored(cx);
    }
    rx.await.unwrap_or(Reply::MayHaveRun)
}

/// Stores a record for a follower, unless the store is unavailable, a submission is turned away, or there
/// is no memory for it.
pub(crate) async fn store_for_follower(
    cx: &Arc<Cx>,
    mut record: Storable,
    deadline: Instant,
) -> StoreResult {
    if is_store_unavailable(cx) {
        return StoreOutcome::NotStored.into();
    }
    if let Some(id) = record.submitted() {
        record.repeated = refusal::is_repeated(cx, id);
        let submission = || decode_submission(&record.record);
        let turned_away = match record.repeated {
            true => None,
            false => refusal::turned_away_s(cx, id, submission),
        };
        if let Some(retry_s) = turned_away {
            return StoreResult::turned_away(retry_s);
        }
    }
    let copies = record.record.value.len() as u64 * RECORD_COPIES;
    record.memory = cx.budgets.relayed.share(copies).map(Arc::new);
    let place = JobPlace::take(cx, &record);
    let Some(place) = place.filter(|_| record.memory.is_some()) else {
        let retry_s = record.no_memory_retry_s(cx);
        return retry_s.map_or(StoreOutcome::Unknown.into(), StoreResult::turned_away);
    };
    let outcome = match store_directly(cx, record, place, deadline).await {
        Reply::Stored => StoreOutcome::Stored,
        Reply::NotRun { .. } | Reply::TooLarge => StoreOutcome::NotStored,
        _ => StoreOutcome::Unknown,
    };
    outcome.into()
}

fn decode_submission(record: &KeyedRecord) -> Option<Submission> {
    match journal::decode_entry(record)? {
        Entry::Submitted(_, submission) => Some(*submission),
        _ => None,
    }
}

pub(super) fn is_store_unavailable(cx: &Cx) -> bool {
    cx.store_unavailable_for() > UNAVAILABLE_AFTER
}

/// Relays a record to the leader and waits for the outcome.
async fn relay_to_leader(cx: &Arc<Cx>, storable: &Storable, deadline: Instant) -> Relayed {
    let within = deadline.saturating_duration_since(Instant::now());
    let mut pending = cx.store_requests.register();
    let record = storable.record.clone();
    let frame = Frame::Store {
        seq: pending.seq,
        within_ms: within.saturating_sub(RELAY_ROUND_TRIP_MAX).as_millis() as u64,
        key: record.key,
        value: ByteBuf::from(record.value),
        job_memory: storable.job_memory,
    };
    let frame = QueuedFrame::with_memory(frame, storable.memory.clone());
    let sent = lock(&cx.leader_link)
        .as_ref()
        .is_some_and(|tx| tx.try_send(frame).is_ok());
    if !sent {
        return Relayed::NotSent;
    }
    match tokio::time::timeout(within, &mut pending.response).await {
        Ok(Ok(StoreResult {
            turned_away_s: Some(retry_s),
            ..
        })) => Relayed::TurnedAway(retry_s),
        Ok(Ok(result)) => Relayed::Outcome(result.outcome),
        Ok(Err(_)) => Relayed::LinkLost,
        Err(_) => Relayed::Outcome(StoreOutcome::Unknown),
    }
}
