//! What must always hold, on random days with random faults.
//!
//! `MONSOONNOTCH_SEED` plays one day again.

mod directed;
mod patterns;
mod random;
mod vm;
mod world;
