//! Stores what callers hand in, many records to an append.
//!
//! One append is on its way at a time and carries all that came meanwhile, so
//! that a slow store takes as many jobs as a fast one. The store keeps one
//! record for each key, so what has no answer is appended again. A member whom
//! the store refuses has the holder store for it.

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
use crate::links::Fate;
use crate::links::Frame;
use crate::term::JOURNAL;

/// How long a record that the store refuses is tried again before the caller
/// is refused: a quarter of the shortest objective of the sites.
const REFUSE_AFTER: Duration = Duration::from_millis(150);
/// How long a record without an answer is tried again while the store answers
/// nothing at all: two appends.
const UNKNOWN_AFTER: Duration = Duration::from_millis(900);
/// Longest probe; a slow store takes 50 to 70 times its usual 4 ms.
const PROBE_MAX: Duration = Duration::from_millis(350);
/// Pause before a batch that failed goes again.
const PAUSE: Duration = Duration::from_millis(40);
/// An append that took no longer than this shows a store that is well again.
const QUICK: Duration = Duration::from_millis(120);
/// Records of a batch, at most, and their bytes; the store takes 2 MB at once.
const BATCH_MAX: usize = 512;
const BATCH_BYTES: usize = 1 << 20;
/// Longest wait for the holder to store a record: a little beyond what it takes.
const RELAY_MAX: Duration = Duration::from_millis(2_000);
/// Part of that wait which the way to the holder and back takes, at most.
const RELAY_WAY: Duration = Duration::from_millis(60);
/// How long a member leaves appends to the holder once the store was slow. A slow
/// store takes 14 appends a second from all members together, so each of some
/// forty may try one of its own only every few seconds.
const SLOW_FOR: Duration = Duration::from_secs(5);
/// Silence of the store after which nothing new is tried: what is handed in
/// then is refused at once, and true it is that it has not run.
const DARK: Duration = Duration::from_millis(500);

/// A record that waits to be stored.
#[derive(Debug)]
pub(crate) struct Pending {
    record: KeyedRecord,
    began: Instant,
    until: Instant,
    may_have_run: bool,
    reply: oneshot::Sender<Reply>,
}

impl Pending {
    /// Whether there is nothing more to try, and what is said then.
    fn verdict(&self, dark: bool) -> Option<Reply> {
        let tried = self.began.elapsed();
        let over = Instant::now() + PAUSE >= self.until;
        match self.may_have_run {
            true => (over || (dark && tried >= UNKNOWN_AFTER)).then_some(Reply::MayHaveRun),
            false if over || tried >= REFUSE_AFTER => Some(Reply::NotRun { retry_s: RETRY_S }),
            false => None,
        }
    }

    fn answer(self, reply: Reply) {
        // The caller may have left.
        let _ = self.reply.send(reply);
    }
}

/// What is stored of a job.
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

/// Stores a record here, or through the holder; the reply says whether it may have been.
pub(super) async fn store(cx: &Arc<Cx>, record: KeyedRecord, until: Instant) -> Reply {
    // Nobody can store it now, and the caller can come again.
    if is_dark(cx) && !cx.host_has_store.load(Ordering::Relaxed) {
        return Reply::NotRun { retry_s: RETRY_S };
    }
    let stored = match is_dark(cx) || cx.store_is_slow() {
        true => Reply::NotRun { retry_s: RETRY_S },
        false => store_here(cx, record.clone(), until).await,
    };
    match stored {
        // The store may refuse this member alone, or be slow: one append of the
        // holder then carries what many members would bring to a halt.
        Reply::NotRun { .. } => match relay(cx, record.clone(), until).await {
            Some(stored) => stored,
            None if cx.store_is_slow() && !is_dark(cx) => store_here(cx, record, until).await,
            None => stored,
        },
        _ => stored,
    }
}

/// Stores a record through this member's own connection.
pub(crate) async fn store_here(cx: &Arc<Cx>, record: KeyedRecord, until: Instant) -> Reply {
    let (reply, rx) = oneshot::channel();
    let pending = Pending {
        record,
        began: Instant::now(),
        until,
        may_have_run: false,
        reply,
    };
    let none = Reply::NotRun { retry_s: RETRY_S };
    if cx.submit.send(pending).is_err() {
        return none;
    }
    rx.await.unwrap_or(Reply::MayHaveRun)
}

fn is_dark(cx: &Cx) -> bool {
    cx.store_lost_for() > DARK
}

/// Has the holder store a record; `None` when there is none to ask.
async fn relay(cx: &Arc<Cx>, record: KeyedRecord, until: Instant) -> Option<Reply> {
    let within = until
        .saturating_duration_since(Instant::now())
        .min(RELAY_MAX);
    let (seq, rx) = cx.fates.ask();
    let frame = Frame::Store {
        seq,
        within_ms: within.saturating_sub(RELAY_WAY).as_millis() as u64,
        key: record.key,
        value: ByteBuf::from(record.value),
    };
    let sent = lock(&cx.host)
        .as_ref()
        .is_some_and(|tx| tx.try_send(frame).is_ok());
    let fate = match sent {
        true => tokio::time::timeout(within, rx).await,
        false => {
            cx.fates.forget(seq);
            return None;
        }
    };
    cx.fates.forget(seq);
    Some(match fate {
        Ok(Ok(Fate::Stored)) => Reply::Stored,
        Ok(Ok(Fate::NotStored)) => Reply::NotRun { retry_s: RETRY_S },
        Ok(Ok(Fate::Unknown)) | Ok(Err(_)) | Err(_) => Reply::MayHaveRun,
    })
}

/// Appends what is handed in, batch by batch, for as long as the process lives.
pub(crate) async fn run(cx: Arc<Cx>, mut rx: mpsc::UnboundedReceiver<Pending>) {
    let mut waiting: Vec<Pending> = Vec::new();
    let mut level = 0;
    let mut failed = false;
    loop {
        if waiting.is_empty() {
            match rx.recv().await {
                Some(pending) => waiting.push(pending),
                None => return,
            }
        }
        fill(&mut waiting, &mut rx);
        // What has not been sent can still be refused truly, so after a failure
        // nothing is sent before the store has answered a question.
        if failed && !probe(&cx).await {
            waiting = sort_out(waiting, false, is_dark(&cx));
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        let records: Vec<KeyedRecord> = waiting.iter().map(|p| p.record.clone()).collect();
        let began = Instant::now();
        let appended = cx
            .store
            .append(JOURNAL, &records, None, None, APPEND_TIMEOUTS[level])
            .await;
        cx.store_answered(appended.is_ok());
        let slow = began.elapsed() > QUICK;
        if slow && cx.own_token().is_none() {
            cx.store_was_slow(SLOW_FOR);
        }
        level = match &appended {
            Ok(_) if !slow => 0,
            Err(Error::Unknown) => (level + 1).min(APPEND_TIMEOUTS.len() - 1),
            _ => level,
        };
        failed = appended.is_err();
        let tried = std::mem::take(&mut waiting);
        match appended {
            Ok(offset) => stored(&cx, offset, tried),
            Err(e) => {
                waiting = sort_out(tried, e == Error::Unknown, is_dark(&cx));
                if slow && lock(&cx.host).is_some() {
                    std::mem::take(&mut waiting)
                        .into_iter()
                        .for_each(|p| hand_on(&cx, p));
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Tells the holder and the callers of records that were stored from an offset on.
fn stored(cx: &Cx, offset: u64, tried: Vec<Pending>) {
    for (offset, pending) in (offset..).zip(tried) {
        tell_holder(cx, offset, pending.record.clone());
        pending.answer(Reply::Stored);
    }
}

/// Tells the holder of a stored record. When it cannot be told, the journal does.
fn tell_holder(cx: &Cx, offset: u64, record: KeyedRecord) {
    if let Some(token) = cx.own_token() {
        cx.control
            .event(token, Event::RecordsStored(vec![(offset, record)]));
        return;
    }
    let frame = Frame::HandedIn {
        offset,
        key: record.key,
        value: ByteBuf::from(record.value),
    };
    if let Some(tx) = lock(&cx.host).as_ref() {
        let _ = tx.try_send(frame);
    }
}

/// Has the holder store a record that this member tried in vain.
fn hand_on(cx: &Arc<Cx>, pending: Pending) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        let reply = match relay(&cx, pending.record.clone(), pending.until).await {
            Some(Reply::Stored) => Reply::Stored,
            _ if pending.may_have_run => Reply::MayHaveRun,
            Some(reply) => reply,
            None => Reply::NotRun { retry_s: RETRY_S },
        };
        pending.answer(reply);
    });
}

/// Whether the store answers.
async fn probe(cx: &Cx) -> bool {
    let probed = tokio::time::timeout(PROBE_MAX, cx.store.newest(CLAIMS)).await;
    let answers = matches!(probed, Ok(Ok(_)));
    cx.store_answered(answers);
    answers
}

/// Adds what has come to a batch.
fn fill(waiting: &mut Vec<Pending>, rx: &mut mpsc::UnboundedReceiver<Pending>) {
    let mut bytes: usize = waiting.iter().map(|p| p.record.value.len()).sum();
    while waiting.len() < BATCH_MAX
        && bytes < BATCH_BYTES
        && let Ok(pending) = rx.try_recv()
    {
        bytes += pending.record.value.len();
        waiting.push(pending);
    }
}

/// Answers what is given up after a failed append; returns what is tried again.
fn sort_out(tried: Vec<Pending>, unknown: bool, dark: bool) -> Vec<Pending> {
    let mut again = Vec::new();
    for mut pending in tried {
        pending.may_have_run |= unknown;
        match pending.verdict(dark) {
            Some(reply) => pending.answer(reply),
            None => again.push(pending),
        }
    }
    again
}
