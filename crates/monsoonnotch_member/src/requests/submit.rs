//! Stores the records that callers submit, in batches.
//!
//! At most one append is in flight. It carries all records that arrived during the previous
//! append, so that a slow store accepts as many jobs as a fast one. The store keeps one
//! record per key, so a record whose append had no response can be appended again. A member
//! that cannot reach the store relays its records to the leader, which stores them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use monsoonnotch_adapter::caller_api::Reply;
use monsoonnotch_adapter::store::APPEND_TIMEOUTS;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::journal::Submission;
use monsoonnotch_jobs::plan::Plan;
use monsoonnotch_jobs::site::Queue;
use serde_bytes::ByteBuf;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::RETRY_S;
use crate::control::unix_ms;
use crate::cx::Cx;
use crate::cx::lock;
use crate::leadership::TOPIC as CLAIMS;
use crate::links::Frame;
use crate::links::StoreOutcome;
use crate::term::JOURNAL_TOPIC;

/// How long a record that the store refuses is retried before the caller's request is refused: a
/// quarter of the shortest completion objective of the sites.
const REFUSE_AFTER: Duration = Duration::from_millis(150);
/// How long a record whose append had no response is retried while the store is unavailable: the
/// time of two appends.
const UNKNOWN_AFTER: Duration = Duration::from_millis(900);
/// Timeout of a probe. A slow store takes 50 to 70 times its usual 4 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause before a failed batch is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// An append that takes no longer than this shows that the store is not slow.
const QUICK_APPEND_MAX: Duration = Duration::from_millis(120);
/// Maximum number of records in a batch.
const BATCH_RECORDS_MAX: usize = 512;
/// Size in bytes at which no further record is added to a batch. The store accepts 2 MB per append.
const BATCH_BYTES_MAX: usize = 1 << 20;
/// Longest wait for the leader to store a record: slightly longer than the leader tries.
const RELAY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Part of the wait for the leader that is reserved for the round trip to it.
const RELAY_ROUND_TRIP_MAX: Duration = Duration::from_millis(60);
/// How long a follower relays its records to the leader after the store was slow. A slow store
/// handles 14 appends per second from all members together, so each of about 40 members may try an
/// append of its own only every few seconds.
const SLOW_STORE_PERIOD: Duration = Duration::from_secs(5);
/// How long the store may fail to respond before it counts as unavailable. New submissions are then
/// refused at once, unless the leader can reach the store. The refusal truly states that they have
/// not run, because they were never sent.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(500);

/// A submitted record that waits to be stored.
#[derive(Debug)]
pub(crate) struct PendingRecord {
    record: KeyedRecord,
    /// When the member received the record.
    began: Instant,
    /// When the caller must have a reply at the latest.
    deadline: Instant,
    /// Whether an append of the record had an unknown outcome, so that it may be stored.
    may_have_run: bool,
    reply: oneshot::Sender<Reply>,
}

impl PendingRecord {
    /// Returns the reply to send when the record is not retried any more, or `None` when it is.
    ///
    /// `unavailable` tells whether the store counts as unavailable.
    fn final_reply(&self, unavailable: bool) -> Option<Reply> {
        let elapsed = self.began.elapsed();
        let overdue = Instant::now() + RETRY_PAUSE >= self.deadline;
        match self.may_have_run {
            true => {
                (overdue || (unavailable && elapsed >= UNKNOWN_AFTER)).then_some(Reply::MayHaveRun)
            }
            false if overdue || elapsed >= REFUSE_AFTER => Some(Reply::NotRun { retry_s: RETRY_S }),
            false => None,
        }
    }

    fn send_reply(self, reply: Reply) {
        // The caller may have disconnected.
        let _ = self.reply.send(reply);
    }
}

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

/// Stores a record directly or through the leader.
///
/// Returns [`Reply::NotRun`] when the record is certainly not stored, and [`Reply::MayHaveRun`]
/// when the outcome is unknown.
pub(super) async fn store(cx: &Arc<Cx>, record: KeyedRecord, deadline: Instant) -> Reply {
    // Neither this member nor the leader can store the record now. The caller can retry.
    if is_store_unavailable(cx) && !cx.leader_reaches_store.load(Ordering::Relaxed) {
        return Reply::NotRun { retry_s: RETRY_S };
    }
    let stored = match is_store_unavailable(cx) || cx.store_is_slow() {
        true => Reply::NotRun { retry_s: RETRY_S },
        false => store_directly(cx, record.clone(), deadline).await,
    };
    match stored {
        // The store may be unavailable to this member alone, or slow. A single append of the
        // leader then carries the records of many members, whose own appends would overload the
        // store.
        Reply::NotRun { .. } => match relay_to_leader(cx, record.clone(), deadline).await {
            Some(relayed) => relayed,
            None if cx.store_is_slow() && !is_store_unavailable(cx) => {
                store_directly(cx, record, deadline).await
            }
            None => stored,
        },
        _ => stored,
    }
}

/// Stores a record through this member's own connection to the store.
///
/// Waits for the batch that carries the record, and returns the reply for the caller.
pub(crate) async fn store_directly(cx: &Arc<Cx>, record: KeyedRecord, deadline: Instant) -> Reply {
    let (reply, rx) = oneshot::channel();
    let pending = PendingRecord {
        record,
        began: Instant::now(),
        deadline,
        may_have_run: false,
        reply,
    };
    let refusal = Reply::NotRun { retry_s: RETRY_S };
    if cx.submissions.send(pending).is_err() {
        return refusal;
    }
    rx.await.unwrap_or(Reply::MayHaveRun)
}

fn is_store_unavailable(cx: &Cx) -> bool {
    cx.store_unavailable_for() > UNAVAILABLE_AFTER
}

/// Relays a record to the leader and waits for the outcome; returns `None` when there is no link to
/// a leader or the link's queue is full.
async fn relay_to_leader(cx: &Arc<Cx>, record: KeyedRecord, deadline: Instant) -> Option<Reply> {
    let within = deadline
        .saturating_duration_since(Instant::now())
        .min(RELAY_TIMEOUT);
    let (seq, rx) = cx.store_requests.register();
    let frame = Frame::Store {
        seq,
        within_ms: within.saturating_sub(RELAY_ROUND_TRIP_MAX).as_millis() as u64,
        key: record.key,
        value: ByteBuf::from(record.value),
    };
    let sent = lock(&cx.leader_link)
        .as_ref()
        .is_some_and(|tx| tx.try_send(frame).is_ok());
    let outcome = match sent {
        true => tokio::time::timeout(within, rx).await,
        false => {
            cx.store_requests.remove(seq);
            return None;
        }
    };
    cx.store_requests.remove(seq);
    Some(match outcome {
        Ok(Ok(StoreOutcome::Stored)) => Reply::Stored,
        Ok(Ok(StoreOutcome::NotStored)) => Reply::NotRun { retry_s: RETRY_S },
        Ok(Ok(StoreOutcome::Unknown)) | Ok(Err(_)) | Err(_) => Reply::MayHaveRun,
    })
}

/// Appends submitted records batch by batch, for as long as the process lives.
pub(crate) async fn run(cx: Arc<Cx>, mut rx: mpsc::UnboundedReceiver<PendingRecord>) {
    let mut batch: Vec<PendingRecord> = Vec::new();
    let mut timeout_index = 0;
    let mut failed = false;
    loop {
        if batch.is_empty() {
            match rx.recv().await {
                Some(pending) => batch.push(pending),
                None => return,
            }
        }
        fill_batch(&mut batch, &mut rx);
        // A record that has not been sent can still be refused as not run. So after a failure,
        // nothing is sent until the store has responded to a probe.
        if failed && !probe_store(&cx).await {
            batch = reply_or_retry(batch, false, is_store_unavailable(&cx));
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let records: Vec<KeyedRecord> = batch.iter().map(|p| p.record.clone()).collect();
        let began = Instant::now();
        let appended = cx
            .store
            .append(
                JOURNAL_TOPIC,
                &records,
                None,
                None,
                APPEND_TIMEOUTS[timeout_index],
            )
            .await;
        cx.record_store_result(appended.is_ok());
        let slow = began.elapsed() > QUICK_APPEND_MAX;
        if slow && cx.own_token().is_none() {
            cx.mark_store_slow(SLOW_STORE_PERIOD);
        }
        timeout_index = match &appended {
            Ok(_) if !slow => 0,
            Err(Error::Unknown) => (timeout_index + 1).min(APPEND_TIMEOUTS.len() - 1),
            _ => timeout_index,
        };
        failed = appended.is_err();
        let attempted = std::mem::take(&mut batch);
        match appended {
            Ok(offset) => report_stored(&cx, offset, attempted),
            Err(e) => {
                batch = reply_or_retry(attempted, e == Error::Unknown, is_store_unavailable(&cx));
                if slow && lock(&cx.leader_link).is_some() {
                    std::mem::take(&mut batch)
                        .into_iter()
                        .for_each(|p| relay_failed(&cx, p));
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reports stored records to the leader and to their callers; `offset` is that of the first record.
fn report_stored(cx: &Cx, offset: u64, stored: Vec<PendingRecord>) {
    for (offset, pending) in (offset..).zip(stored) {
        notify_leader(cx, offset, pending.record.clone());
        pending.send_reply(Reply::Stored);
    }
}

/// Notifies the leader of a stored record. If this fails, the leader reads the record from the
/// journal.
fn notify_leader(cx: &Cx, offset: u64, record: KeyedRecord) {
    if let Some(token) = cx.own_token() {
        cx.control
            .event(token, Event::RecordsStored(vec![(offset, record)]));
        return;
    }
    let frame = Frame::RecordStored {
        offset,
        key: record.key,
        value: ByteBuf::from(record.value),
    };
    if let Some(tx) = lock(&cx.leader_link).as_ref() {
        let _ = tx.try_send(frame);
    }
}

/// Relays a record to the leader after this member's own append of it failed.
fn relay_failed(cx: &Arc<Cx>, pending: PendingRecord) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        let reply = match relay_to_leader(&cx, pending.record.clone(), pending.deadline).await {
            Some(Reply::Stored) => Reply::Stored,
            _ if pending.may_have_run => Reply::MayHaveRun,
            Some(reply) => reply,
            None => Reply::NotRun { retry_s: RETRY_S },
        };
        pending.send_reply(reply);
    });
}

/// Returns whether the store responds to a read.
async fn probe_store(cx: &Cx) -> bool {
    let probed = tokio::time::timeout(PROBE_TIMEOUT, cx.store.newest(CLAIMS)).await;
    let responded = matches!(probed, Ok(Ok(_)));
    cx.record_store_result(responded);
    responded
}

/// Adds the records that have arrived to a batch, up to its limits.
fn fill_batch(batch: &mut Vec<PendingRecord>, rx: &mut mpsc::UnboundedReceiver<PendingRecord>) {
    let mut bytes: usize = batch.iter().map(|p| p.record.value.len()).sum();
    while batch.len() < BATCH_RECORDS_MAX
        && bytes < BATCH_BYTES_MAX
        && let Ok(pending) = rx.try_recv()
    {
        bytes += pending.record.value.len();
        batch.push(pending);
    }
}

/// After a failed append, replies to the callers whose records are not retried, and returns the
/// other records.
///
/// `unknown` tells whether the outcome of the append is unknown, so that the records may be stored.
fn reply_or_retry(
    attempted: Vec<PendingRecord>,
    unknown: bool,
    unavailable: bool,
) -> Vec<PendingRecord> {
    let mut retried = Vec::new();
    for mut pending in attempted {
        pending.may_have_run |= unknown;
        match pending.final_reply(unavailable) {
            Some(reply) => pending.send_reply(reply),
            None => retried.push(pending),
        }
    }
    retried
}
