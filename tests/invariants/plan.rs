//! What goes wrong in one case, and when.

use proptest::prelude::*;

/// End of the time in which faults begin, in milliseconds.
pub(crate) const FAULTS_END: u32 = 45_000;
/// Longest a fault lasts, in milliseconds.
const FAULT_MAX: u32 = 15_000;

/// One kind of fault; members are named by the bits of a mask or by an index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The log answers none of these.
    LogUnavailable(u8),
    /// Messages from the first to the second set are lost.
    Cut(u8, u8),
    /// A process stands still.
    Pause(u8),
    /// A process is killed and starts again when the fault ends, at the same
    /// address or at another.
    Kill(u8, bool),
    /// A process stops gracefully and starts again when the fault ends.
    Leave(u8),
    /// Another member joins and leaves when the fault ends.
    Join,
    /// An operator sets a team's limit by way of a member.
    Limit(u8, u8, u8),
    /// Appends take effect late, or their replies are lost.
    BadAppends,
    /// Messages are lost and late.
    BadLinks,
    /// Every write to an upstream is held up before its check.
    SlowWrites,
    /// Records that a snapshot covers expire.
    Trim,
}

/// A fault, when it begins and how long it lasts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Step {
    pub(crate) at_ms: u32,
    pub(crate) for_ms: u32,
    pub(crate) fault: Fault,
}

/// One case.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Seeds delays, losses and clock rates.
    pub(crate) seed: u64,
    pub(crate) members: u8,
    pub(crate) vms: u8,
    pub(crate) steps: Vec<Step>,
}

/// Any case.
pub(crate) fn any() -> impl Strategy<Value = Plan> {
    let steps = prop_oneof![
        prop::collection::vec(step(), 0..16),
        prop::collection::vec(step(), 16..80),
    ];
    (any_seed(), 2..8_u8, 4..10_u8, steps).prop_map(|(seed, members, vms, steps)| Plan {
        seed,
        members,
        vms,
        steps,
    })
}

fn any_seed() -> impl Strategy<Value = u64> {
    proptest::num::u64::ANY.no_shrink()
}

fn step() -> impl Strategy<Value = Step> {
    let mask = || prop_oneof![Just(0xff_u8), proptest::num::u8::ANY, one_bit()];
    let who = || 0..8_u8;
    let fault = prop_oneof![
        8 => mask().prop_map(Fault::LogUnavailable),
        8 => (mask(), mask()).prop_map(|(a, b)| Fault::Cut(a, b)),
        4 => who().prop_map(Fault::Pause),
        3 => (who(), proptest::bool::ANY).prop_map(|(w, same)| Fault::Kill(w, same)),
        2 => who().prop_map(Fault::Leave),
        1 => Just(Fault::Join),
        3 => (who(), 0..2_u8, 0..12_u8).prop_map(|(w, t, n)| Fault::Limit(w, t, n)),
        2 => Just(Fault::BadAppends),
        2 => Just(Fault::BadLinks),
        1 => Just(Fault::SlowWrites),
        2 => Just(Fault::Trim),
    ];
    (8_000..FAULTS_END, 100..FAULT_MAX, fault).prop_map(|(at_ms, for_ms, fault)| Step {
        at_ms,
        for_ms,
        fault,
    })
}

fn one_bit() -> impl Strategy<Value = u8> {
    (0..8_u8).prop_map(|n| 1 << n)
}
