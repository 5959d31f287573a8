//! The state that the tasks of a member share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use monsoonnotch_adapter::http_client::HttpClient;
use monsoonnotch_adapter::store::Store;
use monsoonnotch_adapter::vms::VmClient;
use monsoonnotch_entry::clock::Clock;
use monsoonnotch_jobs::admission::Backlogs;
use monsoonnotch_jobs::delegation::Delegation;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::explanation::Explanation;
use monsoonnotch_jobs::job_room::JobRoom;
use monsoonnotch_jobs::site::PublishedConfig;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::control::Inbox;
use crate::evacuation::Evacuations;
use crate::ingress::Budgets;
use crate::links::Frame;
use crate::links::QueuedFrame;
use crate::links::StoreResult;
use crate::requests::appender::PendingRecord;
use crate::requests::recent::RecentSubmissions;
use crate::settings::Settings;

/// Number of the link and approval slot of the leader's own process; links to followers start
/// at 1.
pub(crate) const LOCAL_LINK: u64 = 0;

/// How long a look at what waits in full pools counts: five of the leader's intervals.
const BACKLOGS_VALID: Duration = Duration::from_millis(1_000);

/// A leadership claim, as stored in the topic of claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Name of the claiming member.
    pub(crate) name: CompactString,
    /// Address for links to the claiming member, as `ip:port`.
    pub(crate) addr: CompactString,
    /// Random number that identifies the claiming process; a restarted member has a new one.
    pub(crate) boot: u64,
    /// Number of VMs of the fleet as the claiming member knew it; zero if it did not.
    #[serde(default)]
    pub(crate) vms: u32,
}

/// A leadership claim and its token. The member with the highest token is the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Leadership {
    /// Offset of the claim plus one.
    pub(crate) token: u64,
    pub(crate) claim: Claim,
}

/// Health of the store as seen by this process.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    /// When the first of the consecutive failures occurred; `None` while requests succeed.
    failing_since: Option<Instant>,
}

/// The state that the tasks of a member share.
#[derive(Debug)]
pub(crate) struct Cx {
    pub(crate) settings: Settings,
    pub(crate) budgets: Budgets,
    /// Random number that identifies this process; a restarted member has a new one.
    pub(crate) boot: u64,
    pub(crate) clock: Clock,
    /// The client for services other than VMs.
    pub(crate) http: HttpClient,
    pub(crate) store: Store,
    pub(crate) vm_client: VmClient,
    pub(crate) control: Inbox,
    /// The configuration in force; `None` until one has been received.
    pub(crate) config: watch::Sender<Option<Arc<PublishedConfig>>>,
    /// The failure domains that operators are evacuating.
    pub(crate) evacuations: watch::Sender<Evacuations>,
    /// What waits in full pools and when it was looked at, while this member is the leader.
    backlogs: Mutex<Option<(Instant, Arc<Backlogs>)>>,
    /// Submissions that this member began to store a short time ago.
    pub(crate) recent_submissions: Mutex<RecentSubmissions>,
    /// The newest leadership claim; `None` until one has been seen.
    pub(crate) leadership: watch::Sender<Option<Leadership>>,
    /// Turns true when shutdown begins.
    pub(crate) stopping: watch::Sender<bool>,
    health: Mutex<StoreHealth>,
    /// The configuration in force, encoded as the operators published it.
    pub(crate) config_bytes: Mutex<Vec<u8>>,
    /// Send queues of the links to followers by link number, while this member is the leader.
    pub(crate) follower_links: Mutex<BTreeMap<u64, mpsc::Sender<Frame>>>,
    /// Orders that followers carry out, while this member is the leader.
    pub(crate) delegation: Mutex<Delegation>,
    /// Send queue of the link to the leader, while another member is the leader.
    pub(crate) leader_link: Mutex<Option<mpsc::Sender<QueuedFrame>>>,
    /// Number of VMs of the fleet, as last heard from a leader or its claim; zero if unknown.
    pub(crate) fleet_vms: AtomicU32,
    /// Mean time of recent appends of this process, in microseconds.
    append_us: AtomicU64,
    /// Whether the leader can reach the store, according to its last heartbeat.
    pub(crate) leader_reaches_store: AtomicBool,
    /// Addresses of some other members, as last received from a leader.
    pub(crate) peer_addrs: Mutex<BTreeSet<CompactString>>,
    /// Room for further jobs in this member's memory, while it is the leader.
    pub(crate) job_room: Mutex<JobRoom>,
    /// Queue of records that callers submit and that are to be stored.
    pub(crate) submissions: mpsc::UnboundedSender<PendingRecord>,
    /// Queries to the leader that are not answered yet.
    pub(crate) queries: PendingRequests<Answer>,
    /// Operators' questions to the leader that are not answered yet.
    pub(crate) questions: PendingRequests<Option<Box<Explanation>>>,
    /// Requests to the leader to store a record for this member.
    pub(crate) store_requests: PendingRequests<StoreResult>,
    /// Number of callers' requests that have no response yet.
    pub(crate) open_requests: AtomicU64,
    /// The highest token that this process has relinquished; zero when there is none.
    pub(crate) relinquished: AtomicU64,
}

impl Cx {
    pub(crate) fn new(
        settings: Settings,
        control: Inbox,
        submissions: mpsc::UnboundedSender<PendingRecord>,
    ) -> Self {
        let http = HttpClient::default();
        Self {
            budgets: Budgets::new(settings.client_limits()),
            store: Store::new(&settings.services.store.to_string(), http.clone()),
            vm_client: VmClient::new(HttpClient::default()),
            http,
            boot: rand::random(),
            clock: Clock::default(),
            control,
            config: watch::Sender::new(None),
            evacuations: watch::Sender::default(),
            backlogs: Mutex::default(),
            recent_submissions: Mutex::default(),
            leadership: watch::Sender::new(None),
            stopping: watch::Sender::new(false),
            health: Mutex::default(),
            config_bytes: Mutex::default(),
            follower_links: Mutex::default(),
            delegation: Mutex::new(Delegation::new(settings.delegation_limits())),
            leader_link: Mutex::default(),
            fleet_vms: AtomicU32::new(0),
            append_us: AtomicU64::new(0),
            leader_reaches_store: AtomicBool::new(true),
            peer_addrs: Mutex::default(),
            job_room: Mutex::new(JobRoom::new(settings.jobs_memory())),
            submissions,
            queries: PendingRequests::default(),
            questions: PendingRequests::default(),
            store_requests: PendingRequests::default(),
            open_requests: AtomicU64::new(0),
            relinquished: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the token of the newest claim if this process made the claim.
    pub(crate) fn own_token(&self) -> Option<u64> {
        let leadership = self.leadership.borrow();
        let own = leadership.as_ref().filter(|h| h.claim.boot == self.boot);
        own.map(|h| h.token)
    }

    /// Waits until a newer claim than that of `token` is observed.
    pub(crate) async fn superseded(&self, token: u64) {
        let mut rx = self.leadership.subscribe();
        let is_newer =
            |newest: &Option<Leadership>| newest.as_ref().is_some_and(|l| l.token > token);
        // The sender lives as long as `self`, so that the wait does not fail.
        let _ = rx.wait_for(is_newer).await;
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Updates the store's health after a request: `ok` tells whether the store responded.
    ///
    /// Logs when the store becomes unavailable and when it responds again.
    pub(crate) fn record_store_result(&self, ok: bool) {
        let mut health = lock(&self.health);
        let was = health.failing_since;
        if ok {
            health.failing_since = None;
        } else {
            health.failing_since.get_or_insert_with(Instant::now);
        }
        drop(health);
        match (was, ok) {
            (None, false) => log::warn!(event = "store lost"; "the store does not respond"),
            (Some(since), true) => {
                let ms = since.elapsed().as_millis() as u64;
                log::info!(event = "store regained", lost_ms = ms; "the store responds again");
            }
            _ => {}
        }
    }

    /// Returns how long the store has been unavailable, or zero while it responds.
    pub(crate) fn store_unavailable_for(&self) -> Duration {
        let since = lock(&self.health).failing_since;
        since.map_or(Duration::ZERO, |s| s.elapsed())
    }

    /// Records the time of an append, also of one that was given up.
    pub(crate) fn record_append_time(&self, took: Duration) {
        let mean = self.append_us.load(Ordering::Relaxed);
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let mean = mean.saturating_mul(2).saturating_add(took_us) / 3;
        self.append_us.store(mean, Ordering::Relaxed);
    }

    /// Returns the mean time of recent appends.
    pub(crate) fn append_time(&self) -> Duration {
        Duration::from_micros(self.append_us.load(Ordering::Relaxed))
    }

    /// Replaces what is known of full pools.
    pub(crate) fn set_backlogs(&self, backlogs: Backlogs) {
        metrics::gauge!("monsoonnotch_full_pools").set(backlogs.pools.len() as f64);
        let known = (!backlogs.is_empty()).then(|| (Instant::now(), Arc::new(backlogs)));
        *lock(&self.backlogs) = known;
    }

    /// Returns what waits in full pools; `None` if none is full or it was looked at long ago.
    pub(crate) fn backlogs(&self) -> Option<Arc<Backlogs>> {
        let known = lock(&self.backlogs).clone();
        let recent = known.filter(|(at, _)| at.elapsed() < BACKLOGS_VALID);
        recent.map(|(_, backlogs)| backlogs)
    }

    /// Returns the number of VMs of the fleet; zero if unknown.
    pub(crate) fn fleet_size(&self) -> usize {
        self.fleet_vms.load(Ordering::Relaxed) as usize
    }

    /// Sets the number of VMs of the fleet, unless it is unknown.
    pub(crate) fn set_fleet_size(&self, vms: usize) {
        if vms > 0 {
            let vms = u32::try_from(vms).unwrap_or(u32::MAX);
            self.fleet_vms.store(vms, Ordering::Relaxed);
        }
    }

    /// Returns how long a read may wait for new records: `wait`, or zero while the store is
    /// unavailable, so that its recovery is noticed at once.
    pub(crate) fn read_wait(&self, wait: Duration) -> Duration {
        match self.store_unavailable_for().is_zero() {
            true => wait,
            false => Duration::ZERO,
        }
    }

    /// Queues a frame on the link to a follower.
    ///
    /// Returns false when the follower has no link or the link's queue is full.
    pub(crate) fn send_to_follower(&self, slot: ApprovalSlotKey, frame: Frame) -> bool {
        let links = lock(&self.follower_links);
        links
            .get(&slot.0)
            .is_some_and(|tx| tx.try_send(frame).is_ok())
    }
}

/// Requests to the leader that have no response yet, by sequence number.
#[derive(Debug)]
pub(crate) struct PendingRequests<T> {
    open: Mutex<BTreeMap<u64, oneshot::Sender<T>>>,
    next: AtomicU64,
}

impl<T> Default for PendingRequests<T> {
    fn default() -> Self {
        Self {
            open: Mutex::default(),
            next: AtomicU64::new(1),
        }
    }
}

impl<T> PendingRequests<T> {
    /// Registers a request, until what this returns is dropped.
    pub(crate) fn register(&self) -> PendingRequest<'_, T> {
        let seq = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, response) = oneshot::channel();
        lock(&self.open).insert(seq, tx);
        PendingRequest {
            requests: self,
            seq,
            response,
        }
    }

    /// Passes the response to the task that waits for request `seq`, if it is still registered.
    pub(crate) fn complete(&self, seq: u64, response: T) {
        if let Some(tx) = lock(&self.open).remove(&seq) {
            // The requester may have stopped waiting.
            let _ = tx.send(response);
        }
    }

    /// Ends all requests, because no responses to them will arrive.
    pub(crate) fn cancel_all(&self) {
        lock(&self.open).clear();
    }
}

/// A request that waits for its response. Dropping it, which a caller that disconnects early causes as
/// well, removes it.
#[derive(Debug)]
pub(crate) struct PendingRequest<'a, T> {
    requests: &'a PendingRequests<T>,
    /// The number of the request.
    pub(crate) seq: u64,
    /// The channel on which the response arrives.
    pub(crate) response: oneshot::Receiver<T>,
}

impl<T> Drop for PendingRequest<'_, T> {
    fn drop(&mut self) {
        lock(&self.requests.open).remove(&self.seq);
    }
}

/// Locks a mutex that cannot be poisoned, because no thread panics while it holds the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds the lock")
}
