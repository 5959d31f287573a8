//! The plan of one case: its size, its faults and their times.

use proptest::prelude::*;

/// Virtual time before which all faults start and end, in milliseconds.
pub(crate) const FAULTS_END: u32 = 45_000;
/// Maximum duration of a fault, in milliseconds.
const FAULT_MAX: u32 = 15_000;

/// A kind of fault.
///
/// A mask selects the processes whose index, modulo eight, is the number of a bit that is set. A
/// single process or team is selected by an index, modulo the number of processes or teams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The log is unavailable to the processes of a mask.
    LogUnavailable(u8),
    /// Messages from the processes of the first mask to those of the second are lost.
    Cut(u8, u8),
    /// A process is paused.
    Pause(u8),
    /// A process is killed and restarts when the fault ends.
    ///
    /// It restarts at a new address if the flag is `false` and all other members are alive, and
    /// otherwise at the same address.
    Kill(u8, bool),
    /// A process shuts down gracefully and restarts when the fault ends.
    Leave(u8),
    /// Another process starts and joins; it stays when the fault ends.
    Join,
    /// An operator sets a limit: the process that receives the change, the team and the limit.
    Limit(u8, u8, u8),
    /// Appends take effect late, or their replies are lost.
    BadAppends,
    /// Messages are lost or late.
    BadLinks,
    /// Every write to an upstream is delayed before its check.
    SlowWrites,
    /// Records that a snapshot covers expire.
    Trim,
}

/// A fault with its start time and its duration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TimedFault {
    pub(crate) at_ms: u32,
    pub(crate) for_ms: u32,
    pub(crate) fault: Fault,
}

/// The plan of one case.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Seed of all random choices during the run, such as delays, losses and clock rates.
    pub(crate) seed: u64,
    /// Number of processes at the start.
    pub(crate) members: u8,
    /// Number of workers.
    pub(crate) vms: u8,
    pub(crate) faults: Vec<TimedFault>,
}

/// Returns a strategy for plans with few or many faults.
pub(crate) fn any() -> impl Strategy<Value = Plan> {
    let faults = prop_oneof![
        prop::collection::vec(timed_fault(), 0..16),
        prop::collection::vec(timed_fault(), 16..80),
    ];
    (any_seed(), 2..8_u8, 4..10_u8, faults).prop_map(|(seed, members, vms, faults)| Plan {
        seed,
        members,
        vms,
        faults,
    })
}

fn any_seed() -> impl Strategy<Value = u64> {
    proptest::num::u64::ANY.no_shrink()
}

fn timed_fault() -> impl Strategy<Value = TimedFault> {
    let mask = || prop_oneof![Just(0xff_u8), proptest::num::u8::ANY, one_bit()];
    let process = || 0..8_u8;
    let fault = prop_oneof![
        8 => mask().prop_map(Fault::LogUnavailable),
        8 => (mask(), mask()).prop_map(|(a, b)| Fault::Cut(a, b)),
        4 => process().prop_map(Fault::Pause),
        3 => (process(), proptest::bool::ANY).prop_map(|(p, same)| Fault::Kill(p, same)),
        2 => process().prop_map(Fault::Leave),
        1 => Just(Fault::Join),
        3 => (process(), 0..2_u8, 0..12_u8).prop_map(|(p, t, n)| Fault::Limit(p, t, n)),
        2 => Just(Fault::BadAppends),
        2 => Just(Fault::BadLinks),
        1 => Just(Fault::SlowWrites),
        2 => Just(Fault::Trim),
    ];
    (8_000..FAULTS_END, 100..FAULT_MAX, fault).prop_map(|(at_ms, for_ms, fault)| TimedFault {
        at_ms,
        for_ms,
        fault,
    })
}

/// Returns a strategy for masks with a single bit set.
fn one_bit() -> impl Strategy<Value = u8> {
    (0..8_u8).prop_map(|n| 1 << n)
}
