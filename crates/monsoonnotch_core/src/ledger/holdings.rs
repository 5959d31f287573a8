//! Claims, transfers and inheritance of things.

use std::collections::BTreeMap;

use super::Ledger;
use crate::ident::MemberId;
use crate::record::Holding;

impl Ledger {
    pub(super) fn claim(&mut self, writer: MemberId, holdings: &[Holding]) {
        for thing in holdings {
            match thing {
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
        for thing in holdings {
            match thing {
                Holding::Vm(vm) => pass(&mut self.vms, vm, writer, Some(to)),
                Holding::Range(r) => pass(&mut self.ranges, r, writer, Some(to)),
                Holding::Allotment { team, amount } => {
                    self.allotments.transfer(team, writer, to, *amount);
                }
            }
        }
    }

    pub(super) fn release(&mut self, writer: MemberId, holdings: &[Holding]) {
        for thing in holdings {
            match thing {
                Holding::Vm(vm) => pass(&mut self.vms, vm, writer, None),
                Holding::Range(r) => pass(&mut self.ranges, r, writer, None),
                Holding::Allotment { team, amount } => {
                    self.allotments.release(team, writer, *amount);
                }
            }
        }
    }

    pub(super) fn inherit(&mut self, from: MemberId, to: Option<MemberId>) {
        pass_all(&mut self.vms, from, to);
        pass_all(&mut self.ranges, from, to);
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

fn pass<K: Ord>(map: &mut BTreeMap<K, MemberId>, key: &K, from: MemberId, to: Option<MemberId>) {
    if map.get(key) != Some(&from) {
        return;
    }
    match to {
        Some(to) => *map.get_mut(key).expect("just seen") = to,
        None => drop(map.remove(key)),
    }
}

fn pass_all<K: Ord>(map: &mut BTreeMap<K, MemberId>, from: MemberId, to: Option<MemberId>) {
    match to {
        Some(to) => map
            .values_mut()
            .filter(|h| **h == from)
            .for_each(|h| *h = to),
        None => map.retain(|_, h| *h != from),
    }
}
