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

use crate::caller::WAIT_MAX;
use crate::caller::send_request;
use crate::caller::wait_until;
use crate::fault_injection::FaultProxy;
use crate::log::Service as LogService;
use crate::vms::VmDirectory;
use crate::worker::Checker;
use crate::worker::Worker;

/// The operators' token in tests.
pub const OPERATORS_TOKEN: &str = "operators-token-for-tests";

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
    pub checker: Arc<Checker>,
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
        let checker = Arc::new(Checker::default());
        let vms = VmDirectory::start().await.expect("a free port");
        let mut workers = Vec::new();
        for i in 0..n {
            let name = format!("vm-{i}");
            let worker = Worker::start(&name, worker_size(), &checker).await;
            let worker = worker.expect("a free port");
            vms.put(worker.info(&format!("fd-{}", i % 3), &format!("rack-{}", i / 8)));
            workers.push(worker);
        }
        Self {
            log: LogService::start().await.expect("a free port"),
            vms,
            checker,
            workers,
            programs,
        }
    }

    /// Starts an entry process in a failure domain.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn start_entry(&self, domain: &str) -> EntryProcess {
        self.start_entry_with(domain, "")
    }

    /// Starts an entry process with more settings.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn start_entry_with(&self, domain: &str, more: &str) -> EntryProcess {
        self.start_entry_with_log(domain, self.log.addr(), more)
    }

    /// Starts an entry process that reaches the log at `log`.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn start_entry_with_log(&self, domain: &str, log: SocketAddr, more: &str) -> EntryProcess {
        let text = settings(domain, log, self.vms.addr(), more);
        EntryProcess::start(&text, self.programs)
    }

    /// Puts a tap in front of a worker; entries that start from now on go through it.
    pub async fn proxy_worker(&self, i: usize) -> FaultProxy {
        let mut info = self.workers[i].info(&format!("fd-{}", i % 3), &format!("rack-{}", i / 8));
        let addr = info.addr.parse().expect("a worker has an address");
        let proxy = FaultProxy::start(addr).await;
        info.addr = proxy.addr.to_string().into();
        self.vms.put(info);
        proxy
    }
}

fn settings(domain: &str, log: SocketAddr, vms: SocketAddr, more: &str) -> String {
    let hash = KeyHash::of(OPERATORS_TOKEN).to_hex();
    format!(
        "[entry]\nfailure_domain = \"{domain}\"\ncallers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         [platform]\nlog = \"{log}\"\nvms = \"{vms}\"\n\
         [operators]\ntoken_sha256 = \"{hash}\"\n{more}\n"
    )
}

/// An entry process; dropping it kills it.
#[derive(Debug)]
pub struct EntryProcess {
    child: Child,
    /// The callers' listener.
    pub callers: SocketAddr,
    /// The operators' listener.
    pub operators: SocketAddr,
    settings: PathBuf,
    programs: Programs,
}

impl EntryProcess {
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

    /// Whether it ended with success within `WAIT_MAX`.
    ///
    /// # Panics
    ///
    /// When that fails.
    pub fn exits_successfully(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < WAIT_MAX {
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
            .env("MONSOONCTL_TOKEN", OPERATORS_TOKEN)
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
    pub fn publish_profile(&self, name: &str, text: &str) {
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
    pub fn set_team(&self, name: &str, share: u32, limit: u32) {
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
    pub fn grant_key(&self, team: &str) -> String {
        let answer = self.ctl_json(&["key", "grant", team]);
        answer["key"].as_str().expect("a key").to_owned()
    }
}

impl Drop for EntryProcess {
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
pub async fn wait_ready(entry: &EntryProcess) {
    wait_until("ready", || async {
        let answer = send_request(entry.callers, "GET", "/readyz", &[], "").await;
        answer.is_some_and(|a| a.status == 200)
    })
    .await;
}
