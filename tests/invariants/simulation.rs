//! The simulation of all processes, the log, the links and the workers, in virtual time.
//!
//! Virtual time is counted in microseconds. All random choices are drawn from
//! one generator, which the plan's seed determines.

use std::collections::BTreeMap;

use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::time::Time;
use monsoonnotch_core::timing::Timing;
use proptest::test_runner::TestCaseError;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::checker::Checker;
use crate::checker::Stats;
use crate::faults::Faults;
use crate::log::Log;
use crate::plan::FAULTS_END;
use crate::plan::Plan;
use crate::process::Process;
use crate::process::RATE_MAX;
use crate::process::RunState;
use crate::workers::Worker;

/// One millisecond, in microseconds.
pub(crate) const MS: u64 = 1_000;
/// Interval between ticks of a process, in microseconds.
const TICK_INTERVAL: u64 = 50 * MS;
/// Interval between reads of the platform's list of VMs by a process, in microseconds.
const LIST_INTERVAL: u64 = 1_000 * MS;
/// Mean interval between callers' requests to a process, in microseconds.
const CALL_INTERVAL: u64 = 150 * MS;
/// Names of the teams.
pub(crate) const TEAMS: [&str; 2] = ["hall", "road"];

/// An action that is scheduled for a later time.
///
/// A `usize` is the index of a process, worker or fault; a `u32` is the incarnation of the process
/// that the action belongs to.
#[derive(Debug)]
pub(crate) enum Action {
    /// A process handles a tick.
    Tick(usize),
    /// A process receives the platform's list of VMs.
    ListVms(usize),
    /// A caller's request arrives at a process.
    Call(usize),
    /// An event arrives at a process; it is dropped unless the process has this incarnation.
    ///
    /// The incarnation `u32::MAX` stands for any.
    Event(usize, u32, Box<Event>),
    /// A read of the control stream, sent at this time of the process's clock, arrives at the log.
    Read(usize, u32, Time, u64),
    /// An append takes effect.
    Append(Batch),
    /// A process checks whether its right to write a request has expired, and otherwise writes it.
    Write(usize, u32, CallKey, Name, Time),
    /// A request that a process wrote arrives at a worker.
    Received(usize, u32, CallKey, Name),
    /// A request ends on a worker; the `u64` is the identifier of the run.
    RunEnded(usize, u64),
    /// A fault begins.
    BeginFault(usize),
    /// A fault ends.
    EndFault(usize),
}

/// The state of the simulation.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) now: u64,
    /// Scheduled actions, by time and order of scheduling.
    queue: BTreeMap<(u64, u64), Action>,
    /// Number of actions scheduled so far.
    scheduled: u64,
    pub(crate) rng: StdRng,
    pub(crate) log: Log,
    pub(crate) processes: Vec<Process>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) faults: Faults,
    pub(crate) checker: Checker,
    /// Team of each request.
    pub(crate) teams: BTreeMap<CallKey, Name>,
    /// The member that granted a slot, by request and worker.
    ///
    /// The requesting process may have rejoined as another member by the time it writes.
    pub(crate) grants: BTreeMap<(CallKey, Name), MemberId>,
    /// The last identifier given to a request, a run or a ticket.
    pub(crate) last_id: u64,
}

impl Simulation {
    pub(crate) fn new(plan: &Plan) -> Self {
        let workers = (0..usize::from(plan.vms)).map(Worker::new).collect();
        let mut sim = Self {
            now: 0,
            queue: BTreeMap::new(),
            scheduled: 0,
            rng: StdRng::seed_from_u64(plan.seed),
            log: Log::default(),
            processes: Vec::new(),
            workers,
            faults: Faults::default(),
            checker: Checker::default(),
            teams: BTreeMap::new(),
            grants: BTreeMap::new(),
            last_id: 0,
        };
        for _ in 0..plan.members {
            sim.add_process();
        }
        sim
    }

    /// Runs a case: the faults of the plan, then a fault-free time for recovery.
    pub(crate) fn run(mut self, plan: &Plan) -> Result<Stats, TestCaseError> {
        self.prepare(plan);
        self.run_until(u64::from(FAULTS_END) * MS)?;
        self.end_faults();
        self.run_until(self.now + recovery_max(&Timing::default()))?;
        self.check_recovered()?;
        Ok(self.checker.stats)
    }

    /// Schedules the faults of a plan and publishes the first configuration.
    pub(crate) fn prepare(&mut self, plan: &Plan) {
        self.faults.planned = plan.faults.clone();
        for (n, s) in plan.faults.iter().enumerate() {
            let at = u64::from(s.at_ms) * MS;
            let end = (s.at_ms + s.for_ms).min(FAULTS_END - 1);
            self.schedule_at(at, Action::BeginFault(n));
            self.schedule_at(u64::from(end) * MS, Action::EndFault(n));
        }
        self.publish_config();
    }

    /// Runs the simulation until the time `end`; returns an error on the first violation.
    pub(crate) fn run_until(&mut self, end: u64) -> Result<(), TestCaseError> {
        while let Some(((at, _), action)) = self.next_before(end) {
            self.now = at;
            self.handle(action);
            if let Some(violation) = self.checker.violation.take() {
                let at = self.now / MS;
                return Err(TestCaseError::fail(format!("at {at} ms: {violation}")));
            }
        }
        self.now = end;
        Ok(())
    }

    /// Removes and returns the next action; `None` if none is scheduled before `end`.
    fn next_before(&mut self, end: u64) -> Option<((u64, u64), Action)> {
        let (at, _) = *self.queue.keys().next()?;
        (at < end).then(|| self.queue.pop_first()).flatten()
    }

    pub(crate) fn schedule_at(&mut self, at: u64, action: Action) {
        self.scheduled += 1;
        self.queue.insert((at, self.scheduled), action);
    }

    pub(crate) fn schedule_after(&mut self, wait: u64, action: Action) {
        self.schedule_at(self.now + wait, action);
    }

    /// Adds a process and returns its index.
    pub(crate) fn add_process(&mut self) -> usize {
        let n = self.processes.len();
        let addr = format!("{n}");
        let process = self.new_process(n, addr.into());
        self.processes.push(process);
        let delay = self.random(TICK_INTERVAL);
        self.schedule_after(delay, Action::Tick(n));
        self.schedule_after(delay, Action::ListVms(n));
        self.schedule_after(delay, Action::Call(n));
        n
    }

    /// Returns a process with a random clock and member identifier.
    pub(crate) fn new_process(&mut self, n: usize, addr: Name) -> Process {
        let rate = self.rng.random_range(-RATE_MAX..=RATE_MAX);
        let base = self.random(1_000_000 * MS);
        let me = MemberId(self.rng.next_u64());
        Process::new(n, addr, self.now, base, rate, me)
    }

    /// Returns a random number below `below`, or zero if `below` is zero.
    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below.max(1))
    }

    /// Returns `true` with a probability of `percent` per cent.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.random(100) < percent
    }

    fn handle(&mut self, action: Action) {
        if let Some(resumed) = self.paused_until(&action) {
            return self.schedule_at(resumed, action);
        }
        match action {
            Action::Tick(n) => {
                self.schedule_after(TICK_INTERVAL, Action::Tick(n));
                self.step(n, Event::Tick);
                self.observe(n);
            }
            Action::ListVms(n) => {
                self.schedule_after(LIST_INTERVAL, Action::ListVms(n));
                let list = self.workers.iter().map(|w| w.info.clone()).collect();
                self.step(n, Event::Vms(list));
            }
            Action::Call(n) => {
                let wait = CALL_INTERVAL / 2 + self.random(CALL_INTERVAL);
                self.schedule_after(wait, Action::Call(n));
                // A request with an unknown outcome is settled only when its worker is idle, so no
                // requests arrive during the recovery.
                if !self.faults.ended {
                    self.send_request(n);
                }
            }
            Action::Event(n, incarnation, ev) => {
                if incarnation == u32::MAX || self.processes[n].incarnation == incarnation {
                    self.step(n, *ev);
                }
            }
            Action::Read(n, incarnation, asked, from) => self.read(n, incarnation, asked, from),
            Action::Append(batch) => self.append(batch),
            Action::Write(n, incarnation, call, addr, until) => {
                self.check_and_write(n, incarnation, call, addr, until)
            }
            Action::Received(n, incarnation, call, addr) => {
                self.receive_request(n, incarnation, call, &addr)
            }
            Action::RunEnded(vm, id) => self.end_run(vm, id),
            Action::BeginFault(n) => self.begin_fault(n),
            Action::EndFault(n) => self.end_fault(n),
        }
    }

    /// Returns when the paused process of an action resumes; `None` if it is not paused.
    fn paused_until(&self, action: &Action) -> Option<u64> {
        match action {
            Action::Tick(n) | Action::ListVms(n) | Action::Call(n) => {
                Some(self.processes[*n].paused)
            }
            Action::Event(n, ..) | Action::Write(n, ..) => Some(self.processes[*n].paused),
            _ => None,
        }
        .filter(|resumed| *resumed > self.now)
    }

    /// Lets a process handle an event and executes the effects.
    pub(crate) fn step(&mut self, n: usize, ev: Event) {
        let p = &mut self.processes[n];
        if p.run_state == RunState::Down {
            return;
        }
        self.checker.stats.steps += 1;
        let clock = p.clock(self.now);
        let effects = p.control.step(clock, ev);
        for effect in effects {
            self.execute(n, effect);
        }
    }
}

/// Returns the maximum time from the end of the last fault until every holding has a holder.
///
/// A member that died when the faults ended may be a guard of others that died, so that their
/// evictions happen one after the other. The time therefore allows for three takeovers.
pub(crate) fn recovery_max(t: &Timing) -> u64 {
    t.takeover_max().times(3).0
}
