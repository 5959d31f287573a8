//! The settings file of a member, in TOML. Unknown fields are ignored.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use monsoonnotch_core::time;
use monsoonnotch_ingress::limits::MIB;
use monsoonnotch_ingress::prelude as ingress;
use monsoonnotch_jobs::delegation::Limits;
use monsoonnotch_jobs::fitness::Capacity;
use monsoonnotch_jobs::tuning::Tuning;
use quick_error::quick_error;
use serde::Deserialize;

/// Memory that is divided among clients and jobs if the settings do not limit it, in MiB.
const MEMORY_MIB_DEFAULT: f64 = 512.0;
/// Part of the memory that jobs may take at the leader, as a divisor.
const JOBS_MEMORY_DIVISOR: u64 = 4;
/// Descriptors that are divided among clients if the settings do not limit them.
const DESCRIPTORS_DEFAULT: f64 = 8_192.0;

quick_error! {
    /// An error in a settings file.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(path: String, e: std::io::Error) {
            display("cannot read {path}: {e}; check the path and its permissions")
        }
        /// The file is not valid TOML, or a setting is missing or has the wrong type.
        Parse(path: String, e: toml::de::Error) {
            display("{path} is not a valid settings file: {e}")
        }
        /// A value is out of range or contradicts another one.
        Invalid(what: &'static str) {
            display("invalid setting: {what}")
        }
    }
}

/// All settings of a member.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Identity, addresses and capacity of this process.
    pub member: Member,
    /// Addresses of the platform's services.
    pub services: Services,
    /// Times that the platform prescribes.
    pub times: Times,
    /// Tunable parameters; each has a default.
    #[serde(default)]
    pub tuning: Tuned,
}

/// Identity, addresses and capacity of a member's process.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Name of the member in log lines and on links.
    pub name: CompactString,
    /// Failure domain of the entry VM that runs this process.
    pub domain: CompactString,
    /// Listening address for callers' requests.
    pub callers: SocketAddr,
    /// Listening address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listening address for links from other members.
    pub peers: SocketAddr,
    /// Listening address from which metrics are scraped.
    pub metrics: SocketAddr,
    /// CPU capacity available to this process, in cores.
    pub cores: f64,
    /// Capacity of its network link, in Mbit/s; `None` if it does not bind.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Memory that it may use, in MiB; `None` if it does not bind.
    #[serde(default)]
    pub memory_mib: Option<f64>,
    /// Number of files and connections that it may have open; `None` if it does not bind.
    #[serde(default)]
    pub descriptors: Option<f64>,
}

/// Addresses of the platform's services, as `ip:port`.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// Address of the store that keeps the journal and the configuration.
    pub store: SocketAddr,
    /// Address of the service that approves VMs for a stage; empty when there is none.
    #[serde(default)]
    pub approval: CompactString,
}

/// Times that the platform prescribes, in milliseconds unless the name has another unit.
#[derive(Debug, Clone, Deserialize)]
pub struct Times {
    /// Longest lease that a VM grants.
    pub lease_max: u64,
    /// How long the state of a finished job stays available, in seconds.
    pub keep_ended_s: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
}

/// Tunable parameters; docs/SETTINGS-MEMBER.md gives the reasons for the defaults.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Tuned {
    /// Lease requested with each poll of a VM, in milliseconds.
    pub lease_ms: u64,
    /// How long the leader may be unresponsive before other members claim leadership, in
    /// milliseconds.
    pub suspect_ms: u64,
    /// Interval between heartbeats on a link, in milliseconds.
    pub beat_ms: u64,
    /// Members with fewer cores than this delay their claims, so that they become leader only
    /// when no other member claims.
    pub weak_cores: f64,
    /// Share of a pool's CPU capacity that is reserved for the highest priority, in thousandths.
    pub urgent_reserve_milli: u64,
    /// Whether submissions to full pools are turned away that could not be of use in time.
    pub admission: bool,
    /// Number of VMs from which followers carry out the leader's orders to VMs.
    pub delegate_vms: usize,
    /// Number of followers in each failure domain that carry out orders.
    pub executors_per_domain: usize,
    /// Maximum number of log lines per second; warnings and errors have a limit of their own.
    pub log_lines_per_s: u32,
}

impl Default for Tuned {
    fn default() -> Self {
        Self {
            lease_ms: 4_000,
            suspect_ms: 900,
            beat_ms: 200,
            weak_cores: 0.2,
            urgent_reserve_milli: 60,
            admission: false,
            delegate_vms: 60,
            executors_per_domain: 1,
            log_lines_per_s: 400,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, or when a setting is missing or invalid;
    /// the error names the setting.
    pub fn read(path: &str) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::Read(path.to_owned(), e))?;
        Self::parse(path, &text)
    }

    /// Parses and checks the text of a settings file; `path` appears in errors only.
    ///
    /// # Errors
    ///
    /// Returns an error that names the setting when one is missing or invalid.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        let settings: Self = toml::from_str(text).map_err(|e| Error::Parse(path.to_owned(), e))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Error> {
        let (t, tuned) = (&self.times, &self.tuning);
        let reject = |invalid: bool, what| {
            if invalid {
                Err(Error::Invalid(what))
            } else {
                Ok(())
            }
        };
        let m = &self.member;
        let limits = [Some(m.cores), m.link_mbps, m.memory_mib, m.descriptors];
        reject(
            limits.into_iter().flatten().any(|l| l.is_nan() || l <= 0.0),
            "member.cores, link_mbps, memory_mib and descriptors must be above zero; leave out what does not bind",
        )?;
        reject(t.lease_max == 0, "times.lease_max must be above zero")?;
        reject(t.grace_s <= 0.0, "times.grace_s must be above zero")?;
        reject(
            tuned.lease_ms < 1_000,
            "tuning.lease_ms must be 1000 or more",
        )?;
        reject(tuned.beat_ms == 0, "tuning.beat_ms must be above zero")?;
        reject(
            tuned.executors_per_domain == 0,
            "tuning.executors_per_domain must be above zero",
        )?;
        let too_short = tuned.suspect_ms < 2 * tuned.beat_ms;
        reject(
            too_short,
            "tuning.suspect_ms must be at least twice tuning.beat_ms",
        )
    }

    /// Returns the parameters of the scheduler that runs while this member is the leader.
    pub fn scheduler_tuning(&self) -> Tuning {
        let ms = time::Duration::from_millis;
        let lease_max = ms(self.times.lease_max);
        let lease = ms(self.tuning.lease_ms).min(lease_max);
        Tuning {
            lease,
            lease_max,
            poll_wait: ms(lease.as_millis() / 3),
            keep_ended: time::Duration::from_secs(self.times.keep_ended_s),
            approvals: !self.services.approval.is_empty(),
            urgent_reserve_milli: self.tuning.urgent_reserve_milli,
            admission: self.tuning.admission,
            ..Tuning::default()
        }
    }

    /// Returns the resources of this process.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            cores: self.member.cores,
            link_mbps: self.member.link_mbps.unwrap_or(f64::INFINITY),
            memory_mib: self.member.memory_mib.unwrap_or(f64::INFINITY),
            descriptors: self.member.descriptors.unwrap_or(f64::INFINITY),
        }
    }

    /// Returns what clients may take of this process.
    pub fn client_limits(&self) -> ingress::Limits {
        let descriptors = self.member.descriptors.unwrap_or(DESCRIPTORS_DEFAULT);
        ingress::Limits::of_vm(self.memory(), descriptors as usize)
    }

    /// Returns the memory that jobs may take while this member is the leader, in bytes.
    pub fn jobs_memory(&self) -> u64 {
        self.memory() / JOBS_MEMORY_DIVISOR
    }

    /// Returns the memory of this process, in bytes.
    fn memory(&self) -> u64 {
        let memory_mib = self.member.memory_mib.unwrap_or(MEMORY_MIB_DEFAULT);
        (memory_mib * MIB as f64) as u64
    }

    /// Returns the limits of the delegation of orders while this member is the leader.
    ///
    /// Executors are fit for their part of the fleet, or have at least as many cores as the leader.
    pub fn delegation_limits(&self) -> Limits {
        Limits {
            vms_min: self.tuning.delegate_vms,
            cores_min: self.member.cores,
            executors_per_domain: self.tuning.executors_per_domain,
        }
    }

    /// Returns the time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.times.grace_s)
    }
}
