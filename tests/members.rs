//! Runs members as real processes in front of stand-ins for the platform.
//!
//! Covers jobs from submission to completion, changes of leader and store outages. Also checks that
//! log lines alone lead from the id of a failed request to its cause, as docs/OPERATIONS.md
//! describes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::parse_state;
use monsoonnotch_adapter_standins::store::Faults;
use monsoonnotch_standins::caller::send_request;
use monsoonnotch_standins::caller::wait_until;
use monsoonnotch_standins::fault_injection::Fault;

const PROGRAM: &str = env!("CARGO_BIN_EXE_monsoonnotch");
/// A token above that of any leader: the highest that JSON exchanges exactly.
const HIGHEST_TOKEN: u64 = (1 << 53) - 1;

/// Starts a simulated site with two members.
async fn start(name: &str, vms: usize) -> (Site, Vec<Member>, PathBuf) {
    start_members(name, 2, vms).await
}

/// Starts a simulated site and `count` members; their files go to a temporary
/// folder named after `name`.
async fn start_members(name: &str, count: usize, vms: usize) -> (Site, Vec<Member>, PathBuf) {
    start_tuned(name, count, vms, "").await
}

/// Like [`start_members`]; the settings of the members have `tuning` in their section of that name.
async fn start_tuned(
    name: &str,
    count: usize,
    vms: usize,
    tuning: &str,
) -> (Site, Vec<Member>, PathBuf) {
    let dir = std::env::temp_dir().join(format!("members-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let site = Site::start(vms).await;
    let mut members = Vec::new();
    for number in 0..count {
        let mut member = Member::new(number, site.store.addr(), &dir, tuning).await;
        member.start(PROGRAM);
        members.push(member);
    }
    (site, members, dir)
}

/// Sends a request about a job; returns its status and body, or status 0 without a response.
async fn send(addr: SocketAddr, method: &str, id: &str, key: &str, body: &str) -> (u16, Vec<u8>) {
    let key = format!("Bearer {key}");
    let headers = [("authorization", key.as_str()), ("x-deadline-ms", "3000")];
    let path = format!("/jobs/{id}");
    let response = send_request(addr, method, &path, &headers, body).await;
    response.map_or((0, Vec::new()), |r| (r.status, r.body))
}

/// Submits a job, and repeats the request until it is accepted.
async fn submit(addr: SocketAddr, id: &str, body: &str) {
    let accepted = || async move { send(addr, "POST", id, "key-a", body).await.0 == 200 };
    wait_until("the job is accepted", accepted).await;
}

/// Waits until a job is completed.
async fn wait_for_completion(addr: SocketAddr, id: &str) {
    let completed = || async move {
        let (_, body) = send(addr, "GET", id, "key-a", "").await;
        parse_state(&body).as_deref() == Some("completed")
    };
    wait_until("the job completes", completed).await;
}

/// Counts the log lines of all members that contain all of `words`.
fn count_log_lines(members: &[Member], words: &[&str]) -> usize {
    members.iter().map(|m| m.log_lines(words).len()).sum()
}

/// Guards against losing a job together with its leader. The leader is killed while a job runs. The
/// other member must take over and complete the job without running a task on two VMs at once, and
/// the restarted process must report the job as completed.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_completes_after_its_leader_is_killed() {
    let (site, mut members, dir) = start("path", 3).await;
    let id = "00000000000000a1";
    submit(members[0].callers, id, &job_body(&[3, 2], 500, 100)).await;
    wait_for_completion(members[1].callers, id).await;
    let leader = members
        .iter()
        .position(|m| !m.log_lines(&["term begins"]).is_empty());
    let leader = leader.expect("one member is the leader");
    let id = "00000000000000a2";
    submit(
        members[1 - leader].callers,
        id,
        &job_body(&[4, 4], 500, 800),
    )
    .await;
    members[leader].signal("KILL");
    wait_for_completion(members[1 - leader].callers, id).await;
    members[leader].start(PROGRAM);
    wait_for_completion(members[leader].callers, id).await;
    let (status, _) = send(members[0].callers, "GET", "00000000000000ff", "key-a", "").await;
    assert_eq!(status, 410, "a job that was never submitted");
    let (status, _) = send(members[0].callers, "GET", id, "key-b", "").await;
    assert_eq!(status, 401, "an unknown key");
    let checker = site
        .checker
        .lock()
        .expect("no thread panics while it holds the lock");
    assert_eq!(checker.violations, Vec::<String>::new());
    drop(std::fs::remove_dir_all(dir));
}

/// The leader and one follower lose the store, and the third member takes over. The follower cannot
/// read the new claim from the store, so it must receive it from the other members. Otherwise it
/// does not find the new leader and cannot serve its callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_cut_off_from_the_store_finds_the_next_leader() {
    let (_site, members, dir) = start_members("finds", 3, 2).await;
    let id = "00000000000000e1";
    submit(members[0].callers, id, &job_body(&[1], 500, 10)).await;
    wait_for_completion(members[0].callers, id).await;
    let has_led = |m: &Member| !m.log_lines(&["term begins"]).is_empty();
    let leader = members.iter().position(has_led);
    let leader = leader.expect("one member is the leader");
    let (cut_off, successor) = ((leader + 1) % 3, (leader + 2) % 3);
    for member in [cut_off, leader] {
        members[member].store_proxy.set_fault(Fault::Unavailable);
        members[member].store_proxy.silence_open_connections();
    }
    let taken_over = || async { has_led(&members[successor]) };
    wait_until("the third member takes over", taken_over).await;
    let answered = || async {
        send(members[cut_off].callers, "GET", id, "key-a", "")
            .await
            .0
            == 200
    };
    wait_until("the member without the store answers", answered).await;
    let id = "00000000000000e2";
    submit(members[cut_off].callers, id, &job_body(&[1], 500, 10)).await;
    wait_for_completion(members[cut_off].callers, id).await;
    drop(std::fs::remove_dir_all(dir));
}

/// Guards against work in an evacuated failure domain after a change of leader: the next leader
/// learned of the request before it led. Taken back, the domain is used again.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_domain_gets_no_work_from_the_next_leader_either() {
    let (site, mut members, dir) = start("evacuated", 2).await;
    let id = "0000000000000c01";
    submit(members[0].callers, id, &job_body(&[1], 500, 10)).await;
    wait_for_completion(members[0].callers, id).await;
    site.evacuate("");
    site.evacuate("a");
    let known = || async { count_log_lines(&members, &["evacuations changed"]) == 2 };
    wait_until("both members know of the evacuation", known).await;
    assert!(count_log_lines(&members, &["names no failure domain"]) > 0);
    let has_led = |m: &Member| !m.log_lines(&["term begins"]).is_empty();
    let leader = members.iter().position(has_led);
    let leader = leader.expect("one member is the leader");
    members[leader].signal("KILL");
    let other = members[1 - leader].callers;
    let id = "0000000000000c02";
    submit(other, id, &job_body(&[1], 500, 10)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let (status, body) = send(other, "GET", id, "key-a", "").await;
    assert_eq!(
        (status, parse_state(&body).as_deref()),
        (200, Some("queued"))
    );
    site.take_back("a");
    wait_for_completion(other, id).await;
    members[leader].start(PROGRAM);
    drop(std::fs::remove_dir_all(dir));
}

/// Guards against changes of leader that gain nothing: the store is slow for all members, so that
/// requests of the leader time out, but those of a successor would as well.
#[tokio::test(flavor = "multi_thread")]
async fn leadership_stays_while_the_store_is_slow_for_all() {
    let (site, members, dir) = start_members("slow-store", 3, 2).await;
    submit(
        members[0].callers,
        "0000000000000d01",
        &job_body(&[1], 500, 10),
    )
    .await;
    // The log is written by a thread of its own.
    let logged = || async { count_log_lines(&members, &["term begins"]) > 0 };
    wait_until("the term is logged", logged).await;
    let terms = count_log_lines(&members, &["term begins"]);
    site.store.set_faults(Faults {
        delay_ms: 550,
        lost_share: 0.3,
        ..Faults::default()
    });
    for number in 0..8_u64 {
        let id = format!("{:016x}", 0xd10 + number);
        let addr = members[number as usize % 3].callers;
        send(addr, "POST", &id, "key-a", &job_body(&[1], 500, 10)).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    site.store.set_faults(Faults::default());
    let requested = members
        .iter()
        .flat_map(|m| m.log_lines(&["handover requested"]));
    assert_eq!(requested.collect::<Vec<String>>(), Vec::<String>::new());
    assert_eq!(count_log_lines(&members, &["term begins"]), terms);
    drop(std::fs::remove_dir_all(dir));
}

/// Runs `monsoonctl explain` with a member; returns its exit code, output and errors.
fn explain(member: &Member, args: &[&str]) -> (i32, String, String) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_monsoonctl"));
    command.arg("explain").args(args);
    let run = command.arg("--entry").arg(member.metrics.to_string());
    let output = run.output().expect("monsoonctl can be started");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    let code = output.status.code().expect("an exit code");
    (code, text(output.stdout), text(output.stderr))
}

/// Guards against an explanation that starts something, that only the leader gives, or that leaves an
/// operator without advice after a mistake.
#[tokio::test(flavor = "multi_thread")]
async fn any_member_explains_where_a_job_would_go_and_starts_nothing() {
    let (site, members, dir) = start("explain", 2).await;
    submit(
        members[0].callers,
        "0000000000000e01",
        &job_body(&[1], 500, 10),
    )
    .await;
    wait_for_completion(members[0].callers, "0000000000000e01").await;
    let joined = || async { count_log_lines(&members, &["follower joined"]) > 0 };
    wait_until("the other member has started", joined).await;
    let file = dir.join("job.json");
    std::fs::write(&file, job_body(&[3, 2], 500, 900)).expect("the folder can be written");
    let file = file.to_str().expect("a path in UTF-8");
    let starts = count_log_lines(&members, &["tasks started"]);
    for member in &members {
        let args = ["file", file, "--queue", "r-jobs", "--account", "ann"];
        let (code, text, errors) = explain(member, &args);
        println!("{text}");
        assert_eq!((code, errors.as_str()), (0, ""), "{text}");
        assert!(text.contains("room for 3 of 3 tasks"), "{text}");
        assert!(text.contains("2 fits"), "{text}");
    }
    site.evacuate("a");
    let known = || async { count_log_lines(&members, &["evacuation started"]) > 0 };
    wait_until("the leader knows of the evacuation", known).await;
    let id = "0000000000000e02";
    submit(members[1].callers, id, &job_body(&[3], 500, 900)).await;
    let (code, text, _) = explain(&members[0], &["job", id]);
    assert_eq!(code, 0);
    assert!(text.contains("waits: Room"), "{text}");
    assert!(text.contains("2 evacuated"), "{text}");
    let mistakes = [
        (vec!["job", "00000000000000ff"], 5, "knows no such job"),
        (vec!["job", "12"], 2, "16 hexadecimal digits"),
        (vec!["file", file, "--queue", "nowhere"], 5, "no such queue"),
        (
            vec!["file", "/nowhere.json", "--queue", "r-jobs"],
            2,
            "cannot be read",
        ),
    ];
    for (args, expected, advice) in mistakes {
        let (code, _, errors) = explain(&members[0], &args);
        assert_eq!(code, expected, "{args:?}: {errors}");
        assert!(errors.contains(advice), "{args:?}: {errors}");
    }
    assert_eq!(count_log_lines(&members, &["tasks started"]), starts);
    drop(std::fs::remove_dir_all(dir));
}

/// One VM gets half a minute of work. Guards against a job that is accepted although it cannot be of use, by the
/// leader or through a follower, and against refusals that go on once there is room.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_fleet_turns_submissions_away_until_there_is_room() {
    let (site, members, dir) = start_tuned("full", 2, 1, "admission = true").await;
    let whole_vm = job_body(&[8], 8_000, 1_000);
    let accepted = [
        "00000000000000b1",
        "00000000000000b2",
        "00000000000000b3",
        "00000000000000b4",
    ];
    for id in accepted {
        submit(members[0].callers, id, &whole_vm).await;
    }
    let is_full = || async { count_log_lines(&members, &["pools full", "pools=pool"]) > 0 };
    wait_until("the pool is full", is_full).await;
    let refused = ["00000000000000b5", "00000000000000b6"];
    for (member, id) in members.iter().zip(refused) {
        let (status, _) = send(member.callers, "POST", id, "key-a", &whole_vm).await;
        assert_eq!(status, 503, "{id} cannot be of use in time");
        let (status, _) = send(member.callers, "GET", id, "key-a", "").await;
        assert_eq!(status, 410, "{id} is not stored");
    }
    assert_eq!(count_log_lines(&members, &["refused", "no_room"]), 2);
    for member in &members {
        let (status, _) = send(member.callers, "POST", accepted[3], "key-a", &whole_vm).await;
        assert_eq!(status, 200, "a stored job is sent again");
    }
    for id in accepted {
        let (status, _) = send(members[1].callers, "DELETE", id, "key-a", "").await;
        assert_eq!(status, 200, "{id} is cancelled");
    }
    submit(members[1].callers, refused[0], &job_body(&[1], 500, 100)).await;
    wait_for_completion(members[0].callers, refused[0]).await;
    assert_eq!(starts_of(&site, refused[1]), 0, "a refused job never runs");
    drop(std::fs::remove_dir_all(dir));
}

/// Returns the number of starts of tasks of a job.
fn starts_of(site: &Site, id: &str) -> u64 {
    let checker = site
        .checker
        .lock()
        .expect("no thread panics while it holds the lock");
    let of_job = checker
        .starts
        .iter()
        .filter(|(task, _)| task.starts_with(id));
    of_job.map(|(_, starts)| starts).sum()
}

/// While the store is unavailable, a submission is refused. The log line of the refused request must
/// state for how long the store has been unavailable, and the outage must have log lines of its own.
#[tokio::test(flavor = "multi_thread")]
async fn logs_trace_a_refused_request_to_the_store_outage() {
    let (site, members, dir) = start("refused", 2).await;
    submit(
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
    // The log is written by a thread of its own.
    let logged = || async { !members[0].log_lines(&[id, "NotRun"]).is_empty() };
    wait_until("the refusal is logged", logged).await;
    let lines = members[0].log_lines(&[id, "NotRun"]);
    assert!(lines[0].contains("\"store_lost_ms\""), "{lines:?}");
    assert!(
        count_log_lines(&members, &["store lost"]) > 0,
        "the outage is logged"
    );
    site.store.set_faults(Faults::default());
    submit(addr, id, &job_body(&[1], 500, 10)).await;
    wait_for_completion(addr, id).await;
    assert!(
        count_log_lines(&members, &["store regained"]) > 0,
        "the recovery is logged"
    );
    drop(std::fs::remove_dir_all(dir));
}

/// The store is unresponsive for all members. A submission must be refused at once, so that the
/// caller can retry, and not only when the caller's timeout is over.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_is_refused_at_once_while_the_store_is_unresponsive_for_all() {
    let (_site, members, dir) = start("silent", 2).await;
    let addr = members[0].callers;
    submit(addr, "00000000000000f1", &job_body(&[1], 500, 10)).await;
    for member in &members {
        member.store_proxy.set_fault(Fault::Unresponsive);
        member.store_proxy.silence_open_connections();
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
        let elapsed = began.elapsed();
        assert!(
            elapsed < Duration::from_millis(300),
            "refused after {elapsed:?}"
        );
    }
    drop(std::fs::remove_dir_all(dir));
}

/// A member without the store relays a submission to the leader just when the store becomes
/// unresponsive for the leader. The caller must receive a response before its timeout is over; a
/// member that waits for the leader too long would miss it.
#[tokio::test(flavor = "multi_thread")]
async fn a_relayed_submission_is_answered_within_the_callers_deadline() {
    let (_site, members, dir) = start("relayed", 2).await;
    let id = "0000000000000aa1";
    submit(members[0].callers, id, &job_body(&[1], 500, 10)).await;
    wait_for_completion(members[0].callers, id).await;
    let has_led = |m: &Member| !m.log_lines(&["term begins"]).is_empty();
    let leader = members.iter().position(has_led);
    let leader = leader.expect("one member is the leader");
    let cut_off = &members[1 - leader];
    cut_off.store_proxy.set_fault(Fault::Unavailable);
    cut_off.store_proxy.silence_open_connections();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let id = "0000000000000aa2";
    submit(cut_off.callers, id, &job_body(&[1], 500, 10)).await;
    members[leader].store_proxy.set_fault(Fault::Unresponsive);
    members[leader].store_proxy.silence_open_connections();
    let headers = [("authorization", "Bearer key-a"), ("x-deadline-ms", "700")];
    let path = "/jobs/0000000000000aa3";
    let body = job_body(&[1], 500, 10);
    let began = std::time::Instant::now();
    let response = send_request(cut_off.callers, "POST", path, &headers, &body).await;
    let elapsed = began.elapsed();
    assert!(response.is_some(), "no response");
    assert!(
        elapsed < Duration::from_millis(700),
        "responded after {elapsed:?}"
    );
    drop(std::fs::remove_dir_all(dir));
}

/// A job that needs more CPU than any VM has waits forever. A log line with the job's id must state
/// what blocks it.
#[tokio::test(flavor = "multi_thread")]
async fn logs_trace_a_late_job_to_what_blocks_it() {
    let (_site, members, dir) = start("late", 2).await;
    // No VM has this much CPU.
    let id = "00000000000000c1";
    submit(members[0].callers, id, &job_body(&[1], 50_000, 10)).await;
    let logged = || async { count_log_lines(&members, &[id, "stage waiting", "blocked=Room"]) > 0 };
    wait_until("a log line states what blocks the job", logged).await;
    drop(std::fs::remove_dir_all(dir));
}

/// A VM crashes while it runs a task. Log lines must lead from the job's id to the lost run and the
/// VM, and the job must complete after the VM has restarted.
#[tokio::test(flavor = "multi_thread")]
async fn logs_trace_a_lost_run_to_its_vm() {
    let (site, members, dir) = start("lost", 1).await;
    let id = "00000000000000d1";
    submit(members[0].callers, id, &job_body(&[1], 500, 2_000)).await;
    let started = || async {
        site.checker
            .lock()
            .expect("no thread panics while it holds the lock")
            .starts
            .len()
            == 1
    };
    wait_until("the task runs", started).await;
    site.vms[0].crash();
    let logged_lost = || async { count_log_lines(&members, &[id, "run lost", "vm=i-0000"]) > 0 };
    wait_until("a log line names the VM", logged_lost).await;
    assert!(count_log_lines(&members, &["vm unresponsive", "vm=i-0000"]) > 0);
    site.vms[0].restart();
    wait_for_completion(members[0].callers, id).await;
    drop(std::fs::remove_dir_all(dir));
}

/// Waits until `count` runs have started at the VMs of a site.
async fn wait_for_starts(site: &Site, count: u64) {
    let started = || async { starts(site) == count };
    wait_until("the tasks run", started).await;
}

/// Returns how often tasks have started at the VMs of a site.
fn starts(site: &Site) -> u64 {
    let checker = site.checker.lock();
    let checker = checker.expect("no thread panics while it holds the lock");
    checker.starts.values().sum()
}

/// Guards against two runs of one task under two leaders. The store and the other members are
/// unreachable for a leader, but a VM is not. Another member may have become the leader and wait
/// for the leases at that VM to expire, so that the leader must stop renewing them.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_the_store_does_not_confirm_lets_leases_expire() {
    let (site, members, dir) = start_members("expires", 1, 1).await;
    submit(
        members[0].callers,
        "00000000000000f1",
        &job_body(&[1], 500, 60_000),
    )
    .await;
    wait_for_starts(&site, 1).await;
    members[0].store_proxy.set_fault(Fault::Unavailable);
    members[0].store_proxy.silence_open_connections();
    // What a successor waits for after its claim: certainty, lease, clock error and slack.
    tokio::time::sleep(Duration::from_millis(6_000 + 4_120 + 400)).await;
    let poll = format!(r#"{{"fencing-token":{HIGHEST_TOKEN},"last-seen":0}}"#);
    let response = send_request(site.vms[0].addr(), "POST", "/hold", &[], &poll).await;
    let response = response.expect("the VM responds");
    let listed = String::from_utf8_lossy(&response.body).into_owned();
    assert!(
        listed.contains(r#""lapsed""#),
        "the lease was renewed: {listed}"
    );
    drop(std::fs::remove_dir_all(dir));
}

/// Guards against lost work in an outage of the store. No member can become the leader meanwhile,
/// so that a run must survive an outage of ordinary length.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_survives_a_store_outage_of_five_seconds() {
    let (site, members, dir) = start("survives", 1).await;
    let id = "00000000000000f2";
    submit(members[0].callers, id, &job_body(&[1], 500, 8_000)).await;
    wait_for_starts(&site, 1).await;
    for member in &members {
        member.store_proxy.set_fault(Fault::Unavailable);
        member.store_proxy.silence_open_connections();
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    for member in &members {
        member.store_proxy.set_fault(Fault::None);
    }
    wait_for_completion(members[0].callers, id).await;
    assert_eq!(starts(&site), 1, "the run was lost");
    drop(std::fs::remove_dir_all(dir));
}

/// Guards against two runs of one task under two leaders. A leader is killed, and the VM with its
/// run becomes unresponsive at the same time. To the successor this looks like a leader that is cut
/// off and still renews the lease there, so the task must not start elsewhere before that ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_waits_for_the_leases_that_its_predecessor_may_renew() {
    let (site, members, dir) = start("waits", 2).await;
    site.vms[1].crash();
    let id = "00000000000000f3";
    submit(members[0].callers, id, &job_body(&[1], 500, 1_000)).await;
    wait_for_starts(&site, 1).await;
    site.vms[1].restart();
    let leads = |m: &Member| !m.log_lines(&["term begins"]).is_empty();
    let leader = members.iter().position(leads);
    let leader = leader.expect("one member is the leader");
    members[leader].signal("KILL");
    site.vms[0].crash();
    let successor = &members[1 - leader];
    wait_until("a member takes over", || async { leads(successor) }).await;
    tokio::time::sleep(Duration::from_millis(9_500)).await;
    assert_eq!(starts(&site), 1, "the lease may have been renewed");
    wait_for_completion(successor.callers, id).await;
    drop(std::fs::remove_dir_all(dir));
}
