//! Decisions for jobs on a platform that keeps the state and fences writers.
//!
//! One member at a time is the *holder*: it schedules every job on every VM.
//! The store numbers each claim, and that number, the token, is refused by VMs
//! and by the journal once a higher one was seen. Everything here is a pure
//! function of events and time; the caller carries the effects out.

pub mod effect;
pub mod event;
pub mod journal;
pub mod plan;
pub mod prelude;
pub mod scheduler;
pub mod site;
pub mod tuning;
pub mod vm;
