//! The settings file of a member, in TOML. Fields that are not known are ignored.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use monsoonnotch_core::time;
use monsoonnotch_jobs::tuning::Tuning;
use quick_error::quick_error;
use serde::Deserialize;

quick_error! {
    /// What is wrong with a settings file.
    #[derive(Debug)]
    pub enum Error {
        /// It cannot be read.
        Read(path: String, e: std::io::Error) {
            display("cannot read {path}: {e}; check the path and its permissions")
        }
        /// It is not of the form expected.
        Form(path: String, e: toml::de::Error) {
            display("{path} is not a settings file: {e}")
        }
        /// A value makes no sense.
        Value(what: &'static str) {
            display("wrong setting: {what}")
        }
    }
}

/// All settings.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The process itself.
    pub member: Member,
    /// The platform's services.
    pub services: Services,
    /// Times that the platform fixes, in milliseconds.
    pub times: Times,
    /// What may be tuned; all of it has defaults.
    #[serde(default)]
    pub tuning: Tuned,
}

/// The process itself.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it takes calls.
    pub readiness: SocketAddr,
    /// Where other members reach it.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Processor that it may use, in cores.
    pub cores: f64,
}

/// The platform's services, as `ip:port`.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The store.
    pub store: SocketAddr,
    /// The service that approves VMs; empty: none.
    #[serde(default)]
    pub approval: CompactString,
}

/// Times that the platform fixes, in milliseconds unless the name says else.
#[derive(Debug, Clone, Deserialize)]
pub struct Times {
    /// Longest lease of a VM.
    pub lease_max: u64,
    /// How long an ended job can be asked for, in seconds.
    pub keep_ended_s: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
}

/// What may be tuned; docs/SETTINGS-MEMBER.md says where the defaults come from.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Tuned {
    /// Lease asked for with each look, in milliseconds.
    pub lease_ms: u64,
    /// Silence of the holder after which others may claim, in milliseconds.
    pub suspect_ms: u64,
    /// Pause between heartbeats on a link, in milliseconds.
    pub beat_ms: u64,
    /// Members with fewer cores claim only when no other does.
    pub weak_cores: f64,
    /// Share of the fleet's processor kept free for the first priority, in thousandths.
    pub urgent_reserve_milli: u64,
    /// Log lines a second, at most; warnings have 100 of their own.
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
            log_lines_per_s: 400,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// When it cannot be read or a setting is missing or wrong; the error names it.
    pub fn read(path: &str) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::Read(path.to_owned(), e))?;
        Self::parse(path, &text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// When a setting is missing or wrong; the error names it.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        let settings: Self = toml::from_str(text).map_err(|e| Error::Form(path.to_owned(), e))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Error> {
        let (t, tuned) = (&self.times, &self.tuning);
        let wrong = |bad: bool, what| if bad { Err(Error::Value(what)) } else { Ok(()) };
        wrong(t.lease_max == 0, "times.lease_max must be above zero")?;
        wrong(t.grace_s <= 0.0, "times.grace_s must be above zero")?;
        wrong(
            tuned.lease_ms < 1_000,
            "tuning.lease_ms must be 1000 or more",
        )?;
        wrong(tuned.beat_ms == 0, "tuning.beat_ms must be above zero")?;
        let slow = tuned.suspect_ms < 2 * tuned.beat_ms;
        wrong(
            slow,
            "tuning.suspect_ms must be at least twice tuning.beat_ms",
        )
    }

    /// The holder's tuning under these settings.
    pub fn holder_tuning(&self) -> Tuning {
        let ms = time::Duration::from_millis;
        let lease = ms(self.tuning.lease_ms.min(self.times.lease_max));
        Tuning {
            lease,
            poll_wait: ms(lease.as_millis() / 3),
            keep_ended: time::Duration::from_secs(self.times.keep_ended_s),
            approvals: !self.services.approval.is_empty(),
            urgent_reserve_milli: self.tuning.urgent_reserve_milli,
            ..Tuning::default()
        }
    }

    /// Time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.times.grace_s)
    }
}
