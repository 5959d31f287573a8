//! Random series of faults of members, VMs, the store and the network, which may overlap.

use std::time::Duration;

use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::network::Network;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::store::Faults;
use monsoonnotch_standins::fault_injection::Fault;
use monsoonnotch_standins::path;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::conditions::Conditions;

/// Response of a store that refuses one member.
const STORE_REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Largest number of members, and of VMs, between which one fault affects the paths.
const PATH_SIDE_MAX: usize = 16;
/// Number of VMs of which at most one has left, as a divisor of the number of VMs.
const VMS_PER_DEPARTURE: usize = 4;
/// Pause between the losses of successive leaders, in milliseconds.
const LEADER_TERM_MS: std::ops::Range<u64> = 2_000..9_000;
/// Absence of a VM that returns under another id, in milliseconds.
const ABSENCE_MS: std::ops::Range<u64> = 10_000..15_000;
/// Latest time of the first departure in a run in which VMs only leave, in milliseconds.
const DEPARTURE_MS: u64 = 4_000;
/// Time until a leader is killed of which the successor is not known yet, in milliseconds.
const SUCCESSOR_PAUSE_MS: u64 = 200;

/// A change at one time. Numbers are indexes of members or VMs.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    Signal(usize, &'static str),
    /// Starts a member again, unless it is running.
    Start(usize),
    StorePath(usize, Fault),
    Store(Faults),
    Crash(usize),
    Restart(usize),
    /// Starts a VM again under a new id.
    Rename(usize),
    /// A VM ends and does not return, except by [`Action::Return`].
    Leave(usize),
    /// A VM that left returns under a new id.
    Return(usize),
    Late(usize, f64),
    Unhealthy(usize, f64),
    Withdrawn(usize, bool),
    /// The paths from some members to some VMs.
    VmPaths(Vec<usize>, Vec<usize>, path::Fault),
    /// The paths between a member and others.
    MemberPaths(usize, Vec<usize>, path::Fault),
    /// A random fault of the member that is the leader at that time.
    Leader,
    /// Kills the leader, and starts its process again after a pause.
    KillLeader,
}

/// The changes to come, and what they act upon.
pub(crate) struct FaultPlan<'a> {
    pub(crate) site: &'a Site,
    pub(crate) network: &'a Network,
    pub(crate) members: &'a mut [Member],
    pub(crate) program: &'a str,
    began: Instant,
    pending: Vec<(Instant, Action)>,
    pub(crate) conditions: Conditions,
    /// Whether VMs only fail by leaving, so that leaders that follow each other are the main fault.
    vms_only_leave: bool,
    /// When a leader was last killed as such.
    leader_killed: Option<Instant>,
}

impl<'a> FaultPlan<'a> {
    pub(crate) fn new(
        site: &'a Site,
        network: &'a Network,
        members: &'a mut [Member],
        program: &'a str,
        rng: &mut StdRng,
    ) -> Self {
        let vms_only_leave = rng.random_bool(0.5);
        let mut plan = Self {
            site,
            network,
            members,
            program,
            began: Instant::now(),
            pending: Vec::new(),
            conditions: Conditions::default(),
            vms_only_leave,
            leader_killed: None,
        };
        if vms_only_leave {
            plan.remove_vms(rng, DEPARTURE_MS);
            plan.kill_leaders(rng);
        }
        plan
    }

    /// Adds a random series of faults. Each fault lasts 0.3 to 4 seconds.
    pub(crate) fn add_series(&mut self, rng: &mut StdRng) {
        let ms = rng.random_range(300..4_000);
        let kind = match self.vms_only_leave {
            true => [0, 1, 2, 3, 4, 12, 13, 14, 15][rng.random_range(0..9)],
            false => rng.random_range(0..16),
        };
        match kind {
            0 => self.end_member(rng, "KILL", ms),
            1 => self.pause_member(rng, ms),
            2 => self.end_member(rng, "TERM", ms),
            3 => self.fault_store_paths(rng, ms),
            4 => self.fault_store(rng, ms),
            5 => self.crash_vms(rng, ms),
            6 => self.disturb_vms(rng, ms),
            7..=10 => self.fault_vm_paths(rng, ms),
            11 => self.crash_behind_cut(rng, ms),
            12 => {
                for n in 0..rng.random_range(2..5) {
                    self.at(n * rng.random_range(300..1_500), Action::Leader);
                }
            }
            13 => {
                for m in 0..self.members.len() {
                    self.at(0, Action::Signal(m, "KILL"));
                    self.at(ms / 4, Action::Start(m));
                }
            }
            14 => self.remove_vms(rng, ms),
            _ => self.kill_leaders(rng),
        }
    }

    /// Lets some VMs leave. Some return much later, under another id.
    fn remove_vms(&mut self, rng: &mut StdRng, ms: u64) {
        for _ in 0..rng.random_range(1..3) {
            let v = self.vm(rng);
            self.at(rng.random_range(0..ms), Action::Leave(v));
            if rng.random_bool(0.3) {
                self.at(ms + rng.random_range(ABSENCE_MS), Action::Return(v));
            }
        }
    }

    /// Kills leaders that follow each other.
    fn kill_leaders(&mut self, rng: &mut StdRng) {
        let mut after_ms = 0;
        for _ in 0..rng.random_range(2..5) {
            after_ms += rng.random_range(LEADER_TERM_MS);
            self.at(after_ms, Action::KillLeader);
        }
    }

    /// Carries out the actions whose time has come.
    pub(crate) fn advance(&mut self, rng: &mut StdRng) {
        let now = Instant::now();
        let mut due: Vec<_> = self.pending.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, action) in due {
            self.apply(action, rng);
        }
    }

    /// Ends all faults and drops the actions to come.
    pub(crate) fn repair(&mut self) {
        self.pending.clear();
        self.network.repair();
        self.site.store.set_faults(Faults::default());
        for (v, vm) in self.site.vms.iter().enumerate() {
            vm.set_late_share(0.0);
            vm.set_unhealthy_share(0.0);
            vm.set_withdrawn(false);
            if !vm.is_up() && !self.conditions.departed.contains(&v) {
                vm.restart();
            }
        }
        for (m, member) in self.members.iter_mut().enumerate() {
            member.store_proxy.set_fault(Fault::None);
            member.signal("CONT");
            if self.conditions.ended.contains(&m) {
                member.start(self.program);
            }
        }
        self.conditions.repair();
    }

    fn at(&mut self, after_ms: u64, action: Action) {
        let at = Instant::now() + Duration::from_millis(after_ms);
        self.pending.push((at, action));
    }

    fn member(&self, rng: &mut StdRng) -> usize {
        rng.random_range(0..self.members.len())
    }

    fn vm(&self, rng: &mut StdRng) -> usize {
        rng.random_range(0..self.site.vms.len())
    }

    fn end_member(&mut self, rng: &mut StdRng, signal: &'static str, ms: u64) {
        let m = self.member(rng);
        self.at(0, Action::Signal(m, signal));
        self.at(ms, Action::Start(m));
    }

    fn pause_member(&mut self, rng: &mut StdRng, ms: u64) {
        let m = self.member(rng);
        self.at(0, Action::Signal(m, "STOP"));
        self.at(ms, Action::Signal(m, "CONT"));
    }

    fn fault_store_paths(&mut self, rng: &mut StdRng, ms: u64) {
        let fault = store_path_fault(rng);
        for m in some(rng, self.members.len()) {
            self.at(0, Action::StorePath(m, fault.clone()));
            self.at(ms, Action::StorePath(m, Fault::None));
        }
    }

    fn fault_store(&mut self, rng: &mut StdRng, ms: u64) {
        let (down, lost_share, delay_ms) =
            [(true, 0.0, 0), (false, 0.3, 0), (false, 0.0, 200)][rng.random_range(0..3)];
        let faults = Faults {
            down,
            lost_share,
            delay_ms,
            ..Faults::default()
        };
        self.at(0, Action::Store(faults));
        self.at(ms, Action::Store(Faults::default()));
    }

    fn crash_vms(&mut self, rng: &mut StdRng, ms: u64) {
        for _ in 0..rng.random_range(1..3) {
            let v = self.vm(rng);
            self.at(0, Action::Crash(v));
            let start = match rng.random_bool(0.3) {
                true => Action::Rename(v),
                false => Action::Restart(v),
            };
            self.at(ms, start);
        }
    }

    /// Withdraws the entries of some VMs, or lets VMs execute orders late or refuse them.
    fn disturb_vms(&mut self, rng: &mut StdRng, ms: u64) {
        let kind = rng.random_range(0..3);
        for v in some(rng, self.site.vms.len()) {
            let (begin, end) = match kind {
                0 => (Action::Withdrawn(v, true), Action::Withdrawn(v, false)),
                1 => (Action::Late(v, 0.2), Action::Late(v, 0.0)),
                _ => (Action::Unhealthy(v, 0.5), Action::Unhealthy(v, 0.0)),
            };
            self.at(0, begin);
            self.at(ms, end);
        }
    }

    fn fault_vm_paths(&mut self, rng: &mut StdRng, ms: u64) {
        let fault = match rng.random_range(0..9) {
            0 => path::Fault::SilentToServer,
            1 => path::Fault::SilentToClient,
            2 => path::Fault::Silent,
            3 => path::Fault::Reset,
            4 => path::Fault::Refused,
            _ => path::Fault::Lossy(rng.random_range(15..50)),
        };
        let (members, vms) = self.sides(rng);
        self.at(0, Action::VmPaths(members.clone(), vms.clone(), fault));
        self.at(2 * ms, Action::VmPaths(members, vms, path::Fault::None));
    }

    /// Cuts VMs off, crashes one behind the cut, and starts it again under its id and address.
    fn crash_behind_cut(&mut self, rng: &mut StdRng, ms: u64) {
        let (members, vms) = self.sides(rng);
        let v = vms[rng.random_range(0..vms.len())];
        let (cut, healed) = (path::Fault::Silent, path::Fault::None);
        self.at(0, Action::VmPaths(members.clone(), vms.clone(), cut));
        self.at(rng.random_range(0..ms), Action::Crash(v));
        self.at(ms + rng.random_range(0..ms), Action::Restart(v));
        self.at(2 * ms, Action::VmPaths(members, vms, healed));
    }

    /// Returns some members and some VMs. The leader is one of the members in most cases.
    fn sides(&self, rng: &mut StdRng) -> (Vec<usize>, Vec<usize>) {
        let mut members = some(rng, self.members.len());
        let leader = leader(self.site).map(|(m, _)| m);
        let leader = leader.filter(|m| !members.contains(m));
        members.extend(leader.filter(|_| rng.random_bool(0.8)));
        (members, some(rng, self.site.vms.len()))
    }

    /// Adds a random fault of the leader. One of them cuts it off from the store and from some
    /// members while it still reaches the VMs.
    fn fault_leader(&mut self, rng: &mut StdRng) {
        let Some((m, _)) = leader(self.site) else {
            return;
        };
        let ms = rng.random_range(500..4_000);
        match rng.random_range(0..5) {
            0 => {
                self.at(0, Action::Signal(m, "STOP"));
                self.at(ms, Action::Signal(m, "CONT"));
            }
            n @ (1 | 2) => {
                self.at(0, Action::Signal(m, ["KILL", "TERM"][n - 1]));
                self.at(ms, Action::Start(m));
            }
            _ => {
                let others = some(rng, self.members.len());
                let (cut, healed) = (path::Fault::Silent, path::Fault::None);
                self.at(0, Action::StorePath(m, store_path_fault(rng)));
                self.at(0, Action::MemberPaths(m, others.clone(), cut));
                self.at(ms, Action::MemberPaths(m, others, healed));
                self.at(ms, Action::StorePath(m, Fault::None));
            }
        }
    }

    /// Kills the leader as soon as there is one, unless another was killed shortly before.
    fn kill_leader(&mut self, rng: &mut StdRng) {
        let pause = Duration::from_millis(LEADER_TERM_MS.start);
        if self.leader_killed.is_some_and(|at| at.elapsed() < pause) {
            return;
        }
        match leader(self.site) {
            Some((m, _)) if !self.conditions.ended.contains(&m) => {
                self.leader_killed = Some(Instant::now());
                self.at(0, Action::Signal(m, "KILL"));
                self.at(rng.random_range(300..4_000), Action::Start(m));
            }
            _ => self.at(SUCCESSOR_PAUSE_MS, Action::KillLeader),
        }
    }

    /// Returns whether a VM may crash, start or leave now.
    fn allows_vm_change(&self, action: &Action) -> bool {
        let departed = &self.conditions.departed;
        match action {
            Action::Crash(v) | Action::Restart(v) | Action::Rename(v) => !departed.contains(v),
            Action::Leave(v) => {
                let departures_max = self.site.vms.len() / VMS_PER_DEPARTURE;
                !departed.contains(v) && departed.len() < departures_max
            }
            Action::Return(v) => departed.contains(v),
            _ => true,
        }
    }

    fn apply(&mut self, action: Action, rng: &mut StdRng) {
        if !self.allows_vm_change(&action) {
            return;
        }
        let ms = self.began.elapsed().as_millis();
        println!("fault: {}.{:03} {action:?}", ms / 1_000, ms % 1_000);
        let was_ended = matches!(action, Action::Start(m) if self.conditions.ended.contains(&m));
        self.conditions.record(&action);
        match action {
            Action::Signal(m, name) => self.members[m].signal(name),
            Action::Start(m) if was_ended => self.members[m].start(self.program),
            Action::Start(_) => {}
            Action::StorePath(m, fault) => {
                let proxy = &self.members[m].store_proxy;
                let begins = fault != Fault::None;
                proxy.set_fault(fault);
                if begins {
                    proxy.silence_open_connections();
                }
            }
            Action::Store(faults) => self.site.store.set_faults(faults),
            Action::Crash(v) | Action::Leave(v) => self.site.vms[v].crash(),
            Action::Restart(v) => self.site.vms[v].restart(),
            Action::Rename(v) | Action::Return(v) => self.site.vms[v].restart_renamed(),
            Action::Unhealthy(v, share) => self.site.vms[v].set_unhealthy_share(share),
            Action::Late(v, share) => self.site.vms[v].set_late_share(share),
            Action::Withdrawn(v, withdrawn) => self.site.vms[v].set_withdrawn(withdrawn),
            Action::VmPaths(members, vms, fault) => {
                self.network.set_vm_fault(&members, &vms, fault);
            }
            Action::MemberPaths(m, others, fault) => {
                self.network.set_member_fault(m, &others, fault);
            }
            Action::Leader => self.fault_leader(rng),
            Action::KillLeader => self.kill_leader(rng),
        }
    }
}

/// Returns the member with the newest leadership claim, and the number of claims so far.
pub(crate) fn leader(site: &Site) -> Option<(usize, usize)> {
    let claims = site.store.record_count("keyed.holder");
    let claim = site.store.last_record("keyed.holder")?;
    let claim = String::from_utf8_lossy(&claim);
    let (_, number) = claim.split_once("member-")?;
    let digits = number.find(|c: char| !c.is_ascii_digit())?;
    Some((number[..digits].parse().ok()?, claims))
}

/// Returns some random numbers below `count`, at least one.
fn some(rng: &mut StdRng, count: usize) -> Vec<usize> {
    let share = rng.random_range(0.1..0.7);
    let mut picked: Vec<usize> = (0..count).filter(|_| rng.random_bool(share)).collect();
    picked.truncate(PATH_SIDE_MAX);
    if picked.is_empty() {
        picked.push(rng.random_range(0..count));
    }
    picked
}

fn store_path_fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Unavailable,
        1 => Fault::Unresponsive,
        2 => Fault::WithholdResponse,
        _ => Fault::Respond(STORE_REFUSAL.into()),
    }
}
