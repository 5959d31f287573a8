//! Recovery with real processes: jobs and keyed requests whose entries are killed or paused.

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

/// Four entries and some workers, with profiles and a team.
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
        wait_until("settled", || async { settled(e, entries.len()) }).await;
    }
    (platform, entries, key)
}

/// Whether an entry knows what was published and that everyone can be evicted.
fn settled(e: &EntryProcess, all: usize) -> bool {
    let state = e.ctl_json(&["state"]);
    let ledger = &state["ledger"];
    let keys = ledger["config"]["keys"].as_object();
    let known = keys.is_some_and(|k| !k.is_empty());
    let guards = |m: &serde_json::Value| m["guards"].as_array().map_or(0, Vec::len);
    let members = ledger["members"].as_object();
    let guarded = members.is_some_and(|m| m.len() == all && m.values().all(|m| guards(m) == 3));
    known && guarded
}

fn submit(e: &EntryProcess, profile: &str, count: &str, command: &str) -> String {
    let args = ["job", "submit", "--team", "hall", "--profile", profile];
    let args = [&args[..], &["--count", count, "--command", command]].concat();
    let job = e.ctl_json(&args);
    job["id"].as_str().expect("an identifier").to_owned()
}

/// What a job's home says of it; `None` while nobody answers.
fn show(e: &EntryProcess, job: &str) -> Option<serde_json::Value> {
    let out = e.ctl(&["job", "show", job]);
    serde_json::from_slice(&out.stdout).ok()
}

async fn done(e: &EntryProcess, job: &str) {
    wait_until("the job is done", || async {
        show(e, job).is_some_and(|j| j["phase"] == "done")
    })
    .await;
}

/// Sends a deposit; the status and the verdict of a refusal.
async fn deposit(e: &EntryProcess, key: &str, name: &str) -> (u16, Option<String>) {
    deposit_at(e.callers, key, name).await
}

async fn deposit_at(addr: SocketAddr, key: &str, name: &str) -> (u16, Option<String>) {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("profile", "deposit"),
        ("idempotency-key", name),
        ("x-once", name),
        ("x-work-ms", "50"),
    ];
    let answer = send_request(addr, "POST", "/deposit", &headers, "1").await;
    answer.map_or((0, None), |a| (a.status, a.verdict()))
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_and_services_survive_the_death_of_each_entry_in_turn() {
    let (platform, mut entries, _) = site(6).await;
    let batch = submit(&entries[0], "batch", "60", "run:2000");
    let watch = submit(&entries[1], "watch", "4", "forever");
    tokio::time::sleep(Duration::from_secs(2)).await;
    drop(entries.remove(0));
    done(&entries[1], &batch).await;
    wait_until("the services run", || async {
        show(&entries[1], &watch).is_some_and(|j| j["running"] == 4)
    })
    .await;
    assert_eq!(platform.checker.team_running("hall"), 4);
    assert_eq!(platform.checker.violations(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_at_all_entries_and_after_an_entry_was_killed() {
    let (platform, mut entries, key) = site(6).await;
    let names: Vec<String> = (0..24).map(|i| format!("wedding-{i}")).collect();
    wait_until("a deposit runs", || async {
        deposit(&entries[1], &key, "first").await.0 == 200
    })
    .await;
    for name in &names {
        let all = entries.iter().map(|e| deposit(e, &key, name));
        let answers = futures_join(all.collect()).await;
        let whole = answers.iter().filter(|(s, _)| *s == 200).count();
        assert!(whole <= 1, "{answers:?}");
    }
    let ran = |e: &EntryProcess| {
        let addr = e.callers;
        let (names, key) = (names.clone(), key.clone());
        async move {
            let mut known = 0;
            for name in &names {
                let (status, verdict) = deposit_at(addr, &key, name).await;
                known += usize::from(status == 409 && verdict.as_deref() == Some("ran"));
            }
            known == names.len()
        }
    };
    wait_until("every home knows", || ran(&entries[1])).await;
    // The outcomes are in the journals by now.
    tokio::time::sleep(Duration::from_millis(500)).await;
    drop(entries.remove(0));
    wait_until("every heir knows", || ran(&entries[0])).await;
    for name in (0..24).map(|i| format!("fresh-{i}")) {
        wait_until("a new key runs", || async {
            let (status, verdict) = deposit(&entries[1], &key, &name).await;
            let sound = status == 200 || verdict.as_deref() == Some("not_run");
            assert!(sound, "{name}: {status} {verdict:?}");
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
async fn an_entry_paused_past_its_eviction_doubles_nothing() {
    let (platform, entries, _) = site(6).await;
    let batch = submit(&entries[0], "batch", "80", "run:1500");
    let gang = submit(&entries[1], "gang", "24", "run:3000");
    entries[0].signal("STOP");
    tokio::time::sleep(Duration::from_secs(12)).await;
    entries[0].signal("CONT");
    done(&entries[1], &batch).await;
    done(&entries[2], &gang).await;
    assert_eq!(platform.checker.violations(), []);
}

async fn futures_join<T>(all: Vec<impl Future<Output = T>>) -> Vec<T> {
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
