//! Scheduling of jobs on a platform that stores the state and fences writers.
//!
//! One member at a time is the leader: it schedules every job on every VM. The
//! store numbers each leadership claim. That number is the token of the term: the journal
//! refuses it once it has seen a higher one, and so do VMs ([`fencing`]). The crate is a
//! pure function of events and time; the caller executes the effects.

pub mod access;
pub mod admission;
pub mod append_pace;
pub mod comeback;
pub mod delegation;
pub mod effect;
pub mod event;
pub mod explanation;
pub mod fencing;
pub mod fitness;
pub mod job_room;
pub mod journal;
pub mod order;
pub mod plan;
pub mod prelude;
pub mod scheduler;
pub mod share;
pub mod site;
pub mod speed;
pub mod submissions;
pub mod tuning;
pub mod vm;
