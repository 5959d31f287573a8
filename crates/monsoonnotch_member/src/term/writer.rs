//! Appends under the token, in order, each repeated until its fate is known.

use std::time::Duration;

use monsoonnotch_adapter::store::APPEND_TIMES;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_adapter::store::Fence;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::Stored;
use tokio::sync::mpsc;

use super::JOURNAL;
use crate::cx::Cx;

/// The writer's name towards the store; its epoch is the token.
const WRITER: &str = "holder";
/// Pause before an append that was refused goes again.
const PAUSE: Duration = Duration::from_millis(60);

/// Ends the former holder's writing; returns the offset of the record that did.
pub(super) async fn fence(cx: &Cx, token: u64) -> Option<u64> {
    append(cx, token, 0, &[journal::held(token)]).await
}

/// Appends what the reducer wants stored, until the term ends.
pub(super) async fn run(cx: &Cx, token: u64, mut rx: mpsc::UnboundedReceiver<Vec<Stored>>) {
    let mut seq = 1;
    while let Some(records) = rx.recv().await {
        if append(cx, token, seq, &records).await.is_none() {
            return;
        }
        seq += 1;
        cx.control.event(token, Event::Appended { stored: true });
    }
}

/// Appends until it is stored; `None` when another member writes by now.
async fn append(cx: &Cx, token: u64, seq: u64, records: &[Stored]) -> Option<u64> {
    let fence = Fence {
        writer: WRITER,
        token,
        seq,
    };
    let mut times = APPEND_TIMES.iter().copied().cycle();
    loop {
        let timeout = times.next().unwrap_or(APPEND_TIMES[0]);
        let appended = cx
            .store
            .append(JOURNAL, records, Some(fence), None, timeout)
            .await;
        match appended {
            Ok(offset) => {
                cx.store_answered(true);
                return Some(offset);
            }
            // A repeat of an append whose answer was lost long ago.
            Err(Error::Sequence(expected)) if expected == seq + 1 => return Some(0),
            Err(e @ (Error::Fenced | Error::Sequence(_))) => {
                log::warn!(event = "append fenced", token = token, seq = seq, error = format!("{e:?}"); "another member writes the journal");
                return None;
            }
            Err(_) => {
                cx.store_answered(false);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
