//! Placement and the score of workers.

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
        let key = f.find(&vm.name).expect("it is listed");
        f.update(key, |vm| {
            vm.held.as_mut().expect("it is held").reported = true
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
fn short_work_goes_where_most_is_free_and_long_work_where_least_is() {
    let mut f = fleet(&[size(8_000, 8_000, 0, 8); 3]);
    let used = size(4_000, 1_000, 0, 1);
    let busy = f.find("vm-1").expect("it is listed");
    f.update(busy, |vm| vm.start_request(&used));
    let need = size(1_000, 1_000, 0, 1);
    assert_ne!(f.place_request(&need), Some(busy));
    assert_eq!(f.place_task(&need), Some(busy));
}

#[rstest]
#[case::memory(size(0, 6_000, 0, 1), "vm-1")]
#[case::cpu(size(6_000, 0, 0, 1), "vm-0")]
#[case::accelerator(size(0, 0, 1, 1), "vm-2")]
fn every_resource_counts(#[case] need: Resources, #[case] at: &str) {
    let f = fleet(&[
        size(8_000, 2_000, 0, 8),
        size(2_000, 8_000, 0, 8),
        size(2_000, 2_000, 2, 8),
    ]);
    assert_eq!(f.place_task(&need), f.find(at));
    assert_eq!(f.place_request(&need), f.find(at));
}

#[test]
fn nothing_is_placed_where_it_does_not_fit() {
    let mut f = fleet(&[size(4_000, 4_000, 0, 4); 2]);
    let need = size(3_000, 1_000, 0, 1);
    for _ in 0..2 {
        let key = f.place_request(&need).expect("there is room");
        f.update(key, |vm| vm.start_request(&need));
    }
    assert_eq!(f.place_request(&need), None);
    assert_eq!(f.place_task(&need), None);
    assert_eq!(f.free_slots(), 6);
}

#[test]
fn a_worker_that_fails_everything_is_put_aside_probed_and_taken_back() {
    let mut f = fleet(&[size(8_000, 8_000, 0, 8); 8]);
    let bad = f.find("vm-3").expect("it is listed");
    let others: Vec<VmKey> = f.held().map(|(k, _)| k).filter(|k| *k != bad).collect();
    for k in &others {
        f.record_outcome(Time(0), *k, false);
    }
    let judged: Vec<HealthChange> = (0..5)
        .map(|_| f.record_outcome(Time(1), bad, true))
        .collect();
    assert_eq!(judged.last(), Some(&HealthChange::Quarantined));
    assert_eq!(f.slots().total, 7 * 8);
    f.start_probes(Time(4_000_000));
    assert_eq!(f.slots().total, 7 * 8);
    f.start_probes(Time(6_000_000));
    assert_eq!(f.slots().total, 8 * 8);
    f.update(bad, |vm| vm.start_request(&size(1, 1, 0, 1)));
    assert_eq!(f.slots().total, 7 * 8, "one probe at a time");
    f.update(bad, |vm| vm.end_request(&size(1, 1, 0, 1)));
    let back: Vec<HealthChange> = (0..3)
        .map(|_| f.record_outcome(Time(7_000_000), bad, false))
        .collect();
    assert_eq!(
        back,
        [
            HealthChange::Unchanged,
            HealthChange::Unchanged,
            HealthChange::Released
        ]
    );
}

#[test]
fn a_failed_probe_doubles_the_pause() {
    let mut f = fleet(&[size(8_000, 8_000, 0, 8); 8]);
    let bad = f.find("vm-0").expect("it is listed");
    for _ in 0..5 {
        f.record_outcome(Time(0), bad, true);
    }
    f.start_probes(Time(5_000_000));
    f.record_outcome(Time(5_000_000), bad, true);
    f.start_probes(Time(14_000_000));
    assert_eq!(f.slots().total, 7 * 8);
    f.start_probes(Time(15_000_000));
    assert_eq!(f.slots().total, 8 * 8);
}

#[test]
fn when_all_workers_fail_none_is_put_aside() {
    let mut f = fleet(&[size(8_000, 8_000, 0, 8); 8]);
    let keys: Vec<VmKey> = f.held().map(|(k, _)| k).collect();
    for n in 0..20 {
        for k in &keys {
            let judged = f.record_outcome(Time(n), *k, true);
            assert_eq!(judged, HealthChange::Unchanged);
        }
    }
    assert_eq!(f.slots().total, 64);
}
