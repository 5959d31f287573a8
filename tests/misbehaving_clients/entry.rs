//! Crowds at the listeners of an entry, on a small VM.

use std::net::SocketAddr;

use monsoonnotch_standins::prelude::*;
use monsoonnotch_standins::site::OPERATORS_TOKEN;
use rstest::rstest;

use crate::ONE_AT_A_TIME;
use crate::crowd::Crowd;
use crate::crowd::Habit;
use crate::crowd::Target;
use crate::usage::MIB;
use crate::usage::Monitor;

const PROGRAMS: Programs = Programs {
    entry: env!("CARGO_BIN_EXE_monsoonnotch"),
    ctl: env!("CARGO_BIN_EXE_monsoonctl"),
};
/// Memory of a small VM, in MiB.
const SMALL_MIB: u64 = 64;
/// Memory of the smallest VM, in MiB. It is for crowds whose memory the process takes slowly, because
/// their bytes are costly to read.
const SMALLEST_MIB: u64 = 40;
/// Descriptors of the entry's VM.
const DESCRIPTORS: usize = 600;

/// Returns the settings of the entry: its VM, and limits of what one caller may send, lowered like it.
fn settings(memory_mib: u64) -> String {
    format!(
        "[limits]\nbody_bytes = 262144\nconnections = 300\nmemory_mib = {memory_mib}\n\
         descriptors = {DESCRIPTORS}\n"
    )
}

/// A valid job with as many tasks as a job may have.
const LARGE_JOB: &str = "{\"profile\":\"nightly\",\"count\":100000,\"command\":\"true\"}";
/// Clients of a crowd.
const CLIENTS: usize = 200;
/// Clients of a crowd that wants more connections than the VM has descriptors.
const MANY_CLIENTS: usize = 1_200;

/// A listener of an entry.
#[derive(Debug, Clone, Copy)]
enum Listener {
    Callers,
    /// The callers' listener, where jobs are submitted.
    Jobs,
    Operators,
    Peers,
}

/// An entry that serves requests, with the key of a team.
struct Site {
    _platform: Platform,
    entry: EntryProcess,
    bearer: String,
    /// The key of a team that may use half of the slots.
    batch_bearer: String,
}

impl Site {
    async fn start(memory_mib: u64) -> Self {
        let platform = Platform::start(1, PROGRAMS).await;
        let entry = platform.start_entry_with("fd-0", &settings(memory_mib));
        wait_ready(&entry).await;
        entry.publish_profile("check", "lane = \"short\"\nrepeatable = true\n");
        entry.publish_profile("nightly", "lane = \"batch\"\n");
        entry.set_team("hall", 1, 300);
        entry.set_team("yard", 1, 4);
        let bearer = |team| format!("Bearer {}", entry.grant_key(team));
        let (bearer, batch_bearer) = (bearer("hall"), bearer("yard"));
        Self {
            _platform: platform,
            entry,
            bearer,
            batch_bearer,
        }
    }

    fn target(&self, listener: Listener) -> Target {
        let caller = format!("authorization: {}\r\nprofile: check\r\n", self.bearer);
        let batch = format!("authorization: {}\r\n", self.batch_bearer);
        let operator = format!("authorization: Bearer {OPERATORS_TOKEN}\r\n");
        match listener {
            Listener::Callers => Target::new(self.entry.callers, "/street/", caller),
            Listener::Jobs => Target {
                large_job: LARGE_JOB.to_owned(),
                ..Target::new(self.entry.callers, "/v1/jobs?client=", batch)
            },
            Listener::Operators => {
                Target::new(self.entry.operators, "/v1/jobs?replaces=", operator)
            }
            Listener::Peers => Target::new(self.entry.peers, "/", String::new()),
        }
    }

    /// Waits until an ordinary request is served by an upstream, and one of an operator by the entry.
    async fn wait_for_answers(&self) {
        let headers = [
            ("authorization", self.bearer.as_str()),
            ("profile", "check"),
        ];
        wait_for_answer(self.entry.callers, "/street/7", &headers).await;
        let bearer = format!("Bearer {OPERATORS_TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        wait_for_answer(self.entry.operators, "/v1/teams", &headers).await;
    }
}

/// Waits until a `GET` at a listener is answered with status 200.
async fn wait_for_answer(addr: SocketAddr, path: &str, headers: &[(&str, &str)]) {
    let answered = || async move {
        let response = send_request(addr, "GET", path, headers, "").await;
        response.is_some_and(|r| r.status == 200)
    };
    wait_until("the listener answers", answered).await;
}

/// Guards against an entry that is brought down, or kept from its callers, by clients that it doesn't
/// control: it reads what they send into memory that nothing bounds, and keeps their connections for
/// as long as they like.
#[rstest]
#[case::callers_body_in_pieces(SMALL_MIB, Listener::Callers, Habit::BodyInPieces, CLIENTS)]
#[case::callers_body_cut_short(SMALL_MIB, Listener::Callers, Habit::BodyCutShort, CLIENTS)]
#[case::callers_chunks_of_one_byte(
    SMALLEST_MIB,
    Listener::Callers,
    Habit::ChunksOfOneByte,
    CLIENTS
)]
#[case::callers_large_chunks(SMALL_MIB, Listener::Callers, Habit::LargeChunks, CLIENTS)]
#[case::callers_endless_head(SMALL_MIB, Listener::Callers, Habit::EndlessHead, CLIENTS)]
#[case::callers_empty_lines(SMALL_MIB, Listener::Callers, Habit::EmptyLines, CLIENTS)]
#[case::callers_unread_responses(SMALL_MIB, Listener::Callers, Habit::UnreadResponses, CLIENTS)]
#[case::callers_silence(SMALL_MIB, Listener::Callers, Habit::Silence, MANY_CLIENTS)]
#[case::callers_valid_large_jobs(SMALL_MIB, Listener::Jobs, Habit::ValidLargeJob, CLIENTS)]
#[case::operators_body_cut_short(SMALL_MIB, Listener::Operators, Habit::BodyCutShort, CLIENTS)]
#[case::operators_chunks_of_one_byte(
    SMALLEST_MIB,
    Listener::Operators,
    Habit::ChunksOfOneByte,
    CLIENTS
)]
#[case::operators_endless_head(SMALL_MIB, Listener::Operators, Habit::EndlessHead, CLIENTS)]
#[case::operators_empty_lines(SMALL_MIB, Listener::Operators, Habit::EmptyLines, CLIENTS)]
#[case::operators_unread_responses(SMALL_MIB, Listener::Operators, Habit::UnreadResponses, CLIENTS)]
#[case::operators_silence(SMALL_MIB, Listener::Operators, Habit::Silence, MANY_CLIENTS)]
#[case::peers_endless_head(SMALL_MIB, Listener::Peers, Habit::EndlessHead, CLIENTS)]
#[case::peers_message_cut_short(SMALL_MIB, Listener::Peers, Habit::MessageCutShort, CLIENTS)]
#[case::peers_silence(SMALL_MIB, Listener::Peers, Habit::Silence, MANY_CLIENTS)]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_outlives_a_crowd(
    #[case] memory_mib: u64,
    #[case] listener: Listener,
    #[case] habit: Habit,
    #[case] clients: usize,
) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = Site::start(memory_mib).await;
    site.wait_for_answers().await;
    let entry = &site.entry;
    let listeners = vec![entry.callers, entry.operators, entry.peers];
    let monitor = Monitor::start(entry.pid(), listeners);
    let crowd = Crowd::gather(&site.target(listener), clients, habit).await;
    site.wait_for_answers().await;
    crowd.disperse().await;
    let alive = site.entry.is_running();
    let peak = monitor.finish();
    println!("{listener:?} {habit:?}: {peak:?}, {} MiB", peak.bytes / MIB);
    assert!(alive, "the process has ended");
    assert!(peak.bytes <= memory_mib * MIB, "{peak:?}");
    assert!(peak.descriptors <= DESCRIPTORS, "{peak:?}");
}

/// Guards against an entry that serves nobody while clients that were refused come back at once.
#[rstest]
#[case::bodies_cut_short(Listener::Callers, Habit::BodyCutShort)]
#[case::silence(Listener::Callers, Habit::Silence)]
#[case::unread_responses(Listener::Operators, Habit::UnreadResponses)]
#[tokio::test(flavor = "multi_thread")]
async fn ordinary_callers_are_served_beside_a_crowd_that_comes_back(
    #[case] listener: Listener,
    #[case] habit: Habit,
) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut site = Site::start(SMALL_MIB).await;
    site.wait_for_answers().await;
    let entry = &site.entry;
    let listeners = vec![entry.callers, entry.operators, entry.peers];
    let monitor = Monitor::start(entry.pid(), listeners);
    let crowd = Crowd::besiege(&site.target(listener), CLIENTS, habit);
    for _ in 0..4 {
        site.wait_for_answers().await;
    }
    crowd.disperse().await;
    let alive = site.entry.is_running();
    let peak = monitor.finish();
    println!("{listener:?} {habit:?}: {peak:?}, {} MiB", peak.bytes / MIB);
    assert!(alive, "the process has ended");
    assert!(peak.bytes <= SMALL_MIB * MIB, "{peak:?}");
    assert!(peak.descriptors <= DESCRIPTORS, "{peak:?}");
}
