//! Claims, transfers and inheritance of things.

use std::collections::BTreeMap;

use super::Ledger;
use crate::ident::MemberId;
use crate::record::Thing;

impl Ledger {
    pub(super) fn claim(&mut self, writer: MemberId, things: &[Thing]) {
        for thing in things {
            match thing {
                Thing::Vm(vm) => {
                    self.vms.entry(vm.clone()).or_insert(writer);
                }
                Thing::Range(r) => {
                    self.ranges.entry(*r).or_insert(writer);
                }
                Thing::Allotment { team, amount } => {
                    let limit = self.config.teams.get(team).map_or(0, |t| t.value.limit);
                    self.allotments.claim(team, limit, writer, *amount);
                }
            }
        }
    }

    pub(super) fn transfer(&mut self, writer: MemberId, things: &[Thing], to: MemberId) {
        if !self.is_member(to) {
            return;
        }
        for thing in things {
            match thing {
                Thing::Vm(vm) => pass(&mut self.vms, vm, writer, Some(to)),
                Thing::Range(r) => pass(&mut self.ranges, r, writer, Some(to)),
                Thing::Allotment { team, amount } => {
                    self.allotments.transfer(team, writer, to, *amount);
                }
            }
        }
    }

    pub(super) fn release(&mut self, writer: MemberId, things: &[Thing]) {
        for thing in things {
            match thing {
                Thing::Vm(vm) => pass(&mut self.vms, vm, writer, None),
                Thing::Range(r) => pass(&mut self.ranges, r, writer, None),
                Thing::Allotment { team, amount } => {
                    self.allotments.release(team, writer, *amount);
                }
            }
        }
    }

    pub(super) fn inherit(&mut self, from: MemberId, to: Option<MemberId>) {
        pass_all(&mut self.vms, from, to);
        pass_all(&mut self.ranges, from, to);
        self.allotments.inherit(from, to);
        let mut ancestors = self.ancestors.remove(&from).unwrap_or_default();
        ancestors.insert(from);
        if let Some(to) = to {
            self.ancestors.entry(to).or_default().append(&mut ancestors);
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
