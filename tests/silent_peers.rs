//! Runs members as real processes beside peers and callers that stop in the middle of what they do.
//!
//! Their connections may stay open, so that nothing reports their end. Whatever counts or waits for them
//! must end all the same.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use futures_util::SinkExt;
use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::run_job;
use monsoonnotch_core::record::encode;
use monsoonnotch_standins::caller::wait_until;
use monsoonnotch_standins::fault_injection::Fault;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;

const PROGRAM: &str = env!("CARGO_BIN_EXE_monsoonnotch");
/// Time within which a site serves as before after a disruption.
const RECOVERY_MAX: Duration = Duration::from_secs(12);
/// Number of frames that the leader answers with its configuration; more bytes than a connection holds.
const QUESTIONS: usize = 400;
/// Time within which an idle member shuts down; it has 6 s.
const SHUTDOWN_MAX: Duration = Duration::from_millis(4_000);

/// Starts a site with one VM and `count` members; their files go to a folder named after `name`.
async fn start(name: &str, count: usize) -> (Site, Vec<Member>, PathBuf) {
    let dir = std::env::temp_dir().join(format!("members-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let site = Site::start(1).await;
    let mut members = Vec::new();
    for number in 0..count {
        let mut member = Member::new(number, site.store.addr(), &dir, "").await;
        member.start(PROGRAM);
        members.push(member);
    }
    let body = job_body(&[1], 500, 10);
    run_job(members[0].callers, "key-a", "00000000000000d1", &body).await;
    (site, members, dir)
}

/// Returns the token of a member's term, from its log.
fn token_of(member: &Member) -> u64 {
    let line = member.log_lines(&["term begins"]).pop();
    let line = line.expect("it is the leader");
    let (_, after) = line.split_once("\"token\":").expect("it has a token");
    let digits = after.trim_start_matches(['"', ' ']);
    let end = digits.find(|c: char| !c.is_ascii_digit());
    let token = digits[..end.unwrap_or(digits.len())].parse();
    token.expect("a number")
}

fn frame(content: Value) -> Message {
    Message::Binary(encode(&content).into())
}

/// Guards against a leader that waits for ever for a follower which takes no data and keeps its
/// connection open: the follower stays a candidate for leadership and keeps its approval slot.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_that_takes_no_frames_is_given_up() {
    let (site, members, dir) = start("takes-nothing", 1).await;
    let leader = &members[0];
    let keys: Vec<String> = (0..8_000).map(|i| format!("key-a{i:012}")).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    site.publish(2, &keys);
    let in_force = || async {
        let lines = leader.log_lines(&["configuration in force"]);
        lines.len() > 1
    };
    wait_until("the large configuration is in force", in_force).await;
    let stream = TcpStream::connect(leader.peers).await.expect("it listens");
    let url = format!("ws://{}/", leader.peers);
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream)
        .await
        .expect("a link");
    let hello = json!({"Hello": {"token": token_of(leader), "name": "stuck", "cores": 0.5,
        "addr": leader.peers.to_string()}});
    socket.send(frame(hello)).await.expect("the link is open");
    let question = json!({"GuestBeat": {"store": true, "config": 0}});
    for _ in 0..QUESTIONS {
        let sent = socket.send(frame(question.clone()));
        let sent = tokio::time::timeout(Duration::from_millis(100), sent).await;
        if sent.is_err() {
            break;
        }
    }
    let silent_since = Instant::now();
    let given_up = || async { !leader.log_lines(&["follower left", "stuck"]).is_empty() };
    wait_until("the follower is given up", given_up).await;
    let after = silent_since.elapsed();
    assert!(after <= RECOVERY_MAX, "given up after {after:?}");
    drop(socket);
    drop(std::fs::remove_dir_all(dir));
}

/// Guards against a count of open requests that callers leave behind who disconnect early, so that a
/// member takes all its time to shut down.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_leave_early_do_not_delay_a_shutdown() {
    let (_site, members, dir) = start("leave-early", 2).await;
    let has_led = |m: &&Member| !m.log_lines(&["term begins"]).is_empty();
    let follower = members.iter().find(|m| !has_led(m));
    let follower = follower.expect("one member follows");
    for member in &members {
        member.store_proxy.set_fault(Fault::Unresponsive);
        member.store_proxy.silence_open_connections();
    }
    let body = job_body(&[1], 500, 10);
    let request = format!(
        "POST /jobs/00000000000000d2 HTTP/1.1\r\nhost: test\r\nauthorization: Bearer key-a\r\n\
         x-deadline-ms: 3000\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut caller = TcpStream::connect(follower.callers)
        .await
        .expect("it listens");
    let sent = caller.write_all(request.as_bytes()).await;
    sent.expect("the connection is open");
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(50)).await;
    for member in &members {
        member.store_proxy.set_fault(Fault::None);
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    follower.signal("TERM");
    let began = Instant::now();
    // A member accepts links for as long as its process lives.
    let ended = || async { TcpStream::connect(follower.peers).await.is_err() };
    wait_until("its process has ended", ended).await;
    let took = began.elapsed();
    assert!(took <= SHUTDOWN_MAX, "shut down after {took:?}");
    drop(std::fs::remove_dir_all(dir));
}
