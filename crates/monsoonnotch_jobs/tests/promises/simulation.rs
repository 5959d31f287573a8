//! A simulated cluster with a virtual clock, and a checker of the invariants.
//!
//! The simulation has VMs, a store, an approval service and members. Several members can
//! act as the leader at the same time, since one with an outdated token continues until
//! it is fenced. Messages may be delayed or lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use monsoonnotch_core::time::Duration;
use monsoonnotch_core::time::Time;
use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::PollKey;
use monsoonnotch_jobs::effect::StartOrder;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::event::StopAnswer;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::journal::Submission;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::TaskId;
use monsoonnotch_jobs::scheduler::RunKey;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::site::PublishedConfig;
use monsoonnotch_jobs::tuning::Tuning;
use monsoonnotch_jobs::vm::Registration;
use monsoonnotch_jobs::vm::RunOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::vm::Vm;
use crate::vm::Work;

/// How long a task of a gang waits for the others to start, in milliseconds.
const GANG_WAIT_MS: u64 = 3_000;
/// Unix time at which the simulation starts, in milliseconds.
pub(crate) const START_UNIX_MS: u64 = 1_700_000_000_000;

/// The faults to inject, each as a probability per message or run.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Faults {
    /// An order gets no answer; the VM executes it at once or seconds later.
    pub(crate) unanswered: f64,
    /// The answer to a status poll is lost.
    pub(crate) lost: f64,
    /// A run fails.
    pub(crate) failed: f64,
}

#[derive(Debug)]
enum Msg {
    Start(usize, RunKey, Box<StartOrder>, Route),
    Stop(usize, RunKey, TaskId, u64, Route),
    Poll(usize, PollKey, String, u64, Option<u64>, u64),
    PollReply(usize, PollKey, String, u64),
    Event(usize, Event),
}

/// The connection that an order is sent over. It breaks when the incarnation that it
/// leads to ends.
#[derive(Debug)]
struct Route {
    vm: String,
    started_ms: u64,
    /// Whether the answer of the VM is lost.
    unanswered: bool,
}

struct Member {
    scheduler: Option<Scheduler>,
    token: u64,
    frozen_until: u64,
}

pub(crate) struct Simulation {
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) faults: Faults,
    pub(crate) site: Arc<PublishedConfig>,
    pub(crate) vms: BTreeMap<String, Vm>,
    members: Vec<Member>,
    queue: BTreeMap<(u64, u64), Msg>,
    seq: u64,
    log: Vec<KeyedRecord>,
    pub(crate) jobs: BTreeMap<JobId, Submission>,
    pub(crate) cancelled: BTreeSet<JobId>,
    /// Tasks that have succeeded on some VM.
    done: BTreeSet<TaskId>,
    /// Whether the store accepts appends.
    pub(crate) store_available: bool,
    /// VMs that the newest member cannot reach, and until when.
    unreachable_until: BTreeMap<String, u64>,
    pub(crate) starts: u64,
    /// The time at which each ended job was found to have ended.
    ends: BTreeMap<JobId, u64>,
    checked_to: usize,
    tuning: Tuning,
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        site: PublishedConfig,
        vms: Vec<Registration>,
        faults: Faults,
    ) -> Self {
        let vms = vms.into_iter().map(|r| (r.id.to_string(), Vm::new(r)));
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            faults,
            site: Arc::new(site),
            vms: vms.collect(),
            members: Vec::new(),
            queue: BTreeMap::new(),
            seq: 0,
            log: Vec::new(),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            done: BTreeSet::new(),
            store_available: true,
            unreachable_until: BTreeMap::new(),
            starts: 0,
            ends: BTreeMap::new(),
            checked_to: 0,
            tuning: Tuning::default(),
        }
    }

    fn unix(&self) -> u64 {
        START_UNIX_MS + self.now
    }

    fn post(&mut self, after: u64, msg: Msg) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), msg);
    }

    /// Makes a new member the leader; earlier leaders continue until they are fenced.
    pub(crate) fn claim(&mut self) {
        let token = self.members.len() as u64 + 1;
        let has_predecessor = !self.members.is_empty();
        let settle = if has_predecessor { 5_000 } else { 0 };
        let now = Time(self.now * 1_000);
        let settle_at = now + Duration::from_millis(settle);
        let site = Arc::clone(&self.site);
        let mut scheduler = Scheduler::new(token, self.tuning.clone(), site, settle_at);
        self.log.push(journal::term_record(token));
        let marker = self.log.len() as u64 - 1;
        let mut newest = BTreeMap::new();
        for stored in &self.log {
            newest.insert(stored.key.clone(), stored.clone());
        }
        let unix = self.unix();
        let registrations = self
            .vms
            .values()
            .filter(|v| v.up)
            .map(|v| v.registration.clone());
        // The store deletes a key whose newest record has no value.
        let kept = newest.into_values().filter(|s| !s.value.is_empty());
        let events = [
            Event::AllVms(registrations.collect()),
            Event::Journal(kept.map(|s| (0, s)).collect()),
            Event::ApprovalSlotUp(ApprovalSlotKey(0)),
            Event::ApprovalSlotUp(ApprovalSlotKey(1)),
            Event::CaughtUp { marker },
        ];
        for event in events {
            scheduler.handle(event, now, unix);
        }
        self.members.push(Member {
            scheduler: Some(scheduler),
            token,
            frozen_until: 0,
        });
    }

    /// Makes a VM unreachable for the newest member for `ms`; earlier members reach it.
    pub(crate) fn make_unreachable(&mut self, id: &str, ms: u64) {
        self.unreachable_until.insert(id.to_owned(), self.now + ms);
    }

    fn reaches(&self, m: usize, id: &str) -> bool {
        let newest = m + 1 == self.members.len();
        let until = self.unreachable_until.get(id).copied().unwrap_or(0);
        !newest || self.now >= until
    }

    /// Kills the newest member.
    pub(crate) fn kill(&mut self) {
        if let Some(m) = self.members.last_mut() {
            m.scheduler = None;
        }
    }

    /// Freezes the newest member for `ms`, as a paused process; its clock continues to run.
    pub(crate) fn freeze(&mut self, ms: u64) {
        let until = self.now + ms;
        if let Some(m) = self.members.last_mut() {
            m.frozen_until = until;
        }
    }

    pub(crate) fn submit(&mut self, id: JobId, submission: Submission) {
        let stored = journal::submission_record(id, &submission);
        self.jobs.insert(id, submission);
        self.store_record(stored);
    }

    pub(crate) fn cancel(&mut self, id: JobId) {
        self.cancelled.insert(id);
        self.store_record(journal::cancellation_record(id));
    }

    fn store_record(&mut self, stored: KeyedRecord) {
        let offset = self.log.len() as u64;
        self.log.push(stored.clone());
        for m in 0..self.members.len() {
            // An earlier leader reads the journal only up to the first record of the next.
            if m + 1 == self.members.len() {
                let event = Event::Journal(vec![(offset, stored.clone())]);
                self.post(3, Msg::Event(m, event));
            }
        }
    }

    pub(crate) fn crash(&mut self, id: &str) {
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        vm.crash();
    }

    pub(crate) fn restart(&mut self, id: &str) {
        let (now, unix) = (self.now, self.unix());
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        vm.restart(now);
        vm.registration.started_ms = unix;
        let registration = vm.registration.clone();
        let event = Event::Vms(vec![(registration.id.clone(), Some(registration))]);
        let last = self.members.len() - 1;
        self.post(300, Msg::Event(last, event));
    }

    /// Advances the simulation by a millisecond.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        let ids: Vec<String> = self.vms.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let vm = self.vms.get_mut(&id).expect("listed above");
            if vm.step(now) {
                let done = vm.finished.iter().filter(|e| e.outcome == RunOutcome::Done);
                self.done.extend(done.map(|e| e.task));
                self.answer_waiting_polls(&id);
            }
        }
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let msg = entry.remove();
            self.deliver(msg);
        }
        for m in 0..self.members.len() {
            self.decide(m);
        }
    }

    /// Answers the polls that a VM holds open, because a run has finished there.
    fn answer_waiting_polls(&mut self, id: &str) {
        let now = self.now;
        let waiting: Vec<(u64, u64)> = self
            .queue
            .iter()
            .filter_map(|(k, msg)| match msg {
                Msg::PollReply(_, _, vm, _) if vm == id && k.0 > now => Some(*k),
                _ => None,
            })
            .collect();
        for key in waiting {
            if let Some(msg) = self.queue.remove(&key) {
                self.post(0, msg);
            }
        }
    }

    fn decide(&mut self, m: usize) {
        let (now, unix) = (Time(self.now * 1_000), self.unix());
        let newest = m + 1 == self.members.len();
        let member = &mut self.members[m];
        if self.now < member.frozen_until {
            return;
        }
        // A member that was frozen first checks in the store whether its leadership claim
        // is still the newest.
        if member.frozen_until > 0 && !newest {
            member.scheduler = None;
        }
        let Some(scheduler) = &mut member.scheduler else {
            return;
        };
        for effect in scheduler.decide(now, unix) {
            self.execute(m, effect);
        }
    }

    fn execute(&mut self, m: usize, effect: Effect) {
        let unanswered = self.rng.random_bool(self.faults.unanswered);
        let after = match unanswered && self.rng.random_bool(0.7) {
            true => self.rng.random_range(2_000..8_000),
            false => 1,
        };
        match effect {
            Effect::Start { run, to, order } => {
                let msg = Msg::Start(m, run, order, self.route(&to.id, unanswered));
                self.post(after, msg);
                self.timeout(
                    unanswered,
                    m,
                    Event::Started {
                        run,
                        answer: StartAnswer::Unknown,
                    },
                );
            }
            Effect::Stop {
                run,
                to,
                task,
                attempt,
            } => {
                let msg = Msg::Stop(m, run, task, attempt, self.route(&to.id, unanswered));
                self.post(after, msg);
                self.timeout(
                    unanswered,
                    m,
                    Event::Stopped {
                        run,
                        answer: StopAnswer::Unknown,
                    },
                );
            }
            Effect::Poll {
                key,
                to,
                acknowledged,
                lease_until_ms,
                wait,
            } => {
                let id = to.id.to_string();
                let wait = wait.as_millis();
                self.post(1, Msg::Poll(m, key, id, acknowledged, lease_until_ms, wait));
            }
            Effect::RequestApproval {
                key, stage, vms, ..
            } => {
                // Two of three VMs may run a stage; the same ones for each request.
                let number = |v: &str| v[1..].parse::<u64>().expect("a VM's number");
                let allowed = vms
                    .iter()
                    .filter(|v| !(stage.job.0 + number(v)).is_multiple_of(3));
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
            Effect::Reply { .. } => {}
        }
    }

    fn route(&self, id: &str, unanswered: bool) -> Route {
        Route {
            vm: id.to_owned(),
            started_ms: self.vms[id].registration.started_ms,
            unanswered,
        }
    }

    /// Returns the VM that a route leads to, if it is up and still the same incarnation.
    fn route_target(&mut self, route: &Route) -> Option<&mut Vm> {
        let vm = self.vms.get_mut(&route.vm)?;
        (vm.up && vm.registration.started_ms == route.started_ms).then_some(vm)
    }

    fn timeout(&mut self, unanswered: bool, m: usize, event: Event) {
        if unanswered {
            self.post(400, Msg::Event(m, event));
        }
    }

    fn append(&mut self, m: usize, records: Vec<KeyedRecord>) {
        if !self.store_available {
            return self.post(40, Msg::Event(m, Event::Appended { stored: false }));
        }
        // The store refuses an older token; its writer gets no event.
        if m + 1 == self.members.len() {
            self.log.extend(records);
            self.post(4, Msg::Event(m, Event::Appended { stored: true }));
        }
    }

    fn deliver(&mut self, msg: Msg) {
        let now = self.now;
        match msg {
            Msg::Event(m, event) => {
                let (time, unix) = (Time(now * 1_000), self.unix());
                let frozen = self.members[m].frozen_until;
                if now < frozen {
                    return self.post(frozen - now, Msg::Event(m, event));
                }
                if let Some(scheduler) = &mut self.members[m].scheduler {
                    scheduler.handle(event, time, unix);
                }
            }
            Msg::Start(m, run, order, route) => self.start(m, run, &order, &route),
            Msg::Stop(m, run, task, attempt, route) => {
                let token = self.members[m].token;
                let reached = self.reaches(m, &route.vm);
                let Some(vm) = self.route_target(&route).filter(|_| reached) else {
                    let answer = StopAnswer::Unknown;
                    return self.post(400, Msg::Event(m, Event::Stopped { run, answer }));
                };
                let answer = vm.stop(task, attempt, token);
                self.answer_waiting_polls(&route.vm);
                if !route.unanswered {
                    self.post(1, Msg::Event(m, Event::Stopped { run, answer }));
                }
            }
            Msg::Poll(m, key, id, acknowledged, until, wait) => {
                let token = self.members[m].token;
                let unresponsive = Event::Polled {
                    key,
                    answer: Err(PollError::Unresponsive),
                };
                let lost = self.rng.random_bool(self.faults.lost);
                let reached = self.reaches(m, &id);
                let Some(vm) = self.vms.get_mut(&id).filter(|v| v.up && reached) else {
                    return self.post(700, Msg::Event(m, unresponsive));
                };
                if let Err(e) = vm.renew_lease(token, acknowledged, until) {
                    return self.post(
                        1,
                        Msg::Event(
                            m,
                            Event::Polled {
                                key,
                                answer: Err(e),
                            },
                        ),
                    );
                }
                let wait = if vm.finished.is_empty() { wait } else { 0 };
                let started_ms = vm.registration.started_ms;
                if lost {
                    return self.post(700, Msg::Event(m, unresponsive));
                }
                self.post(wait, Msg::PollReply(m, key, id, started_ms));
            }
            Msg::PollReply(m, key, id, started_ms) => {
                let vm = self
                    .vms
                    .get(&id)
                    .filter(|v| v.up && v.registration.started_ms == started_ms);
                let answer = vm
                    .map(|v| v.poll_answer(now))
                    .ok_or(PollError::Unresponsive);
                self.post(1, Msg::Event(m, Event::Polled { key, answer }));
            }
        }
    }

    fn start(&mut self, m: usize, run: RunKey, order: &StartOrder, route: &Route) {
        let token = self.members[m].token;
        let now = self.now;
        let submission = &self.jobs[&order.task.stage.job];
        let step = submission.plan.steps[usize::from(order.task.stage.step)].clone();
        let fails = self.rng.random_bool(self.faults.failed);
        let took = step.estimate_ms * self.rng.random_range(5..15) / 10;
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
        };
        let reached = self.reaches(m, &route.vm);
        let Some(vm) = self.route_target(route).filter(|_| reached) else {
            let answer = StartAnswer::Unknown;
            return self.post(400, Msg::Event(m, Event::Started { run, answer }));
        };
        let (answer, began) = vm.start(order.task, order.expires_ms, token, work, now);
        if began {
            self.starts += 1;
            self.check(order.task, &route.vm);
            if step.gang {
                self.start_gang_work(order, step.count, now + took.max(1));
            }
        }
        if !route.unanswered {
            self.post(1, Msg::Event(m, Event::Started { run, answer }));
        }
    }

    /// Sets the end of the work of a gang once all its tasks have started in one attempt.
    fn start_gang_work(&mut self, order: &StartOrder, count: u32, ends_ms: u64) {
        let stage = order.task.stage;
        let running = self.vms.values_mut().filter(|v| v.up);
        let running = running.flat_map(|v| v.running.iter_mut());
        let gang = running.filter(|(t, w)| t.stage == stage && w.attempt == order.attempt);
        let mut gang: Vec<&mut Work> = gang.map(|(_, w)| w).collect();
        if gang.len() == count as usize {
            for work in &mut gang {
                work.ends_ms = ends_ms;
                work.gang_deadline_ms = None;
            }
        }
    }

    /// Checks the invariants that hold whenever a task starts.
    fn check(&mut self, task: TaskId, id: &str) {
        let at = format!("task {task:?} on {id} at {} ms", self.now);
        let vm = &self.vms[id];
        let used = vm.used();
        let capacity = vm.registration.capacity;
        assert!(
            capacity.fits(&used),
            "over capacity: {used:?} of {capacity:?}; {at}"
        );
        let placements = self
            .vms
            .values()
            .filter(|v| v.up && v.running.contains_key(&task));
        assert_eq!(placements.count(), 1, "runs twice: {at}");
        let submission = &self.jobs[&task.stage.job];
        let step = &submission.plan.steps[usize::from(task.stage.step)];
        if step.per_vm_max > 0 {
            let here = vm.running.keys().filter(|t| t.stage == task.stage).count();
            assert!(
                here <= step.per_vm_max as usize,
                "too many tasks of a stage on one VM: {at}"
            );
        }
        for &d in &step.after {
            let before = &submission.plan.steps[usize::from(d)];
            let is_done = |&index: &u32| {
                let mut other = task;
                other.stage.step = d;
                other.index = index;
                self.done.contains(&other)
            };
            let count = (0..before.count).filter(is_done).count();
            // The success of one task of a gang counts as that of the whole gang.
            let enough = if before.gang {
                1
            } else {
                before.count as usize
            };
            assert!(count >= enough, "started before its dependencies: {at}");
        }
        self.check_limit(&submission.account.clone(), &at);
        assert!(
            !self.stored_done(&task),
            "started after its success was stored: {at}"
        );
    }

    fn check_limit(&self, account: &str, at: &str) {
        let Some(limit) = self.site.accounts.get(account).map(|a| a.limit.cpu_milli) else {
            return;
        };
        let running = self.vms.values().filter(|v| v.up).flat_map(|v| &v.running);
        let own = running.filter(|(t, _)| self.jobs[&t.stage.job].account == account);
        let used: u64 = own.map(|(_, w)| w.allocation.cpu_milli).sum();
        assert!(
            limit == 0 || used <= limit,
            "over the limit: {used} of {limit}; {at}"
        );
    }

    /// Returns whether the success of a task is stored in the journal.
    fn stored_done(&self, task: &TaskId) -> bool {
        let key = format!("{}.p", task.stage.job);
        let newest = self.log.iter().rev().find(|s| s.key == key);
        let Some(journal::Entry::Progressed(_, p)) = newest.and_then(journal::decode_entry) else {
            return false;
        };
        p.outcome == Some(journal::Outcome::Completed)
            || p.stages.iter().any(|s| {
                let same = s.step == task.stage.step && s.occurrence == task.stage.occurrence;
                same && (s.complete || s.done.contains(&task.index))
            })
    }

    /// Returns the number and the total size in bytes of the records that the next leader
    /// reads.
    pub(crate) fn stored_size(&self) -> (usize, usize) {
        let mut newest = BTreeMap::new();
        for stored in &self.log {
            newest.insert(stored.key.clone(), stored.value.len());
        }
        newest.retain(|_, len| *len > 0);
        (newest.len(), newest.values().sum())
    }

    /// Records which jobs have ended by now.
    pub(crate) fn record_ends(&mut self) {
        for (at, stored) in self.log.iter().enumerate().skip(self.checked_to) {
            self.checked_to = at + 1;
            let Some(journal::Entry::Progressed(id, p)) = journal::decode_entry(stored) else {
                continue;
            };
            if p.outcome.is_some() {
                self.ends.entry(id).or_insert(self.now);
            }
        }
    }

    /// Returns whether a job was found to have ended at `ms` or earlier.
    pub(crate) fn ended_by(&self, id: JobId, ms: u64) -> bool {
        self.ends.get(&id).is_some_and(|&at| at <= ms)
    }

    /// Returns the stored outcome of a job.
    pub(crate) fn outcome(&self, id: JobId) -> Option<journal::Outcome> {
        let key = format!("{id}.p");
        let newest = self.log.iter().rev().find(|s| s.key == key);
        match newest.and_then(journal::decode_entry) {
            Some(journal::Entry::Progressed(_, p)) => p.outcome,
            _ => None,
        }
    }
}
