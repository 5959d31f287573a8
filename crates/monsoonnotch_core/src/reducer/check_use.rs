//! Checks that the counted use agrees with the work that is known to run.

use std::collections::BTreeMap;

use super::Control;
use crate::call::State;
use crate::ident::Name;

/// Number of running requests and tasks by team; `None` counts work of an unknown team.
pub(super) type UseByTeam<'a> = BTreeMap<Option<&'a Name>, u32>;

impl Control {
    /// Returns a description of a wrong use count, or `None` if all counts are right.
    pub(super) fn use_count_error(&self) -> Option<&'static str> {
        if !self.used.matches(&self.recount_use()) {
            return Some("the use count of a team differs from its running work");
        }
        let on_workers: usize = self.fleet.held().map(|(_, vm)| vm.tasks.len()).sum();
        if on_workers != self.tasks.len() {
            return Some("the task index and the tasks on the workers differ");
        }
        None
    }

    /// Counts the use anew from tasks, running requests, uncertain requests and granted slots.
    fn recount_use(&self) -> UseByTeam<'_> {
        let held = || self.fleet.held().map(|(_, vm)| vm);
        let tasks = held().flat_map(|vm| vm.tasks.values().map(|t| &t.team));
        let uncertain = held().flat_map(|vm| vm.uncertain.iter().map(|r| &r.team));
        let granted = self.calls.granted.values().map(|g| &g.team);
        let open = self.calls.open.values();
        let local = open.filter(|c| matches!(c.state, State::Local(_)));
        let local = local.map(|c| &c.team);
        let mut found = UseByTeam::new();
        for team in tasks.chain(uncertain).chain(granted).chain(local) {
            *found.entry(team.as_ref()).or_default() += 1;
        }
        found
    }
}
