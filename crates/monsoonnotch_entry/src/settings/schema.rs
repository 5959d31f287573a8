//! Schema of the settings: units, defaults and constraints.

use std::net::SocketAddr;

use monsoonnotch_core::config::is_valid_name;
use toml::de::DeValue;

/// Number of hexadecimal digits of a SHA-256.
const SHA256_HEX_LEN: usize = 64;

/// The constraint that a value of a setting must satisfy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Constraint {
    /// A name of 1 to 64 letters, digits, '-', '_' and '.'.
    Name,
    /// An address to listen on, as `IP:PORT`; port 0 selects a free port.
    Listener,
    /// An address of another service, as `IP:PORT`, with a specific IP address and port.
    Service,
    /// A SHA-256 in hexadecimal.
    Sha256,
    /// A whole number within the given bounds, both inclusive.
    Number(i64, i64),
}

impl Constraint {
    /// Returns a message for a value that violates the constraint, or `None` when it is valid.
    pub(super) fn violation(self, value: &DeValue<'_>) -> Option<String> {
        let valid = match self {
            Self::Number(min, max) => number(value).is_some_and(|n| (min..=max).contains(&n)),
            Self::Name => value.as_str().is_some_and(is_valid_name),
            Self::Listener => address(value).is_some(),
            Self::Service => address(value).is_some_and(reachable),
            Self::Sha256 => value.as_str().is_some_and(is_sha256),
        };
        (!valid).then(|| format!("must be {}", self.description()))
    }

    /// Returns the permitted values as a phrase that follows "must be".
    pub fn description(self) -> String {
        match self {
            Self::Name => "a name of 1 to 64 letters, digits, '-', '_' or '.' in quotes".to_owned(),
            Self::Listener => "an address as \"IP:PORT\"; port 0 selects a free port".to_owned(),
            Self::Service => "an address as \"IP:PORT\" that can be reached".to_owned(),
            Self::Sha256 => {
                "64 hexadecimal digits in quotes; use sha256sum on the token".to_owned()
            }
            Self::Number(min, max) => format!("a whole number from {min} to {max}"),
        }
    }
}

/// Schema of one setting.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// The TOML table that contains the setting.
    pub table: &'static str,
    /// The key of the setting in its table.
    pub name: &'static str,
    /// The unit of the value; empty when it has none.
    pub unit: &'static str,
    /// The default value; `None` when the setting is required.
    pub default: Option<i64>,
    /// The constraint on the value.
    pub constraint: Constraint,
}

const fn required(table: &'static str, name: &'static str, constraint: Constraint) -> Key {
    Key {
        table,
        name,
        unit: "",
        default: None,
        constraint,
    }
}

const fn optional(
    table: &'static str,
    name: &'static str,
    unit: &'static str,
    default: i64,
    constraint: Constraint,
) -> Key {
    Key {
        table,
        name,
        unit,
        default: Some(default),
        constraint,
    }
}

/// The schema of all settings.
pub const KEYS: &[Key] = &[
    required("entry", "failure_domain", Constraint::Name),
    required("entry", "callers", Constraint::Listener),
    required("entry", "operators", Constraint::Listener),
    required("entry", "peers", Constraint::Listener),
    optional("entry", "threads", "threads", 2, Constraint::Number(1, 256)),
    required("platform", "log", Constraint::Service),
    required("platform", "vms", Constraint::Service),
    required("operators", "token_sha256", Constraint::Sha256),
    optional(
        "limits",
        "head_bytes",
        "bytes",
        16_384,
        Constraint::Number(8_192, 1 << 20),
    ),
    optional(
        "limits",
        "body_bytes",
        "bytes",
        1 << 20,
        Constraint::Number(1, 1 << 30),
    ),
    optional(
        "limits",
        "receive_ms",
        "milliseconds",
        10_000,
        Constraint::Number(100, 600_000),
    ),
    optional(
        "limits",
        "connections",
        "connections",
        4_096,
        Constraint::Number(1, 1 << 20),
    ),
    optional(
        "limits",
        "memory_mib",
        "MiB",
        1_024,
        Constraint::Number(32, 1 << 20),
    ),
    optional(
        "limits",
        "descriptors",
        "files",
        10_240,
        Constraint::Number(256, 1 << 20),
    ),
    optional(
        "limits",
        "queue",
        "requests",
        10_000,
        Constraint::Number(1, 1 << 20),
    ),
    optional(
        "timing",
        "platform_timeout_ms",
        "milliseconds",
        1_000,
        Constraint::Number(10, 60_000),
    ),
    optional(
        "timing",
        "vms_ms",
        "milliseconds",
        500,
        Constraint::Number(10, 60_000),
    ),
    optional(
        "timing",
        "shutdown_ms",
        "milliseconds",
        30_000,
        Constraint::Number(100, 3_600_000),
    ),
    optional(
        "timing",
        "connect_ms",
        "milliseconds",
        500,
        Constraint::Number(10, 60_000),
    ),
    optional(
        "timing",
        "snapshot_every",
        "records",
        1_000,
        Constraint::Number(10, 1_000_000),
    ),
];

fn number(value: &DeValue<'_>) -> Option<i64> {
    let n = value.as_integer()?;
    i64::from_str_radix(n.as_str(), n.radix()).ok()
}

fn address(value: &DeValue<'_>) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn reachable(addr: SocketAddr) -> bool {
    addr.port() != 0 && !addr.ip().is_unspecified()
}

fn is_sha256(text: &str) -> bool {
    text.len() == SHA256_HEX_LEN && text.chars().all(|c| c.is_ascii_hexdigit())
}
