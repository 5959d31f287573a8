//! What a VM has and what work takes of it.

use serde::Deserialize;
use serde::Serialize;

/// Amounts of every resource that a VM can run out of.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
    /// Slots: one for a request or a task.
    pub slots: u64,
    /// Open connections to the upstream.
    pub connections: u64,
}

impl Resources {
    /// One slot and one connection: the least that a short request takes.
    pub const fn one_request() -> Self {
        Self {
            cpu_milli: 0,
            memory_mib: 0,
            accelerators: 0,
            slots: 1,
            connections: 1,
        }
    }

    /// One slot: the least that a task takes.
    pub const fn one_task() -> Self {
        Self {
            connections: 0,
            ..Self::one_request()
        }
    }

    /// Whether `need` fits into what is free here.
    pub fn fits(&self, need: &Self) -> bool {
        self.zip(need, |a, b| u64::from(a < b)) == Self::default()
    }

    /// Adds `other` to each amount.
    pub fn add(&mut self, other: &Self) {
        *self = self.zip(other, u64::saturating_add);
    }

    /// Takes `other` from each amount; never goes below zero.
    pub fn subtract(&mut self, other: &Self) {
        *self = self.zip(other, u64::saturating_sub);
    }

    /// What is left of `self` after `used`.
    #[must_use]
    pub fn minus(&self, used: &Self) -> Self {
        self.zip(used, u64::saturating_sub)
    }

    /// The larger of both, amount by amount.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Each amount `n` times over.
    #[must_use]
    pub fn times(&self, n: u64) -> Self {
        self.zip(self, |a, _| a.saturating_mul(n))
    }

    /// The least fraction of `total` that is here, in millionths, over what `total` has.
    pub fn free_fraction(&self, total: &Self) -> u64 {
        let part = self.zip(total, |a, t| match t {
            0 => 1_000_000,
            _ => a.saturating_mul(1_000_000) / t,
        });
        let scarce = part.cpu_milli.min(part.memory_mib).min(part.accelerators);
        scarce.min(part.slots).min(part.connections)
    }

    /// The largest fraction of `total` that `self` takes, in millionths.
    pub fn dominant_fraction(&self, total: &Self) -> u64 {
        let part = self.zip(total, |a, t| match t {
            0 => 0,
            _ => a.saturating_mul(1_000_000) / t,
        });
        part.cpu_milli
            .max(part.memory_mib)
            .max(part.accelerators)
            .max(part.slots)
            .max(part.connections)
    }

    fn zip(&self, other: &Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_milli: f(self.cpu_milli, other.cpu_milli),
            memory_mib: f(self.memory_mib, other.memory_mib),
            accelerators: f(self.accelerators, other.accelerators),
            slots: f(self.slots, other.slots),
            connections: f(self.connections, other.connections),
        }
    }
}
