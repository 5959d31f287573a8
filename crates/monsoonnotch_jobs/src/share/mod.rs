//! Weighted shares of client accounts in a pool that is full.
//!
//! An account is above its share if it uses more of the pool's scarcest resource than its
//! weight gives it among the accounts that use the pool or wait for it. What the others do not use
//! is lent out: the share only decides who goes first.

use std::collections::BTreeMap;

use compact_str::CompactString;
use monsoonnotch_core::resource::Resources;

/// Weights and usage of the accounts that use a pool or wait for it.
#[derive(Debug, Default)]
pub struct Shares {
    accounts: BTreeMap<CompactString, Account>,
    weights: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct Account {
    weight: f64,
    /// Part of the scarcest resource that it uses, from zero to one.
    used: f64,
}

/// Returns the largest part of `total` that `part` takes of any resource.
pub fn dominant(part: &Resources, total: &Resources) -> f64 {
    let of = |part: u64, total: u64| match total {
        0 => 0.0,
        _ => part as f64 / total as f64,
    };
    of(part.cpu_milli, total.cpu_milli)
        .max(of(part.memory_mib, total.memory_mib))
        .max(of(part.accelerators, total.accelerators))
}

impl Shares {
    /// Adds an account that uses `used` of a pool of `total`. One without a weight has no bound.
    pub fn add(&mut self, name: &str, weight: f64, used: &Resources, total: &Resources) {
        if weight <= 0.0 {
            return;
        }
        self.weights += weight;
        let used = dominant(used, total);
        let account = Account { weight, used };
        self.accounts.insert(name.into(), account);
    }

    /// Adds what a task that is about to start takes.
    pub fn start(&mut self, name: &str, need: &Resources, total: &Resources) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.used += dominant(need, total);
        }
    }

    /// Whether an account uses more than its share.
    pub fn is_above(&self, name: &str) -> bool {
        let account = self.accounts.get(name);
        account.is_some_and(|a| a.used > a.weight / self.weights)
    }
}
