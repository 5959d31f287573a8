//! A small site: the stand-ins, and entries as child processes.
//!
//! Everything listens on ephemeral loopback ports.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::resource::Resources;
use serde_json::Value;

use crate::caller::PATIENCE;
use crate::caller::call;
use crate::caller::eventually;
use crate::log::Service as LogService;
use crate::tap::Tap;
use crate::vms::VmDirectory;
use crate::worker::Fleet;
use crate::worker::Worker;

/// The operators' token in tests.
pub const TOKEN: &str = "operators-token-for-tests";

/// The programs under test; a test names them with `env!`.
#[derive(Debug, Clone, Copy)]
pub struct Programs {
    /// Path of `monsoonnotch`.
    pub entry: &'static str,
    /// Path of `monsoonctl`.
    pub ctl: &'static str,
}

/// The platform's stand-ins.
#[derive(Debug)]
pub struct Platform {
    /// The log.
    pub log: LogService,
    /// The list of VMs.
    pub vms: VmDirectory,
    /// What the workers saw together.
    pub fleet: Arc<Fleet>,
    /// The workers.
    pub workers: Vec<Worker>,
    programs: Programs,
}

/// What a worker of the tests has.
pub fn worker_size() -> Resources {
    Resources {
        cpu_milli: 16_000,
        memory_mib: 65_536,
        accelerators: 0,
        slots: 8,
        connections: 60,
    }
}

impl Platform {
    /// Starts the log, the list and `n` workers in three failure domains.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub async fn start(n: usize, programs: Programs) -> Self {
        let fleet = Arc::new(Fleet::default());
        let vms = VmDirectory::start().await.expect("a free port");
        let mut workers = Vec::new();
        for i in 0..n {
            let name = format!("vm-{i}");
            let worker = Worker::start(&name, worker_size(), &fleet).await;
            let worker = worker.expect("a free port");
            vms.put(worker.info(&format!("fd-{}", i % 3), &format!("rack-{}", i / 8)));
            workers.push(worker);
        }
        Self {
            log: LogService::start().await.expect("a free port"),
            vms,
            fleet,
            workers,
            programs,
        }
    }

    /// Starts an entry process in a failure domain.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn entry(&self, domain: &str) -> Process {
        self.entry_with(domain, "")
    }

    /// Starts an entry process with more settings.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn entry_with(&self, domain: &str, more: &str) -> Process {
        self.entry_by(domain, self.log.addr(), more)
    }

    /// Starts an entry process that reaches the log at `log`.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn entry_by(&self, domain: &str, log: SocketAddr, more: &str) -> Process {
        let text = settings(domain, log, self.vms.addr(), more);
        Process::start(&text, self.programs)
    }

    /// Puts a tap in front of a worker; entries that start from now on go through it.
    pub async fn tap_worker(&self, i: usize) -> Tap {
        let mut info = self.workers[i].info(&format!("fd-{}", i % 3), &format!("rack-{}", i / 8));
        let addr = info.addr.parse().expect("a worker has an address");
        let tap = Tap::start(addr).await;
        info.addr = tap.addr.to_string().into();
        self.vms.put(info);
        tap
    }
}

fn settings(domain: &str, log: SocketAddr, vms: SocketAddr, more: &str) -> String {
    let hash = KeyHash::of(TOKEN).to_hex();
    format!(
        "[entry]\nfailure_domain = \"{domain}\"\ncallers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         [platform]\nlog = \"{log}\"\nvms = \"{vms}\"\n\
         [operators]\ntoken_sha256 = \"{hash}\"\n{more}\n"
    )
}

/// An entry process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The callers' listener.
    pub callers: SocketAddr,
    /// The operators' listener.
    pub operators: SocketAddr,
    settings: PathBuf,
    programs: Programs,
}

impl Process {
    fn start(text: &str, programs: Programs) -> Self {
        let name = format!(
            "monsoonnotch-{}-{:x}.toml",
            std::process::id(),
            rand::random::<u64>()
        );
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("the settings can be written");
        let mut child = Command::new(programs.entry)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the entry can be started");
        let mut lines = BufReader::new(child.stdout.take().expect("it was piped")).lines();
        let listening = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|l| l.contains("MN001"))
            .expect("the entry says where it listens");
        // The pipe must be read to its end, or the entry would block on it.
        let show = std::env::var_os("MONSOONNOTCH_SHOW_LOGS").is_some();
        std::thread::spawn(move || {
            for l in lines.map_while(Result::ok) {
                if show {
                    eprintln!("{l}");
                }
            }
        });
        Self {
            child,
            callers: address(&listening, "callers="),
            operators: address(&listening, "operators="),
            settings: path,
            programs,
        }
    }

    /// The process identifier.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.pid().to_string())
            .status();
        assert!(done.is_ok_and(|s| s.success()), "signal {name}");
    }

    /// Whether it ended with success within `PATIENCE`.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn ended_well(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().expect("the child is ours") {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Runs `monsoonctl` against this entry.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn ctl(&self, args: &[&str]) -> Output {
        Command::new(self.programs.ctl)
            .arg("--entry")
            .arg(self.operators.to_string())
            .arg("--json")
            .args(args)
            .env("MONSOONCTL_TOKEN", TOKEN)
            .output()
            .expect("monsoonctl can be started")
    }

    /// Runs `monsoonctl`, which must succeed, and reads its JSON answer.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn ctl_json(&self, args: &[&str]) -> Value {
        let out = self.ctl(args);
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        let err = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(out.status.success(), "monsoonctl {args:?}: {err}");
        serde_json::from_str(&text).expect("JSON")
    }

    /// Publishes a profile from TOML text.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn publish(&self, name: &str, text: &str) {
        let file = std::env::temp_dir().join(format!("{}-{name}.toml", self.pid()));
        std::fs::write(&file, text).expect("the profile can be written");
        let path = file.to_str().expect("a plain path");
        self.ctl_json(&["profile", "publish", name, "--file", path]);
        let _ = std::fs::remove_file(file);
    }

    /// Sets a team.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn team(&self, name: &str, share: u32, limit: u32) {
        let (share, limit) = (share.to_string(), limit.to_string());
        let args = [
            "team",
            "set",
            name,
            "--account",
            "acme",
            "--share",
            &share,
            "--limit",
            &limit,
        ];
        self.ctl_json(&args);
    }

    /// Grants a key to a team.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn grant(&self, team: &str) -> String {
        let answer = self.ctl_json(&["key", "grant", team]);
        answer["key"].as_str().expect("a key").to_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn address(line: &str, name: &str) -> SocketAddr {
    let rest = line.split(name).nth(1).expect("the address is there");
    let end = rest.find(|c: char| !(c.is_ascii_digit() || c == '.' || c == ':'));
    let text = &rest[..end.unwrap_or(rest.len())];
    text.parse().expect("an address")
}

/// Waits until an entry tells the balancer that it is ready.
pub async fn ready(entry: &Process) {
    eventually("ready", || async {
        let answer = call(entry.callers, "GET", "/readyz", &[], "").await;
        answer.is_some_and(|a| a.status == 200)
    })
    .await;
}
