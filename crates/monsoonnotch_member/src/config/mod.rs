//! Receives the operators' configuration, applies it, and passes it on to followers.

use std::sync::Arc;
use std::time::Duration;

use monsoonnotch_adapter::registry;
use monsoonnotch_adapter::store::CONFIG_TOPIC;
use monsoonnotch_adapter::store::Newest;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal::KeyedRecord;
use serde_bytes::ByteBuf;

use crate::cx::Cx;
use crate::cx::lock;
use crate::evacuation;
use crate::links::Frame;
use crate::subscription;
use crate::subscription::Handlers;

/// How long a read waits for a change. An unresponsive connection delays a change by this time
/// plus the timeout of the request, which is less than the time allowed for a change to take
/// effect.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Reads configurations from the store and applies them, for as long as the process lives.
pub(crate) async fn follow(cx: Arc<Cx>) {
    let handlers = Handlers {
        on_newest: |newest: &Newest| evacuation::apply_newest(&cx, newest),
        on_record: |offset, stored: &KeyedRecord| apply_record(&cx, offset, stored),
        on_progress: |_| {},
    };
    subscription::run(&cx, CONFIG_TOPIC, READ_WAIT, handlers).await;
}

fn apply_record(cx: &Arc<Cx>, offset: u64, stored: &KeyedRecord) {
    if stored.key == registry::CONFIG_KEY {
        apply(cx, &stored.value, "the store");
        return;
    }
    let is_malformed = stored.key.starts_with(registry::EVACUATION_PREFIX)
        && !evacuation::apply_record(cx, offset, stored);
    if is_malformed {
        log::warn!(event = "record skipped", offset = offset, key = stored.key.as_str(); "skipping an evacuation request that names no failure domain");
    }
}

/// Puts a configuration in force if its version is higher than the current one.
///
/// `from` names the source in log lines.
pub(crate) fn apply(cx: &Arc<Cx>, value: &[u8], from: &str) {
    let Some(config) = registry::parse_config(value) else {
        log::error!(event = "configuration unreadable", from = from, bytes = value.len(); "skipping a configuration that cannot be decoded");
        return;
    };
    let current_version = cx.config.borrow().as_ref().map(|s| s.version);
    if current_version.is_some_and(|v| v >= config.version) {
        return;
    }
    log::info!(event = "configuration in force", version = config.version, from = from, queues = config.queues.len(), accounts = config.accounts.len(); "applied a new configuration");
    let config = Arc::new(config);
    *lock(&cx.config_bytes) = value.to_vec();
    cx.config.send_replace(Some(Arc::clone(&config)));
    if let Some(token) = cx.own_token() {
        cx.control.event(token, Event::Config(config));
    }
}

/// Sends the configuration to a follower whose `version` of it is older.
pub(crate) fn send_if_newer(cx: &Cx, link: u64, version: u64) {
    let own_version = cx.config.borrow().as_ref().map_or(0, |s| s.version);
    if version >= own_version {
        return;
    }
    let value = ByteBuf::from(lock(&cx.config_bytes).clone());
    let slot = monsoonnotch_jobs::effect::ApprovalSlotKey(link);
    // A lost frame is sent again after the follower's next heartbeat, which has the old version.
    let _ = cx.send_to_follower(slot, Frame::Config { value });
}
