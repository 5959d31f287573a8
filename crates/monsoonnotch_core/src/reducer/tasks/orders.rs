//! What homes order.

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
        let last = self.tasks.orders_seen.entry(from).or_default();
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
                self.each(from, tasks, |c, id| c.start_ordered(from, id, &spec));
            }
            TaskOrder::Reserve { tasks, spec } => {
                self.each(from, tasks, |c, id| c.reserve_ordered(from, id, &spec));
            }
            TaskOrder::StartReserved(tasks) => {
                self.each(from, tasks, |c, id| c.go_ordered(from, id))
            }
            TaskOrder::Query(tasks) => self.each(from, tasks, |c, id| c.check_ordered(from, id)),
            TaskOrder::Stop(tasks) => self.each(from, tasks, |c, id| c.stop_ordered(from, id)),
        }
    }

    /// Does something with each task whose home gave the order; a former home's is void.
    fn each(&mut self, from: MemberId, tasks: Vec<TaskId>, mut f: impl FnMut(&mut Self, TaskId)) {
        for id in tasks {
            if self.home_of_job(id.job) == Some(from) {
                f(self, id);
            }
        }
    }

    fn start_ordered(&mut self, home: MemberId, id: TaskId, spec: &TaskSpec) {
        if self.is_here(id) {
            return self.check_ordered(home, id);
        }
        match self.occupy(id, spec) {
            Ok(key) => self.send_start(key, id, spec.clone()),
            Err(reason) => self.tell_home(home, id, TaskUpdate::NotPlaced(reason)),
        }
    }

    /// Takes a slot for a task.
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

    pub(super) fn check_ordered(&mut self, home: MemberId, id: TaskId) {
        let news = match self.tasks.ended.get(&id) {
            Some((news, _)) => Some(*news),
            None => self.present_news(id),
        };
        if let Some(news) = news {
            self.tell_home(home, id, news);
        }
    }

    fn stop_ordered(&mut self, home: MemberId, id: TaskId) {
        if self.tasks.reserved.holds(id) {
            return self.free_reserved(id);
        }
        match self.tasks.at.get(&id).copied() {
            Some(key) => self.stop_task(key, id),
            None if self.tasks.ended.contains_key(&id) => self.check_ordered(home, id),
            None => self.tell_home(home, id, TaskUpdate::Lost),
        }
    }

    fn is_here(&self, id: TaskId) -> bool {
        self.tasks.at.contains_key(&id) || self.tasks.ended.contains_key(&id)
    }

    /// What to say of a task that has not ended; nothing while its start is out.
    fn present_news(&self, id: TaskId) -> Option<TaskUpdate> {
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
