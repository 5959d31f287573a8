//! Runtime checks of invariants.
//!
//! Debug builds and tests check them after every event and panic on a
//! violation. Release builds check them once a second; a violation is logged
//! and counted, and the process continues.

use super::Control;
use crate::notice::Notice;
use crate::time::Duration;

/// Interval between two checks in release builds.
const RELEASE_INTERVAL: Duration = Duration::from_secs(1);

impl Control {
    /// Checks the invariants, if a check is due.
    pub(super) fn check_invariants(&mut self) {
        let early = self.now.since(self.invariants_checked) < RELEASE_INTERVAL;
        if !cfg!(debug_assertions) && early {
            return;
        }
        self.invariants_checked = self.now;
        if let Some(what) = self.broken_invariant() {
            self.log_notice(Notice::InvariantBroken(what));
            debug_assert!(false, "invariant broken: {what}");
        }
    }

    fn broken_invariant(&self) -> Option<&'static str> {
        let over = |(_, vm): (_, &crate::fleet::Vm)| !vm.info.total.fits(&vm.used);
        if self.fleet.held().any(over) {
            return Some("the use of a VM exceeds its capacity");
        }
        let teams = &self.ledger.config.teams;
        let beyond = |(n, t): (
            &crate::ident::Name,
            &crate::config::Versioned<crate::config::Team>,
        )| { self.ledger.allotments.total(n) > t.value.limit };
        if teams.iter().any(beyond) {
            return Some("the allotments of a team add up to more than its limit");
        }
        self.use_count_error()
    }
}
