//! What must always hold, seen from above all processes at once.

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

use crate::cell::Cell;
use crate::cell::TEAMS;
use crate::process::Life;
use crate::process::Process;

/// How far the exploration came.
#[derive(Debug, Default, Clone)]
pub(crate) struct Figures {
    pub(crate) cases: u64,
    pub(crate) steps: u64,
    pub(crate) evictions: u64,
    pub(crate) leaves: u64,
    pub(crate) written: u64,
    pub(crate) looks: u64,
    pub(crate) certain: u64,
    pub(crate) restored: u64,
}

impl Figures {
    pub(crate) fn add(&mut self, other: &Self) {
        self.cases += 1;
        self.steps += other.steps;
        self.evictions += other.evictions;
        self.leaves += other.leaves;
        self.written += other.written;
        self.looks += other.looks;
        self.certain += other.certain;
        self.restored += other.restored;
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let certain = self.certain * 100 / self.looks.max(1);
        write!(
            f,
            "{} passed, {} steps, {} evictions, {} leaves, {} reads of expired records, \
             {} requests written, members certain in {certain}% of looks",
            self.cases, self.steps, self.evictions, self.leaves, self.restored, self.written,
        )
    }
}

/// What the witness remembers.
#[derive(Debug, Default)]
pub(crate) struct Witness {
    pub(crate) broken: Option<String>,
    pub(crate) figures: Figures,
    /// Versions that members have had in force, by member and team.
    versions: BTreeMap<(MemberId, Name), u64>,
    /// Position of each member on the control stream.
    positions: BTreeMap<MemberId, u64>,
    /// Versions that operators were told are in force.
    told: BTreeSet<(Name, u64)>,
    /// The team that each change is about.
    pub(crate) changes: BTreeMap<Ticket, Name>,
    /// Limits that members went by of late, with the time, by team.
    recent: BTreeMap<Name, VecDeque<(u64, u32)>>,
}

impl Witness {
    pub(crate) fn breach(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    pub(crate) fn answered(&mut self, ticket: Ticket, answer: &Answer) {
        let Answer::Change(ChangeOutcome::Applied(v)) = answer else {
            return;
        };
        let team = self.changes[&ticket].clone();
        if !self.told.insert((team, *v)) {
            self.breach(format!(
                "two operators were told that version {v} is theirs"
            ));
        }
    }
}

impl Cell {
    /// Looks at a process after a tick.
    pub(crate) fn look(&mut self, n: usize) {
        let p = &self.processes[n];
        if p.life == Life::Down || p.paused > self.now {
            return;
        }
        if self.log.ledger.is_member(p.me) {
            self.witness.figures.looks += 1;
            self.witness.figures.certain += u64::from(p.is_certain(self.now));
        }
        self.check_versions(n);
        self.check_workers(n);
        self.check_ranges(n);
        for team in TEAMS {
            self.recent_limit(team);
        }
    }

    pub(crate) fn appended(&mut self, folded: &[AppliedChange]) {
        for f in folded {
            if let AppliedChange::Ended(_, ending) = f {
                match ending.left {
                    true => self.witness.figures.leaves += 1,
                    false => self.witness.figures.evictions += 1,
                }
            }
        }
    }

    fn check_versions(&mut self, n: usize) {
        let p = &self.processes[n];
        let ledger = p.control.ledger();
        let last = self.witness.positions.insert(p.me, ledger.next);
        if last.is_some_and(|l| l > ledger.next) {
            self.witness
                .breach(format!("{} went back on the stream", p.me));
        }
        for (team, t) in &ledger.config.teams {
            let key = (p.me, team.clone());
            let last = self.witness.versions.insert(key, t.version);
            if last.is_some_and(|l| l > t.version) {
                let what = format!("{}: version of '{team}' went back", p.me);
                self.witness.breach(what);
            }
        }
    }

    /// No worker has two members that may start work on it.
    fn check_workers(&mut self, n: usize) {
        for vm in 0..self.workers.len() {
            let name = &self.workers[vm].info.name;
            if !may_use(&self.processes[n], name, self.now) {
                continue;
            }
            let second = self.others(n).find(|q| may_use(q, name, self.now));
            if let Some(q) = second {
                let what = format!("{} and {} may use {name}", self.processes[n].me, q.me);
                return self.witness.breach(what);
            }
        }
    }

    /// No hash range has two members that may answer for it.
    fn check_ranges(&mut self, n: usize) {
        for r in RangeId::all().step_by(8) {
            let answers = |p: &Process| {
                p.life != Life::Down && p.control.may_serve_range(p.clock(self.now), r)
            };
            if !answers(&self.processes[n]) {
                continue;
            }
            let second = self.others(n).find(|q| answers(q));
            if let Some(q) = second {
                let me = self.processes[n].me;
                let what = format!("{me} and {} answer for range {}", q.me, r.0);
                return self.witness.breach(what);
            }
        }
    }

    /// The highest limit of late; what a member decided on may be written a little later.
    fn recent_limit(&mut self, team: &str) -> u32 {
        let now = self.now;
        let limit = self.highest_limit(team);
        let recent = self.witness.recent.entry(team.into()).or_default();
        let old = |(at, _): &(u64, u32)| at + Timing::default().eviction_wait().0 < now;
        while recent.front().is_some_and(old) {
            recent.pop_front();
        }
        recent.push_back((now, limit));
        recent.iter().map(|(_, l)| *l).max().unwrap_or(limit)
    }

    /// The highest limit that the log or a member that may start work goes by.
    fn highest_limit(&self, team: &str) -> u32 {
        let certain = self.processes.iter().filter(|p| p.is_certain(self.now));
        let ledgers = certain.map(|p| p.control.ledger());
        let limits = ledgers
            .chain([&self.log.ledger])
            .filter_map(|l| l.config.teams.get(team));
        limits.map(|t| t.value.limit).max().unwrap_or(0)
    }

    /// A request was written to a worker.
    pub(crate) fn check_write(&mut self, n: usize, vm: usize, call: CallKey) {
        self.witness.figures.written += 1;
        let worker = &self.workers[vm];
        let name = &worker.info.name;
        if worker.is_over_full() {
            let what = format!("{name} has {} requests", worker.runs.len());
            self.witness.breach(what);
        }
        let me = self.processes[n].me;
        let granted = self.grants.get(&(call, name.clone()));
        let right = granted.copied().unwrap_or(me);
        let mut others = self
            .processes
            .iter()
            .filter(|p| p.me != right && p.me != me);
        if let Some(q) = others.find(|q| may_use(q, name, self.now)) {
            let what = format!(
                "written to {name} by right of {right} while {} may use it",
                q.me
            );
            self.witness.breach(what);
        }
        let team = worker.runs.last().expect("just written").team.clone();
        self.check_limit(&team);
    }

    /// No team has more running than its limit at the start of any more of it.
    ///
    /// What ran before a lowered limit is no breach by itself, but counts.
    fn check_limit(&mut self, team: &Name) {
        let runs = self.workers.iter().flat_map(|w| &w.runs);
        let running = runs.filter(|r| r.team == *team).count();
        let limit = self.recent_limit(team);
        if running as u64 > u64::from(limit) {
            let what = format!("{running} of '{team}' run, limit {limit}");
            self.witness.breach(what);
        }
    }

    fn others(&self, n: usize) -> impl Iterator<Item = &Process> {
        let all = self.processes.iter().enumerate();
        all.filter(move |(i, _)| *i != n).map(|(_, p)| p)
    }

    /// Whether each worker has a member that may start work on it.
    pub(crate) fn all_workers_are_usable(&self) -> bool {
        let usable = |vm: &str| self.processes.iter().any(|p| may_use(p, vm, self.now));
        self.workers.iter().all(|w| usable(&w.info.name))
    }

    /// After the faults: everything has one holder that is alive, and everyone is certain.
    pub(crate) fn check_recovered(&self) -> Result<(), TestCaseError> {
        let ledger = &self.log.ledger;
        let alive: BTreeSet<MemberId> = self.processes.iter().map(|p| p.me).collect();
        let fail = |what: String| Err(TestCaseError::fail(format!("after the faults: {what}")));
        if let Some(m) = ledger.members.keys().find(|m| !alive.contains(m)) {
            return fail(format!(
                "{m} is dead and still a member: {:?}",
                ledger.members
            ));
        }
        for p in &self.processes {
            if !p.is_certain(self.now) {
                return fail(format!("{} is not certain", p.me));
            }
            if p.control.ledger().next + 8 < ledger.next {
                return fail(format!("{} has not read the stream", p.me));
            }
        }
        for w in &self.workers {
            let name = &w.info.name;
            if !self.processes.iter().any(|p| may_use(p, name, self.now)) {
                let holder = ledger.holder_of_vm(name);
                return fail(format!(
                    "{name} is used by nobody, its holder is {holder:?}"
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
                    "{total} of {limit} of '{team}' are held: {parts:?}"
                ));
            }
        }
        Ok(())
    }
}

/// Whether a process may start work on a worker now.
fn may_use(p: &Process, vm: &str, now: u64) -> bool {
    let fleet = p.control.fleet();
    let held = fleet.find(vm).and_then(|k| fleet.get(k)?.held);
    held.is_some_and(|h| h.reported)
        && p.life != Life::Down
        && p.control.may_start_work(p.clock(now))
}
