//! The cluster: stand-ins of the platform, entries, profiles, teams and keys.

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

/// Number of workers; each has eight slots.
const WORKERS: usize = 16;
/// Number of entries; each is in another failure domain.
const ENTRIES: usize = 3;
/// Teams and their limits, in slots.
pub(crate) const TEAMS: [(&str, u32); 6] = [
    ("halls", 60),
    ("couples", 30),
    ("bands", 30),
    ("offices", 40),
    ("foremen", 20),
    ("contractors", 12),
];
/// The token with which operators' requests are authorized.
const TOKEN: &str = "token-of-the-small-site";
/// Maximum time from the start of an entry until it is ready.
const READY_MAX: Duration = Duration::from_secs(20);

/// The addresses of the entries that a load balancer would use for callers.
pub(crate) type Balancer = Arc<Mutex<Vec<SocketAddr>>>;

/// The running cluster.
pub(crate) struct Site {
    /// Runs the stand-ins and the callers.
    pub(crate) rt: tokio::runtime::Runtime,
    log: LogService,
    vms: VmDirectory,
    pub(crate) checker: Arc<Checker>,
    _workers: Vec<Worker>,
    entries: Vec<Option<Entry>>,
    /// Index of the entry that gets the next operator's request first.
    next_entry: Cell<usize>,
    pub(crate) balancer: Balancer,
    /// One key of each team, in the order of [`TEAMS`].
    pub(crate) keys: Vec<String>,
}

impl Site {
    /// Starts the stand-ins and the entries and publishes profiles, teams and keys.
    pub(crate) fn start() -> Self {
        let rt = tokio::runtime::Runtime::new().expect("threads can be started");
        let (log, vms) = rt.block_on(async {
            let log = LogService::start().await.expect("a free port");
            (log, VmDirectory::start().await.expect("a free port"))
        });
        let checker = Arc::new(Checker::default());
        let workers = rt.block_on(workers(&vms, &checker));
        let mut site = Self {
            rt,
            log,
            vms,
            checker,
            _workers: workers,
            entries: (0..ENTRIES).map(|_| None).collect(),
            next_entry: Cell::new(0),
            balancer: Balancer::default(),
            keys: Vec::new(),
        };
        for i in 0..ENTRIES {
            site.start_entry(i);
        }
        site.publish();
        site
    }

    /// Starts entry `i`, waits until it is ready and adds it to the balancer's list.
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
            tokio::time::timeout(READY_MAX, ready)
                .await
                .expect("ready in time");
        });
        self.balancer_list().push(callers);
    }

    /// Kills entry `i` as if its VM had failed and removes it from the balancer's list at once.
    pub(crate) fn kill_entry(&mut self, i: usize) {
        if let Some(entry) = self.entries[i].take() {
            let callers = entry.addrs().callers;
            self.balancer_list().retain(|a| *a != callers);
            entry.kill();
        }
    }

    /// Withdraws the key of the last team.
    pub(crate) fn withdraw_last_key(&self) {
        let key = self.keys.last().expect("keys were granted");
        let id = key.split('.').next().expect("a key has two parts");
        let path = format!("/v1/keys/{id}");
        self.send_until_success(http::Method::DELETE, &path, &Value::Null);
    }

    /// Stops all entries gracefully, one after another.
    pub(crate) fn stop(&mut self) {
        for i in 0..ENTRIES {
            if let Some(entry) = self.entries[i].take() {
                let callers = entry.addrs().callers;
                self.balancer_list().retain(|a| *a != callers);
                entry.stop();
            }
        }
    }

    /// Sends an operator's request to the entries until one succeeds; `None` if none does.
    pub(crate) fn send_to_any(
        &self,
        method: http::Method,
        path: &str,
        body: &Value,
    ) -> Option<Value> {
        let first = self
            .next_entry
            .replace((self.next_entry.get() + 1) % ENTRIES);
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

    /// Repeats a request, up to 50 times, until an entry succeeds.
    fn send_until_success(&self, method: http::Method, path: &str, body: &Value) -> Value {
        let mut tries = 0;
        loop {
            if let Some(answer) = self.send_to_any(method.clone(), path, body) {
                return answer;
            }
            tries += 1;
            assert!(tries < 50, "no entry succeeds for {path}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    fn publish(&mut self) {
        let put = |path: &str, body: Value| self.send_until_success(http::Method::PUT, path, &body);
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
            self.checker.set_limit(team, limit);
        }
        let grant = |team| {
            let body = json!({ "team": team });
            let answer = self.send_until_success(http::Method::POST, "/v1/keys", &body);
            answer["key"].as_str().expect("a key").to_owned()
        };
        self.keys = TEAMS.iter().map(|(team, _)| grant(*team)).collect();
    }

    fn balancer_list(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.balancer.lock().expect("the lock is not poisoned")
    }
}

async fn workers(vms: &VmDirectory, checker: &Arc<Checker>) -> Vec<Worker> {
    let total = Resources {
        cpu_milli: 16_000,
        memory_mib: 65_536,
        accelerators: 0,
        slots: 8,
        connections: 60,
    };
    let mut workers = Vec::new();
    for i in 0..WORKERS {
        let worker = Worker::start(&format!("vm-{i}"), total, checker).await;
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
    Settings::parse("small_site", &text).expect("the settings are valid")
}
