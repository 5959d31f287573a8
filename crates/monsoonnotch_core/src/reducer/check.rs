//! Invariants, asserted while the program runs.
//!
//! A broken one panics in debug builds and tests; in release it is logged and
//! counted, and the program goes on.

use super::Control;
use crate::notice::Notice;

impl Control {
    /// Checks what must hold after every event.
    pub(super) fn check_invariants(&mut self) {
        if !cfg!(debug_assertions) {
            return;
        }
        if let Some(what) = self.broken_invariant() {
            self.note(Notice::Broken(what));
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
        None
    }
}
