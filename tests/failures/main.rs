//! What must always hold, with real processes whose surroundings fail.
//!
//! One module per point; a test's name begins with the point's number.

mod answers;
mod changes;
mod leaving;
mod limits;
mod not_run;
mod pairs;
mod processes;
mod silence;
mod site;
mod stops;
