//! How fast the kinds of VMs run tasks, learned from finished runs.
//!
//! The time of a run is its estimate times a factor of its queue, whose estimates are off, times a
//! factor of the VM's kind. Both are learned together, on a logarithmic scale, from the part of
//! each run time that they do not explain yet. A queue that mostly runs on one kind
//! therefore does not pass for a fast or slow queue.

use std::collections::BTreeMap;

use compact_str::CompactString;

/// Weight of a run in a kind's factor once many runs were seen.
const KIND_WEIGHT: f64 = 0.02;
/// Weight of a run in a queue's factor once many runs were seen.
const QUEUE_WEIGHT: f64 = 0.05;
/// Largest part of a single run time, as a logarithm, that counts: one run may be slow for reasons
/// of its own.
const RESIDUAL_MAX: f64 = 0.7;
/// Runs from which a kind's factor counts.
const RUNS_MIN: u64 = 20;
/// Ratio of the slowest to the fastest kind from which kinds count as different.
const SPREAD_MIN: f64 = 1.1;

/// A learned factor of run times, as a logarithm.
#[derive(Debug, Default, Clone, Copy)]
struct Factor {
    log: f64,
    runs: u64,
}

impl Factor {
    fn update(&mut self, residual: f64, weight: f64) {
        self.runs += 1;
        self.log += residual * weight.max(1.0 / (self.runs + 1) as f64);
    }
}

/// Learned factors of the kinds of VMs and of the queues.
#[derive(Debug, Default)]
pub struct Speeds {
    kinds: BTreeMap<CompactString, Factor>,
    queues: BTreeMap<CompactString, Factor>,
}

impl Speeds {
    /// Records the time of a run divided by its estimate.
    pub fn record(&mut self, queue: &str, kind: &str, ratio: f64) {
        let residual = (ratio.max(0.01) / self.expected(queue, kind)).ln();
        // Half of the unexplained part each, so that they do not chase one another.
        let residual = residual.clamp(-RESIDUAL_MAX, RESIDUAL_MAX) / 2.0;
        let of_queue = self.queues.entry(queue.into()).or_default();
        of_queue.update(residual, QUEUE_WEIGHT);
        let of_kind = self.kinds.entry(kind.into()).or_default();
        of_kind.update(residual, KIND_WEIGHT);
    }

    /// Returns the expected time of a run, as a multiple of its estimate.
    pub fn expected(&self, queue: &str, kind: &str) -> f64 {
        let log = |factors: &BTreeMap<CompactString, Factor>, key: &str| {
            factors.get(key).map_or(0.0, |f| f.log)
        };
        (log(&self.queues, queue) + log(&self.kinds, kind)).exp()
    }

    /// Returns the expected time of a run on the fastest kind, as a multiple of its estimate.
    pub fn expected_on_fastest(&self, queue: &str) -> f64 {
        let known = self.kinds.values().filter(|f| f.runs >= RUNS_MIN);
        let fastest = known.map(|f| f.log).min_by(f64::total_cmp);
        let of_queue = self.queues.get(queue).map_or(0.0, |f| f.log);
        (of_queue + fastest.unwrap_or(0.0)).exp()
    }

    /// Whether enough runs of a kind were seen.
    pub fn knows(&self, kind: &str) -> bool {
        self.kinds.get(kind).is_some_and(|f| f.runs >= RUNS_MIN)
    }

    /// Returns how many times longer a kind takes than the fastest one; one if it is not known.
    pub fn slowdown(&self, kind: &str) -> f64 {
        let known = |f: &&Factor| f.runs >= RUNS_MIN;
        let fastest = self.kinds.values().filter(known).map(|f| f.log);
        let fastest = fastest.min_by(f64::total_cmp);
        let own = self.kinds.get(kind).filter(known).map(|f| f.log);
        match fastest.zip(own) {
            Some((fastest, own)) => (own - fastest).exp(),
            None => 1.0,
        }
    }

    /// Returns how many times longer the slowest kind takes than the fastest; `None` if they do
    /// not differ.
    pub fn spread(&self) -> Option<f64> {
        let slowdowns = self.kinds.keys().map(|kind| self.slowdown(kind));
        let spread = slowdowns.max_by(f64::total_cmp)?;
        (spread >= SPREAD_MIN).then_some(spread)
    }

    /// Returns the factors of the known kinds, for the next leader.
    pub fn kinds(&self) -> Vec<(CompactString, f64)> {
        let known = self.kinds.iter().filter(|(_, f)| f.runs >= RUNS_MIN);
        known.map(|(kind, f)| (kind.clone(), f.log)).collect()
    }

    /// Takes over the factors that a previous leader learned. Runs go on changing them.
    pub fn restore(&mut self, kinds: &[(CompactString, f64)]) {
        for (kind, log) in kinds {
            if log.is_finite() {
                let (log, runs) = (*log, RUNS_MIN);
                self.kinds.insert(kind.clone(), Factor { log, runs });
            }
        }
    }
}
