//! Journals whose old records the platform has dropped.

use monsoonnotch_core::prelude::*;

use crate::cell::Cell;

/// The shortest time for which the platform may keep the records of a journal.
const KEPT: Duration = Duration::from_secs(1_800);

#[test]
fn a_long_lived_job_survives_its_home_after_its_first_record_was_dropped() {
    let mut cell = Cell::new(4, 2);
    let job = cell.submit(MemberId(1), "watch", 4, "forever");
    cell.until("all run", |c| c.running() == 4);
    for _ in 0..25 {
        cell.run(100_000);
        let before = cell.now - KEPT;
        cell.trim_journals(before);
    }
    let control = &cell.members[&MemberId(1)];
    let home = control.ledger().home_of(job.0).expect("a home");
    cell.kill(home);
    let other = MemberId(if home == MemberId(1) { 2 } else { 1 });
    cell.until("the heir knows it", |c| c.status(other, job).is_some());
    cell.until("all run", |c| c.running() == 4);
}

#[test]
fn journals_of_an_idle_cell_do_not_grow() {
    let mut cell = Cell::new(4, 2);
    cell.run(60_000);
    let entries: usize = cell.journals.values().flatten().map(|(_, e)| e.len()).sum();
    assert_eq!(entries, 0);
}
