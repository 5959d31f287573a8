//! Records of the journal at their largest: each fits into the store, whatever becomes of the tasks.

use compact_str::CompactString;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::CHECKPOINT_BYTES_MAX;
use monsoonnotch_jobs::journal::CRASHES_KEPT_MAX;
use monsoonnotch_jobs::journal::FAILED_KEPT_MAX;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::journal::Owner;
use monsoonnotch_jobs::journal::PART_TASKS;
use monsoonnotch_jobs::journal::Placed;
use monsoonnotch_jobs::journal::Placements;
use monsoonnotch_jobs::journal::Progress;
use monsoonnotch_jobs::journal::StageProgress;
use monsoonnotch_jobs::plan::JobId;

/// Largest record that the store takes, in bytes.
const RECORD_BYTES_MAX: usize = 262_144;
/// Longest key in the store, which the id of a VM is, in bytes.
const KEY_BYTES_MAX: usize = 255;

const JOB: JobId = JobId(u64::MAX);

fn assert_fits(record: &KeyedRecord) {
    let bytes = 1 + record.key.len() + record.value.len();
    assert!(bytes <= RECORD_BYTES_MAX, "{bytes} bytes");
    assert!(journal::decode_entry(record).is_some(), "it is decoded");
}

fn long_id() -> CompactString {
    "v".repeat(KEY_BYTES_MAX).into()
}

/// Guards against a record of progress that the store refuses: each task of a part is in a step of its own, has
/// failed, crashed VMs and left a checkpoint, all with the largest numbers and the longest texts.
#[test]
fn the_largest_progress_of_a_part_fits() {
    let attempts = (0..FAILED_KEPT_MAX as u64).map(|n| u64::MAX - n).collect();
    let crashes = (0..CRASHES_KEPT_MAX as u64).map(|n| (u64::MAX - n, long_id()));
    let stage = StageProgress {
        occurrence: u32::MAX,
        step: u16::MAX,
        complete: false,
        done: vec![u32::MAX],
        failed: vec![(u32::MAX, attempts)],
        failed_before: vec![(u32::MAX, u64::MAX, u64::MAX)],
        crashes: vec![(u32::MAX, crashes.collect())],
        checkpoints: vec![(u32::MAX, "c".repeat(CHECKPOINT_BYTES_MAX).into())],
    };
    let progress = Progress {
        outcome: None,
        account: long_id(),
        queue: long_id(),
        begun: true,
        complete_to: u32::MAX,
        stages: vec![stage; PART_TASKS as usize],
    };
    assert_fits(&journal::progress_record(JOB, u64::MAX, &progress));
}

/// Guards against a record of placements that the store refuses: each task of a part was placed on a VM of its
/// own, and waits.
#[test]
fn the_largest_placements_of_a_part_fit() {
    let placed = Placed {
        vm: long_id(),
        runs: vec![(u32::MAX, u16::MAX, u32::MAX, u64::MAX)],
    };
    let placements = Placements {
        owner: Some(Owner {
            account: long_id(),
            queue: long_id(),
        }),
        vms: vec![placed; PART_TASKS as usize],
        unplaced: vec![(u32::MAX, u16::MAX, u32::MAX); PART_TASKS as usize],
    };
    assert_fits(&journal::placements_record(JOB, u64::MAX, &placements));
}

/// Guards against parts that are taken for other records, or are not recognised as the leader's.
#[test]
fn keys_of_parts_name_their_part() {
    for part in [0, 1, 99, u64::MAX] {
        let records = [
            journal::progress_record(JOB, part, &Progress::default()),
            journal::placements_record(JOB, part, &Placements::default()),
        ];
        for record in records {
            assert_eq!(journal::part_of_key(&record.key), Some(part));
            assert!(journal::is_written_by_leader(&record.key));
        }
    }
    assert_eq!(journal::part_of_key(&journal::submission_key(JOB)), None);
    assert_eq!(journal::part_of_key("fleet"), None);
}
