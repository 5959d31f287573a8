//! Settings of an entry process, read from a TOML file.

mod check;
mod schema;

use std::net::SocketAddr;

use monsoonnotch_core::ident::Name;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

pub use self::check::Fault;
pub use self::schema::Constraint;
pub use self::schema::KEYS;
pub use self::schema::Key;

quick_error! {
    /// What is wrong with a settings file.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(path: String, err: std::io::Error) {
            display("{path}: cannot be read: {err}; check the path and its permissions")
        }
        /// The text is not a sound settings file.
        Invalid(path: String, faults: Vec<Fault>) {
            display("{}", lines(path, faults))
        }
    }
}

fn lines(path: &str, faults: &[Fault]) -> String {
    let line = |f: &Fault| format!("{path}:{}: {}", f.line, f.message);
    let lines: Vec<String> = faults.iter().map(line).collect();
    lines.join("\n")
}

/// All settings of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Addresses and place of this entry.
    pub entry: Entry,
    /// Where the platform's services answer.
    pub platform: Platform,
    /// Credentials of operators.
    pub operators: Operators,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: Limits,
    /// Spans of time.
    #[serde(default)]
    pub timing: Timing,
}

/// Addresses and place of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The failure domain.
    pub failure_domain: Name,
    /// The callers' listener.
    pub callers: SocketAddr,
    /// The operators' listener.
    pub operators: SocketAddr,
    /// The peers' listener; its IP address is told to peers.
    pub peers: SocketAddr,
    /// Threads that carry traffic.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// Where the platform's services answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log service.
    pub log: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
}

/// Credentials of operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// SHA-256 of the operators' token, in hexadecimal.
    pub token_sha256: String,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's head, and again for its body, in milliseconds.
    pub receive_ms: u64,
    /// Most open connections of callers.
    pub connections: usize,
    /// Most requests that wait for a slot.
    pub queue: usize,
}

/// Spans of time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Longest exchange with the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Pause between looks at the list of VMs, in milliseconds.
    pub vms_ms: u64,
    /// Longest graceful shutdown, in milliseconds.
    pub shutdown_ms: u64,
    /// Longest dial of an upstream, in milliseconds.
    pub connect_ms: u64,
    /// Records of the control stream between two snapshots.
    pub snapshot_every: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            receive_ms: 10_000,
            connections: 4_096,
            queue: 10_000,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            platform_timeout_ms: 1_000,
            vms_ms: 500,
            shutdown_ms: 30_000,
            connect_ms: 500,
            snapshot_every: 1_000,
        }
    }
}

fn default_threads() -> usize {
    2
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or holds anything but sound settings; the
    /// error names every fault with its line and says what to do.
    pub fn read(path: &str) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|e| Error::Read(path.to_owned(), e))?;
        Self::parse(path, &text)
    }

    /// Reads and checks a text; `path` is for messages.
    ///
    /// # Errors
    ///
    /// As for `read`.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        let invalid = |faults| Error::Invalid(path.to_owned(), faults);
        let faults = check::faults(text);
        if !faults.is_empty() {
            return Err(invalid(faults));
        }
        let settings: Self =
            toml::from_str(text).map_err(|e| invalid(vec![deserialization_fault(&e)]))?;
        let faults = check::cross_setting_faults(text, &settings);
        match faults.is_empty() {
            true => Ok(settings),
            false => Err(invalid(faults)),
        }
    }
}

/// A fault that only the reading of the values found.
fn deserialization_fault(e: &toml::de::Error) -> Fault {
    Fault {
        line: 1,
        message: e.message().to_owned(),
    }
}
