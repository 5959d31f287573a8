//! A member: the process that runs on each entry VM in front of a platform.
//!
//! Every member accepts callers' requests. One member is the leader: its control
//! thread runs the scheduler of `monsoonnotch_jobs` for all jobs. The other members
//! are followers: each keeps a link to the leader, forwards queries over it, and sends
//! requests to the approval service on the leader's behalf.

pub mod args;
mod config;
mod control;
mod cx;
mod evacuation;
mod executor;
mod ingress;
mod leadership;
mod links;
pub mod logs;
pub mod pause;
mod process;
mod requests;
pub mod settings;
mod subscription;
mod term;
