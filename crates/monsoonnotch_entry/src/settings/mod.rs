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
    /// An error of reading a settings file.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(path: String, err: std::io::Error) {
            display("{path}: cannot be read: {err}; check the path and its permissions")
        }
        /// The file is not valid.
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
    /// Addresses, failure domain and threads of this entry.
    pub entry: Entry,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Credentials of operators.
    pub operators: Operators,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: Limits,
    /// Timeouts and intervals.
    #[serde(default)]
    pub timing: Timing,
}

/// Addresses, failure domain and threads of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The failure domain that the entry runs in.
    pub failure_domain: Name,
    /// Address of the callers' listener.
    pub callers: SocketAddr,
    /// Address of the operators' listener.
    pub operators: SocketAddr,
    /// Address of the peers' listener, which is announced to the peers.
    pub peers: SocketAddr,
    /// Number of threads that carry traffic.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the service that lists the VMs.
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
    /// Timeout for receiving a request's head, and again for its body, in milliseconds.
    pub receive_ms: u64,
    /// Maximum number of open connections of callers.
    pub connections: usize,
    /// Memory of the process, in MiB, half of which its clients may take.
    pub memory_mib: u64,
    /// Number of files and connections that the process may have open.
    pub descriptors: usize,
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
}

/// Timeouts and intervals.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Timeout for one exchange with the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Interval of polling the list of VMs, in milliseconds.
    pub vms_ms: u64,
    /// Timeout for a graceful shutdown, in milliseconds.
    pub shutdown_ms: u64,
    /// Timeout for connecting to an upstream, in milliseconds.
    pub connect_ms: u64,
    /// Number of records of the control stream between two snapshots.
    pub snapshot_every: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            receive_ms: 10_000,
            connections: 4_096,
            memory_mib: 1_024,
            descriptors: 10_240,
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or is not valid. The error lists every fault
    /// with its line and how to correct it.
    pub fn read(path: &str) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|e| Error::Read(path.to_owned(), e))?;
        Self::parse(path, &text)
    }

    /// Parses and validates the text of a settings file; `path` is used in messages only.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not valid, as [`Settings::read`] does.
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

/// Converts an error of deserialization that the validation did not find.
fn deserialization_fault(e: &toml::de::Error) -> Fault {
    Fault {
        line: 1,
        message: e.message().to_owned(),
    }
}
