//! The state of one entry process: its reducer, its clock and whether it runs.

use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::reducer::Control;
use monsoonnotch_core::reducer::Policy;
use monsoonnotch_core::reducer::Settings;
use monsoonnotch_core::time::Time;
use monsoonnotch_core::timing::Timing;

/// Maximum deviation of a clock's rate from virtual time, in millionths.
pub(crate) const RATE_MAX: i64 = 10_000;

/// Whether a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The process runs.
    Up,
    /// A graceful shutdown was requested.
    Stopping,
    /// The process does not run.
    Down,
}

/// A simulated entry process.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) me: MemberId,
    pub(crate) addr: Name,
    pub(crate) control: Control,
    pub(crate) run_state: RunState,
    /// Increases with each start and kill; events for an earlier incarnation are dropped.
    pub(crate) incarnation: u32,
    /// Virtual time until which the process is paused.
    pub(crate) paused: u64,
    /// Virtual time of the start.
    started_at: u64,
    /// Reading of the process's clock at its start.
    clock_base: u64,
    /// Deviation of the clock's rate from virtual time, in millionths.
    clock_rate: i64,
}

impl Process {
    pub(crate) fn new(
        n: usize,
        addr: Name,
        now: u64,
        clock_base: u64,
        clock_rate: i64,
        me: MemberId,
    ) -> Self {
        Self {
            me,
            control: Control::new(settings(n, me, addr.clone())),
            addr,
            run_state: RunState::Up,
            incarnation: 0,
            paused: 0,
            started_at: now,
            clock_base,
            clock_rate,
        }
    }

    /// Replaces the member by a new one, as an evicted process does when it rejoins.
    pub(crate) fn rejoin(&mut self, n: usize, me: MemberId) {
        self.me = me;
        self.control = Control::new(settings(n, me, self.addr.clone()));
    }

    /// Returns the reading of the process's clock at a virtual time.
    pub(crate) fn clock(&self, now: u64) -> Time {
        let span = i64::try_from(now - self.started_at).expect("a short run");
        let span = span + span * self.clock_rate / 1_000_000;
        Time(self.clock_base + u64::try_from(span).expect("clock readings never decrease"))
    }

    /// Returns whether the process runs and its member is certain.
    pub(crate) fn is_certain(&self, now: u64) -> bool {
        self.run_state != RunState::Down && self.control.certain(self.clock(now))
    }
}

fn settings(n: usize, me: MemberId, addr: Name) -> Settings {
    Settings {
        me,
        domain: format!("fd-{}", n % 3).into(),
        addr,
        timing: Timing::default(),
        queue_max: 64,
        jobs_memory: u64::MAX,
        snapshot_every: 30,
        policy: Policy::default(),
    }
}
