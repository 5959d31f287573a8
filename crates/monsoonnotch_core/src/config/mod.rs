//! What operators publish: profiles, teams and keys.
//!
//! A change names the version of the thing that it replaces. The version of a
//! thing is one more than the log offset of the record that set it, so
//! versions only grow and a lost race is plain to see.

mod hash;
mod profile;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

pub use self::hash::KeyHash;
pub use self::hash::place;
pub use self::profile::Lane;
pub use self::profile::Profile;
pub use self::profile::Spread;
use crate::ident::Name;

/// The version of a thing that does not exist yet.
pub const NO_VERSION: u64 = 0;

/// A customer's team: its share when the fleet is full and its upper limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The client account that the team belongs to.
    pub account: Name,
    /// Weight against other teams, from one.
    pub share: u32,
    /// Most requests and tasks that may run at once, fleet-wide.
    pub limit: u32,
}

/// A team's key, known by its hash only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamKey {
    /// The team.
    pub team: Name,
    /// Hash of the secret.
    pub hash: KeyHash,
    /// Whether it has been withdrawn.
    pub withdrawn: bool,
}

/// A thing and its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// One more than the log offset of the record that set it.
    pub version: u64,
    /// The thing.
    pub value: T,
}

/// An operator's change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it replaces.
    pub replaces: u64,
    /// What it sets.
    pub set: Setting,
}

/// What a change sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Setting {
    /// A profile.
    Profile(Name, Profile),
    /// A team.
    Team(Name, Team),
    /// A key, by its public identifier.
    Key(Name, TeamKey),
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is in force as this version.
    Applied(u64),
    /// Another change came first; this version is in force.
    Conflict(u64),
    /// It names a team that does not exist.
    NoSuchTeam,
}

/// All that operators have published.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Profiles by name.
    pub profiles: BTreeMap<Name, Versioned<Profile>>,
    /// Teams by name.
    pub teams: BTreeMap<Name, Versioned<Team>>,
    /// Keys by identifier.
    pub keys: BTreeMap<Name, Versioned<TeamKey>>,
}

impl Config {
    /// Applies the change recorded at `offset`.
    pub fn apply(&mut self, offset: u64, change: &Change) -> Outcome {
        let version = offset + 1;
        match &change.set {
            Setting::Profile(name, p) => put(&mut self.profiles, name, p, change.replaces, version),
            Setting::Team(name, t) => put(&mut self.teams, name, t, change.replaces, version),
            Setting::Key(_, k) if !self.teams.contains_key(&k.team) => Outcome::NoSuchTeam,
            Setting::Key(id, k) => put(&mut self.keys, id, k, change.replaces, version),
        }
    }

    /// The team of a key that is in force.
    ///
    /// The hash is compared in constant time; the identifier is public.
    pub fn team_of(&self, id: &str, hash: &KeyHash) -> Option<&Name> {
        let key = &self.keys.get(id)?.value;
        let right = key.hash.same(hash) && !key.withdrawn;
        right.then_some(&key.team)
    }
}

fn put<T: Clone>(
    map: &mut BTreeMap<Name, Versioned<T>>,
    name: &Name,
    value: &T,
    replaces: u64,
    version: u64,
) -> Outcome {
    let current = map.get(name).map_or(NO_VERSION, |v| v.version);
    if current != replaces {
        return Outcome::Conflict(current);
    }
    let value = value.clone();
    map.insert(name.clone(), Versioned { version, value });
    Outcome::Applied(version)
}
