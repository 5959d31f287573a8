//! The operators' configuration in this process.

use std::sync::Arc;
use std::time::Duration;

use monsoonnotch_adapter::registry;
use monsoonnotch_adapter::store::CONFIG_TOPIC;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal::KeyedRecord;
use serde_bytes::ByteBuf;

use crate::cx::Cx;
use crate::cx::lock;
use crate::links::Frame;
use crate::subscription;

/// How long a read waits for a change. A connection that went silent costs this
/// and the exchange's timeout, which is less than a change may take.
const WAIT: Duration = Duration::from_millis(1_000);

/// Follows the configuration for ever.
pub(crate) async fn follow(cx: Arc<Cx>) {
    let take = |_, stored: &KeyedRecord| taken(&cx, stored);
    subscription::run(&cx, CONFIG_TOPIC, WAIT, take, |_| {}).await;
}

fn taken(cx: &Arc<Cx>, stored: &KeyedRecord) {
    if stored.key == registry::CONFIG_KEY {
        take(cx, &stored.value, "the store");
    }
}

/// Puts a configuration in force, if it is newer than what is.
pub(crate) fn take(cx: &Arc<Cx>, value: &[u8], from: &str) {
    let Some(config) = registry::parse_config(value) else {
        log::error!(event = "configuration unreadable", from = from, bytes = value.len(); "a configuration cannot be read and is skipped");
        return;
    };
    let now = cx.site.borrow().as_ref().map(|s| s.version);
    if now.is_some_and(|v| v >= config.version) {
        return;
    }
    log::info!(event = "configuration in force", version = config.version, from = from, queues = config.queues.len(), accounts = config.accounts.len(); "a configuration is in force");
    let config = Arc::new(config);
    *lock(&cx.config_bytes) = value.to_vec();
    cx.site.send_replace(Some(Arc::clone(&config)));
    if let Some(token) = cx.own_token() {
        cx.control.event(token, Event::Config(config));
    }
}

/// Sends the configuration to a guest that has an older one.
pub(crate) fn help(cx: &Cx, link: u64, version: u64) {
    let own = cx.site.borrow().as_ref().map_or(0, |s| s.version);
    if version >= own {
        return;
    }
    let value = ByteBuf::from(lock(&cx.config_bytes).clone());
    let lane = monsoonnotch_jobs::effect::ApprovalSlotKey(link);
    // The next heartbeat shows whether it has arrived.
    let _ = cx.to_guest(lane, Frame::Config { value });
}
