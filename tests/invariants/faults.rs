//! Faults that begin and end.

use std::collections::BTreeSet;

use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::ident::Name;
use rand::Rng;

use crate::cell::Cell;
use crate::plan::Fault;
use crate::plan::Step;
use crate::process::Life;

/// The plan and which of its faults are in force.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) steps: Vec<Step>,
    now: BTreeSet<usize>,
    /// Whether all faults are over.
    pub(crate) over: bool,
}

impl Faults {
    fn any(&self, f: impl Fn(Fault) -> bool) -> bool {
        self.now.iter().any(|n| f(self.steps[*n].fault))
    }

    pub(crate) fn log_dark(&self, n: usize) -> bool {
        self.any(|f| matches!(f, Fault::LogUnavailable(who) if has(who, n)))
    }

    pub(crate) fn cut(&self, from: usize, to: usize) -> bool {
        self.any(|f| matches!(f, Fault::Cut(a, b) if has(a, from) && has(b, to)))
    }

    pub(crate) fn bad_appends(&self) -> bool {
        self.any(|f| f == Fault::BadAppends)
    }

    pub(crate) fn bad_links(&self) -> bool {
        self.any(|f| f == Fault::BadLinks)
    }

    pub(crate) fn slow_writes(&self) -> bool {
        self.any(|f| f == Fault::SlowWrites)
    }
}

fn has(mask: u8, n: usize) -> bool {
    mask >> (n % 8) & 1 == 1
}

impl Cell {
    pub(crate) fn begin(&mut self, step: usize) {
        self.faults.now.insert(step);
        let n = self.processes.len();
        match self.faults.steps[step].fault {
            Fault::Pause(who) => {
                let span = u64::from(self.faults.steps[step].for_ms) * crate::cell::MS;
                let p = &mut self.processes[usize::from(who) % n];
                p.paused = p.paused.max(self.now + span);
            }
            Fault::Kill(who, _) => self.kill(usize::from(who) % n),
            Fault::Leave(who) => {
                let who = usize::from(who) % n;
                self.ask_to_stop(who);
            }
            Fault::Join => {
                self.add_process();
            }
            Fault::Limit(by, team, limit) => {
                self.set_limit(usize::from(by) % n, team.into(), limit.into());
            }
            Fault::Trim => self.log.trim(),
            _ => {}
        }
    }

    pub(crate) fn end(&mut self, step: usize) {
        self.faults.now.remove(&step);
        let n = self.processes.len();
        match self.faults.steps[step].fault {
            Fault::Kill(who, same) => {
                let who = usize::from(who) % n;
                let same = same || !self.others_are_alive(who);
                self.start_again(who, same);
            }
            Fault::Leave(who) => self.start_again(usize::from(who) % n, true),
            _ => {}
        }
    }

    /// Ends all faults; what was stopped or killed runs again.
    pub(crate) fn heal(&mut self) {
        self.faults.now.clear();
        self.faults.over = true;
        for n in 0..self.processes.len() {
            self.processes[n].paused = 0;
            self.start_again(n, true);
        }
    }

    /// Whether all members but one process's are alive.
    ///
    /// When most guards of the dead are dead themselves, only new processes at
    /// their addresses end them.
    fn others_are_alive(&self, n: usize) -> bool {
        let dead = |m: &MemberId| {
            !self
                .processes
                .iter()
                .any(|p| p.me == *m && p.life != Life::Down)
        };
        let mut others = self
            .log
            .ledger
            .members
            .keys()
            .filter(|m| **m != self.processes[n].me);
        !others.any(dead)
    }

    pub(crate) fn kill(&mut self, n: usize) {
        let p = &mut self.processes[n];
        p.life = Life::Down;
        p.start += 1;
        p.paused = 0;
    }

    fn ask_to_stop(&mut self, n: usize) {
        if self.processes[n].life == Life::Up {
            self.step(n, Event::Stop);
            self.processes[n].life = match self.processes[n].life {
                Life::Up => Life::Stopping,
                other => other,
            };
        }
    }

    fn start_again(&mut self, n: usize, same_addr: bool) {
        if self.processes[n].life != Life::Down {
            return;
        }
        let start = self.processes[n].start + 1;
        let addr: Name = match same_addr {
            true => self.processes[n].addr.clone(),
            false => format!("{n}-{start}").into(),
        };
        self.processes[n] = self.new_process(n, addr);
        self.processes[n].start = start;
    }

    /// A process says that its member has ended.
    pub(crate) fn stopped(&mut self, n: usize) {
        if self.processes[n].life == Life::Stopping {
            self.kill(n);
            if self.faults.over {
                self.start_again(n, true);
            }
            return;
        }
        let me = MemberId(self.rng.next_u64());
        self.processes[n].renew(n, me);
    }
}
