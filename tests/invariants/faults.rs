//! The planned faults and their effects on processes.

use std::collections::BTreeSet;

use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::ident::Name;
use rand::Rng;

use crate::plan::Fault;
use crate::plan::TimedFault;
use crate::process::RunState;
use crate::simulation::Simulation;

/// The planned faults and which of them are in effect.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) planned: Vec<TimedFault>,
    /// Indexes of the planned faults that are in effect.
    active: BTreeSet<usize>,
    /// Whether all faults have ended.
    pub(crate) ended: bool,
}

impl Faults {
    /// Returns whether `f` holds for a fault in effect.
    fn any(&self, f: impl Fn(Fault) -> bool) -> bool {
        self.active.iter().any(|n| f(self.planned[*n].fault))
    }

    /// Returns whether the log is unavailable to a process.
    pub(crate) fn log_unavailable(&self, n: usize) -> bool {
        self.any(|f| matches!(f, Fault::LogUnavailable(mask) if contains(mask, n)))
    }

    /// Returns whether messages from one process to another are lost.
    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.any(|f| matches!(f, Fault::Cut(a, b) if contains(a, from) && contains(b, to)))
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

/// Returns whether a mask selects the process with index `n`, taken modulo eight.
fn contains(mask: u8, n: usize) -> bool {
    mask >> (n % 8) & 1 == 1
}

impl Simulation {
    /// Puts the planned fault with this index into effect.
    pub(crate) fn begin_fault(&mut self, index: usize) {
        self.faults.active.insert(index);
        let n = self.processes.len();
        match self.faults.planned[index].fault {
            Fault::Pause(process) => {
                let span = u64::from(self.faults.planned[index].for_ms) * crate::simulation::MS;
                let p = &mut self.processes[usize::from(process) % n];
                p.paused = p.paused.max(self.now + span);
            }
            Fault::Kill(process, _) => self.kill(usize::from(process) % n),
            Fault::Leave(process) => {
                let process = usize::from(process) % n;
                self.request_stop(process);
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

    /// Ends the planned fault with this index; a killed or stopped process restarts.
    pub(crate) fn end_fault(&mut self, index: usize) {
        self.faults.active.remove(&index);
        let n = self.processes.len();
        match self.faults.planned[index].fault {
            Fault::Kill(process, same) => {
                let process = usize::from(process) % n;
                let same = same || !self.others_are_alive(process);
                self.restart(process, same);
            }
            Fault::Leave(process) => self.restart(usize::from(process) % n, true),
            _ => {}
        }
    }

    /// Ends all faults: resumes paused processes and restarts those that do not run.
    pub(crate) fn end_faults(&mut self) {
        self.faults.active.clear();
        self.faults.ended = true;
        for n in 0..self.processes.len() {
            self.processes[n].paused = 0;
            self.restart(n, true);
        }
    }

    /// Returns whether all members other than that of process `n` are alive.
    ///
    /// A dead member most of whose guards are dead as well cannot be evicted. It ends only when a
    /// new process joins with its address.
    fn others_are_alive(&self, n: usize) -> bool {
        let is_dead = |m: &MemberId| {
            !self
                .processes
                .iter()
                .any(|p| p.me == *m && p.run_state != RunState::Down)
        };
        let mut others = self
            .log
            .ledger
            .members
            .keys()
            .filter(|m| **m != self.processes[n].me);
        !others.any(is_dead)
    }

    /// Ends a process without notice.
    pub(crate) fn kill(&mut self, n: usize) {
        let p = &mut self.processes[n];
        p.run_state = RunState::Down;
        p.incarnation += 1;
        p.paused = 0;
    }

    /// Starts the graceful shutdown of a process.
    fn request_stop(&mut self, n: usize) {
        if self.processes[n].run_state == RunState::Up {
            self.step(n, Event::Stop);
            self.processes[n].run_state = match self.processes[n].run_state {
                RunState::Up => RunState::Stopping,
                other => other,
            };
        }
    }

    /// Starts a process again, at its old address or at a new one, unless it runs.
    fn restart(&mut self, n: usize, same_addr: bool) {
        if self.processes[n].run_state != RunState::Down {
            return;
        }
        let incarnation = self.processes[n].incarnation + 1;
        let addr: Name = match same_addr {
            true => self.processes[n].addr.clone(),
            false => format!("{n}-{incarnation}").into(),
        };
        self.processes[n] = self.new_process(n, addr);
        self.processes[n].incarnation = incarnation;
    }

    /// Handles the end of a process's member.
    ///
    /// A process that was shut down ends, and restarts at once if all faults have ended. A process
    /// that was evicted rejoins as a new member.
    pub(crate) fn stopped(&mut self, n: usize) {
        if self.processes[n].run_state == RunState::Stopping {
            self.kill(n);
            if self.faults.ended {
                self.restart(n, true);
            }
            return;
        }
        let me = MemberId(self.rng.next_u64());
        self.processes[n].rejoin(n, me);
    }
}
