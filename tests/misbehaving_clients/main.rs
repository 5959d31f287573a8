//! Clients outside the limits, against real processes on loopback addresses.
//!
//! A crowd of clients sends what no ordinary client sends, to one listener of a process whose VM is
//! small. The process must live on, must stay within the memory and the descriptors of its VM, and
//! must answer an ordinary request while the crowd is still connected. Nothing is checked that
//! depends on how fast the machine is.

mod crowd;
mod entry;
mod member;
mod usage;

use tokio::sync::Mutex;

/// Held by the test that runs, because crowds of several tests would disturb each other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
