//! Execution of the task orders of homes.

use super::Control;
use crate::fleet::TaskState;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::ident::VmKey;
use crate::job::TaskSpec;
use crate::verdict::Reason;
use crate::wire::TaskOrder;
use crate::wire::TaskUpdate;

impl Control {
    pub(in crate::reducer) fn task_orders(
        &mut self,
        from: MemberId,
        seq: u64,
        orders: Vec<TaskOrder>,
    ) {
        let last = self.tasks.last_orders.entry(from).or_default();
        if seq <= *last {
            return;
        }
        *last = seq;
        for order in orders {
            self.task_order(from, order);
        }
    }

    fn task_order(&mut self, from: MemberId, order: TaskOrder) {
        match order {
            TaskOrder::Start { tasks, spec } => {
                self.for_each_task(from, tasks, |c, id| c.start_ordered(from, id, &spec));
            }
            TaskOrder::Reserve { tasks, spec } => {
                self.for_each_task(from, tasks, |c, id| c.reserve_ordered(from, id, &spec));
            }
            TaskOrder::StartReserved(tasks) => {
                self.for_each_task(from, tasks, |c, id| c.start_reserved_ordered(from, id))
            }
            TaskOrder::Query(tasks) => {
                self.for_each_task(from, tasks, |c, id| c.query_ordered(from, id))
            }
            TaskOrder::Stop(tasks) => {
                self.for_each_task(from, tasks, |c, id| c.stop_ordered(from, id))
            }
        }
    }

    /// Applies `f` to each task whose home sent the order; orders of previous homes are ignored.
    fn for_each_task(
        &mut self,
        from: MemberId,
        tasks: Vec<TaskId>,
        mut f: impl FnMut(&mut Self, TaskId),
    ) {
        for id in tasks {
            if self.home_of_job(id.job) == Some(from) {
                f(self, id);
            }
        }
    }

    fn start_ordered(&mut self, home: MemberId, id: TaskId, spec: &TaskSpec) {
        if self.is_known_task(id) {
            return self.query_ordered(home, id);
        }
        match self.occupy(id, spec) {
            Ok(key) => self.send_start(key, id, spec.clone()),
            Err(reason) => self.send_update(home, id, TaskUpdate::NotPlaced(reason)),
        }
    }

    /// Occupies a slot for a task; the error says why none may be used.
    pub(super) fn occupy(&mut self, id: TaskId, spec: &TaskSpec) -> Result<VmKey, Reason> {
        if self.stopping.begun() {
            return Err(Reason::Stopping);
        }
        if !self.is_certain() {
            return Err(Reason::Uncertain);
        }
        if !self.team_may_start(Some(&spec.team)) {
            return Err(Reason::AtLimit);
        }
        if !self.long_may_start(spec.size.slots) {
            return Err(Reason::QueueFull);
        }
        let key = self.fleet.place_task(&spec.size).ok_or(Reason::QueueFull)?;
        let team = Some(spec.team.clone());
        self.add_task(key, id, team, spec.size, TaskState::Starting);
        Ok(key)
    }

    pub(super) fn query_ordered(&mut self, home: MemberId, id: TaskId) {
        let update = match self.tasks.ended.get(&id) {
            Some((update, _)) => Some(*update),
            None => self.current_update(id),
        };
        if let Some(update) = update {
            self.send_update(home, id, update);
        }
    }

    fn stop_ordered(&mut self, home: MemberId, id: TaskId) {
        if self.tasks.reserved.holds(id) {
            return self.release_reserved(id);
        }
        match self.tasks.at.get(&id).copied() {
            Some(key) => self.stop_task(key, id),
            None if self.tasks.ended.contains_key(&id) => self.query_ordered(home, id),
            None => self.send_update(home, id, TaskUpdate::Lost),
        }
    }

    fn is_known_task(&self, id: TaskId) -> bool {
        self.tasks.at.contains_key(&id) || self.tasks.ended.contains_key(&id)
    }

    /// Returns the update on a task that has not ended.
    ///
    /// `None` while the task is being started or stopped.
    fn current_update(&self, id: TaskId) -> Option<TaskUpdate> {
        if self.tasks.reserved.holds(id) {
            return Some(TaskUpdate::Reserved);
        }
        let Some(key) = self.tasks.at.get(&id) else {
            return Some(TaskUpdate::NotPlaced(Reason::Uncertain));
        };
        let task = self.fleet.get(*key).and_then(|vm| vm.tasks.get(&id));
        match task.map(|t| t.state) {
            Some(TaskState::Running) => Some(TaskUpdate::Running),
            _ => None,
        }
    }
}
