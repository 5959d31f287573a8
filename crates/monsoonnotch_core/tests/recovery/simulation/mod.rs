//! A simulated cluster: reducers, the log and workers, joined by an event queue in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use monsoonnotch_core::config::Change;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::config::Lane;
use monsoonnotch_core::config::NO_VERSION;
use monsoonnotch_core::config::Profile;
use monsoonnotch_core::config::Setting;
use monsoonnotch_core::config::Team;
use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::effect::Sync;
use monsoonnotch_core::event::CallArrived;
use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::event::KeyProof;
use monsoonnotch_core::event::ReadReply;
use monsoonnotch_core::event::Report;
use monsoonnotch_core::event::RunningTask;
use monsoonnotch_core::event::VmInfo;
use monsoonnotch_core::job::JournalEntry;
use monsoonnotch_core::job::Spec;
use monsoonnotch_core::job::Status;
use monsoonnotch_core::job::TaskSpec;
use monsoonnotch_core::prelude::*;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::record::Stream;
use monsoonnotch_core::reducer::Policy;
use monsoonnotch_core::reducer::Settings;
use monsoonnotch_core::timing::Timing;
use monsoonnotch_core::wire::JobAnswer;
use monsoonnotch_core::wire::JobRequest;
use monsoonnotch_core::wire::PeerMsg;

/// Interval between ticks, and the delay of every message.
const TICK: Duration = Duration::from_millis(10);

/// A simulated worker.
///
/// `Simulation::start` asserts that no task runs on two workers at once.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    /// Whether the worker answers neither syncs nor start orders.
    pub(crate) unresponsive: bool,
    /// The highest epoch received; lower ones are refused.
    epoch: u64,
    /// Running tasks with the end of their lease and, for finite ones, of their run.
    running: BTreeMap<TaskId, (TaskSpec, Time, Option<Time>)>,
    /// Unacknowledged ended tasks; `true` for those that succeeded.
    ended: BTreeMap<TaskId, bool>,
    /// Tasks that were ordered to stop, which are never started again.
    stopped: BTreeSet<TaskId>,
}

/// Returns whether a message from the first member to the second is lost.
pub(crate) type LossPredicate = Box<dyn FnMut(MemberId, MemberId, &PeerMsg) -> bool>;

/// A cluster of reducers with its log, links and workers.
pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) members: BTreeMap<MemberId, Control>,
    /// Members whose events are deferred until they resume.
    pub(crate) paused: BTreeSet<MemberId>,
    /// Batches of the control stream.
    pub(crate) log: Vec<Batch>,
    /// Appends to the members' journals, with their times.
    pub(crate) journals: BTreeMap<MemberId, Vec<(Time, Vec<JournalEntry>)>>,
    /// Whether reads of the log and appends to it fail without effect.
    pub(crate) log_unavailable: bool,
    /// Whether journal appends take effect but are reported as failed.
    pub(crate) lose_replies: bool,
    pub(crate) workers: BTreeMap<Name, Worker>,
    pub(crate) is_lost: LossPredicate,
    /// Dispatched requests with their entries, in order.
    pub(crate) dispatched: Vec<(MemberId, CallKey)>,
    /// Refused requests with the time and the entry of each refusal, in order.
    pub(crate) refused: Vec<(Time, MemberId, CallKey, Refusal)>,
    answers: BTreeMap<(MemberId, Ticket), Answer>,
    /// Number of starts of each task, over all attempts.
    pub(crate) starts: BTreeMap<(JobId, u32), u32>,
    queue: BTreeMap<(Time, u64), (MemberId, Event)>,
    /// Events for members that are paused.
    deferred: Vec<(MemberId, Event)>,
    /// Number of scheduled events.
    scheduled: u64,
    tickets: u64,
    /// Attempts that were started; each may be started only once.
    pub(crate) attempts: BTreeSet<TaskId>,
}

impl Simulation {
    /// Returns a cluster of `n` members and `vms` workers of eight slots each.
    ///
    /// Team `hall`, its key and one profile of each lane are published, and every holding has a
    /// holder that may use it.
    pub(crate) fn new(n: u64, vms: usize) -> Self {
        let mut sim = Self {
            now: Time(1),
            members: BTreeMap::new(),
            paused: BTreeSet::new(),
            log: Vec::new(),
            journals: BTreeMap::new(),
            log_unavailable: false,
            lose_replies: false,
            workers: BTreeMap::new(),
            is_lost: Box::new(|_, _, _| false),
            dispatched: Vec::new(),
            refused: Vec::new(),
            answers: BTreeMap::new(),
            starts: BTreeMap::new(),
            queue: BTreeMap::new(),
            deferred: Vec::new(),
            scheduled: 0,
            tickets: 0,
            attempts: BTreeSet::new(),
        };
        for i in 0..vms {
            let name = Name::from(format!("vm-{i}"));
            sim.workers.insert(name, Worker::default());
        }
        for m in 1..=n {
            sim.join(MemberId(m));
        }
        sim.run(4_000);
        sim.configure();
        sim.run(8_000);
        sim
    }

    /// Starts a process that joins as the member `me`.
    pub(crate) fn join(&mut self, me: MemberId) {
        let settings = Settings {
            me,
            domain: Name::from(format!("fd-{}", me.0 % 3)),
            addr: Name::from(format!("127.0.0.1:{}", me.0)),
            timing: Timing::default(),
            queue_max: 1_000,
            jobs_memory: u64::MAX,
            snapshot_every: 1_000_000,
            policy: Policy::default(),
        };
        self.members.insert(me, Control::new(settings));
        let list = self.vm_list();
        self.step(me, Event::Vms(list));
    }

    /// Removes a member without notice, as if its process had been killed.
    pub(crate) fn kill(&mut self, m: MemberId) {
        self.members.remove(&m);
    }

    /// Resumes a paused member and handles the deferred events.
    pub(crate) fn resume(&mut self, m: MemberId) {
        self.paused.remove(&m);
        for (to, ev) in std::mem::take(&mut self.deferred) {
            self.step(to, ev);
        }
    }

    /// Sends a caller's request with an idempotency key to a member.
    pub(crate) fn send_keyed(&mut self, m: MemberId, call: u64, key: &str, digest: u64) {
        let key_hash = KeyHash::of("secret");
        let arrived = CallArrived {
            call: CallKey(call),
            key: Some(KeyProof {
                id: Name::from("k"),
                hash: key_hash,
            }),
            profile: Name::from("deposit"),
            idem: Some(Name::from(key)),
            digest,
            deadline: None,
        };
        self.step(m, Event::Call(arrived));
    }

    /// Reports to a member that the upstream answered a dispatched request completely.
    pub(crate) fn complete(&mut self, m: MemberId, call: u64) {
        let call = CallKey(call);
        let outcome = CallOutcome::Complete;
        self.step(m, Event::CallEnded { call, outcome });
    }

    /// Returns how often a request was dispatched.
    pub(crate) fn dispatches(&self, call: u64) -> usize {
        let all = self.dispatched.iter();
        all.filter(|(_, c)| *c == CallKey(call)).count()
    }

    /// Returns the refusal of a request; `None` if it was not refused.
    pub(crate) fn refusal(&self, call: u64) -> Option<Refusal> {
        let mut all = self.refused.iter();
        let found = all.find(|(_, _, c, _)| *c == CallKey(call));
        found.map(|(_, _, _, r)| *r)
    }

    /// Drops the journal appends made before a time, as the platform does.
    pub(crate) fn trim_journals(&mut self, before: Time) {
        for journal in self.journals.values_mut() {
            journal.retain(|(at, _)| *at >= before);
        }
    }

    /// Runs the simulation for `ms` milliseconds of virtual time.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + TICK;
            while let Some((key, _)) = self.queue.first_key_value() {
                if key.0 > self.now {
                    break;
                }
                let (_, (m, ev)) = self.queue.pop_first().expect("the queue is not empty");
                self.step(m, ev);
            }
            self.end_tasks();
            let members: Vec<MemberId> = self.members.keys().copied().collect();
            for m in members {
                self.step(m, Event::Tick);
            }
        }
    }

    /// Runs the simulation until `f` returns `true`.
    ///
    /// # Panics
    ///
    /// Panics with the text `what` if that takes more than a minute of virtual time.
    pub(crate) fn run_until(&mut self, what: &str, mut f: impl FnMut(&mut Self) -> bool) {
        for _ in 0..600 {
            if f(self) {
                return;
            }
            self.run(100);
        }
        panic!("condition not met within a minute of virtual time: {what}");
    }

    /// Lets a member handle an event and executes the effects.
    ///
    /// The event is deferred if the member is paused, and dropped if the member has ended.
    pub(crate) fn step(&mut self, m: MemberId, ev: Event) {
        if self.paused.contains(&m) {
            if ev != Event::Tick {
                self.deferred.push((m, ev));
            }
            return;
        }
        let Some(control) = self.members.get_mut(&m) else {
            return;
        };
        for effect in control.step(self.now, ev) {
            self.execute(m, effect);
        }
    }

    /// Sends a member the event that `make` returns for a new ticket, and waits for the answer.
    ///
    /// # Panics
    ///
    /// Panics if there is no answer within ten seconds of virtual time.
    pub(crate) fn request(&mut self, m: MemberId, make: impl Fn(Ticket) -> Event) -> Answer {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.step(m, make(ticket));
        for _ in 0..1_000 {
            if let Some(answer) = self.answers.remove(&(m, ticket)) {
                return answer;
            }
            self.run(10);
        }
        panic!("no answer within ten seconds of virtual time");
    }

    /// Submits a job of team `hall`.
    ///
    /// # Panics
    ///
    /// Panics if the job is not accepted.
    pub(crate) fn submit(
        &mut self,
        m: MemberId,
        profile: &str,
        count: u32,
        command: &str,
    ) -> JobId {
        let spec = job_spec(profile, count, command);
        let answer = self.request(m, |ticket| Event::Submit {
            ticket,
            key: None,
            spec: spec.clone(),
        });
        match answer {
            Answer::Job(JobAnswer::Status(s)) => s.id.parse().expect("a job identifier"),
            other => panic!("the job was not accepted: {other:?}"),
        }
    }

    /// Returns the status of a job; `None` if the answer has none.
    pub(crate) fn status(&mut self, m: MemberId, job: JobId) -> Option<Status> {
        let request = JobRequest::Show { team: None, job };
        self.request_job(m, request)
    }

    /// Cancels a job and returns its status; `None` if the answer has none.
    pub(crate) fn cancel(&mut self, m: MemberId, job: JobId) -> Option<Status> {
        let request = JobRequest::Cancel { team: None, job };
        self.request_job(m, request)
    }

    /// Returns the number of tasks that run on all workers.
    pub(crate) fn running(&self) -> usize {
        self.workers.values().map(|w| w.running.len()).sum()
    }

    /// Returns the number of tasks that run on one worker.
    pub(crate) fn tasks_on(&self, vm: &Name) -> usize {
        self.workers[vm].running.len()
    }

    /// Returns the worker with the most tasks.
    pub(crate) fn busiest(&self) -> Name {
        let most = self.workers.iter().max_by_key(|(_, w)| w.running.len());
        most.expect("a worker").0.clone()
    }

    fn request_job(&mut self, m: MemberId, request: JobRequest) -> Option<Status> {
        let answer = self.request(m, |ticket| Event::Job {
            ticket,
            key: None,
            request: request.clone(),
        });
        match answer {
            Answer::Job(JobAnswer::Status(s)) => Some(s),
            _ => None,
        }
    }

    /// Publishes team `hall`, its key and one profile of each lane.
    fn configure(&mut self) {
        let team = Team {
            account: Name::from("acme"),
            share: 1,
            limit: 100_000,
        };
        let lanes = [
            ("batch", Lane::Batch),
            ("gang", Lane::AllAtOnce),
            ("watch", Lane::LongLived),
            ("deposit", Lane::Short),
        ];
        let mut settings = vec![Setting::Team(Name::from("hall"), team)];
        for (name, lane) in lanes {
            let mut profile = Profile {
                lane,
                ..Profile::default()
            };
            if lane != Lane::Short {
                profile.size = Resources::one_task();
            }
            settings.push(Setting::Profile(Name::from(name), profile));
        }
        let key = monsoonnotch_core::config::TeamKey {
            team: Name::from("hall"),
            hash: monsoonnotch_core::config::KeyHash::of("secret"),
            withdrawn: false,
        };
        settings.push(Setting::Key(Name::from("k"), key));
        for set in settings {
            let change = Change::new(NO_VERSION, set);
            self.request(MemberId(1), |ticket| Event::Change {
                ticket,
                change: change.clone(),
            });
        }
    }

    /// Returns the platform's list of VMs.
    pub(crate) fn vm_list(&self) -> Vec<VmInfo> {
        let infos = self.workers.keys().map(|name| VmInfo {
            name: name.clone(),
            addr: name.clone(),
            domain: Name::from("fd-0"),
            rack: Name::from("rack-0"),
            total: Resources {
                cpu_milli: 16_000,
                memory_mib: 65_536,
                accelerators: 0,
                slots: 8,
                connections: 60,
            },
            leaving: false,
        });
        infos.collect()
    }

    /// Schedules an event for a member after one tick.
    fn schedule(&mut self, m: MemberId, ev: Event) {
        self.scheduled += 1;
        self.queue
            .insert((self.now + TICK, self.scheduled), (m, ev));
    }

    /// Executes an effect of a member.
    fn execute(&mut self, m: MemberId, effect: Effect) {
        match effect {
            Effect::Read { .. } | Effect::Append { .. } | Effect::Journal { .. }
                if self.log_unavailable =>
            {
                let stream = match effect {
                    Effect::Journal { .. } => Stream::Journal(m),
                    _ => Stream::Control,
                };
                self.schedule(m, Event::LogFailed(stream));
            }
            Effect::Read { from } => {
                let reply = self.read_log(from);
                self.schedule(m, Event::Read(reply));
            }
            Effect::Append { token, batch } => {
                self.log.push(batch);
                let stream = Stream::Control;
                self.schedule(m, Event::Appended { stream, token });
            }
            Effect::Journal { token, entries } => {
                let now = self.now;
                self.journals.entry(m).or_default().push((now, entries));
                let stream = Stream::Journal(m);
                let ev = match self.lose_replies {
                    true => Event::LogFailed(stream),
                    false => Event::Appended { stream, token },
                };
                self.schedule(m, ev);
            }
            Effect::ReadJournal(member) => {
                let ev = match self.log_unavailable {
                    true => Event::LogFailed(Stream::Journal(member)),
                    false => {
                        let batches = self.journals.get(&member).cloned();
                        let batches = batches.unwrap_or_default().into_iter();
                        let entries = batches.flat_map(|(_, entries)| entries).collect();
                        Event::Journal { member, entries }
                    }
                };
                self.schedule(m, ev);
            }
            Effect::Send { to, msg } => {
                if !(self.is_lost)(m, to.member, &msg) {
                    let (from, to) = (m, to.member);
                    self.schedule(to, Event::Peer { from, to, msg });
                }
            }
            Effect::Sync(sync) => self.sync(m, sync),
            Effect::StartTask {
                vm,
                epoch,
                task,
                spec,
                lease,
                ..
            } => {
                let verdict = self.start(&vm, epoch, task, spec, lease);
                self.schedule(m, Event::TaskStarted { vm, task, verdict });
            }
            Effect::Dispatch { call, .. } => self.dispatched.push((m, call)),
            Effect::Refuse { call, refusal } => self.refused.push((self.now, m, call, refusal)),
            Effect::Answer { ticket, answer } => drop(self.answers.insert((m, ticket), answer)),
            Effect::Log(_) | Effect::Ready(_) => {}
            Effect::Stopped => drop(self.members.remove(&m)),
        }
    }

    fn read_log(&self, from: u64) -> ReadReply {
        let batches = (0..).zip(&self.log);
        let batches = batches.skip(usize::try_from(from).unwrap_or(usize::MAX));
        ReadReply {
            asked: self.now,
            first: 0,
            tail: self.log.len() as u64,
            batches: batches.map(|(i, b)| (i, Some(b.clone()))).collect(),
        }
    }

    /// Lets a worker handle a sync; it does not answer one with an outdated epoch.
    fn sync(&mut self, m: MemberId, sync: Sync) {
        let vm = sync.vm.clone();
        let asked = self.now;
        let worker = self.workers.get_mut(&vm).expect("a listed worker");
        if worker.unresponsive || sync.epoch < worker.epoch {
            return self.schedule(m, Event::SyncFailed { vm });
        }
        worker.epoch = sync.epoch;
        for id in &sync.renew {
            if let Some(t) = worker.running.get_mut(id) {
                t.1 = asked + sync.lease;
            }
        }
        for id in &sync.stop {
            worker.stopped.insert(*id);
            worker.running.remove(id);
        }
        for id in &sync.acknowledge {
            worker.ended.remove(id);
        }
        let running = worker.running.iter().map(|(id, t)| RunningTask {
            id: *id,
            team: t.0.team.clone(),
            size: t.0.size,
        });
        let report = Report {
            age_ms: 0,
            requests: 0,
            running: running.collect(),
            ended: worker
                .ended
                .iter()
                .map(|(id, succeeded)| (*id, *succeeded))
                .collect(),
        };
        self.schedule(m, Event::Synced { vm, asked, report });
    }

    /// Lets a worker handle the order to start a task.
    ///
    /// A task with the command `run:MS` succeeds, and one with `fail:MS` fails, after `MS`
    /// milliseconds. A command without a number runs until it is stopped or its lease expires.
    ///
    /// # Panics
    ///
    /// Panics if the task already runs on some worker or the attempt was started before.
    fn start(
        &mut self,
        vm: &Name,
        epoch: u64,
        id: TaskId,
        spec: TaskSpec,
        lease: Duration,
    ) -> Verdict {
        let same = self.workers.values().flat_map(|w| w.running.keys());
        let mut same = same.filter(|t| (t.job, t.index) == (id.job, id.index));
        let other = same.next().copied();
        let worker = self.workers.get_mut(vm).expect("a listed worker");
        if worker.unresponsive {
            return Verdict::MayHaveRun;
        }
        if epoch < worker.epoch || worker.stopped.contains(&id) {
            return Verdict::NotRun;
        }
        assert_eq!(other, None, "{id:?} would run in two places");
        assert!(self.attempts.insert(id), "{id:?} was started before");
        worker.epoch = epoch;
        *self.starts.entry((id.job, id.index)).or_default() += 1;
        let ms = spec
            .command
            .split_once(':')
            .and_then(|(_, ms)| ms.parse().ok());
        let ends = ms.map(|ms| self.now + Duration::from_millis(ms));
        worker.running.insert(id, (spec, self.now + lease, ends));
        Verdict::Ran
    }

    /// Ends tasks that have completed or whose leases have expired.
    fn end_tasks(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            let completed = |t: &(TaskSpec, Time, Option<Time>)| t.2.is_some_and(|e| e <= now);
            let ended = worker.running.iter().filter(|(_, t)| completed(t));
            let ended: Vec<(TaskId, bool)> = ended
                .map(|(id, t)| (*id, !t.0.command.starts_with("fail")))
                .collect();
            worker.ended.extend(ended);
            worker.running.retain(|_, t| !completed(t) && t.1 > now);
        }
    }
}

/// Returns the specification of a job of team `hall`.
pub(crate) fn job_spec(profile: &str, count: u32, command: &str) -> Spec {
    Spec {
        team: Name::from("hall"),
        profile: Name::from(profile),
        count,
        size: Resources::default(),
        priority: 5,
        deadline_ms: 0,
        run_ms: 0,
        command: Name::from(command),
    }
}
