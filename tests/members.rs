//! Members as real processes in front of stand-ins: the whole path, and from a
//! failed request's id to its cause by log lines alone (docs/OPERATIONS.md).

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::state_in;
use monsoonnotch_adapter_standins::store::Faults;
use monsoonnotch_standins::caller::call;
use monsoonnotch_standins::caller::eventually;

const PROGRAM: &str = env!("CARGO_BIN_EXE_monsoonnotch");

async fn start(name: &str, vms: usize) -> (Site, Vec<Member>, PathBuf) {
    let dir = std::env::temp_dir().join(format!("members-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let site = Site::start(vms).await;
    let mut members = Vec::new();
    for number in 0..2 {
        let mut member = Member::new(number, site.store.addr(), &dir).await;
        member.start(PROGRAM);
        members.push(member);
    }
    (site, members, dir)
}

async fn send(addr: SocketAddr, method: &str, id: &str, key: &str, body: &str) -> (u16, Vec<u8>) {
    let key = format!("Bearer {key}");
    let headers = [("authorization", key.as_str()), ("x-deadline-ms", "3000")];
    let path = format!("/jobs/{id}");
    let answer = call(addr, method, &path, &headers, body).await;
    answer.map_or((0, Vec::new()), |a| (a.status, a.body))
}

async fn hand_in(addr: SocketAddr, id: &str, body: &str) {
    let stored = || async move { send(addr, "POST", id, "key-a", body).await.0 == 200 };
    eventually("the job is accepted", stored).await;
}

async fn completes(addr: SocketAddr, id: &str) {
    let done = || async move {
        let (_, body) = send(addr, "GET", id, "key-a", "").await;
        state_in(&body).as_deref() == Some("completed")
    };
    eventually("the job completes", done).await;
}

fn lines(members: &[Member], words: &[&str]) -> usize {
    members.iter().map(|m| m.lines(words).len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_goes_the_whole_path_and_survives_its_holder() {
    let (site, mut members, dir) = start("path", 3).await;
    let id = "00000000000000a1";
    hand_in(members[0].callers, id, &job_body(&[3, 2], 500, 100)).await;
    completes(members[1].callers, id).await;
    let holder = members
        .iter()
        .position(|m| !m.lines(&["term begins"]).is_empty());
    let holder = holder.expect("one member holds the jobs");
    let id = "00000000000000a2";
    hand_in(
        members[1 - holder].callers,
        id,
        &job_body(&[4, 4], 500, 800),
    )
    .await;
    members[holder].signal("KILL");
    completes(members[1 - holder].callers, id).await;
    members[holder].start(PROGRAM);
    completes(members[holder].callers, id).await;
    let (status, _) = send(members[0].callers, "GET", "00000000000000ff", "key-a", "").await;
    assert_eq!(status, 410, "a job that nobody handed in");
    let (status, _) = send(members[0].callers, "GET", id, "key-b", "").await;
    assert_eq!(status, 401, "a key that nobody was given");
    let seen = site.seen.lock().expect("no holder panics");
    assert_eq!(seen.breaches, Vec::<String>::new());
    drop(std::fs::remove_dir_all(dir));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_leads_to_the_store_that_was_away() {
    let (site, members, dir) = start("refused", 2).await;
    hand_in(
        members[0].callers,
        "00000000000000b1",
        &job_body(&[1], 500, 10),
    )
    .await;
    site.store.set(Faults {
        down: true,
        ..Faults::default()
    });
    tokio::time::sleep(Duration::from_millis(800)).await;
    let id = "00000000000000b2";
    let addr = members[0].callers;
    let (status, _) = send(addr, "POST", id, "key-a", &job_body(&[1], 500, 10)).await;
    assert_eq!(status, 503);
    let line = members[0].lines(&[id, "NotRun"]);
    assert!(line[0].contains("\"store_lost_ms\""), "{line:?}");
    assert!(lines(&members, &["store lost"]) > 0, "the loss has a line");
    site.store.set(Faults::default());
    hand_in(addr, id, &job_body(&[1], 500, 10)).await;
    completes(addr, id).await;
    assert!(
        lines(&members, &["store regained"]) > 0,
        "the return has a line"
    );
    drop(std::fs::remove_dir_all(dir));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_job_leads_to_what_blocked_it() {
    let (_site, members, dir) = start("late", 2).await;
    // No VM has so much processor.
    let id = "00000000000000c1";
    hand_in(members[0].callers, id, &job_body(&[1], 50_000, 10)).await;
    let waits = || async { lines(&members, &[id, "stage waits", "blocked=Room"]) > 0 };
    eventually("a line says what blocks the job", waits).await;
    drop(std::fs::remove_dir_all(dir));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_lost_with_its_vm_leads_to_the_vm() {
    let (site, members, dir) = start("lost", 1).await;
    let id = "00000000000000d1";
    hand_in(members[0].callers, id, &job_body(&[1], 500, 2_000)).await;
    let runs = || async { site.seen.lock().expect("no holder panics").starts.len() == 1 };
    eventually("the task runs", runs).await;
    site.vms[0].crash();
    let gone = || async { lines(&members, &[id, "run gone", "vm=i-0000"]) > 0 };
    eventually("a line names the VM", gone).await;
    assert!(lines(&members, &["vm silent", "vm=i-0000"]) > 0);
    site.vms[0].start_again();
    completes(members[0].callers, id).await;
    drop(std::fs::remove_dir_all(dir));
}
