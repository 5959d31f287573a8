//! Tests of the recovery of jobs and of at-most-once requests, in virtual time.
//!
//! Several reducers run in one process with a simulated log, simulated links and simulated workers.
//! The simulation asserts that no task runs on two workers at once.

mod ended_members;
mod jobs;
mod keyed;
mod random;
mod retention;
mod simulation;
