//! VMs: what the list says of them, rebirth, leases, and doubt.

use super::*;
use crate::effect::Target;
use crate::vm::Registration;

/// Slack for the way of a message and the grain of clocks.
const CLOCK_SLACK: Duration = Duration::from_millis(60);
/// Failures of starts or runs in a row after which a VM is put aside.
const ASIDE_AFTER: u32 = 3;
/// Slowness above which a VM gets new work only where no other has room: above
/// what estimates that are off by half can show.
const CRAWLS: f64 = 2.2;
/// How long a VM is put aside at first; doubled each time up to eight times.
const ASIDE_FOR: Duration = Duration::from_millis(2_500);

/// One incarnation of a VM.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) report: Registration,
    /// Whether the list names it.
    pub(super) listed: bool,
    /// Whether it answered a look in this holder's term.
    pub(super) answered: bool,
    /// Whether a former holder may have started there what is not stored.
    pub(super) former: bool,
    /// Whether it is in the stored fleet.
    pub(super) enrolled: bool,
    /// Room taken by runs.
    pub(super) used: Resources,
    /// Processor that work which fills asks for, in thousandths of a core.
    pub(super) filling: u64,
    /// Runs that serve users of their own.
    pub(super) serving: u32,
    pub(super) runs: BTreeSet<RunKey>,
    /// The VM's clock in milliseconds, and when it was read.
    pub(super) clock: Option<(Time, u64)>,
    /// Latest end of a lease asked for, on the VM's clock.
    pub(super) lease_until_ms: u64,
    pub(super) looks: super::looks::Looks,
    /// Ends up to this number were taken in.
    pub(super) ends_seen: u64,
    /// Ends up to this number are stored.
    pub(super) ends_stored: u64,
    pub(super) health: Health,
    /// What runs there and belongs to no run of this holder.
    pub(super) strays: Strays,
}

/// Listed runs that belong to no run of this holder: they are being stopped.
#[derive(Debug, Default)]
pub(super) struct Strays {
    /// Room that they take.
    pub(super) room: Resources,
    /// What counts against accounts' limits.
    pub(super) needs: Vec<(CompactString, Resources)>,
    /// When the look was sent that showed them.
    pub(super) sent: Time,
}

/// What a VM's answers and runs say of it.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Bad ends in a row.
    pub(super) bad: u32,
    /// Times it was put aside without a good end in between.
    pub(super) asides: u32,
    /// Nothing new is started there before this.
    pub(super) aside_until: Time,
    /// Time of runs over what was expected, lately; zero: not known.
    pub(super) slowness: f64,
}

impl Health {
    /// Takes in how slow a run was, as a multiple of the usual time.
    pub(super) fn learn_slowness(&mut self, seen: f64, weight: f64) {
        if self.slowness == 0.0 {
            self.slowness = 1.0;
        }
        self.slowness += weight * (seen - self.slowness);
    }

    /// Whether runs there take more than twice their time.
    pub(super) fn crawls(&self) -> bool {
        self.slowness > CRAWLS
    }
}

impl Vm {
    fn new(report: Registration) -> Self {
        Self {
            report,
            listed: true,
            answered: false,
            former: false,
            enrolled: false,
            used: Resources::default(),
            filling: 0,
            serving: 0,
            runs: BTreeSet::new(),
            clock: None,
            lease_until_ms: 0,
            looks: super::looks::Looks::default(),
            ends_seen: 0,
            ends_stored: 0,
            health: Health::default(),
            strays: Strays::default(),
        }
    }

    pub(super) fn target(&self) -> Target {
        Target {
            addr: self.report.addr.clone(),
            id: self.report.id.clone(),
        }
    }

    /// The VM's clock at a time, taking it to run true.
    pub(super) fn clock_at(&self, now: Time) -> Option<u64> {
        let (at, ms) = self.clock?;
        Some(ms + now.since(at).as_millis())
    }

    /// When every lease asked for has lapsed, even by a clock that runs slow.
    pub(super) fn lapsed_at(&self, drift_milli: u64) -> Time {
        let Some((at, ms)) = self.clock else {
            return Time(u64::MAX);
        };
        let left = self.lease_until_ms.saturating_sub(ms);
        let left = left * 1_000 / (1_000 - drift_milli.min(500));
        at + Duration::from_millis(left) + CLOCK_SLACK
    }

    /// Room that is free.
    pub(super) fn free(&self) -> Resources {
        self.report
            .capacity
            .minus(&self.used)
            .minus(&self.strays.room)
    }

    /// Whether it is there and stays.
    pub(super) fn is_sound(&self) -> bool {
        self.listed
            && self.answered
            && !self.report.draining
            && self.looks.silent == 0
            && self.clock.is_some()
    }

    /// Whether something new may be started there.
    pub(super) fn usable(&self, now: Time) -> bool {
        self.is_sound() && self.enrolled && now >= self.health.aside_until
    }
}

impl Scheduler {
    /// Takes in changed entries of the list.
    pub(super) fn vms_changed(&mut self, entries: Vec<(CompactString, Option<Registration>)>) {
        for (id, report) in entries {
            match report {
                Some(report) => self.vm_reported(report),
                None => self.vm_unlisted(&id),
            }
        }
    }

    /// Takes in the whole list.
    pub(super) fn vms_listed(&mut self, reports: Vec<Registration>) {
        let named: BTreeSet<CompactString> = reports.iter().map(|r| r.id.clone()).collect();
        let gone = self.vm_ids.keys().filter(|id| !named.contains(*id));
        for id in gone.cloned().collect::<Vec<_>>() {
            self.vm_unlisted(&id);
        }
        for report in reports {
            self.vm_reported(report);
        }
    }

    fn vm_unlisted(&mut self, id: &str) {
        let Some(&key) = self.vm_ids.get(id) else {
            return;
        };
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if !vm.listed {
            return;
        }
        vm.listed = false;
        self.note(0, "vm unlisted", format!("vm={id}"));
    }

    fn vm_reported(&mut self, report: Registration) {
        let Some(&key) = self.vm_ids.get(&report.id) else {
            return self.vm_new(report);
        };
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if report.started_ms < vm.report.started_ms {
            return;
        }
        let reborn = report.started_ms > vm.report.started_ms && vm.report.started_ms > 0;
        let changed = !vm.listed || vm.report.draining != report.draining || reborn;
        vm.listed = true;
        vm.report = report;
        if reborn {
            self.vm_reborn(key);
        }
        if changed {
            let (id, draining) = {
                let r = &self.vms.get(key).expect("looked up above").report;
                (r.id.clone(), r.draining)
            };
            self.note(
                0,
                "vm changed",
                format!("vm={id} draining={draining} reborn={reborn}"),
            );
            self.changed = true;
        }
        self.look_soon(key);
    }

    /// The row of a VM that the list need not name.
    pub(super) fn vm_of_id(&mut self, id: &CompactString) -> VmKey {
        if let Some(&key) = self.vm_ids.get(id) {
            return key;
        }
        let report = Registration {
            id: id.clone(),
            ..Registration::default()
        };
        let mut vm = Vm::new(report);
        vm.listed = false;
        self.add_vm(vm)
    }

    fn add_vm(&mut self, vm: Vm) -> VmKey {
        let id = vm.report.id.clone();
        let key = self.vms.insert(vm);
        self.vm_ids.insert(id, key);
        key
    }

    fn vm_new(&mut self, report: Registration) {
        let key = self.add_vm(Vm::new(report));
        self.changed = true;
        if self.marker.is_some() {
            self.look_now(key);
        }
    }

    /// A new incarnation: its numbers begin anew, and what runs there is in doubt.
    pub(super) fn vm_reborn(&mut self, key: VmKey) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        vm.answered = false;
        vm.clock = None;
        vm.lease_until_ms = 0;
        vm.ends_seen = 0;
        vm.ends_stored = 0;
        vm.health = Health::default();
        vm.looks.forget();
        self.set_strays(key, Strays::default());
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        let (id, runs) = (vm.report.id.clone(), vm.runs.clone());
        self.note(
            0,
            "vm reborn",
            format!("vm={id} runs_in_doubt={}", runs.len()),
        );
        for run in runs {
            self.doubt_run(run);
        }
        self.look_now(key);
    }

    /// Puts what a look showed in place of what an earlier one did.
    pub(super) fn set_strays(&mut self, key: VmKey, strays: Strays) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(&mut vm.strays, strays);
        if !old.needs.is_empty() {
            self.changed = true;
        }
        for (account, need) in old.needs {
            self.usage.entry(account).or_default().subtract(&need);
        }
        let Some(vm) = self.vms.get(key) else { return };
        for (account, need) in &vm.strays.needs {
            self.usage.entry(account.clone()).or_default().add(need);
        }
    }

    /// Counts a bad end against a VM, or clears it by a good one.
    pub(super) fn judge(&mut self, key: VmKey, good: bool) {
        let now = self.now;
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        let health = &mut vm.health;
        if good {
            health.bad = 0;
            health.asides = 0;
            return;
        }
        health.bad += 1;
        if health.bad < ASIDE_AFTER || now < health.aside_until {
            return;
        }
        let times = 1 << health.asides.min(3);
        health.aside_until = now + ASIDE_FOR.times(times);
        health.asides += 1;
        let note = format!(
            "vm={} bad_in_a_row={} times={times}",
            vm.report.id, health.bad
        );
        self.note(0, "vm put aside", note);
    }

    /// Frees what lapsed on VMs that do not answer.
    pub(super) fn scan_vms(&mut self) {
        let (now, drift) = (self.now, self.tuning.drift_milli);
        let mut lapsed = Vec::new();
        let mut due = Vec::new();
        for (key, vm) in self.vms.iter() {
            let over = vm.looks.silent > 0 && now > vm.lapsed_at(drift);
            // A VM that had announced its leaving and is unlisted has left.
            let left = vm.report.draining && !vm.listed && vm.looks.silent > 1;
            if (over || left) && !(vm.runs.is_empty() && vm.strays.needs.is_empty()) {
                lapsed.push(key);
            }
            if vm.looks.due(now) {
                due.push(key);
            }
        }
        for key in lapsed {
            self.vm_lapsed(key);
        }
        for key in due {
            self.look_now(key);
        }
    }

    fn vm_lapsed(&mut self, key: VmKey) {
        let Some(vm) = self.vms.get(key) else { return };
        let (id, runs) = (vm.report.id.clone(), vm.runs.clone());
        self.set_strays(key, Strays::default());
        self.note(0, "leases lapsed", format!("vm={id} runs={}", runs.len()));
        for run in runs {
            self.run_gone(run, "lease lapsed");
        }
    }
}
