//! Re-exports of the types that nearly every module uses.

pub use crate::effect::Effect;
pub use crate::event::Event;
pub use crate::ident::CallKey;
pub use crate::ident::JobId;
pub use crate::ident::MemberId;
pub use crate::ident::Name;
pub use crate::ident::TaskId;
pub use crate::ident::Ticket;
pub use crate::ident::VmKey;
pub use crate::reducer::Control;
pub use crate::resource::Resources;
pub use crate::time::Duration;
pub use crate::time::Time;
pub use crate::verdict::Reason;
pub use crate::verdict::Refusal;
pub use crate::verdict::Verdict;
