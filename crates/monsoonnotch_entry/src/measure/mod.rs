//! The metrics of a process; the catalogue is docs/METRICS.md.
//!
//! Counters grow where things happen. Gauges are read from the control thread
//! when the metrics are asked for, so they cost nothing between scrapes.

mod count;
mod gauges;

use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

pub use self::count::record_effect;
pub use self::count::record_event;
pub use self::count::record_notice;
pub use self::count::record_problem;
pub use self::gauges::publish;

/// Bounds of the histogram of waiting time, in seconds.
const WAIT_BUCKETS_S: [f64; 11] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// Requests written to upstreams, or about to be.
pub const DISPATCHES: &str = "monsoonnotch_dispatches_total";
/// Ends of dispatched requests.
pub const DISPATCH_ENDS: &str = "monsoonnotch_dispatch_ends_total";
/// Refusals of waiting or new requests by the control thread.
pub const CALL_REFUSALS: &str = "monsoonnotch_call_refusals_total";
/// Problem documents sent.
pub const PROBLEMS: &str = "monsoonnotch_problems_total";
/// Time from arrival to dispatch.
pub const WAIT_SECONDS: &str = "monsoonnotch_wait_seconds";
/// Answers of workers to starts of tasks.
pub const TASK_STARTS: &str = "monsoonnotch_task_starts_total";
/// Syncs that a worker did not answer.
pub const SYNC_FAILURES: &str = "monsoonnotch_sync_failures_total";
/// Appends to the control stream.
pub const CONTROL_APPENDS: &str = "monsoonnotch_control_appends_total";
/// Appends to the own journal.
pub const JOURNAL_APPENDS: &str = "monsoonnotch_journal_appends_total";
/// Exchanges with the log that failed.
pub const LOG_FAILURES: &str = "monsoonnotch_log_failures_total";
/// Bytes appended to the log.
pub const LOG_BYTES: &str = "monsoonnotch_log_bytes_total";
/// Bytes sent to peers.
pub const PEER_BYTES: &str = "monsoonnotch_peer_bytes_total";
/// Messages of peers dropped because too many waited.
pub const PEER_MESSAGES_DROPPED: &str = "monsoonnotch_peer_messages_dropped_total";
/// Numbered events.
pub const EVENTS: &str = "monsoonnotch_events_total";
/// Evictions of other members.
pub const EVICTIONS: &str = "monsoonnotch_evictions_total";
/// Broken invariants.
pub const BROKEN_INVARIANTS: &str = "monsoonnotch_broken_invariants_total";
/// Whether the process may start work.
pub const CERTAIN: &str = "monsoonnotch_certain";
/// Whether the log cannot be reached.
pub const LOG_UNAVAILABLE: &str = "monsoonnotch_log_dark";
/// Whether a graceful shutdown has begun.
pub const STOPPING: &str = "monsoonnotch_stopping";
/// Whether the balancer may send requests here.
pub const READY: &str = "monsoonnotch_ready";
/// Offset of the next record of the control stream.
pub const CONTROL_OFFSET: &str = "monsoonnotch_control_offset";
/// Present members.
pub const MEMBERS: &str = "monsoonnotch_members";
/// Requests that wait for a slot.
pub const WAITING_REQUESTS: &str = "monsoonnotch_waiting_requests";
/// Requests without a final answer.
pub const OPEN_REQUESTS: &str = "monsoonnotch_open_requests";
/// Slots granted to peers.
pub const GRANTED_SLOTS: &str = "monsoonnotch_granted_slots";
/// Free slots.
pub const FREE_SLOTS: &str = "monsoonnotch_free_slots";
/// Held workers.
pub const HELD_WORKERS: &str = "monsoonnotch_held_workers";
/// Held workers put aside.
pub const QUARANTINED_WORKERS: &str = "monsoonnotch_aside_workers";
/// Slots of requests whose end is unknown.
pub const UNCERTAIN_SLOTS: &str = "monsoonnotch_doubtful_slots";
/// Tasks on held workers.
pub const TASKS: &str = "monsoonnotch_tasks";
/// Jobs whose home is here.
pub const JOBS: &str = "monsoonnotch_jobs";
/// A team's requests and tasks on held workers.
pub const TEAM_USED: &str = "monsoonnotch_team_used";
/// This process's part of a team's limit.
pub const TEAM_ALLOTMENT: &str = "monsoonnotch_team_allotment";
/// A team's limit.
pub const TEAM_LIMIT: &str = "monsoonnotch_team_limit";

/// What a metric counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It only grows.
    Counter,
    /// It goes up and down.
    Gauge,
    /// It sorts values into ranges.
    Histogram,
}

impl Kind {
    /// The text in the catalogue.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// A metric as the catalogue lists it.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// Its name.
    pub name: &'static str,
    /// What it counts.
    pub kind: Kind,
    /// Names of its labels, separated by blanks.
    pub labels: &'static str,
    /// What it says.
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

/// Every metric there is.
pub const CATALOGUE: &[Metric] = &[
    counter(
        DISPATCHES,
        "",
        "Requests sent on to an upstream, each attempt counted.",
    ),
    counter(
        DISPATCH_ENDS,
        "end reason",
        "Ends of dispatched requests: complete, failed, not_run, may_have_run or cut.",
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
    counter(JOURNAL_APPENDS, "", "Appends to the own journal."),
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
        "Messages of peers dropped because too many waited.",
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
        "Broken invariants; any at all is a fault.",
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
        "Requests of own callers without a final answer.",
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
        "Held workers put aside because they fail what they start.",
    ),
    gauge(
        UNCERTAIN_SLOTS,
        "",
        "Slots of requests whose end is unknown.",
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

/// Sets up the metrics of the process; only the first call in a process does.
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
