//! A small deployment: a store, workers, the advice service and members as separate processes.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use monsoonnotch_standins::caller::Response;
use monsoonnotch_standins::caller::send_request;
use serde_json::Value;
use serde_json::json;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::advice;
use crate::advice::Advice;
use crate::advice::Tickets;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Ledger;
use crate::worker::Seen;
use crate::worker::Worker;

/// The API key of the tenant.
pub const KEY: &str = "key-ann";
/// Time from the start of the members to the traffic, as on the sheets.
const LEAD: Duration = Duration::from_secs(10);
/// `X-Deadline-Ms` of all calls.
const DEADLINE_MS: &str = "3000";
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The limit of the whole case; a case that has not ended by then could not run.
const CASE_TIME_MAX: Duration = Duration::from_secs(112);

pub struct Member {
    pub frontend: SocketAddr,
    child: Child,
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Site {
    pub record: Record,
    pub store: Store,
    pub workers: Vec<Arc<Worker>>,
    pub ledger: Ledger,
    members: Vec<Member>,
    _advice: Advice,
    dir: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.members.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// What a site is made of.
pub struct Plan {
    pub workers: usize,
    /// Processor capacity of a worker, in thousandths of a core.
    pub cpu: u64,
    /// The label that the first worker has beside its kind and rack.
    pub first_label: Option<&'static str>,
    pub first_config: Value,
}

fn free_ports(ip: [u8; 4]) -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind(SocketAddr::from((ip, 0))).expect("a port"));
    listeners.map(|l| l.local_addr().expect("a bound listener"))
}

/// Starts the process of a member whose settings are written.
fn spawn_member(dir: &Path, i: usize) -> Child {
    let settings = dir.join(format!("member-{i}.toml"));
    let log = std::env::var("REVIEW_LOG").ok();
    let log = log.map(|dir| {
        let path = format!("{dir}/member-{i}.log");
        OpenOptions::new().create(true).append(true).open(path)
    });
    let stdout = match log {
        Some(Ok(file)) => Stdio::from(file),
        _ => Stdio::null(),
    };
    // The command of deploy/system.toml.
    let child = Command::new("target/release/monsoonnotch")
        .arg("--member")
        .env("MONSOONNOTCH_NODE_FILE", &settings)
        .stdin(Stdio::null())
        .stdout(stdout)
        .stderr(Stdio::null())
        .spawn();
    let Ok(child) = child else {
        eprintln!("cannot start target/release/monsoonnotch; run the build of the deploy file");
        std::process::exit(2);
    };
    child
}

impl Site {
    /// Starts everything and waits until the members are ready and traffic may begin.
    pub async fn start(record: &Record, plan: Plan) -> Self {
        let store = Store::start(record.clone()).await;
        let (ledger, tickets) = (Ledger::default(), Tickets::default());
        // Three of four workers may run a step with advice.
        let allows = |id: &str| !id.starts_with("w-03") && !id.starts_with("w-07");
        let advice = Advice::start(&tickets, record, allows).await;
        let mut workers = Vec::new();
        for number in 0..plan.workers {
            let label = plan.first_label.filter(|_| number == 0);
            let zone = ZONES[number % ZONES.len()];
            workers.push(
                Worker::start(
                    number, zone, label, plan.cpu, &store, &ledger, &tickets, record,
                )
                .await,
            );
        }
        store.put(
            "keyed.op",
            "config",
            plan.first_config.to_string().as_bytes(),
        );
        let dir = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let mut site = Self {
            record: record.clone(),
            store,
            workers,
            ledger,
            members: Vec::new(),
            _advice: advice,
            dir,
        };
        for (i, zone) in ZONES.iter().enumerate() {
            site.start_member(i, zone);
        }
        tokio::time::sleep(LEAD).await;
        site
    }

    fn start_member(&mut self, i: usize, zone: &str) {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = [127, high.max(1), low, 10 + u8::try_from(i).unwrap_or(0)];
        let [frontend, readiness, peers, metrics] = free_ports(ip);
        let (store, advice) = (self.store.addr(), self._advice.addr);
        // As deploy/settings.toml.in, with the limits of the machines on the sheets.
        let text = format!(
            "[member]\nname = \"edge-{zone}-1\"\ndomain = \"{zone}\"\ncallers = \"{frontend}\"\n\
             readiness = \"{readiness}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\n\
             cores = 0.25\nlink_mbps = 1000.0\nmemory_mib = 260\ndescriptors = 4100\n\
             [services]\nstore = \"{store}\"\napproval = \"{advice}\"\n\
             [times]\nlease_max = 10000\nkeep_ended_s = 120\ngrace_s = 6\n"
        );
        let settings = self.dir.join(format!("member-{i}.toml"));
        std::fs::write(&settings, text).expect("the folder can be written");
        let child = spawn_member(&self.dir, i);
        self.record
            .line(&format!("member edge-{zone}-1 starts, pid {}", child.id()));
        self.members.push(Member { frontend, child });
    }

    /// The operator publishes a configuration; the store's answer acknowledges it.
    pub fn publish(&self, config: &Value) {
        self.store
            .put("keyed.op", "config", config.to_string().as_bytes());
        let routes = config["routes"].as_array().into_iter().flatten();
        let routes: Vec<&str> = routes.filter_map(|r| r["name"].as_str()).collect();
        self.record.line(&format!(
            "operator: configuration {} with the routes {}",
            config["version"],
            routes.join(", ")
        ));
    }

    /// Kills the member that last claimed to lead, by its process id.
    pub fn kill_leader(&mut self) {
        let claim = self.store.newest_record("keyed.holder");
        let claim = String::from_utf8_lossy(&claim).into_owned();
        let leads = |zone: &str| claim.contains(&format!("edge-{zone}-1"));
        let Some(leader) = ZONES.iter().position(|zone| leads(zone)) else {
            self.record.line("no member leads");
            return;
        };
        let member = &mut self.members[leader];
        let _ = member.child.kill();
        let _ = member.child.wait();
        self.record.line(&format!(
            "member edge-{}-1, which leads, is killed",
            ZONES[leader]
        ));
    }

    /// Starts the member again that was killed.
    pub fn restart_killed(&mut self) {
        for (i, (member, zone)) in self.members.iter_mut().zip(ZONES).enumerate() {
            if member.child.try_wait().is_ok_and(|e| e.is_some()) {
                member.child = spawn_member(&self.dir, i);
                self.record
                    .line(&format!("member edge-{zone}-1 starts again"));
            }
        }
    }

    /// Sends a call to the member number `member`, and records it with its answer.
    pub async fn call(
        &self,
        member: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<Response> {
        let addr = self.members[member % self.members.len()].frontend;
        let bearer = format!("Bearer {KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
            ("x-deadline-ms", DEADLINE_MS),
        ];
        let sent = send_request(addr, method, path, &headers, body);
        let answer = tokio::time::timeout(Duration::from_secs(3), sent).await;
        let answer = answer.ok().flatten();
        let told = answer.as_ref().map_or("no answer".to_owned(), |r| {
            format!("{} {}", r.status, String::from_utf8_lossy(&r.body))
        });
        self.record
            .line(&format!("client: {method} {path} -> {told}"));
        answer
    }

    /// Hands a job in and repeats that, as clients do, until it is accepted or rejected for good.
    pub async fn submit(&self, member: usize, path: &str, body: &str) -> bool {
        for attempt in 0..5 {
            match self.call(member + attempt, "POST", path, body).await {
                Some(r) if (200..300).contains(&r.status) => return true,
                Some(r) if r.status == 404 || r.status == 400 => return false,
                _ => tokio::time::sleep(Duration::from_millis(300)).await,
            }
        }
        false
    }

    /// Asks for the state of a job; `None` when there is no answer with a state.
    pub async fn state_of(&self, member: usize, path: &str) -> Option<String> {
        let answer = self.call(member, "GET", path, "").await?;
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        Some(body.get("state")?.as_str()?.to_owned())
    }

    /// What the workers have seen of the tasks of a job.
    pub fn tasks_of(&self, id: &str) -> BTreeMap<String, Seen> {
        let ledger = self.ledger.lock().unwrap();
        let own = ledger.iter().filter(|(task, _)| task.starts_with(id));
        own.map(|(task, seen)| (task.clone(), seen.clone()))
            .collect()
    }

    /// Share of the workers' processor capacity that is in use, if each run needs `cpu`.
    pub fn share_in_use(&self, cpu: u64, capacity: u64) -> f64 {
        let running: usize = self.workers.iter().map(|w| w.running()).sum();
        running as f64 * cpu as f64 / (capacity as f64 * self.workers.len() as f64)
    }
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, attempts: u32, with_advice: bool) -> Value {
    let mut route = json!({
        "name": name, "host": "test", "path-prefix": prefix, "service": "pool", "priority": 1,
        "max-attempts": attempts, "slack-factor": 1.5, "target-completion-ms": 250,
    });
    if with_advice {
        route["recommendation"] = json!({
            "decision-ms": advice::DECISION_MS, "period-ms": advice::PERIOD_MS,
            "validity-ms": advice::VALIDITY_MS,
        });
    }
    route
}

/// A configuration with these routes and one tenant without limits.
pub fn config(version: u64, routes: &[Value]) -> Value {
    json!({
        "version": version, "routes": routes,
        "services": [{"name": "pool", "enforce-capacity": false}], "limits": {},
        "tenants": [{"name": "ann", "api-keys": [KEY], "weight": 1_000}],
    })
}

/// A step of a job.
pub fn step(count: u32, cpu: u64, ms: u64, after: &[u32]) -> Value {
    let mut step = json!({"count": count, "cpu": cpu, "mem-mb": 64, "est-runtime-ms": ms});
    if !after.is_empty() {
        step["depends-on"] = json!(after);
    }
    step
}

/// Runs a case; returns 2 if it takes too long or a signal ends it. The members are killed first.
pub async fn limit_time<F: Future<Output = i32>>(case: F) -> i32 {
    let handler = |kind| signal(kind).expect("a signal handler can be set");
    let mut term = handler(SignalKind::terminate());
    let mut int = handler(SignalKind::interrupt());
    tokio::select! {
        code = case => code,
        () = tokio::time::sleep(CASE_TIME_MAX) => {
            eprintln!("the case takes too long");
            2
        }
        _ = term.recv() => 2,
        _ = int.recv() => 2,
    }
}
