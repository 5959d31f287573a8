//! The effect of each record on the ledger.

use super::AppliedChange;
use super::Ending;
use super::GUARDS;
use super::Ledger;
use super::Member;
use crate::config::Change;
use crate::config::Setting;
use crate::ident::MemberId;
use crate::record::Batch;
use crate::record::Body;
use crate::record::Record;

/// Maximum number of ended members that the ledger keeps.
///
/// It exceeds the number of members that can end while an append is in flight, so that late
/// records of an ended member are recognised.
const ENDINGS_MAX: usize = 1_024;

impl Ledger {
    /// Applies the batch at `offset` and returns what it changed.
    ///
    /// A batch below the ledger's position was applied before and changes nothing.
    pub fn apply(&mut self, offset: u64, batch: &Batch) -> Vec<AppliedChange> {
        let mut out = Vec::new();
        if offset < self.next {
            return out;
        }
        self.next = offset + 1;
        for record in &batch.records {
            self.apply_record(offset, batch.writer, record, &mut out);
        }
        out
    }

    /// Replaces the ledger by a snapshot that covers more records; returns whether it did.
    pub fn restore(&mut self, snapshot: &Self) -> bool {
        let newer = snapshot.next > self.next;
        if newer {
            *self = snapshot.clone();
        }
        newer
    }

    fn apply_record(
        &mut self,
        offset: u64,
        writer: MemberId,
        record: &Record,
        out: &mut Vec<AppliedChange>,
    ) {
        let joins = matches!(record.body, Body::Join { .. });
        if self.is_member(writer) == joins || self.endings.contains_key(&writer) {
            return;
        }
        let last = self.seqs.entry(writer).or_insert(0);
        if record.seq <= *last {
            return;
        }
        *last = record.seq;
        self.apply_body(offset, writer, record, out);
    }

    fn apply_body(
        &mut self,
        offset: u64,
        w: MemberId,
        record: &Record,
        out: &mut Vec<AppliedChange>,
    ) {
        match &record.body {
            Body::Join { domain, addr } => {
                let member = Member {
                    domain: domain.clone(),
                    addr: addr.clone(),
                    guards: Vec::new(),
                    since: Default::default(),
                    votes: Default::default(),
                };
                self.members.insert(w, member);
                out.push(AppliedChange::Joined(w));
                self.end_predecessor(offset, w, out);
                self.fill_guards(offset, out);
            }
            Body::Guards { guards } => self.set_guards(offset, w, guards, out),
            Body::Vote { target, read } => self.vote(offset, w, *target, *read, out),
            Body::Leave { successor, read } => self.leave(offset, w, *successor, *read, out),
            Body::Claim { holdings } => {
                self.claim(w, holdings);
                out.push(AppliedChange::HoldingsMoved);
            }
            Body::Transfer { holdings, to } => {
                self.transfer(w, holdings, *to);
                out.push(AppliedChange::HoldingsMoved);
            }
            Body::Release { holdings } => {
                self.release(w, holdings);
                out.push(AppliedChange::HoldingsMoved);
            }
            Body::Adopted { predecessor } => {
                if let Some(pending) = self.predecessors.get_mut(&w) {
                    pending.remove(predecessor);
                }
            }
            Body::Config(change) => self.configure(offset, w, record.seq, change, out),
            // A snapshot has an effect only on a member that restores its ledger from it.
            Body::Snapshot { .. } | Body::Omitted => {}
        }
    }

    fn configure(
        &mut self,
        offset: u64,
        writer: MemberId,
        seq: u64,
        change: &Change,
        out: &mut Vec<AppliedChange>,
    ) {
        let outcome = self.config.apply(offset, change);
        if let Setting::Team(name, _) = &change.set {
            let limit = self.config.teams.get(name).map_or(0, |t| t.value.limit);
            self.allotments.limit(name, limit);
        }
        out.push(AppliedChange::Config {
            writer,
            seq,
            outcome,
        });
    }

    /// Ends the earlier member that has the address of a new one.
    ///
    /// No two processes share an address, so the earlier member's process has ended.
    fn end_predecessor(&mut self, offset: u64, w: MemberId, out: &mut Vec<AppliedChange>) {
        let addr = &self.members[&w].addr;
        let same = self
            .members
            .iter()
            .filter(|(m, x)| **m != w && x.addr == *addr);
        let predecessors: Vec<MemberId> = same.map(|(m, _)| *m).collect();
        for m in predecessors {
            let ending = Ending {
                successor: Some(w),
                offset,
                left: false,
                at_once: false,
            };
            self.end(m, ending, out);
        }
    }

    /// Adds guards to members that have too few.
    fn fill_guards(&mut self, offset: u64, out: &mut Vec<AppliedChange>) {
        let few = |m: &Member| m.guards.len() < GUARDS;
        let members = self.members.iter().filter(|(_, m)| few(m));
        let ids: Vec<MemberId> = members.map(|(id, _)| *id).collect();
        for id in ids {
            let mut guards = self.members[&id].guards.clone();
            while guards.len() < GUARDS
                && let Some(next) = self.next_guard(id, &guards, &[])
            {
                guards.push(next);
            }
            let member = self.members.get_mut(&id).expect("the member is present");
            member.put_guards(offset, guards);
            out.push(AppliedChange::GuardsChanged(id));
        }
    }

    fn set_guards(
        &mut self,
        offset: u64,
        w: MemberId,
        guards: &[MemberId],
        out: &mut Vec<AppliedChange>,
    ) {
        let mut valid: Vec<MemberId> = Vec::new();
        for g in guards {
            if *g != w && self.is_member(*g) && !valid.contains(g) && valid.len() < GUARDS {
                valid.push(*g);
            }
        }
        let member = self.members.get_mut(&w).expect("the writer is a member");
        member.put_guards(offset, valid);
        out.push(AppliedChange::GuardsChanged(w));
    }

    /// Ends a member by its own record; it stopped using its holdings before it wrote the record.
    ///
    /// Holdings that it inherited by an eviction at or after `read` may still be in use.
    fn leave(
        &mut self,
        offset: u64,
        w: MemberId,
        successor: Option<MemberId>,
        read: u64,
        out: &mut Vec<AppliedChange>,
    ) {
        let named = successor.filter(|s| *s != w && self.is_member(*s));
        let successor = named.or_else(|| self.ring_after(w).next());
        let unsettled = |e: &Ending| e.successor == Some(w) && !e.at_once && e.offset >= read;
        let ending = Ending {
            successor,
            offset,
            left: true,
            at_once: !self.endings.values().any(unsettled),
        };
        self.end(w, ending, out);
    }

    /// Counts a vote, and evicts the target when the votes suffice.
    ///
    /// The vote is ignored unless its writer had read that it is a guard of the target when it
    /// cast the vote.
    fn vote(
        &mut self,
        offset: u64,
        guard: MemberId,
        target: MemberId,
        read: u64,
        out: &mut Vec<AppliedChange>,
    ) {
        let Some(member) = self.members.get_mut(&target) else {
            return;
        };
        if member.since.get(&guard).is_none_or(|since| *since >= read) {
            return;
        }
        member.votes.insert(guard);
        let evicted = member.votes.len() >= member.evicting_votes();
        out.push(AppliedChange::Voted { guard, target });
        if evicted {
            let ending = Ending {
                successor: Some(guard),
                offset,
                left: false,
                at_once: false,
            };
            self.end(target, ending, out);
        }
    }

    fn end(&mut self, m: MemberId, ending: Ending, out: &mut Vec<AppliedChange>) {
        self.members.remove(&m);
        self.seqs.remove(&m);
        self.endings.insert(m, ending);
        self.inherit(m, ending.successor);
        self.replace_guard(ending.offset, m, out);
        self.prune_endings();
        out.push(AppliedChange::Ended(m, ending));
    }

    /// Replaces a guard that ended by another member.
    fn replace_guard(&mut self, offset: u64, gone: MemberId, out: &mut Vec<AppliedChange>) {
        let affected: Vec<MemberId> = self
            .members
            .iter()
            .filter(|(_, x)| x.guards.contains(&gone))
            .map(|(id, _)| *id)
            .collect();
        for id in affected {
            let mut guards = self.members[&id].guards.clone();
            guards.retain(|g| *g != gone);
            guards.extend(self.next_guard(id, &guards, &[]));
            let member = self.members.get_mut(&id).expect("the member is present");
            member.put_guards(offset, guards);
            out.push(AppliedChange::GuardsChanged(id));
        }
    }

    fn prune_endings(&mut self) {
        while self.endings.len() > ENDINGS_MAX {
            let oldest = self.endings.iter().min_by_key(|(_, e)| e.offset);
            let id = *oldest.expect("an ended member").0;
            self.endings.remove(&id);
        }
    }
}
