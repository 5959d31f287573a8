//! VMs: the VM list, restarts, leases, health and orphaned runs.

use super::*;
use crate::effect::Target;
use crate::fencing;
use crate::vm::Registration;

/// Longest time for which an order without an answer may still be in transit. The platform
/// executes such orders up to 12 s late.
const IN_TRANSIT_MAX: Duration = Duration::from_millis(12_500);
/// Slack for message delay and clock granularity.
const CLOCK_SLACK: Duration = Duration::from_millis(60);
/// Time beyond the leases of an unresponsive VM for which its runs are kept while this member is
/// saturated.
const SATURATED_GRACE: Duration = Duration::from_secs(12);
/// Silence after which a VM gets no lease until the stored record of leases is replaced. Shorter
/// ones are common on lossy links, and the store may be unavailable for longer than a lease.
const SILENCE_MIN: Duration = Duration::from_millis(1_000);
/// Failed polls in a row after which it is silent as well. On a lossy link each of them takes
/// most of [`SILENCE_MIN`]; after a crash connections are refused at once.
const FAILED_POLLS_MIN: u32 = 2;
/// Consecutive failures of starts or runs after which a VM is quarantined.
const QUARANTINE_AFTER_FAILURES: u32 = 3;
/// Slowness above which a VM gets new tasks only if no other VM has free capacity. Run
/// times that differ from their estimates by half stay below it.
const SLOW_THRESHOLD: f64 = 2.2;
/// Duration of the first quarantine of a VM. It doubles every time, up to eight times
/// this value.
const QUARANTINE_PERIOD: Duration = Duration::from_millis(2_500);

/// A VM in its present incarnation.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) registration: Registration,
    /// Its kind, which decides how fast it is.
    pub(super) kind: kinds::KindKey,
    /// Whether the VM list contains it.
    pub(super) listed: bool,
    /// Number of its restarts that are known in this term.
    pub(super) restarts: u32,
    /// Until when an order may arrive that was computed from the clock of a previous incarnation;
    /// `None` if there is none.
    stale_orders_until: Option<Time>,
    /// Whether its present incarnation has answered a poll in this term.
    pub(super) answered: bool,
    /// Whether a predecessor may have started runs there without a stored placement.
    pub(super) in_predecessor_fleet: bool,
    /// Whether it is in the stored fleet, so that runs may be started there.
    pub(super) enrolled: bool,
    /// Capacity occupied by runs.
    pub(super) used: Resources,
    /// CPU that its backfill runs need, in thousandths of a core.
    pub(super) backfill_cpu_milli: u64,
    /// Number of its serving runs.
    pub(super) serving: u32,
    pub(super) runs: BTreeSet<RunKey>,
    /// When its present incarnation last gave a sign of life.
    pub(super) alive_at: Option<Time>,
    /// When the VM's clock was last read, and what it showed in milliseconds.
    pub(super) clock: Option<(Time, u64)>,
    /// Latest end of any lease or start validity that was sent to it, in milliseconds on
    /// the VM's clock.
    pub(super) lease_until_ms: u64,
    /// When the last order was sent that gives it a lease.
    pub(super) lease_sent_at: Time,
    /// When every lease has expired that it may have from a predecessor.
    pub(super) predecessor_leases_expire_at: Time,
    /// The same, or when every lease has expired from orders that were computed from the clock
    /// of its previous incarnation, whichever is later.
    other_leases_expire_at: Time,
    /// Whether the stored record of the predecessor says when its leases expire.
    pub(super) awaited_by_predecessor: bool,
    /// Whether its failure domain is evacuated, so that nothing is started there.
    pub(super) evacuated: bool,
    /// Whether it gets no lease, since a stored record tells a successor when its leases expire.
    pub(super) lease_withheld: bool,
    pub(super) polls: super::polls::Polls,
    /// Finished runs up to this completion number were applied.
    pub(super) finished_seen: u64,
    /// The effects of finished runs up to this completion number are stored.
    pub(super) finished_stored: u64,
    /// Its present incarnation was told to forget finished runs up to this completion
    /// number, and has answered.
    pub(super) finished_acknowledged: u64,
    /// Starts without an answer of the present incarnation, with the time when each was
    /// last sent. A later incarnation may have executed them.
    pub(super) unanswered_starts: BTreeMap<RunKey, Time>,
    pub(super) health: Health,
    /// Listed runs that belong to no run of this scheduler.
    pub(super) orphans: Orphans,
}

/// Orphaned runs of a VM: listed by it, but belonging to no run of this scheduler. They
/// are being stopped.
#[derive(Debug, Default)]
pub(super) struct Orphans {
    /// Capacity that they occupy.
    pub(super) allocation: Resources,
    /// Accounts and the resources that count against their limits, one entry per run.
    pub(super) needs: Vec<(CompactString, Resources)>,
    /// When the poll was sent whose answer listed them.
    pub(super) polled_at: Time,
}

/// Health of a VM, derived from its answers and runs.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Failures of starts or runs since the last success.
    pub(super) consecutive_failures: u32,
    /// Number of quarantines since the last success.
    pub(super) quarantines: u32,
    /// No run is started there before this time.
    pub(super) quarantined_until: Time,
    /// Moving average of run times as a multiple of the expected time; zero if unknown.
    pub(super) slowness: f64,
}

impl Health {
    /// Records the duration of a run as a multiple of the usual time.
    pub(super) fn record_slowness(&mut self, seen: f64, weight: f64) {
        if self.slowness == 0.0 {
            self.slowness = 1.0;
        }
        self.slowness += weight * (seen - self.slowness);
    }

    /// Whether runs there take more than [`SLOW_THRESHOLD`] times their usual time.
    pub(super) fn is_slow(&self) -> bool {
        self.slowness > SLOW_THRESHOLD
    }
}

impl Vm {
    fn new(registration: Registration, predecessor_leases_expire_at: Time) -> Self {
        Self {
            registration,
            kind: kinds::KindKey::default(),
            listed: true,
            restarts: 0,
            stale_orders_until: None,
            answered: false,
            in_predecessor_fleet: false,
            enrolled: false,
            used: Resources::default(),
            backfill_cpu_milli: 0,
            serving: 0,
            runs: BTreeSet::new(),
            alive_at: None,
            clock: None,
            lease_until_ms: 0,
            lease_sent_at: Time::default(),
            predecessor_leases_expire_at,
            other_leases_expire_at: predecessor_leases_expire_at,
            awaited_by_predecessor: false,
            evacuated: false,
            lease_withheld: false,
            polls: super::polls::Polls::default(),
            finished_seen: 0,
            finished_stored: 0,
            finished_acknowledged: 0,
            unanswered_starts: BTreeMap::new(),
            health: Health::default(),
            orphans: Orphans::default(),
        }
    }

    pub(super) fn target(&self) -> Target {
        Target {
            addr: self.registration.addr.clone(),
            id: self.registration.id.clone(),
            domain: self.registration.domain.clone(),
            min_clock_ms: self.clock.map_or(0, |(_, ms)| ms),
            restarts: self.restarts,
        }
    }

    /// Returns the VM's clock at `now` in milliseconds, assuming no drift; `None` if it was
    /// never read.
    pub(super) fn clock_at(&self, now: Time) -> Option<u64> {
        let (at, ms) = self.clock?;
        Some(ms.saturating_add(now.since(at).as_millis()))
    }

    /// Takes into account that an order is about to be sent that gives it a lease until `until_ms`
    /// on its clock.
    pub(super) fn add_lease(&mut self, now: Time, until_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        self.lease_sent_at = now;
    }

    /// Returns when every lease that it may have has expired, even if its clock runs slow by
    /// `drift_milli` thousandths.
    pub(super) fn leases_expire_at(&self, drift_milli: u64) -> Time {
        let own = self.clock.map_or(Time::default(), |(at, ms)| {
            let left = self.lease_until_ms.saturating_sub(ms);
            lease_end(at, Duration::from_millis(left), drift_milli)
        });
        own.max(self.other_leases_expire_at)
    }

    /// Takes into account that every lease from a predecessor expires by `at`.
    pub(super) fn limit_predecessor_leases(&mut self, at: Time) {
        self.awaited_by_predecessor = true;
        self.predecessor_leases_expire_at = self.predecessor_leases_expire_at.min(at);
        self.other_leases_expire_at = self.predecessor_leases_expire_at;
    }

    /// Returns when every lease has expired that orders of this scheduler may have given to an
    /// incarnation that nothing has announced. Its clock starts anew, so that it grants the longest
    /// lease, and the last order may reach it after [`IN_TRANSIT_MAX`].
    pub(super) fn unannounced_leases_expire_at(&self, tuning: &Tuning) -> Time {
        let arrives_by = self.lease_sent_at + IN_TRANSIT_MAX;
        lease_end(arrives_by, tuning.lease_max, tuning.drift_milli)
    }

    /// Whether a start of a run may be in transit that the next incarnation would execute. Whatever
    /// arrived before the last sign of life reached an incarnation that is known.
    pub(super) fn may_start_unannounced(&self, run: &runs::Run) -> bool {
        let arrives_by = run.last_sent_at + IN_TRANSIT_MAX;
        run.has_unanswered_send() && self.alive_at.is_none_or(|at| arrives_by > at)
    }

    /// Begins a new incarnation, whose clock and completion numbers start anew. It is fenced against
    /// orders to the previous one as soon as it has answered.
    ///
    /// Until then such an order may give it the longest lease that VMs grant, because it was
    /// computed from the clock of the previous incarnation.
    fn begin_incarnation(&mut self, now: Time, tuning: &Tuning) {
        let leased = self.lease_sent_at > Time::default();
        // What a predecessor has sent is unknown.
        let sent_at = if leased { self.lease_sent_at } else { now };
        let stale_until = self.stale_orders_until.max(Some(sent_at + IN_TRANSIT_MAX));
        self.stale_orders_until = stale_until;
        self.add_stale_lease(now, tuning);
        self.restarts += 1;
        self.answered = false;
        self.alive_at = None;
        self.clock = None;
        self.lease_until_ms = 0;
        self.finished_seen = 0;
        self.finished_stored = 0;
        self.finished_acknowledged = 0;
        self.unanswered_starts.clear();
        self.health = Health::default();
        self.polls.clear();
    }

    /// Takes into account that the present incarnation has answered for the first time. It refuses
    /// orders under lower tokens from now on, but may have a lease from one.
    pub(super) fn fence_incarnation(&mut self, now: Time, tuning: &Tuning) {
        self.add_other_lease(now, tuning.lease, tuning.drift_milli);
        self.add_stale_lease(now, tuning);
    }

    /// Takes into account that an order to a previous incarnation may have arrived by `now`.
    fn add_stale_lease(&mut self, now: Time, tuning: &Tuning) {
        if let Some(until) = self.stale_orders_until {
            self.add_other_lease(now.min(until), tuning.lease_max, tuning.drift_milli);
        }
    }

    /// Takes into account that it may have got a lease of `lease` at `now` at the latest, by
    /// an order that this scheduler did not compute from its clock.
    fn add_other_lease(&mut self, now: Time, lease: Duration, drift_milli: u64) {
        let end = lease_end(now, lease, drift_milli);
        self.other_leases_expire_at = self.other_leases_expire_at.max(end);
    }

    /// Returns the free capacity.
    pub(super) fn free(&self) -> Resources {
        self.registration
            .capacity
            .minus(&self.used)
            .minus(&self.orphans.allocation)
    }

    /// Whether its runs, also those that are being stopped, occupy more than its capacity.
    pub(super) fn is_overcommitted(&self) -> bool {
        let mut used = self.used;
        used.add(&self.orphans.allocation);
        !self.registration.capacity.fits(&used)
    }

    /// Whether it has not answered for [`SILENCE_MIN`], [`FAILED_POLLS_MIN`] polls in a row, or
    /// since before this term.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        let silent_before = self.registration.addr.is_empty()
            || (self.awaited_by_predecessor && self.polls.is_late(now));
        let since = self.polls.silent_since;
        let silent = since.is_some_and(|at| now >= at + SILENCE_MIN)
            || self.polls.unanswered >= FAILED_POLLS_MIN;
        silent || (silent_before && !self.answered)
    }

    /// Whether a predecessor may have started runs there that are not known yet.
    pub(super) fn may_have_unknown_runs(&self, now: Time) -> bool {
        self.in_predecessor_fleet && !self.answered && now < self.predecessor_leases_expire_at
    }

    /// Whether it is listed, responsive and not draining.
    pub(super) fn is_healthy(&self) -> bool {
        self.listed
            && self.answered
            && !self.registration.draining
            && self.polls.unanswered == 0
            && self.clock.is_some()
    }

    /// Whether new runs may be started there.
    pub(super) fn is_schedulable(&self, now: Time) -> bool {
        self.is_healthy()
            && self.enrolled
            && !self.lease_withheld
            && !self.evacuated
            && now >= self.health.quarantined_until
    }
}

/// Returns when a lease that a VM got at `at` or before has expired, even if the VM's clock
/// runs slow by `drift_milli` thousandths.
fn lease_end(at: Time, lease: Duration, drift_milli: u64) -> Time {
    let longest_ms = lease.as_millis() * 1_000 / (1_000 - drift_milli.min(500));
    at + Duration::from_millis(longest_ms) + CLOCK_SLACK
}

impl Scheduler {
    /// Applies changed entries of the VM list.
    pub(super) fn apply_vm_changes(&mut self, entries: Vec<(CompactString, Option<Registration>)>) {
        for (id, registration) in entries {
            match registration {
                Some(registration) => self.apply_registration(registration),
                None => self.mark_unlisted(&id),
            }
        }
    }

    /// Applies a complete VM list; VMs that it lacks become unlisted.
    pub(super) fn apply_vm_list(&mut self, registrations: Vec<Registration>) {
        let listed: BTreeSet<CompactString> = registrations.iter().map(|r| r.id.clone()).collect();
        let gone = self.vms_by_id.keys().filter(|id| !listed.contains(*id));
        for id in gone.cloned().collect::<Vec<_>>() {
            self.mark_unlisted(&id);
        }
        for registration in registrations {
            self.apply_registration(registration);
        }
    }

    fn mark_unlisted(&mut self, id: &str) {
        let Some(&key) = self.vms_by_id.get(id) else {
            return;
        };
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if !vm.listed {
            return;
        }
        vm.listed = false;
        self.log(0, "vm unlisted", format!("vm={id}"));
    }

    fn apply_registration(&mut self, registration: Registration) {
        let Some(&key) = self.vms_by_id.get(&registration.id) else {
            return self.add_registered_vm(registration);
        };
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if registration.started_ms < vm.registration.started_ms {
            return;
        }
        let restarted =
            registration.started_ms > vm.registration.started_ms && vm.registration.started_ms > 0;
        let changed = !vm.listed || vm.registration.draining != registration.draining || restarted;
        if restarted {
            self.record_crash(key);
        }
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        vm.listed = true;
        vm.registration = registration;
        self.update_evacuated(key);
        self.update_kind(key);
        if restarted {
            self.reset_incarnation(key);
        }
        if changed {
            let (id, draining) = {
                let r = &self
                    .vms
                    .get(key)
                    .expect("the VM was looked up above")
                    .registration;
                (r.id.clone(), r.draining)
            };
            self.log(
                0,
                "vm changed",
                format!("vm={id} draining={draining} reborn={restarted}"),
            );
            self.placement_needed = true;
        }
        self.poll_soon(key);
    }

    /// Returns the key of the VM with an id, adding it as unlisted if it is unknown.
    pub(super) fn vm_by_id(&mut self, id: &CompactString) -> VmKey {
        if let Some(&key) = self.vms_by_id.get(id) {
            return key;
        }
        let registration = Registration {
            id: id.clone(),
            ..Registration::default()
        };
        let mut vm = Vm::new(registration, self.settle_at);
        vm.listed = false;
        self.add_vm(vm)
    }

    fn add_vm(&mut self, vm: Vm) -> VmKey {
        let id = vm.registration.id.clone();
        let key = self.vms.insert(vm);
        self.vms_by_id.insert(id, key);
        self.update_evacuated(key);
        self.update_kind(key);
        key
    }

    fn add_registered_vm(&mut self, registration: Registration) {
        let (id, addr) = (registration.id.clone(), registration.addr.clone());
        let key = self.add_vm(Vm::new(registration, self.settle_at));
        self.placement_needed = true;
        if self.marker.is_some() {
            self.record_crash_at(&addr, &id);
            self.poll_now(key);
        }
    }

    /// Resets the state of a VM for a new incarnation. Its runs have to be confirmed again.
    pub(super) fn reset_incarnation(&mut self, key: VmKey) {
        let now = self.now;
        self.set_orphans(key, Orphans::default());
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        vm.begin_incarnation(now, &self.tuning);
        let (id, runs) = (vm.registration.id.clone(), vm.runs.clone());
        let (restarts, in_doubt) = (vm.restarts, runs.len());
        let order_token = fencing::order_token(self.token, restarts);
        let stale_ms = vm
            .stale_orders_until
            .map_or(0, |at| at.since(now).as_millis());
        let detail = format!(
            "vm={id} restarts={restarts} order_token={order_token} runs_in_doubt={in_doubt} stale_orders_ms={stale_ms}"
        );
        self.warn(0, "vm restarted", detail);
        if restarts > fencing::RESTARTS_MAX {
            // The successor's term has tokens left.
            return self.step_down();
        }
        for run in runs {
            self.answer_times.window.closed(run);
            self.mark_unconfirmed(run);
        }
        self.poll_now(key);
    }

    /// Handles an order that a VM refused because it has seen a higher token: another member is
    /// the leader, unless the order was meant for an earlier incarnation. Then the next poll of the
    /// VM decides, because answers to polls of earlier incarnations are discarded.
    pub(super) fn order_fenced(&mut self, vm: Option<VmKey>) {
        let restarted = |vm: &Vm| vm.restarts > 0;
        let row = vm.and_then(|key| self.vms.get(key));
        let may_be_stale = match row {
            Some(row) => restarted(row),
            None => self.vms.iter().any(|(_, row)| restarted(row)),
        };
        match vm {
            _ if !may_be_stale => self.step_down(),
            Some(key) => self.poll_now(key),
            None => {}
        }
    }

    /// Replaces the orphaned runs of a VM and updates the usage of their accounts.
    pub(super) fn set_orphans(&mut self, key: VmKey, orphans: Orphans) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(&mut vm.orphans, orphans);
        if !old.needs.is_empty() {
            self.placement_needed = true;
        }
        for (account, need) in old.needs {
            self.usage.entry(account).or_default().subtract(&need);
        }
        let Some(vm) = self.vms.get(key) else { return };
        for (account, need) in &vm.orphans.needs {
            self.usage.entry(account.clone()).or_default().add(need);
        }
    }

    /// Records a success or failure of a VM, and quarantines it after
    /// [`QUARANTINE_AFTER_FAILURES`] consecutive failures.
    pub(super) fn record_health(&mut self, key: VmKey, good: bool) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        let health = &mut vm.health;
        if good {
            health.consecutive_failures = 0;
            health.quarantines = 0;
            return;
        }
        health.consecutive_failures += 1;
        if health.consecutive_failures < QUARANTINE_AFTER_FAILURES || now < health.quarantined_until
        {
            return;
        }
        let times = 1 << health.quarantines.min(3);
        health.quarantined_until = now + QUARANTINE_PERIOD.times(times);
        health.quarantines += 1;
        let detail = format!(
            "vm={} bad_in_a_row={} times={times}",
            vm.registration.id, health.consecutive_failures
        );
        self.log(0, "vm quarantined", detail);
    }

    /// Drops the runs of unresponsive VMs whose leases have expired, and polls the VMs that
    /// are due.
    pub(super) fn scan_vms(&mut self) {
        let (now, drift) = (self.now, self.tuning.drift_milli);
        let saturated = self.answer_times.is_saturated(now);
        let mut expired = Vec::new();
        let mut due = Vec::new();
        for (key, vm) in self.vms.iter() {
            // Neither a missing entry nor a refused connection shows that a VM has left: the
            // entries of live VMs are removed while the store is unavailable.
            // Late answers may have listed its runs as finished.
            let expire_at = vm.leases_expire_at(drift)
                + if saturated {
                    SATURATED_GRACE
                } else {
                    Duration::default()
                };
            let leases_expired = vm.polls.unanswered > 0 && now > expire_at;
            if leases_expired && !(vm.runs.is_empty() && vm.orphans.needs.is_empty()) {
                expired.push(key);
            }
            if vm.polls.is_due(now) {
                due.push(key);
            }
        }
        for key in expired {
            self.expire_leases(key);
        }
        for key in due {
            self.poll_now(key);
        }
    }

    /// Drops the runs of a VM whose leases have expired.
    ///
    /// A run is kept for longer if an incarnation that nothing has announced may have started it.
    fn expire_leases(&mut self, key: VmKey) {
        let Some(vm) = self.vms.get(key) else { return };
        let all_expired = self.now > vm.unannounced_leases_expire_at(&self.tuning);
        let may_start = |key: &RunKey| {
            let run = self.runs.get(key);
            run.is_some_and(|run| vm.may_start_unannounced(run))
        };
        let (kept, lost): (BTreeSet<RunKey>, BTreeSet<RunKey>) = vm
            .runs
            .iter()
            .partition(|run| !all_expired && may_start(run));
        if lost.is_empty() && vm.orphans.needs.is_empty() {
            return;
        }
        let id = vm.registration.id.clone();
        self.keep_crash_candidates(key);
        self.set_orphans(key, Orphans::default());
        let detail = format!("vm={id} runs={} kept={}", lost.len(), kept.len());
        self.warn(0, "leases expired", detail);
        for run in lost {
            self.lose_run(run, "lease expired");
        }
    }
}
