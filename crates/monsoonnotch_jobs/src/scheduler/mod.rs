//! The reducer: one event and the time go in, effects come out.
//!
//! A task is *waiting*, or has one *run*. A run takes room on its VM and counts
//! against its account's limit from before its start is sent until it is
//! certain that it neither runs nor will: its end was listed, its start was
//! refused, a stop was answered and a later look does not show it, or every
//! lease under which it could run has lapsed.

mod approve;
mod ends;
mod flush;
mod fold;
mod former;
mod gang;
mod job;
mod looks;
mod make_room;
mod place;
mod requests;
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
const PLACE_PAUSE: Duration = Duration::from_millis(2);
/// Stages in line for each pause.
const PLACE_LINE: u64 = 16;
/// Pause between passes of placement without any event: about the shortest of
/// the pauses that end by time alone.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between scans for what is due.
const SCAN_PAUSE: Duration = Duration::from_millis(40);

/// The scheduler of all jobs, while this member holds them.
#[derive(Debug)]
pub struct Scheduler {
    tuning: Tuning,
    site: Arc<PublishedConfig>,
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
    by_id: BTreeMap<JobId, JobKey>,
    /// Jobs whose cancelling came before them.
    cancelled_first: BTreeSet<JobId>,
    /// Jobs that have not ended.
    open: BTreeSet<JobKey>,
    vms: Arena<VmKey, vms::Vm>,
    vm_ids: BTreeMap<CompactString, VmKey>,
    runs: BTreeMap<RunKey, runs::Run>,
    next_run: u64,
    /// What waits of each account's urgent work.
    urgent_waits: BTreeMap<CompactString, Resources>,
    /// What may run of each account where no look has reached.
    unseen: BTreeMap<CompactString, Resources>,
    usage: BTreeMap<CompactString, Resources>,
    rates: BTreeMap<CompactString, fold::Rate>,
    ready: BTreeSet<(job::Rank, StageKey)>,
    asks: approve::Asks,
    flush: flush::Flush,
    learnt: BTreeMap<CompactString, job::Learnt>,
    /// Orders that VMs left unanswered.
    muted: looks::Muted,
    next_scan: Time,
    next_place: Time,
    next_retry: Time,
    /// Whether something changed that may let a waiting task start.
    changed: bool,
    /// Whether another holder was seen; nothing is decided any more.
    over: bool,
    fx: Vec<Effect>,
}

impl Scheduler {
    /// A holder with a token that the store has just given.
    ///
    /// `settle_at` is when every lease that a former holder renewed has lapsed.
    pub fn new(token: u64, tuning: Tuning, site: Arc<PublishedConfig>, settle_at: Time) -> Self {
        Self {
            tuning,
            site,
            settle_at,
            now: Time::default(),
            unix_ms: 0,
            token,
            marker: None,
            read_to: 0,
            jobs: Arena::default(),
            by_id: BTreeMap::new(),
            cancelled_first: BTreeSet::new(),
            open: BTreeSet::new(),
            vms: Arena::default(),
            vm_ids: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            urgent_waits: BTreeMap::new(),
            unseen: BTreeMap::new(),
            usage: BTreeMap::new(),
            rates: BTreeMap::new(),
            ready: BTreeSet::new(),
            asks: approve::Asks::default(),
            flush: flush::Flush::default(),
            learnt: BTreeMap::new(),
            muted: looks::Muted::default(),
            next_scan: Time::default(),
            next_place: Time::default(),
            next_retry: Time::default(),
            changed: false,
            over: false,
            fx: Vec::new(),
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
            Event::Config(site) => {
                self.site = site;
                self.changed = true;
            }
            Event::Journal(records) => self.read_on(records),
            // Before the journal was read, what is handed in may not be the newest.
            Event::RecordsStored(records) if self.marker.is_some() => self.fold(records),
            Event::RecordsStored(_) => {}
            Event::CaughtUp { marker } => self.caught_up(marker),
            Event::Vms(entries) => self.vms_changed(entries),
            Event::AllVms(reports) => self.vms_listed(reports),
            Event::Polled { key, answer } => self.looked(key, answer),
            Event::Started { run, answer } => self.start_answered(run, answer),
            Event::Stopped { run, answer } => self.stop_answered(run, answer),
            Event::Approved { key, allowed } => self.approved(key, allowed),
            Event::Appended { stored } => self.appended(stored),
            Event::ApprovalSlotUp(lane) => self.asks.lane_up(lane),
            Event::ApprovalSlotDown(lane) => self.asks.lane_down(lane),
            Event::Query { key, query } => self.answer(key, &query),
        }
    }

    /// Decides what follows from the events taken in so far.
    pub fn decide(&mut self, now: Time, unix_ms: u64) -> Vec<Effect> {
        self.now = now;
        self.unix_ms = unix_ms;
        if !self.over && self.marker.is_some() {
            if now >= self.next_scan {
                self.next_scan = now + SCAN_PAUSE;
                self.scan();
            }
            if self.changed && now >= self.next_place {
                self.changed = false;
                let line = u64::try_from(self.ready.len()).unwrap_or(0);
                self.next_place = now + PLACE_PAUSE.times(line / PLACE_LINE);
                self.place_all();
            }
            self.flush_progress();
        }
        std::mem::take(&mut self.fx)
    }

    /// When [`Self::decide`] wants to be called next without any event.
    pub fn wake_at(&self) -> Time {
        match self.changed {
            true => self.next_scan.min(self.next_place),
            false => self.next_scan,
        }
    }

    /// What is due by time alone.
    fn scan(&mut self) {
        // What waits for a time alone (a gang that broke, a VM put aside, the pause
        // between calls for approval) brings no event.
        if self.now >= self.next_retry {
            self.next_retry = self.now + RETRY_PAUSE;
            self.changed |= !self.ready.is_empty();
        }
        self.scan_vms();
        self.look_beside();
        self.scan_runs();
        self.scan_jobs();
        self.rank_again();
        self.scan_asks();
        self.make_room();
    }

    fn step_down(&mut self) {
        if !self.over {
            self.over = true;
            self.fx.push(Effect::StepDown);
        }
    }

    fn note(&mut self, job: u64, event: &'static str, detail: String) {
        self.fx.push(Effect::Log(LogEntry { job, event, detail }));
    }
}
