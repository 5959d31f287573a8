//! Appends records to the journal under the token, in order, and repeats each append until its
//! outcome is known.

use std::time::Duration;
use std::time::Instant;

use monsoonnotch_adapter::store::Error;
use monsoonnotch_adapter::store::Fence;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use tokio::sync::mpsc;

use super::JOURNAL_TOPIC;
use crate::cx::Cx;

/// Name of the writer in the store's fencing; the writer's epoch is the token.
const WRITER: &str = "holder";
/// Pause before a refused append is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Timeouts for an append. The first is short, because task starts wait for the append and a
/// repeated append is stored only once. An append takes 5 ms, or 350 ms when the store is 70 times
/// slower than usual.
const APPEND_TIMEOUTS: [Duration; 4] = [
    Duration::from_millis(80),
    Duration::from_millis(250),
    Duration::from_millis(700),
    Duration::from_millis(1_400),
];

/// Fences the journal against writes of previous leaders by appending a record under the token.
///
/// Returns false when another member writes the journal.
pub(super) async fn fence(cx: &Cx, token: u64) -> bool {
    let record = journal::term_record(token);
    loop {
        match append(cx, token, 0, std::slice::from_ref(&record), &mut 1).await {
            Outcome::Fenced => return false,
            Outcome::Refused => tokio::time::sleep(RETRY_PAUSE).await,
            Outcome::Stored | Outcome::StoredAt(_) => return true,
        }
    }
}

/// Appends the scheduler's records until the term ends, and reports each append to the scheduler.
pub(super) async fn run(cx: &Cx, token: u64, mut rx: mpsc::UnboundedReceiver<Vec<KeyedRecord>>) {
    let mut seq = 1;
    let mut timeout_index = 0;
    while let Some(records) = rx.recv().await {
        match append(cx, token, seq, &records, &mut timeout_index).await {
            Outcome::StoredAt(offset) => {
                // Without these, records that members report would wait for the journal.
                let stored = (offset..).zip(records).collect();
                cx.control.event(token, Event::RecordsStored(stored));
            }
            Outcome::Stored => {}
            Outcome::Refused => {
                cx.control.event(token, Event::AppendRefused);
                continue;
            }
            Outcome::Fenced => return,
        }
        seq += 1;
        cx.control.event(token, Event::Appended { stored: true });
    }
}

/// The outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The records are stored, the first one at this offset.
    StoredAt(u64),
    /// The records are stored; the response that has their offset was lost.
    Stored,
    /// The store refuses the records, and would refuse them again; none is stored.
    Refused,
    /// Another member writes the journal.
    Fenced,
}

/// Repeats an append until the records are stored or refused for good, or another member writes the journal.
///
/// `timeout_index` selects the timeout in [`APPEND_TIMEOUTS`]. It rises with each timeout and falls
/// to zero after a quick append.
async fn append(
    cx: &Cx,
    token: u64,
    seq: u64,
    records: &[KeyedRecord],
    timeout_index: &mut usize,
) -> Outcome {
    let fence = Fence {
        writer: WRITER,
        token,
        seq,
    };
    loop {
        let timeout = APPEND_TIMEOUTS[*timeout_index];
        let began = Instant::now();
        let appended = cx
            .store
            .append(JOURNAL_TOPIC, records, Some(fence), None, timeout)
            .await;
        cx.record_append_time(began.elapsed());
        match appended {
            Ok(offset) => {
                cx.record_store_result(true);
                if began.elapsed() < APPEND_TIMEOUTS[0] {
                    *timeout_index = 0;
                }
                return Outcome::StoredAt(offset);
            }
            // An earlier attempt was stored, but its response was lost.
            Err(Error::Sequence(expected)) if expected == seq + 1 => return Outcome::Stored,
            Err(e @ (Error::Fenced | Error::Sequence(_))) => {
                log::warn!(event = "append fenced", token = token, seq = seq, error = format!("{e:?}"); "another member writes the journal");
                return Outcome::Fenced;
            }
            Err(e) if e.is_permanent() => {
                let bytes: usize = records.iter().map(|r| r.value.len()).sum();
                log::warn!(event = "append refused", token = token, seq = seq, records = records.len(), bytes = bytes, error = format!("{e:?}"); "the store refuses an append of the journal for good; sending its records in smaller ones");
                cx.record_store_result(true);
                return Outcome::Refused;
            }
            Err(Error::Unknown) if began.elapsed() >= timeout => {
                let bytes: usize = records.iter().map(|r| r.value.len()).sum();
                log::warn!(event = "append unanswered", token = token, seq = seq, records = records.len(), bytes = bytes, ms = timeout.as_millis() as u64; "the store has not answered an append of the journal; sending it again");
                cx.record_store_result(false);
                *timeout_index = (*timeout_index + 1).min(APPEND_TIMEOUTS.len() - 1);
            }
            Err(_) => {
                cx.record_store_result(false);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
