//! Links between members: WebSocket connections that each follower keeps to the leader.

mod follower;
mod leader;

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures_util::SinkExt;
use monsoonnotch_core::record::decode;
use monsoonnotch_core::record::encode;
use monsoonnotch_ingress::prelude::Share;
use monsoonnotch_jobs::delegation::Batch;
use monsoonnotch_jobs::delegation::Outcome;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::event::Query;
use monsoonnotch_jobs::explanation::Explanation;
use monsoonnotch_jobs::explanation::Subject;
use monsoonnotch_jobs::fitness::Capacity;
use monsoonnotch_jobs::plan::StageId;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::cx::Leadership;
use crate::evacuation::Evacuations;

pub(crate) use self::follower::LeaderContact;
pub(crate) use self::follower::keep_leader_link;
pub(crate) use self::leader::Followers;
pub(crate) use self::leader::accept_followers;
pub(crate) use self::leader::heartbeat;

/// Maximum number of frames that wait for one link; further frames are dropped.
const FRAME_QUEUE_MAX: usize = 1_024;

/// Size in bytes of a link's read buffer, which each read clears first. Most frames are heartbeats
/// and queries.
const READ_BUFFER_SIZE: usize = 4 << 10;
/// Longest message that a link accepts, in bytes: a batch of records that the store takes at once.
const MESSAGE_BYTES_MAX: usize = 4 << 20;
/// Longest time in which the other end of a link takes a frame; the longest message takes 3.4 s at
/// 10 Mbit/s.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the settings of a link's WebSocket connection.
fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_SIZE)
        .write_buffer_size(READ_BUFFER_SIZE)
        .max_message_size(Some(MESSAGE_BYTES_MAX))
        .max_frame_size(Some(MESSAGE_BYTES_MAX))
}

/// A message on a link, encoded as CBOR.
///
/// `rename` attributes give variants and fields their encoded names where these differ from the
/// identifiers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// Opens a link: a member introduces itself to the leader with the given token.
    Hello {
        /// Token of the newest claim that the member has seen.
        token: u64,
        /// Name of the member.
        name: CompactString,
        /// Address for links to the member, as `ip:port`.
        addr: CompactString,
        /// CPU capacity of the member, in cores.
        cores: f64,
        /// Failure domain of the member; empty if it carries out no orders.
        #[serde(default)]
        domain: CompactString,
        /// All resources of the member; `None` if it does not say.
        #[serde(default)]
        capacity: Option<Capacity>,
    },
    /// A heartbeat of a follower.
    #[serde(rename = "GuestBeat")]
    FollowerHeartbeat {
        /// Whether the follower can reach the store.
        store: bool,
        /// Version of the follower's configuration; zero when it has none.
        config: u64,
        /// How long the store took to answer the probe that the leader asked for, in milliseconds.
        #[serde(default)]
        probe_ms: Option<u64>,
    },
    /// A heartbeat of the leader.
    #[serde(rename = "HostBeat")]
    LeaderHeartbeat {
        /// Token of the leader's term.
        token: u64,
        /// Whether followers are to leave storing to the leader. False if the leader does not reach
        /// the store although another member does.
        store: bool,
        /// Number of VMs of the fleet; zero if unknown.
        #[serde(default)]
        vms: u32,
        /// Asks the follower to probe the store and report the result.
        #[serde(default)]
        probe: bool,
    },
    /// A claim newer than the one under which the link was opened. If the receiver cannot reach the
    /// store, it does not observe the claim in any other way.
    Newer(Leadership),
    /// Addresses of some other members.
    Peers {
        /// Addresses for links, as `ip:port`.
        addrs: Vec<CompactString>,
    },
    /// A query about a job or a queue.
    #[serde(rename = "Ask")]
    Query {
        /// Sequence number of the query.
        seq: u64,
        /// The query.
        query: Query,
    },
    /// Asks where a job would go now.
    Explain {
        /// Sequence number of the question.
        seq: u64,
        /// The job.
        subject: Subject,
    },
    /// Where a job would go now.
    Explained {
        /// Sequence number of the question.
        seq: u64,
        /// The answer; `None` if the queue or the job is unknown, or the plan is invalid.
        explanation: Option<Box<Explanation>>,
    },
    /// The answer to a query.
    Answer {
        /// Sequence number of the query.
        seq: u64,
        /// The answer.
        answer: Answer,
    },
    /// Requests that the follower query the approval service.
    Approve {
        /// Number of the approval request.
        #[serde(rename = "ask")]
        request: u64,
        /// The stage that the VMs are to run.
        stage: StageId,
        /// Ids of the VMs to approve.
        vms: Vec<CompactString>,
    },
    /// The response of the approval service.
    Approved {
        /// Number of the approval request.
        #[serde(rename = "ask")]
        request: u64,
        /// Ids of the approved VMs with their tickets; `None` when the service did not respond.
        allowed: Option<Vec<(CompactString, CompactString)>>,
    },
    /// Reports a record that the follower has stored, so that the leader does not have to wait for
    /// the journal.
    #[serde(rename = "HandedIn")]
    RecordStored {
        /// Offset of the record in the journal.
        offset: u64,
        /// Key of the record.
        key: CompactString,
        /// Value of the record.
        value: ByteBuf,
    },
    /// Requests that the leader store a record that the follower cannot store itself.
    Store {
        /// Sequence number of the request.
        seq: u64,
        /// How long the leader may take to store the record, in milliseconds.
        within_ms: u64,
        /// Key of the record.
        key: CompactString,
        /// Value of the record.
        value: ByteBuf,
        /// What the job takes of the leader's memory, in bytes; zero if the record is no submission.
        #[serde(default)]
        job_memory: u64,
    },
    /// The outcome of a request to store a record.
    #[serde(rename = "StoreFate")]
    StoreResult {
        /// Sequence number of the request.
        seq: u64,
        /// The outcome.
        #[serde(rename = "fate")]
        outcome: StoreOutcome,
        /// See [`StoreResult`].
        #[serde(default, skip_serializing_if = "Option::is_none")]
        turned_away_s: Option<u32>,
    },
    /// The current configuration, for a follower with an older version.
    Config {
        /// The configuration, encoded as the operators published it.
        value: ByteBuf,
    },
    /// The evacuated failure domains, from either side. Members of older releases do not know this
    /// frame, so it is not sent while nothing has been evacuated.
    Evacuations(Evacuations),
    /// Orders to VMs that the follower carries out.
    Orders(Batch),
    /// Outcomes of orders.
    Outcomes {
        /// The outcomes by the numbers of their orders.
        outcomes: Vec<(u64, Outcome)>,
    },
    /// Requests that the follower claim leadership at once.
    Claim,
}

/// A frame that waits for its link, and the memory of a record in it.
#[derive(Debug)]
pub(crate) struct QueuedFrame {
    frame: Frame,
    /// Given back when the frame is dropped.
    _memory: Option<Arc<Share>>,
}

impl QueuedFrame {
    /// Queues a frame with a record that takes `memory`.
    pub(crate) fn with_memory(frame: Frame, memory: Option<Arc<Share>>) -> Self {
        Self {
            frame,
            _memory: memory,
        }
    }
}

impl From<Frame> for QueuedFrame {
    fn from(frame: Frame) -> Self {
        Self::with_memory(frame, None)
    }
}

/// The outcome of a request to store a record.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum StoreOutcome {
    /// The record is stored.
    Stored,
    /// The record is not stored and will not be.
    NotStored,
    /// The record may be stored already or may be stored later.
    Unknown,
}

/// The answer to a request to store a record.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoreResult {
    /// The outcome.
    pub(crate) outcome: StoreOutcome,
    /// After which time the caller may come back, in seconds, if the record is a submission that
    /// was turned away.
    pub(crate) turned_away_s: Option<u32>,
}

impl StoreResult {
    /// Returns the answer to a submission that is turned away for `retry_s` seconds.
    pub(crate) fn turned_away(retry_s: u32) -> Self {
        Self {
            outcome: StoreOutcome::NotStored,
            turned_away_s: Some(retry_s),
        }
    }
}

impl From<StoreOutcome> for StoreResult {
    fn from(outcome: StoreOutcome) -> Self {
        Self {
            outcome,
            turned_away_s: None,
        }
    }
}

/// Sends a frame; returns false if the link has failed, or if its other end has not taken the frame
/// within [`SEND_TIMEOUT`]. It may have lost power, or hang, while its connection stays open.
async fn send_frame<S>(socket: &mut WebSocketStream<S>, frame: &Frame) -> bool
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let msg = encode_frame(frame);
    let bytes = msg.len();
    let sent = tokio::time::timeout(SEND_TIMEOUT, socket.send(msg)).await;
    if sent.is_err() {
        log::warn!(event = "link stalled", bytes = bytes; "the other end of a link takes no data; closing the link");
    }
    matches!(sent, Ok(Ok(())))
}

fn encode_frame(frame: &Frame) -> Message {
    Message::Binary(encode(frame).into())
}

/// Decodes the frame in a binary message; returns `None` for invalid bytes and for messages that
/// are not binary.
fn decode_frame(msg: &Message) -> Option<Frame> {
    match msg {
        Message::Binary(buf) => decode(buf),
        _ => None,
    }
}

/// Whether a message that is no frame belongs to the WebSocket protocol. Logs any other one, after
/// which the link is closed.
fn is_control_message(peer: &str, msg: &Message) -> bool {
    let is_control = msg.is_ping() || msg.is_pong() || msg.is_close();
    if !is_control {
        log::warn!(event = "link invalid", peer = peer, bytes = msg.len(); "received a message that is no frame; closing the link");
    }
    is_control
}
