//! Listeners whose clients cannot take more memory and descriptors than a process has to spare.
//!
//! A [`Budget`](budget::Budget) bounds what the clients of a listener take together. Each connection, each
//! body and each record takes its share before its bytes are read, and gives it back on every end. When
//! the budget is full, the connections that hold most and move least are ended, so that ordinary clients
//! find a place.

pub mod accounts;
pub mod body;
pub mod budget;
pub mod http;
pub mod limits;
pub mod link_stream;
pub mod listener;
pub mod prelude;
pub mod report;
mod stream;
