//! Tests with real entry processes while the services and connections around them fail.
//!
//! A test that checks a numbered requirement of the scheduler has the prefix
//! `point_NN_` with the requirement's number.

mod changes;
mod leaving;
mod limits;
mod not_run;
mod pairs;
mod processes;
mod responses;
mod site;
mod stops;
mod unresponsive;
