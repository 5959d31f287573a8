//! Invariants, asserted while the program runs.
//!
//! In debug builds and tests they are checked after every event, and a broken
//! one panics. In release they are checked each second; a broken one is logged
//! and counted, and the program goes on.

use super::Control;
use crate::notice::Notice;
use crate::time::Duration;

/// Pause between two checks in release.
const RELEASE_PAUSE: Duration = Duration::from_secs(1);

impl Control {
    /// Checks what must hold after every event, if it is time to.
    pub(super) fn check_invariants(&mut self) {
        let early = self.now.since(self.checked) < RELEASE_PAUSE;
        if !cfg!(debug_assertions) && early {
            return;
        }
        self.checked = self.now;
        if let Some(what) = self.broken_invariant() {
            self.note(Notice::InvariantBroken(what));
            debug_assert!(false, "invariant broken: {what}");
        }
    }

    fn broken_invariant(&self) -> Option<&'static str> {
        let over = |(_, vm): (_, &crate::fleet::Vm)| !vm.info.total.fits(&vm.used);
        if self.fleet.held().any(over) {
            return Some("a VM holds more than it can");
        }
        let teams = &self.ledger.config.teams;
        let beyond = |(n, t): (
            &crate::ident::Name,
            &crate::config::Versioned<crate::config::Team>,
        )| { self.ledger.allotments.total(n) > t.value.limit };
        if teams.iter().any(beyond) {
            return Some("the parts of a team's limit add up to more than it");
        }
        self.wrong_use()
    }
}
