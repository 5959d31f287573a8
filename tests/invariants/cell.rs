//! All processes, the log, the links and the workers, in virtual time.

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

use crate::faults::Faults;
use crate::log::Log;
use crate::plan::FAULTS_END;
use crate::plan::Plan;
use crate::process::Life;
use crate::process::Process;
use crate::process::RATE_MAX;
use crate::witness::Figures;
use crate::witness::Witness;
use crate::workers::Worker;

/// A millisecond in the unit of virtual time.
pub(crate) const MS: u64 = 1_000;
/// Pause between ticks of a process.
const TICK: u64 = 50 * MS;
/// Pause between looks at the platform's list.
const LIST: u64 = 1_000 * MS;
/// Pause between requests that reach a process.
const CALLS: u64 = 150 * MS;
/// Teams of the cell.
pub(crate) const TEAMS: [&str; 2] = ["hall", "road"];

/// Something that is to happen.
#[derive(Debug)]
pub(crate) enum Due {
    /// A process turns to its timers.
    Tick(usize),
    /// A process looks at the list.
    List(usize),
    /// A request reaches a process.
    Call(usize),
    /// An event reaches a process, if it has not been started anew since.
    Event(usize, u32, Box<Event>),
    /// A read reaches the log.
    Read(usize, u32, Time, u64),
    /// An append takes effect.
    Append(Batch),
    /// A process is about to write a request to an upstream.
    Write(usize, u32, CallKey, Name, Time),
    /// A request that was written reaches a worker.
    Written(usize, u32, CallKey, Name),
    /// A request ends on a worker.
    Ends(usize, u64),
    /// A fault begins.
    Begin(usize),
    /// A fault ends.
    End(usize),
}

/// The whole.
#[derive(Debug)]
pub(crate) struct Cell {
    pub(crate) now: u64,
    queue: BTreeMap<(u64, u64), Due>,
    count: u64,
    pub(crate) rng: StdRng,
    pub(crate) log: Log,
    pub(crate) processes: Vec<Process>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) faults: Faults,
    pub(crate) witness: Witness,
    /// Team of each request.
    pub(crate) teams: BTreeMap<CallKey, Name>,
    /// Slots granted: who granted, by request and worker.
    ///
    /// The asking process may have become another member by the time it writes.
    pub(crate) grants: BTreeMap<(CallKey, Name), MemberId>,
    pub(crate) last_id: u64,
}

impl Cell {
    pub(crate) fn new(plan: &Plan) -> Self {
        let workers = (0..usize::from(plan.vms)).map(Worker::new).collect();
        let mut cell = Self {
            now: 0,
            queue: BTreeMap::new(),
            count: 0,
            rng: StdRng::seed_from_u64(plan.seed),
            log: Log::default(),
            processes: Vec::new(),
            workers,
            faults: Faults::default(),
            witness: Witness::default(),
            teams: BTreeMap::new(),
            grants: BTreeMap::new(),
            last_id: 0,
        };
        for _ in 0..plan.members {
            cell.add_process();
        }
        cell
    }

    /// Runs a case to its end.
    pub(crate) fn run(mut self, plan: &Plan) -> Result<Figures, TestCaseError> {
        self.plan(plan);
        self.run_until(u64::from(FAULTS_END) * MS)?;
        self.heal();
        self.run_until(self.now + bound(&Timing::default()))?;
        self.check_recovered()?;
        Ok(self.witness.figures)
    }

    pub(crate) fn plan(&mut self, plan: &Plan) {
        self.faults.steps = plan.steps.clone();
        for (n, s) in plan.steps.iter().enumerate() {
            let at = u64::from(s.at_ms) * MS;
            let end = (s.at_ms + s.for_ms).min(FAULTS_END - 1);
            self.at(at, Due::Begin(n));
            self.at(u64::from(end) * MS, Due::End(n));
        }
        self.publish();
    }

    pub(crate) fn run_until(&mut self, end: u64) -> Result<(), TestCaseError> {
        while let Some(((at, _), due)) = self.next_before(end) {
            self.now = at;
            self.happen(due);
            if let Some(what) = self.witness.broken.take() {
                let at = self.now / MS;
                return Err(TestCaseError::fail(format!("at {at} ms: {what}")));
            }
        }
        self.now = end;
        Ok(())
    }

    fn next_before(&mut self, end: u64) -> Option<((u64, u64), Due)> {
        let (at, _) = *self.queue.keys().next()?;
        (at < end).then(|| self.queue.pop_first()).flatten()
    }

    pub(crate) fn at(&mut self, at: u64, due: Due) {
        self.count += 1;
        self.queue.insert((at, self.count), due);
    }

    pub(crate) fn after(&mut self, wait: u64, due: Due) {
        self.at(self.now + wait, due);
    }

    pub(crate) fn add_process(&mut self) -> usize {
        let n = self.processes.len();
        let addr = format!("{n}");
        let process = self.new_process(n, addr.into());
        self.processes.push(process);
        let start = self.random(TICK);
        self.after(start, Due::Tick(n));
        self.after(start, Due::List(n));
        self.after(start, Due::Call(n));
        n
    }

    pub(crate) fn new_process(&mut self, n: usize, addr: Name) -> Process {
        let rate = self.rng.random_range(-RATE_MAX..=RATE_MAX);
        let base = self.random(1_000_000 * MS);
        let me = MemberId(self.rng.next_u64());
        Process::new(n, addr, self.now, base, rate, me)
    }

    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below.max(1))
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.random(100) < percent
    }

    fn happen(&mut self, due: Due) {
        if let Some(wake) = self.held_up(&due) {
            return self.at(wake, due);
        }
        match due {
            Due::Tick(n) => {
                self.after(TICK, Due::Tick(n));
                self.step(n, Event::Tick);
                self.look(n);
            }
            Due::List(n) => {
                self.after(LIST, Due::List(n));
                let list = self.workers.iter().map(|w| w.info.clone()).collect();
                self.step(n, Event::Vms(list));
            }
            Due::Call(n) => {
                let wait = CALLS / 2 + self.random(CALLS);
                self.after(wait, Due::Call(n));
                // A request whose end is unknown is settled only once its worker is idle.
                if !self.faults.over {
                    self.call(n);
                }
            }
            Due::Event(n, start, ev) => {
                if start == u32::MAX || self.processes[n].start == start {
                    self.step(n, *ev);
                }
            }
            Due::Read(n, start, asked, from) => self.read(n, start, asked, from),
            Due::Append(batch) => self.append(batch),
            Due::Write(n, start, call, addr, until) => self.write(n, start, call, addr, until),
            Due::Written(n, start, call, addr) => self.written(n, start, call, &addr),
            Due::Ends(vm, id) => self.ends(vm, id),
            Due::Begin(n) => self.begin(n),
            Due::End(n) => self.end(n),
        }
    }

    /// When a process that stands still takes this up.
    fn held_up(&self, due: &Due) -> Option<u64> {
        match due {
            Due::Tick(n) | Due::List(n) | Due::Call(n) => Some(self.processes[*n].paused),
            Due::Event(n, ..) | Due::Write(n, ..) => Some(self.processes[*n].paused),
            _ => None,
        }
        .filter(|wake| *wake > self.now)
    }

    /// One step of a process and all that follows from it.
    pub(crate) fn step(&mut self, n: usize, ev: Event) {
        let p = &mut self.processes[n];
        if p.life == Life::Down {
            return;
        }
        self.witness.figures.steps += 1;
        let clock = p.clock(self.now);
        let effects = p.control.step(clock, ev);
        for effect in effects {
            self.carry_out(n, effect);
        }
    }
}

/// Time after the last fault within which everything has a holder again.
///
/// A member that died as the faults ended may guard others that died, so that
/// their evictions follow one on the other.
pub(crate) fn bound(t: &Timing) -> u64 {
    t.takeover_max().times(3).0
}
