//! Records that the store refuses for good, with members as real processes: they hold up nothing else.

use std::net::SocketAddr;
use std::time::Duration;

use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::parse_state;
use monsoonnotch_adapter_standins::site::run_job;
use monsoonnotch_adapter_standins::store::Faults;
use monsoonnotch_standins::caller::send_request;
use monsoonnotch_standins::caller::wait_until;

const PROGRAM: &str = env!("CARGO_BIN_EXE_monsoonnotch");
/// Size of a record that the store takes in these tests, in bytes: ample for a small job.
const RECORD_BYTES_MAX: usize = 600;
const LARGE: &str = "00000000000000b1";

async fn send(addr: SocketAddr, method: &str, id: &str, body: &str) -> (u16, Vec<u8>) {
    let headers = [("authorization", "Bearer key-a"), ("x-deadline-ms", "3000")];
    let path = format!("/jobs/{id}");
    let response = send_request(addr, method, &path, &headers, body).await;
    response.map_or((0, Vec::new()), |r| (r.status, r.body))
}

/// Guards against a leader that appends a record for ever which the store refuses: nothing of any job was stored any
/// more.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_records_are_refused_holds_up_no_other() {
    let dir = std::env::temp_dir().join(format!("refused-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let site = Site::start(3).await;
    let mut members = Vec::new();
    for number in 0..2 {
        let mut member = Member::new(number, site.store.addr(), &dir, "").await;
        member.start(PROGRAM);
        members.push(member);
    }
    run_job(
        members[0].callers,
        "key-a",
        "00000000000000a1",
        &job_body(&[2], 100, 50),
    )
    .await;
    let faults = Faults {
        record_bytes_max: Some(RECORD_BYTES_MAX),
        ..Faults::default()
    };
    site.store.set_faults(faults);
    // The placements of 100 tasks take more than 900 bytes.
    let (status, _) = send(
        members[0].callers,
        "POST",
        LARGE,
        &job_body(&[100], 50, 300),
    )
    .await;
    assert_eq!(status, 200);
    for (n, member) in members.iter().cycle().take(6).enumerate() {
        let id = format!("00000000000000c{n}");
        run_job(member.callers, "key-a", &id, &job_body(&[2, 1], 100, 50)).await;
        let spec = "s".repeat(RECORD_BYTES_MAX);
        let id = format!("00000000000000d{n}");
        let body = format!(r#"{{"spec":"{spec}","phases":[{{"count":1,"cpu":10}}]}}"#);
        let (status, _) = send(member.callers, "POST", &id, &body).await;
        assert_ne!(status, 200, "the submission is not stored");
    }
    let refused = |m: &Member| m.log_lines(&["records refused", LARGE]).len();
    let refused: usize = members.iter().map(refused).sum();
    assert!((1..=6).contains(&refused), "{refused} times");
    site.store.set_faults(Faults::default());
    let completed = || async {
        let (_, body) = send(members[1].callers, "GET", LARGE, "").await;
        parse_state(&body).as_deref() == Some("completed")
    };
    tokio::time::sleep(Duration::from_secs(5)).await;
    wait_until("the large job completes", completed).await;
    let checker = site.checker.lock().expect("no panic");
    assert_eq!(checker.violations, Vec::<String>::new());
    drop(std::fs::remove_dir_all(dir));
}
