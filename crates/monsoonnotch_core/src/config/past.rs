//! The history of changes, as far as it is kept.

use serde::Deserialize;
use serde::Serialize;

use super::Change;
use super::ChangeOutcome;
use super::Stamp;
use crate::ident::Name;

/// Changes that are remembered.
pub const RECENT_MAX: usize = 128;

/// A change that was read from the control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// One more than the log offset of its record.
    pub version: u64,
    /// The kind of thing: profiles, teams or keys.
    pub kind: Name,
    /// The name of the thing.
    pub name: Name,
    /// The version that it named as the one it replaces.
    pub replaces: u64,
    /// What became of it.
    pub outcome: ChangeOutcome,
    /// Who made it, and when.
    pub stamp: Stamp,
}

impl PastChange {
    /// A change and what became of it.
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
