//! Claiming what is unheld: workers, hash ranges, parts of limits.

use std::collections::BTreeSet;

use super::Control;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::RangeId;
use crate::record::Body;
use crate::record::Holding;

/// Looks after which anyone claims a thing that its first claimant left unheld.
const PATIENCE_LOOKS: u64 = 3;

impl Control {
    pub(super) fn claim_unheld(&mut self) {
        if !self.settling.may_claim(self.now) {
            return;
        }
        let mut things = self.unheld_vms();
        things.extend(self.unheld_ranges());
        let seen: BTreeSet<Holding> = things.iter().cloned().collect();
        self.holdings.unheld.retain(|t, _| seen.contains(t));
        let mut claims: Vec<Holding> = Vec::new();
        for thing in things {
            if self.claims(&thing) {
                claims.push(thing);
            }
        }
        claims.extend(self.wanted_allotments());
        if !claims.is_empty() {
            self.write(Body::Claim { holdings: claims });
        }
    }

    /// Whether it is this member's turn to claim a thing.
    fn claims(&mut self, thing: &Holding) -> bool {
        let now = self.now;
        let since = *self.holdings.unheld.entry(thing.clone()).or_insert(now);
        let patience = self.cfg.timing.balance_interval.times(PATIENCE_LOOKS);
        let first = self.first_claimant(thing) == Some(self.cfg.me);
        first || now.since(since) > patience
    }

    fn first_claimant(&self, thing: &Holding) -> Option<MemberId> {
        let hash = match thing {
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

    /// This member's even part of every team's limit, as far as it lacks it.
    fn wanted_allotments(&self) -> Vec<Holding> {
        let mut things = Vec::new();
        for (team, t) in &self.ledger.config.teams {
            let have = self.ledger.allotments.part(team, self.cfg.me);
            let target = self.even_part(t.value.limit);
            let unheld = self.ledger.allotments.unheld(team, t.value.limit);
            let amount = target.saturating_sub(have).min(unheld);
            if amount > 0 {
                let team = team.clone();
                things.push(Holding::Allotment { team, amount });
            }
        }
        things
    }

    /// An even part of `limit`; the first members get the remainder.
    fn even_part(&self, limit: u32) -> u32 {
        let rank = self.ledger.members.keys().position(|m| *m == self.cfg.me);
        let n = u32::try_from(self.ledger.members.len().max(1)).unwrap_or(u32::MAX);
        let rank = u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX);
        limit / n + u32::from(rank < limit % n)
    }
}
