//! One entry process: a reducer, its clock and how it fares.

use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::reducer::Control;
use monsoonnotch_core::reducer::Policy;
use monsoonnotch_core::reducer::Settings;
use monsoonnotch_core::time::Time;
use monsoonnotch_core::timing::Timing;

/// Most that a clock runs fast or slow, in millionths.
pub(crate) const RATE_MAX: i64 = 10_000;

/// Whether a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Life {
    /// It runs.
    Up,
    /// It was told to stop.
    Stopping,
    /// It is gone.
    Down,
}

/// A process.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) me: MemberId,
    pub(crate) addr: Name,
    pub(crate) control: Control,
    pub(crate) life: Life,
    /// Counts starts; what is meant for a former process does not reach this one.
    pub(crate) start: u32,
    /// Until when it stands still.
    pub(crate) paused: u64,
    started: u64,
    /// What its clock showed at its start.
    base: u64,
    rate: i64,
}

impl Process {
    pub(crate) fn new(n: usize, addr: Name, now: u64, base: u64, rate: i64, me: MemberId) -> Self {
        Self {
            me,
            control: Control::new(settings(n, me, addr.clone())),
            addr,
            life: Life::Up,
            start: 0,
            paused: 0,
            started: now,
            base,
            rate,
        }
    }

    /// Goes on as a new member, as an evicted process does.
    pub(crate) fn renew(&mut self, n: usize, me: MemberId) {
        self.me = me;
        self.control = Control::new(settings(n, me, self.addr.clone()));
    }

    /// What its clock shows.
    pub(crate) fn clock(&self, now: u64) -> Time {
        let span = i64::try_from(now - self.started).expect("a short run");
        let span = span + span * self.rate / 1_000_000;
        Time(self.base + u64::try_from(span).expect("clocks go forward"))
    }

    pub(crate) fn is_certain(&self, now: u64) -> bool {
        self.life != Life::Down && self.control.certain(self.clock(now))
    }
}

fn settings(n: usize, me: MemberId, addr: Name) -> Settings {
    Settings {
        me,
        domain: format!("fd-{}", n % 3).into(),
        addr,
        timing: Timing::default(),
        queue_max: 64,
        snapshot_every: 30,
        policy: Policy::default(),
    }
}
