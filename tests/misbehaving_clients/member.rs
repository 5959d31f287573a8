//! Crowds at the listeners of a member that leads, on a small VM.

use std::net::SocketAddr;
use std::path::PathBuf;

use monsoonnotch_adapter::store::RECORD_BYTES_MAX;
use monsoonnotch_adapter_standins::member::Limits;
use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::run_job;
use monsoonnotch_standins::caller::send_request;
use monsoonnotch_standins::caller::wait_until;
use rstest::rstest;

use crate::ONE_AT_A_TIME;
use crate::crowd::Crowd;
use crate::crowd::Habit;
use crate::crowd::Target;
use crate::usage::MIB;
use crate::usage::Monitor;

const PROGRAM: &str = env!("CARGO_BIN_EXE_monsoonnotch");
/// A small VM.
const SMALL: Limits = Limits {
    memory_mib: 64,
    descriptors: 600,
};
/// A VM on which the leader has room for some large jobs.
const ORDINARY: Limits = Limits {
    memory_mib: 160,
    descriptors: 600,
};
/// The smallest VM. It is for crowds whose memory the process takes slowly, because their bytes are
/// costly to read.
const SMALLEST: Limits = Limits {
    memory_mib: 40,
    descriptors: 600,
};
/// Clients of a crowd.
const CLIENTS: usize = 200;
/// Clients of a crowd that wants more connections than the VM has descriptors.
const MANY_CLIENTS: usize = 1_200;

/// A listener of a member.
#[derive(Debug, Clone, Copy)]
enum Listener {
    Callers,
    Readiness,
    Metrics,
    Peers,
}

impl Listener {
    fn target(self, member: &Member) -> Target {
        let none = String::new;
        match self {
            Self::Callers => {
                let fields = "authorization: Bearer key-a\r\nx-deadline-ms: 3000\r\n".to_owned();
                Target::new(member.callers, "/jobs/", fields)
            }
            Self::Readiness => Target::new(member.readiness, "/readyz", none()),
            Self::Metrics => Target::new(member.metrics, "/explain?queue=r-jobs&more=", none()),
            Self::Peers => Target::new(member.peers, "/", none()),
        }
    }
}

/// A site with one member on a small VM.
async fn start(dir: &str, vm: Limits) -> (Site, Member, PathBuf) {
    let dir = std::env::temp_dir().join(format!("misbehaving-{dir}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let site = Site::start(2).await;
    let mut member = Member::limited(0, site.store.addr(), &dir, vm).await;
    member.start(PROGRAM);
    (site, member, dir)
}

/// Submits a small job to a member, and waits until it is completed.
async fn run_ordinary_job(member: &Member, number: u64) {
    let id = format!("{:016x}", 0xf_0000 + number);
    run_job(member.callers, "key-a", &id, &job_body(&[2], 500, 10)).await;
}

/// Waits until a `GET` at a listener is answered with status 200.
async fn wait_for_answer(addr: SocketAddr, path: &str) {
    let answered = || async move {
        let response = send_request(addr, "GET", path, &[], "").await;
        response.is_some_and(|r| r.status == 200)
    };
    wait_until("the listener answers", answered).await;
}

/// Guards against a member that is brought down, or kept from its callers, by clients that it doesn't
/// control: it reads what they send into memory that nothing bounds, and keeps their connections for
/// as long as they like.
#[rstest]
#[case::callers_body_in_pieces(SMALL, Listener::Callers, Habit::BodyInPieces, CLIENTS)]
#[case::callers_body_cut_short(SMALL, Listener::Callers, Habit::BodyCutShort, CLIENTS)]
#[case::callers_chunks_of_one_byte(SMALLEST, Listener::Callers, Habit::ChunksOfOneByte, CLIENTS)]
#[case::callers_large_chunks(SMALL, Listener::Callers, Habit::LargeChunks, CLIENTS)]
#[case::callers_valid_large_jobs(SMALL, Listener::Callers, Habit::ValidLargeJob, CLIENTS)]
#[case::callers_job_of_many_tasks(SMALL, Listener::Callers, Habit::JobOfManyTasks, 1)]
#[case::callers_job_of_many_occurrences(SMALL, Listener::Callers, Habit::JobOfManyOccurrences, 1)]
#[case::callers_endless_head(SMALL, Listener::Callers, Habit::EndlessHead, CLIENTS)]
#[case::callers_empty_lines(SMALL, Listener::Callers, Habit::EmptyLines, CLIENTS)]
#[case::callers_unread_responses(SMALL, Listener::Callers, Habit::UnreadResponses, CLIENTS)]
#[case::callers_silence(SMALL, Listener::Callers, Habit::Silence, MANY_CLIENTS)]
#[case::callers_many_bodies(SMALL, Listener::Callers, Habit::BodyCutShort, MANY_CLIENTS)]
#[case::readiness_body_cut_short(SMALL, Listener::Readiness, Habit::BodyCutShort, CLIENTS)]
#[case::readiness_endless_head(SMALL, Listener::Readiness, Habit::EndlessHead, CLIENTS)]
#[case::readiness_empty_lines(SMALL, Listener::Readiness, Habit::EmptyLines, CLIENTS)]
#[case::readiness_silence(SMALL, Listener::Readiness, Habit::Silence, MANY_CLIENTS)]
#[case::metrics_body_in_pieces(SMALL, Listener::Metrics, Habit::BodyInPieces, CLIENTS)]
#[case::metrics_chunks_of_one_byte(SMALLEST, Listener::Metrics, Habit::ChunksOfOneByte, CLIENTS)]
#[case::metrics_endless_head(SMALL, Listener::Metrics, Habit::EndlessHead, CLIENTS)]
#[case::metrics_empty_lines(SMALL, Listener::Metrics, Habit::EmptyLines, CLIENTS)]
#[case::metrics_unread_responses(SMALL, Listener::Metrics, Habit::UnreadResponses, CLIENTS)]
#[case::peers_endless_head(SMALL, Listener::Peers, Habit::EndlessHead, CLIENTS)]
#[case::peers_empty_lines(SMALL, Listener::Peers, Habit::EmptyLines, CLIENTS)]
#[case::peers_message_cut_short(SMALL, Listener::Peers, Habit::MessageCutShort, CLIENTS)]
#[case::peers_silence(SMALL, Listener::Peers, Habit::Silence, MANY_CLIENTS)]
#[case::callers_accepted_large_jobs(ORDINARY, Listener::Callers, Habit::ValidLargeJob, CLIENTS)]
#[tokio::test(flavor = "multi_thread")]
async fn a_member_outlives_a_crowd(
    #[case] vm: Limits,
    #[case] listener: Listener,
    #[case] habit: Habit,
    #[case] clients: usize,
) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let (_site, mut member, dir) = start(&format!("{listener:?}-{habit:?}-{clients}"), vm).await;
    run_ordinary_job(&member, 1).await;
    let monitor = Monitor::start(member.pid(), member.listeners().to_vec());
    let crowd = Crowd::gather(&listener.target(&member), clients, habit).await;
    run_ordinary_job(&member, 2).await;
    wait_for_answer(member.readiness, "/readyz").await;
    wait_for_answer(member.metrics, "/metrics").await;
    crowd.disperse().await;
    let alive = member.is_running();
    let peak = monitor.finish();
    println!("{listener:?} {habit:?}: {peak:?}, {} MiB", peak.bytes / MIB);
    assert!(alive, "the process has ended");
    assert!(peak.bytes <= u64::from(vm.memory_mib) * MIB, "{peak:?}");
    assert!(peak.descriptors <= vm.descriptors as usize, "{peak:?}");
    drop(std::fs::remove_dir_all(dir));
}

/// Guards against a member that serves nobody while clients that were refused come back at once.
#[rstest]
#[case::bodies_cut_short(Listener::Callers, Habit::BodyCutShort)]
#[case::empty_lines(Listener::Callers, Habit::EmptyLines)]
#[case::silence(Listener::Callers, Habit::Silence)]
#[case::valid_large_jobs(Listener::Callers, Habit::ValidLargeJob)]
#[case::unread_responses(Listener::Callers, Habit::UnreadResponses)]
#[case::silent_peers(Listener::Peers, Habit::Silence)]
#[tokio::test(flavor = "multi_thread")]
async fn ordinary_callers_are_served_beside_a_crowd_that_comes_back(
    #[case] listener: Listener,
    #[case] habit: Habit,
) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let (_site, mut member, dir) = start(&format!("back-{listener:?}-{habit:?}"), SMALL).await;
    run_ordinary_job(&member, 1).await;
    let monitor = Monitor::start(member.pid(), member.listeners().to_vec());
    let crowd = Crowd::besiege(&listener.target(&member), CLIENTS, habit);
    for number in 2..6 {
        run_ordinary_job(&member, number).await;
    }
    wait_for_answer(member.readiness, "/readyz").await;
    crowd.disperse().await;
    let alive = member.is_running();
    let peak = monitor.finish();
    println!("{listener:?} {habit:?}: {peak:?}, {} MiB", peak.bytes / MIB);
    assert!(alive, "the process has ended");
    assert!(peak.bytes <= u64::from(SMALL.memory_mib) * MIB, "{peak:?}");
    assert!(peak.descriptors <= SMALL.descriptors as usize, "{peak:?}");
    drop(std::fs::remove_dir_all(dir));
}

/// Guards against a leader without followers: strangers keep the places for links.
#[rstest]
#[case::silence(Habit::Silence)]
#[case::messages_cut_short(Habit::MessageCutShort)]
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_joins_beside_a_crowd_at_its_leader(#[case] habit: Habit) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let (site, leader, dir) = start(&format!("joins-{habit:?}"), SMALL).await;
    run_ordinary_job(&leader, 1).await;
    let crowd = Crowd::besiege(&Listener::Peers.target(&leader), CLIENTS, habit);
    let mut follower = Member::limited(1, site.store.addr(), &dir, SMALL).await;
    follower.start(PROGRAM);
    let joined = || async { !leader.log_lines(&["follower joined"]).is_empty() };
    wait_until("the follower joins", joined).await;
    run_ordinary_job(&follower, 2).await;
    crowd.disperse().await;
    drop(std::fs::remove_dir_all(dir));
}

/// Returns the body of a valid job, as long as a body may be. Its record is longer than the store takes.
fn longest_body() -> String {
    let body = |label: &str| {
        format!("{{\"spec\":\"\",\"phases\":[{{\"count\":1,\"required-label\":\"{label}\"}}]}}")
    };
    body(&"a".repeat(RECORD_BYTES_MAX - body("").len()))
}

/// Guards against a record that the store refuses, and with it all others of the same append, for as long
/// as it is sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_fits_into_no_record_is_refused_alone() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let (_site, member, dir) = start("no-record", ORDINARY).await;
    run_ordinary_job(&member, 1).await;
    let body = longest_body();
    let headers = [("authorization", "Bearer key-a")];
    for id in 0..8 {
        let path = format!("/jobs/{id:016}");
        let response = send_request(member.callers, "POST", &path, &headers, &body).await;
        assert_eq!(response.map(|r| r.status), Some(413));
    }
    run_ordinary_job(&member, 2).await;
    drop(std::fs::remove_dir_all(dir));
}

/// Guards against a leader that is brought down by what callers send to other members, which pass it
/// on: their own limits don't bound what arrives at the leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_outlives_a_crowd_at_a_follower() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let (site, mut leader, dir) = start("follower", SMALL).await;
    run_ordinary_job(&leader, 1).await;
    let mut follower = Member::limited(1, site.store.addr(), &dir, SMALL).await;
    follower.start(PROGRAM);
    run_ordinary_job(&follower, 2).await;
    let monitors = [&leader, &follower].map(|m| Monitor::start(m.pid(), m.listeners().to_vec()));
    let target = Listener::Callers.target(&follower);
    let crowd = Crowd::gather(&target, CLIENTS, Habit::ValidLargeJob).await;
    run_ordinary_job(&leader, 3).await;
    run_ordinary_job(&follower, 4).await;
    crowd.disperse().await;
    let alive = leader.is_running() && follower.is_running();
    let peaks = monitors.map(Monitor::finish);
    println!("{peaks:?}");
    assert!(alive, "a process has ended");
    for peak in peaks {
        assert!(peak.bytes <= u64::from(SMALL.memory_mib) * MIB, "{peak:?}");
    }
    drop(std::fs::remove_dir_all(dir));
}
