//! Whether what is counted as used is what is known to run.

use std::collections::BTreeMap;

use super::Control;
use crate::call::State;
use crate::ident::Name;

/// How much of each team runs; `None` stands for what may be of any team.
pub(super) type UseByTeam<'a> = BTreeMap<Option<&'a Name>, u32>;

impl Control {
    /// What is wrong with the counts of use, if anything.
    pub(super) fn wrong_use(&self) -> Option<&'static str> {
        if !self.used.is(&self.use_found()) {
            return Some("the use counted of a team is not what runs of it");
        }
        let on_workers: usize = self.fleet.held().map(|(_, vm)| vm.tasks.len()).sum();
        if on_workers != self.tasks.len() {
            return Some("a task is on a worker and not in the list of tasks, or the reverse");
        }
        None
    }

    /// Use by what holds it: tasks, requests in progress, requests in doubt, granted slots.
    fn use_found(&self) -> UseByTeam<'_> {
        let held = || self.fleet.held().map(|(_, vm)| vm);
        let tasks = held().flat_map(|vm| vm.tasks.values().map(|t| &t.team));
        let doubts = held().flat_map(|vm| vm.uncertain.iter().map(|d| &d.team));
        let granted = self.calls.granted.values().map(|g| &g.team);
        let open = self.calls.open.values();
        let local = open.filter(|c| matches!(c.state, State::Local(_)));
        let local = local.map(|c| &c.team);
        let mut found = UseByTeam::new();
        for team in tasks.chain(doubts).chain(granted).chain(local) {
            *found.entry(team.as_ref()).or_default() += 1;
        }
        found
    }
}
