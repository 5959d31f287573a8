//! Prometheus metrics of the process; docs/METRICS.md lists them.
//!
//! Counters are incremented where the events occur. Gauges are queried from the control thread
//! when the metrics are scraped, so they cost nothing between scrapes.

mod count;
mod gauges;

use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

pub use self::count::record_effect;
pub use self::count::record_event;
pub use self::count::record_limited_client;
pub use self::count::record_notice;
pub use self::count::record_problem;
pub use self::gauges::publish;

/// Bucket bounds of the wait time histogram, in seconds.
const WAIT_BUCKETS_S: [f64; 11] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// Counter of dispatches to upstreams.
pub const DISPATCHES: &str = "monsoonnotch_dispatches_total";
/// Counter of outcomes of dispatched requests.
pub const DISPATCH_ENDS: &str = "monsoonnotch_dispatch_ends_total";
/// Counter of requests refused by the control thread.
pub const CALL_REFUSALS: &str = "monsoonnotch_call_refusals_total";
/// Counter of problem documents sent on either listener.
pub const PROBLEMS: &str = "monsoonnotch_problems_total";
/// Counter of clients that were limited, by listener and cause.
pub const LIMITED_CLIENTS: &str = "monsoonnotch_limited_clients_total";
/// Histogram of the time from the arrival of a request to its dispatch, in seconds.
pub const WAIT_SECONDS: &str = "monsoonnotch_wait_seconds";
/// Counter of task starts that a worker answered or failed to answer.
pub const TASK_STARTS: &str = "monsoonnotch_task_starts_total";
/// Counter of syncs that a worker did not answer.
pub const SYNC_FAILURES: &str = "monsoonnotch_sync_failures_total";
/// Counter of appends to the control stream.
pub const CONTROL_APPENDS: &str = "monsoonnotch_control_appends_total";
/// Counter of appends to the journal of this member.
pub const JOURNAL_APPENDS: &str = "monsoonnotch_journal_appends_total";
/// Counter of reads and appends of the log that failed or timed out.
pub const LOG_FAILURES: &str = "monsoonnotch_log_failures_total";
/// Counter of bytes appended to the log.
pub const LOG_BYTES: &str = "monsoonnotch_log_bytes_total";
/// Counter of bytes sent to peers.
pub const PEER_BYTES: &str = "monsoonnotch_peer_bytes_total";
/// Counter of messages of peers that were dropped because too many were queued.
pub const PEER_MESSAGES_DROPPED: &str = "monsoonnotch_peer_messages_dropped_total";
/// Counter of logged notices, by their event numbers.
pub const EVENTS: &str = "monsoonnotch_events_total";
/// Counter of observed evictions of members, including this one.
pub const EVICTIONS: &str = "monsoonnotch_evictions_total";
/// Counter of broken invariants.
pub const BROKEN_INVARIANTS: &str = "monsoonnotch_broken_invariants_total";
/// Gauge that is 1 while the process may start work, else 0.
pub const CERTAIN: &str = "monsoonnotch_certain";
/// Gauge that is 1 while the log cannot be reached, else 0.
pub const LOG_UNAVAILABLE: &str = "monsoonnotch_log_dark";
/// Gauge that is 1 once a graceful shutdown has begun, else 0.
pub const STOPPING: &str = "monsoonnotch_stopping";
/// Gauge that is 1 while the load balancer may send requests to this entry, else 0.
pub const READY: &str = "monsoonnotch_ready";
/// Gauge of the offset of the next record of the control stream.
pub const CONTROL_OFFSET: &str = "monsoonnotch_control_offset";
/// Gauge of the current members, including this one.
pub const MEMBERS: &str = "monsoonnotch_members";
/// Gauge of the requests that wait for a slot.
pub const WAITING_REQUESTS: &str = "monsoonnotch_waiting_requests";
/// Gauge of the requests of this entry's callers without a final response.
pub const OPEN_REQUESTS: &str = "monsoonnotch_open_requests";
/// Gauge of the slots that are granted to peers and not returned.
pub const GRANTED_SLOTS: &str = "monsoonnotch_granted_slots";
/// Gauge of the free slots on held workers that accept work.
pub const FREE_SLOTS: &str = "monsoonnotch_free_slots";
/// Gauge of the workers that this process holds.
pub const HELD_WORKERS: &str = "monsoonnotch_held_workers";
/// Gauge of the held workers that are quarantined.
pub const QUARANTINED_WORKERS: &str = "monsoonnotch_aside_workers";
/// Gauge of the slots of requests whose outcome is unknown.
pub const UNCERTAIN_SLOTS: &str = "monsoonnotch_doubtful_slots";
/// Gauge of the tasks on held workers.
pub const TASKS: &str = "monsoonnotch_tasks";
/// Gauge of the jobs whose home is this process.
pub const JOBS: &str = "monsoonnotch_jobs";
/// Gauge of a team's requests and tasks on held workers.
pub const TEAM_USED: &str = "monsoonnotch_team_used";
/// Gauge of the part of a team's limit that is allotted to this process.
pub const TEAM_ALLOTMENT: &str = "monsoonnotch_team_allotment";
/// Gauge of a team's limit.
pub const TEAM_LIMIT: &str = "monsoonnotch_team_limit";

/// The type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A value that only increases.
    Counter,
    /// A value that increases and decreases.
    Gauge,
    /// Counts of values by bucket.
    Histogram,
}

impl Kind {
    /// Returns the lowercase name that docs/METRICS.md uses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// The description of a metric.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// The name under which the metric is exported.
    pub name: &'static str,
    /// The type of the metric.
    pub kind: Kind,
    /// The names of its labels, separated by spaces; empty when it has none.
    pub labels: &'static str,
    /// The help text, which docs/METRICS.md repeats.
    pub help: &'static str,
}

const fn counter(name: &'static str, labels: &'static str, help: &'static str) -> Metric {
    let kind = Kind::Counter;
    Metric {
        name,
        kind,
        labels,
        help,
    }
}

const fn gauge(name: &'static str, labels: &'static str, help: &'static str) -> Metric {
    let kind = Kind::Gauge;
    Metric {
        name,
        kind,
        labels,
        help,
    }
}

const fn histogram(name: &'static str, labels: &'static str, help: &'static str) -> Metric {
    let kind = Kind::Histogram;
    Metric {
        name,
        kind,
        labels,
        help,
    }
}

/// All metrics of the process, in the order of docs/METRICS.md.
pub const CATALOGUE: &[Metric] = &[
    counter(
        DISPATCHES,
        "",
        "Requests sent on to an upstream, each attempt counted.",
    ),
    counter(
        DISPATCH_ENDS,
        "end reason",
        "Outcomes of dispatched requests: complete, failed, not_run, may_have_run or cut.",
    ),
    counter(
        CALL_REFUSALS,
        "verdict reason",
        "Requests that got a refusal as their final answer.",
    ),
    counter(
        PROBLEMS,
        "verdict reason",
        "Problem documents sent on either listener, malformed requests included.",
    ),
    counter(
        LIMITED_CLIENTS,
        "listener cause",
        "Requests refused and connections closed because of what clients send, or for want of room.",
    ),
    histogram(
        WAIT_SECONDS,
        "",
        "Seconds from the arrival of a request to its dispatch.",
    ),
    counter(
        TASK_STARTS,
        "verdict",
        "Starts of tasks that a worker answered or failed to answer.",
    ),
    counter(SYNC_FAILURES, "", "Syncs that a worker did not answer."),
    counter(CONTROL_APPENDS, "", "Appends to the control stream."),
    counter(
        JOURNAL_APPENDS,
        "",
        "Appends to the journal of this process.",
    ),
    counter(
        LOG_FAILURES,
        "stream",
        "Reads and appends that failed or got no reply.",
    ),
    counter(LOG_BYTES, "", "Bytes appended to the log."),
    counter(PEER_BYTES, "", "Bytes sent to peers."),
    counter(
        PEER_MESSAGES_DROPPED,
        "",
        "Messages of peers dropped because too many were queued.",
    ),
    counter(EVENTS, "event", "Numbered events logged."),
    counter(
        EVICTIONS,
        "",
        "Members seen to be evicted, this one included.",
    ),
    counter(
        BROKEN_INVARIANTS,
        "",
        "Broken invariants; any value above 0 is a fault.",
    ),
    gauge(CERTAIN, "", "1 while the process may start work."),
    gauge(LOG_UNAVAILABLE, "", "1 while the log cannot be reached."),
    gauge(STOPPING, "", "1 once a graceful shutdown has begun."),
    gauge(READY, "", "1 while the balancer may send requests here."),
    gauge(
        CONTROL_OFFSET,
        "",
        "Offset of the next record of the control stream.",
    ),
    gauge(MEMBERS, "", "Present members, this one included."),
    gauge(WAITING_REQUESTS, "", "Requests that wait for a slot."),
    gauge(
        OPEN_REQUESTS,
        "",
        "Requests of this process's callers without a final response.",
    ),
    gauge(
        GRANTED_SLOTS,
        "",
        "Slots granted to peers and not returned.",
    ),
    gauge(FREE_SLOTS, "", "Free slots on held workers that take work."),
    gauge(HELD_WORKERS, "", "Workers that this process holds."),
    gauge(
        QUARANTINED_WORKERS,
        "",
        "Held workers that are quarantined because the work they start fails.",
    ),
    gauge(
        UNCERTAIN_SLOTS,
        "",
        "Slots of requests whose outcome is unknown.",
    ),
    gauge(TASKS, "", "Tasks on held workers."),
    gauge(JOBS, "", "Jobs whose home is this process."),
    gauge(
        TEAM_USED,
        "team",
        "Requests and tasks of a team on held workers.",
    ),
    gauge(
        TEAM_ALLOTMENT,
        "team",
        "This process's part of the team's limit.",
    ),
    gauge(TEAM_LIMIT, "team", "The team's limit."),
];

/// Installs the metrics recorder of the process.
///
/// Returns `None` when a recorder is already installed.
pub fn set_up() -> Option<PrometheusHandle> {
    let wait_matcher = Matcher::Full(WAIT_SECONDS.to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(wait_matcher, &WAIT_BUCKETS_S);
    let handle = builder.ok()?.install_recorder().ok()?;
    for m in CATALOGUE {
        describe(m);
    }
    Some(handle)
}

fn describe(m: &Metric) {
    match m.kind {
        Kind::Counter => metrics::describe_counter!(m.name, m.help),
        Kind::Gauge => metrics::describe_gauge!(m.name, m.help),
        Kind::Histogram => metrics::describe_histogram!(m.name, m.help),
    }
}
