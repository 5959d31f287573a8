//! Amounts of resources: the capacity of a VM and the needs of work.

use serde::Deserialize;
use serde::Serialize;

/// An amount of each resource that a VM can run out of.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Number of accelerators; they are not shared between tasks.
    pub accelerators: u64,
    /// Slots; each request and each task occupies at least one.
    pub slots: u64,
    /// Connections to the upstream.
    pub connections: u64,
}

impl Resources {
    /// Returns one slot and one connection, the minimum for a request.
    pub const fn one_request() -> Self {
        Self {
            cpu_milli: 0,
            memory_mib: 0,
            accelerators: 0,
            slots: 1,
            connections: 1,
        }
    }

    /// Returns one slot, the minimum for a task.
    pub const fn one_task() -> Self {
        Self {
            connections: 0,
            ..Self::one_request()
        }
    }

    /// Returns whether every amount of `need` is at most the amount in `self`.
    pub fn fits(&self, need: &Self) -> bool {
        self.zip(need, |a, b| u64::from(a < b)) == Self::default()
    }

    /// Adds `other` to `self`, amount by amount; saturates at the maximum.
    pub fn add(&mut self, other: &Self) {
        *self = self.zip(other, u64::saturating_add);
    }

    /// Subtracts `other` from `self`, amount by amount; saturates at zero.
    pub fn subtract(&mut self, other: &Self) {
        *self = self.zip(other, u64::saturating_sub);
    }

    /// Returns `self` less `used`, amount by amount; saturates at zero.
    #[must_use]
    pub fn minus(&self, used: &Self) -> Self {
        self.zip(used, u64::saturating_sub)
    }

    /// Returns the larger of both values, amount by amount.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns each amount multiplied by `n`, saturating at the maximum.
    #[must_use]
    pub fn times(&self, n: u64) -> Self {
        self.zip(self, |a, _| a.saturating_mul(n))
    }

    /// Returns the smallest ratio of an amount in `self` to that in `total`, in millionths.
    ///
    /// Resources that `total` lacks count as 1,000,000, so they do not lower the result.
    pub fn free_fraction(&self, total: &Self) -> u64 {
        let ratios = self.zip(total, |a, t| match t {
            0 => 1_000_000,
            _ => a.saturating_mul(1_000_000) / t,
        });
        let hardware = ratios
            .cpu_milli
            .min(ratios.memory_mib)
            .min(ratios.accelerators);
        hardware.min(ratios.slots).min(ratios.connections)
    }

    /// Returns the largest ratio of an amount in `self` to that in `total`, in millionths.
    ///
    /// Resources that `total` lacks count as zero.
    pub fn dominant_fraction(&self, total: &Self) -> u64 {
        let ratios = self.zip(total, |a, t| match t {
            0 => 0,
            _ => a.saturating_mul(1_000_000) / t,
        });
        ratios
            .cpu_milli
            .max(ratios.memory_mib)
            .max(ratios.accelerators)
            .max(ratios.slots)
            .max(ratios.connections)
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
