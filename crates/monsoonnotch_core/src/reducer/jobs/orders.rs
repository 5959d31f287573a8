//! Orders to the holders of workers, batched and sent once a tick.

use std::collections::BTreeMap;

use super::Control;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::TaskSpec;
use crate::wire::PeerMsg;
use crate::wire::TaskOrder;

/// Number of tasks in one message to a member, after which no further order is added.
const TASKS_MAX: usize = 1_024;

/// Orders that are sent at the end of the tick.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Number of the last message.
    seq: u64,
    orders: BTreeMap<MemberId, Vec<TaskOrder>>,
}

impl Outbox {
    /// Merges an order into the last order if both are of one kind, or else appends it.
    fn add(&mut self, at: MemberId, order: TaskOrder) {
        let orders = self.orders.entry(at).or_default();
        let merged = orders.last_mut().is_some_and(|last| merge(last, &order));
        if !merged {
            orders.push(order);
        }
    }

    /// Removes and returns the orders for a member that fit into one message.
    fn take(&mut self, at: MemberId) -> Vec<TaskOrder> {
        let Some(orders) = self.orders.get_mut(&at) else {
            return Vec::new();
        };
        let mut capacity = TASKS_MAX;
        let mut n = 0;
        for order in orders.iter() {
            if capacity == 0 {
                break;
            }
            capacity = capacity.saturating_sub(list_tasks(order).len());
            n += 1;
        }
        let fitting = orders.drain(..n).collect();
        if orders.is_empty() {
            self.orders.remove(&at);
        }
        fitting
    }
}

impl Control {
    pub(super) fn order_start(&mut self, at: MemberId, id: TaskId, spec: TaskSpec) {
        let tasks = vec![id];
        self.jobs.outbox.add(at, TaskOrder::Start { tasks, spec });
    }

    pub(super) fn order_reserve(&mut self, at: MemberId, id: TaskId, spec: TaskSpec) {
        let tasks = vec![id];
        let order = TaskOrder::Reserve { tasks, spec };
        self.jobs.outbox.add(at, order);
    }

    pub(super) fn order_start_reserved(&mut self, at: MemberId, id: TaskId) {
        self.jobs.outbox.add(at, TaskOrder::StartReserved(vec![id]));
    }

    pub(super) fn order_query(&mut self, at: MemberId, id: TaskId) {
        self.jobs.outbox.add(at, TaskOrder::Query(vec![id]));
    }

    pub(super) fn order_stop(&mut self, at: MemberId, id: TaskId) {
        self.jobs.outbox.add(at, TaskOrder::Stop(vec![id]));
    }

    pub(super) fn flush_orders(&mut self) {
        let members: Vec<MemberId> = self.jobs.outbox.orders.keys().copied().collect();
        for at in members {
            self.flush_orders_to(at);
        }
    }

    /// Executes the orders for this member's own workers at once.
    pub(super) fn flush_own_orders(&mut self) {
        self.flush_orders_to(self.cfg.me);
    }

    fn flush_orders_to(&mut self, at: MemberId) {
        let orders = self.jobs.outbox.take(at);
        if orders.is_empty() {
            return;
        }
        self.jobs.outbox.seq += 1;
        let seq = self.jobs.outbox.seq;
        match at == self.cfg.me {
            true => self.task_orders(at, seq, orders),
            false => self.send(at, PeerMsg::TaskOrders { seq, orders }),
        }
    }
}

fn list_tasks(order: &TaskOrder) -> &[TaskId] {
    match order {
        TaskOrder::Start { tasks, .. } | TaskOrder::Reserve { tasks, .. } => tasks,
        TaskOrder::StartReserved(tasks) | TaskOrder::Query(tasks) | TaskOrder::Stop(tasks) => tasks,
    }
}

/// Adds the tasks of `more` to `order`, if both are alike and the total stays within
/// `TASKS_MAX`; returns whether it did.
fn merge(order: &mut TaskOrder, more: &TaskOrder) -> bool {
    use TaskOrder::Query;
    use TaskOrder::Reserve;
    use TaskOrder::Start;
    use TaskOrder::StartReserved;
    use TaskOrder::Stop;
    let (tasks, more) = match (order, more) {
        (Start { tasks, spec }, Start { tasks: m, spec: s }) if spec == s => (tasks, m),
        (Reserve { tasks, spec }, Reserve { tasks: m, spec: s }) if spec == s => (tasks, m),
        (StartReserved(tasks), StartReserved(m))
        | (Query(tasks), Query(m))
        | (Stop(tasks), Stop(m)) => (tasks, m),
        _ => return false,
    };
    let capacity = tasks.len() + more.len() <= TASKS_MAX;
    if capacity {
        tasks.extend_from_slice(more);
    }
    capacity
}
