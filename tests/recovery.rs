//! Recovery with real processes whose entries are killed or paused.
//!
//! Successors must finish the jobs of an ended entry. A request with an
//! idempotency key must run at most once, also across a change of the entry
//! that keeps the key's outcome.

use std::net::SocketAddr;
use std::time::Duration;

use monsoonnotch_standins::prelude::*;

const PROGRAMS: Programs = Programs {
    entry: env!("CARGO_BIN_EXE_monsoonnotch"),
    ctl: env!("CARGO_BIN_EXE_monsoonctl"),
};
const BATCH: &str = "lane = \"batch\"\n";
const WATCH: &str = "lane = \"long_lived\"\n";
const GANG: &str = "lane = \"all_at_once\"\n";
const DEPOSIT: &str = "lane = \"short\"\nrepeatable = false\n";

/// Starts four entries and `workers` workers; returns them with the key of a team.
async fn site(workers: usize) -> (Platform, Vec<EntryProcess>, String) {
    let platform = Platform::start(workers, PROGRAMS).await;
    let domains = ["fd-0", "fd-1", "fd-2", "fd-0"];
    let entries: Vec<EntryProcess> = domains.iter().map(|d| platform.start_entry(d)).collect();
    for e in &entries {
        wait_ready(e).await;
    }
    let first = &entries[0];
    for (name, text) in [
        ("batch", BATCH),
        ("watch", WATCH),
        ("gang", GANG),
        ("deposit", DEPOSIT),
    ] {
        first.publish_profile(name, text);
    }
    first.set_team("hall", 1, 200);
    platform.checker.set_limit("hall", 200);
    let key = first.grant_key("hall");
    for e in &entries {
        wait_until("an entry has the configuration and all guards", || async {
            has_config_and_guards(e, entries.len())
        })
        .await;
    }
    (platform, entries, key)
}

/// Returns whether an entry has read the keys and that each of `member_count` members has three
/// guards, so that each can be evicted.
fn has_config_and_guards(e: &EntryProcess, member_count: usize) -> bool {
    let state = e.ctl_json(&["state"]);
    let ledger = &state["ledger"];
    let keys = ledger["config"]["keys"].as_object();
    let has_keys = keys.is_some_and(|k| !k.is_empty());
    let guards = |m: &serde_json::Value| m["guards"].as_array().map_or(0, Vec::len);
    let members = ledger["members"].as_object();
    let guarded =
        members.is_some_and(|m| m.len() == member_count && m.values().all(|m| guards(m) == 3));
    has_keys && guarded
}

fn submit(e: &EntryProcess, profile: &str, count: &str, command: &str) -> String {
    let args = ["job", "submit", "--team", "hall", "--profile", profile];
    let args = [&args[..], &["--count", count, "--command", command]].concat();
    let job = e.ctl_json(&args);
    job["id"].as_str().expect("an identifier").to_owned()
}

/// Returns a job's status; `None` if no entry answers.
fn show(e: &EntryProcess, job: &str) -> Option<serde_json::Value> {
    let out = e.ctl(&["job", "show", job]);
    serde_json::from_slice(&out.stdout).ok()
}

async fn wait_done(e: &EntryProcess, job: &str) {
    wait_until("the job is done", || async {
        show(e, job).is_some_and(|j| j["phase"] == "done")
    })
    .await;
}

/// Sends a request with the idempotency key `name`; returns the status, 0 without a response, and
/// the verdict of a refusal.
async fn send_keyed(e: &EntryProcess, key: &str, name: &str) -> (u16, Option<String>) {
    send_keyed_to(e.callers, key, name).await
}

async fn send_keyed_to(addr: SocketAddr, key: &str, name: &str) -> (u16, Option<String>) {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("profile", "deposit"),
        ("idempotency-key", name),
        ("x-once", name),
        ("x-work-ms", "50"),
    ];
    let response = send_request(addr, "POST", "/deposit", &headers, "1").await;
    response.map_or((0, None), |a| (a.status, a.verdict()))
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_and_services_survive_the_death_of_an_entry() {
    let (platform, mut entries, _) = site(6).await;
    let batch = submit(&entries[0], "batch", "60", "run:2000");
    let watch = submit(&entries[1], "watch", "4", "forever");
    tokio::time::sleep(Duration::from_secs(2)).await;
    drop(entries.remove(0));
    wait_done(&entries[1], &batch).await;
    wait_until("the services run", || async {
        show(&entries[1], &watch).is_some_and(|j| j["running"] == 4)
    })
    .await;
    assert_eq!(platform.checker.team_running("hall"), 4);
    assert_eq!(platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotency_key_runs_once_across_entries_and_after_one_is_killed() {
    let (platform, mut entries, key) = site(6).await;
    let names: Vec<String> = (0..24).map(|i| format!("wedding-{i}")).collect();
    wait_until("a request with a key runs", || async {
        send_keyed(&entries[1], &key, "first").await.0 == 200
    })
    .await;
    for name in &names {
        let all = entries.iter().map(|e| send_keyed(e, &key, name));
        let responses = join_all(all.collect()).await;
        let completed = responses.iter().filter(|(s, _)| *s == 200).count();
        assert!(completed <= 1, "{responses:?}");
    }
    let ran = |e: &EntryProcess| {
        let addr = e.callers;
        let (names, key) = (names.clone(), key.clone());
        async move {
            let mut known = 0;
            for name in &names {
                let (status, verdict) = send_keyed_to(addr, &key, name).await;
                known += usize::from(status == 409 && verdict.as_deref() == Some("ran"));
            }
            known == names.len()
        }
    };
    wait_until("every home has all outcomes", || ran(&entries[1])).await;
    // Entries write the outcomes to their journals meanwhile.
    tokio::time::sleep(Duration::from_millis(500)).await;
    drop(entries.remove(0));
    wait_until("every successor has all outcomes", || ran(&entries[0])).await;
    for name in (0..24).map(|i| format!("fresh-{i}")) {
        wait_until("a new key runs", || async {
            let (status, verdict) = send_keyed(&entries[1], &key, &name).await;
            let is_acceptable = status == 200 || verdict.as_deref() == Some("not_run");
            assert!(is_acceptable, "{name}: {status} {verdict:?}");
            status == 200
        })
        .await;
    }
    let ran: Vec<u32> = names
        .iter()
        .map(|n| platform.checker.run_count(n))
        .collect();
    assert_eq!(ran, vec![1; names.len()]);
    assert_eq!(platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_paused_past_its_eviction_duplicates_nothing() {
    let (platform, entries, _) = site(6).await;
    let batch = submit(&entries[0], "batch", "80", "run:1500");
    let gang = submit(&entries[1], "gang", "24", "run:3000");
    entries[0].signal("STOP");
    tokio::time::sleep(Duration::from_secs(12)).await;
    entries[0].signal("CONT");
    wait_done(&entries[1], &batch).await;
    wait_done(&entries[2], &gang).await;
    assert_eq!(platform.checker.violations(), []);
}

async fn join_all<T>(all: Vec<impl Future<Output = T>>) -> Vec<T> {
    let mut all: Vec<_> = all.into_iter().map(Box::pin).collect();
    let mut out: Vec<Option<T>> = all.iter().map(|_| None).collect();
    std::future::poll_fn(|cx| {
        for (f, o) in all.iter_mut().zip(&mut out) {
            if o.is_none()
                && let std::task::Poll::Ready(t) = f.as_mut().poll(cx)
            {
                *o = Some(t);
            }
        }
        match out.iter().all(Option::is_some) {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
    out.into_iter().flatten().collect()
}
