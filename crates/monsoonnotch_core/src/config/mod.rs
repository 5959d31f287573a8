//! The configuration that operators publish: profiles, teams and keys.
//!
//! A change names the version of the object that it replaces. The version of an
//! object is one more than the log offset of the record that set it. Versions
//! therefore only grow, and of two concurrent changes to one object the second
//! is rejected as a conflict.

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

/// The version of an object that does not exist yet.
pub const NO_VERSION: u64 = 0;
/// Maximum length of the name of a profile, a team or an account, in bytes.
pub const NAME_MAX: usize = 64;
/// Maximum number of withdrawn keys that are kept for listing.
///
/// Beyond it the oldest are removed. They stay refused, because unknown keys are refused.
pub const WITHDRAWN_MAX: usize = 256;

/// A team of a client account: its share when the fleet is full and its upper limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The client account that the team belongs to.
    pub account: Name,
    /// Weight of the team relative to others, at least one.
    pub share: u32,
    /// Maximum number of requests and tasks that run at once across the fleet.
    pub limit: u32,
}

/// A team's key; only the hash of its secret is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamKey {
    /// The team that the key authenticates.
    pub team: Name,
    /// Hash of the secret.
    pub hash: KeyHash,
    /// Whether the key has been withdrawn and is refused.
    pub withdrawn: bool,
}

/// A published object and its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// One more than the log offset of the record that set the object.
    pub version: u64,
    /// Who set the object, and when.
    #[serde(default)]
    pub stamp: Stamp,
    /// The object itself.
    pub value: T,
}

/// A change to the configuration, made by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that the change replaces; `NO_VERSION` for a new object.
    pub replaces: u64,
    /// The new value.
    pub set: Setting,
    /// Who made the change, and when; shown to operators only.
    #[serde(default)]
    pub stamp: Stamp,
}

impl Change {
    /// Returns a change with an empty stamp.
    pub fn new(replaces: u64, set: Setting) -> Self {
        Self {
            replaces,
            set,
            stamp: Stamp::default(),
        }
    }
}

/// The value that a change sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Setting {
    /// A profile, with its name.
    Profile(Name, Profile),
    /// A team, with its name.
    Team(Name, Team),
    /// A key, with its public identifier.
    Key(Name, TeamKey),
    /// The withdrawal of a key, by the key's public identifier.
    Withdraw(Name),
}

impl Setting {
    /// Returns the kind of the object (`profiles`, `teams` or `keys`) and its name.
    pub fn kind_and_name(&self) -> (&'static str, &Name) {
        match self {
            Self::Profile(name, _) => ("profiles", name),
            Self::Team(name, _) => ("teams", name),
            Self::Key(id, _) | Self::Withdraw(id) => ("keys", id),
        }
    }
}

/// The result of applying a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is in force; the object has this version.
    Applied(u64),
    /// The change names an outdated version; the object has this version.
    Conflict(u64),
    /// The change grants a key to a team that does not exist.
    NoSuchTeam,
    /// The change withdraws a key that does not exist.
    NoSuchKey,
}

/// Everything that operators have published.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Profiles by name.
    pub profiles: BTreeMap<Name, Versioned<Profile>>,
    /// Teams by name.
    pub teams: BTreeMap<Name, Versioned<Team>>,
    /// Keys by public identifier.
    pub keys: BTreeMap<Name, Versioned<TeamKey>>,
    /// The last `RECENT_MAX` changes, oldest first, including rejected ones.
    #[serde(default)]
    pub recent: VecDeque<PastChange>,
}

impl Config {
    /// Applies the change recorded at `offset` and returns its result.
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

    /// Returns the team of a key; `None` when the key is unknown, wrong or withdrawn.
    ///
    /// The hash is compared in constant time. The identifier is public, so its lookup is not.
    pub fn team_of(&self, id: &str, hash: &KeyHash) -> Option<&Name> {
        let key = &self.keys.get(id)?.value;
        let valid = key.hash.matches(hash) && !key.withdrawn;
        valid.then_some(&key.team)
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
        self.prune_withdrawn();
        outcome
    }

    /// Removes the oldest withdrawn keys beyond `WITHDRAWN_MAX`.
    fn prune_withdrawn(&mut self) {
        let withdrawn = self.keys.iter().filter(|(_, k)| k.value.withdrawn);
        let mut oldest: Vec<(u64, Name)> =
            withdrawn.map(|(id, k)| (k.version, id.clone())).collect();
        oldest.sort_unstable();
        let excess = oldest.len().saturating_sub(WITHDRAWN_MAX);
        for (_, id) in oldest.into_iter().take(excess) {
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

/// Returns whether a name is valid: short, and usable in a URL path without escaping.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let dots = matches!(name, "." | "..");
    (1..=NAME_MAX).contains(&name.len()) && name.chars().all(allowed) && !dots
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
