//! Members as real processes in front of stand-ins: the whole path, and from a
//! failed request's id to its cause by log lines alone (docs/OPERATIONS.md).

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::parse_state;
use monsoonnotch_adapter_standins::store::Faults;
use monsoonnotch_standins::caller::call;
use monsoonnotch_standins::caller::eventually;
use monsoonnotch_standins::tap::Fault;

const PROGRAM: &str = env!("CARGO_BIN_EXE_monsoonnotch");

async fn start(name: &str, vms: usize) -> (Site, Vec<Member>, PathBuf) {
    start_some(name, 2, vms).await
}

async fn start_some(name: &str, count: usize, vms: usize) -> (Site, Vec<Member>, PathBuf) {
    let dir = std::env::temp_dir().join(format!("members-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let site = Site::start(vms).await;
    let mut members = Vec::new();
    for number in 0..count {
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
        parse_state(&body).as_deref() == Some("completed")
    };
    eventually("the job completes", done).await;
}

fn lines(members: &[Member], words: &[&str]) -> usize {
    members.iter().map(|m| m.log_lines(words).len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_goes_the_whole_path_and_survives_its_holder() {
    let (site, mut members, dir) = start("path", 3).await;
    let id = "00000000000000a1";
    hand_in(members[0].callers, id, &job_body(&[3, 2], 500, 100)).await;
    completes(members[1].callers, id).await;
    let holder = members
        .iter()
        .position(|m| !m.log_lines(&["term begins"]).is_empty());
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
    let seen = site.checker.lock().expect("no holder panics");
    assert_eq!(seen.violations, Vec::<String>::new());
    drop(std::fs::remove_dir_all(dir));
}

/// The store refuses the holder and one more member; the third takes over, and
/// the one that cannot read of it in the store learns of it from the others.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_the_store_refuses_finds_the_next_holder() {
    let (_site, members, dir) = start_some("finds", 3, 2).await;
    let id = "00000000000000e1";
    hand_in(members[0].callers, id, &job_body(&[1], 500, 10)).await;
    completes(members[0].callers, id).await;
    let holds = |m: &Member| !m.log_lines(&["term begins"]).is_empty();
    let holder = members.iter().position(holds);
    let holder = holder.expect("one member holds the jobs");
    let (refused, next) = ((holder + 1) % 3, (holder + 2) % 3);
    for cut in [refused, holder] {
        members[cut].tap.set(Fault::Dark);
        members[cut].tap.silence_open();
    }
    let taken = || async { holds(&members[next]) };
    eventually("the third member takes over", taken).await;
    let told = || async {
        send(members[refused].callers, "GET", id, "key-a", "")
            .await
            .0
            == 200
    };
    eventually("the refused member answers", told).await;
    let id = "00000000000000e2";
    hand_in(members[refused].callers, id, &job_body(&[1], 500, 10)).await;
    completes(members[refused].callers, id).await;
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
    site.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    tokio::time::sleep(Duration::from_millis(800)).await;
    let id = "00000000000000b2";
    let addr = members[0].callers;
    let (status, _) = send(addr, "POST", id, "key-a", &job_body(&[1], 500, 10)).await;
    assert_eq!(status, 503);
    let line = members[0].log_lines(&[id, "NotRun"]);
    assert!(line[0].contains("\"store_lost_ms\""), "{line:?}");
    assert!(lines(&members, &["store lost"]) > 0, "the loss has a line");
    site.store.set_faults(Faults::default());
    hand_in(addr, id, &job_body(&[1], 500, 10)).await;
    completes(addr, id).await;
    assert!(
        lines(&members, &["store regained"]) > 0,
        "the return has a line"
    );
    drop(std::fs::remove_dir_all(dir));
}

/// The store has gone silent for all. What a caller hands in then is refused at once, so
/// that it can come again, and not when its patience is over.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_refused_at_once_while_the_store_is_silent_for_all() {
    let (_site, members, dir) = start("silent", 2).await;
    let addr = members[0].callers;
    hand_in(addr, "00000000000000f1", &job_body(&[1], 500, 10)).await;
    for member in &members {
        member.tap.set(Fault::Silent);
        member.tap.silence_open();
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for member in &members {
        let began = std::time::Instant::now();
        let id = format!("{:016x}", 0xf2 + member.callers.port());
        let (status, _) = send(
            member.callers,
            "POST",
            &id,
            "key-a",
            &job_body(&[1], 500, 10),
        )
        .await;
        assert_eq!(status, 503);
        let took = began.elapsed();
        assert!(took < Duration::from_millis(300), "refused after {took:?}");
    }
    drop(std::fs::remove_dir_all(dir));
}

/// A member that the store refuses has the holder store a job, just as the holder's
/// store goes silent. The caller has its answer before its patience is over.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_the_holder_is_to_store_is_answered_in_the_callers_time() {
    let (_site, members, dir) = start("relayed", 2).await;
    let id = "0000000000000aa1";
    hand_in(members[0].callers, id, &job_body(&[1], 500, 10)).await;
    completes(members[0].callers, id).await;
    let holds = |m: &Member| !m.log_lines(&["term begins"]).is_empty();
    let holder = members.iter().position(holds);
    let holder = holder.expect("one member holds the jobs");
    let refused = &members[1 - holder];
    refused.tap.set(Fault::Dark);
    refused.tap.silence_open();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let id = "0000000000000aa2";
    hand_in(refused.callers, id, &job_body(&[1], 500, 10)).await;
    members[holder].tap.set(Fault::Silent);
    members[holder].tap.silence_open();
    let headers = [("authorization", "Bearer key-a"), ("x-deadline-ms", "700")];
    let path = "/jobs/0000000000000aa3";
    let body = job_body(&[1], 500, 10);
    let began = std::time::Instant::now();
    let answer = call(refused.callers, "POST", path, &headers, &body).await;
    let took = began.elapsed();
    assert!(answer.is_some(), "no answer");
    assert!(took < Duration::from_millis(700), "answered after {took:?}");
    drop(std::fs::remove_dir_all(dir));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_job_leads_to_what_blocked_it() {
    let (_site, members, dir) = start("late", 2).await;
    // No VM has so much processor.
    let id = "00000000000000c1";
    hand_in(members[0].callers, id, &job_body(&[1], 50_000, 10)).await;
    let waits = || async { lines(&members, &[id, "stage waiting", "blocked=Room"]) > 0 };
    eventually("a line says what blocks the job", waits).await;
    drop(std::fs::remove_dir_all(dir));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_lost_with_its_vm_leads_to_the_vm() {
    let (site, members, dir) = start("lost", 1).await;
    let id = "00000000000000d1";
    hand_in(members[0].callers, id, &job_body(&[1], 500, 2_000)).await;
    let runs = || async { site.checker.lock().expect("no holder panics").starts.len() == 1 };
    eventually("the task runs", runs).await;
    site.vms[0].crash();
    let gone = || async { lines(&members, &[id, "run lost", "vm=i-0000"]) > 0 };
    eventually("a line names the VM", gone).await;
    assert!(lines(&members, &["vm unresponsive", "vm=i-0000"]) > 0);
    site.vms[0].restart();
    completes(members[0].callers, id).await;
    drop(std::fs::remove_dir_all(dir));
}
