//! A discrete-event simulation of a cluster: the core's state machines in one process.
//!
//! An in-process log and messages with the site's one-way latency connect the members.

use std::collections::BTreeMap;
use std::time::Instant;

use monsoonnotch_core::config::Change;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::config::Lane;
use monsoonnotch_core::config::NO_VERSION;
use monsoonnotch_core::config::Profile;
use monsoonnotch_core::config::Setting;
use monsoonnotch_core::config::TeamKey;
use monsoonnotch_core::event::CallArrived;
use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::event::KeyProof;
use monsoonnotch_core::event::ReadReply;
use monsoonnotch_core::event::Report;
use monsoonnotch_core::event::RunningTask;
use monsoonnotch_core::event::VmInfo;
use monsoonnotch_core::job::Spec;
use monsoonnotch_core::prelude::*;
use monsoonnotch_core::record;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::record::Stream;
use monsoonnotch_core::reducer::Policy;
use monsoonnotch_core::reducer::Settings;
use monsoonnotch_core::timing::Timing;

use crate::tally::Tally;
use crate::workload::Arrival;
use crate::workload::DOMAINS;
use crate::workload::END_US;
use crate::workload::SECOND_US;
use crate::workload::Site;
use crate::workload::TEAMS;
use crate::workload::WARM_UP_US;
use crate::workload::WORKERS;
use crate::workload::WORKERS_PER_RACK;

/// Time for members to join and claim their holdings before the first arrival, in microseconds.
const SETUP_US: u64 = 8 * SECOND_US;
/// Interval between a member's ticks, in microseconds.
const TICK_US: u64 = 10_000;
/// Time of one request to the log and its response, in microseconds.
const LOG_US: u64 = 4_000;
/// Interval between two samples of the free slots, in microseconds.
const SAMPLE_US: u64 = SECOND_US / 10;
/// Maximum number of requests that wait at one entry.
const QUEUE_MAX: usize = 20_000;

/// An event of the simulation.
#[derive(Debug)]
enum SimEvent {
    /// A member receives an event.
    Event(usize, Event),
    /// A member ticks.
    Tick(usize),
    /// The arrival with this index occurs.
    Arrive(usize),
    /// A request that a member dispatched ends.
    CallEnd(usize, CallKey),
    /// A task ends on a worker.
    TaskEnd(usize, TaskId),
    /// The free slots are sampled.
    Sample,
}

/// A task on a worker.
#[derive(Debug)]
struct Running {
    team: Name,
    size: Resources,
    /// Index of the job's arrival.
    arrival: usize,
    /// Start of the task, in simulated microseconds.
    from: u64,
}

/// The state of a worker.
#[derive(Debug, Default)]
struct Worker {
    requests: u32,
    running: BTreeMap<TaskId, Running>,
    ended: BTreeMap<TaskId, bool>,
}

/// The state of the simulation.
#[derive(Debug)]
struct Simulation<'a> {
    site: &'a Site,
    arrivals: &'a [Arrival],
    members: Vec<Control>,
    /// Scheduled events by time and sequence number.
    events: BTreeMap<(u64, u64), SimEvent>,
    seq: u64,
    now: u64,
    log: Vec<Batch>,
    workers: Vec<Worker>,
    /// Requests in progress: index of the arrival, index of the worker, and start.
    calls: BTreeMap<CallKey, (usize, usize, u64)>,
    tally: Tally,
}

/// Simulates `entries` members on the arrivals and returns the measurements.
pub(crate) fn run(site: &Site, arrivals: &[Arrival], entries: usize, policy: Policy) -> Tally {
    let mut simulation = Simulation {
        site,
        arrivals,
        members: (0..entries).map(|i| member(i, policy)).collect(),
        events: BTreeMap::new(),
        seq: 0,
        now: 0,
        log: Vec::new(),
        workers: (0..WORKERS).map(|_| Worker::default()).collect(),
        calls: BTreeMap::new(),
        tally: Tally::new(site),
    };
    simulation.set_up();
    simulation.run();
    simulation.tally
}

fn member(i: usize, policy: Policy) -> Control {
    Control::new(Settings {
        me: MemberId(i as u64 + 1),
        domain: domain(i),
        addr: Name::new(format!("10.0.0.{i}:1")),
        timing: Timing::default(),
        queue_max: QUEUE_MAX,
        jobs_memory: u64::MAX,
        snapshot_every: 1_000,
        policy,
    })
}

fn domain(i: usize) -> Name {
    Name::new(format!("domain-{}", i % DOMAINS))
}

fn vm_name(i: usize) -> Name {
    Name::new(format!("vm-{i}"))
}

fn vm_index(addr: &str) -> usize {
    let (_, i) = addr.rsplit_once('-').expect("every worker has a number");
    i.parse().expect("every worker has a number")
}

impl Simulation<'_> {
    fn set_up(&mut self) {
        for m in 0..self.members.len() {
            self.schedule(m as u64 * 1_000, SimEvent::Tick(m));
            let list = self.vm_list();
            self.schedule(10_000, SimEvent::Event(m, Event::Vms(list)));
        }
        let settings = self.settings();
        for (i, set) in (0..).zip(settings) {
            let change = Change::new(NO_VERSION, set);
            let ticket = Ticket(i);
            let ev = Event::Change { ticket, change };
            self.schedule(SECOND_US + i * 50_000, SimEvent::Event(0, ev));
        }
        if !self.arrivals.is_empty() {
            self.schedule(SETUP_US + self.arrivals[0].at, SimEvent::Arrive(0));
        }
        self.schedule(SETUP_US + WARM_UP_US, SimEvent::Sample);
    }

    fn vm_list(&self) -> Vec<VmInfo> {
        let vm = |i| VmInfo {
            name: vm_name(i),
            addr: vm_name(i),
            domain: domain(i / WORKERS_PER_RACK),
            rack: Name::new(format!("rack-{}", i / WORKERS_PER_RACK)),
            total: self.site.worker,
            leaving: false,
        };
        (0..WORKERS).map(vm).collect()
    }

    fn settings(&self) -> Vec<Setting> {
        let mut all = Vec::new();
        for t in &TEAMS {
            let team = monsoonnotch_core::config::Team {
                account: Name::new(t.name),
                share: t.share,
                limit: 2_400,
            };
            all.push(Setting::Team(Name::new(t.name), team));
        }
        for t in &TEAMS {
            let key = TeamKey {
                team: Name::new(t.name),
                hash: KeyHash::of(t.name),
                withdrawn: false,
            };
            all.push(Setting::Key(Name::new(t.name), key));
        }
        for k in self.site.kinds {
            let profile = Profile {
                lane: k.lane,
                priority: k.priority,
                size: k.size,
                max_wait_ms: k.max_wait_ms,
                timeout_ms: 600_000,
                ..Profile::default()
            };
            all.push(Setting::Profile(Name::new(k.name), profile));
        }
        all
    }

    fn schedule(&mut self, t: u64, event: SimEvent) {
        self.seq += 1;
        self.events.insert((t, self.seq), event);
    }

    fn run(&mut self) {
        while let Some(((t, _), event)) = self.events.pop_first() {
            self.now = t;
            if t >= SETUP_US + END_US {
                break;
            }
            self.handle(event);
        }
        for (a, _, from) in std::mem::take(&mut self.calls).into_values() {
            self.record_run(a, from, SETUP_US + END_US);
        }
        for w in std::mem::take(&mut self.workers) {
            for r in w.running.into_values() {
                self.record_run(r.arrival, r.from, SETUP_US + END_US);
            }
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Event(m, ev) => self.step(m, ev),
            SimEvent::Tick(m) => {
                self.schedule(self.now + TICK_US, SimEvent::Tick(m));
                self.step(m, Event::Tick);
            }
            SimEvent::Arrive(i) => self.arrive(i),
            SimEvent::CallEnd(m, call) => self.end_call(m, call),
            SimEvent::TaskEnd(w, id) => self.end_task(w, id),
            SimEvent::Sample => self.sample(),
        }
    }

    fn step(&mut self, m: usize, ev: Event) {
        let begun = Instant::now();
        let effects = self.members[m].step(Time(self.now), ev);
        if self.now >= SETUP_US + WARM_UP_US {
            self.tally.control.0 += begun.elapsed().as_micros() as u64;
            self.tally.control.1 += 1;
        }
        for e in effects {
            self.execute_effect(m, e);
        }
    }

    fn execute_effect(&mut self, m: usize, e: Effect) {
        let hop = self.now + self.site.link_us;
        match e {
            Effect::Read { from } => self.read(m, from),
            Effect::Append { token, batch } => {
                if self.now >= SETUP_US + WARM_UP_US {
                    self.tally.log_bytes += record::encode(&batch).len() as u64;
                }
                self.log.push(batch);
                let stream = Stream::Control;
                let ev = Event::Appended { stream, token };
                self.schedule(self.now + LOG_US, SimEvent::Event(m, ev));
            }
            Effect::Journal { token, .. } => {
                let stream = Stream::Journal(MemberId(m as u64 + 1));
                let ev = Event::Appended { stream, token };
                self.schedule(self.now + LOG_US, SimEvent::Event(m, ev));
            }
            Effect::Send { to, msg } => {
                if self.now >= SETUP_US + WARM_UP_US {
                    self.tally.count_message(&msg);
                }
                let from = MemberId(m as u64 + 1);
                let to = to.member;
                let ev = Event::Peer { from, to, msg };
                self.schedule(hop, SimEvent::Event(to.0 as usize - 1, ev));
            }
            Effect::Sync(sync) => self.sync(m, sync),
            Effect::StartTask { vm, task, spec, .. } => self.start_task(m, &vm, task, spec),
            Effect::Dispatch { call, addr, .. } => self.dispatch(m, call, &addr),
            Effect::Refuse { call, .. } => {
                let a = self.arrivals[call.0 as usize];
                self.tally.record_refusal(&a);
            }
            Effect::Answer { ticket, answer } => self.answer(ticket, answer),
            _ => {}
        }
    }

    fn read(&mut self, m: usize, from: u64) {
        let skip = from as usize;
        let batches = (from..).zip(self.log[skip..].iter().cloned().map(Some));
        let reply = ReadReply {
            asked: Time(self.now),
            first: 0,
            tail: self.log.len() as u64,
            batches: batches.collect(),
        };
        self.schedule(self.now + LOG_US, SimEvent::Event(m, Event::Read(reply)));
    }

    fn arrive(&mut self, i: usize) {
        let a = self.arrivals[i];
        if let Some(next) = self.arrivals.get(i + 1) {
            self.schedule(SETUP_US + next.at, SimEvent::Arrive(i + 1));
        }
        self.tally.record_arrival(self.site, &a);
        let k = &self.site.kinds[a.kind];
        let team = TEAMS[a.team].name;
        let key = Some(KeyProof {
            id: Name::new(team),
            hash: KeyHash::of(team),
        });
        let ev = match k.lane {
            Lane::Short => Event::Call(CallArrived {
                call: CallKey(i as u64),
                key,
                profile: Name::new(k.name),
                idem: k.keyed.then(|| Name::new(format!("key-{i}"))),
                digest: i as u64,
                deadline: None,
            }),
            _ => Event::Submit {
                ticket: Ticket(1_000 + i as u64),
                key,
                spec: Spec {
                    team: Name::new(team),
                    profile: Name::new(k.name),
                    count: k.count,
                    size: k.size,
                    priority: k.priority,
                    deadline_ms: 0,
                    run_ms: k.mean_ms,
                    command: Name::new(format!("{i}")),
                },
            },
        };
        self.step(a.entry % self.members.len(), ev);
    }

    fn dispatch(&mut self, m: usize, call: CallKey, addr: &str) {
        let i = call.0 as usize;
        let a = self.arrivals[i];
        let w = vm_index(addr);
        self.tally.record_start(&a, self.now - SETUP_US);
        self.workers[w].requests += 1;
        self.calls.insert(call, (i, w, self.now));
        self.schedule(self.now + a.run_us, SimEvent::CallEnd(m, call));
    }

    fn end_call(&mut self, m: usize, call: CallKey) {
        let (i, w, from) = self.calls.remove(&call).expect("the request runs");
        self.workers[w].requests -= 1;
        self.record_run(i, from, self.now);
        let outcome = CallOutcome::Complete;
        self.step(m, Event::CallEnded { call, outcome });
    }

    fn record_run(&mut self, i: usize, from: u64, to: u64) {
        let a = self.arrivals[i];
        let from = from.saturating_sub(SETUP_US);
        self.tally
            .record_run(self.site, a.kind, a.team, from, to - SETUP_US);
    }

    fn start_task(
        &mut self,
        m: usize,
        vm: &Name,
        task: TaskId,
        spec: monsoonnotch_core::job::TaskSpec,
    ) {
        let i: usize = spec
            .command
            .parse()
            .expect("the command names the submission");
        let w = vm_index(vm);
        let a = self.arrivals[i];
        if task.attempt == 1 || !self.workers[w].running.contains_key(&task) {
            self.tally.record_start(&a, self.now - SETUP_US);
        }
        let running = Running {
            team: spec.team,
            size: spec.size,
            arrival: i,
            from: self.now,
        };
        self.workers[w].running.insert(task, running);
        self.schedule(self.now + a.run_us, SimEvent::TaskEnd(w, task));
        let vm = vm.clone();
        let verdict = Verdict::Ran;
        let ev = Event::TaskStarted { vm, task, verdict };
        self.schedule(self.now + 2 * self.site.link_us, SimEvent::Event(m, ev));
    }

    fn end_task(&mut self, w: usize, id: TaskId) {
        if let Some(r) = self.workers[w].running.remove(&id) {
            self.workers[w].ended.insert(id, true);
            self.record_run(r.arrival, r.from, self.now);
        }
    }

    fn sync(&mut self, m: usize, sync: monsoonnotch_core::effect::Sync) {
        let w = &mut self.workers[vm_index(&sync.vm)];
        for id in &sync.acknowledge {
            w.ended.remove(id);
        }
        let running = w.running.iter().map(|(id, r)| RunningTask {
            id: *id,
            team: r.team.clone(),
            size: r.size,
        });
        let report = Report {
            age_ms: 0,
            requests: w.requests,
            running: running.collect(),
            ended: w
                .ended
                .iter()
                .map(|(id, succeeded)| (*id, *succeeded))
                .collect(),
        };
        let ev = Event::Synced {
            vm: sync.vm,
            asked: Time(self.now),
            report,
        };
        self.schedule(self.now + 2 * self.site.link_us, SimEvent::Event(m, ev));
    }

    fn answer(&mut self, ticket: Ticket, answer: monsoonnotch_core::effect::Answer) {
        use monsoonnotch_core::effect::Answer;
        match answer {
            Answer::Refused(_) if ticket.0 >= 1_000 => {
                let a = self.arrivals[(ticket.0 - 1_000) as usize];
                self.tally.record_refusal(&a);
            }
            Answer::Change(o) => {
                let applied = matches!(o, monsoonnotch_core::config::ChangeOutcome::Applied(_));
                assert!(applied, "a setting was not applied: {o:?}");
            }
            _ => {}
        }
    }

    fn sample(&mut self) {
        self.schedule(self.now + SAMPLE_US, SimEvent::Sample);
        let held = self.members.iter().flat_map(|m| m.fleet().held());
        let free: Vec<u64> = held.map(|(_, vm)| vm.free().slots).collect();
        self.tally.free.push(free.iter().sum());
        self.tally.largest.push(free.into_iter().max().unwrap_or(0));
    }
}
