//! Reading the control stream, from the platform or by way of peers.

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

/// Batches kept to pass on to peers that lag.
const HISTORY_MAX: usize = 512;
/// Batches passed on in one message.
const RELAY_MAX: usize = 64;
/// Time after which a read without any answer is given up, as a multiple of the pause.
const READ_TIMEOUT_PAUSES: u64 = 8;

/// The state of reading.
#[derive(Debug, Default)]
pub(super) struct LogReader {
    /// When the read that is out was sent.
    out: Option<Time>,
    /// When to read next.
    due: Time,
    /// Batches that cannot be applied yet, because something before them is missing.
    backlog: BTreeMap<u64, Batch>,
    /// Whether the last exchange with the log failed.
    pub(super) dark: bool,
    /// Whether the record of joining was written.
    joining: bool,
    /// End of what the newest snapshot seen covers.
    snapshot: u64,
    /// Where to read on while looking for a snapshot to start from.
    ahead: u64,
}

impl Control {
    pub(super) fn read_if_due(&mut self) {
        let timing = &self.cfg.timing;
        let lost = timing.read_interval.times(READ_TIMEOUT_PAUSES);
        let waiting = self.log.out.is_some_and(|t| self.now.since(t) < lost);
        if waiting || self.now < self.log.due {
            return;
        }
        self.log.out = Some(self.now);
        self.log.due = self.now + timing.read_interval;
        let from = self.ledger.next.max(self.log.ahead);
        self.out.push(Effect::Read { from });
    }

    /// Reads without waiting for the next turn.
    pub(super) fn read_now(&mut self) {
        self.log.due = self.now;
        self.read_if_due();
    }

    pub(super) fn log_read(&mut self, reply: ReadReply) {
        self.log.out = None;
        self.set_dark(false);
        let page_end = reply.batches.last().map(|(offset, _)| offset + 1);
        for (offset, batch) in reply.batches {
            match batch {
                Some(batch) => self.keep(offset, batch),
                None => self.skip_bad_record(offset),
            }
        }
        if self.ledger.next < reply.first {
            self.restore(reply.first);
        }
        let behind = self.ledger.next < reply.first;
        self.log.ahead = page_end.filter(|_| behind).unwrap_or(0);
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
                self.log.out = None;
                self.log.due = self.now + self.cfg.timing.read_interval;
                self.set_dark(true);
            }
            Stream::Journal(m) => self.journal_failed(m),
        }
    }

    pub(super) fn appended(&mut self, stream: Stream, token: u64) {
        match stream {
            Stream::Control => self.append_confirmed(token),
            Stream::Journal(m) if m == self.cfg.me => self.journal_appended(token),
            // A reply to a former member of this process.
            Stream::Journal(_) => {}
        }
    }

    /// Takes batches that a peer passed on.
    pub(super) fn relayed(&mut self, records: Vec<Relayed>) {
        for r in records {
            self.keep(r.offset, r.batch);
        }
        self.apply_backlog();
    }

    /// Batches that a peer at position `next` lacks.
    pub(super) fn relay_from(&self, next: u64) -> Vec<Relayed> {
        let oldest = self.history.front().map_or(u64::MAX, |r| r.offset);
        if next < oldest {
            return Vec::new();
        }
        let skip = usize::try_from(next - oldest).unwrap_or(usize::MAX);
        let lacking = self.history.iter().skip(skip);
        lacking.take(RELAY_MAX).cloned().collect()
    }

    fn set_dark(&mut self, dark: bool) {
        if self.log.dark == dark {
            return;
        }
        self.log.dark = dark;
        self.note(match dark {
            true => Notice::LogUnavailable,
            false => Notice::LogAvailable,
        });
    }

    fn keep(&mut self, offset: u64, batch: Batch) {
        if offset >= self.ledger.next {
            self.log.backlog.insert(offset, batch);
        }
    }

    /// An undecodable record changes nothing, for every reader alike.
    fn skip_bad_record(&mut self, offset: u64) {
        self.note(Notice::BadRecord(offset));
        let writer = MemberId(0);
        let records = Vec::new();
        self.keep(offset, Batch { writer, records });
    }

    /// Starts again from a snapshot, because records before `first` are gone.
    fn restore(&mut self, first: u64) {
        let usable = |l: &&Ledger| l.next >= first;
        let snapshots = self.log.backlog.values().flat_map(snapshots_in);
        let newest = snapshots.filter(usable).max_by_key(|l| l.next).cloned();
        let before = self.own_parts();
        let members: Vec<MemberId> = self.ledger.members.keys().copied().collect();
        if let Some(snapshot) = newest
            && self.ledger.restore(&snapshot)
        {
            self.history.clear();
            let own = self.ledger.seqs.get(&self.cfg.me).copied();
            self.own_read_back(own.unwrap_or(0));
            let mut folded = vec![AppliedChange::Restored];
            folded.extend(self.ended_unread(members));
            self.parts_changed(&before, &folded);
            self.folded(&folded);
        }
    }

    /// What a snapshot says of members that were present, and of this one, and are so no more.
    fn ended_unread(&self, mut members: Vec<MemberId>) -> Vec<AppliedChange> {
        let me = self.cfg.me;
        if self.ledger.endings.contains_key(&me) && !members.contains(&me) {
            members.push(me);
        }
        members.retain(|m| !self.ledger.is_member(*m));
        let forgotten = Ending {
            successor: None,
            offset: self.ledger.next,
            left: false,
            at_once: false,
        };
        let ending = |m: &MemberId| self.ledger.endings.get(m).copied().unwrap_or(forgotten);
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
        let before = self.own_parts();
        let folded = self.ledger.apply(offset, &batch);
        if batch.writer == self.cfg.me {
            let last = self.ledger.seqs.get(&self.cfg.me).copied();
            self.own_read_back(last.unwrap_or(0));
        }
        for snapshot in snapshots_in(&batch) {
            self.log.snapshot = snapshot.next.max(self.log.snapshot);
        }
        self.parts_changed(&before, &folded);
        self.folded(&folded);
        // A snapshot changes nothing for whoever has read this far; its place in
        // the writer's order must stay.
        for r in &mut batch.records {
            if matches!(r.body, Body::Snapshot { .. }) {
                r.body = Body::Omitted;
            }
        }
        self.history.push_back(Relayed { offset, batch });
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
    }

    fn own_read_back(&mut self, seq: u64) {
        self.writer.read_back(seq);
        self.guarding.read_back(seq);
    }

    fn folded(&mut self, folded: &[AppliedChange]) {
        for f in folded {
            self.folded_one(f);
        }
        self.guarding.update_guarded(self.now, &self.ledger);
        self.holdings_read(folded);
    }

    fn folded_one(&mut self, f: &AppliedChange) {
        match f {
            AppliedChange::Joined(m) if *m == self.cfg.me => self.note(Notice::Joined(*m)),
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
        if self.log.joining {
            return;
        }
        self.log.joining = true;
        self.write(Body::Join {
            domain: self.cfg.domain.clone(),
            addr: self.cfg.addr.clone(),
        });
    }

    /// The first members by identifier write snapshots; others only when those lag.
    fn snapshot_if_due(&mut self) {
        let rank = self.ledger.members.keys().position(|m| *m == self.cfg.me);
        let Some(rank) = rank else {
            return;
        };
        let since = self.ledger.next - self.log.snapshot;
        let every = self.cfg.snapshot_every;
        if since > every + every / 4 * rank as u64 && self.writer.is_empty() {
            self.log.snapshot = self.ledger.next;
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
