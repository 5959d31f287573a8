//! The stored form of a team key's secret, and the hash for placing text.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Text that replaces a hash in human-readable formats.
const REDACTED: &str = "(redacted)";

/// The SHA-256 hash of a secret.
///
/// Human-readable formats such as JSON write a fixed text in its place, so that
/// no dump or response reveals it; binary formats carry the hash itself.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(#[serde(with = "serde_bytes")] Vec<u8>);

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match s.is_human_readable() {
            true => s.serialize_str(REDACTED),
            false => serde_bytes::serialize(&self.0, s),
        }
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl KeyHash {
    /// Returns the hash of a secret.
    pub fn of(secret: &str) -> Self {
        Self(Sha256::digest(secret.as_bytes()).to_vec())
    }

    /// Parses a hash from 64 hexadecimal digits; `None` when the text is anything else.
    pub fn from_hex(s: &str) -> Option<Self> {
        let buf = hex::decode(s).ok()?;
        (buf.len() == 32).then_some(Self(buf))
    }

    /// Returns the hash as 64 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        hex::encode(&self.0)
    }

    /// Returns whether both hashes are equal, in time independent of where they differ.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Returns the position of a text in the hash space; the same in every process.
pub fn hash64(text: &str) -> u64 {
    let digest = Sha256::digest(text.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("eight of 32 bytes"))
}
