//! Quarantine of workers that fail most of their requests.
//!
//! A worker that fails every request immediately is always idle, so placement by
//! load would send it all requests. Its failure rate is compared with the mean
//! of the other workers, where each worker has the same weight whatever its
//! load. When all workers fail alike, the cause is not the worker and none is
//! quarantined. A quarantined worker is probed with single requests after a
//! pause.

use super::Fleet;
use crate::ident::VmKey;
use crate::time::Duration;
use crate::time::Time;

/// Divisor of the weight of the newest request in a worker's failure rate.
const RATE_DIVISOR: f64 = 8.0;
/// Number of ended requests before a worker may be quarantined.
const REQUESTS_MIN: u32 = 5;
/// Minimum failure rate of a worker that is quarantined.
const FAILURE_RATE_MIN: f64 = 0.5;
/// Minimum ratio of its failure rate to the mean of the other workers.
const FAILURE_RATIO_MIN: f64 = 3.0;
/// Pause before the first probe; it doubles with each failed probe.
const PAUSE: Duration = Duration::from_secs(5);
/// Maximum pause between probes.
const PAUSE_MAX: Duration = Duration::from_secs(60);
/// Number of successive probes that must succeed before a worker is released.
const PROBES: u32 = 3;
/// At most one in this many held workers may be quarantined or probed at once.
const QUARANTINE_DIVISOR: usize = 4;

/// A decaying failure rate of a worker's requests.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct FailureRate {
    /// Fraction of failed requests, from 0 to 1.
    rate: f64,
    /// Number of ended requests.
    requests: u32,
}

impl FailureRate {
    fn count(&mut self, failed: bool) {
        self.requests = self.requests.saturating_add(1);
        let weight = 1.0 / f64::from(self.requests).min(RATE_DIVISOR);
        let x = f64::from(u8::from(failed));
        self.rate += (x - self.rate) * weight;
    }
}

/// The quarantine state of a worker.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum Standing {
    /// The worker accepts work.
    #[default]
    Healthy,
    /// The worker accepts no work before this time.
    Quarantined(Time),
    /// The worker accepts one request at a time, as a probe.
    Probing {
        /// Number of successive probes that succeeded.
        succeeded: u32,
        /// Whether a probe is in progress.
        in_progress: bool,
    },
}

/// The failure rate and the quarantine state of a worker.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Health {
    failures: FailureRate,
    standing: Standing,
    /// Length of the last quarantine; zero before the first.
    pause: Duration,
}

/// A change of a worker's quarantine state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The state did not change, or a failed probe extended the quarantine.
    Unchanged,
    /// The worker was quarantined.
    Quarantined,
    /// The worker was released from quarantine.
    Released,
}

impl Health {
    /// Returns whether the worker accepts new work.
    pub fn accepts_work(&self) -> bool {
        match self.standing {
            Standing::Healthy => true,
            Standing::Quarantined(_) => false,
            Standing::Probing { in_progress, .. } => !in_progress,
        }
    }

    /// Returns whether the worker is quarantined or being probed.
    pub fn is_restricted(&self) -> bool {
        self.standing != Standing::Healthy
    }

    /// Returns the time of the first probe; `None` unless the worker is quarantined.
    pub fn quarantined_until(&self) -> Option<Time> {
        match self.standing {
            Standing::Quarantined(t) => Some(t),
            _ => None,
        }
    }

    /// Records that a request starts or ends on the worker, which is a probe if it is being probed.
    pub(super) fn probe(&mut self, starts: bool) {
        if let Standing::Probing { in_progress, .. } = &mut self.standing {
            *in_progress = starts;
        }
    }

    fn quarantine(&mut self, now: Time) {
        self.pause = self.pause.times(2).max(PAUSE).min(PAUSE_MAX);
        self.standing = Standing::Quarantined(now + self.pause);
    }

    fn probed(&mut self, now: Time, failed: bool, succeeded: u32) -> HealthChange {
        if failed {
            self.quarantine(now);
            return HealthChange::Unchanged;
        }
        let succeeded = succeeded + 1;
        self.standing = Standing::Probing {
            succeeded,
            in_progress: false,
        };
        if succeeded < PROBES {
            return HealthChange::Unchanged;
        }
        *self = Self::default();
        HealthChange::Released
    }

    fn is_suspect(&self) -> bool {
        self.failures.requests >= REQUESTS_MIN && self.failures.rate >= FAILURE_RATE_MIN
    }
}

impl Fleet {
    /// Records the outcome of a request on a worker and returns how its state changed.
    pub fn record_outcome(&mut self, now: Time, key: VmKey, failed: bool) -> HealthChange {
        let Some(vm) = self.get(key) else {
            return HealthChange::Unchanged;
        };
        let mut health = vm.health;
        health.failures.count(failed);
        let change = match health.standing {
            Standing::Quarantined(_) => HealthChange::Unchanged,
            Standing::Probing { succeeded, .. } => health.probed(now, failed, succeeded),
            Standing::Healthy if failed && health.is_suspect() && self.is_outlier(key, &health) => {
                health.quarantine(now);
                HealthChange::Quarantined
            }
            Standing::Healthy => HealthChange::Unchanged,
        };
        self.update(key, |vm| vm.health = health);
        change
    }

    /// Returns whether a worker fails far more than the others and may be quarantined.
    ///
    /// At most one in `QUARANTINE_DIVISOR` held workers may be restricted at once.
    fn is_outlier(&self, key: VmKey, health: &Health) -> bool {
        let others = self.held().filter(|(k, _)| *k != key);
        let (mut rates, mut restricted, mut n) = (0.0, 0, 0_u32);
        for (_, vm) in others {
            rates += vm.health.failures.rate;
            restricted += usize::from(vm.health.is_restricted());
            n += 1;
        }
        let allowed = restricted < self.held.len() / QUARANTINE_DIVISOR;
        allowed && health.failures.rate > rates / f64::from(n.max(1)) * FAILURE_RATIO_MIN
    }

    /// Starts to probe workers whose quarantine has ended.
    pub fn start_probes(&mut self, now: Time) {
        while let Some((at, key)) = self.by_probe.first().copied() {
            if at > now {
                return;
            }
            let (succeeded, in_progress) = (0, false);
            let standing = Standing::Probing {
                succeeded,
                in_progress,
            };
            self.update(key, |vm| vm.health.standing = standing);
        }
    }
}
