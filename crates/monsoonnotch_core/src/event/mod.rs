//! The input events of the reducer.

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

/// An event that the reducer handles.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Periodic timer tick.
    Tick,
    /// The control stream was read.
    Read(ReadReply),
    /// A read of the stream or an append to it failed or got no reply.
    LogFailed(Stream),
    /// An append was confirmed.
    Appended {
        /// The stream that was appended to.
        stream: Stream,
        /// The token of the append, from its effect.
        token: u64,
    },
    /// The journal of an ended member was read to its end.
    Journal {
        /// The ended member.
        member: MemberId,
        /// The entries of the journal, in order.
        entries: Vec<JournalEntry>,
    },
    /// A message from a peer was received.
    Peer {
        /// The sender.
        from: MemberId,
        /// The addressee; this process may have rejoined as another member since.
        to: MemberId,
        /// The message itself.
        msg: PeerMsg,
    },
    /// The platform returned its list of VMs.
    Vms(Vec<VmInfo>),
    /// A worker answered a sync.
    Synced {
        /// Name of the worker.
        vm: Name,
        /// Time just before the sync was sent.
        asked: Time,
        /// The worker's report.
        report: Report,
    },
    /// A worker did not answer a sync.
    SyncFailed {
        /// Name of the worker.
        vm: Name,
    },
    /// The order to start a task was answered by the worker, or failed.
    TaskStarted {
        /// Name of the worker.
        vm: Name,
        /// The task to start.
        task: TaskId,
        /// Whether the task may run on the worker.
        verdict: Verdict,
    },
    /// A caller's request arrived.
    Call(CallArrived),
    /// A dispatched request ended.
    CallEnded {
        /// The request that ended.
        call: CallKey,
        /// How the request ended.
        outcome: CallOutcome,
    },
    /// The caller disconnected.
    CallerDisconnected(CallKey),
    /// A job was submitted.
    Submit {
        /// Matches the answer to this event.
        ticket: Ticket,
        /// The submitter's key; `None` when an operator submits for a team.
        key: Option<KeyProof>,
        /// The specification; its team is replaced by that of the key.
        spec: Spec,
    },
    /// A caller or operator made a request about a job.
    Job {
        /// Matches the answer to this event.
        ticket: Ticket,
        /// The requester's key; `None` for an operator.
        key: Option<KeyProof>,
        /// The request; its team is replaced by that of the key.
        request: JobRequest,
    },
    /// An operator changes the configuration.
    Change {
        /// Matches the answer to this event.
        ticket: Ticket,
        /// The change to record.
        change: Change,
    },
    /// An operator requests the whole state, as JSON.
    Dump(Ticket),
    /// An operator requests a part of the state, as JSON.
    Query {
        /// Matches the answer to this event.
        ticket: Ticket,
        /// The requested part.
        query: StateQuery,
    },
    /// The values of the gauge metrics are requested.
    Gauges(Ticket),
    /// The process is to shut down gracefully.
    Stop,
}

/// A part of the state that an operator can request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateQuery {
    /// All VMs and what this member records of each.
    Vms,
    /// The whole configuration.
    Config,
    /// The most recent configuration changes, newest first.
    History,
    /// All profiles, by name.
    Profiles,
    /// All teams, by name.
    Teams,
    /// All keys by identifier, without their secrets.
    Keys,
    /// The profile with this name.
    Profile(Name),
    /// The team with this name.
    Team(Name),
    /// The key with this identifier, without its secret.
    Key(Name),
}

/// The result of a read of the control stream.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadReply {
    /// Time just before the read was sent.
    pub asked: Time,
    /// Offset of the oldest record that the platform retains.
    pub first: u64,
    /// Offset that the next record will get.
    pub tail: u64,
    /// Batches with their offsets, in order; `None` for one that cannot be decoded.
    pub batches: Vec<(u64, Option<Batch>)>,
}

/// A team key as a caller presents it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyProof {
    /// The public identifier of the key.
    pub id: Name,
    /// Hash of the secret.
    pub hash: KeyHash,
}

/// A caller's request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallArrived {
    /// Identifies the request within this entry.
    pub call: CallKey,
    /// The team key, if the request has one.
    pub key: Option<KeyProof>,
    /// Name of the profile.
    pub profile: Name,
    /// The idempotency key, if the request has one.
    pub idem: Option<Name>,
    /// Digest of the method, the path and the idempotency key.
    pub digest: u64,
    /// Time at which the caller stops waiting, if the request states one.
    pub deadline: Option<Time>,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The response was received completely.
    Complete,
    /// The response was received completely and reports a server error (status 500 to 599).
    Failed,
    /// The upstream did not receive the request.
    NotRun(Reason),
    /// The request may have run, or may still run.
    MayHaveRun(Reason),
    /// The response broke off after the caller had received its beginning.
    Cut(Reason),
}

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Name of the VM, unique on the platform.
    pub name: Name,
    /// Address at which the VM accepts requests, as `ip:port`.
    pub addr: Name,
    /// The failure domain that the VM is in.
    pub domain: Name,
    /// The rack that the VM is in.
    pub rack: Name,
    /// Capacity of the VM.
    pub total: Resources,
    /// Whether the VM is about to be removed and accepts no new work.
    pub leaving: bool,
}

/// The state that a worker reports in answer to a sync.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Age of the reported state, in milliseconds.
    pub age_ms: u64,
    /// Number of requests in progress.
    pub requests: u32,
    /// Tasks that run.
    pub running: Vec<RunningTask>,
    /// Tasks that ended and are not acknowledged yet; `true` for those that succeeded.
    pub ended: Vec<(TaskId, bool)>,
}

/// A task that a worker reports as running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The attempt that runs.
    pub id: TaskId,
    /// The team that the task runs for.
    pub team: Name,
    /// Resources of the task.
    pub size: Resources,
}
