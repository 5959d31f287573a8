//! Appends under the token, in order, each repeated until its fate is known.

use std::time::Duration;
use std::time::Instant;

use monsoonnotch_adapter::store::Error;
use monsoonnotch_adapter::store::Fence;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use tokio::sync::mpsc;

use super::JOURNAL;
use crate::cx::Cx;

/// The writer's name towards the store; its epoch is the token.
const WRITER: &str = "holder";
/// Pause before an append that was refused goes again.
const PAUSE: Duration = Duration::from_millis(60);
/// Times allowed for an append: starts wait for it, and a repeat counts once, so the
/// first is short; an append takes 5 ms, that of a store 70 times slower 350.
const TIMES: [Duration; 4] = [
    Duration::from_millis(80),
    Duration::from_millis(250),
    Duration::from_millis(700),
    Duration::from_millis(1_400),
];

/// Ends the former holder's writing; returns the offset of the record that did.
pub(super) async fn fence(cx: &Cx, token: u64) -> Option<u64> {
    append(cx, token, 0, &[journal::term_record(token)], &mut 1).await
}

/// Appends what the reducer wants stored, until the term ends.
pub(super) async fn run(cx: &Cx, token: u64, mut rx: mpsc::UnboundedReceiver<Vec<KeyedRecord>>) {
    let mut seq = 1;
    let mut level = 0;
    while let Some(records) = rx.recv().await {
        if append(cx, token, seq, &records, &mut level).await.is_none() {
            return;
        }
        seq += 1;
        cx.control.event(token, Event::Appended { stored: true });
    }
}

/// Appends until it is stored; `None` when another member writes by now.
///
/// `level` is the place in [`TIMES`] that the store needs: it rises with each
/// timeout and falls when an append was quick.
async fn append(
    cx: &Cx,
    token: u64,
    seq: u64,
    records: &[KeyedRecord],
    level: &mut usize,
) -> Option<u64> {
    let fence = Fence {
        writer: WRITER,
        token,
        seq,
    };
    loop {
        let timeout = TIMES[*level];
        let began = Instant::now();
        let appended = cx
            .store
            .append(JOURNAL, records, Some(fence), None, timeout)
            .await;
        match appended {
            Ok(offset) => {
                cx.store_answered(true);
                if began.elapsed() < TIMES[0] {
                    *level = 0;
                }
                return Some(offset);
            }
            // A repeat of an append whose answer was lost long ago.
            Err(Error::Sequence(expected)) if expected == seq + 1 => return Some(0),
            Err(e @ (Error::Fenced | Error::Sequence(_))) => {
                log::warn!(event = "append fenced", token = token, seq = seq, error = format!("{e:?}"); "another member writes the journal");
                return None;
            }
            Err(Error::Unknown) if began.elapsed() >= timeout => {
                cx.store_answered(false);
                *level = (*level + 1).min(TIMES.len() - 1);
            }
            Err(_) => {
                cx.store_answered(false);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
