//! The faults that the simulation injects.

use crate::vm::Traits;

/// The faults to inject, each as a probability per message or run.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Faults {
    /// An order gets no answer; the VM executes it at once or seconds later.
    pub(crate) unanswered: f64,
    /// The answer to a status poll is lost.
    pub(crate) lost: f64,
    /// A run fails.
    pub(crate) failed: f64,
    /// Whether every order and poll has the timeout that its sender sets. Otherwise only
    /// unanswered orders have one.
    pub(crate) timeouts: bool,
    /// A message is retransmitted, which delays it by 200 ms to 2 s.
    pub(crate) retransmitted: f64,
    /// An unanswered order is executed a second time, seconds later.
    pub(crate) repeated: f64,
    /// A VM refuses a start as unhealthy, or because the approval is no longer valid.
    pub(crate) refused: f64,
    /// An order is not sent, because the connection fails.
    pub(crate) not_sent: f64,
    /// A member reads a record of the journal seconds later.
    pub(crate) journal_late: f64,
    /// An append takes seconds to be stored or to be answered.
    pub(crate) append_late: f64,
    /// Whether earlier leaders also learn of the records that other members store.
    pub(crate) reported_to_all: bool,
}

impl Faults {
    /// Returns the faults of links that lose a share of their packets.
    pub(crate) fn lossy(share: f64) -> Self {
        Self {
            unanswered: share / 4.0,
            lost: share / 4.0,
            failed: 0.03,
            timeouts: true,
            retransmitted: share,
            repeated: 0.3,
            refused: share / 4.0,
            not_sent: share / 4.0,
            ..Self::default()
        }
    }

    /// Returns no faults, but the timeouts stay.
    pub(crate) fn none_with_timeouts() -> Self {
        Self {
            timeouts: true,
            ..Self::default()
        }
    }
}

/// Returns VMs with a stop grace, the longest lease of the sites and slow clocks.
pub(crate) fn vm_traits(stop_grace_ms: u64, enforces_capacity: bool) -> Traits {
    Traits {
        drift_milli: 20,
        lease_max_ms: 10_000,
        stop_grace_ms,
        enforces_capacity,
        ..Traits::default()
    }
}
