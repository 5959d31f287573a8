//! Reading of the control stream, from the platform and from batches that peers relay.

use std::collections::BTreeMap;

use super::Control;
use crate::effect::Effect;
use crate::event::ReadReply;
use crate::ident::MemberId;
use crate::ledger::AppliedChange;
use crate::ledger::Ending;
use crate::ledger::Ledger;
use crate::notice::Notice;
use crate::record::Batch;
use crate::record::Body;
use crate::record::Stream;
use crate::time::Time;
use crate::wire::Relayed;

/// Number of batches kept for relaying to peers that lag behind.
const HISTORY_BATCHES_MAX: usize = 512;
/// Maximum number of batches relayed in one message.
const RELAY_BATCHES_MAX: usize = 64;
/// Read intervals after which a read without a reply is abandoned.
const READ_TIMEOUT_INTERVALS: u64 = 8;

/// State of the control stream reader.
#[derive(Debug, Default)]
pub(super) struct LogReader {
    /// Time at which the pending read was sent; `None` if no read is pending.
    read_sent: Option<Time>,
    /// Time of the next read.
    due: Time,
    /// Batches that cannot be applied yet because earlier ones are missing, by offset.
    backlog: BTreeMap<u64, Batch>,
    /// Whether the last exchange with the log failed.
    pub(super) unavailable: bool,
    /// Whether the `Join` record was written.
    join_written: bool,
    /// Offset up to which the newest snapshot that was read covers the stream.
    snapshot_end: u64,
    /// Offset at which the search for a usable snapshot continues; 0 when none is needed.
    scan_from: u64,
}

impl Control {
    pub(super) fn read_if_due(&mut self) {
        let timing = &self.cfg.timing;
        let lost = timing.read_interval.times(READ_TIMEOUT_INTERVALS);
        let waiting = self.log.read_sent.is_some_and(|t| self.now.since(t) < lost);
        if waiting || self.now < self.log.due {
            return;
        }
        self.log.read_sent = Some(self.now);
        self.log.due = self.now + timing.read_interval;
        let from = self.ledger.next.max(self.log.scan_from);
        self.effects.push(Effect::Read { from });
    }

    /// Reads without waiting for the read interval.
    pub(super) fn read_now(&mut self) {
        self.log.due = self.now;
        self.read_if_due();
    }

    pub(super) fn log_read(&mut self, reply: ReadReply) {
        self.log.read_sent = None;
        self.set_unavailable(false);
        let page_end = reply.batches.last().map(|(offset, _)| offset + 1);
        for (offset, batch) in reply.batches {
            match batch {
                Some(batch) => self.add_to_backlog(offset, batch),
                None => self.skip_bad_record(offset),
            }
        }
        if self.ledger.next < reply.first {
            self.restore(reply.first);
        }
        let behind = self.ledger.next < reply.first;
        self.log.scan_from = page_end.filter(|_| behind).unwrap_or(0);
        self.apply_backlog();
        if self.ledger.next >= reply.tail {
            self.guarding.read_to_tail(reply.asked);
            self.join_once();
            self.snapshot_if_due();
        } else if page_end.is_some() {
            self.read_now();
        }
    }

    pub(super) fn log_failed(&mut self, stream: Stream) {
        match stream {
            Stream::Control => {
                self.log.read_sent = None;
                self.log.due = self.now + self.cfg.timing.read_interval;
                self.set_unavailable(true);
            }
            Stream::Journal(m) => self.journal_failed(m),
        }
    }

    pub(super) fn appended(&mut self, stream: Stream, token: u64) {
        match stream {
            Stream::Control => self.append_confirmed(token),
            Stream::Journal(m) if m == self.cfg.me => self.journal_appended(token),
            // A reply for an earlier incarnation of this process.
            Stream::Journal(_) => {}
        }
    }

    /// Applies batches that a peer relayed.
    pub(super) fn relayed(&mut self, records: Vec<Relayed>) {
        for r in records {
            self.add_to_backlog(r.offset, r.batch);
        }
        self.apply_backlog();
    }

    /// Returns the batches from offset `next` on; empty if the history begins after `next`.
    pub(super) fn relay_from(&self, next: u64) -> Vec<Relayed> {
        let oldest = self.history.front().map_or(u64::MAX, |r| r.offset);
        if next < oldest {
            return Vec::new();
        }
        let skip = usize::try_from(next - oldest).unwrap_or(usize::MAX);
        let lacking = self.history.iter().skip(skip);
        lacking.take(RELAY_BATCHES_MAX).cloned().collect()
    }

    fn set_unavailable(&mut self, unavailable: bool) {
        if self.log.unavailable == unavailable {
            return;
        }
        self.log.unavailable = unavailable;
        self.log_notice(match unavailable {
            true => Notice::LogUnavailable,
            false => Notice::LogAvailable,
        });
    }

    fn add_to_backlog(&mut self, offset: u64, batch: Batch) {
        if offset >= self.ledger.next {
            self.log.backlog.insert(offset, batch);
        }
    }

    /// Replaces an undecodable batch by an empty one, as every reader does.
    fn skip_bad_record(&mut self, offset: u64) {
        self.log_notice(Notice::BadRecord(offset));
        let writer = MemberId(0);
        let records = Vec::new();
        self.add_to_backlog(offset, Batch { writer, records });
    }

    /// Restores the ledger from the newest snapshot, because records before `first` are deleted.
    fn restore(&mut self, first: u64) {
        let usable = |l: &&Ledger| l.next >= first;
        let snapshots = self.log.backlog.values().flat_map(snapshots_in);
        let newest = snapshots.filter(usable).max_by_key(|l| l.next).cloned();
        let before = self.own_allotments();
        let members: Vec<MemberId> = self.ledger.members.keys().copied().collect();
        if let Some(snapshot) = newest
            && self.ledger.restore(&snapshot)
        {
            self.history.clear();
            let own = self.ledger.seqs.get(&self.cfg.me).copied();
            self.own_read_back(own.unwrap_or(0));
            let mut changes = vec![AppliedChange::Restored];
            changes.extend(self.ended_by_snapshot(members));
            self.allotments_changed(&before, &changes);
            self.ledger_changed(&changes);
        }
    }

    /// Returns the endings that a restored snapshot implies: of the previous `members` and of this
    /// member, if they are no longer members.
    fn ended_by_snapshot(&self, mut members: Vec<MemberId>) -> Vec<AppliedChange> {
        let me = self.cfg.me;
        if self.ledger.endings.contains_key(&me) && !members.contains(&me) {
            members.push(me);
        }
        members.retain(|m| !self.ledger.is_member(*m));
        let unknown_ending = Ending {
            successor: None,
            offset: self.ledger.next,
            left: false,
            at_once: false,
        };
        let ending = |m: &MemberId| {
            self.ledger
                .endings
                .get(m)
                .copied()
                .unwrap_or(unknown_ending)
        };
        members
            .iter()
            .map(|m| AppliedChange::Ended(*m, ending(m)))
            .collect()
    }

    fn apply_backlog(&mut self) {
        while let Some(batch) = self.log.backlog.remove(&self.ledger.next) {
            self.apply(batch);
        }
        let next = self.ledger.next;
        self.log.backlog.retain(|offset, _| *offset >= next);
    }

    fn apply(&mut self, mut batch: Batch) {
        let offset = self.ledger.next;
        let before = self.own_allotments();
        let changes = self.ledger.apply(offset, &batch);
        if batch.writer == self.cfg.me {
            let last = self.ledger.seqs.get(&self.cfg.me).copied();
            self.own_read_back(last.unwrap_or(0));
        }
        for snapshot in snapshots_in(&batch) {
            self.log.snapshot_end = snapshot.next.max(self.log.snapshot_end);
        }
        self.allotments_changed(&before, &changes);
        self.ledger_changed(&changes);
        // A snapshot changes nothing for a member that has read this far. Its sequence number in
        // the writer's order must stay.
        for r in &mut batch.records {
            if matches!(r.body, Body::Snapshot { .. }) {
                r.body = Body::Omitted;
            }
        }
        self.history.push_back(Relayed { offset, batch });
        if self.history.len() > HISTORY_BATCHES_MAX {
            self.history.pop_front();
        }
    }

    fn own_read_back(&mut self, seq: u64) {
        self.writer.read_back(seq);
        self.guarding.read_back(seq);
    }

    fn ledger_changed(&mut self, changes: &[AppliedChange]) {
        for change in changes {
            self.apply_change(change);
        }
        self.guarding.update_guarded(self.now, &self.ledger);
        self.holdings_changed(changes);
    }

    fn apply_change(&mut self, change: &AppliedChange) {
        match change {
            AppliedChange::Joined(m) if *m == self.cfg.me => self.log_notice(Notice::Joined(*m)),
            AppliedChange::Ended(m, ending) => self.member_ended(*m, *ending),
            AppliedChange::Config {
                writer,
                seq,
                outcome,
            } => self.change_read(*writer, *seq, *outcome),
            _ => {}
        }
    }

    fn join_once(&mut self) {
        if self.log.join_written {
            return;
        }
        self.log.join_written = true;
        self.write(Body::Join {
            domain: self.cfg.domain.clone(),
            addr: self.cfg.addr.clone(),
        });
    }

    /// Writes a snapshot if one is due.
    ///
    /// The first member by identifier writes it; each further member does so only after a longer
    /// delay, in case those before it lag.
    fn snapshot_if_due(&mut self) {
        let rank = self.ledger.members.keys().position(|m| *m == self.cfg.me);
        let Some(rank) = rank else {
            return;
        };
        let since = self.ledger.next - self.log.snapshot_end;
        let every = self.cfg.snapshot_every;
        if since > every + every / 4 * rank as u64 && self.writer.is_empty() {
            self.log.snapshot_end = self.ledger.next;
            let ledger = Box::new(self.ledger.clone());
            self.write(Body::Snapshot { ledger });
        }
    }
}

fn snapshots_in(batch: &Batch) -> impl Iterator<Item = &Ledger> {
    batch.records.iter().filter_map(|r| match &r.body {
        Body::Snapshot { ledger } => Some(ledger.as_ref()),
        _ => None,
    })
}
