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
/// Returns the offset of that record, or `None` when another member writes the journal.
pub(super) async fn fence(cx: &Cx, token: u64) -> Option<u64> {
    append(cx, token, 0, &[journal::term_record(token)], &mut 1).await
}

/// Appends the scheduler's records until the term ends, and reports each append to the scheduler.
pub(super) async fn run(cx: &Cx, token: u64, mut rx: mpsc::UnboundedReceiver<Vec<KeyedRecord>>) {
    let mut seq = 1;
    let mut timeout_index = 0;
    while let Some(records) = rx.recv().await {
        if append(cx, token, seq, &records, &mut timeout_index)
            .await
            .is_none()
        {
            return;
        }
        seq += 1;
        cx.control.event(token, Event::Appended { stored: true });
    }
}

/// Repeats an append until the records are stored.
///
/// Returns the offset of the first record, or 0 when only the response to an earlier attempt was
/// lost. Returns `None` when another member writes the journal.
///
/// `timeout_index` selects the timeout in [`APPEND_TIMEOUTS`]. It rises with each timeout and falls
/// to zero after a quick append.
async fn append(
    cx: &Cx,
    token: u64,
    seq: u64,
    records: &[KeyedRecord],
    timeout_index: &mut usize,
) -> Option<u64> {
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
        match appended {
            Ok(offset) => {
                cx.record_store_result(true);
                if began.elapsed() < APPEND_TIMEOUTS[0] {
                    *timeout_index = 0;
                }
                return Some(offset);
            }
            // An earlier attempt was stored, but its response was lost.
            Err(Error::Sequence(expected)) if expected == seq + 1 => return Some(0),
            Err(e @ (Error::Fenced | Error::Sequence(_))) => {
                log::warn!(event = "append fenced", token = token, seq = seq, error = format!("{e:?}"); "another member writes the journal");
                return None;
            }
            Err(Error::Unknown) if began.elapsed() >= timeout => {
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
