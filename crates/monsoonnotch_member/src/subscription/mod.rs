//! Subscribes to a topic of the store: reads the newest record of each key, then each new record.

use std::time::Duration;

use monsoonnotch_adapter::store;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_adapter::store::Newest;
use monsoonnotch_adapter::store::READ_RECORDS_MAX;
use monsoonnotch_jobs::journal::KeyedRecord;

use crate::cx::Cx;

/// Pause after a failed read.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What a subscription calls.
pub(crate) struct Handlers<N, R, P> {
    /// Called with the newest record of each key, before `on_record` is called with each of them.
    /// Keys that were deleted are missing.
    pub(crate) on_newest: N,
    /// Called with the offset and content of each record.
    pub(crate) on_record: R,
    /// Called after each read with the offset of the next record.
    pub(crate) on_progress: P,
}

/// Reads a topic for as long as the process lives. A read waits for new records for at most `wait`.
pub(crate) async fn run<N, R, P>(cx: &Cx, topic: &str, wait: Duration, handlers: Handlers<N, R, P>)
where
    N: Fn(&Newest),
    R: Fn(u64, &KeyedRecord),
    P: Fn(u64),
{
    loop {
        let newest = cx.store.newest(topic).await;
        cx.record_store_result(newest.is_ok());
        let Ok(newest) = newest else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        (handlers.on_newest)(&newest);
        let on_record = &handlers.on_record;
        newest.records.iter().for_each(|(at, s)| on_record(*at, s));
        (handlers.on_progress)(newest.next);
        tail(
            cx,
            topic,
            wait,
            newest.next,
            on_record,
            &handlers.on_progress,
        )
        .await;
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
        match cx
            .store
            .read(topic, from, READ_RECORDS_MAX, cx.read_wait(wait))
            .await
        {
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
