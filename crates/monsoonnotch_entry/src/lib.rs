//! The entry process: callers on one side, upstreams on the other.
//!
//! One thread owns all control state and runs the reducer of
//! `monsoonnotch_core`; the threads of a `tokio` runtime carry traffic and do
//! what the reducer wants done.

pub mod args;
pub mod callers;
pub mod clock;
pub mod control;
pub mod logs;
pub mod measure;
pub mod operators;
pub mod problem;
pub mod process;
pub mod settings;
pub mod upstream;

/// The types that users of this crate need.
pub mod prelude {
    pub use crate::process::Addresses;
    pub use crate::process::Entry;
    pub use crate::settings::Settings;
}
