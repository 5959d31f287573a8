//! Several reducers joined by a queue, with a log and workers, in virtual time.

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

/// Pause between two ticks, and the delay of every message.
const TICK: Duration = Duration::from_millis(10);

/// A worker that checks that no task runs twice at once.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub(crate) dark: bool,
    epoch: u64,
    running: BTreeMap<TaskId, (TaskSpec, Time, Option<Time>)>,
    ended: BTreeMap<TaskId, bool>,
    stopped: BTreeSet<TaskId>,
}

/// Whether a message between two members is lost.
pub(crate) type Loses = Box<dyn FnMut(MemberId, MemberId, &PeerMsg) -> bool>;

/// A cell of reducers.
pub(crate) struct Cell {
    pub(crate) now: Time,
    pub(crate) members: BTreeMap<MemberId, Control>,
    pub(crate) paused: BTreeSet<MemberId>,
    pub(crate) log: Vec<Batch>,
    pub(crate) journals: BTreeMap<MemberId, Vec<(Time, Vec<JournalEntry>)>>,
    pub(crate) log_dark: bool,
    /// Journal appends take effect and their replies are lost.
    pub(crate) lose_replies: bool,
    pub(crate) workers: BTreeMap<Name, Worker>,
    pub(crate) loses: Loses,
    pub(crate) dispatched: Vec<(MemberId, CallKey)>,
    pub(crate) refused: Vec<(Time, MemberId, CallKey, Refusal)>,
    answers: BTreeMap<(MemberId, Ticket), Answer>,
    /// Starts of each task, whatever the attempt.
    pub(crate) starts: BTreeMap<(JobId, u32), u32>,
    queue: BTreeMap<(Time, u64), (MemberId, Event)>,
    /// What reached members while they were paused.
    held: Vec<(MemberId, Event)>,
    sent: u64,
    tickets: u64,
    pub(crate) attempts: BTreeSet<TaskId>,
}

impl Cell {
    /// `n` members and `vms` workers of eight slots, settled, with team `hall`.
    pub(crate) fn new(n: u64, vms: usize) -> Self {
        let mut cell = Self {
            now: Time(1),
            members: BTreeMap::new(),
            paused: BTreeSet::new(),
            log: Vec::new(),
            journals: BTreeMap::new(),
            log_dark: false,
            lose_replies: false,
            workers: BTreeMap::new(),
            loses: Box::new(|_, _, _| false),
            dispatched: Vec::new(),
            refused: Vec::new(),
            answers: BTreeMap::new(),
            starts: BTreeMap::new(),
            queue: BTreeMap::new(),
            held: Vec::new(),
            sent: 0,
            tickets: 0,
            attempts: BTreeSet::new(),
        };
        for i in 0..vms {
            let name = Name::from(format!("vm-{i}"));
            cell.workers.insert(name, Worker::default());
        }
        for m in 1..=n {
            cell.join(MemberId(m));
        }
        cell.run(4_000);
        cell.configure();
        cell.run(8_000);
        cell
    }

    /// Adds a member.
    pub(crate) fn join(&mut self, me: MemberId) {
        let settings = Settings {
            me,
            domain: Name::from(format!("fd-{}", me.0 % 3)),
            addr: Name::from(format!("127.0.0.1:{}", me.0)),
            timing: Timing::default(),
            queue_max: 1_000,
            snapshot_every: 1_000_000,
            policy: Policy::default(),
        };
        self.members.insert(me, Control::new(settings));
        let list = self.list();
        self.step(me, Event::Vms(list));
    }

    /// Ends a member as if its process had been killed.
    pub(crate) fn kill(&mut self, m: MemberId) {
        self.members.remove(&m);
    }

    /// Lets a paused member go on with what reached it meanwhile.
    pub(crate) fn wake(&mut self, m: MemberId) {
        self.paused.remove(&m);
        for (to, ev) in std::mem::take(&mut self.held) {
            self.step(to, ev);
        }
    }

    /// Sends a caller's request with an idempotency key to a member.
    pub(crate) fn deposit(&mut self, m: MemberId, call: u64, key: &str, digest: u64) {
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

    /// The request was answered in full by its upstream.
    pub(crate) fn complete(&mut self, m: MemberId, call: u64) {
        let call = CallKey(call);
        let outcome = CallOutcome::Complete;
        self.step(m, Event::CallEnded { call, outcome });
    }

    /// How often a request was dispatched.
    pub(crate) fn dispatches(&self, call: u64) -> usize {
        let all = self.dispatched.iter();
        all.filter(|(_, c)| *c == CallKey(call)).count()
    }

    /// The final answer of a request that was refused.
    pub(crate) fn refusal(&self, call: u64) -> Option<Refusal> {
        let mut all = self.refused.iter();
        let found = all.find(|(_, _, c, _)| *c == CallKey(call));
        found.map(|(_, _, _, r)| *r)
    }

    /// Drops the journals' appends from before a time, as the platform does.
    pub(crate) fn trim_journals(&mut self, before: Time) {
        for journal in self.journals.values_mut() {
            journal.retain(|(at, _)| *at >= before);
        }
    }

    /// Runs for some milliseconds.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + TICK;
            while let Some((key, _)) = self.queue.first_key_value() {
                if key.0 > self.now {
                    break;
                }
                let (_, (m, ev)) = self.queue.pop_first().expect("just seen");
                self.step(m, ev);
            }
            self.work();
            let members: Vec<MemberId> = self.members.keys().copied().collect();
            for m in members {
                self.step(m, Event::Tick);
            }
        }
    }

    /// Runs until `f` holds; panics after a minute of virtual time.
    pub(crate) fn until(&mut self, what: &str, mut f: impl FnMut(&mut Self) -> bool) {
        for _ in 0..600 {
            if f(self) {
                return;
            }
            self.run(100);
        }
        panic!("not within a minute: {what}");
    }

    /// Hands an event to a member, unless it is paused or gone.
    pub(crate) fn step(&mut self, m: MemberId, ev: Event) {
        if self.paused.contains(&m) {
            if ev != Event::Tick {
                self.held.push((m, ev));
            }
            return;
        }
        let Some(control) = self.members.get_mut(&m) else {
            return;
        };
        for effect in control.step(self.now, ev) {
            self.effect(m, effect);
        }
    }

    /// Asks a member something and waits for the answer.
    pub(crate) fn ask(&mut self, m: MemberId, make: impl Fn(Ticket) -> Event) -> Answer {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.step(m, make(ticket));
        for _ in 0..1_000 {
            if let Some(answer) = self.answers.remove(&(m, ticket)) {
                return answer;
            }
            self.run(10);
        }
        panic!("no answer");
    }

    /// Submits a job, which must be accepted.
    pub(crate) fn submit(
        &mut self,
        m: MemberId,
        profile: &str,
        count: u32,
        command: &str,
    ) -> JobId {
        let spec = spec(profile, count, command);
        let answer = self.ask(m, |ticket| Event::Submit {
            ticket,
            key: None,
            spec: spec.clone(),
        });
        match answer {
            Answer::Job(JobAnswer::Status(s)) => s.id.parse().expect("an identifier"),
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Asks about a job; `None` when there is no status.
    pub(crate) fn status(&mut self, m: MemberId, job: JobId) -> Option<Status> {
        let ask = JobRequest::Show { team: None, job };
        self.job(m, ask)
    }

    /// Cancels a job.
    pub(crate) fn cancel(&mut self, m: MemberId, job: JobId) -> Option<Status> {
        let ask = JobRequest::Cancel { team: None, job };
        self.job(m, ask)
    }

    /// Tasks that run on all workers.
    pub(crate) fn running(&self) -> usize {
        self.workers.values().map(|w| w.running.len()).sum()
    }

    /// Tasks that run on one worker.
    pub(crate) fn tasks_on(&self, vm: &Name) -> usize {
        self.workers[vm].running.len()
    }

    /// The worker with the most tasks.
    pub(crate) fn busiest(&self) -> Name {
        let most = self.workers.iter().max_by_key(|(_, w)| w.running.len());
        most.expect("a worker").0.clone()
    }

    fn job(&mut self, m: MemberId, ask: JobRequest) -> Option<Status> {
        let answer = self.ask(m, |ticket| Event::Job {
            ticket,
            key: None,
            request: ask.clone(),
        });
        match answer {
            Answer::Job(JobAnswer::Status(s)) => Some(s),
            _ => None,
        }
    }

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
        let mut sets = vec![Setting::Team(Name::from("hall"), team)];
        for (name, lane) in lanes {
            let mut profile = Profile {
                lane,
                ..Profile::default()
            };
            if lane != Lane::Short {
                profile.size = Resources::one_task();
            }
            sets.push(Setting::Profile(Name::from(name), profile));
        }
        let key = monsoonnotch_core::config::TeamKey {
            team: Name::from("hall"),
            hash: monsoonnotch_core::config::KeyHash::of("secret"),
            withdrawn: false,
        };
        sets.push(Setting::Key(Name::from("k"), key));
        for set in sets {
            let change = Change::new(NO_VERSION, set);
            self.ask(MemberId(1), |ticket| Event::Change {
                ticket,
                change: change.clone(),
            });
        }
    }

    /// The platform's list of VMs.
    pub(crate) fn list(&self) -> Vec<VmInfo> {
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

    fn later(&mut self, m: MemberId, ev: Event) {
        self.sent += 1;
        self.queue.insert((self.now + TICK, self.sent), (m, ev));
    }

    fn effect(&mut self, m: MemberId, effect: Effect) {
        match effect {
            Effect::Read { .. } | Effect::Append { .. } | Effect::Journal { .. }
                if self.log_dark =>
            {
                let stream = match effect {
                    Effect::Journal { .. } => Stream::Journal(m),
                    _ => Stream::Control,
                };
                self.later(m, Event::LogFailed(stream));
            }
            Effect::Read { from } => {
                let reply = self.page(from);
                self.later(m, Event::Read(reply));
            }
            Effect::Append { token, batch } => {
                self.log.push(batch);
                let stream = Stream::Control;
                self.later(m, Event::Appended { stream, token });
            }
            Effect::Journal { token, entries } => {
                let now = self.now;
                self.journals.entry(m).or_default().push((now, entries));
                let stream = Stream::Journal(m);
                let ev = match self.lose_replies {
                    true => Event::LogFailed(stream),
                    false => Event::Appended { stream, token },
                };
                self.later(m, ev);
            }
            Effect::ReadJournal(member) => {
                let ev = match self.log_dark {
                    true => Event::LogFailed(Stream::Journal(member)),
                    false => {
                        let batches = self.journals.get(&member).cloned();
                        let batches = batches.unwrap_or_default().into_iter();
                        let entries = batches.flat_map(|(_, entries)| entries).collect();
                        Event::Journal { member, entries }
                    }
                };
                self.later(m, ev);
            }
            Effect::Send { to, msg } => {
                if !(self.loses)(m, to.member, &msg) {
                    let (from, to) = (m, to.member);
                    self.later(to, Event::Peer { from, to, msg });
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
                self.later(m, Event::TaskStarted { vm, task, verdict });
            }
            Effect::Dispatch { call, .. } => self.dispatched.push((m, call)),
            Effect::Refuse { call, refusal } => self.refused.push((self.now, m, call, refusal)),
            Effect::Answer { ticket, answer } => drop(self.answers.insert((m, ticket), answer)),
            Effect::Log(_) | Effect::Ready(_) => {}
            Effect::Stopped => drop(self.members.remove(&m)),
        }
    }

    fn page(&self, from: u64) -> ReadReply {
        let batches = (0..).zip(&self.log);
        let batches = batches.skip(usize::try_from(from).unwrap_or(usize::MAX));
        ReadReply {
            asked: self.now,
            first: 0,
            tail: self.log.len() as u64,
            batches: batches.map(|(i, b)| (i, Some(b.clone()))).collect(),
        }
    }

    fn sync(&mut self, m: MemberId, sync: Sync) {
        let vm = sync.vm.clone();
        let asked = self.now;
        let worker = self.workers.get_mut(&vm).expect("a worker of the list");
        if worker.dark || sync.epoch < worker.epoch {
            return self.later(m, Event::SyncFailed { vm });
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
            ended: worker.ended.iter().map(|(id, well)| (*id, *well)).collect(),
        };
        self.later(m, Event::Synced { vm, asked, report });
    }

    fn start(
        &mut self,
        vm: &Name,
        epoch: u64,
        id: TaskId,
        spec: TaskSpec,
        lease: Duration,
    ) -> Verdict {
        let twice = self.workers.values().flat_map(|w| w.running.keys());
        let mut twice = twice.filter(|t| (t.job, t.index) == (id.job, id.index));
        let other = twice.next().copied();
        let worker = self.workers.get_mut(vm).expect("a worker of the list");
        if worker.dark {
            return Verdict::MayHaveRun;
        }
        if epoch < worker.epoch || worker.stopped.contains(&id) {
            return Verdict::NotRun;
        }
        assert_eq!(other, None, "{id:?} runs in two places");
        assert!(self.attempts.insert(id), "{id:?} was used before");
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

    /// Ends tasks that are done or whose leases have lapsed.
    fn work(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            let over = |t: &(TaskSpec, Time, Option<Time>)| t.2.is_some_and(|e| e <= now);
            let ended = worker.running.iter().filter(|(_, t)| over(t));
            let ended: Vec<(TaskId, bool)> = ended
                .map(|(id, t)| (*id, !t.0.command.starts_with("fail")))
                .collect();
            worker.ended.extend(ended);
            worker.running.retain(|_, t| !over(t) && t.1 > now);
        }
    }
}

/// A job of team `hall`.
pub(crate) fn spec(profile: &str, count: u32, command: &str) -> Spec {
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
