//! Slots kept for tasks that start together with others.
//!
//! A reserved slot counts as used. It comes free when the home says so, or by
//! itself when the home does not say in time that the task is to start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::TaskSpec;
use crate::time::Duration;
use crate::time::Time;
use crate::wire::TaskUpdate;

/// Longest time that a slot is kept; longer than a home gathers slots.
const RESERVE: Duration = Duration::from_secs(10);

/// Reserved slots.
#[derive(Debug, Default)]
pub(super) struct Reserved {
    specs: BTreeMap<TaskId, TaskSpec>,
    due: BTreeSet<(Time, TaskId)>,
}

impl Reserved {
    pub(super) fn holds(&self, id: TaskId) -> bool {
        self.specs.contains_key(&id)
    }

    pub(super) fn remove(&mut self, id: TaskId) -> Option<TaskSpec> {
        self.specs.remove(&id)
    }
}

impl Control {
    pub(super) fn reserve_ordered(&mut self, home: MemberId, id: TaskId, spec: &TaskSpec) {
        let known = self.tasks.at.contains_key(&id) || self.tasks.ended.contains_key(&id);
        if known {
            return self.check_ordered(home, id);
        }
        match self.occupy(id, spec) {
            Ok(_) => {
                self.tasks.reserved.specs.insert(id, spec.clone());
                self.tasks.reserved.due.insert((self.now + RESERVE, id));
                self.tell_home(home, id, TaskUpdate::Reserved);
            }
            Err(reason) => self.tell_home(home, id, TaskUpdate::NotPlaced(reason)),
        }
    }

    /// Starts a task in its reserved slot.
    pub(super) fn go_ordered(&mut self, home: MemberId, id: TaskId) {
        if !self.is_certain() {
            // The home says it again, or gives the whole job up.
            return;
        }
        let key = self.tasks.at.get(&id).copied();
        match (key, self.tasks.reserved.remove(id)) {
            (Some(key), Some(spec)) => self.send_start(key, id, spec),
            _ => self.check_ordered(home, id),
        }
    }

    pub(super) fn free_reserved(&mut self, id: TaskId) {
        if let Some(key) = self.tasks.at.get(&id).copied() {
            self.lose_task(key, id);
        }
    }

    pub(super) fn expire_reserved(&mut self) {
        while let Some((at, id)) = self.tasks.reserved.due.first().copied() {
            if at > self.now {
                return;
            }
            self.tasks.reserved.due.remove(&(at, id));
            if self.tasks.reserved.holds(id) {
                self.free_reserved(id);
            }
        }
    }
}
