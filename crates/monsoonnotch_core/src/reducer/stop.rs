//! Graceful shutdown, and shutdown after an eviction.

use super::Control;
use crate::call::Call;
use crate::call::State;
use crate::effect::Effect;
use crate::ident::CallKey;
use crate::ledger::Ending;
use crate::notice::Notice;
use crate::verdict::Reason;
use crate::verdict::Refusal;

use super::calls::RETRY_AFTER;

/// Progress of a shutdown.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stopping {
    /// No shutdown was requested.
    #[default]
    No,
    /// Running requests are being completed.
    Draining,
    /// The `Leave` record was written.
    Leaving,
    /// The membership has ended.
    Stopped,
}

impl Stopping {
    pub(super) fn begun(self) -> bool {
        self != Self::No
    }

    /// Returns whether the holdings are being passed to the successor.
    pub(super) fn is_leaving(self) -> bool {
        matches!(self, Self::Leaving | Self::Stopped)
    }
}

impl Control {
    pub(super) fn stop(&mut self) {
        if self.stopping.begun() {
            return;
        }
        self.stopping = Stopping::Draining;
        self.log_notice(Notice::Stopping);
        self.refuse_all_waiting(Reason::Stopping);
    }

    pub(super) fn tick_stop(&mut self) {
        self.expire_changes();
        self.unlock_allotments();
        match self.stopping {
            Stopping::Draining if self.drained() => {
                if self.ledger.is_member(self.cfg.me) {
                    self.stopping = Stopping::Leaving;
                    self.leave();
                } else {
                    self.stopped();
                }
            }
            _ => {}
        }
    }

    /// Handles the end of this member's own membership in the ledger, by leaving or by eviction.
    pub(super) fn own_membership_ended(&mut self, ending: Ending) {
        if !ending.left {
            self.log_notice(Notice::SelfEvicted);
        }
        self.refuse_all_waiting(Reason::Uncertain);
        self.refuse_all_changes();
        self.refuse_all_jobs();
        self.stopped();
    }

    fn stopped(&mut self) {
        if self.stopping != Stopping::Stopped {
            self.stopping = Stopping::Stopped;
            self.effects.push(Effect::Stopped);
        }
    }

    fn refuse_all_waiting(&mut self, reason: Reason) {
        let waits = |c: &Call| !matches!(c.state, State::Local(_) | State::Remote { .. });
        let open = self.calls.open.iter();
        let keys: Vec<CallKey> = open.filter(|(_, c)| waits(c)).map(|(k, _)| *k).collect();
        for call in keys {
            self.refuse_waiting_call(call, Refusal::later(reason, RETRY_AFTER));
        }
    }

    /// Returns whether no request of a caller or of a peer is open here, the journal is idle and
    /// the holdings may be passed on.
    fn drained(&self) -> bool {
        self.calls.open.is_empty()
            && self.calls.granted.is_empty()
            && self.journal_is_idle()
            && self.is_settled()
    }
}
