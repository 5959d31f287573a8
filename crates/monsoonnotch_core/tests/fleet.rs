//! Tests of placement on workers and of the quarantine of failing workers.

use monsoonnotch_core::event::VmInfo;
use monsoonnotch_core::fleet::Fleet;
use monsoonnotch_core::fleet::HealthChange;
use monsoonnotch_core::prelude::*;
use rstest::rstest;

fn size(cpu: u64, memory: u64, accelerators: u64, slots: u64) -> Resources {
    Resources {
        cpu_milli: cpu,
        memory_mib: memory,
        accelerators,
        slots,
        connections: slots,
    }
}

fn fleet(totals: &[Resources]) -> Fleet {
    let mut f = Fleet::default();
    let list: Vec<VmInfo> = (0..).zip(totals).map(|(i, t)| info(i, *t)).collect();
    f.update_list(&list);
    for vm in &list {
        f.hold(&vm.name, 1, Time(0));
        let key = f.find(&vm.name).expect("the VM is listed");
        f.update(key, |vm| {
            vm.held.as_mut().expect("the VM is held").reported = true
        });
    }
    f
}

fn info(i: usize, total: Resources) -> VmInfo {
    VmInfo {
        name: Name::new(format!("vm-{i}")),
        addr: Name::new(format!("10.0.0.{i}:1")),
        domain: Name::new("d"),
        rack: Name::new("r"),
        total,
        leaving: false,
    }
}

#[test]
fn requests_go_to_the_emptiest_worker_and_tasks_to_the_fullest() {
    let mut f = fleet(&[size(8_000, 8_000, 0, 8); 3]);
    let used = size(4_000, 1_000, 0, 1);
    let busy = f.find("vm-1").expect("the VM is listed");
    f.update(busy, |vm| vm.start_request(&used));
    let need = size(1_000, 1_000, 0, 1);
    assert_ne!(f.place_request(&need), Some(busy));
    assert_eq!(f.place_task(&need), Some(busy));
}

#[rstest]
#[case::memory(size(0, 6_000, 0, 1), "vm-1")]
#[case::cpu(size(6_000, 0, 0, 1), "vm-0")]
#[case::accelerator(size(0, 0, 1, 1), "vm-2")]
fn placement_considers_every_resource(#[case] need: Resources, #[case] expected: &str) {
    let f = fleet(&[
        size(8_000, 2_000, 0, 8),
        size(2_000, 8_000, 0, 8),
        size(2_000, 2_000, 2, 8),
    ]);
    assert_eq!(f.place_task(&need), f.find(expected));
    assert_eq!(f.place_request(&need), f.find(expected));
}

#[test]
fn places_nothing_on_a_worker_without_free_capacity() {
    let mut f = fleet(&[size(4_000, 4_000, 0, 4); 2]);
    let need = size(3_000, 1_000, 0, 1);
    for _ in 0..2 {
        let key = f.place_request(&need).expect("a worker has free capacity");
        f.update(key, |vm| vm.start_request(&need));
    }
    assert_eq!(f.place_request(&need), None);
    assert_eq!(f.place_task(&need), None);
    assert_eq!(f.free_slots(), 6);
}

#[test]
fn a_failing_worker_is_quarantined_probed_and_released() {
    let mut f = fleet(&[size(8_000, 8_000, 0, 8); 8]);
    let failing = f.find("vm-3").expect("the VM is listed");
    let others: Vec<VmKey> = f.held().map(|(k, _)| k).filter(|k| *k != failing).collect();
    for k in &others {
        f.record_outcome(Time(0), *k, false);
    }
    let changes: Vec<HealthChange> = (0..5)
        .map(|_| f.record_outcome(Time(1), failing, true))
        .collect();
    assert_eq!(changes.last(), Some(&HealthChange::Quarantined));
    assert_eq!(f.slots().total, 7 * 8);
    f.start_probes(Time(4_000_000));
    assert_eq!(f.slots().total, 7 * 8);
    f.start_probes(Time(6_000_000));
    assert_eq!(f.slots().total, 8 * 8);
    f.update(failing, |vm| vm.start_request(&size(1, 1, 0, 1)));
    assert_eq!(f.slots().total, 7 * 8, "one probe at a time");
    f.update(failing, |vm| vm.end_request(&size(1, 1, 0, 1)));
    let changes: Vec<HealthChange> = (0..3)
        .map(|_| f.record_outcome(Time(7_000_000), failing, false))
        .collect();
    assert_eq!(
        changes,
        [
            HealthChange::Unchanged,
            HealthChange::Unchanged,
            HealthChange::Released
        ]
    );
}

#[test]
fn a_failed_probe_doubles_the_quarantine() {
    let mut f = fleet(&[size(8_000, 8_000, 0, 8); 8]);
    let failing = f.find("vm-0").expect("the VM is listed");
    for _ in 0..5 {
        f.record_outcome(Time(0), failing, true);
    }
    f.start_probes(Time(5_000_000));
    f.record_outcome(Time(5_000_000), failing, true);
    f.start_probes(Time(14_000_000));
    assert_eq!(f.slots().total, 7 * 8);
    f.start_probes(Time(15_000_000));
    assert_eq!(f.slots().total, 8 * 8);
}

#[test]
fn no_worker_is_quarantined_when_all_fail() {
    let mut f = fleet(&[size(8_000, 8_000, 0, 8); 8]);
    let keys: Vec<VmKey> = f.held().map(|(k, _)| k).collect();
    for n in 0..20 {
        for k in &keys {
            let change = f.record_outcome(Time(n), *k, true);
            assert_eq!(change, HealthChange::Unchanged);
        }
    }
    assert_eq!(f.slots().total, 64);
}
