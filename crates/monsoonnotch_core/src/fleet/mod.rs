//! The workers that this member holds and what runs on them.
//!
//! Use is counted from the moment that something may start until it has
//! certainly ended. A request whose end is unknown keeps its slot, as doubt,
//! until a report of the worker that is newer than the doubt shows it idle.

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

/// All VMs of the platform's list, and those that this member holds.
#[derive(Debug, Default)]
pub struct Fleet {
    vms: Arena<VmKey, Vm>,
    names: BTreeMap<Name, VmKey>,
    /// Held workers.
    held: BTreeSet<VmKey>,
    /// Held workers that may take work, by their level.
    by_level: BTreeSet<(u64, VmKey)>,
    /// Held workers whose last sync is not out, by when it was sent.
    by_sync: BTreeSet<(Option<Time>, VmKey)>,
    /// Workers that are put aside, by when they are tried again.
    by_probe: BTreeSet<(Time, VmKey)>,
    /// What workers that may take work have and use.
    slots: Slots,
    /// The largest amount of each resource that a VM of the list has.
    reference: Resources,
}

/// Slots of the workers that may take work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Slots {
    /// All.
    pub total: u64,
    /// Those in use.
    pub used: u64,
}

impl Fleet {
    /// The VM of a key.
    pub fn get(&self, key: VmKey) -> Option<&Vm> {
        self.vms.get(key)
    }

    /// The key of a name.
    pub fn find(&self, name: &str) -> Option<VmKey> {
        self.names.get(name).copied()
    }

    /// All VMs with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (VmKey, &Vm)> {
        self.vms.iter()
    }

    /// The held ones.
    pub fn held(&self) -> impl Iterator<Item = (VmKey, &Vm)> {
        let keys = self.held.iter();
        keys.filter_map(|k| self.vms.get(*k).map(|vm| (*k, vm)))
    }

    /// Free slots on workers that may take work.
    pub fn free_slots(&self) -> u64 {
        self.slots.total.saturating_sub(self.slots.used)
    }

    /// Slots of workers that may take work.
    pub fn slots(&self) -> Slots {
        self.slots
    }

    /// The largest amount of each resource that a VM of the list has.
    pub fn reference(&self) -> &Resources {
        &self.reference
    }

    /// Held workers whose last sync was sent at `before` or earlier and is answered.
    pub fn sync_due(&self, before: Option<Time>) -> impl Iterator<Item = VmKey> {
        let due = self.by_sync.iter().take_while(move |(t, _)| *t <= before);
        due.map(|(_, k)| *k)
    }

    /// Whether some VM of the list, even an empty one, is large enough.
    pub fn fits_somewhere(&self, need: &Resources) -> bool {
        self.vms.is_empty() || self.vms.iter().any(|(_, vm)| vm.info.total.fits(need))
    }

    /// Takes over the platform's list; VMs that are not on it any more go unless they are in use.
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

    /// Changes a VM and keeps the placement order true.
    ///
    /// # Panics
    ///
    /// When the key names no VM.
    pub fn update<R>(&mut self, key: VmKey, f: impl FnOnce(&mut Vm) -> R) -> R {
        let vm = self.vms.get_mut(key).expect("the key names a VM");
        let before = Indexed::of(vm);
        let r = f(vm);
        let after = Indexed::of(vm);
        if before != after {
            self.unindex(key, before);
            self.index(key, after);
        }
        r
    }

    /// Takes a worker into holding under `epoch`; it takes no work before a report from after `from`.
    pub fn hold(&mut self, name: &Name, epoch: u64, from: Time) {
        if let Some(key) = self.find(name) {
            self.update(key, |vm| vm.hold(epoch, from));
        }
    }

    /// Drops a worker out of holding, with all that was known of its use.
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
        if let Some((level, slots)) = i.level {
            self.by_level.insert((level, key));
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
        if let Some((level, slots)) = i.level {
            self.by_level.remove(&(level, key));
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
        let vm = self.vms.get(key).expect("just seen");
        if vm.held.is_none() {
            self.names.remove(&vm.info.name);
            self.vms.remove(key);
        }
    }
}

/// Where a VM stands in the orders of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Indexed {
    held: bool,
    sync: Option<Option<Time>>,
    probe: Option<Time>,
    level: Option<(u64, Slots)>,
}

impl Indexed {
    fn of(vm: &Vm) -> Self {
        let held = vm.held.is_some();
        let slots = Slots {
            total: vm.info.total.slots,
            used: vm.used.slots.min(vm.info.total.slots),
        };
        let level = || vm.free().free_fraction(&vm.info.total);
        Self {
            held,
            sync: (held && !vm.sync_pending).then_some(vm.last_sync),
            probe: vm.health.quarantined_until().filter(|_| held),
            level: vm.takes_work().then(|| (level(), slots)),
        }
    }
}
