//! Re-exports the types that most modules use.

pub use compact_str::CompactString;
pub use monsoonnotch_core::arena::Arena;
pub use monsoonnotch_core::arena::Key;
pub use monsoonnotch_core::ident::VmKey;
pub use monsoonnotch_core::resource::Resources;
pub use monsoonnotch_core::time::Duration;
pub use monsoonnotch_core::time::Time;

pub use crate::effect::Effect;
pub use crate::event::Event;
pub use crate::plan::JobId;
pub use crate::plan::Plan;
pub use crate::plan::Step;
pub use crate::plan::TaskId;
pub use crate::site::PublishedConfig;
pub use crate::tuning::Tuning;
