//! Graceful shutdown, and the end of an evicted member.

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

/// How far a shutdown is.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stopping {
    /// Not begun.
    #[default]
    No,
    /// Requests in progress are being finished.
    Draining,
    /// The record of leaving was written.
    Leaving,
    /// Done.
    Stopped,
}

impl Stopping {
    pub(super) fn begun(self) -> bool {
        self != Self::No
    }

    /// Whether the holdings are on their way to the heir.
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
        self.note(Notice::Stopping);
        self.refuse_waiting(Reason::Stopping);
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

    /// The ledger says that this member ended: by itself, or by eviction.
    pub(super) fn ended_self(&mut self, ending: Ending) {
        if !ending.left {
            self.note(Notice::SelfEvicted);
        }
        self.refuse_waiting(Reason::Uncertain);
        self.refuse_all_changes();
        self.refuse_all_jobs();
        self.stopped();
    }

    fn stopped(&mut self) {
        if self.stopping != Stopping::Stopped {
            self.stopping = Stopping::Stopped;
            self.out.push(Effect::Stopped);
        }
    }

    fn refuse_waiting(&mut self, reason: Reason) {
        let waits = |c: &Call| !matches!(c.state, State::Local(_) | State::Remote { .. });
        let open = self.calls.open.iter();
        let keys: Vec<CallKey> = open.filter(|(_, c)| waits(c)).map(|(k, _)| *k).collect();
        for call in keys {
            self.give_up(call, Refusal::later(reason, RETRY_AFTER));
        }
    }

    /// Whether no request of own or peers' callers is in progress here, and what is held may be passed on.
    fn drained(&self) -> bool {
        self.calls.open.is_empty()
            && self.calls.granted.is_empty()
            && self.journal_is_idle()
            && self.is_settled()
    }
}
