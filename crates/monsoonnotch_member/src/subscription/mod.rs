//! Follows a topic of the store: the newest record of each key, then what comes.

use std::time::Duration;

use monsoonnotch_adapter::store;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_jobs::journal::KeyedRecord;

use crate::cx::Cx;

/// Pause after a read that failed.
pub(crate) const PAUSE: Duration = Duration::from_millis(150);

/// Follows a topic for ever: `take` gets each record, `read_to` the offset of the
/// next one after each read.
pub(crate) async fn run(
    cx: &Cx,
    topic: &str,
    wait: Duration,
    take: impl Fn(u64, &KeyedRecord),
    read_to: impl Fn(u64),
) {
    loop {
        let newest = cx.store.newest(topic).await;
        cx.store_answered(newest.is_ok());
        let Ok(newest) = newest else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        newest.records.iter().for_each(|(at, s)| take(*at, s));
        read_to(newest.next);
        tail(cx, topic, wait, newest.next, &take, &read_to).await;
    }
}

/// Reads what comes until the records that come next are gone.
async fn tail(
    cx: &Cx,
    topic: &str,
    wait: Duration,
    mut from: u64,
    take: &impl Fn(u64, &KeyedRecord),
    read_to: &impl Fn(u64),
) {
    loop {
        match cx.store.read(topic, from, cx.store_wait(wait)).await {
            Ok(page) => {
                cx.store_answered(true);
                from = page.next;
                for (at, record) in &page.records {
                    if let Some(stored) = store::decode_keyed(record) {
                        take(*at, &stored);
                    }
                }
                read_to(from);
            }
            Err(Error::Trimmed(_)) => return,
            Err(_) => {
                cx.store_answered(false);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
