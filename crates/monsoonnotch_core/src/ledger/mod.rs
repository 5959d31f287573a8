//! The fold over the control stream: who is a member and who holds what.
//!
//! Every process folds the same records in the same order and so comes to the
//! same state. The fold decides nothing by itself: the first valid claim in
//! log order wins, only a holder gives a thing away, and an evicted member's
//! estate passes to one heir as a whole.

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

/// Guards that a member has when there are enough members.
pub const GUARDS: usize = 3;
/// Guards whose votes evict a member.
pub const EVICTING_VOTES: usize = 2;

/// What the ledger knows of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its failure domain.
    pub domain: Name,
    /// Where its peers reach it, as `ip:port`.
    pub addr: Name,
    /// Its present guards, in the order that it named them.
    pub guards: Vec<MemberId>,
    /// Offset from which each of them counts as a guard.
    pub since: BTreeMap<MemberId, u64>,
    /// Those of them that voted to evict it.
    pub votes: BTreeSet<MemberId>,
}

impl Member {
    /// Votes that evict it.
    ///
    /// With fewer guards than `GUARDS` it starts work by the log only, so that
    /// fewer votes do no harm.
    fn evicting_votes(&self) -> usize {
        EVICTING_VOTES.min(self.guards.len())
    }

    /// Puts guards in place from `offset` on.
    ///
    /// A changed set of fewer than `GUARDS` counts as new as a whole: this
    /// member may still go by promises of the former one.
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
    /// Who took over its estate.
    #[serde(rename = "heir")]
    pub successor: Option<MemberId>,
    /// Offset of the record that ended it.
    pub offset: u64,
    /// Whether it left by itself.
    pub left: bool,
    /// Whether the heir may use the estate without waiting.
    pub at_once: bool,
}

/// The state that the control stream folds to.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Offset of the next record to apply.
    pub next: u64,
    /// Present members.
    pub members: BTreeMap<MemberId, Member>,
    /// Former members, for as long as a late record of theirs may turn up.
    pub endings: BTreeMap<MemberId, Ending>,
    /// Last sequence number applied, by writer.
    pub seqs: BTreeMap<MemberId, u64>,
    /// Holder of each VM.
    pub vms: BTreeMap<Name, MemberId>,
    /// Holder of each hash range.
    pub ranges: BTreeMap<RangeId, MemberId>,
    /// Former members whose journals the holder has yet to adopt.
    #[serde(rename = "ancestors")]
    pub predecessors: BTreeMap<MemberId, BTreeSet<MemberId>>,
    /// Parts of the teams' upper limits.
    pub allotments: Allotments,
    /// What operators have published.
    pub config: Config,
}

/// What one record changed, for whoever folds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppliedChange {
    /// A member joined.
    Joined(MemberId),
    /// A member named its guards, or lost one.
    GuardsChanged(MemberId),
    /// A guard voted against a member.
    Voted {
        /// The guard.
        guard: MemberId,
        /// The member.
        target: MemberId,
    },
    /// A member ended.
    Ended(MemberId, Ending),
    /// Holdings moved.
    HoldingsMoved,
    /// An operator's change was applied or lost.
    Config {
        /// The member that wrote it.
        writer: MemberId,
        /// Its sequence number.
        seq: u64,
        /// What became of it.
        outcome: ChangeOutcome,
    },
    /// The state was replaced by a snapshot.
    Restored,
}

impl Ledger {
    /// Whether a member is present.
    pub fn is_member(&self, m: MemberId) -> bool {
        self.members.contains_key(&m)
    }

    /// Who holds a VM.
    pub fn holder_of_vm(&self, vm: &str) -> Option<MemberId> {
        self.vms.get(vm).copied()
    }

    /// Who holds the range that a hash lies in.
    pub fn home_of(&self, hash: u64) -> Option<MemberId> {
        self.ranges.get(&RangeId::of(hash)).copied()
    }

    /// The next guard of a member beside those that it has, and not one of `not`.
    ///
    /// Failure domains that have no guard of it yet come first.
    pub fn next_guard(&self, m: MemberId, have: &[MemberId], not: &[MemberId]) -> Option<MemberId> {
        let able = |g: &MemberId| !have.contains(g) && !not.contains(g);
        let domain = |g: &MemberId| self.members.get(g).map(|x| &x.domain);
        let covered: BTreeSet<&Name> = have.iter().filter_map(domain).collect();
        let uncovered = |g: &MemberId| able(g) && domain(g).is_some_and(|d| !covered.contains(d));
        let best = self.ring_after(m).find(uncovered);
        best.or_else(|| self.ring_after(m).find(able))
    }

    /// The members that follow `m` in ring order, `m` excluded.
    pub fn ring_after(&self, m: MemberId) -> impl Iterator<Item = MemberId> {
        use std::ops::Bound::Excluded;
        use std::ops::Bound::Unbounded;
        let after = self.members.range((Excluded(m), Unbounded));
        let before = self.members.range(..m);
        after.chain(before).map(|(id, _)| *id)
    }
}
