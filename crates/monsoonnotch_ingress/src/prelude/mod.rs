//! The types that users of this crate need.

pub use crate::budget::Budget;
pub use crate::budget::Connection;
pub use crate::budget::Share;
pub use crate::http::Rules;
pub use crate::limits::Limits;
pub use crate::link_stream::LinkStream;
pub use crate::listener::Listener;
pub use crate::report::Cause;
pub use crate::report::Report;
