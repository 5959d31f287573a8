//! Random faults of members, VMs and the store, which may overlap.

use std::time::Duration;

use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::store::Faults;
use monsoonnotch_standins::fault_injection::Fault;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::Instant;

/// The action that ends a fault. Numbers are indexes of members or VMs.
#[derive(Debug, Clone, Copy)]
enum Undo {
    StartMember(usize),
    ResumeMember(usize),
    RestoreStorePath(usize),
    RepairStore,
    RestartVm(usize),
    RestoreVmPath(usize),
    ClearVmDelay(usize),
}

/// The faults in effect.
#[derive(Debug, Default)]
pub(crate) struct ActiveFaults {
    pending_undos: Vec<(Instant, Undo)>,
    /// Descriptions of all injected faults, in order.
    pub(crate) descriptions: Vec<String>,
}

impl ActiveFaults {
    /// Injects a random fault that lasts 0.3 to 4 seconds. If all members are killed, the next
    /// call of [`undo`](Self::undo) restarts them.
    pub(crate) fn inject(&mut self, rng: &mut StdRng, site: &Site, members: &mut [Member]) {
        let m = rng.random_range(0..members.len());
        let v = rng.random_range(0..site.vms.len());
        let ms = rng.random_range(300..4_000);
        let (description, undo) = match rng.random_range(0..11) {
            0 => (
                signal_member(&members[m], "KILL", "kill"),
                Undo::StartMember(m),
            ),
            1 => (
                signal_member(&members[m], "STOP", "pause"),
                Undo::ResumeMember(m),
            ),
            2 => (
                signal_member(&members[m], "TERM", "stop"),
                Undo::StartMember(m),
            ),
            3 => (
                fault_store_path(&members[m], Fault::Unavailable),
                Undo::RestoreStorePath(m),
            ),
            4 => (
                fault_store_path(&members[m], Fault::Unresponsive),
                Undo::RestoreStorePath(m),
            ),
            5 => (
                fault_store_path(&members[m], Fault::WithholdResponse),
                Undo::RestoreStorePath(m),
            ),
            6 => {
                let faults = [
                    Faults {
                        down: true,
                        ..Faults::default()
                    },
                    Faults {
                        lost_share: 0.3,
                        ..Faults::default()
                    },
                    Faults {
                        delay_ms: 150,
                        ..Faults::default()
                    },
                ];
                let faults = faults[rng.random_range(0..3)];
                site.store.set_faults(faults);
                (format!("store {faults:?}"), Undo::RepairStore)
            }
            7 => {
                site.vms[v].crash();
                (format!("VM {v} crashes"), Undo::RestartVm(v))
            }
            8 => {
                site.vm_proxies[v].set_fault(Fault::Unresponsive);
                site.vm_proxies[v].silence_open_connections();
                (format!("VM {v} is cut off"), Undo::RestoreVmPath(v))
            }
            9 => {
                site.vms[v].set_late_share(0.2);
                (
                    format!("VM {v} executes requests late"),
                    Undo::ClearVmDelay(v),
                )
            }
            _ => {
                members.iter().for_each(|m| m.signal("KILL"));
                let more = (0..members.len()).map(|m| (Instant::now(), Undo::StartMember(m)));
                self.pending_undos.extend(more);
                ("all members are killed".to_owned(), Undo::RepairStore)
            }
        };
        self.descriptions.push(format!("{description} for {ms} ms"));
        self.pending_undos
            .push((Instant::now() + Duration::from_millis(ms), undo));
    }

    /// Ends the faults whose time is over, or every fault if `all` is set.
    pub(crate) fn undo(&mut self, all: bool, site: &Site, members: &mut [Member], program: &str) {
        let now = Instant::now();
        let due = |(at, _): &mut (Instant, Undo)| all || *at <= now;
        let due: Vec<(Instant, Undo)> = self.pending_undos.extract_if(.., due).collect();
        for (_, undo) in due {
            match undo {
                Undo::StartMember(m) => members[m].start(program),
                Undo::ResumeMember(m) => members[m].signal("CONT"),
                Undo::RestoreStorePath(m) => members[m].store_proxy.set_fault(Fault::None),
                Undo::RepairStore => site.store.set_faults(Faults::default()),
                Undo::RestartVm(v) => site.vms[v].restart(),
                Undo::RestoreVmPath(v) => site.vm_proxies[v].set_fault(Fault::None),
                Undo::ClearVmDelay(v) => site.vms[v].set_late_share(0.0),
            }
        }
    }
}

fn signal_member(m: &Member, name: &str, description: &str) -> String {
    m.signal(name);
    format!("{description} {}", m.name())
}

/// Sets a fault on the member's path to the store, and stops traffic on its open connections.
fn fault_store_path(m: &Member, fault: Fault) -> String {
    let description = format!("{} to the store: {fault:?}", m.name());
    m.store_proxy.set_fault(fault);
    m.store_proxy.silence_open_connections();
    description
}
