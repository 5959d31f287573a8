//! Delegation of orders to executors: followers that carry out the leader's calls to VMs.
//!
//! The leader decides alone, and delegates the orders to the VMs of a failure domain to an
//! executor there, in batches. The connections to VMs and most of the traffic thus leave the
//! leader. An executor decides nothing: it sends each order once, under the leader's token.
//!
//! An order without an outcome in time counts as unanswered, like one that the leader sent
//! itself: it may still be carried out. Polls fail only after the leader has polled the VM
//! itself, so that a VM is not unresponsive because its executor is.

mod call;
mod order;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::effect::Target;
use crate::event::PollError;
use crate::event::StartAnswer;
use crate::event::StopAnswer;
use crate::fitness;
use crate::fitness::Capacity;
use crate::prelude::*;

pub use self::call::Call;
pub use self::call::Subject;
pub use self::call::VmCall;
pub use self::order::Batch;
pub use self::order::Outcome;

/// Pause between batches to the executors, in which orders gather.
const BATCH_PAUSE: Duration = Duration::from_millis(4);
/// Number of queued orders for one executor that are sent without a pause.
const BATCH_ORDERS_MAX: usize = 64;
/// Interval between scans for overdue orders and silent executors.
const SCAN_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the way to the executor and back, including the pauses between batches.
const LINK_MARGIN: Duration = Duration::from_millis(120);
/// Silence after which an executor gets no orders; it sends heartbeats at 200 ms.
const SILENCE_MAX: Duration = Duration::from_millis(450);
/// Number of consecutive overdue orders after which an executor is suspended.
const OVERDUE_MAX: u32 = 8;
/// How long an executor gets no orders after it was silent or late.
const SUSPENSION: Duration = Duration::from_millis(2_000);
/// How long the leader calls a VM itself after an executor got no answer from it.
const DIRECT_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after the last order for a VM from which the VM no longer counts.
const VM_FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// Limits of the delegation.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Number of VMs from which orders are delegated.
    pub vms_min: usize,
    /// CPU capacity, in cores, from which a follower is an executor even if it is not fit for the
    /// domain's part of the fleet.
    pub cores_min: f64,
    /// Number of executors in each failure domain.
    pub executors_per_domain: usize,
}

/// What the caller has to do.
#[derive(Debug, Default)]
pub struct Actions {
    /// Batches of orders to send, by the link of the executor.
    pub batches: BTreeMap<u64, Batch>,
    /// Calls that the leader makes itself.
    pub direct: Vec<VmCall>,
    /// Events for the scheduler.
    pub events: Vec<Event>,
    /// Executors that were suspended, by link.
    pub suspended: Vec<u64>,
    /// The order for which an outcome of another kind was received.
    pub mismatched: Option<u64>,
}

#[derive(Debug)]
struct Executor {
    domain: CompactString,
    capacity: Capacity,
    /// When a frame was last received from it.
    heard_at: Time,
    /// It gets no orders before this time.
    suspended_until: Time,
    /// Number of overdue orders since its last outcome.
    overdue: u32,
}

/// An order without an outcome.
#[derive(Debug)]
struct PendingOrder {
    link: u64,
    deadline: Time,
    vm: CompactString,
    sent_at: Time,
    subject: Subject,
    /// The call if it is a poll, so that the leader can make it itself.
    poll: Option<VmCall>,
}

/// How a VM is called.
#[derive(Debug, Default)]
struct VmRoute {
    last_order_at: Time,
    /// Until when the leader calls it itself.
    direct_until: Time,
    /// When the leader last polled it itself beside a delegated poll.
    polled_directly_at: Option<Time>,
    /// Number of delegated polls without an outcome.
    polls: u32,
}

/// The orders that the leader has delegated, and its executors.
#[derive(Debug)]
pub struct Delegation {
    limits: Limits,
    token: u64,
    next_seq: u64,
    executors: BTreeMap<u64, Executor>,
    /// Links of the executors that get orders, by failure domain.
    routes: BTreeMap<CompactString, Vec<u64>>,
    vms: BTreeMap<CompactString, VmRoute>,
    queued: BTreeMap<u64, Batch>,
    pending: BTreeMap<u64, PendingOrder>,
    deadlines: BTreeSet<(Time, u64)>,
    next_batch_at: Time,
    next_scan_at: Time,
}

impl Delegation {
    /// Creates a delegation without executors.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            token: 0,
            next_seq: 0,
            executors: BTreeMap::new(),
            routes: BTreeMap::new(),
            vms: BTreeMap::new(),
            queued: BTreeMap::new(),
            pending: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            next_batch_at: Time::default(),
            next_scan_at: Time::default(),
        }
    }

    /// Adds a follower that carries out orders.
    pub fn executor_joined(
        &mut self,
        link: u64,
        domain: CompactString,
        capacity: Capacity,
        now: Time,
    ) {
        let executor = Executor {
            domain,
            capacity,
            heard_at: now,
            suspended_until: now,
            overdue: 0,
        };
        self.executors.insert(link, executor);
        self.update_routes(now);
    }

    /// Removes an executor; its orders without an outcome may still be carried out.
    pub fn executor_left(&mut self, link: u64, now: Time) -> Actions {
        let mut actions = Actions::default();
        self.executors.remove(&link);
        self.update_routes(now);
        self.fail_orders_of(link, now, &mut actions);
        actions
    }

    /// Suspends an executor whose link takes no more orders.
    pub fn link_failed(&mut self, link: u64, now: Time) -> Actions {
        let mut actions = Actions::default();
        self.suspend(link, now, &mut actions);
        self.update_routes(now);
        actions
    }

    /// Returns the token of the term whose orders are delegated.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Records that a frame was received from an executor.
    pub fn heard(&mut self, link: u64, now: Time) {
        if let Some(executor) = self.executors.get_mut(&link) {
            executor.heard_at = now;
        }
    }

    /// Queues a call to a VM for an executor.
    ///
    /// Returns the call if the leader has to make it itself.
    pub fn delegate(&mut self, token: u64, call: VmCall, now: Time) -> Option<VmCall> {
        if token != self.token {
            self.token = token;
            self.queued.clear();
            self.pending.clear();
            self.deadlines.clear();
            self.vms.clear();
        }
        let is_poll = matches!(call.subject, Subject::Poll(_));
        let Some(link) = self.route(&call.to, is_poll, now) else {
            return Some(call);
        };
        self.next_seq += 1;
        let seq = self.next_seq;
        let batch = self.queued.entry(link).or_default();
        batch.token = token;
        batch.add(seq, &call.to, &call.call);
        if batch.len() >= BATCH_ORDERS_MAX {
            self.next_batch_at = now;
        }
        if is_poll && let Some(route) = self.vms.get_mut(&call.to.id) {
            route.polls += 1;
        }
        let deadline = now + call.call.time_max() + LINK_MARGIN;
        let pending = PendingOrder {
            link,
            deadline,
            vm: call.to.id.clone(),
            sent_at: now,
            subject: call.subject,
            poll: is_poll.then_some(call),
        };
        self.pending.insert(seq, pending);
        self.deadlines.insert((deadline, seq));
        None
    }

    /// Returns the executor for a VM; `None` if the leader calls the VM itself.
    fn route(&mut self, to: &Target, is_poll: bool, now: Time) -> Option<u64> {
        let known = self.vms.len();
        let vm = self.vms.entry(to.id.clone()).or_default();
        vm.last_order_at = now;
        if is_poll && vm.polls > 0 {
            // A further poll is sent because the pending one is late.
            vm.direct_until = now + DIRECT_PERIOD;
            vm.polled_directly_at = Some(now);
        }
        if known < self.limits.vms_min || now < vm.direct_until {
            return None;
        }
        let links = self.routes.get(&to.domain)?;
        let hash = to.id.bytes().fold(0_usize, |h, b| {
            h.wrapping_mul(31).wrapping_add(usize::from(b))
        });
        links.get(hash % links.len().max(1)).copied()
    }

    /// Applies the outcomes of orders. Outcomes of unknown orders are late and have no effect; an
    /// order with an outcome of another kind counts as unanswered.
    pub fn completed(&mut self, link: u64, outcomes: Vec<(u64, Outcome)>, now: Time) -> Actions {
        let mut actions = Actions::default();
        self.heard(link, now);
        if let Some(executor) = self.executors.get_mut(&link) {
            executor.overdue = 0;
        }
        for (seq, outcome) in outcomes {
            let is_own = self.pending.get(&seq).is_some_and(|p| p.link == link);
            if !is_own {
                continue;
            }
            let Some(pending) = self.take_pending(seq) else {
                continue;
            };
            match outcome {
                Outcome::PollFailed(PollError::Unresponsive) if pending.poll.is_some() => {
                    self.fail(pending, now, &mut actions);
                    continue;
                }
                Outcome::Started(StartAnswer::Unknown | StartAnswer::NotSent)
                | Outcome::Stopped(StopAnswer::Unknown) => self.call_directly(&pending.vm, now),
                _ => {}
            }
            match pending.subject.event(outcome) {
                Some(event) => actions.events.push(event),
                None => {
                    actions.mismatched = Some(seq);
                    self.fail(pending, now, &mut actions);
                }
            }
        }
        actions
    }

    /// Returns the batches that are due, and handles overdue orders and silent executors.
    pub fn tick(&mut self, now: Time) -> Actions {
        let mut actions = Actions::default();
        if now >= self.next_scan_at {
            self.next_scan_at = now + SCAN_INTERVAL;
            self.suspend_silent(now, &mut actions);
            self.expire_orders(now, &mut actions);
            self.vms
                .retain(|_, vm| vm.polls > 0 || now < vm.last_order_at + VM_FORGOTTEN_AFTER);
            self.update_routes(now);
        }
        if now >= self.next_batch_at && !self.queued.is_empty() {
            self.next_batch_at = now + BATCH_PAUSE;
            actions.batches = std::mem::take(&mut self.queued);
            actions.batches.values_mut().for_each(Batch::sort);
        }
        actions
    }

    /// Returns when [`Self::tick`] must be called next; `None` if nothing is pending.
    pub fn wake_at(&self) -> Option<Time> {
        if !self.queued.is_empty() {
            return Some(self.next_batch_at.min(self.next_scan_at));
        }
        (!self.pending.is_empty()).then_some(self.next_scan_at)
    }

    fn take_pending(&mut self, seq: u64) -> Option<PendingOrder> {
        let pending = self.pending.remove(&seq)?;
        self.deadlines.remove(&(pending.deadline, seq));
        if pending.poll.is_some()
            && let Some(vm) = self.vms.get_mut(&pending.vm)
        {
            vm.polls = vm.polls.saturating_sub(1);
        }
        Some(pending)
    }

    fn call_directly(&mut self, vm: &CompactString, now: Time) {
        self.vms.entry(vm.clone()).or_default().direct_until = now + DIRECT_PERIOD;
    }

    /// Ends an order that has no answer. The leader repeats a poll, unless it has polled the VM
    /// itself since. The VM may have restarted meanwhile, so that the repeated poll renews no lease
    /// and acknowledges nothing: clock and completion numbers of the new incarnation begin anew.
    fn fail(&mut self, pending: PendingOrder, now: Time, actions: &mut Actions) {
        let polled_at = self.vms.get(&pending.vm).and_then(|v| v.polled_directly_at);
        self.call_directly(&pending.vm, now);
        match pending.poll {
            Some(mut poll) if polled_at.is_none_or(|at| at < pending.sent_at) => {
                if let Call::Poll {
                    acknowledged,
                    lease_until_ms,
                    wait,
                    ..
                } = &mut poll.call
                {
                    *acknowledged = 0;
                    *lease_until_ms = None;
                    *wait = Duration::default();
                }
                actions.direct.push(poll);
            }
            _ => actions.events.push(pending.subject.unanswered()),
        }
    }

    fn fail_orders_of(&mut self, link: u64, now: Time, actions: &mut Actions) {
        self.queued.remove(&link);
        let own = self.pending.iter().filter(|(_, p)| p.link == link);
        let own: Vec<u64> = own.map(|(&seq, _)| seq).collect();
        for seq in own {
            if let Some(pending) = self.take_pending(seq) {
                self.fail(pending, now, actions);
            }
        }
    }

    fn expire_orders(&mut self, now: Time, actions: &mut Actions) {
        while let Some(&(deadline, seq)) = self.deadlines.first()
            && now >= deadline
        {
            let Some(pending) = self.take_pending(seq) else {
                self.deadlines.pop_first();
                continue;
            };
            if let Some(executor) = self.executors.get_mut(&pending.link) {
                executor.overdue += 1;
            }
            self.fail(pending, now, actions);
        }
    }

    /// Suspends executors that are silent or late, and ends their orders.
    fn suspend_silent(&mut self, now: Time, actions: &mut Actions) {
        let late = |e: &Executor| now > e.heard_at + SILENCE_MAX || e.overdue >= OVERDUE_MAX;
        let late = self.executors.iter().filter(|(_, e)| late(e));
        let late: Vec<u64> = late.map(|(&link, _)| link).collect();
        for link in late {
            self.suspend(link, now, actions);
        }
    }

    fn suspend(&mut self, link: u64, now: Time, actions: &mut Actions) {
        let Some(executor) = self.executors.get_mut(&link) else {
            return;
        };
        executor.overdue = 0;
        let was_used = self.routes.values().flatten().any(|&l| l == link);
        if now >= executor.suspended_until && was_used {
            actions.suspended.push(link);
        }
        executor.suspended_until = now + SUSPENSION;
        self.fail_orders_of(link, now, actions);
    }

    /// Returns the number of VMs of a failure domain, if all domains have as many.
    fn vms_per_domain(&self) -> usize {
        let domains: BTreeSet<&CompactString> =
            self.executors.values().map(|e| &e.domain).collect();
        self.vms.len() / domains.len().max(1)
    }

    /// Chooses the fittest executors of each failure domain.
    fn update_routes(&mut self, now: Time) {
        self.routes.clear();
        let vms = self.vms_per_domain();
        let fitness = self.executors.iter();
        let fitness = fitness.map(|(&l, e)| (l, fitness::to_execute(&e.capacity, vms)));
        let fitness: BTreeMap<u64, f64> = fitness.collect();
        let usable = self.executors.iter().filter(|(link, e)| {
            now >= e.suspended_until
                && now <= e.heard_at + SILENCE_MAX
                && (e.capacity.cores >= self.limits.cores_min || fitness[link] >= fitness::FIT)
        });
        for (&link, executor) in usable {
            let links = self.routes.entry(executor.domain.clone()).or_default();
            links.push(link);
        }
        for links in self.routes.values_mut() {
            links.sort_by(|a, b| fitness[b].total_cmp(&fitness[a]).then(a.cmp(b)));
            links.truncate(self.limits.executors_per_domain);
        }
    }
}
