//! A cluster scheduler for unlike work on one shared fleet.
//!
//! Services, batch runs, jobs that need all their tasks at once and short HTTP
//! requests share one fleet. This crate is the front door: it names the crates
//! that do the work and holds the two programs.

pub use monsoonnotch_core as core;
pub use monsoonnotch_ctl as ctl;
pub use monsoonnotch_entry as entry;
pub use monsoonnotch_peer as peer;
pub use monsoonnotch_platform as platform;
