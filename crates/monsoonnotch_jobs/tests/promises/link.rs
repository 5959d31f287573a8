//! The link of a member, which transmits a fixed number of bytes in a millisecond.

use std::collections::BTreeMap;

use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::plan::TaskId;

/// Bytes of a request with its headers and acknowledgements, without its body.
const REQUEST_BYTES: u64 = 300;
/// Bytes of a response with its headers, without its lists.
const RESPONSE_BYTES: u64 = 200;
/// Bytes of the body of a start order.
const START_BYTES: u64 = 400;
/// Bytes of a run in the answer to a poll.
const RUN_BYTES: u64 = 60;

/// A link with one queue in each direction. Without a rate it transmits at once.
#[derive(Debug, Default)]
pub(crate) struct Link {
    /// Bytes that it transmits in a millisecond; zero if it has no limit.
    pub(crate) bytes_per_ms: u64,
    /// When the last queued byte has been transmitted, in microseconds.
    requests_until_us: u64,
    responses_until_us: u64,
    /// Number of times that each start was sent, by task and attempt.
    pub(crate) sends: BTreeMap<(TaskId, u64), u64>,
    /// When a VM first listed a task as done.
    pub(crate) listed_ms: BTreeMap<TaskId, u64>,
    /// Number of runs that ended because a lease expired.
    pub(crate) lapsed: u64,
}

impl Link {
    /// Queues the request of an effect; returns its delay in milliseconds.
    pub(crate) fn send(&mut self, effect: &Effect, now: u64) -> u64 {
        if self.bytes_per_ms == 0 {
            return 0;
        }
        let bytes = match effect {
            Effect::Start { order, .. } => {
                *self.sends.entry((order.task, order.attempt)).or_default() += 1;
                REQUEST_BYTES + START_BYTES
            }
            Effect::Stop { .. } | Effect::Poll { .. } => REQUEST_BYTES,
            _ => return 0,
        };
        queue(&mut self.requests_until_us, bytes, self.bytes_per_ms, now)
    }

    /// Queues the response that an event carries; returns its delay in milliseconds.
    pub(crate) fn receive(&mut self, event: &Event, now: u64) -> u64 {
        if self.bytes_per_ms == 0 {
            return 0;
        }
        let runs = match event {
            Event::Polled { answer: Ok(a), .. } => a.running.len() + a.finished.len(),
            _ => 0,
        };
        let bytes = RESPONSE_BYTES + RUN_BYTES * runs as u64;
        queue(&mut self.responses_until_us, bytes, self.bytes_per_ms, now)
    }
}

fn queue(until_us: &mut u64, bytes: u64, bytes_per_ms: u64, now: u64) -> u64 {
    *until_us = (*until_us).max(now * 1_000) + bytes * 1_000 / bytes_per_ms;
    *until_us / 1_000 - now
}
