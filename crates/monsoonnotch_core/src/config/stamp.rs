//! The origin of a configuration change: who made it, where and when.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::Name;

/// Seconds in a day.
const DAY_SECS: u64 = 86_400;
/// Days in 400 years of the Gregorian calendar.
const ERA_DAYS: u64 = 146_097;
/// Days from 1 March of year zero to 1 January 1970.
const EPOCH_DAYS: u64 = 719_468;

/// The origin of a change.
///
/// It is shown to operators only and affects no decision. The time is read from
/// the clock of the entry that received the change.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The operator that the request names; empty when it names none.
    pub by: Name,
    /// The operators' address of the entry that received the change; empty when unknown.
    pub entry: Name,
    /// Seconds since 1970, UTC.
    pub at_unix: u64,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let by = match self.by.as_str() {
            "" => "an unnamed operator",
            by => by,
        };
        write!(f, "by {by} at {}", utc(self.at_unix))?;
        match self.entry.as_str() {
            "" => Ok(()),
            entry => write!(f, " through {entry}"),
        }
    }
}

/// Formats seconds since 1970 as an ISO 8601 date and time in UTC.
pub fn utc(unix: u64) -> String {
    let (year, month, day) = date(unix / DAY_SECS);
    let secs = unix % DAY_SECS;
    let (h, m, s) = (secs / 3_600, secs / 60 % 60, secs % 60);
    format!("{year:04}-{month:02}-{day:02}T{h:02}:{m:02}:{s:02}Z")
}

/// Returns the year, month and day of a number of days since 1 January 1970.
///
/// Internally years begin on 1 March, so that a leap day is the last day of its year.
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let of_era = days % ERA_DAYS;
    let year_of_era = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * march_month + 2) / 5 + 1;
    let month = (march_month + 2) % 12 + 1;
    let year = days / ERA_DAYS * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
