//! Appends to the control stream, with each record taking effect once and in order.

use std::collections::VecDeque;

use super::Control;
use crate::effect::Effect;
use crate::ident::MemberId;
use crate::record::Batch;
use crate::record::Body;
use crate::record::Record;
use crate::time::Time;

/// Maximum number of records in one append.
const BATCH_MAX: usize = 256;

/// Records that are not yet read back from the control stream.
///
/// A record whose append got no reply is sent again under the same sequence
/// number, so that readers apply it once.
#[derive(Debug)]
pub(super) struct Writer {
    seq: u64,
    token: u64,
    pending: VecDeque<Record>,
    /// Send time and last sequence number of the append in flight.
    in_flight: Option<(Time, u64)>,
    /// Last sequence number that is confirmed to be in the log.
    confirmed: u64,
}

impl Writer {
    /// Creates a writer without records.
    ///
    /// Tokens start at a value derived from the member identifier, so that late
    /// replies to an earlier incarnation of the process confirm nothing here.
    pub(super) fn new(me: MemberId) -> Self {
        Self {
            seq: 0,
            token: me.0,
            pending: VecDeque::new(),
            in_flight: None,
            confirmed: 0,
        }
    }

    pub(super) fn push(&mut self, body: Body) -> u64 {
        self.seq += 1;
        let seq = self.seq;
        self.pending.push_back(Record { seq, body });
        seq
    }

    pub(super) fn read_back(&mut self, seq: u64) {
        self.pending.retain(|r| r.seq > seq);
        self.confirmed = self.confirmed.max(seq);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn confirmed(&mut self, token: u64) -> bool {
        let current = token == self.token;
        if let (true, Some((_, seq))) = (current, self.in_flight) {
            self.confirmed = self.confirmed.max(seq);
            self.in_flight = None;
        }
        current
    }

    fn next_batch(&mut self, now: Time) -> Option<Vec<Record>> {
        let unconfirmed = |r: &&Record| r.seq > self.confirmed;
        let records: Vec<Record> = self
            .pending
            .iter()
            .filter(unconfirmed)
            .take(BATCH_MAX)
            .cloned()
            .collect();
        self.in_flight = Some((now, records.last()?.seq));
        self.token = self.token.wrapping_add(1);
        Some(records)
    }
}

impl Control {
    pub(super) fn write(&mut self, body: Body) -> u64 {
        self.writer.push(body)
    }

    pub(super) fn flush_writer(&mut self) {
        let wait = self.cfg.timing.append_retry;
        let waits = |(sent, _): (Time, u64)| self.now.since(sent) < wait;
        if self.writer.in_flight.is_some_and(waits) {
            return;
        }
        let Some(records) = self.writer.next_batch(self.now) else {
            return;
        };
        let writer = self.cfg.me;
        self.effects.push(Effect::Append {
            token: self.writer.token,
            batch: Batch { writer, records },
        });
    }

    pub(super) fn append_confirmed(&mut self, token: u64) {
        if self.writer.confirmed(token) {
            self.read_now();
        }
    }
}
