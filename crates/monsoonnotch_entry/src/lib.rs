//! The entry process, which proxies callers' requests to upstreams.
//!
//! One control thread owns the control state and runs the reducer of
//! `monsoonnotch_core`. The threads of a `tokio` runtime carry the traffic and
//! execute the reducer's effects.

pub mod args;
pub mod callers;
pub mod clock;
pub mod control;
mod ingress;
pub mod logs;
pub mod measure;
pub mod operators;
pub mod problem;
pub mod process;
pub mod settings;
pub mod upstream;

/// The types needed to configure, start and stop an entry.
pub mod prelude {
    pub use crate::process::Addresses;
    pub use crate::process::Entry;
    pub use crate::settings::Settings;
}
