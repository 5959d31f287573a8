//! The ledger: the members and the holder of each holding, from the control stream.
//!
//! Every process applies the same records in the same order, and so reaches the
//! same state. Conflicts are resolved by log order: the first valid claim wins,
//! only its holder can transfer a holding, and all holdings of an evicted
//! member pass to one successor.

mod allotments;
mod apply;
mod holdings;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

pub use self::allotments::Allotments;
use crate::config::ChangeOutcome;
use crate::config::Config;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::RangeId;

/// Number of guards of each member, if there are enough other members.
pub const GUARDS: usize = 3;
/// Number of guards whose votes evict a member.
pub const EVICTING_VOTES: usize = 2;

/// The state of a present member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The failure domain that the member is in.
    pub domain: Name,
    /// Address at which peers reach the member, as `ip:port`.
    pub addr: Name,
    /// Present guards, in the order in which the member set them.
    pub guards: Vec<MemberId>,
    /// Offset of the record from which each present guard counts as one.
    pub since: BTreeMap<MemberId, u64>,
    /// Present guards that voted to evict the member.
    pub votes: BTreeSet<MemberId>,
}

impl Member {
    /// Returns the number of votes that evict the member.
    ///
    /// A member with fewer than `GUARDS` guards derives its certainty from reads of the log only
    /// and not from promises, so evicting it with fewer votes is safe.
    fn evicting_votes(&self) -> usize {
        EVICTING_VOTES.min(self.guards.len())
    }

    /// Sets the guards from `offset` on.
    ///
    /// When the set changes to one of fewer than `GUARDS` members, all of them count as new
    /// guards, because the member may still rely on promises of the previous set.
    fn put_guards(&mut self, offset: u64, guards: Vec<MemberId>) {
        let set: BTreeSet<MemberId> = guards.iter().copied().collect();
        let changed = !set.iter().eq(self.since.keys());
        if changed && guards.len() < GUARDS {
            self.since.clear();
            self.votes.clear();
        }
        self.since.retain(|g, _| set.contains(g));
        self.votes.retain(|g| set.contains(g));
        for g in set {
            self.since.entry(g).or_insert(offset);
        }
        self.guards = guards;
    }
}

/// How a member ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// The member that took over the holdings; `None` when no other member was present.
    #[serde(rename = "heir")]
    pub successor: Option<MemberId>,
    /// Offset of the record that ended the membership.
    pub offset: u64,
    /// Whether the member left after a graceful shutdown, rather than being evicted.
    pub left: bool,
    /// Whether the successor may use the holdings without a waiting period.
    pub at_once: bool,
}

/// The state that results from applying the records of the control stream.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Offset of the next record to apply.
    pub next: u64,
    /// Present members, by identifier.
    pub members: BTreeMap<MemberId, Member>,
    /// Ended members, kept so that their late records are ignored.
    pub endings: BTreeMap<MemberId, Ending>,
    /// Sequence number of the last applied record, by writer.
    pub seqs: BTreeMap<MemberId, u64>,
    /// Holder of each VM that has one.
    pub vms: BTreeMap<Name, MemberId>,
    /// Holder of each hash range that has one.
    pub ranges: BTreeMap<RangeId, MemberId>,
    /// Ended members whose journals a present member has yet to adopt, by that member.
    #[serde(rename = "ancestors")]
    pub predecessors: BTreeMap<MemberId, BTreeSet<MemberId>>,
    /// Parts of the teams' limits, by holder.
    pub allotments: Allotments,
    /// The configuration that operators have published.
    pub config: Config,
}

/// A change of the ledger by one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppliedChange {
    /// A member joined.
    Joined(MemberId),
    /// The guards of a member were set or replaced.
    GuardsChanged(MemberId),
    /// A guard voted to evict a member.
    Voted {
        /// The guard that voted.
        guard: MemberId,
        /// The member to evict.
        target: MemberId,
    },
    /// A member left or was evicted.
    Ended(MemberId, Ending),
    /// Holdings were claimed, transferred or released.
    HoldingsMoved,
    /// A configuration change was applied or rejected.
    Config {
        /// The member that wrote the record.
        writer: MemberId,
        /// Sequence number of the record.
        seq: u64,
        /// The result of the change.
        outcome: ChangeOutcome,
    },
    /// The ledger was replaced by a snapshot.
    Restored,
}

impl Ledger {
    /// Returns whether a member is present.
    pub fn is_member(&self, m: MemberId) -> bool {
        self.members.contains_key(&m)
    }

    /// Returns the holder of a VM; `None` when it has none.
    pub fn holder_of_vm(&self, vm: &str) -> Option<MemberId> {
        self.vms.get(vm).copied()
    }

    /// Returns the holder of the range of a hash; `None` when the range has none.
    pub fn home_of(&self, hash: u64) -> Option<MemberId> {
        self.ranges.get(&RangeId::of(hash)).copied()
    }

    /// Returns the next guard for a member, other than those in `have` and `not`.
    ///
    /// Members in failure domains without a guard in `have` are preferred; among equals, the
    /// first in ring order after `m` is returned. `None` when no member is left.
    pub fn next_guard(&self, m: MemberId, have: &[MemberId], not: &[MemberId]) -> Option<MemberId> {
        let able = |g: &MemberId| !have.contains(g) && !not.contains(g);
        let domain = |g: &MemberId| self.members.get(g).map(|x| &x.domain);
        let covered: BTreeSet<&Name> = have.iter().filter_map(domain).collect();
        let uncovered = |g: &MemberId| able(g) && domain(g).is_some_and(|d| !covered.contains(d));
        let best = self.ring_after(m).find(uncovered);
        best.or_else(|| self.ring_after(m).find(able))
    }

    /// Iterates over the other members in ring order, starting after `m`.
    pub fn ring_after(&self, m: MemberId) -> impl Iterator<Item = MemberId> {
        use std::ops::Bound::Excluded;
        use std::ops::Bound::Unbounded;
        let after = self.members.range((Excluded(m), Unbounded));
        let before = self.members.range(..m);
        after.chain(before).map(|(id, _)| *id)
    }
}
