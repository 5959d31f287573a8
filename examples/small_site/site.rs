//! The stand-ins and the entries.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use monsoonnotch::core::config::KeyHash;
use monsoonnotch::core::resource::Resources;
use monsoonnotch::ctl::client;
use monsoonnotch::entry::process::Entry;
use monsoonnotch::entry::settings::Settings;
use monsoonnotch_standins::prelude::*;
use serde_json::Value;
use serde_json::json;

/// Workers, each of eight slots.
const WORKERS: usize = 16;
/// Entries, each in a failure domain of its own.
const ENTRIES: usize = 3;
/// Teams and their upper limits.
pub(crate) const TEAMS: [(&str, u32); 6] = [
    ("halls", 60),
    ("couples", 30),
    ("bands", 30),
    ("offices", 40),
    ("foremen", 20),
    ("contractors", 12),
];
/// The operators' token of this site.
const TOKEN: &str = "token-of-the-small-site";
/// Longest wait for a fresh entry to take part.
const START_MAX: Duration = Duration::from_secs(20);

/// Where callers may go, as the balancer knows.
pub(crate) type Balancer = Arc<Mutex<Vec<SocketAddr>>>;

/// Everything that runs.
pub(crate) struct Site {
    /// Carries the stand-ins and the callers.
    pub(crate) rt: tokio::runtime::Runtime,
    log: LogService,
    vms: VmDirectory,
    pub(crate) fleet: Arc<Checker>,
    _workers: Vec<Worker>,
    entries: Vec<Option<Entry>>,
    /// The entry that the next question goes to first.
    turn: Cell<usize>,
    pub(crate) balancer: Balancer,
    /// A key of each team.
    pub(crate) keys: Vec<String>,
}

impl Site {
    /// Starts everything and publishes profiles, teams and keys.
    pub(crate) fn start() -> Self {
        let rt = tokio::runtime::Runtime::new().expect("threads can be started");
        let (log, vms) = rt.block_on(async {
            let log = LogService::start().await.expect("a free port");
            (log, VmDirectory::start().await.expect("a free port"))
        });
        let fleet = Arc::new(Checker::default());
        let workers = rt.block_on(workers(&vms, &fleet));
        let mut site = Self {
            rt,
            log,
            vms,
            fleet,
            _workers: workers,
            entries: (0..ENTRIES).map(|_| None).collect(),
            turn: Cell::new(0),
            balancer: Balancer::default(),
            keys: Vec::new(),
        };
        for i in 0..ENTRIES {
            site.start_entry(i);
        }
        site.publish();
        site
    }

    /// Starts an entry and waits until the balancer may use it.
    pub(crate) fn start_entry(&mut self, i: usize) {
        let settings = settings(i, self.log.addr(), self.vms.addr());
        let entry = Entry::start(settings, None).expect("an entry can be started");
        let callers = entry.addrs().callers;
        self.entries[i] = Some(entry);
        self.rt.block_on(async {
            let ready = async {
                while !is_ready(callers).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            tokio::time::timeout(START_MAX, ready)
                .await
                .expect("ready in time");
        });
        self.list().push(callers);
    }

    /// Kills an entry as if its VM had failed; the balancer notices at once.
    pub(crate) fn kill_entry(&mut self, i: usize) {
        if let Some(entry) = self.entries[i].take() {
            let callers = entry.addrs().callers;
            self.list().retain(|a| *a != callers);
            entry.kill();
        }
    }

    /// Withdraws the key of the last team.
    pub(crate) fn withdraw_last_key(&self) {
        let key = self.keys.last().expect("keys were granted");
        let id = key.split('.').next().expect("a key has two parts");
        let path = format!("/v1/keys/{id}");
        self.operate(http::Method::DELETE, &path, &Value::Null);
    }

    /// Stops all entries gracefully, one after the other.
    pub(crate) fn stop(&mut self) {
        for i in 0..ENTRIES {
            if let Some(entry) = self.entries[i].take() {
                let callers = entry.addrs().callers;
                self.list().retain(|a| *a != callers);
                entry.stop();
            }
        }
    }

    /// Asks the entries in turn; `None` when none has an answer of success.
    pub(crate) fn ask(&self, method: http::Method, path: &str, body: &Value) -> Option<Value> {
        let first = self.turn.replace((self.turn.get() + 1) % ENTRIES);
        let order = (first..first + ENTRIES).map(|i| i % ENTRIES);
        let entries = order.filter_map(|i| self.entries[i].as_ref());
        let mut answers = entries.filter_map(|e| {
            let one = client::Entries {
                addrs: vec![e.addrs().operators],
                token: TOKEN.to_owned(),
                operator: String::new(),
            };
            match method {
                http::Method::GET => one.get(path).ok(),
                _ => one.change(&method, path, body).ok(),
            }
        });
        answers.next()
    }

    fn operate(&self, method: http::Method, path: &str, body: &Value) -> Value {
        let mut tries = 0;
        loop {
            if let Some(answer) = self.ask(method.clone(), path, body) {
                return answer;
            }
            tries += 1;
            assert!(tries < 50, "no entry does {path}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    fn publish(&mut self) {
        let put = |path: &str, body: Value| self.operate(http::Method::PUT, path, &body);
        let profiles = [
            ("hold", json!({ "repeatable": true, "priority": 7 })),
            ("deposit", json!({ "repeatable": false, "priority": 9 })),
            ("check", json!({ "repeatable": true, "priority": 5 })),
            ("bundle", json!({ "lane": "batch" })),
            ("together", json!({ "lane": "all_at_once" })),
            ("watch", json!({ "lane": "long_lived" })),
        ];
        for (name, body) in profiles {
            put(&format!("/v1/profiles/{name}"), body);
        }
        for (team, limit) in TEAMS {
            let body = json!({ "account": "site", "share": 1, "limit": limit });
            put(&format!("/v1/teams/{team}"), body);
            self.fleet.set_limit(team, limit);
        }
        let grant = |team| {
            let body = json!({ "team": team });
            let answer = self.operate(http::Method::POST, "/v1/keys", &body);
            answer["key"].as_str().expect("a key").to_owned()
        };
        self.keys = TEAMS.iter().map(|(team, _)| grant(*team)).collect();
    }

    fn list(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.balancer.lock().expect("no holder of the lock panics")
    }
}

async fn workers(vms: &VmDirectory, fleet: &Arc<Checker>) -> Vec<Worker> {
    let total = Resources {
        cpu_milli: 16_000,
        memory_mib: 65_536,
        accelerators: 0,
        slots: 8,
        connections: 60,
    };
    let mut workers = Vec::new();
    for i in 0..WORKERS {
        let worker = Worker::start(&format!("vm-{i}"), total, fleet).await;
        let worker = worker.expect("a free port");
        vms.put(worker.info(&format!("fd-{}", i % 3), &format!("rack-{}", i / 8)));
        workers.push(worker);
    }
    workers
}

async fn is_ready(callers: SocketAddr) -> bool {
    let answer = send_request(callers, "GET", "/readyz", &[], "").await;
    answer.is_some_and(|a| a.status == 200)
}

fn settings(i: usize, log: SocketAddr, vms: SocketAddr) -> Settings {
    let hash = KeyHash::of(TOKEN).to_hex();
    let text = format!(
        "[entry]\nfailure_domain = \"fd-{i}\"\ncallers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         [platform]\nlog = \"{log}\"\nvms = \"{vms}\"\n\
         [operators]\ntoken_sha256 = \"{hash}\"\n"
    );
    Settings::parse("small_site", &text).expect("the settings are sound")
}
