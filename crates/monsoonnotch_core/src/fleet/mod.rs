//! The workers that this member holds, and the work on them.
//!
//! A worker is a VM of the platform that runs requests and tasks for its holder.
//! Work occupies resources from the moment at which it may start until it has
//! certainly ended. A request whose outcome is unknown stays as an uncertain
//! request, and keeps its slot, until a newer report of the worker shows that it
//! has ended.

mod health;
mod place;
mod vm;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub use self::health::Health;
pub use self::health::HealthChange;
pub use self::vm::Task;
pub use self::vm::TaskState;
pub use self::vm::UncertainRequest;
pub use self::vm::Vm;
pub use self::vm::VmHolding;
use crate::arena::Arena;
use crate::event::VmInfo;
use crate::ident::Name;
use crate::ident::VmKey;
use crate::resource::Resources;
use crate::time::Time;

/// All VMs that the platform lists or this member holds.
#[derive(Debug, Default)]
pub struct Fleet {
    vms: Arena<VmKey, Vm>,
    names: BTreeMap<Name, VmKey>,
    /// VMs that this member holds.
    held: BTreeSet<VmKey>,
    /// Workers that accept work, by their free fraction in millionths.
    by_free_fraction: BTreeSet<(u64, VmKey)>,
    /// Held workers without a pending sync, by the time of their last one.
    by_sync: BTreeSet<(Option<Time>, VmKey)>,
    /// Held workers in quarantine, by the time of their first probe.
    by_probe: BTreeSet<(Time, VmKey)>,
    /// Slots of the workers that accept work.
    slots: Slots,
    /// The maximum amount of each resource over the VMs of the platform's list.
    reference: Resources,
}

/// Slots of the workers that accept work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Slots {
    /// Number of slots.
    pub total: u64,
    /// Number of slots in use.
    pub used: u64,
}

impl Fleet {
    /// Returns the VM of a key; `None` when it was removed.
    pub fn get(&self, key: VmKey) -> Option<&Vm> {
        self.vms.get(key)
    }

    /// Returns the key of the VM with a name; `None` when there is none.
    pub fn find(&self, name: &str) -> Option<VmKey> {
        self.names.get(name).copied()
    }

    /// Iterates over all VMs with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (VmKey, &Vm)> {
        self.vms.iter()
    }

    /// Iterates over the VMs that this member holds, with their keys.
    pub fn held(&self) -> impl Iterator<Item = (VmKey, &Vm)> {
        let keys = self.held.iter();
        keys.filter_map(|k| self.vms.get(*k).map(|vm| (*k, vm)))
    }

    /// Returns the number of free slots on workers that accept work.
    pub fn free_slots(&self) -> u64 {
        self.slots.total.saturating_sub(self.slots.used)
    }

    /// Returns the total and used slots of workers that accept work.
    pub fn slots(&self) -> Slots {
        self.slots
    }

    /// Returns the maximum amount of each resource over the VMs of the platform's list.
    pub fn reference(&self) -> &Resources {
        &self.reference
    }

    /// Iterates over the held workers without a pending sync that were last synced by `before`.
    pub fn sync_due(&self, before: Option<Time>) -> impl Iterator<Item = VmKey> {
        let due = self.by_sync.iter().take_while(move |(t, _)| *t <= before);
        due.map(|(_, k)| *k)
    }

    /// Returns whether `need` fits into the capacity of some VM, regardless of its use.
    ///
    /// Also returns `true` while no VM is listed.
    pub fn fits_somewhere(&self, need: &Resources) -> bool {
        self.vms.is_empty() || self.vms.iter().any(|(_, vm)| vm.info.total.fits(need))
    }

    /// Updates the VMs from the platform's list.
    ///
    /// VMs that are no longer listed are marked as leaving, or removed if this member does not
    /// hold them.
    pub fn update_list(&mut self, list: &[VmInfo]) {
        for info in list {
            self.update_listed(info);
        }
        let largest = list
            .iter()
            .fold(Resources::default(), |r, v| r.max(&v.total));
        self.reference = largest;
        let listed: BTreeSet<&Name> = list.iter().map(|v| &v.name).collect();
        let gone: Vec<VmKey> = self
            .vms
            .iter()
            .filter(|(_, vm)| !listed.contains(&vm.info.name))
            .map(|(k, _)| k)
            .collect();
        for key in gone {
            self.unlist(key);
        }
    }

    /// Modifies a VM and updates the orderings of the fleet.
    ///
    /// # Panics
    ///
    /// Panics if the key has no VM.
    pub fn update<R>(&mut self, key: VmKey, f: impl FnOnce(&mut Vm) -> R) -> R {
        let vm = self.vms.get_mut(key).expect("the key has a VM");
        let before = Indexed::of(vm);
        let r = f(vm);
        let after = Indexed::of(vm);
        if before != after {
            self.unindex(key, before);
            self.index(key, after);
        }
        r
    }

    /// Records that this member holds a worker under `epoch`.
    ///
    /// The worker gets no work before a report made after `from`.
    pub fn hold(&mut self, name: &Name, epoch: u64, from: Time) {
        if let Some(key) = self.find(name) {
            self.update(key, |vm| vm.hold(epoch, from));
        }
    }

    /// Records that this member no longer holds a worker, and discards the work on it.
    pub fn drop_held(&mut self, name: &str) {
        if let Some(key) = self.find(name) {
            self.update(key, Vm::release);
        }
    }

    fn index(&mut self, key: VmKey, i: Indexed) {
        if i.held {
            self.held.insert(key);
        }
        if let Some(t) = i.sync {
            self.by_sync.insert((t, key));
        }
        if let Some(t) = i.probe {
            self.by_probe.insert((t, key));
        }
        if let Some((fraction, slots)) = i.free {
            self.by_free_fraction.insert((fraction, key));
            self.slots.total += slots.total;
            self.slots.used += slots.used;
        }
    }

    fn unindex(&mut self, key: VmKey, i: Indexed) {
        if i.held {
            self.held.remove(&key);
        }
        if let Some(t) = i.sync {
            self.by_sync.remove(&(t, key));
        }
        if let Some(t) = i.probe {
            self.by_probe.remove(&(t, key));
        }
        if let Some((fraction, slots)) = i.free {
            self.by_free_fraction.remove(&(fraction, key));
            self.slots.total -= slots.total;
            self.slots.used -= slots.used;
        }
    }

    fn update_listed(&mut self, info: &VmInfo) {
        match self.find(&info.name) {
            Some(key) => self.update(key, |vm| {
                vm.info = info.clone();
                vm.unlisted = false;
            }),
            None => {
                let key = self.vms.insert(Vm::new(info.clone()));
                self.names.insert(info.name.clone(), key);
            }
        }
    }

    fn unlist(&mut self, key: VmKey) {
        self.update(key, |vm| {
            vm.info.leaving = true;
            vm.unlisted = true;
        });
        let vm = self.vms.get(key).expect("the key has a VM");
        if vm.held.is_none() {
            self.names.remove(&vm.info.name);
            self.vms.remove(key);
        }
    }
}

/// The positions of a VM in the orderings of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Indexed {
    held: bool,
    sync: Option<Option<Time>>,
    probe: Option<Time>,
    free: Option<(u64, Slots)>,
}

impl Indexed {
    fn of(vm: &Vm) -> Self {
        let held = vm.held.is_some();
        let slots = Slots {
            total: vm.info.total.slots,
            used: vm.used.slots.min(vm.info.total.slots),
        };
        let fraction = || vm.free().free_fraction(&vm.info.total);
        Self {
            held,
            sync: (held && !vm.sync_pending).then_some(vm.last_sync),
            probe: vm.health.quarantined_until().filter(|_| held),
            free: vm.accepts_work().then(|| (fraction(), slots)),
        }
    }
}
