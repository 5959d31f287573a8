//! Recovery of jobs and of requests that run at most once, in virtual time.

mod cell;
mod former;
mod jobs;
mod keyed;
mod random;
mod retention;
