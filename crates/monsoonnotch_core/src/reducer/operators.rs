//! Configuration changes by operators, from the request to the answer.

use std::collections::BTreeMap;

use super::Control;
use crate::config::Change;
use crate::config::ChangeOutcome;
use crate::effect::Answer;
use crate::effect::Effect;
use crate::ident::MemberId;
use crate::ident::Ticket;
use crate::notice::Notice;
use crate::record::Body;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

/// Time after which the outcome of a change whose record was not read back is reported as
/// unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Changes whose records are not read back yet, by sequence number.
#[derive(Debug, Default)]
pub(super) struct Operators {
    waiting: BTreeMap<u64, (Time, Ticket)>,
}

impl Control {
    pub(super) fn change(&mut self, ticket: Ticket, change: Change) {
        if self.stopping.begun() {
            return self.refuse_ticket(
                ticket,
                Refusal::later(Reason::Stopping, Duration::from_secs(1)),
            );
        }
        if self.log.unavailable || !self.ledger.is_member(self.cfg.me) {
            return self.refuse_ticket(
                ticket,
                Refusal::later(Reason::LogUnavailable, Duration::from_secs(5)),
            );
        }
        let seq = self.write(Body::Config(change));
        self.operators.waiting.insert(seq, (self.now, ticket));
    }

    pub(super) fn change_read(&mut self, writer: MemberId, seq: u64, outcome: ChangeOutcome) {
        if let ChangeOutcome::Applied(v) = outcome {
            self.log_notice(Notice::ConfigApplied(v));
        }
        if writer != self.cfg.me {
            return;
        }
        if let Some((_, ticket)) = self.operators.waiting.remove(&seq) {
            let answer = Answer::Change(outcome);
            self.effects.push(Effect::Answer { ticket, answer });
        }
    }

    pub(super) fn expire_changes(&mut self) {
        let now = self.now;
        let late = |(at, _): &(Time, Ticket)| now.since(*at) > CHANGE_TIMEOUT;
        let waiting = std::mem::take(&mut self.operators.waiting);
        for (seq, w) in waiting {
            if late(&w) {
                self.refuse_change(w.1);
            } else {
                self.operators.waiting.insert(seq, w);
            }
        }
    }

    pub(super) fn refuse_all_changes(&mut self) {
        for (_, ticket) in std::mem::take(&mut self.operators.waiting).into_values() {
            self.refuse_change(ticket);
        }
    }

    pub(super) fn refuse_ticket(&mut self, ticket: Ticket, refusal: Refusal) {
        let answer = Answer::Refused(refusal);
        self.effects.push(Effect::Answer { ticket, answer });
    }

    /// Answers that the outcome of a change is unknown: its record may be in the log or get there
    /// later.
    fn refuse_change(&mut self, ticket: Ticket) {
        self.refuse_ticket(
            ticket,
            Refusal {
                verdict: Verdict::MayHaveRun,
                reason: Reason::LogUnavailable,
                retry_after: Some(Duration::from_secs(5)),
            },
        );
    }
}
