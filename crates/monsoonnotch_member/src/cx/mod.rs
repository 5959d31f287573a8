//! What the tasks of a member share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use monsoonnotch_adapter::http_client::HttpClient;
use monsoonnotch_adapter::store::Store;
use monsoonnotch_adapter::vms::VmClient;
use monsoonnotch_entry::clock::Clock;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::site::PublishedConfig;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::control::Inbox;
use crate::links::Fate;
use crate::links::Frame;
use crate::requests::submit::Pending;
use crate::settings::Settings;

/// The lane and link of the holder's own process.
pub(crate) const OWN: u64 = 0;

/// The record by which a member claims the jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// The member's name.
    pub(crate) name: CompactString,
    /// Where other members reach it.
    pub(crate) addr: CompactString,
    /// A number that is new with each start of its process.
    pub(crate) boot: u64,
}

/// The newest claim and the token that it gives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Held {
    pub(crate) token: u64,
    pub(crate) claim: Claim,
}

/// Whether the store answers this process.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    failing_since: Option<Instant>,
    last_answer: Option<Instant>,
    /// Until when the store is taken to be slow.
    slow_until: Option<Instant>,
}

/// What the tasks of a member share.
#[derive(Debug)]
pub(crate) struct Cx {
    pub(crate) settings: Settings,
    pub(crate) boot: u64,
    pub(crate) clock: Clock,
    pub(crate) http: HttpClient,
    pub(crate) store: Store,
    pub(crate) vm_client: VmClient,
    pub(crate) control: Inbox,
    pub(crate) site: watch::Sender<Option<Arc<PublishedConfig>>>,
    pub(crate) held: watch::Sender<Option<Held>>,
    pub(crate) stopping: watch::Sender<bool>,
    health: Mutex<StoreHealth>,
    /// The configuration in force, as published.
    pub(crate) config_bytes: Mutex<Vec<u8>>,
    /// Links of other members, while this one holds the jobs.
    pub(crate) guests: Mutex<BTreeMap<u64, mpsc::Sender<Frame>>>,
    /// The link to the holder, while another member is.
    pub(crate) host: Mutex<Option<mpsc::Sender<Frame>>>,
    /// Whether the store answers the holder, as it last said.
    pub(crate) host_has_store: AtomicBool,
    /// Where some other members can be reached, as holders have told.
    pub(crate) peers: Mutex<BTreeSet<CompactString>>,
    /// Where records go that callers hand in.
    pub(crate) submit: mpsc::UnboundedSender<Pending>,
    /// Callers' questions to the holder.
    pub(crate) queries: Questions<Answer>,
    /// Records that the holder stores for this member.
    pub(crate) fates: Questions<Fate>,
    /// Calls that have no answer yet.
    pub(crate) open_calls: AtomicU64,
    /// The highest token that this process held and gave up.
    pub(crate) given_up: AtomicU64,
}

impl Cx {
    pub(crate) fn new(
        settings: Settings,
        control: Inbox,
        submit: mpsc::UnboundedSender<Pending>,
    ) -> Self {
        let http = HttpClient::default();
        Self {
            store: Store::new(&settings.services.store.to_string(), http.clone()),
            vm_client: VmClient::new(http.clone()),
            http,
            settings,
            boot: rand::random(),
            clock: Clock::default(),
            control,
            site: watch::Sender::new(None),
            held: watch::Sender::new(None),
            stopping: watch::Sender::new(false),
            health: Mutex::default(),
            config_bytes: Mutex::default(),
            guests: Mutex::default(),
            host: Mutex::default(),
            host_has_store: AtomicBool::new(true),
            peers: Mutex::default(),
            submit,
            queries: Questions::default(),
            fates: Questions::default(),
            open_calls: AtomicU64::new(0),
            given_up: AtomicU64::new(0),
        }
    }

    /// The newest claim, if it is this process's own.
    pub(crate) fn own_token(&self) -> Option<u64> {
        let held = self.held.borrow();
        let own = held.as_ref().filter(|h| h.claim.boot == self.boot);
        own.map(|h| h.token)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Notes whether a call to the store was answered.
    pub(crate) fn store_answered(&self, ok: bool) {
        let mut health = lock(&self.health);
        let was = health.failing_since;
        if ok {
            health.failing_since = None;
            health.last_answer = Some(Instant::now());
        } else {
            health.failing_since.get_or_insert_with(Instant::now);
        }
        drop(health);
        match (was, ok) {
            (None, false) => log::warn!(event = "store lost"; "the store does not answer"),
            (Some(since), true) => {
                let ms = since.elapsed().as_millis() as u64;
                log::info!(event = "store regained", lost_ms = ms; "the store answers again");
            }
            _ => {}
        }
    }

    /// How long the store has not answered; zero while it does.
    pub(crate) fn store_lost_for(&self) -> Duration {
        let since = lock(&self.health).failing_since;
        since.map_or(Duration::ZERO, |s| s.elapsed())
    }

    /// Whether the store answered within a time.
    pub(crate) fn store_answered_within(&self, span: Duration) -> bool {
        let last = lock(&self.health).last_answer;
        last.is_some_and(|at| at.elapsed() <= span)
    }

    /// Notes that the store was slow; it is taken to be so for a while.
    pub(crate) fn store_was_slow(&self, span: Duration) {
        let was = lock(&self.health).slow_until.replace(Instant::now() + span);
        if was.is_none_or(|until| until < Instant::now()) {
            log::warn!(event = "store slow"; "the store is slow; the holder appends for this member");
        }
    }

    /// Whether the store is taken to be slow.
    pub(crate) fn store_is_slow(&self) -> bool {
        let until = lock(&self.health).slow_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    /// How long a read may wait: not at all while the store does not answer, so
    /// that its return shows at once.
    pub(crate) fn store_wait(&self, wait: Duration) -> Duration {
        match self.store_lost_for().is_zero() {
            true => wait,
            false => Duration::ZERO,
        }
    }

    /// Sends a frame to the link of a guest; false when there is none.
    pub(crate) fn to_guest(&self, lane: ApprovalSlotKey, frame: Frame) -> bool {
        let guests = lock(&self.guests);
        guests
            .get(&lane.0)
            .is_some_and(|tx| tx.try_send(frame).is_ok())
    }
}

/// Questions that have no answer yet, by number.
#[derive(Debug)]
pub(crate) struct Questions<T> {
    open: Mutex<BTreeMap<u64, oneshot::Sender<T>>>,
    next: AtomicU64,
}

impl<T> Default for Questions<T> {
    fn default() -> Self {
        Self {
            open: Mutex::default(),
            next: AtomicU64::new(1),
        }
    }
}

impl<T> Questions<T> {
    /// Registers a question; its answer comes on the channel.
    pub(crate) fn ask(&self) -> (u64, oneshot::Receiver<T>) {
        let seq = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.open).insert(seq, tx);
        (seq, rx)
    }

    /// Hands an answer to whoever asked.
    pub(crate) fn answer(&self, seq: u64, answer: T) {
        if let Some(tx) = lock(&self.open).remove(&seq) {
            // Whoever asked may have given up.
            let _ = tx.send(answer);
        }
    }

    /// Forgets a question that nobody waits for.
    pub(crate) fn forget(&self, seq: u64) {
        lock(&self.open).remove(&seq);
    }
}

/// Locks a mutex whose holders never panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
