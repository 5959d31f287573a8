//! How long VMs take to answer orders, and what the scheduler concludes from it.
//!
//! A link or a processor that is full delays the answers of all VMs. An order that is sent
//! again before its answer can arrive adds to the load, and so does every further start.
//! Timeouts therefore follow the measured times, like the retransmission timeout of TCP,
//! and the starts without an answer are bounded by a [window](super::start_window).
//!
//! A VM is then not unresponsive by its own fault, and its silence does not show that its
//! lease has expired: finished runs may have been listed in answers that arrived too late.

use super::job::WAIT_LOG_INTERVAL;
use super::start_window::StartWindow;
use super::*;

/// Weight of the newest sample in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of mean deviations that a timeout exceeds the mean by.
const DEVIATIONS: f64 = 4.0;
/// Longest timeout of an order.
const TIMEOUT_MAX: Duration = Duration::from_millis(1_400);
/// An answer that takes longer is late; a VM answers in 2 ms.
const LATE_AFTER: Duration = Duration::from_millis(200);
/// Mean time of answers above which this member counts as saturated, in milliseconds.
const SATURATED_MEAN_MS: f64 = 120.0;
/// How long this member counts as saturated after the mean was last above its limit. Answers
/// that were held up arrive in this time.
const SATURATION_PERIOD: Duration = Duration::from_secs(5);

/// Measured times of answers, and the window of starts.
#[derive(Debug, Default)]
pub(super) struct AnswerTimes {
    mean_ms: f64,
    deviation_ms: f64,
    pub(super) window: StartWindow,
    saturated_until: Time,
    /// When it is logged next that no start is admitted.
    next_log: Time,
}

impl AnswerTimes {
    /// Records the time of an answer, or the time after which an order was given up.
    pub(super) fn record(&mut self, took: Duration, now: Time) {
        let took_ms = took.as_millis() as f64;
        let difference = took_ms - self.mean_ms;
        self.mean_ms += MEAN_WEIGHT * difference;
        self.deviation_ms += DEVIATION_WEIGHT * (difference.abs() - self.deviation_ms);
        if self.are_late() {
            self.saturated_until = now + SATURATION_PERIOD;
        }
        match took > LATE_AFTER {
            true => self.window.shrink(now),
            false => self.window.widen(),
        }
    }

    /// Handles what is due by time alone.
    pub(super) fn scan(&mut self, now: Time) {
        let saturated = self.is_saturated(now);
        self.window.scan(now, saturated);
    }

    /// Returns the timeout of an order that is at least `usual`.
    pub(super) fn timeout(&self, usual: Duration) -> Duration {
        let ms = self.mean_ms + DEVIATIONS * self.deviation_ms;
        usual.max(Duration::from_millis(ms as u64).min(TIMEOUT_MAX))
    }

    /// Whether answers are late at present.
    pub(super) fn are_late(&self) -> bool {
        self.mean_ms > SATURATED_MEAN_MS
    }

    /// Whether answers are late because this member is saturated, or were a short time ago.
    pub(super) fn is_saturated(&self, now: Time) -> bool {
        now < self.saturated_until
    }
}

impl Scheduler {
    /// Logs why no start is admitted: which starts have no answer yet, and how many of them were sent
    /// to VMs that do not answer polls either.
    pub(super) fn log_starts_held_back(&mut self) {
        let now = self.now;
        if now < self.answer_times.next_log {
            return;
        }
        self.answer_times.next_log = now + WAIT_LOG_INTERVAL;
        let times = &self.answer_times;
        let vm_of = |run| self.vms.get(self.runs.get(run)?.vm);
        let is_silent = |vm: &vms::Vm| !vm.answered || vm.polls.unanswered > 0;
        let open = times.window.open();
        let silent = open.filter(|(run, _)| vm_of(run).is_some_and(is_silent));
        let oldest = times.window.open().map(|(_, sent)| *sent).min();
        let detail = format!(
            "window={} unanswered={} silent={} oldest_ms={} mean_ms={} saturated={}",
            times.window.size(),
            times.window.open().count(),
            silent.count(),
            now.since(oldest.unwrap_or(now)).as_millis(),
            times.mean_ms as u64,
            times.is_saturated(now)
        );
        self.log(0, "starts held back", detail);
    }
}
