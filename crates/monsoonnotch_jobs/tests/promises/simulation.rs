//! A simulated cluster with a virtual clock, and a checker of the invariants.
//!
//! The simulation has VMs, a store, an approval service and members. Several members can
//! act as the leader at the same time, since one with an outdated token continues until
//! it is fenced. Messages may be delayed or lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use compact_str::CompactString;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::time::Time;
use monsoonnotch_jobs::admission::Backlogs;
use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::effect::PollKey;
use monsoonnotch_jobs::effect::StartOrder;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::journal::Submission;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::TaskId;
use monsoonnotch_jobs::scheduler::RunKey;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::site::PublishedConfig;
use monsoonnotch_jobs::tuning::Tuning;
use monsoonnotch_jobs::vm::Registration;
use monsoonnotch_jobs::vm::RunOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::checks::StoredSuccesses;
use crate::faults::Faults;
use crate::link::Link;
use crate::network::Cut;
use crate::network::PollRequest;
use crate::network::Route;
use crate::poison_tasks::Poison;
use crate::uneven::UnevenVms;
use crate::vm::Traits;
use crate::vm::Vm;

/// Time after a successor's claim at which a leader decides nothing any more: the store has
/// not confirmed its token for so long.
const CONFIRMATION_VALID_MS: u64 = 6_000;
/// When a successor counts the leases of its predecessor as expired: after the time above,
/// a lease with the drift of a VM's clock, and an order in transit.
const PREDECESSOR_LEASES: Duration = Duration::from_millis(CONFIRMATION_VALID_MS + 4_120 + 400);
/// Unix time at which the simulation starts, in milliseconds.
pub(crate) const START_UNIX_MS: u64 = 1_700_000_000_000;
/// Largest record that the store takes, in bytes.
pub(crate) const RECORD_BYTES_MAX: usize = 262_144;
/// Largest append that the store takes, in bytes.
const APPEND_BYTES_MAX: usize = 2_097_152;

/// Time within which a published configuration is in force, in milliseconds.
const CONFIG_APPLY_MS: u64 = 2_000;

/// What happens next in the simulation; members are given by their index.
#[derive(Debug)]
pub(crate) enum Msg {
    Start(usize, RunKey, Box<StartOrder>, Route),
    Stop(usize, RunKey, TaskId, u64, Route),
    Poll(usize, PollRequest, Route),
    PollReply(usize, PollKey, Route),
    Event(usize, Event),
    /// The first result of a request, either the answer or its timeout, is delivered.
    Result(usize, u64, Event),
    /// The records before an index of the log are read.
    Journal(usize, usize),
    Append(usize, Vec<KeyedRecord>),
    BeginTerm(usize),
    /// A member learns the published configuration.
    Config(usize),
    /// A member learns which failure domains are evacuated.
    Evacuations(usize),
    /// The VM list learns whether a VM is up, or removes the entry of one that is.
    Register(String, bool),
    /// A crashed VM is back.
    Return(String),
}

pub(crate) struct Member {
    pub(crate) scheduler: Option<Scheduler>,
    pub(crate) token: u64,
    /// Index of the first record of its term.
    marker: u64,
    frozen_until: u64,
    /// Number of records of the log that it has read.
    read_to: usize,
    /// When the record that was read last arrived, or will arrive.
    journal_at: u64,
    /// Until when the store does not answer it.
    store_cut_until: u64,
    /// When the next leader claimed.
    superseded_ms: Option<u64>,
    killed: bool,
}

pub(crate) struct Simulation {
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) faults: Faults,
    pub(crate) site: Arc<PublishedConfig>,
    /// Earlier configurations, and when each was replaced.
    replaced_sites: Vec<(u64, Arc<PublishedConfig>)>,
    pub(crate) vms: BTreeMap<String, Vm>,
    /// The VM list, without the VMs that are not listed.
    vm_list: BTreeMap<String, Registration>,
    pub(crate) members: Vec<Member>,
    pub(crate) queue: BTreeMap<(u64, u64), Msg>,
    seq: u64,
    /// Requests without a result, and the number of the last one.
    pub(crate) open_requests: BTreeSet<u64>,
    pub(crate) last_request: u64,
    pub(crate) cuts: Vec<Cut>,
    /// Start of the incarnation that each member last had a connection to, by VM.
    pub(crate) connected: BTreeMap<(usize, String), u64>,
    pub(crate) log: Vec<KeyedRecord>,
    pub(crate) jobs: BTreeMap<JobId, Submission>,
    pub(crate) cancelled: BTreeSet<JobId>,
    /// Tasks that have succeeded on some VM.
    pub(crate) done: BTreeSet<TaskId>,
    /// Tasks whose success a VM was told to forget.
    pub(crate) acknowledged: BTreeSet<TaskId>,
    /// When the newest run of each task started.
    pub(crate) started_ms: BTreeMap<TaskId, u64>,
    /// What the newest leader says of full pools.
    pub(crate) backlogs: Backlogs,
    /// Whether the store accepts appends.
    pub(crate) store_available: bool,
    /// Size in bytes of the largest record that the store takes; a leader must never exceed it unless the
    /// test lowers it.
    pub(crate) record_bytes_max: usize,
    /// VMs that the newest member cannot reach, and until when.
    pub(crate) unreachable_until: BTreeMap<String, u64>,
    pub(crate) starts: u64,
    /// The link between the members and the VMs.
    pub(crate) link: Link,
    /// The evacuated failure domains, and since when.
    pub(crate) evacuated: BTreeMap<CompactString, u64>,
    /// VMs that run tasks faster or slower than others.
    pub(crate) uneven: UnevenVms,
    /// Tasks that crash the VMs that start them, and what they did.
    pub(crate) poison: Poison,
    /// The time at which each ended job was found to have ended.
    ends: BTreeMap<JobId, u64>,
    checked_to: usize,
    pub(crate) stored_successes: StoredSuccesses,
    pub(crate) tuning: Tuning,
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        site: PublishedConfig,
        vms: Vec<Registration>,
        faults: Faults,
    ) -> Self {
        Self::with_vms(seed, site, vms, Traits::default(), faults)
    }

    pub(crate) fn with_vms(
        seed: u64,
        site: PublishedConfig,
        vms: Vec<Registration>,
        traits: Traits,
        faults: Faults,
    ) -> Self {
        let vm_list = vms.iter().map(|r| (r.id.to_string(), r.clone())).collect();
        let vms = vms
            .into_iter()
            .map(|r| (r.id.to_string(), Vm::new(r, traits)));
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            faults,
            site: Arc::new(site),
            replaced_sites: Vec::new(),
            vms: vms.collect(),
            vm_list,
            members: Vec::new(),
            queue: BTreeMap::new(),
            seq: 0,
            open_requests: BTreeSet::new(),
            last_request: 0,
            cuts: Vec::new(),
            connected: BTreeMap::new(),
            log: Vec::new(),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            done: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            started_ms: BTreeMap::new(),
            backlogs: Backlogs::default(),
            store_available: true,
            record_bytes_max: RECORD_BYTES_MAX,
            unreachable_until: BTreeMap::new(),
            starts: 0,
            link: Link::default(),
            evacuated: BTreeMap::new(),
            uneven: UnevenVms::default(),
            poison: Poison::default(),
            ends: BTreeMap::new(),
            checked_to: 0,
            stored_successes: StoredSuccesses::default(),
            tuning: Tuning::default(),
        }
    }

    fn unix(&self) -> u64 {
        START_UNIX_MS + self.now
    }

    /// Decides whether something with probability `p` happens.
    pub(crate) fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.random_bool(p)
    }

    pub(crate) fn post(&mut self, after: u64, msg: Msg) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), msg);
    }

    /// Makes a new member the leader; earlier leaders continue until they are fenced.
    pub(crate) fn claim(&mut self) {
        let m = self.fence();
        self.begin_term(m);
    }

    /// Makes a new member the leader, which takes `ms` to read the journal.
    pub(crate) fn claim_slowly(&mut self, ms: u64) {
        let m = self.fence();
        self.post(ms, Msg::BeginTerm(m));
    }

    /// Stores a record as an earlier leader would have.
    pub(crate) fn store_earlier(&mut self, record: KeyedRecord) {
        self.log.push(record);
    }

    /// Stores the first record of a new term; returns its member.
    fn fence(&mut self) -> usize {
        let token = self.members.len() as u64 + 1;
        self.log.push(journal::term_record(token));
        if let Some(predecessor) = self.members.last_mut() {
            predecessor.superseded_ms = Some(self.now);
        }
        self.members.push(Member {
            scheduler: None,
            token,
            marker: self.log.len() as u64 - 1,
            frozen_until: 0,
            read_to: 0,
            journal_at: 0,
            store_cut_until: 0,
            superseded_ms: None,
            killed: false,
        });
        self.announce_records();
        self.members.len() - 1
    }

    fn begin_term(&mut self, m: usize) {
        let settle = match (m, self.faults.timeouts) {
            (0, _) => Duration::default(),
            (_, false) => Duration::from_millis(5_000),
            (_, true) => PREDECESSOR_LEASES,
        };
        let now = Time(self.now * 1_000);
        let site = Arc::clone(&self.site);
        let (token, marker) = (self.members[m].token, self.members[m].marker);
        let mut scheduler = Scheduler::new(token, self.tuning.clone(), site, now + settle);
        let mut newest = BTreeMap::new();
        for stored in &self.log {
            newest.insert(stored.key.clone(), stored.clone());
        }
        let unix = self.unix();
        let up = self.vms.values().filter(|v| v.up);
        let registrations = match self.faults.timeouts {
            true => self.vm_list.values().cloned().collect(),
            false => up.map(|v| v.registration.clone()).collect(),
        };
        // The store deletes a key whose newest record has no value.
        let kept = newest.into_values().filter(|s| !s.value.is_empty());
        let evacuated = self.evacuated.keys().cloned().collect();
        let events = [
            Event::Evacuations(evacuated),
            Event::AllVms(registrations),
            Event::Journal(kept.map(|s| (0, s)).collect()),
            Event::ApprovalSlotUp(ApprovalSlotKey(0)),
            Event::ApprovalSlotUp(ApprovalSlotKey(1)),
            Event::CaughtUp { marker },
        ];
        for event in events {
            scheduler.handle(event, now, unix);
        }
        let member = &mut self.members[m];
        member.scheduler = Some(scheduler).filter(|_| !member.killed);
        member.read_to = self.log.len();
    }

    /// Publishes a configuration, of which the members learn within a second.
    pub(crate) fn publish(&mut self, site: PublishedConfig) {
        let replaced = std::mem::replace(&mut self.site, Arc::new(site));
        self.replaced_sites.push((self.now, replaced));
        for m in 0..self.members.len() {
            let after = self.rng.random_range(5..1_000);
            self.post(after, Msg::Config(m));
        }
    }

    /// Returns the highest limit of an account's CPU that may be in force, in thousandths of a core; zero if
    /// it has none.
    pub(crate) fn limit_in_force(&self, account: &str) -> u64 {
        let former = self.replaced_sites.iter();
        let former = former.filter(|(at, _)| self.now <= at + CONFIG_APPLY_MS);
        let sites = former.map(|(_, site)| site).chain([&self.site]);
        let limits = sites.map(|s| s.accounts.get(account).map_or(0, |a| a.limit.cpu_milli));
        let limits: Vec<u64> = limits.collect();
        match limits.contains(&0) {
            true => 0,
            false => limits.into_iter().max().unwrap_or(0),
        }
    }

    /// Makes a VM unreachable for the newest member for `ms`; earlier members reach it.
    pub(crate) fn make_unreachable(&mut self, id: &str, ms: u64) {
        self.unreachable_until.insert(id.to_owned(), self.now + ms);
    }

    /// Kills the newest member.
    pub(crate) fn kill(&mut self) {
        if let Some(m) = self.members.last_mut() {
            m.scheduler = None;
            m.killed = true;
        }
    }

    /// Freezes the newest member for `ms`, as a paused process; its clock continues to run.
    pub(crate) fn freeze(&mut self, ms: u64) {
        let until = self.now + ms;
        if let Some(m) = self.members.last_mut() {
            m.frozen_until = until;
        }
    }

    pub(crate) fn submit(&mut self, id: JobId, submission: Submission) {
        let stored = journal::submission_record(id, &submission);
        self.jobs.insert(id, submission);
        self.store_record(stored);
    }

    pub(crate) fn cancel(&mut self, id: JobId) {
        self.cancelled.insert(id);
        self.store_record(journal::cancellation_record(id));
    }

    fn store_record(&mut self, stored: KeyedRecord) {
        let offset = self.log.len() as u64;
        self.log.push(stored.clone());
        let records = vec![(offset, stored)];
        let newest = self.members.len() - 1;
        if !self.faults.timeouts {
            // An earlier leader reads the journal only up to the first record of the next.
            return self.post(3, Msg::Event(newest, Event::Journal(records)));
        }
        for m in 0..=newest {
            let reported = m == newest || self.faults.reported_to_all;
            if reported && self.chance(0.7) {
                let after = self.rng.random_range(2..40);
                let event = Event::RecordsStored(records.clone());
                self.post(after, Msg::Event(m, event));
            }
        }
        self.announce_records();
    }

    /// Lets each member read the newest records of the journal, in order and with its own
    /// delay.
    fn announce_records(&mut self) {
        if !self.faults.timeouts {
            return;
        }
        for m in 0..self.members.len() {
            let after = match self.chance(self.faults.journal_late) {
                true => self.rng.random_range(200..4_000),
                false => self.rng.random_range(1..10),
            };
            let member = &mut self.members[m];
            member.journal_at = (self.now + after)
                .max(member.journal_at)
                .max(member.store_cut_until);
            let after = member.journal_at - self.now;
            self.post(after, Msg::Journal(m, self.log.len()));
        }
    }

    fn read_journal(&mut self, m: usize, to: usize) {
        let from = self.members[m].read_to;
        if self.members[m].scheduler.is_none() || from >= to {
            return;
        }
        self.members[m].read_to = to;
        let records = (from..to).map(|at| (at as u64, self.log[at].clone()));
        let event = Event::Journal(records.collect());
        self.handle(m, event);
    }

    /// Cuts a member off from the store for `ms`.
    pub(crate) fn cut_store(&mut self, m: usize, ms: u64) {
        self.members[m].store_cut_until = self.now + ms;
    }

    pub(crate) fn crash(&mut self, id: &str) {
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        vm.crash();
        if self.faults.timeouts {
            self.reset_connections(id);
            // An entry is removed after three heartbeats of silence.
            let after = self.rng.random_range(2_000..7_000);
            self.post(after, Msg::Register(id.to_owned(), true));
        }
    }

    pub(crate) fn restart(&mut self, id: &str) {
        let (now, unix) = (self.now, self.unix());
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        vm.restart(now);
        vm.registration.started_ms = unix;
        if self.faults.timeouts {
            let after = self.rng.random_range(50..5_000);
            return self.post(after, Msg::Register(id.to_owned(), true));
        }
        let vm = &self.vms[id];
        let registration = vm.registration.clone();
        let event = Event::Vms(vec![(registration.id.clone(), Some(registration))]);
        let last = self.members.len() - 1;
        self.post(300, Msg::Event(last, event));
    }

    /// Removes the entry of a VM from the VM list for `ms`.
    pub(crate) fn withdraw(&mut self, id: &str, ms: u64) {
        self.post(0, Msg::Register(id.to_owned(), false));
        self.post(ms, Msg::Register(id.to_owned(), true));
    }

    fn register(&mut self, id: String, listed: bool) {
        let vm = self.vms.get(&id).filter(|v| listed && v.up);
        let entry = vm.map(|v| v.registration.clone());
        match &entry {
            Some(entry) => self.vm_list.insert(id.clone(), entry.clone()),
            None => self.vm_list.remove(&id),
        };
        for m in 0..self.members.len() {
            let after = self.rng.random_range(1..300);
            let event = Event::Vms(vec![(id.as_str().into(), entry.clone())]);
            self.post(after, Msg::Event(m, event));
        }
    }

    /// Advances the simulation by a millisecond.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        let ids: Vec<String> = self.vms.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let vm = self.vms.get_mut(&id).expect("listed above");
            let lapses = |v: &Vm| {
                let ends = v.finished.iter().map(|e| e.outcome);
                ends.filter(|o| *o == RunOutcome::LeaseExpired).count() as u64
            };
            let lapsed = lapses(vm);
            if vm.step(now) {
                self.link.lapsed += lapses(vm) - lapsed;
                let done = vm.finished.iter().filter(|e| e.outcome == RunOutcome::Done);
                self.done.extend(done.map(|e| e.task));
                self.answer_waiting_polls(&id);
            }
        }
        self.crash_poisoned_vms();
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let msg = entry.remove();
            self.deliver(msg);
        }
        for m in 0..self.members.len() {
            self.decide(m);
        }
    }

    fn decide(&mut self, m: usize) {
        let (now, unix) = (Time(self.now * 1_000), self.unix());
        let newest = m + 1 == self.members.len();
        let timeouts = self.faults.timeouts;
        let member = &mut self.members[m];
        if self.now < member.frozen_until {
            return;
        }
        // A member that was frozen first checks in the store whether its leadership claim
        // is still the newest.
        if member.frozen_until > 0 && !newest {
            member.scheduler = None;
        }
        if timeouts {
            member.frozen_until = 0;
        }
        let unconfirmed = member
            .superseded_ms
            .is_some_and(|at| self.now > at + CONFIRMATION_VALID_MS);
        if timeouts && unconfirmed {
            return;
        }
        let Some(scheduler) = &mut member.scheduler else {
            return;
        };
        for effect in scheduler.decide(now, unix) {
            self.execute(m, effect);
        }
    }

    pub(crate) fn append(&mut self, m: usize, records: Vec<KeyedRecord>) {
        if self.faults.timeouts {
            let after = self.append_delay();
            return self.post(after, Msg::Append(m, records));
        }
        if !self.store_available {
            return self.post(40, Msg::Event(m, Event::Appended { stored: false }));
        }
        // The store refuses an older token; its writer gets no event.
        if m + 1 == self.members.len() {
            if !self.takes(&records) {
                return self.post(4, Msg::Event(m, Event::AppendRefused));
            }
            self.log.extend(records);
            self.post(4, Msg::Event(m, Event::Appended { stored: true }));
        }
    }

    /// Whether the store takes an append of a leader. It refuses all records of one with a record that is too
    /// large, which it does by right only if the test has lowered the limit.
    fn takes(&self, records: &[KeyedRecord]) -> bool {
        let bytes = |r: &KeyedRecord| 1 + r.key.len() + r.value.len();
        for record in records {
            let bytes = bytes(record);
            assert!(bytes <= RECORD_BYTES_MAX, "{bytes} bytes in {}", record.key);
        }
        let total: usize = records.iter().map(|r| 4 + bytes(r)).sum();
        assert!(total <= APPEND_BYTES_MAX, "{total} bytes in an append");
        records.iter().all(|r| bytes(r) <= self.record_bytes_max)
    }

    fn append_delay(&mut self) -> u64 {
        match self.chance(self.faults.append_late) {
            true => self.rng.random_range(200..3_000),
            false => 2,
        }
    }

    /// Stores records in the timeouts mode. While the store does not answer, the member
    /// repeats the append, or learns that nothing was stored.
    fn store_append(&mut self, m: usize, records: Vec<KeyedRecord>) {
        let lost = self.now < self.members[m].store_cut_until;
        if lost || !self.store_available {
            let event = Event::Appended { stored: false };
            return match self.rng.random_bool(0.1) {
                true => self.post(40, Msg::Event(m, event)),
                false => self.post(100, Msg::Append(m, records)),
            };
        }
        if m + 1 == self.members.len() {
            if !self.takes(&records) {
                return self.post(4, Msg::Event(m, Event::AppendRefused));
            }
            let offsets = self.log.len() as u64..;
            self.log.extend(records.iter().cloned());
            let after = self.append_delay();
            // The writer of a term also reports what it stored.
            let reported = Event::RecordsStored(offsets.zip(records).collect());
            self.post(after, Msg::Event(m, reported));
            self.post(after, Msg::Event(m, Event::Appended { stored: true }));
            self.announce_records();
        }
    }

    fn handle(&mut self, m: usize, event: Event) {
        let now = self.now;
        let (time, unix) = (Time(now * 1_000), self.unix());
        let frozen = self.members[m].frozen_until;
        if now < frozen {
            return self.post(frozen - now, Msg::Event(m, event));
        }
        if let Some(scheduler) = &mut self.members[m].scheduler {
            scheduler.handle(event, time, unix);
        }
    }

    fn deliver(&mut self, msg: Msg) {
        match msg {
            Msg::Event(m, event) => self.handle(m, event),
            Msg::Result(m, request, event) => {
                if self.open_requests.remove(&request) {
                    self.handle(m, event);
                }
            }
            Msg::Journal(m, to) => self.read_journal(m, to),
            Msg::Append(m, records) => self.store_append(m, records),
            Msg::Config(m) => self.handle(m, Event::Config(Arc::clone(&self.site))),
            Msg::Evacuations(m) => {
                let evacuated = self.evacuated.keys().cloned().collect();
                self.handle(m, Event::Evacuations(evacuated));
            }
            Msg::BeginTerm(m) => self.begin_term(m),
            Msg::Register(id, listed) => self.register(id, listed),
            Msg::Return(id) => self.return_vm(&id),
            Msg::Start(m, run, order, route) => self.deliver_start(m, run, order, route),
            Msg::Stop(m, run, task, attempt, route) => {
                self.deliver_stop(m, run, task, attempt, route);
            }
            Msg::Poll(m, poll, route) => self.deliver_poll(m, poll, route),
            Msg::PollReply(m, key, route) => self.deliver_poll_reply(m, key, &route),
        }
    }

    /// Requests the evacuation of a failure domain.
    pub(crate) fn evacuate(&mut self, domain: &str) {
        self.evacuated.insert(domain.into(), self.now);
        self.announce_evacuations();
    }

    /// Takes an evacuated failure domain back.
    pub(crate) fn take_back(&mut self, domain: &str) {
        self.evacuated.remove(domain);
        self.announce_evacuations();
    }

    fn announce_evacuations(&mut self) {
        for m in 0..self.members.len() {
            let after = self.rng.random_range(5..1_500);
            self.post(after, Msg::Evacuations(m));
        }
    }

    /// Returns the number and the total size in bytes of the records that the next leader
    /// reads.
    pub(crate) fn stored_size(&self) -> (usize, usize) {
        let mut newest = BTreeMap::new();
        for stored in &self.log {
            newest.insert(stored.key.clone(), stored.value.len());
        }
        newest.retain(|_, len| *len > 0);
        (newest.len(), newest.values().sum())
    }

    /// Records which jobs have ended by now.
    pub(crate) fn record_ends(&mut self) {
        for (at, stored) in self.log.iter().enumerate().skip(self.checked_to) {
            self.checked_to = at + 1;
            let Some(journal::Entry::Progressed(id, p)) = journal::decode_entry(stored) else {
                continue;
            };
            if p.outcome.is_some() {
                self.ends.entry(id).or_insert(self.now);
            }
        }
    }

    /// Returns whether a job was found to have ended at `ms` or earlier.
    pub(crate) fn ended_by(&self, id: JobId, ms: u64) -> bool {
        self.ends.get(&id).is_some_and(|&at| at <= ms)
    }

    /// Returns the stored outcome of a job.
    pub(crate) fn outcome(&self, id: JobId) -> Option<journal::Outcome> {
        let key = format!("{id}.p");
        let newest = self.log.iter().rev().find(|s| s.key == key);
        match newest.and_then(journal::decode_entry) {
            Some(journal::Entry::Progressed(_, p)) => p.outcome,
            _ => None,
        }
    }
}
