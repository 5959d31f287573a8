//! Links between the system's own processes.
//!
//! A message is one binary WebSocket frame of CBOR. Links are dialled on first
//! use and carry messages one way; a link whose far end has gone silent is
//! dropped and dialled again. Messages may be lost; none is sent twice.

pub mod link;

/// The types that users of this crate need.
pub mod prelude {
    pub use crate::link::Links;
    pub use crate::link::accept;
}
