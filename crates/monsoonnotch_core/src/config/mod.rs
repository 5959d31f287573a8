//! What operators publish: profiles, teams and keys.
//!
//! A change names the version of the thing that it replaces. The version of a
//! thing is one more than the log offset of the record that set it, so
//! versions only grow and a lost race is plain to see.

mod hash;
mod past;
mod profile;
mod stamp;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

pub use self::hash::KeyHash;
pub use self::hash::hash64;
pub use self::past::PastChange;
pub use self::past::RECENT_MAX;
pub use self::profile::Lane;
pub use self::profile::Profile;
pub use self::profile::Spread;
pub use self::stamp::Stamp;
pub use self::stamp::utc;
use crate::ident::Name;

/// The version of a thing that does not exist yet.
pub const NO_VERSION: u64 = 0;
/// Longest name of a profile, a team or an account, in bytes.
pub const NAME_MAX: usize = 64;
/// Withdrawn keys that stay listed; older ones are forgotten, and so stay refused.
pub const WITHDRAWN_MAX: usize = 256;

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
    /// Who set it, and when.
    #[serde(default)]
    pub stamp: Stamp,
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
    /// Who made it, and when; for people only.
    #[serde(default)]
    pub stamp: Stamp,
}

impl Change {
    /// A change by nobody in particular.
    pub fn new(replaces: u64, set: Setting) -> Self {
        Self {
            replaces,
            set,
            stamp: Stamp::default(),
        }
    }
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
    /// The withdrawal of a key, by its public identifier.
    Withdraw(Name),
}

impl Setting {
    /// The kind and the name of what is set.
    pub fn kind_and_name(&self) -> (&'static str, &Name) {
        match self {
            Self::Profile(name, _) => ("profiles", name),
            Self::Team(name, _) => ("teams", name),
            Self::Key(id, _) | Self::Withdraw(id) => ("keys", id),
        }
    }
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// It is in force as this version.
    Applied(u64),
    /// Another change came first; this version is in force.
    Conflict(u64),
    /// It names a team that does not exist.
    NoSuchTeam,
    /// It names a key that does not exist.
    NoSuchKey,
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
    /// The newest changes, lost ones included, oldest first.
    #[serde(default)]
    pub recent: VecDeque<PastChange>,
}

impl Config {
    /// Applies the change recorded at `offset`.
    pub fn apply(&mut self, offset: u64, change: &Change) -> ChangeOutcome {
        let version = offset + 1;
        let outcome = match &change.set {
            Setting::Profile(name, p) => put(&mut self.profiles, name, p, change, version),
            Setting::Team(name, t) => put(&mut self.teams, name, t, change, version),
            Setting::Key(_, k) if !self.teams.contains_key(&k.team) => ChangeOutcome::NoSuchTeam,
            Setting::Key(id, k) => put(&mut self.keys, id, k, change, version),
            Setting::Withdraw(id) => self.withdraw(id, change, version),
        };
        self.remember(PastChange::new(version, change, outcome));
        outcome
    }

    /// The team of a key that is in force.
    ///
    /// The hash is compared in constant time; the identifier is public.
    pub fn team_of(&self, id: &str, hash: &KeyHash) -> Option<&Name> {
        let key = &self.keys.get(id)?.value;
        let right = key.hash.matches(hash) && !key.withdrawn;
        right.then_some(&key.team)
    }

    fn withdraw(&mut self, id: &Name, change: &Change, version: u64) -> ChangeOutcome {
        let Some(key) = self.keys.get(id) else {
            return ChangeOutcome::NoSuchKey;
        };
        let key = TeamKey {
            withdrawn: true,
            ..key.value.clone()
        };
        let outcome = put(&mut self.keys, id, &key, change, version);
        self.forget_withdrawn();
        outcome
    }

    /// Forgets the oldest withdrawn keys beyond those that stay listed.
    fn forget_withdrawn(&mut self) {
        let withdrawn = self.keys.iter().filter(|(_, k)| k.value.withdrawn);
        let mut oldest: Vec<(u64, Name)> =
            withdrawn.map(|(id, k)| (k.version, id.clone())).collect();
        oldest.sort_unstable();
        let beyond = oldest.len().saturating_sub(WITHDRAWN_MAX);
        for (_, id) in oldest.into_iter().take(beyond) {
            self.keys.remove(&id);
        }
    }

    fn remember(&mut self, past: PastChange) {
        self.recent.push_back(past);
        while self.recent.len() > RECENT_MAX {
            self.recent.pop_front();
        }
    }
}

/// Whether a name given by an operator is short and needs no escaping in a path.
pub fn is_valid_name(name: &str) -> bool {
    let sound = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let dots = matches!(name, "." | "..");
    (1..=NAME_MAX).contains(&name.len()) && name.chars().all(sound) && !dots
}

fn put<T: Clone>(
    map: &mut BTreeMap<Name, Versioned<T>>,
    name: &Name,
    value: &T,
    change: &Change,
    version: u64,
) -> ChangeOutcome {
    let current = map.get(name).map_or(NO_VERSION, |v| v.version);
    if current != change.replaces {
        return ChangeOutcome::Conflict(current);
    }
    let versioned = Versioned {
        version,
        stamp: change.stamp.clone(),
        value: value.clone(),
    };
    map.insert(name.clone(), versioned);
    ChangeOutcome::Applied(version)
}
