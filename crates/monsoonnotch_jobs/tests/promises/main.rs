//! Tests of the scheduler's invariants, with random and with directed schedules.
//!
//! `MONSOONNOTCH_SEED` replays the random schedule of one seed; `MONSOONNOTCH_CASES`
//! sets how many seeds run.

mod adverse;
mod approvals;
mod capacity;
mod checks;
mod clocks;
mod crashes;
mod delegation;
mod directed;
mod early_cancellations;
mod evacuation;
mod explain;
mod faults;
mod incarnations;
mod large_jobs;
mod large_numbers;
mod leaders;
mod limits;
mod link;
mod load;
mod network;
mod orders;
mod owners;
mod poison;
mod poison_tasks;
mod random;
mod repeated_jobs;
mod restarts;
mod saturated_link;
mod simulation;
mod slow_store;
mod stale_orders;
mod start_window;
mod terms;
mod terms_timed;
mod uneven;
mod vm;
