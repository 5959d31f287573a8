//! A cluster scheduler for mixed workloads on one shared fleet.
//!
//! Services, batch runs, jobs that need all their tasks at once and short HTTP
//! requests share one fleet. This crate re-exports the library crates and contains the
//! two programs.

pub use monsoonnotch_core as core;
pub use monsoonnotch_ctl as ctl;
pub use monsoonnotch_entry as entry;
pub use monsoonnotch_peer as peer;
pub use monsoonnotch_platform as platform;
