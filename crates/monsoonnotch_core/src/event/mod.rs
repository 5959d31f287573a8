//! Everything that can happen to the control state.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Change;
use crate::config::KeyHash;
use crate::ident::CallKey;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ident::TaskId;
use crate::ident::Ticket;
use crate::job::JournalEntry;
use crate::job::Spec;
use crate::record::Batch;
use crate::record::Stream;
use crate::resource::Resources;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Verdict;
use crate::wire::JobRequest;
use crate::wire::PeerMsg;

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The control stream was read.
    Read(ReadReply),
    /// A read or an append failed or got no reply.
    LogFailed(Stream),
    /// An append was confirmed.
    Appended {
        /// The stream.
        stream: Stream,
        /// The token of the append.
        token: u64,
    },
    /// A former member's journal was read to its end.
    Journal {
        /// The former member.
        member: MemberId,
        /// Its entries, in order.
        entries: Vec<JournalEntry>,
    },
    /// A peer's message.
    Peer {
        /// The sender.
        from: MemberId,
        /// Whom it is meant for; the process may have become another member since.
        to: MemberId,
        /// What it says.
        msg: PeerMsg,
    },
    /// The platform's list of VMs.
    Vms(Vec<VmInfo>),
    /// A worker answered a sync.
    Synced {
        /// The worker.
        vm: Name,
        /// The time before the sync was sent.
        asked: Time,
        /// What it says.
        report: Report,
    },
    /// A worker did not answer a sync.
    SyncFailed {
        /// The worker.
        vm: Name,
    },
    /// A worker answered, or did not answer, the start of a task.
    TaskStarted {
        /// The worker.
        vm: Name,
        /// The task.
        task: TaskId,
        /// Whether it may run there.
        verdict: Verdict,
    },
    /// A caller's request arrived.
    Call(CallArrived),
    /// A dispatched request ended.
    CallEnded {
        /// The request.
        call: CallKey,
        /// How.
        outcome: CallOutcome,
    },
    /// The caller went away.
    CallGone(CallKey),
    /// A job was submitted.
    Submit {
        /// Names the answer.
        ticket: Ticket,
        /// The submitter's key, unless an operator submits for a team.
        key: Option<KeyProof>,
        /// What is asked for; the team is filled in from the key.
        spec: Spec,
    },
    /// A job was asked for.
    Job {
        /// Names the answer.
        ticket: Ticket,
        /// The asker's key, unless an operator asks.
        key: Option<KeyProof>,
        /// The question; its team is filled in from the key.
        request: JobRequest,
    },
    /// An operator changes the configuration.
    Change {
        /// Names the answer.
        ticket: Ticket,
        /// The change.
        change: Change,
    },
    /// Someone asks for the state.
    Dump(Ticket),
    /// Someone asks for a part of the state.
    Query {
        /// Names the answer.
        ticket: Ticket,
        /// Which part.
        query: StateQuery,
    },
    /// Someone asks for the numbers of the metrics.
    Gauges(Ticket),
    /// The process is to end.
    Stop,
}

/// A part of the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateQuery {
    /// The VMs.
    Vms,
    /// All that is published.
    Config,
    /// The newest changes, newest first.
    History,
    /// The profiles.
    Profiles,
    /// The teams.
    Teams,
    /// The keys, without their secrets.
    Keys,
    /// One profile.
    Profile(Name),
    /// One team.
    Team(Name),
    /// One key, without its secret.
    Key(Name),
}

/// What a read of the control stream brought.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadReply {
    /// The time before the read was sent.
    pub asked: Time,
    /// Offset of the oldest record that the platform still keeps.
    pub first: u64,
    /// Offset that the next record will get.
    pub tail: u64,
    /// Batches with their offsets, in order; `None` for one that cannot be decoded.
    pub batches: Vec<(u64, Option<Batch>)>,
}

/// A key as a caller presents it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyProof {
    /// The public identifier.
    pub id: Name,
    /// Hash of the secret.
    pub hash: KeyHash,
}

/// A caller's request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallArrived {
    /// Names the request.
    pub call: CallKey,
    /// The key, if one came with it.
    pub key: Option<KeyProof>,
    /// The profile.
    pub profile: Name,
    /// The idempotency key, if one came with it.
    pub idem: Option<Name>,
    /// Digest of method, path and idempotency key.
    pub digest: u64,
    /// When the caller stops waiting, if it said so.
    pub deadline: Option<Time>,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer came.
    Complete,
    /// The whole answer came, and it says that the upstream failed (status 500 to 599).
    Failed,
    /// The upstream did not take it.
    NotRun(Reason),
    /// It may have run, or may still run.
    MayHaveRun(Reason),
    /// Its answer began and did not come whole; the caller has seen the beginning.
    Cut(Reason),
}

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Its name.
    pub name: Name,
    /// Where it answers, as `ip:port`.
    pub addr: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its rack.
    pub rack: Name,
    /// What it has.
    pub total: Resources,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What a worker says of itself.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Age of what it says, in milliseconds.
    pub age_ms: u64,
    /// Requests in progress.
    pub requests: u32,
    /// Tasks that run.
    pub running: Vec<RunningTask>,
    /// Tasks that ended since they were last acknowledged, and whether well.
    pub ended: Vec<(TaskId, bool)>,
}

/// A task that a worker reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub id: TaskId,
    /// The team that it was started for.
    pub team: Name,
    /// What it takes.
    pub size: Resources,
}
