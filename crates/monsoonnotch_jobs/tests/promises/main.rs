//! Tests of the scheduler's invariants, with random and with directed schedules.
//!
//! `MONSOONNOTCH_SEED` replays the random schedule of one seed; `MONSOONNOTCH_CASES`
//! sets how many seeds run.

mod approvals;
mod directed;
mod incarnations;
mod leaders;
mod load;
mod orders;
mod random;
mod simulation;
mod vm;
