//! The stored form of a team key's secret.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// What stands for a hash in text that people read.
const REDACTED: &str = "(redacted)";

/// SHA-256 of a secret.
///
/// Formats for people, JSON among them, show a fixed text in its place, so
/// that no dump or answer reveals it; binary formats carry it exactly.
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
    /// Hashes a secret.
    pub fn of(secret: &str) -> Self {
        Self(Sha256::digest(secret.as_bytes()).to_vec())
    }

    /// Reads the hexadecimal form.
    pub fn from_hex(s: &str) -> Option<Self> {
        let buf = hex::decode(s).ok()?;
        (buf.len() == 32).then_some(Self(buf))
    }

    /// The hexadecimal form.
    pub fn to_hex(&self) -> String {
        hex::encode(&self.0)
    }

    /// Whether both are the same, in time that does not depend on where they differ.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// A 64-bit hash for placing text in the hash space; the same in every process.
pub fn hash64(text: &str) -> u64 {
    let sum = Sha256::digest(text.as_bytes());
    u64::from_be_bytes(sum[..8].try_into().expect("eight of 32 bytes"))
}
