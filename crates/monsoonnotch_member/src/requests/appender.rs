//! Appends the records that callers submit to the journal, in batches.
//!
//! At most one append is in flight. It carries all records that arrived during the previous
//! append, so that a slow store accepts as many jobs as a fast one. The store keeps one
//! record per key, so a record whose append had no response can be appended again.

use std::sync::Arc;
use std::time::Duration;

use monsoonnotch_adapter::caller_api::Reply;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_core::time;
use monsoonnotch_ingress::prelude::Share;
use monsoonnotch_jobs::append_pace::AppendPace;
use monsoonnotch_jobs::comeback::Cause;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::submissions::Forecast;
use monsoonnotch_jobs::submissions::Submissions;
use monsoonnotch_jobs::submissions::Waiting;
use serde_bytes::ByteBuf;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::job_place::JobPlace;
use super::refusal;
use super::submit::is_store_unavailable;
use crate::cx::Cx;
use crate::cx::lock;
use crate::leadership::TOPIC as CLAIMS;
use crate::links::Frame;
use crate::links::QueuedFrame;
use crate::term::JOURNAL_TOPIC;

/// How long a record that the store refuses is retried before the caller's request is refused: a
/// quarter of the shortest completion objective of the sites.
const REFUSE_AFTER: Duration = Duration::from_millis(150);
/// How long a record whose append had no response is retried while the store is unavailable: the
/// time of two appends.
const UNKNOWN_AFTER: Duration = Duration::from_millis(900);
/// Timeout of a probe. A slow store takes 50 to 70 times its usual 4 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Time from which an append is logged as slow.
const SLOW_APPEND_THRESHOLD: time::Duration = time::Duration::from_millis(100);
/// Wait for a deadline if none is left, longer than any append.
const NO_DEADLINE: Duration = Duration::from_secs(60);
/// Maximum number of records in a batch.
const BATCH_RECORDS_MAX: usize = 512;
/// Pause before a failed batch is retried.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// A submitted record that waits to be stored.
#[derive(Debug)]
pub(crate) struct PendingRecord {
    pub(super) record: KeyedRecord,
    /// When the member received the record.
    pub(super) began: Instant,
    /// When the caller must have a reply at the latest.
    pub(super) deadline: Instant,
    /// Whether an append of the record had an unknown outcome, so that it may be stored.
    pub(super) may_have_run: bool,
    /// Where the reply goes; `None` once it was sent.
    pub(super) reply: Option<oneshot::Sender<Reply>>,
    /// The place of the job in the leader's memory.
    pub(super) place: JobPlace,
    /// The memory of the record and its copies.
    pub(super) memory: Option<Arc<Share>>,
}

impl PendingRecord {
    /// Returns the reply to send when the record is not retried any more, or `None` when it is.
    ///
    /// `unavailable` tells whether the store counts as unavailable.
    fn final_reply(&self, cx: &Cx, unavailable: bool) -> Option<Reply> {
        let elapsed = self.began.elapsed();
        let overdue = Instant::now() + RETRY_PAUSE >= self.deadline;
        match self.may_have_run {
            true => {
                (overdue || (unavailable && elapsed >= UNKNOWN_AFTER)).then_some(Reply::MayHaveRun)
            }
            false if overdue || elapsed >= REFUSE_AFTER => Some(refusal::not_stored(cx)),
            false => None,
        }
    }

    fn send_reply(&mut self, reply: Reply) {
        if let Some(tx) = self.reply.take() {
            // The caller may have disconnected.
            let _ = tx.send(reply);
        }
    }
}

/// Appends submitted records batch by batch, for as long as the process lives.
pub(crate) async fn run(cx: Arc<Cx>, mut rx: mpsc::UnboundedReceiver<PendingRecord>) {
    let mut appender = Appender::default();
    loop {
        if appender.submissions.is_empty() {
            match rx.recv().await {
                Some(pending) => appender.push(&cx, pending),
                None => return,
            }
        }
        while let Ok(pending) = rx.try_recv() {
            appender.push(&cx, pending);
        }
        // A record that has not been sent can still be refused as not run. So after a failure,
        // nothing is sent until the store has responded to a probe.
        let is_lost = !cx.store_unavailable_for().is_zero();
        if appender.failed && is_lost && !probe_store_for(&cx, appender.pace.timeout().into()).await
        {
            appender.reply_or_retry(&cx, Vec::new(), false);
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        appender.refuse_hopeless(&cx, time::Duration::default());
        let batch = appender.next_batch();
        if !batch.is_empty() {
            appender.append(&cx, &mut rx, batch).await;
        }
    }
}

/// The records that wait to be stored, and how long the store takes.
#[derive(Debug, Default)]
struct Appender {
    submissions: Submissions<PendingRecord>,
    pace: AppendPace,
    /// Whether the last append failed.
    failed: bool,
    /// Number of the next records to append one by one, because the store refuses one of them.
    alone: usize,
}

impl Appender {
    fn push(&mut self, cx: &Cx, pending: PendingRecord) {
        let left = pending.deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        self.submissions.push(Waiting {
            bytes: pending.record.value.len(),
            deadline: cx.clock.now() + time::Duration::from_millis(left_ms),
            item: pending,
        });
    }

    /// Returns the expected time of the next append, also from the appends of other tasks.
    fn expected(&self, cx: &Cx) -> time::Duration {
        let recent_ms = u64::try_from(cx.append_time().as_millis()).unwrap_or(u64::MAX);
        self.pace
            .expected()
            .max(time::Duration::from_millis(recent_ms))
    }

    fn next_batch(&mut self) -> Vec<Waiting<PendingRecord>> {
        let records_max = match self.alone {
            0 => BATCH_RECORDS_MAX,
            _ => 1,
        };
        self.alone = self.alone.saturating_sub(1);
        self.submissions
            .next_batch(self.pace.bytes_max(), records_max)
    }

    /// Replies to the callers whose records would be stored too late; the append under way takes
    /// `busy` longer.
    fn refuse_hopeless(&mut self, cx: &Cx, busy: time::Duration) {
        let forecast = Forecast {
            busy,
            append: self.expected(cx),
            bytes_max: self.pace.bytes_max(),
        };
        for waiting in self.submissions.take_hopeless(cx.clock.now(), forecast) {
            let mut pending = waiting.item;
            let reply = match pending.may_have_run {
                true => Reply::MayHaveRun,
                false => refusal::not_run(Cause::StoreSlow(forecast.append)),
            };
            pending.send_reply(reply);
        }
        metrics::gauge!("monsoonnotch_waiting_submissions").set(self.submissions.len() as f64);
    }

    /// Appends a batch; none of it holds the others up if the store refuses it for good. Submissions that arrive meanwhile and would be stored too late are refused
    /// at once.
    async fn append(
        &mut self,
        cx: &Arc<Cx>,
        rx: &mut mpsc::UnboundedReceiver<PendingRecord>,
        mut batch: Vec<Waiting<PendingRecord>>,
    ) {
        let records: Vec<KeyedRecord> = batch.iter().map(|w| w.item.record.clone()).collect();
        let bytes: usize = batch.iter().map(|w| w.bytes).sum();
        let began = cx.clock.now();
        let expected_end = began + self.expected(cx);
        let timeout = self.pace.timeout().into();
        let append = cx
            .store
            .append(JOURNAL_TOPIC, &records, None, None, timeout);
        tokio::pin!(append);
        let appended = loop {
            tokio::select! {
                appended = &mut append => break appended,
                () = tokio::time::sleep_until(next_deadline(&batch)) => reply_to_overdue(&mut batch),
                Some(pending) = rx.recv() => {
                    self.push(cx, pending);
                    self.refuse_hopeless(cx, expected_end.since(cx.clock.now()));
                }
            }
        };
        let responded = match &appended {
            Ok(_) => true,
            Err(e) => e.is_permanent(),
        };
        cx.record_store_result(responded);
        self.failed = !responded;
        let took = cx.clock.now().since(began);
        cx.record_append_time(took.into());
        if took > SLOW_APPEND_THRESHOLD || self.failed {
            let outcome = format!("{appended:?}");
            log::warn!(event = "submissions slow", records = batch.len(), waiting = self.submissions.len(), bytes = bytes, ms = took.as_millis(), bytes_max = self.pace.bytes_max(), outcome = outcome; "an append of submissions was slow or failed");
        }
        match appended {
            Ok(offset) => {
                self.pace.stored(bytes, took);
                report_stored(cx, offset, batch);
            }
            Err(e) if e.is_permanent() => self.isolate(batch),
            Err(e) => {
                if e == Error::Unknown {
                    self.pace.timed_out(bytes, took);
                }
                self.reply_or_retry(cx, batch, e == Error::Unknown);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// After the store has refused a batch for good, appends its records one by one; the caller of a record
    /// that it refuses gets a reply.
    fn isolate(&mut self, mut batch: Vec<Waiting<PendingRecord>>) {
        if let [refused] = batch.as_mut_slice() {
            let pending = &mut refused.item;
            let reply = match pending.may_have_run {
                true => Reply::MayHaveRun,
                false => Reply::TooLarge,
            };
            log::warn!(event = "submission refused", key = pending.record.key.as_str(), bytes = refused.bytes; "the store refuses a record for good; its caller has to submit a smaller job");
            return pending.send_reply(reply);
        }
        self.alone = batch.len();
        self.submissions.put_back(batch);
    }

    /// After a failure, replies to the callers whose records are not retried.
    ///
    /// `attempted` are the records of the append that failed; `unknown` tells whether its outcome is
    /// unknown, so that they may be stored.
    fn reply_or_retry(
        &mut self,
        cx: &Cx,
        mut attempted: Vec<Waiting<PendingRecord>>,
        unknown: bool,
    ) {
        for waiting in &mut attempted {
            waiting.item.may_have_run |= unknown;
        }
        let waiting = self.submissions.next_batch(usize::MAX, usize::MAX);
        attempted.extend(waiting);
        let unavailable = is_store_unavailable(cx);
        let mut retried = Vec::new();
        attempted.retain(|w| w.item.reply.is_some());
        for mut waiting in attempted {
            match waiting.item.final_reply(cx, unavailable) {
                Some(reply) => waiting.item.send_reply(reply),
                None => retried.push(waiting),
            }
        }
        self.submissions.put_back(retried);
    }
}

/// Reports stored records to the leader and to their callers; `offset` is that of the first record.
fn report_stored(cx: &Cx, offset: u64, stored: Vec<Waiting<PendingRecord>>) {
    for (offset, waiting) in (offset..).zip(stored) {
        let mut pending = waiting.item;
        pending.send_reply(Reply::Stored);
        pending.place.keep(offset);
        notify_leader(cx, offset, pending.record, pending.memory);
    }
}

/// Notifies the leader of a stored record. If this fails, the leader reads the record from the
/// journal.
fn notify_leader(cx: &Cx, offset: u64, record: KeyedRecord, memory: Option<Arc<Share>>) {
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
        let _ = tx.try_send(QueuedFrame::with_memory(frame, memory));
    }
}

/// Returns when the next caller of a batch must have a reply.
fn next_deadline(batch: &[Waiting<PendingRecord>]) -> Instant {
    let open = batch.iter().filter(|w| w.item.reply.is_some());
    let next = open.map(|w| w.item.deadline).min();
    next.unwrap_or_else(|| Instant::now() + NO_DEADLINE)
}

/// Replies to the callers of the append under way whose time is over. The append goes on for the
/// others.
fn reply_to_overdue(batch: &mut [Waiting<PendingRecord>]) {
    let now = Instant::now();
    for waiting in batch.iter_mut().filter(|w| w.item.deadline <= now) {
        waiting.item.send_reply(Reply::MayHaveRun);
    }
}

/// Returns whether the store responds to a read within [`PROBE_TIMEOUT`].
pub(crate) async fn probe_store(cx: &Cx) -> bool {
    probe_store_for(cx, PROBE_TIMEOUT).await
}

/// Returns whether the store responds to a read within `timeout`.
async fn probe_store_for(cx: &Cx, timeout: Duration) -> bool {
    let probed = tokio::time::timeout(timeout, cx.store.newest(CLAIMS)).await;
    let responded = matches!(probed, Ok(Ok(_)));
    cx.record_store_result(responded);
    responded
}
