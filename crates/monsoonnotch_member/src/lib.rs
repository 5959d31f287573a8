//! A member: the process that runs on each entry VM in front of a platform.
//!
//! Every member takes callers' calls. One of them holds the jobs: its control
//! thread runs the reducer of `monsoonnotch_jobs`. The others keep a link to
//! it, pass questions on, and lend it their turn at the approval service.

pub mod args;
mod config;
mod control;
mod cx;
mod executor;
mod leadership;
mod links;
mod logs;
mod process;
mod requests;
pub mod settings;
mod subscription;
mod term;
