//! The reducer: one event and the time go in, effects come out.
//!
//! A task is *waiting*, or has one *run*. A run takes room on its VM and counts
//! against its account's limit from before its start is sent until it is
//! certain that it neither runs nor will: its end was listed, its start was
//! refused, a stop was answered and a later look does not show it, or every
//! lease under which it could run has lapsed.

mod approvals;
mod completions;
mod drain;
mod flush;
mod gang;
mod job;
mod placement;
mod polls;
mod predecessor;
mod queries;
mod replay;
mod runs;
mod starts;
mod stops;
mod vms;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::effect::LogEntry;
use crate::prelude::*;

pub use self::job::JobKey;
pub use self::job::StageKey;
pub use self::runs::RunKey;

/// Pause between passes of placement for each so many stages in line: a long
/// line makes a pass dear, and what it waits for comes no sooner by more passes.
const PLACEMENT_PAUSE: Duration = Duration::from_millis(2);
/// Stages in line for each pause.
const STAGES_PER_PLACEMENT_PAUSE: u64 = 16;
/// Pause between passes of placement without any event: about the shortest of
/// the pauses that end by time alone.
const PLACEMENT_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between scans for what is due.
const SCAN_INTERVAL: Duration = Duration::from_millis(40);

/// The scheduler of all jobs, while this member holds them.
#[derive(Debug)]
pub struct Scheduler {
    tuning: Tuning,
    config: Arc<PublishedConfig>,
    now: Time,
    unix_ms: u64,
    token: u64,
    /// Offset of the first record under this token.
    marker: Option<u64>,
    /// Offset of the next record of the journal to be read.
    read_to: u64,
    /// When every lease of a former holder has lapsed.
    settle_at: Time,
    jobs: Arena<JobKey, job::Job>,
    jobs_by_id: BTreeMap<JobId, JobKey>,
    /// Jobs whose cancelling came before them.
    cancelled_before_submission: BTreeSet<JobId>,
    /// Jobs that have not ended.
    open_jobs: BTreeSet<JobKey>,
    vms: Arena<VmKey, vms::Vm>,
    vms_by_id: BTreeMap<CompactString, VmKey>,
    runs: BTreeMap<RunKey, runs::Run>,
    next_run: u64,
    /// What waits of each account's urgent work.
    urgent_demand: BTreeMap<CompactString, Resources>,
    /// What may run of each account where no look has reached.
    uncertain_usage: BTreeMap<CompactString, Resources>,
    usage: BTreeMap<CompactString, Resources>,
    share_buckets: BTreeMap<CompactString, replay::ShareBucket>,
    ready_queue: BTreeSet<(job::Rank, StageKey)>,
    approval_requests: approvals::ApprovalRequests,
    flush: flush::Flush,
    queue_stats: BTreeMap<CompactString, job::QueueStats>,
    /// Orders that VMs left unanswered.
    unanswered_orders: polls::UnansweredRate,
    next_scan: Time,
    next_placement: Time,
    next_retry: Time,
    /// Whether something changed that may let a waiting task start.
    placement_needed: bool,
    /// Whether another holder was seen; nothing is decided any more.
    stopped: bool,
    effects: Vec<Effect>,
}

impl Scheduler {
    /// A holder with a token that the store has just given.
    ///
    /// `settle_at` is when every lease that a former holder renewed has lapsed.
    pub fn new(token: u64, tuning: Tuning, config: Arc<PublishedConfig>, settle_at: Time) -> Self {
        Self {
            tuning,
            config,
            settle_at,
            now: Time::default(),
            unix_ms: 0,
            token,
            marker: None,
            read_to: 0,
            jobs: Arena::default(),
            jobs_by_id: BTreeMap::new(),
            cancelled_before_submission: BTreeSet::new(),
            open_jobs: BTreeSet::new(),
            vms: Arena::default(),
            vms_by_id: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            urgent_demand: BTreeMap::new(),
            uncertain_usage: BTreeMap::new(),
            usage: BTreeMap::new(),
            share_buckets: BTreeMap::new(),
            ready_queue: BTreeSet::new(),
            approval_requests: approvals::ApprovalRequests::default(),
            flush: flush::Flush::default(),
            queue_stats: BTreeMap::new(),
            unanswered_orders: polls::UnansweredRate::default(),
            next_scan: Time::default(),
            next_placement: Time::default(),
            next_retry: Time::default(),
            placement_needed: false,
            stopped: false,
            effects: Vec::new(),
        }
    }

    /// The token under which this holder gives orders.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Takes in one event; effects follow from [`Self::decide`].
    pub fn handle(&mut self, event: Event, now: Time, unix_ms: u64) {
        self.now = now;
        self.unix_ms = unix_ms;
        match event {
            Event::Config(config) => {
                self.config = config;
                self.placement_needed = true;
            }
            Event::Journal(records) => self.replay(records),
            // Before the journal was read, what is handed in may not be the newest.
            Event::RecordsStored(records) if self.marker.is_some() => self.apply(records),
            Event::RecordsStored(_) => {}
            Event::CaughtUp { marker } => self.caught_up(marker),
            Event::Vms(entries) => self.apply_vm_changes(entries),
            Event::AllVms(reports) => self.apply_vm_list(reports),
            Event::Polled { key, answer } => self.poll_answered(key, answer),
            Event::Started { run, answer } => self.start_answered(run, answer),
            Event::Stopped { run, answer } => self.stop_answered(run, answer),
            Event::Approved { key, allowed } => self.approval_answered(key, allowed),
            Event::Appended { stored } => self.appended(stored),
            Event::ApprovalSlotUp(slot) => self.approval_requests.add_slot(slot),
            Event::ApprovalSlotDown(slot) => self.approval_requests.remove_slot(slot),
            Event::Query { key, query } => self.answer_query(key, &query),
        }
    }

    /// Decides what follows from the events taken in so far.
    pub fn decide(&mut self, now: Time, unix_ms: u64) -> Vec<Effect> {
        self.now = now;
        self.unix_ms = unix_ms;
        if !self.stopped && self.marker.is_some() {
            if now >= self.next_scan {
                self.next_scan = now + SCAN_INTERVAL;
                self.scan();
            }
            if self.placement_needed && now >= self.next_placement {
                self.placement_needed = false;
                let line = u64::try_from(self.ready_queue.len()).unwrap_or(0);
                self.next_placement =
                    now + PLACEMENT_PAUSE.times(line / STAGES_PER_PLACEMENT_PAUSE);
                self.place_ready_stages();
            }
            self.flush_progress();
        }
        std::mem::take(&mut self.effects)
    }

    /// When [`Self::decide`] wants to be called next without any event.
    pub fn wake_at(&self) -> Time {
        match self.placement_needed {
            true => self.next_scan.min(self.next_placement),
            false => self.next_scan,
        }
    }

    /// What is due by time alone.
    fn scan(&mut self) {
        // What waits for a time alone (a gang that broke, a VM put aside, the pause
        // between calls for approval) brings no event.
        if self.now >= self.next_retry {
            self.next_retry = self.now + PLACEMENT_RETRY_PAUSE;
            self.placement_needed |= !self.ready_queue.is_empty();
        }
        self.scan_vms();
        self.hedge_overdue_polls();
        self.resend_stops();
        self.scan_jobs();
        self.rerank_late_stages();
        self.scan_approval_requests();
        self.drain_leaving_vms();
    }

    fn step_down(&mut self) {
        if !self.stopped {
            self.stopped = true;
            self.effects.push(Effect::StepDown);
        }
    }

    fn log(&mut self, job: u64, event: &'static str, detail: String) {
        self.effects
            .push(Effect::Log(LogEntry { job, event, detail }));
    }
}
