//! Subscribes to a topic of the store: reads the newest record of each key, then each new record.

use std::time::Duration;

use monsoonnotch_adapter::store;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_jobs::journal::KeyedRecord;

use crate::cx::Cx;

/// Pause after a failed read.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Reads a topic for as long as the process lives.
///
/// Calls `on_record` with the offset and content of each record, and `on_progress` after each read
/// with the offset of the next record. A read waits for new records for at most `wait`.
pub(crate) async fn run(
    cx: &Cx,
    topic: &str,
    wait: Duration,
    on_record: impl Fn(u64, &KeyedRecord),
    on_progress: impl Fn(u64),
) {
    loop {
        let newest = cx.store.newest(topic).await;
        cx.record_store_result(newest.is_ok());
        let Ok(newest) = newest else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        newest.records.iter().for_each(|(at, s)| on_record(*at, s));
        on_progress(newest.next);
        tail(cx, topic, wait, newest.next, &on_record, &on_progress).await;
    }
}

/// Reads new records until the next ones have been trimmed from the topic.
async fn tail(
    cx: &Cx,
    topic: &str,
    wait: Duration,
    mut from: u64,
    on_record: &impl Fn(u64, &KeyedRecord),
    on_progress: &impl Fn(u64),
) {
    loop {
        match cx.store.read(topic, from, cx.read_wait(wait)).await {
            Ok(page) => {
                cx.record_store_result(true);
                from = page.next;
                for (at, record) in &page.records {
                    if let Some(stored) = store::decode_keyed(record) {
                        on_record(*at, &stored);
                    }
                }
                on_progress(from);
            }
            Err(Error::Trimmed(_)) => return,
            Err(_) => {
                cx.record_store_result(false);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
