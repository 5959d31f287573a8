//! VMs: what the list says of them, rebirth, leases, and doubt.

use super::*;
use crate::effect::Target;
use crate::vm::Registration;

/// Slack for the way of a message and the grain of clocks.
const CLOCK_SLACK: Duration = Duration::from_millis(60);
/// Failures of starts or runs in a row after which a VM is put aside.
const QUARANTINE_AFTER_FAILURES: u32 = 3;
/// Slowness above which a VM gets new work only where no other has room: above
/// what estimates that are off by half can show.
const SLOW_THRESHOLD: f64 = 2.2;
/// How long a VM is put aside at first; doubled each time up to eight times.
const QUARANTINE_PERIOD: Duration = Duration::from_millis(2_500);

/// One incarnation of a VM.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) registration: Registration,
    /// Whether the list names it.
    pub(super) listed: bool,
    /// Whether it answered a look in this holder's term.
    pub(super) answered: bool,
    /// Whether a former holder may have started there what is not stored.
    pub(super) in_predecessor_fleet: bool,
    /// Whether it is in the stored fleet.
    pub(super) enrolled: bool,
    /// Room taken by runs.
    pub(super) used: Resources,
    /// Processor that work which fills asks for, in thousandths of a core.
    pub(super) backfill_cpu_milli: u64,
    /// Runs that serve users of their own.
    pub(super) serving: u32,
    pub(super) runs: BTreeSet<RunKey>,
    /// The VM's clock in milliseconds, and when it was read.
    pub(super) clock: Option<(Time, u64)>,
    /// Latest end of a lease asked for, on the VM's clock.
    pub(super) lease_until_ms: u64,
    pub(super) polls: super::polls::Polls,
    /// Ends up to this number were taken in.
    pub(super) finished_seen: u64,
    /// Ends up to this number are stored.
    pub(super) finished_stored: u64,
    pub(super) health: Health,
    /// What runs there and belongs to no run of this holder.
    pub(super) orphans: Orphans,
}

/// Listed runs that belong to no run of this holder: they are being stopped.
#[derive(Debug, Default)]
pub(super) struct Orphans {
    /// Room that they take.
    pub(super) allocation: Resources,
    /// What counts against accounts' limits.
    pub(super) needs: Vec<(CompactString, Resources)>,
    /// When the look was sent that showed them.
    pub(super) polled_at: Time,
}

/// What a VM's answers and runs say of it.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Bad ends in a row.
    pub(super) consecutive_failures: u32,
    /// Times it was put aside without a good end in between.
    pub(super) quarantines: u32,
    /// Nothing new is started there before this.
    pub(super) quarantined_until: Time,
    /// Time of runs over what was expected, lately; zero: not known.
    pub(super) slowness: f64,
}

impl Health {
    /// Takes in how slow a run was, as a multiple of the usual time.
    pub(super) fn record_slowness(&mut self, seen: f64, weight: f64) {
        if self.slowness == 0.0 {
            self.slowness = 1.0;
        }
        self.slowness += weight * (seen - self.slowness);
    }

    /// Whether runs there take more than twice their time.
    pub(super) fn is_slow(&self) -> bool {
        self.slowness > SLOW_THRESHOLD
    }
}

impl Vm {
    fn new(registration: Registration) -> Self {
        Self {
            registration,
            listed: true,
            answered: false,
            in_predecessor_fleet: false,
            enrolled: false,
            used: Resources::default(),
            backfill_cpu_milli: 0,
            serving: 0,
            runs: BTreeSet::new(),
            clock: None,
            lease_until_ms: 0,
            polls: super::polls::Polls::default(),
            finished_seen: 0,
            finished_stored: 0,
            health: Health::default(),
            orphans: Orphans::default(),
        }
    }

    pub(super) fn target(&self) -> Target {
        Target {
            addr: self.registration.addr.clone(),
            id: self.registration.id.clone(),
        }
    }

    /// The VM's clock at a time, taking it to run true.
    pub(super) fn clock_at(&self, now: Time) -> Option<u64> {
        let (at, ms) = self.clock?;
        Some(ms + now.since(at).as_millis())
    }

    /// When every lease asked for has lapsed, even by a clock that runs slow.
    pub(super) fn leases_expire_at(&self, drift_milli: u64) -> Time {
        let Some((at, ms)) = self.clock else {
            return Time(u64::MAX);
        };
        let left = self.lease_until_ms.saturating_sub(ms);
        let left = left * 1_000 / (1_000 - drift_milli.min(500));
        at + Duration::from_millis(left) + CLOCK_SLACK
    }

    /// Room that is free.
    pub(super) fn free(&self) -> Resources {
        self.registration
            .capacity
            .minus(&self.used)
            .minus(&self.orphans.allocation)
    }

    /// Whether it is there and stays.
    pub(super) fn is_healthy(&self) -> bool {
        self.listed
            && self.answered
            && !self.registration.draining
            && self.polls.unanswered == 0
            && self.clock.is_some()
    }

    /// Whether something new may be started there.
    pub(super) fn is_schedulable(&self, now: Time) -> bool {
        self.is_healthy() && self.enrolled && now >= self.health.quarantined_until
    }
}

impl Scheduler {
    /// Takes in changed entries of the list.
    pub(super) fn apply_vm_changes(&mut self, entries: Vec<(CompactString, Option<Registration>)>) {
        for (id, registration) in entries {
            match registration {
                Some(registration) => self.apply_registration(registration),
                None => self.mark_unlisted(&id),
            }
        }
    }

    /// Takes in the whole list.
    pub(super) fn apply_vm_list(&mut self, registrations: Vec<Registration>) {
        let named: BTreeSet<CompactString> = registrations.iter().map(|r| r.id.clone()).collect();
        let gone = self.vms_by_id.keys().filter(|id| !named.contains(*id));
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
        vm.listed = true;
        vm.registration = registration;
        if restarted {
            self.reset_incarnation(key);
        }
        if changed {
            let (id, draining) = {
                let r = &self.vms.get(key).expect("looked up above").registration;
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

    /// The row of a VM that the list need not name.
    pub(super) fn vm_by_id(&mut self, id: &CompactString) -> VmKey {
        if let Some(&key) = self.vms_by_id.get(id) {
            return key;
        }
        let registration = Registration {
            id: id.clone(),
            ..Registration::default()
        };
        let mut vm = Vm::new(registration);
        vm.listed = false;
        self.add_vm(vm)
    }

    fn add_vm(&mut self, vm: Vm) -> VmKey {
        let id = vm.registration.id.clone();
        let key = self.vms.insert(vm);
        self.vms_by_id.insert(id, key);
        key
    }

    fn add_registered_vm(&mut self, registration: Registration) {
        let key = self.add_vm(Vm::new(registration));
        self.placement_needed = true;
        if self.marker.is_some() {
            self.poll_now(key);
        }
    }

    /// A new incarnation: its numbers begin anew, and what runs there is in doubt.
    pub(super) fn reset_incarnation(&mut self, key: VmKey) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        vm.answered = false;
        vm.clock = None;
        vm.lease_until_ms = 0;
        vm.finished_seen = 0;
        vm.finished_stored = 0;
        vm.health = Health::default();
        vm.polls.clear();
        self.set_orphans(key, Orphans::default());
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        let (id, runs) = (vm.registration.id.clone(), vm.runs.clone());
        self.log(
            0,
            "vm reborn",
            format!("vm={id} runs_in_doubt={}", runs.len()),
        );
        for run in runs {
            self.mark_unconfirmed(run);
        }
        self.poll_now(key);
    }

    /// Puts what a look showed in place of what an earlier one did.
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

    /// Counts a bad end against a VM, or clears it by a good one.
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
        self.log(0, "vm put aside", detail);
    }

    /// Frees what lapsed on VMs that do not answer.
    pub(super) fn scan_vms(&mut self) {
        let (now, drift) = (self.now, self.tuning.drift_milli);
        let mut expired = Vec::new();
        let mut due = Vec::new();
        for (key, vm) in self.vms.iter() {
            let leases_expired = vm.polls.unanswered > 0 && now > vm.leases_expire_at(drift);
            // A VM that had announced its leaving and is unlisted has left.
            let has_left = vm.registration.draining && !vm.listed && vm.polls.unanswered > 1;
            if (leases_expired || has_left) && !(vm.runs.is_empty() && vm.orphans.needs.is_empty())
            {
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

    fn expire_leases(&mut self, key: VmKey) {
        let Some(vm) = self.vms.get(key) else { return };
        let (id, runs) = (vm.registration.id.clone(), vm.runs.clone());
        self.set_orphans(key, Orphans::default());
        self.log(0, "leases lapsed", format!("vm={id} runs={}", runs.len()));
        for run in runs {
            self.lose_run(run, "lease lapsed");
        }
    }
}
