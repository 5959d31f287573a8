//! VMs of the project's stand-ins, and the entries that they write into the store.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use monsoonnotch_adapter_standins::vm::SharedChecker;
use monsoonnotch_adapter_standins::vm::Vm;
use serde_json::Value;
use serde_json::json;

use crate::deployment::Writer;

/// `heartbeat-ms` of the settings that DEPLOY.md shows.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What a VM says of itself in its entry.
#[derive(Debug, Clone)]
pub struct About {
    pub service: &'static str,
    pub draining: bool,
    /// CPU capacity, in thousandths of a core.
    pub cpu: u64,
    pub label: &'static str,
}

/// A VM and what it says of itself.
#[derive(Debug, Clone)]
pub struct Worker {
    pub vm: Vm,
    pub about: Arc<Mutex<About>>,
}

impl Worker {
    /// Returns the entry; `None` while the VM is down.
    fn entry(&self) -> Option<String> {
        let mut entry: Value = serde_json::from_str(&self.vm.entry()?).ok()?;
        let about = self.about.lock().expect("no panic").clone();
        entry["service"] = json!(about.service);
        entry["capacity"]["cpu"] = json!(about.cpu);
        entry["labels"] = json!([about.label, "r1-1"]);
        if about.draining {
            entry["state"] = json!("draining");
            entry["remaining-ms"] = json!(2_000);
        }
        Some(entry.to_string())
    }
}

/// Starts a VM that writes its entry at each heartbeat.
pub async fn start_worker(
    number: usize,
    domain: &'static str,
    about: About,
    store: &impl Writer,
    checker: &SharedChecker,
) -> Worker {
    let vm = Vm::start(number, domain, Arc::clone(checker)).await;
    let about = Arc::new(Mutex::new(about));
    let worker = Worker { vm, about };
    tokio::spawn(write_entries(store.clone(), worker.clone()));
    worker
}

/// Writes a VM's entry at each heartbeat. After three heartbeats of silence the store removes it.
async fn write_entries(store: impl Writer, worker: Worker) {
    let mut key = worker.vm.id();
    let mut silent = 0;
    loop {
        if key != worker.vm.id() {
            store.put("keyed.servers", &key, &[]);
            key = worker.vm.id();
        }
        match worker.entry() {
            Some(entry) => {
                silent = 0;
                store.put("keyed.servers", &key, entry.as_bytes());
            }
            None => {
                silent += 1;
                if silent == 3 {
                    store.put("keyed.servers", &key, &[]);
                }
            }
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}
