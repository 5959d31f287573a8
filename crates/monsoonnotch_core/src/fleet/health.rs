//! Workers that fail what they start are put aside and tried again.
//!
//! A worker that fails everything at once is always idle, so that placement by
//! load would send it all work. Its failures are scored against those of the
//! other workers, each counted alike however much it takes: when all workers
//! fail alike, it is not the worker.

use super::Fleet;
use crate::ident::VmKey;
use crate::time::Duration;
use crate::time::Time;

/// Weight of one more end in a worker's score, as a divisor.
const MEMORY: f64 = 8.0;
/// Ends in a row that fail before a worker is judged.
const ENDS_MIN: u32 = 5;
/// Part of its ends that a worker put aside fails.
const BAD: f64 = 0.5;
/// How many times the other workers' part of failures a worker put aside has.
const BEYOND_OTHERS: f64 = 3.0;
/// Pause before the first probe; it doubles with each that fails.
const PAUSE: Duration = Duration::from_secs(5);
/// Longest pause between probes.
const PAUSE_MAX: Duration = Duration::from_secs(60);
/// Probes that must end well, one after the other, before a worker is back.
const PROBES: u32 = 3;
/// Of held workers, one in this many may be put aside at once.
const ASIDE_PART: usize = 4;

/// A decaying part of ends that failed.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct Score {
    failed: f64,
    ends: u32,
}

impl Score {
    fn count(&mut self, failed: bool) {
        self.ends = self.ends.saturating_add(1);
        let weight = 1.0 / f64::from(self.ends).min(MEMORY);
        let x = f64::from(u8::from(failed));
        self.failed += (x - self.failed) * weight;
    }
}

/// Where a worker stands.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum Standing {
    /// It takes work.
    #[default]
    Good,
    /// It takes none before this time.
    Aside(Time),
    /// It takes one request at a time.
    Probing {
        /// Probes that ended well.
        well: u32,
        /// Whether one is out.
        out: bool,
    },
}

/// What is known of a worker's ends.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Health {
    score: Score,
    standing: Standing,
    pause: Duration,
}

/// What a worker's end changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing.
    Unchanged,
    /// It was put aside.
    Quarantined,
    /// It takes work again.
    Released,
}

impl Health {
    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        match self.standing {
            Standing::Good => true,
            Standing::Aside(_) => false,
            Standing::Probing { out, .. } => !out,
        }
    }

    /// Whether it is put aside or being tried.
    pub fn is_restricted(&self) -> bool {
        self.standing != Standing::Good
    }

    /// When it is tried again.
    pub fn quarantined_until(&self) -> Option<Time> {
        match self.standing {
            Standing::Aside(t) => Some(t),
            _ => None,
        }
    }

    /// Something starts or ends there.
    pub(super) fn probe(&mut self, starts: bool) {
        if let Standing::Probing { out, .. } = &mut self.standing {
            *out = starts;
        }
    }

    fn put_aside(&mut self, now: Time) {
        self.pause = self.pause.times(2).max(PAUSE).min(PAUSE_MAX);
        self.standing = Standing::Aside(now + self.pause);
    }

    fn probed(&mut self, now: Time, failed: bool, well: u32) -> HealthChange {
        if failed {
            self.put_aside(now);
            return HealthChange::Unchanged;
        }
        let well = well + 1;
        self.standing = Standing::Probing { well, out: false };
        if well < PROBES {
            return HealthChange::Unchanged;
        }
        *self = Self::default();
        HealthChange::Released
    }

    fn is_suspect(&self) -> bool {
        self.score.ends >= ENDS_MIN && self.score.failed >= BAD
    }
}

impl Fleet {
    /// Counts how a request ended on a worker.
    pub fn record_outcome(&mut self, now: Time, key: VmKey, failed: bool) -> HealthChange {
        let Some(vm) = self.get(key) else {
            return HealthChange::Unchanged;
        };
        let mut health = vm.health;
        health.score.count(failed);
        let judged = match health.standing {
            Standing::Aside(_) => HealthChange::Unchanged,
            Standing::Probing { well, .. } => health.probed(now, failed, well),
            Standing::Good if failed && health.is_suspect() && self.is_outlier(key, &health) => {
                health.put_aside(now);
                HealthChange::Quarantined
            }
            Standing::Good => HealthChange::Unchanged,
        };
        self.update(key, |vm| vm.health = health);
        judged
    }

    /// Whether a worker fails far more than the others, and few are put aside.
    fn is_outlier(&self, key: VmKey, health: &Health) -> bool {
        let others = self.held().filter(|(k, _)| *k != key);
        let (mut failed, mut doubtful, mut n) = (0.0, 0, 0_u32);
        for (_, vm) in others {
            failed += vm.health.score.failed;
            doubtful += usize::from(vm.health.is_restricted());
            n += 1;
        }
        let room = doubtful < self.held.len() / ASIDE_PART;
        room && health.score.failed > failed / f64::from(n.max(1)) * BEYOND_OTHERS
    }

    /// Tries workers again whose pause is over.
    pub fn start_probes(&mut self, now: Time) {
        while let Some((at, key)) = self.by_probe.first().copied() {
            if at > now {
                return;
            }
            let (well, out) = (0, false);
            let standing = Standing::Probing { well, out };
            self.update(key, |vm| vm.health.standing = standing);
        }
    }
}
