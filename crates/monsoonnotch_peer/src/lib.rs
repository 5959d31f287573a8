//! Links between the members of a cluster.
//!
//! Each message is one binary WebSocket frame that contains CBOR. A link is dialled on first use
//! and carries messages in one direction. When the remote end becomes unresponsive, the link is
//! dropped and dialled again. Messages may be lost, but none is sent twice.

pub mod link;

/// The types that users of this crate need.
pub mod prelude {
    pub use crate::link::Links;
    pub use crate::link::accept;
}
