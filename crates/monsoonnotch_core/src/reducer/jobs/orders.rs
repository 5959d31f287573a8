//! Orders to the holders of workers, gathered and sent once a tick.

use std::collections::BTreeMap;

use super::Control;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::TaskSpec;
use crate::wire::PeerMsg;
use crate::wire::TaskOrder;

/// Most tasks named to one member in one tick.
const TASKS_MAX: usize = 1_024;

/// Orders that wait for the end of the tick.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Number of the last message.
    seq: u64,
    orders: BTreeMap<MemberId, Vec<TaskOrder>>,
}

impl Outbox {
    /// Adds a task to the last order of the same kind, or as an order of its own.
    fn add(&mut self, at: MemberId, order: TaskOrder) {
        let orders = self.orders.entry(at).or_default();
        let merged = orders.last_mut().is_some_and(|last| merge(last, &order));
        if !merged {
            orders.push(order);
        }
    }

    /// Orders for a member, as many as one message takes.
    fn take(&mut self, at: MemberId) -> Vec<TaskOrder> {
        let Some(orders) = self.orders.get_mut(&at) else {
            return Vec::new();
        };
        let mut room = TASKS_MAX;
        let mut n = 0;
        for order in orders.iter() {
            if room == 0 {
                break;
            }
            room = room.saturating_sub(tasks_of(order).len());
            n += 1;
        }
        let taken = orders.drain(..n).collect();
        if orders.is_empty() {
            self.orders.remove(&at);
        }
        taken
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

    pub(super) fn order_go(&mut self, at: MemberId, id: TaskId) {
        self.jobs.outbox.add(at, TaskOrder::StartReserved(vec![id]));
    }

    pub(super) fn order_check(&mut self, at: MemberId, id: TaskId) {
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

    /// Hands over what the own workers are to do.
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

fn tasks_of(order: &TaskOrder) -> &[TaskId] {
    match order {
        TaskOrder::Start { tasks, .. } | TaskOrder::Reserve { tasks, .. } => tasks,
        TaskOrder::StartReserved(tasks) | TaskOrder::Query(tasks) | TaskOrder::Stop(tasks) => tasks,
    }
}

/// Adds the tasks of `more` to `order` when both say the same and there is room.
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
    let room = tasks.len() + more.len() <= TASKS_MAX;
    if room {
        tasks.extend_from_slice(more);
    }
    room
}
