//! Workers that come back from a crash as another kind, under the id that they had.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use monsoonnotch_adapter_standins::store::Store;
use monsoonnotch_adapter_standins::vm::SharedChecker;
use serde_json::json;

use crate::Finding;
use crate::deployment::Member;
use crate::deployment::Record;
use crate::deployment::Route;
use crate::deployment::call;
use crate::deployment::publish;
use crate::deployment::start_all;
use crate::deployment::unlimited;
use crate::deployment::with_trouble;
use crate::fleet::About;
use crate::fleet::start_worker;

const KEY: Option<&str> = Some("key-a");
const WORKERS: usize = 12;
const CRASHES: usize = 20;
const DOWN: Duration = Duration::from_millis(1_500);
const PERIOD: Duration = Duration::from_millis(2_500);
/// CPU capacity of the kinds, in thousandths of a core.
const LARGE: u64 = 8_000;
const SMALL: u64 = 4_000;

pub async fn run(record: &Record, dir: &Path) -> Finding {
    let store = Store::start().await;
    let checker = SharedChecker::default();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let domain = ["a", "b", "c"][number % 3];
        let about = About {
            service: "pool",
            draining: false,
            cpu: LARGE,
            label: "large",
        };
        workers.push(start_worker(number, domain, about, &store, &checker).await);
    }
    let routes = [Route {
        prefix: "/jobs/",
        service: "pool",
        public: false,
        priority: 0,
    }];
    publish(&store, 1, &routes, &[unlimited("ann", &["key-a"])]);
    let mut members = ["a", "b", "c"].map(|d| Member::new(1, d, store.addr(), dir));
    start_all(&mut members, record).await;
    let addrs = [0, 1, 2].map(|m: usize| members[m].callers);
    tokio::time::sleep(Duration::from_secs(3)).await;
    // Half of the jobs need the label of the large kind; together they fill the service.
    let jobs = tokio::spawn({
        let record = record.clone();
        async move {
            for n in 0_u64..1_000 {
                let label = if n % 2 == 0 { "large" } else { "" };
                let spec = json!({"cpu": 1_000, "work_ms": 2_000}).to_string();
                let phase = json!({"count": 6, "cpu": 1_000, "mem-mb": 64, "est-runtime-ms": 2_000,
                    "required-label": label});
                let body = json!({"spec": spec, "phases": [phase]}).to_string();
                let path = format!("/jobs/{:016x}", (1 + n % 2) << 60 | n);
                let addr = addrs[n as usize % 3];
                call(&record, addr, "POST", &path, KEY, &body).await;
                tokio::time::sleep(Duration::from_millis(110)).await;
            }
        }
    });
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut kinds: BTreeMap<usize, Vec<(&str, u64)>> = BTreeMap::new();
    for n in 0..CRASHES {
        if !with_trouble() {
            tokio::time::sleep(PERIOD).await;
            continue;
        }
        let number = n % WORKERS;
        let worker = &workers[number];
        worker.vm.crash();
        record.add(format!("worker {} crashes", worker.vm.id()));
        tokio::time::sleep(DOWN).await;
        let history = kinds
            .entry(number)
            .or_insert_with(|| vec![("large", LARGE)]);
        let kind = match history.last() {
            Some(("large", _)) => ("small", SMALL),
            _ => ("large", LARGE),
        };
        history.push(kind);
        worker.change(|about| (about.label, about.cpu) = kind);
        worker.vm.restart();
        worker.announce(&store);
        record.add(format!("worker {} is back as {kind:?}", worker.vm.id()));
        tokio::time::sleep(PERIOD.saturating_sub(DOWN)).await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    jobs.abort();
    let checker = checker.lock().expect("no panic");
    let mut lives: BTreeMap<usize, usize> = BTreeMap::new();
    let (mut over, mut unlabelled) = (0, 0);
    for line in &checker.events {
        record.add(format!("worker event: {line}"));
        let words: Vec<&str> = line.split_whitespace().collect();
        let number = words.get(1).and_then(|w| w.strip_prefix("vm="));
        let Some(number) = number.and_then(|n| n.parse().ok()) else {
            continue;
        };
        match words.get(2) {
            Some(&"restarted") => *lives.entry(number).or_default() += 1,
            Some(&"started") => {
                let life = lives.get(&number).copied().unwrap_or(0);
                let kind = kinds.get(&number).and_then(|k| k.get(life));
                let (label, cpu) = kind.copied().unwrap_or(("large", LARGE));
                let used = words.iter().find_map(|w| w.strip_prefix("used="));
                let used: u64 = used.and_then(|u| u.parse().ok()).unwrap_or(0);
                let labelled = words.get(3).is_some_and(|t| t.starts_with('1'));
                if used > cpu {
                    over += 1;
                    record.add(format!("over capacity of {cpu} ({label}): {line}"));
                }
                if labelled && label != "large" {
                    unlabelled += 1;
                    record.add(format!("without the required label: {line}"));
                }
            }
            _ => {}
        }
    }
    Finding {
        broken: over > 0 || unlabelled > 0,
        what: format!(
            "{over} starts brought a worker over its capacity, {unlabelled} starts went to a worker without the required label; {} starts in all",
            checker.starts.values().sum::<u64>()
        ),
    }
}
