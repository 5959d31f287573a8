//! The workers that this member holds and what runs on them.
//!
//! Use is counted from the moment that something may start until it has
//! certainly ended. A request whose end is unknown keeps its slot, as doubt,
//! until a report of the worker that is newer than the doubt shows it idle.

mod place;
mod vm;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub use self::vm::Doubt;
pub use self::vm::Task;
pub use self::vm::TaskState;
pub use self::vm::Vm;
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
    /// Held workers that may take work, by free slots.
    by_free: BTreeSet<(u64, VmKey)>,
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
        self.vms.iter().filter(|(_, vm)| vm.held.is_some())
    }

    /// Free slots on workers that may take work.
    pub fn free_slots(&self) -> u64 {
        self.by_free.iter().map(|(free, _)| free).sum()
    }

    /// Whether some VM of the list, even an empty one, is large enough.
    pub fn fits_somewhere(&self, need: &Resources) -> bool {
        self.vms.is_empty() || self.vms.iter().any(|(_, vm)| vm.info.total.fits(need))
    }

    /// Takes over the platform's list; VMs that are not on it any more go unless they are in use.
    pub fn list(&mut self, list: &[VmInfo]) {
        for info in list {
            self.list_one(info);
        }
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
        if vm.takes_work() {
            self.by_free.remove(&(vm.free().slots, key));
        }
        let r = f(vm);
        if vm.takes_work() {
            self.by_free.insert((vm.free().slots, key));
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

    fn list_one(&mut self, info: &VmInfo) {
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
