//! The links between members and VMs: orders and polls, with their delays and timeouts.

use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::PollKey;
use monsoonnotch_jobs::effect::StartOrder;
use monsoonnotch_jobs::effect::Target;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::event::StopAnswer;
use monsoonnotch_jobs::fencing::order_token;
use monsoonnotch_jobs::plan::StageId;
use monsoonnotch_jobs::plan::TaskId;
use monsoonnotch_jobs::scheduler::RunKey;
use monsoonnotch_jobs::vm::RunOutcome;
use rand::RngExt;

use crate::simulation::Msg;
use crate::simulation::Simulation;
use crate::vm::Began;
use crate::vm::Vm;
use crate::vm::Work;

/// How long a task of a gang waits for the others to start, in milliseconds.
const GANG_WAIT_MS: u64 = 3_000;
/// Timeout of an order that gets no answer if senders set none, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 400;
/// Time after its wait at which a poll fails, in milliseconds.
const POLL_MARGIN_MS: u64 = 700;
/// Longest time after which an order without an answer is executed, in milliseconds.
const LATE_ORDER_MAX_MS: u64 = 12_000;

/// The connection that a request is sent over. It breaks when the incarnation that it
/// leads to ends.
#[derive(Debug, Clone)]
pub(crate) struct Route {
    pub(crate) vm: String,
    started_ms: u64,
    /// Whether the answer of the VM is lost.
    unanswered: bool,
    /// The number of the request.
    request: u64,
    /// Whether the request is executed a second time.
    repeated: bool,
    /// Clock of the VM below which an answer comes from a later incarnation.
    min_clock_ms: u64,
    /// Token of the order.
    token: u64,
}

/// A status poll.
#[derive(Debug)]
pub(crate) struct PollRequest {
    key: PollKey,
    acknowledged: u64,
    until_ms: Option<u64>,
    wait_ms: u64,
    /// Timeout beyond the wait.
    timeout_ms: u64,
}

/// A member and a VM that do not receive each other's packets, in one direction or both.
#[derive(Debug)]
pub(crate) struct Cut {
    pub(crate) member: usize,
    pub(crate) vm: String,
    /// Whether the VM does not receive the packets of the member.
    pub(crate) requests: bool,
    /// Whether the member does not receive the packets of the VM.
    pub(crate) answers: bool,
    pub(crate) until: u64,
}

impl Simulation {
    pub(crate) fn execute(&mut self, m: usize, effect: Effect) {
        if let Effect::Backlogs(backlogs) = effect {
            self.backlogs = *backlogs;
            return;
        }
        let unanswered = self.rng.random_bool(self.faults.unanswered);
        let after = match unanswered && self.rng.random_bool(0.7) {
            true => self.rng.random_range(2_000..8_000),
            false => 1,
        };
        let after = after + self.link.send(&effect, self.now);
        match effect {
            Effect::Start { run, to, order } => {
                let route = self.route(m, &to, unanswered);
                let request = route.request;
                let timeout = order.timeout.as_millis();
                let started = |answer| Event::Started { run, answer };
                if self.fails_to_send(m, &to.id) {
                    return self.fail_to_send(m, request, timeout, started(StartAnswer::NotSent));
                }
                let after = self.delivery_delay(after);
                self.post(after, Msg::Start(m, run, order, route));
                let event = started(StartAnswer::Unknown);
                self.start_timeout(unanswered, m, request, timeout, event);
            }
            Effect::Stop {
                run,
                to,
                task,
                attempt,
                timeout,
            } => {
                let route = self.route(m, &to, unanswered);
                let request = route.request;
                let answer = StopAnswer::Unknown;
                let event = Event::Stopped { run, answer };
                if self.fails_to_send(m, &to.id) {
                    return self.fail_to_send(m, request, timeout.as_millis(), event);
                }
                let after = self.delivery_delay(after);
                self.post(after, Msg::Stop(m, run, task, attempt, route));
                self.start_timeout(unanswered, m, request, timeout.as_millis(), event);
            }
            Effect::Poll {
                key,
                to,
                acknowledged,
                lease_until_ms,
                wait,
                timeout,
            } => {
                let poll = PollRequest {
                    key,
                    acknowledged,
                    until_ms: lease_until_ms,
                    wait_ms: wait.as_millis(),
                    timeout_ms: timeout.as_millis(),
                };
                self.send_poll(m, &to, poll, after);
            }
            Effect::RequestApproval {
                key, stage, vms, ..
            } => {
                let allowed = vms.iter().filter(|v| may_run(&stage, v));
                let allowed = allowed.map(|v| (v.clone(), "ticket".into())).collect();
                let event = Event::Approved {
                    key,
                    allowed: Some(allowed),
                };
                self.post(20, Msg::Event(m, event));
            }
            Effect::Append(records) => self.append(m, records),
            Effect::StepDown => self.members[m].scheduler = None,
            Effect::Log(entry) => {
                println!(
                    "{} m{m} {:016x} {} {}",
                    self.now, entry.job, entry.event, entry.detail
                );
            }
            Effect::Reply { .. }
            | Effect::Explained { .. }
            | Effect::Backlogs(_)
            | Effect::Gauge { .. } => {}
        }
    }

    /// Returns the start of the incarnation that a member has a connection to. While the
    /// two are cut off, there can be no connection to an incarnation that started since.
    fn connected_incarnation(&mut self, m: usize, id: &str) -> u64 {
        let cut = self.cut_until(m, id, true).or(self.cut_until(m, id, false));
        let started_ms = self.vms[id].registration.started_ms;
        let known = self.connected.entry((m, id.to_owned())).or_default();
        if cut.is_none() {
            *known = started_ms;
        }
        *known
    }

    fn route(&mut self, m: usize, to: &Target, unanswered: bool) -> Route {
        self.last_request += 1;
        Route {
            vm: to.id.to_string(),
            started_ms: self.connected_incarnation(m, &to.id),
            unanswered,
            request: self.last_request,
            repeated: unanswered && self.chance(self.faults.repeated),
            min_clock_ms: to.min_clock_ms,
            token: order_token(self.members[m].token, to.restarts),
        }
    }

    /// Returns the VM that a route leads to, if it is up and still the same incarnation.
    fn route_target(&mut self, route: &Route) -> Option<&mut Vm> {
        let vm = self.vms.get_mut(&route.vm)?;
        (vm.up && vm.registration.started_ms == route.started_ms).then_some(vm)
    }

    /// Returns how long a message is on its way that otherwise takes `ms`.
    fn delivery_delay(&mut self, ms: u64) -> u64 {
        if !self.chance(self.faults.retransmitted) {
            return ms;
        }
        ms + match self.rng.random_range(0..10) {
            0..=5 => self.rng.random_range(200..230),
            6 | 7 => self.rng.random_range(400..700),
            8 => self.rng.random_range(1_000..1_050),
            _ => self.rng.random_range(0..2_000),
        }
    }

    /// Whether a new connection to a VM would have to be made, and fails.
    fn fails_to_send(&mut self, m: usize, id: &str) -> bool {
        if !self.faults.timeouts {
            return false;
        }
        let down = !self.vms[id].up || self.cut_until(m, id, true).is_some();
        let down = down || self.cut_until(m, id, false).is_some();
        self.chance(self.faults.not_sent) || (down && self.rng.random_bool(0.5))
    }

    fn fail_to_send(&mut self, m: usize, request: u64, timeout: u64, event: Event) {
        let after = self.rng.random_range(1..timeout);
        self.open_requests.insert(request);
        self.post(after, Msg::Result(m, request, event));
    }

    fn start_timeout(
        &mut self,
        unanswered: bool,
        m: usize,
        request: u64,
        timeout: u64,
        event: Event,
    ) {
        if self.faults.timeouts {
            self.open_requests.insert(request);
            self.post(timeout, Msg::Result(m, request, event));
        } else if unanswered {
            self.post(ORDER_TIMEOUT_MS, Msg::Event(m, event));
        }
    }

    /// Sends the answer of a VM to a member.
    fn answer(&mut self, m: usize, route: &Route, event: Event) {
        if !self.faults.timeouts {
            return self.post(1, Msg::Event(m, event));
        }
        if self.cut_until(m, &route.vm, false).is_none() {
            let after = self.delivery_delay(1) + self.link.receive(&event, self.now);
            self.post(after, Msg::Result(m, route.request, event));
        }
    }

    /// Cuts a member off from a VM.
    pub(crate) fn cut(&mut self, cut: Cut) {
        println!("{} cut {cut:?}", self.now);
        self.cuts.push(cut);
    }

    /// Returns until when a VM does not receive the requests of a member, or the member the
    /// answers of the VM.
    fn cut_until(&self, m: usize, id: &str, requests: bool) -> Option<u64> {
        let cuts = self.cuts.iter().filter(|c| c.member == m && c.vm == id);
        let cuts = cuts.filter(|c| if requests { c.requests } else { c.answers });
        cuts.map(|c| c.until).filter(|&at| at > self.now).max()
    }

    /// Returns the time after which a request is retransmitted that a cut has held up;
    /// `None` if it is not cut off.
    fn retransmission(&mut self, m: usize, id: &str) -> Option<u64> {
        let left = self.cut_until(m, id, true)? - self.now;
        Some(left + self.rng.random_range(0..1_500))
    }

    fn reaches(&self, m: usize, id: &str) -> bool {
        let newest = m + 1 == self.members.len();
        let until = self.unreachable_until.get(id).copied().unwrap_or(0);
        !newest || self.now >= until
    }

    pub(crate) fn deliver_start(
        &mut self,
        m: usize,
        run: RunKey,
        order: Box<StartOrder>,
        mut route: Route,
    ) {
        if let Some(after) = self.retransmission(m, &route.vm) {
            return self.post(after, Msg::Start(m, run, order, route));
        }
        self.start(m, run, &order, &route);
        if std::mem::take(&mut route.repeated) {
            let after = self.rng.random_range(500..LATE_ORDER_MAX_MS);
            self.post(after, Msg::Start(m, run, order, route));
        }
    }

    fn start(&mut self, m: usize, run: RunKey, order: &StartOrder, route: &Route) {
        let now = self.now;
        let submission = &self.jobs[&order.task.stage.job];
        let step = submission.plan.steps[usize::from(order.task.stage.step)].clone();
        let approved = self.site.queues.get(&submission.queue);
        let approved = approved.is_some_and(|q| q.approval.is_some());
        let fails = self.rng.random_bool(self.faults.failed);
        let took = step.estimate_ms * self.rng.random_range(5..15) / 10;
        let took = self.uneven.run_ms(&route.vm, took);
        let work = Work {
            attempt: order.attempt,
            allocation: step.allocation(),
            ends_ms: match step.long_lived || step.gang {
                true => u64::MAX,
                false => now + took.max(1),
            },
            gang_deadline_ms: step.gang.then_some(now + GANG_WAIT_MS),
            outcome: if fails {
                RunOutcome::Failed
            } else {
                RunOutcome::Done
            },
            stopped_ms: None,
        };
        let refused = self.chance(self.faults.refused);
        let answer_of = |answer| Event::Started { run, answer };
        let reached = self.reaches(m, &route.vm);
        let timeouts = self.faults.timeouts;
        let Some(vm) = self.route_target(route).filter(|_| reached) else {
            return self.connection_broken(m, route, answer_of(StartAnswer::Unknown));
        };
        if refused {
            let answer = match approved {
                true => StartAnswer::Unapproved,
                false => StartAnswer::Unhealthy,
            };
            if !route.unanswered {
                self.answer(m, route, answer_of(answer));
            }
            return;
        }
        let (mut answer, began) = vm.start(order.task, order.expires_ms, route.token, work, now);
        if vm.clock(now) < route.min_clock_ms {
            answer = StartAnswer::OtherIncarnation;
        }
        if timeouts {
            println!(
                "{now} m{m} {} start {:?} attempt={} vm={} began={began:?} answer={answer:?}",
                route.request, order.task, order.attempt, route.vm
            );
        }
        if began != Began::No {
            self.starts += 1;
            self.check(order.task, &route.vm, began);
            self.poison_started(order.task, &route.vm);
            if step.gang {
                self.start_gang_work(order, step.count, now + took.max(1));
            }
        }
        if !route.unanswered {
            self.answer(m, route, answer_of(answer));
        }
    }

    /// Reports that the connection of an order broke: at once, or by its timeout.
    fn connection_broken(&mut self, m: usize, route: &Route, event: Event) {
        if !self.faults.timeouts {
            return self.post(ORDER_TIMEOUT_MS, Msg::Event(m, event));
        }
        if self.rng.random_bool(0.5) {
            self.post(1, Msg::Result(m, route.request, event));
        }
    }

    pub(crate) fn deliver_stop(
        &mut self,
        m: usize,
        run: RunKey,
        task: TaskId,
        attempt: u64,
        mut route: Route,
    ) {
        if let Some(after) = self.retransmission(m, &route.vm) {
            return self.post(after, Msg::Stop(m, run, task, attempt, route));
        }
        let now = self.now;
        let grace_ms = match self.vms[&route.vm].traits().stop_grace_ms {
            0 => 0,
            most => self.rng.random_range(1..=most),
        };
        let reached = self.reaches(m, &route.vm);
        let timeouts = self.faults.timeouts;
        let answer_of = |answer| Event::Stopped { run, answer };
        let Some(vm) = self.route_target(&route).filter(|_| reached) else {
            return self.connection_broken(m, &route, answer_of(StopAnswer::Unknown));
        };
        let mut answer = vm.stop(task, attempt, route.token, grace_ms, now);
        if vm.clock(now) < route.min_clock_ms {
            answer = StopAnswer::OtherIncarnation;
        }
        if timeouts {
            println!(
                "{now} m{m} {} stop {task:?} attempt={attempt} vm={} grace_ms={grace_ms} answer={answer:?}",
                route.request, route.vm
            );
        }
        if grace_ms == 0 {
            self.answer_waiting_polls(&route.vm);
        }
        if !route.unanswered {
            self.answer(m, &route, answer_of(answer));
        }
        if std::mem::take(&mut route.repeated) {
            let after = self.rng.random_range(500..LATE_ORDER_MAX_MS);
            self.post(after, Msg::Stop(m, run, task, attempt, route));
        }
    }

    fn send_poll(&mut self, m: usize, to: &Target, poll: PollRequest, after: u64) {
        let route = self.route(m, to, false);
        if !self.faults.timeouts {
            return self.post(1, Msg::Poll(m, poll, route));
        }
        let unresponsive = Event::Polled {
            key: poll.key,
            answer: Err(PollError::Unresponsive),
        };
        let (request, timeout) = (route.request, poll.wait_ms + poll.timeout_ms);
        if self.fails_to_send(m, &to.id) {
            return self.fail_to_send(m, request, timeout, unresponsive);
        }
        let after = self.delivery_delay(after);
        self.post(after, Msg::Poll(m, poll, route));
        self.start_timeout(false, m, request, timeout, unresponsive);
    }

    pub(crate) fn deliver_poll(&mut self, m: usize, poll: PollRequest, mut route: Route) {
        if let Some(after) = self.retransmission(m, &route.vm) {
            return self.post(after, Msg::Poll(m, poll, route));
        }
        let now = self.now;
        let key = poll.key;
        let unresponsive = Event::Polled {
            key,
            answer: Err(PollError::Unresponsive),
        };
        if self.vms[&route.vm].replaced {
            let answer = Err(PollError::OtherIncarnation);
            return self.answer(m, &route, Event::Polled { key, answer });
        }
        let lost = self.rng.random_bool(self.faults.lost);
        let reached = self.reaches(m, &route.vm);
        let timeouts = self.faults.timeouts;
        let vm = self.vms.get_mut(&route.vm).filter(|v| v.up && reached);
        let same = |v: &&mut Vm| !timeouts || v.registration.started_ms == route.started_ms;
        let Some(vm) = vm.filter(same) else {
            return match timeouts {
                true => self.connection_broken(m, &route, unresponsive),
                false => self.post(POLL_MARGIN_MS, Msg::Event(m, unresponsive)),
            };
        };
        if let Err(e) = vm.renew_lease(route.token, poll.acknowledged, poll.until_ms, now) {
            let answer = Err(e);
            return self.answer(m, &route, Event::Polled { key, answer });
        }
        let wait = match vm.finished.is_empty() {
            true => poll.wait_ms,
            false => 0,
        };
        route.started_ms = vm.registration.started_ms;
        let acknowledged = vm.take_acknowledged();
        // Without timeouts, successors wait less long for the leases of their predecessors
        // than members do.
        if timeouts {
            self.check_acknowledged(acknowledged, &route.vm);
        }
        match (lost, timeouts) {
            (false, _) => self.post(wait, Msg::PollReply(m, key, route)),
            (true, false) => self.post(POLL_MARGIN_MS, Msg::Event(m, unresponsive)),
            (true, true) => {}
        }
    }

    pub(crate) fn deliver_poll_reply(&mut self, m: usize, key: PollKey, route: &Route) {
        let now = self.now;
        let same = |v: &&Vm| v.up && v.registration.started_ms == route.started_ms;
        let vm = self.vms.get(&route.vm).filter(same);
        if self.link.bytes_per_ms > 0
            && let Some(vm) = vm
        {
            let done = vm.finished.iter().filter(|f| f.outcome == RunOutcome::Done);
            for run in done {
                self.link.listed_ms.entry(run.task).or_insert(now);
            }
        }
        let answer = vm
            .map(|v| v.poll_answer(now))
            .ok_or(PollError::Unresponsive);
        self.answer(m, route, Event::Polled { key, answer });
    }

    /// Answers the polls that a VM holds open, because a run has finished there.
    pub(crate) fn answer_waiting_polls(&mut self, id: &str) {
        let now = self.now;
        let waiting: Vec<(u64, u64)> = self
            .queue
            .iter()
            .filter_map(|(k, msg)| match msg {
                Msg::PollReply(_, _, route) if route.vm == id && k.0 > now => Some(*k),
                _ => None,
            })
            .collect();
        for key in waiting {
            if let Some(msg) = self.queue.remove(&key) {
                self.post(0, msg);
            }
        }
    }

    /// Lets half of the polls fail at once that a VM held open when it crashed.
    pub(crate) fn reset_connections(&mut self, id: &str) {
        if self.rng.random_bool(0.5) {
            self.answer_waiting_polls(id);
        }
    }

    /// Sets the end of the work of a gang once all its tasks have started in one attempt.
    fn start_gang_work(&mut self, order: &StartOrder, count: u32, ends_ms: u64) {
        let stage = order.task.stage;
        let running = self.vms.values_mut().filter(|v| v.up);
        let running = running.flat_map(|v| v.running.iter_mut());
        let gang = running.filter(|(t, w)| t.stage == stage && w.attempt == order.attempt);
        let gang = gang.filter(|(_, w)| w.stopped_ms.is_none());
        let mut gang: Vec<&mut Work> = gang.map(|(_, w)| w).collect();
        if gang.len() == count as usize {
            for work in &mut gang {
                work.ends_ms = ends_ms;
                work.gang_deadline_ms = None;
            }
        }
    }
}

/// Whether the approval service lets a VM run a stage: two of three VMs may, and the same
/// ones for each request.
fn may_run(stage: &StageId, vm: &str) -> bool {
    let number = vm[1..].parse::<u64>().expect("a VM's number");
    !(stage.job.0 + number).is_multiple_of(3)
}
