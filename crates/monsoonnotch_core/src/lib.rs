//! The decisions of the scheduler, without any I/O.
//!
//! Everything here is a pure function of its inputs: the ledger applies the
//! records of the control stream, the reducer turns one event into effects, and
//! the caller executes the effects. The current time is an argument of each
//! event, so a test can simulate hours within milliseconds.

pub mod arena;
pub mod call;
pub mod config;
pub mod effect;
pub mod event;
pub mod fleet;
pub mod guard;
pub mod ident;
pub mod job;
pub mod ledger;
pub mod notice;
pub mod prelude;
pub mod queue;
pub mod record;
pub mod reducer;
pub mod resource;
pub mod time;
pub mod timing;
pub mod verdict;
pub mod wire;
