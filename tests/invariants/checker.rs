//! Checks of the invariants, with access to the state of all processes at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;

use monsoonnotch_core::config::ChangeOutcome;
use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::ident::RangeId;
use monsoonnotch_core::ident::Ticket;
use monsoonnotch_core::ledger::AppliedChange;
use monsoonnotch_core::timing::Timing;
use proptest::test_runner::TestCaseError;

use crate::process::Process;
use crate::process::RunState;
use crate::simulation::Simulation;
use crate::simulation::TEAMS;

/// Totals of a run.
#[derive(Debug, Default, Clone)]
pub(crate) struct Stats {
    /// Number of cases that passed.
    pub(crate) cases: u64,
    /// Number of events that processes handled.
    pub(crate) steps: u64,
    pub(crate) evictions: u64,
    /// Number of members that left after a graceful shutdown.
    pub(crate) leaves: u64,
    /// Number of requests written to workers.
    pub(crate) written: u64,
    /// Number of times that a running member was checked after a tick.
    pub(crate) observations: u64,
    /// Number of observations in which the member was certain.
    pub(crate) certain: u64,
    /// Number of reads from offsets that the log no longer retains.
    pub(crate) expired_reads: u64,
}

impl Stats {
    /// Adds the totals of one passed case.
    pub(crate) fn add(&mut self, other: &Self) {
        self.cases += 1;
        self.steps += other.steps;
        self.evictions += other.evictions;
        self.leaves += other.leaves;
        self.written += other.written;
        self.observations += other.observations;
        self.certain += other.certain;
        self.expired_reads += other.expired_reads;
    }
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let certain = self.certain * 100 / self.observations.max(1);
        write!(
            f,
            "{} passed, {} steps, {} evictions, {} leaves, {} reads of expired records, \
             {} requests written, members certain in {certain}% of observations",
            self.cases, self.steps, self.evictions, self.leaves, self.expired_reads, self.written,
        )
    }
}

/// The first violation, and the history that the checks compare with.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    pub(crate) violation: Option<String>,
    pub(crate) stats: Stats,
    /// Version of each team's configuration that each member last had in force.
    versions: BTreeMap<(MemberId, Name), u64>,
    /// Last observed position of each member on the control stream.
    positions: BTreeMap<MemberId, u64>,
    /// Teams and versions that were confirmed to operators as applied.
    applied_versions: BTreeSet<(Name, u64)>,
    /// Team of each change, by the ticket of the change.
    pub(crate) changes: BTreeMap<Ticket, Name>,
    /// Recent highest limits of each team, with the times at which they were observed.
    recent_limits: BTreeMap<Name, VecDeque<(u64, u32)>>,
}

impl Checker {
    /// Records a violation, unless there was one before.
    pub(crate) fn report_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// Checks that no version of a team is confirmed to two operators.
    pub(crate) fn check_answer(&mut self, ticket: Ticket, answer: &Answer) {
        let Answer::Change(ChangeOutcome::Applied(v)) = answer else {
            return;
        };
        let team = self.changes[&ticket].clone();
        if !self.applied_versions.insert((team, *v)) {
            self.report_violation(format!("version {v} was confirmed to two operators"));
        }
    }
}

impl Simulation {
    /// Checks a process after a tick.
    pub(crate) fn observe(&mut self, n: usize) {
        let p = &self.processes[n];
        if p.run_state == RunState::Down || p.paused > self.now {
            return;
        }
        if self.log.ledger.is_member(p.me) {
            self.checker.stats.observations += 1;
            self.checker.stats.certain += u64::from(p.is_certain(self.now));
        }
        self.check_versions(n);
        self.check_workers(n);
        self.check_ranges(n);
        for team in TEAMS {
            self.recent_limit(team);
        }
    }

    /// Counts the evictions and leaves among the changes of the ledger.
    pub(crate) fn count_endings(&mut self, changes: &[AppliedChange]) {
        for change in changes {
            if let AppliedChange::Ended(_, ending) = change {
                match ending.left {
                    true => self.checker.stats.leaves += 1,
                    false => self.checker.stats.evictions += 1,
                }
            }
        }
    }

    /// Checks that a member's position and the versions of its configuration never decrease.
    fn check_versions(&mut self, n: usize) {
        let p = &self.processes[n];
        let ledger = p.control.ledger();
        let last = self.checker.positions.insert(p.me, ledger.next);
        if last.is_some_and(|l| l > ledger.next) {
            self.checker.report_violation(format!(
                "{}: position on the control stream decreased",
                p.me
            ));
        }
        for (team, t) in &ledger.config.teams {
            let key = (p.me, team.clone());
            let last = self.checker.versions.insert(key, t.version);
            if last.is_some_and(|l| l > t.version) {
                let what = format!("{}: version of '{team}' decreased", p.me);
                self.checker.report_violation(what);
            }
        }
    }

    /// Checks that no worker has two members that may start work on it.
    fn check_workers(&mut self, n: usize) {
        for vm in 0..self.workers.len() {
            let name = &self.workers[vm].info.name;
            if !may_use(&self.processes[n], name, self.now) {
                continue;
            }
            let second = self.others(n).find(|q| may_use(q, name, self.now));
            if let Some(q) = second {
                let what = format!("{} and {} may use {name}", self.processes[n].me, q.me);
                return self.checker.report_violation(what);
            }
        }
    }

    /// Checks that no hash range has two members that may answer for it.
    ///
    /// Only every eighth range is checked.
    fn check_ranges(&mut self, n: usize) {
        for r in RangeId::all().step_by(8) {
            let answers = |p: &Process| {
                p.run_state != RunState::Down && p.control.may_serve_range(p.clock(self.now), r)
            };
            if !answers(&self.processes[n]) {
                continue;
            }
            let second = self.others(n).find(|q| answers(q));
            if let Some(q) = second {
                let me = self.processes[n].me;
                let what = format!("{me} and {} answer for range {}", q.me, r.0);
                return self.checker.report_violation(what);
            }
        }
    }

    /// Records the present highest limit of a team and returns the maximum of the last
    /// `eviction_wait`.
    ///
    /// A request that a member dispatched under a limit may be written after the limit was lowered.
    fn recent_limit(&mut self, team: &str) -> u32 {
        let now = self.now;
        let limit = self.highest_limit(team);
        let recent_limits = self.checker.recent_limits.entry(team.into()).or_default();
        let expired = |(at, _): &(u64, u32)| at + Timing::default().eviction_wait().0 < now;
        while recent_limits.front().is_some_and(expired) {
            recent_limits.pop_front();
        }
        recent_limits.push_back((now, limit));
        recent_limits.iter().map(|(_, l)| *l).max().unwrap_or(limit)
    }

    /// Returns the highest limit of a team in the log and in the ledgers of certain members.
    fn highest_limit(&self, team: &str) -> u32 {
        let certain = self.processes.iter().filter(|p| p.is_certain(self.now));
        let ledgers = certain.map(|p| p.control.ledger());
        let limits = ledgers
            .chain([&self.log.ledger])
            .filter_map(|l| l.config.teams.get(team));
        limits.map(|t| t.value.limit).max().unwrap_or(0)
    }

    /// Checks a request that was written to a worker.
    ///
    /// The worker must not have more requests than slots, no member other than its holder may use
    /// it, and the team must not exceed its limit.
    pub(crate) fn check_write(&mut self, n: usize, vm: usize, call: CallKey) {
        self.checker.stats.written += 1;
        let worker = &self.workers[vm];
        let name = &worker.info.name;
        if worker.exceeds_slots() {
            let what = format!(
                "{name} has {} requests, more than its slots",
                worker.runs.len()
            );
            self.checker.report_violation(what);
        }
        let me = self.processes[n].me;
        let granted = self.grants.get(&(call, name.clone()));
        let holder = granted.copied().unwrap_or(me);
        let mut others = self
            .processes
            .iter()
            .filter(|p| p.me != holder && p.me != me);
        if let Some(q) = others.find(|q| may_use(q, name, self.now)) {
            let what = format!(
                "request written to {name}, held by {holder}, while {} may use it",
                q.me
            );
            self.checker.report_violation(what);
        }
        let team = worker
            .runs
            .last()
            .expect("the worker has a run")
            .team
            .clone();
        self.check_limit(&team);
    }

    /// Checks at the start of a request that its team does not exceed its limit.
    ///
    /// Requests that already ran when the limit was lowered count, but are no violation by
    /// themselves, as the check runs only when a request starts.
    fn check_limit(&mut self, team: &Name) {
        let runs = self.workers.iter().flat_map(|w| &w.runs);
        let running = runs.filter(|r| r.team == *team).count();
        let limit = self.recent_limit(team);
        if running as u64 > u64::from(limit) {
            let what = format!("{running} requests of '{team}' run, limit {limit}");
            self.checker.report_violation(what);
        }
    }

    /// Iterates over the processes other than `n`.
    fn others(&self, n: usize) -> impl Iterator<Item = &Process> {
        let all = self.processes.iter().enumerate();
        all.filter(move |(i, _)| *i != n).map(|(_, p)| p)
    }

    /// Returns whether each worker has a member that may start work on it.
    pub(crate) fn all_workers_are_usable(&self) -> bool {
        let usable = |vm: &str| self.processes.iter().any(|p| may_use(p, vm, self.now));
        self.workers.iter().all(|w| usable(&w.info.name))
    }

    /// Checks the recovery after the faults.
    ///
    /// All members are alive, certain and up to date, all workers and ranges have a holder, and the
    /// limit of each team is held completely.
    pub(crate) fn check_recovered(&self) -> Result<(), TestCaseError> {
        let ledger = &self.log.ledger;
        let alive: BTreeSet<MemberId> = self.processes.iter().map(|p| p.me).collect();
        let fail = |what: String| Err(TestCaseError::fail(format!("after the faults: {what}")));
        if let Some(m) = ledger.members.keys().find(|m| !alive.contains(m)) {
            return fail(format!(
                "{m} is dead but still a member: {:?}",
                ledger.members
            ));
        }
        for p in &self.processes {
            if !p.is_certain(self.now) {
                return fail(format!("{} is not certain", p.me));
            }
            if p.control.ledger().next + 8 < ledger.next {
                return fail(format!("{} has not read the control stream", p.me));
            }
        }
        for w in &self.workers {
            let name = &w.info.name;
            if !self.processes.iter().any(|p| may_use(p, name, self.now)) {
                let holder = ledger.holder_of_vm(name);
                return fail(format!(
                    "no member may use {name}, its holder is {holder:?}"
                ));
            }
        }
        if let Some(r) = RangeId::all().find(|r| !ledger.ranges.contains_key(r)) {
            return fail(format!("range {} has no holder", r.0));
        }
        for (team, t) in &ledger.config.teams {
            let total = ledger.allotments.total(team);
            if total < t.value.limit {
                let limit = t.value.limit;
                let parts = &ledger.allotments;
                return fail(format!(
                    "{total} of the limit {limit} of '{team}' are held: {parts:?}"
                ));
            }
        }
        Ok(())
    }
}

/// Returns whether a process may start work on a worker at the time `now`.
fn may_use(p: &Process, vm: &str, now: u64) -> bool {
    let fleet = p.control.fleet();
    let held = fleet.find(vm).and_then(|k| fleet.get(k)?.held);
    held.is_some_and(|h| h.reported)
        && p.run_state != RunState::Down
        && p.control.may_start_work(p.clock(now))
}
