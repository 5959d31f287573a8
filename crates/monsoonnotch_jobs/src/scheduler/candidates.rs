//! Candidates: the VMs that may run tasks of a stage, and the best of them.

use super::*;

/// A VM that may run tasks of a stage.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) vm: VmKey,
    pub(super) free: Resources,
    /// Number of tasks of the stage on this VM.
    pub(super) stage_tasks: u32,
    /// Maximum number of tasks of the stage on this VM.
    pub(super) stage_tasks_max: u32,
    /// Penalty of the VM for the step, apart from its free capacity; lower is better.
    pub(super) penalty: u64,
    pub(super) rack: CompactString,
    pub(super) ticket: CompactString,
}

impl Candidate {
    /// Returns how many further tasks of the stage it takes.
    pub(super) fn takes(&self, need: &Resources) -> u64 {
        let remaining = u64::from(self.stage_tasks_max - self.stage_tasks);
        fit_count(&self.free, need).min(remaining)
    }
}

/// Returns how many times `need` fits into `free`.
pub(super) fn fit_count(free: &Resources, need: &Resources) -> u64 {
    let part = |have: u64, takes: u64| have.checked_div(takes).unwrap_or(u64::MAX);
    part(free.cpu_milli, need.cpu_milli)
        .min(part(free.memory_mib, need.memory_mib))
        .min(part(free.accelerators, need.accelerators))
}

/// Allocates one task on the best candidate, and removes the candidate once it is full.
pub(super) fn allocate_best(
    candidates: &mut Vec<Candidate>,
    need: &Resources,
) -> Option<(VmKey, CompactString)> {
    let at = best_candidate(candidates, need)?;
    let c = &mut candidates[at];
    let best = (c.vm, c.ticket.clone());
    c.free.subtract(need);
    c.stage_tasks += 1;
    if c.stage_tasks >= c.stage_tasks_max || !c.free.fits(need) {
        candidates.swap_remove(at);
    }
    Some(best)
}

/// Returns the index of the candidate with the lowest penalty and, among these, with
/// the least free CPU.
fn best_candidate(candidates: &[Candidate], need: &Resources) -> Option<usize> {
    let fitting = candidates.iter().enumerate();
    let best = fitting.min_by_key(|(_, c)| {
        let left = match need.cpu_milli {
            // Tasks that need no CPU allocation go where most CPU is free.
            0 => u64::MAX - c.free.cpu_milli,
            _ => c.free.cpu_milli,
        };
        (c.penalty, left)
    });
    best.map(|(i, _)| i)
}

/// Returns the rack with the least free capacity that is enough for `count` tasks.
pub(super) fn rack_with_capacity(
    candidates: &[Candidate],
    need: &Resources,
    count: u64,
) -> Option<CompactString> {
    let mut fits: BTreeMap<&CompactString, u64> = BTreeMap::new();
    for c in candidates {
        *fits.entry(&c.rack).or_default() += c.takes(need);
    }
    let enough = fits.into_iter().filter(|&(_, n)| n >= count);
    enough.min_by_key(|&(_, n)| n).map(|(r, _)| r.clone())
}
