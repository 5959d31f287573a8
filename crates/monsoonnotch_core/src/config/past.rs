//! The history of the most recent changes.

use serde::Deserialize;
use serde::Serialize;

use super::Change;
use super::ChangeOutcome;
use super::Stamp;
use crate::ident::Name;

/// Maximum number of changes in the history.
pub const RECENT_MAX: usize = 128;

/// A change that was read from the control stream, applied or rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// One more than the log offset of the change's record.
    pub version: u64,
    /// The kind of object: `profiles`, `teams` or `keys`.
    pub kind: Name,
    /// The name of the object.
    pub name: Name,
    /// The version that the change was to replace.
    pub replaces: u64,
    /// Whether the change was applied.
    pub outcome: ChangeOutcome,
    /// Who made the change, and when.
    pub stamp: Stamp,
}

impl PastChange {
    /// Returns the history entry of a change that had `outcome`.
    pub fn new(version: u64, change: &Change, outcome: ChangeOutcome) -> Self {
        let (kind, name) = change.set.kind_and_name();
        Self {
            version,
            kind: Name::from(kind),
            name: name.clone(),
            replaces: change.replaces,
            outcome,
            stamp: change.stamp.clone(),
        }
    }
}
