//! What the clients of a process may take on VMs of several sizes.

use monsoonnotch_ingress::body::is_hopeless;
use monsoonnotch_ingress::limits::Limits;
use monsoonnotch_ingress::limits::MIB;
use rstest::rstest;

/// The longest body of a caller, in bytes.
const BODY_BYTES: u64 = 262_144;
/// Far more connections than the callers of one process have.
const CALLERS: usize = 500;

/// Guards against limits that ordinary clients meet, and against more than the VM has.
#[rstest]
#[case(120, 3_075)]
#[case(160, 4_100)]
#[case(260, 4_100)]
#[case(512, 8_192)]
#[case(512, 10_250)]
fn a_vm_has_room_for_ordinary_clients(#[case] memory_mib: u64, #[case] descriptors: usize) {
    let all = Limits::of_vm(memory_mib * MIB, descriptors);
    assert!(all.memory <= memory_mib * MIB / 2, "{all:?}");
    assert!(all.connections <= descriptors / 2, "{all:?}");
    let mut left = all;
    let few = left.split_off_few(16, MIB);
    let links = left.split_off_links();
    let records = left.split_off_records();
    let callers = left.rest();
    let parts = [few, links, records, callers];
    let memory: u64 = parts.iter().map(|l| l.memory).sum();
    let connections: usize = parts.iter().map(|l| l.connections).sum();
    assert!(memory <= all.memory, "{parts:?}");
    assert!(connections <= all.connections, "{parts:?}");
    assert!(few.connections >= 16, "{few:?}");
    assert!(links.connections >= 300, "{links:?}");
    assert!(records.memory >= 10 * BODY_BYTES, "{records:?}");
    assert!(callers.connections >= CALLERS, "{callers:?}");
    let bodies = callers.memory - callers.connections as u64 * callers.connection_bytes;
    assert!(bodies >= 16 * BODY_BYTES, "{callers:?}");
}

#[rstest]
#[case::half_of_it_at_half_time(500, Some(1_000), 4, false)]
#[case::less_than_that(499, Some(1_000), 4, true)]
#[case::nothing_before_half_time(0, Some(1_000), 3, false)]
#[case::nothing_at_half_time(0, Some(1_000), 4, true)]
#[case::nearly_all_near_the_end(990, Some(1_000), 7, false)]
#[case::of_unknown_size(0, None, 7, false)]
fn a_body_that_is_too_slow_for_its_deadline_is_ended(
    #[case] received: usize,
    #[case] expected: Option<usize>,
    #[case] elapsed: u32,
    #[case] hopeless: bool,
) {
    assert_eq!(is_hopeless(received, expected, elapsed, 8), hopeless);
}
