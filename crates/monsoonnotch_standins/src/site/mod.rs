//! A small site for tests: the platform's stand-ins, and entries as child processes.
//!
//! All services listen on ephemeral ports of the loopback address.

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

/// The operators' token that the entries are configured with.
pub const OPERATORS_TOKEN: &str = "operators-token-for-tests";

/// Paths of the programs under test, which Cargo passes to integration tests in environment
/// variables named `CARGO_BIN_EXE_*`.
#[derive(Debug, Clone, Copy)]
pub struct Programs {
    /// Path of `monsoonnotch`.
    pub entry: &'static str,
    /// Path of `monsoonctl`.
    pub ctl: &'static str,
}

/// The running stand-ins of the platform.
#[derive(Debug)]
pub struct Platform {
    /// The log service.
    pub log: LogService,
    /// The service that lists the VMs.
    pub vms: VmDirectory,
    /// The checker that all workers share.
    pub checker: Arc<Checker>,
    /// The workers, named `vm-0`, `vm-1` and so on.
    pub workers: Vec<Worker>,
    programs: Programs,
}

/// Returns the total resources of each worker that [`Platform::start`] starts.
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
    /// Starts the log, the list of VMs, and `n` workers that are spread over three failure
    /// domains.
    ///
    /// # Panics
    ///
    /// Panics when a service cannot be started.
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
    /// Panics when the process cannot be started.
    pub fn start_entry(&self, domain: &str) -> EntryProcess {
        self.start_entry_with(domain, "")
    }

    /// Starts an entry process with additional settings, given as TOML.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn start_entry_with(&self, domain: &str, extra: &str) -> EntryProcess {
        self.start_entry_with_log(domain, self.log.addr(), extra)
    }

    /// Starts an entry process that uses the log at the address `log`, with additional settings.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn start_entry_with_log(&self, domain: &str, log: SocketAddr, extra: &str) -> EntryProcess {
        let text = settings(domain, log, self.vms.addr(), extra);
        EntryProcess::start(&text, self.programs)
    }

    /// Starts a proxy in front of a worker and lists the VM with the address of the proxy. Entries
    /// that start afterwards connect through the proxy.
    pub async fn proxy_worker(&self, i: usize) -> FaultProxy {
        let mut info = self.workers[i].info(&format!("fd-{}", i % 3), &format!("rack-{}", i / 8));
        let addr = info.addr.parse().expect("a worker has an address");
        let proxy = FaultProxy::start(addr).await;
        info.addr = proxy.addr.to_string().into();
        self.vms.put(info);
        proxy
    }
}

/// Returns the text of a settings file.
fn settings(domain: &str, log: SocketAddr, vms: SocketAddr, extra: &str) -> String {
    let hash = KeyHash::of(OPERATORS_TOKEN).to_hex();
    format!(
        "[entry]\nfailure_domain = \"{domain}\"\ncallers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         [platform]\nlog = \"{log}\"\nvms = \"{vms}\"\n\
         [operators]\ntoken_sha256 = \"{hash}\"\n{extra}\n"
    )
}

/// An entry process. Dropping it kills the process and removes its settings file.
#[derive(Debug)]
pub struct EntryProcess {
    child: Child,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Address of the listener for other entries.
    pub peers: SocketAddr,
    settings: PathBuf,
    programs: Programs,
}

impl EntryProcess {
    /// Writes the settings to a file, starts the entry, and reads its listeners' addresses from its
    /// log.
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
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let listening = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|l| l.contains("MN001"))
            .expect("the entry logs its addresses");
        // The pipe must be read to its end, because the entry would block once it is full.
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
            peers: address(&listening, "peers="),
            settings: path,
            programs,
        }
    }

    /// Returns the process identifier.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not ended.
    ///
    /// # Panics
    ///
    /// Panics when the status of the process cannot be read.
    pub fn is_running(&mut self) -> bool {
        let status = self.child.try_wait();
        status
            .expect("the status of a child process can be read")
            .is_none()
    }

    /// Sends a signal, given by its name without `SIG`, such as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Panics
    ///
    /// Panics when the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.pid().to_string())
            .status();
        assert!(status.is_ok_and(|s| s.success()), "signal {name}");
    }

    /// Waits until the process ends, for at most [`WAIT_MAX`], and returns whether it ended in
    /// that time with a success status.
    ///
    /// # Panics
    ///
    /// Panics when the status of the process cannot be read.
    pub fn exits_successfully(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < WAIT_MAX {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the status of a child process can be read")
            {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Runs `monsoonctl` with JSON output against this entry.
    ///
    /// # Panics
    ///
    /// Panics when `monsoonctl` cannot be started.
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

    /// Runs `monsoonctl` against this entry and returns the JSON that it prints.
    ///
    /// # Panics
    ///
    /// Panics when `monsoonctl` fails or prints anything but JSON.
    pub fn ctl_json(&self, args: &[&str]) -> Value {
        let out = self.ctl(args);
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        let err = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(out.status.success(), "monsoonctl {args:?}: {err}");
        serde_json::from_str(&text).expect("monsoonctl prints JSON")
    }

    /// Publishes a profile, given as TOML.
    ///
    /// # Panics
    ///
    /// Panics when the profile cannot be published.
    pub fn publish_profile(&self, name: &str, text: &str) {
        let file = std::env::temp_dir().join(format!("{}-{name}.toml", self.pid()));
        std::fs::write(&file, text).expect("the profile can be written");
        let path = file.to_str().expect("a path in UTF-8");
        self.ctl_json(&["profile", "publish", name, "--file", path]);
        let _ = std::fs::remove_file(file);
    }

    /// Creates or replaces a team of the account `acme`.
    ///
    /// # Panics
    ///
    /// Panics when the team cannot be set.
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

    /// Grants a key to a team and returns it.
    ///
    /// # Panics
    ///
    /// Panics when no key is granted.
    pub fn grant_key(&self, team: &str) -> String {
        let granted = self.ctl_json(&["key", "grant", team]);
        granted["key"].as_str().expect("a key").to_owned()
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns the address that follows `name` in a log line.
fn address(line: &str, name: &str) -> SocketAddr {
    let rest = line.split(name).nth(1).expect("the line has the address");
    let end = rest.find(|c: char| !(c.is_ascii_digit() || c == '.' || c == ':'));
    let text = &rest[..end.unwrap_or(rest.len())];
    text.parse().expect("an address")
}

/// Waits until an entry reports ready to load balancers.
pub async fn wait_ready(entry: &EntryProcess) {
    wait_until("ready", || async {
        let response = send_request(entry.callers, "GET", "/readyz", &[], "").await;
        response.is_some_and(|r| r.status == 200)
    })
    .await;
}
