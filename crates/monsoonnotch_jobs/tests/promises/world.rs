//! VMs, a store, an approval service and one or more members that take
//! themselves for the holder, with messages that are late or lost.

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

/// How long a member of a gang waits for the others, in milliseconds.
const GANG_MS: u64 = 3_000;
/// Unix time of the world's start in milliseconds.
pub(crate) const EPOCH: u64 = 1_700_000_000_000;

/// What may go wrong, each as a chance for one message.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Faults {
    /// An order gets no answer; it is carried out at once or seconds later.
    pub(crate) late: f64,
    /// An answer is lost.
    pub(crate) lost: f64,
    /// A run fails.
    pub(crate) failed: f64,
}

#[derive(Debug)]
enum Msg {
    Start(usize, RunKey, Box<StartOrder>, Way),
    Stop(usize, RunKey, TaskId, u64, Way),
    Poll(usize, PollKey, String, u64, Option<u64>, u64),
    PollOver(usize, PollKey, String, u64),
    Event(usize, Event),
}

/// An order on its way. It ends with the incarnation it was sent to, as the
/// connection does.
#[derive(Debug)]
struct Way {
    vm: String,
    started_ms: u64,
    /// Whether the VM carries it out without an answer.
    mute: bool,
}

struct Member {
    holder: Option<Scheduler>,
    token: u64,
    asleep_until: u64,
}

pub(crate) struct World {
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
    /// Tasks that have ended well on some VM.
    done: BTreeSet<TaskId>,
    /// Whether the store answers.
    pub(crate) store: bool,
    /// VMs that the newest member does not reach, and until when.
    blind: BTreeMap<String, u64>,
    pub(crate) starts: u64,
    /// Jobs that were seen to have ended, and the records read for it.
    ends: BTreeMap<JobId, u64>,
    seen_to: usize,
    tuning: Tuning,
}

impl World {
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
            store: true,
            blind: BTreeMap::new(),
            starts: 0,
            ends: BTreeMap::new(),
            seen_to: 0,
            tuning: Tuning::default(),
        }
    }

    fn unix(&self) -> u64 {
        EPOCH + self.now
    }

    fn post(&mut self, after: u64, msg: Msg) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), msg);
    }

    /// A member claims the jobs; earlier ones go on until they are refused.
    pub(crate) fn claim(&mut self) {
        let token = self.members.len() as u64 + 1;
        let former = !self.members.is_empty();
        let settle = if former { 5_000 } else { 0 };
        let now = Time(self.now * 1_000);
        let settle_at = now + Duration::from_millis(settle);
        let site = Arc::clone(&self.site);
        let mut holder = Scheduler::new(token, self.tuning.clone(), site, settle_at);
        self.log.push(journal::term_record(token));
        let marker = self.log.len() as u64 - 1;
        let mut newest = BTreeMap::new();
        for stored in &self.log {
            newest.insert(stored.key.clone(), stored.clone());
        }
        let unix = self.unix();
        let reports = self.vms.values().filter(|v| v.up).map(|v| v.report.clone());
        // The store drops a key whose newest record has no value.
        let kept = newest.into_values().filter(|s| !s.value.is_empty());
        let events = [
            Event::AllVms(reports.collect()),
            Event::Journal(kept.map(|s| (0, s)).collect()),
            Event::ApprovalSlotUp(ApprovalSlotKey(0)),
            Event::ApprovalSlotUp(ApprovalSlotKey(1)),
            Event::CaughtUp { marker },
        ];
        for event in events {
            holder.handle(event, now, unix);
        }
        self.members.push(Member {
            holder: Some(holder),
            token,
            asleep_until: 0,
        });
    }

    /// The newest member does not reach a VM for a while; earlier ones do.
    pub(crate) fn blind(&mut self, id: &str, ms: u64) {
        self.blind.insert(id.to_owned(), self.now + ms);
    }

    fn reaches(&self, m: usize, id: &str) -> bool {
        let newest = m + 1 == self.members.len();
        let until = self.blind.get(id).copied().unwrap_or(0);
        !newest || self.now >= until
    }

    /// The newest holder ends without a word.
    pub(crate) fn kill(&mut self) {
        if let Some(m) = self.members.last_mut() {
            m.holder = None;
        }
    }

    /// The newest holder stands still for a while and knows nothing of it.
    pub(crate) fn freeze(&mut self, ms: u64) {
        let until = self.now + ms;
        if let Some(m) = self.members.last_mut() {
            m.asleep_until = until;
        }
    }

    pub(crate) fn submit(&mut self, id: JobId, submission: Submission) {
        let stored = journal::submission_record(id, &submission);
        self.jobs.insert(id, submission);
        self.store(stored);
    }

    pub(crate) fn cancel(&mut self, id: JobId) {
        self.cancelled.insert(id);
        self.store(journal::cancellation_record(id));
    }

    fn store(&mut self, stored: KeyedRecord) {
        let offset = self.log.len() as u64;
        self.log.push(stored.clone());
        for m in 0..self.members.len() {
            // Only what comes before a newer holder's first record reaches an older one.
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

    pub(crate) fn rebirth(&mut self, id: &str) {
        let (now, unix) = (self.now, self.unix());
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        vm.reborn(now);
        vm.report.started_ms = unix;
        let report = vm.report.clone();
        let event = Event::Vms(vec![(report.id.clone(), Some(report))]);
        let last = self.members.len() - 1;
        self.post(300, Msg::Event(last, event));
    }

    /// Lets a millisecond pass.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        let ids: Vec<String> = self.vms.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let vm = self.vms.get_mut(&id).expect("listed above");
            if vm.step(now) {
                let well = vm.ended.iter().filter(|e| e.outcome == RunOutcome::Done);
                self.done.extend(well.map(|e| e.task));
                self.wake_looks(&id);
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

    /// Looks that wait at a VM are answered when something ends there.
    fn wake_looks(&mut self, id: &str) {
        let now = self.now;
        let waiting: Vec<(u64, u64)> = self
            .queue
            .iter()
            .filter_map(|(k, msg)| match msg {
                Msg::PollOver(_, _, vm, _) if vm == id && k.0 > now => Some(*k),
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
        if self.now < member.asleep_until {
            return;
        }
        // A member that stood still asks the store whether its claim is the newest
        // before it decides anything.
        if member.asleep_until > 0 && !newest {
            member.holder = None;
        }
        let Some(holder) = &mut member.holder else {
            return;
        };
        for effect in holder.decide(now, unix) {
            self.perform(m, effect);
        }
    }

    fn perform(&mut self, m: usize, effect: Effect) {
        let late = self.rng.random_bool(self.faults.late);
        let after = match late && self.rng.random_bool(0.7) {
            true => self.rng.random_range(2_000..8_000),
            false => 1,
        };
        match effect {
            Effect::Start { run, to, order } => {
                let msg = Msg::Start(m, run, order, self.way(&to.id, late));
                self.post(after, msg);
                self.timeout(
                    late,
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
                let msg = Msg::Stop(m, run, task, attempt, self.way(&to.id, late));
                self.post(after, msg);
                self.timeout(
                    late,
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
                // Two of three VMs may run a stage; which does not change.
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
            Effect::StepDown => self.members[m].holder = None,
            Effect::Log(note) => {
                println!(
                    "{} m{m} {:016x} {} {}",
                    self.now, note.job, note.event, note.detail
                );
            }
            Effect::Reply { .. } => {}
        }
    }

    fn way(&self, id: &str, mute: bool) -> Way {
        Way {
            vm: id.to_owned(),
            started_ms: self.vms[id].report.started_ms,
            mute,
        }
    }

    /// The VM at the end of a way, if it is still the one it was.
    fn end_of(&mut self, way: &Way) -> Option<&mut Vm> {
        let vm = self.vms.get_mut(&way.vm)?;
        (vm.up && vm.report.started_ms == way.started_ms).then_some(vm)
    }

    fn timeout(&mut self, late: bool, m: usize, event: Event) {
        if late {
            self.post(400, Msg::Event(m, event));
        }
    }

    fn append(&mut self, m: usize, records: Vec<KeyedRecord>) {
        if !self.store {
            return self.post(40, Msg::Event(m, Event::Appended { stored: false }));
        }
        // An older token is refused; its writer gives up.
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
                let asleep = self.members[m].asleep_until;
                if now < asleep {
                    return self.post(asleep - now, Msg::Event(m, event));
                }
                if let Some(holder) = &mut self.members[m].holder {
                    holder.handle(event, time, unix);
                }
            }
            Msg::Start(m, run, order, way) => self.start(m, run, &order, &way),
            Msg::Stop(m, run, task, attempt, way) => {
                let token = self.members[m].token;
                let reached = self.reaches(m, &way.vm);
                let Some(vm) = self.end_of(&way).filter(|_| reached) else {
                    let answer = StopAnswer::Unknown;
                    return self.post(400, Msg::Event(m, Event::Stopped { run, answer }));
                };
                let answer = vm.stop(task, attempt, token);
                self.wake_looks(&way.vm);
                if !way.mute {
                    self.post(1, Msg::Event(m, Event::Stopped { run, answer }));
                }
            }
            Msg::Poll(m, key, id, seen, until, wait) => {
                let token = self.members[m].token;
                let silent = Event::Polled {
                    key,
                    answer: Err(PollError::Unresponsive),
                };
                let lost = self.rng.random_bool(self.faults.lost);
                let reached = self.reaches(m, &id);
                let Some(vm) = self.vms.get_mut(&id).filter(|v| v.up && reached) else {
                    return self.post(700, Msg::Event(m, silent));
                };
                if let Err(e) = vm.hold(token, seen, until) {
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
                let wait = if vm.ended.is_empty() { wait } else { 0 };
                let born = vm.report.started_ms;
                if lost {
                    return self.post(700, Msg::Event(m, silent));
                }
                self.post(wait, Msg::PollOver(m, key, id, born));
            }
            Msg::PollOver(m, key, id, born) => {
                let vm = self
                    .vms
                    .get(&id)
                    .filter(|v| v.up && v.report.started_ms == born);
                let answer = vm.map(|v| v.look(now)).ok_or(PollError::Unresponsive);
                self.post(1, Msg::Event(m, Event::Polled { key, answer }));
            }
        }
    }

    fn start(&mut self, m: usize, run: RunKey, order: &StartOrder, way: &Way) {
        let token = self.members[m].token;
        let now = self.now;
        let submission = &self.jobs[&order.task.stage.job];
        let step = submission.plan.steps[usize::from(order.task.stage.step)].clone();
        let fails = self.rng.random_bool(self.faults.failed);
        let took = step.estimate_ms * self.rng.random_range(5..15) / 10;
        let work = Work {
            attempt: order.attempt,
            room: step.allocation(),
            ends_ms: match step.long_lived || step.gang {
                true => u64::MAX,
                false => now + took.max(1),
            },
            alone_ms: step.gang.then_some(now + GANG_MS),
            how: if fails {
                RunOutcome::Failed
            } else {
                RunOutcome::Done
            },
        };
        let reached = self.reaches(m, &way.vm);
        let Some(vm) = self.end_of(way).filter(|_| reached) else {
            let answer = StartAnswer::Unknown;
            return self.post(400, Msg::Event(m, Event::Started { run, answer }));
        };
        let (answer, began) = vm.start(order.task, order.expires_ms, token, work, now);
        if began {
            self.starts += 1;
            self.check(order.task, &way.vm);
            if step.gang {
                self.gather(order, step.count, now + took.max(1));
            }
        }
        if !way.mute {
            self.post(1, Msg::Event(m, Event::Started { run, answer }));
        }
    }

    /// The members of a gang work from when all of one attempt are there.
    fn gather(&mut self, order: &StartOrder, count: u32, ends_ms: u64) {
        let stage = order.task.stage;
        let running = self.vms.values_mut().filter(|v| v.up);
        let running = running.flat_map(|v| v.running.iter_mut());
        let members = running.filter(|(t, w)| t.stage == stage && w.attempt == order.attempt);
        let mut members: Vec<&mut Work> = members.map(|(_, w)| w).collect();
        if members.len() == count as usize {
            for work in &mut members {
                work.ends_ms = ends_ms;
                work.alone_ms = None;
            }
        }
    }

    /// What must hold at each start.
    fn check(&mut self, task: TaskId, id: &str) {
        let at = format!("task {task:?} on {id} at {} ms", self.now);
        let vm = &self.vms[id];
        let used = vm.used();
        let capacity = vm.report.capacity;
        assert!(
            capacity.fits(&used),
            "over capacity: {used:?} of {capacity:?}; {at}"
        );
        let places = self
            .vms
            .values()
            .filter(|v| v.up && v.running.contains_key(&task));
        assert_eq!(places.count(), 1, "runs twice: {at}");
        let submission = &self.jobs[&task.stage.job];
        let step = &submission.plan.steps[usize::from(task.stage.step)];
        if step.per_vm_max > 0 {
            let here = vm.running.keys().filter(|t| t.stage == task.stage).count();
            assert!(here <= step.per_vm_max as usize, "too many of a step: {at}");
        }
        for &d in &step.after {
            let before = &submission.plan.steps[usize::from(d)];
            let well = |&index: &u32| {
                let mut other = task;
                other.stage.step = d;
                other.index = index;
                self.done.contains(&other)
            };
            let count = (0..before.count).filter(well).count();
            // One good end of a gang stands for all of it.
            let enough = if before.gang {
                1
            } else {
                before.count as usize
            };
            assert!(count >= enough, "before its turn: {at}");
        }
        self.check_limit(&submission.account.clone(), &at);
        assert!(!self.stored_done(&task), "started again: {at}");
    }

    fn check_limit(&self, account: &str, at: &str) {
        let Some(limit) = self.site.accounts.get(account).map(|a| a.limit.cpu_milli) else {
            return;
        };
        let running = self.vms.values().filter(|v| v.up).flat_map(|v| &v.running);
        let own = running.filter(|(t, _)| self.jobs[&t.stage.job].account == account);
        let used: u64 = own.map(|(_, w)| w.room.cpu_milli).sum();
        assert!(
            limit == 0 || used <= limit,
            "over the limit: {used} of {limit}; {at}"
        );
    }

    /// Whether the journal says that a task ended well.
    fn stored_done(&self, task: &TaskId) -> bool {
        let key = format!("{}.p", task.stage.job);
        let newest = self.log.iter().rev().find(|s| s.key == key);
        let Some(journal::Entry::Progressed(_, p)) = newest.and_then(journal::decode_entry) else {
            return false;
        };
        p.outcome == Some(journal::Outcome::Completed)
            || p.stages.iter().any(|s| {
                let same = s.step == task.stage.step && s.occurrence == task.stage.occurrence;
                same && (s.whole || s.done.contains(&task.index))
            })
    }

    /// Records that the next holder reads, and their bytes.
    pub(crate) fn newest_size(&self) -> (usize, usize) {
        let mut newest = BTreeMap::new();
        for stored in &self.log {
            newest.insert(stored.key.clone(), stored.value.len());
        }
        newest.retain(|_, len| *len > 0);
        (newest.len(), newest.values().sum())
    }

    /// Notes which jobs have an outcome by now.
    pub(crate) fn see_ends(&mut self) {
        for (at, stored) in self.log.iter().enumerate().skip(self.seen_to) {
            self.seen_to = at + 1;
            let Some(journal::Entry::Progressed(id, p)) = journal::decode_entry(stored) else {
                continue;
            };
            if p.outcome.is_some() {
                self.ends.entry(id).or_insert(self.now);
            }
        }
    }

    /// Whether a job was seen to have ended by a time.
    pub(crate) fn ended_by(&self, id: JobId, ms: u64) -> bool {
        self.ends.get(&id).is_some_and(|&at| at <= ms)
    }

    /// The stored outcome of a job.
    pub(crate) fn outcome(&self, id: JobId) -> Option<journal::Outcome> {
        let key = format!("{id}.p");
        let newest = self.log.iter().rev().find(|s| s.key == key);
        match newest.and_then(journal::decode_entry) {
            Some(journal::Entry::Progressed(_, p)) => p.outcome,
            _ => None,
        }
    }
}
