//! Which callers may see and cancel a job.
//!
//! A job belongs to the account whose key came with its submission, whatever becomes of the key, and to nobody if
//! none came. Its account may see and cancel it, and on a queue that needs no key everybody may who knows its id.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::site::PublishedConfig;

/// A caller as the configuration in force knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The account that its API key belongs to; empty if there is none.
    pub account: CompactString,
    /// The queue of its call if that is open to callers without a key; empty if not.
    #[serde(default)]
    pub open_queue: CompactString,
}

impl Caller {
    /// Whether the caller may see and cancel a job, by what the job and the call say.
    ///
    /// This does not change with the configuration, so that all leaders agree on it.
    pub fn owns(&self, account: &str, queue: &str) -> bool {
        let is_open = !self.open_queue.is_empty() && self.open_queue == queue;
        account.is_empty() || self.account == account || is_open
    }

    /// Whether the caller may see and cancel a job under a configuration, which may have changed since the job was
    /// accepted: its queue may have become open, may be another one under the same path, and its account may be gone.
    pub fn may_access(&self, account: &str, queue: &str, config: &PublishedConfig) -> bool {
        let is_open = match config.queues.get(queue) {
            Some(queue) => queue.open,
            None => !self.open_queue.is_empty(),
        };
        self.owns(account, queue) || is_open || !config.accounts.contains_key(account)
    }
}
