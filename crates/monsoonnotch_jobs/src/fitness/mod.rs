//! How fit a member is to lead a fleet, or to execute orders for a part of it.
//!
//! Fitness is the smallest ratio, over all resources, of what a member has to what the role
//! takes. From [`FIT`] on a member bears the role; more does not make it a better leader.

use monsoonnotch_core::time::Duration;

/// Fitness from which a member bears a role.
pub const FIT: f64 = 1.0;
/// A follower replaces a leader that is not fit if it is fitter by this factor.
const HANDOVER_RATIO: f64 = 1.5;
/// Additional delay of a claim by a member without any capacity for the known fleet: the time that
/// a process takes to restart.
const UNFIT_DELAY_MS: f64 = 1_500.0;
/// Additional delay of a claim by a member without any capacity, whatever the fleet, for each of
/// cores and link.
const CAPACITY_DELAY_MS: f64 = 100.0;
/// Cores and link from which a member claims without that delay.
const AMPLE: Capacity = Capacity {
    cores: 0.5,
    link_mbps: 100.0,
    memory_mib: 0.0,
    descriptors: 0.0,
};
/// What a leader takes apart from the VMs. Means of the capacity page with room for peaks.
const LEADER_BASE: Capacity = Capacity {
    cores: 0.1,
    link_mbps: 2.0,
    memory_mib: 20.0,
    descriptors: 200.0,
};
/// What a leader takes for each VM.
const LEADER_PER_VM: Capacity = Capacity {
    cores: 0.000_7,
    link_mbps: 0.07,
    memory_mib: 0.15,
    descriptors: 4.0,
};
/// What an executor takes apart from the VMs.
const EXECUTOR_BASE: Capacity = Capacity {
    cores: 0.03,
    link_mbps: 1.0,
    memory_mib: 10.0,
    descriptors: 100.0,
};
/// What an executor takes for each VM that it calls.
const EXECUTOR_PER_VM: Capacity = Capacity {
    cores: 0.000_7,
    link_mbps: 0.07,
    memory_mib: 0.1,
    descriptors: 4.0,
};

/// Resources that a process has, or that a role takes.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Capacity {
    /// Processor, in cores.
    pub cores: f64,
    /// Network link, in Mbit/s; infinite if it does not bind, like the other fields.
    pub link_mbps: f64,
    /// Memory, in MiB.
    pub memory_mib: f64,
    /// Open files and connections.
    pub descriptors: f64,
}

impl Capacity {
    /// Returns the capacity of a member of which only the cores are known.
    pub fn of_cores(cores: f64) -> Self {
        Self {
            cores,
            link_mbps: f64::INFINITY,
            memory_mib: f64::INFINITY,
            descriptors: f64::INFINITY,
        }
    }

    /// Returns the smallest ratio of what is had to what `demand` takes.
    fn ratio(&self, demand: &Self) -> f64 {
        let ratio = |has: f64, takes: f64| match takes > 0.0 {
            true => has / takes,
            false => f64::INFINITY,
        };
        ratio(self.cores, demand.cores)
            .min(ratio(self.link_mbps, demand.link_mbps))
            .min(ratio(self.memory_mib, demand.memory_mib))
            .min(ratio(self.descriptors, demand.descriptors))
    }
}

fn demand(base: &Capacity, per_vm: &Capacity, vms: usize) -> Capacity {
    let vms = vms as f64;
    Capacity {
        cores: base.cores + per_vm.cores * vms,
        link_mbps: base.link_mbps + per_vm.link_mbps * vms,
        memory_mib: base.memory_mib + per_vm.memory_mib * vms,
        descriptors: base.descriptors + per_vm.descriptors * vms,
    }
}

/// Returns the fitness of a member to lead a fleet of `vms` VMs.
pub fn to_lead(capacity: &Capacity, vms: usize) -> f64 {
    capacity.ratio(&demand(&LEADER_BASE, &LEADER_PER_VM, vms))
}

/// Returns the fitness of a member to execute the orders for `vms` VMs.
pub fn to_execute(capacity: &Capacity, vms: usize) -> f64 {
    capacity.ratio(&demand(&EXECUTOR_BASE, &EXECUTOR_PER_VM, vms))
}

/// Whether a leader hands over to a follower that is fitter.
pub fn hands_over(leader: f64, follower: f64) -> bool {
    leader < FIT && follower >= leader * HANDOVER_RATIO
}

/// Returns how much later than an ample member a member claims leadership of a fleet of `vms` VMs,
/// zero if unknown.
pub fn claim_delay(capacity: &Capacity, vms: usize) -> Duration {
    let lack = |has: f64, ample: f64| 1.0 - (has / ample).clamp(0.0, 1.0);
    let lacks = lack(capacity.cores, AMPLE.cores) + lack(capacity.link_mbps, AMPLE.link_mbps);
    let unfit = 1.0 - to_lead(capacity, vms).clamp(0.0, FIT);
    Duration::from_millis((CAPACITY_DELAY_MS * lacks + UNFIT_DELAY_MS * unfit) as u64)
}
