//! Claims of unheld workers, hash ranges and allotments.

use std::collections::BTreeSet;

use super::Control;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::RangeId;
use crate::record::Body;
use crate::record::Holding;

/// Balance intervals after which any member claims a holding that its first claimant left unheld.
const FALLBACK_CLAIM_INTERVALS: u64 = 3;

impl Control {
    pub(super) fn claim_unheld(&mut self) {
        if !self.settling.may_claim(self.now) {
            return;
        }
        let mut holdings = self.unheld_vms();
        holdings.extend(self.unheld_ranges());
        let unheld: BTreeSet<Holding> = holdings.iter().cloned().collect();
        self.holdings.unheld_since.retain(|h, _| unheld.contains(h));
        let mut claims: Vec<Holding> = Vec::new();
        for holding in holdings {
            if self.may_claim(&holding) {
                claims.push(holding);
            }
        }
        claims.extend(self.wanted_allotments());
        if !claims.is_empty() {
            self.write(Body::Claim { holdings: claims });
        }
    }

    /// Returns whether this member may claim a holding now.
    ///
    /// A hash assigns each holding a first claimant, so that members rarely claim the same one.
    fn may_claim(&mut self, holding: &Holding) -> bool {
        let now = self.now;
        let since = *self
            .holdings
            .unheld_since
            .entry(holding.clone())
            .or_insert(now);
        let fallback_wait = self
            .cfg
            .timing
            .balance_interval
            .times(FALLBACK_CLAIM_INTERVALS);
        let first = self.first_claimant(holding) == Some(self.cfg.me);
        first || now.since(since) > fallback_wait
    }

    fn first_claimant(&self, holding: &Holding) -> Option<MemberId> {
        let hash = match holding {
            Holding::Vm(name) => crate::config::hash64(name),
            Holding::Range(r) => u64::from(r.0),
            Holding::Allotment { team, .. } => crate::config::hash64(team),
        };
        let n = self.ledger.members.len().max(1) as u64;
        let nth = usize::try_from(hash % n).expect("less than the number of members");
        self.ledger.members.keys().nth(nth).copied()
    }

    fn unheld_vms(&self) -> Vec<Holding> {
        let unheld = |name: &Name| self.ledger.holder_of_vm(name).is_none();
        let vms = self.fleet.iter().map(|(_, vm)| &vm.info);
        vms.filter(|i| !i.leaving && unheld(&i.name))
            .map(|i| Holding::Vm(i.name.clone()))
            .collect()
    }

    fn unheld_ranges(&self) -> Vec<Holding> {
        let unheld = |r: &RangeId| !self.ledger.ranges.contains_key(r);
        RangeId::all().filter(unheld).map(Holding::Range).collect()
    }

    /// Returns what this member lacks of its even part of every team's limit, as far as unheld.
    fn wanted_allotments(&self) -> Vec<Holding> {
        let mut holdings = Vec::new();
        for (team, t) in &self.ledger.config.teams {
            let have = self.ledger.allotments.part(team, self.cfg.me);
            let target = self.even_part(t.value.limit);
            let unheld = self.ledger.allotments.unheld(team, t.value.limit);
            let amount = target.saturating_sub(have).min(unheld);
            if amount > 0 {
                let team = team.clone();
                holdings.push(Holding::Allotment { team, amount });
            }
        }
        holdings
    }

    /// Returns this member's even part of `limit`; the first members by identifier share the
    /// remainder.
    fn even_part(&self, limit: u32) -> u32 {
        let rank = self.ledger.members.keys().position(|m| *m == self.cfg.me);
        let n = u32::try_from(self.ledger.members.len().max(1)).unwrap_or(u32::MAX);
        let rank = u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX);
        limit / n + u32::from(rank < limit % n)
    }
}
