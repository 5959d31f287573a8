//! Claims, transfers, releases and inheritance of holdings.

use std::collections::BTreeMap;

use super::Ledger;
use crate::ident::MemberId;
use crate::record::Holding;

impl Ledger {
    pub(super) fn claim(&mut self, writer: MemberId, holdings: &[Holding]) {
        for holding in holdings {
            match holding {
                Holding::Vm(vm) => {
                    self.vms.entry(vm.clone()).or_insert(writer);
                }
                Holding::Range(r) => {
                    self.ranges.entry(*r).or_insert(writer);
                }
                Holding::Allotment { team, amount } => {
                    let limit = self.config.teams.get(team).map_or(0, |t| t.value.limit);
                    self.allotments.claim(team, limit, writer, *amount);
                }
            }
        }
    }

    pub(super) fn transfer(&mut self, writer: MemberId, holdings: &[Holding], to: MemberId) {
        if !self.is_member(to) {
            return;
        }
        for holding in holdings {
            match holding {
                Holding::Vm(vm) => reassign(&mut self.vms, vm, writer, Some(to)),
                Holding::Range(r) => reassign(&mut self.ranges, r, writer, Some(to)),
                Holding::Allotment { team, amount } => {
                    self.allotments.transfer(team, writer, to, *amount);
                }
            }
        }
    }

    pub(super) fn release(&mut self, writer: MemberId, holdings: &[Holding]) {
        for holding in holdings {
            match holding {
                Holding::Vm(vm) => reassign(&mut self.vms, vm, writer, None),
                Holding::Range(r) => reassign(&mut self.ranges, r, writer, None),
                Holding::Allotment { team, amount } => {
                    self.allotments.release(team, writer, *amount);
                }
            }
        }
    }

    pub(super) fn inherit(&mut self, from: MemberId, to: Option<MemberId>) {
        reassign_all(&mut self.vms, from, to);
        reassign_all(&mut self.ranges, from, to);
        self.allotments.inherit(from, to);
        let mut predecessors = self.predecessors.remove(&from).unwrap_or_default();
        predecessors.insert(from);
        if let Some(to) = to {
            self.predecessors
                .entry(to)
                .or_default()
                .append(&mut predecessors);
        }
    }
}

/// Changes the holder of `key` from `from` to `to`; does nothing if `from` does not hold it.
fn reassign<K: Ord>(
    map: &mut BTreeMap<K, MemberId>,
    key: &K,
    from: MemberId,
    to: Option<MemberId>,
) {
    if map.get(key) != Some(&from) {
        return;
    }
    match to {
        Some(to) => *map.get_mut(key).expect("the key has a holder") = to,
        None => drop(map.remove(key)),
    }
}

/// Changes the holder of every key that `from` holds to `to`.
fn reassign_all<K: Ord>(map: &mut BTreeMap<K, MemberId>, from: MemberId, to: Option<MemberId>) {
    match to {
        Some(to) => map
            .values_mut()
            .filter(|h| **h == from)
            .for_each(|h| *h = to),
        None => map.retain(|_, h| *h != from),
    }
}
