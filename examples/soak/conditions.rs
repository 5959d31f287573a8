//! Which parts of the site faults affect, as far as checks with a time bound need to know.

use std::collections::BTreeSet;

use monsoonnotch_standins::fault_injection::Fault;
use monsoonnotch_standins::path;

use crate::faults::Action;

/// The faults in effect. Numbers are indexes of members or VMs.
#[derive(Debug, Default)]
pub(crate) struct Conditions {
    /// Members whose process was ended and not started since.
    pub(crate) ended: BTreeSet<usize>,
    /// VMs that left; one of them may return under another id.
    pub(crate) departed: BTreeSet<usize>,
    /// Number of times that VMs crashed or left.
    pub(crate) vm_losses: u64,
    paused: BTreeSet<usize>,
    /// Members that do not reach the store.
    store_cut: BTreeSet<usize>,
    /// Pairs of members that do not reach each other.
    member_paths: BTreeSet<(usize, usize)>,
    store_affected: bool,
    /// Paths with a fault, as member and VM.
    vm_paths: BTreeSet<(usize, usize)>,
    /// VMs that are withdrawn, or execute orders late or refuse them.
    vms: BTreeSet<(usize, &'static str)>,
}

fn set<T: Ord>(items: &mut BTreeSet<T>, item: T, present: bool) {
    match present {
        true => items.insert(item),
        false => items.remove(&item),
    };
}

impl Conditions {
    /// Updates the conditions as an action is carried out.
    pub(crate) fn record(&mut self, action: &Action) {
        match action {
            Action::Signal(m, "STOP") => set(&mut self.paused, *m, true),
            Action::Signal(m, "CONT") => set(&mut self.paused, *m, false),
            Action::Signal(m, _) => set(&mut self.ended, *m, true),
            Action::Start(m) => {
                if self.ended.remove(m) {
                    self.paused.remove(m);
                }
            }
            Action::StorePath(m, fault) => set(&mut self.store_cut, *m, *fault != Fault::None),
            Action::Store(f) => {
                self.store_affected = f.down || f.lost_share > 0.0 || f.delay_ms > 0;
            }
            Action::MemberPaths(m, others, fault) => {
                for &other in others {
                    let pair = (*m.min(&other), *m.max(&other));
                    set(&mut self.member_paths, pair, *fault != path::Fault::None);
                }
            }
            Action::Leave(v) => {
                set(&mut self.departed, *v, true);
                self.vm_losses += 1;
            }
            Action::Return(v) => set(&mut self.departed, *v, false),
            Action::Crash(_) => self.vm_losses += 1,
            Action::Late(v, share) => set(&mut self.vms, (*v, "late"), *share > 0.0),
            Action::Unhealthy(v, share) => set(&mut self.vms, (*v, "unhealthy"), *share > 0.0),
            Action::Withdrawn(v, present) => set(&mut self.vms, (*v, "withdrawn"), *present),
            Action::VmPaths(members, vms, fault) => {
                let pairs = members
                    .iter()
                    .flat_map(|&m| vms.iter().map(move |&v| (m, v)));
                for pair in pairs {
                    set(&mut self.vm_paths, pair, *fault != path::Fault::None);
                }
            }
            Action::Restart(_) | Action::Rename(_) | Action::KillLeader | Action::Leader => {}
        }
    }

    /// Records that all faults have ended, except that departed VMs stay away.
    pub(crate) fn repair(&mut self) {
        *self = Self {
            departed: std::mem::take(&mut self.departed),
            vm_losses: self.vm_losses,
            ..Self::default()
        };
    }

    /// Returns whether VMs may get no orders, execute none, or get them late.
    pub(crate) fn affect_vms(&self) -> bool {
        !self.vm_paths.is_empty() || !self.vms.is_empty()
    }

    /// Returns whether the store responds, at least half of `members` members run and reach it,
    /// and so does the leader, which also reaches all of them.
    pub(crate) fn allow_decisions(&self, members: usize, leader: Option<usize>) -> bool {
        let impaired = |m| {
            [&self.ended, &self.paused, &self.store_cut]
                .iter()
                .any(|s| s.contains(&m))
        };
        let up = (0..members).filter(|&m| !impaired(m)).count();
        let leads = |m| !impaired(m) && !self.member_paths.iter().any(|&(a, b)| a == m || b == m);
        !self.store_affected && 2 * up >= members && leader.is_some_and(leads)
    }
}
