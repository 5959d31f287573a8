//! Reservation of slots for the tasks of gangs.
//!
//! A reserved slot counts as used. It is released on an order of the home, or
//! by timeout if the home does not order the start of the task.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::TaskSpec;
use crate::time::Duration;
use crate::time::Time;
use crate::wire::TaskUpdate;

/// Longest time that a slot stays reserved; longer than a home takes to reserve all slots.
const RESERVATION_MAX: Duration = Duration::from_secs(10);

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
            return self.query_ordered(home, id);
        }
        match self.occupy(id, spec) {
            Ok(_) => {
                self.tasks.reserved.specs.insert(id, spec.clone());
                self.tasks
                    .reserved
                    .due
                    .insert((self.now + RESERVATION_MAX, id));
                self.send_update(home, id, TaskUpdate::Reserved);
            }
            Err(reason) => self.send_update(home, id, TaskUpdate::NotPlaced(reason)),
        }
    }

    /// Executes the order to start a task in its reserved slot.
    pub(super) fn start_reserved_ordered(&mut self, home: MemberId, id: TaskId) {
        if !self.is_certain() {
            // The home repeats the order or releases the whole gang.
            return;
        }
        let key = self.tasks.at.get(&id).copied();
        match (key, self.tasks.reserved.remove(id)) {
            (Some(key), Some(spec)) => self.send_start(key, id, spec),
            _ => self.query_ordered(home, id),
        }
    }

    pub(super) fn release_reserved(&mut self, id: TaskId) {
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
                self.release_reserved(id);
            }
        }
    }
}
