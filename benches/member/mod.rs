//! A single member that holds the whole fleet, for measurements of the core without processes.

use std::collections::BTreeMap;

use monsoonnotch_core::config::Change;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::config::Lane;
use monsoonnotch_core::config::NO_VERSION;
use monsoonnotch_core::config::Profile;
use monsoonnotch_core::config::Setting;
use monsoonnotch_core::config::Team;
use monsoonnotch_core::config::TeamKey;
use monsoonnotch_core::event::CallArrived;
use monsoonnotch_core::event::KeyProof;
use monsoonnotch_core::event::ReadReply;
use monsoonnotch_core::event::Report;
use monsoonnotch_core::event::RunningTask;
use monsoonnotch_core::event::VmInfo;
use monsoonnotch_core::prelude::*;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::record::Stream;
use monsoonnotch_core::reducer::Policy;
use monsoonnotch_core::reducer::Settings;
use monsoonnotch_core::timing::Timing;

/// Workers in each rack.
const WORKERS_PER_RACK: usize = 8;
/// Interval between two ticks, in microseconds.
const TICK_US: u64 = 10_000;

/// A member with a simulated clock, log and workers.
#[derive(Debug)]
pub(crate) struct Member {
    /// The member's state machine.
    pub(crate) control: Control,
    /// The member's clock, in microseconds.
    pub(crate) now: u64,
    /// The control stream of the platform's log.
    pub(crate) log: Vec<Batch>,
    calls: u64,
    running: BTreeMap<Name, Vec<RunningTask>>,
}

/// Returns the entry of worker `i` in the platform's list of VMs.
pub(crate) fn vm(i: usize) -> VmInfo {
    VmInfo {
        name: Name::new(format!("vm-{i}")),
        addr: Name::new(format!("10.{}.{}.{}:80", i >> 16, i >> 8 & 255, i & 255)),
        domain: Name::new(format!("domain-{}", i / WORKERS_PER_RACK % 3)),
        rack: Name::new(format!("rack-{}", i / WORKERS_PER_RACK)),
        total: Resources {
            cpu_milli: 16_000,
            memory_mib: 65_536,
            accelerators: 0,
            slots: 8,
            connections: 60,
        },
        leaving: false,
    }
}

/// Returns the name of team `i`.
pub(crate) fn team(i: usize) -> Name {
    Name::new(format!("team-{i}"))
}

/// Returns the change that publishes team `i` in place of version `replaces`.
pub(crate) fn team_change(i: usize, replaces: u64) -> Change {
    let value = Team {
        account: Name::new("account"),
        share: 1 + (i % 5) as u32,
        limit: 60_000,
    };
    let set = Setting::Team(team(i), value);
    Change::new(replaces, set)
}

impl Member {
    /// Creates a member that holds `workers` workers and has `teams` teams with one key each.
    pub(crate) fn new(workers: usize, teams: usize) -> Self {
        let mut m = Self {
            control: Control::new(Settings {
                me: MemberId(1),
                domain: Name::new("domain-0"),
                addr: Name::new("10.0.0.1:1"),
                timing: Timing::default(),
                queue_max: 100_000,
                jobs_memory: u64::MAX,
                snapshot_every: u64::MAX / 2,
                policy: Policy::default(),
            }),
            now: 0,
            log: Vec::new(),
            calls: 0,
            running: BTreeMap::new(),
        };
        m.ticks(10);
        m.step(Event::Vms((0..workers).map(vm).collect()));
        m.publish(teams);
        // A member checks its holdings once a second while the log has no new records.
        while m.control.fleet().slots().total < workers as u64 * 8 {
            m.ticks(100);
        }
        m.ticks(200);
        m
    }

    /// Handles one event and responds to the effects that are requests to the platform.
    pub(crate) fn step(&mut self, ev: Event) -> Vec<Effect> {
        let out = self.control.step(Time(self.now), ev);
        for e in &out {
            self.answer(e);
        }
        out
    }

    /// Advances the clock by `n` ticks.
    pub(crate) fn ticks(&mut self, n: usize) {
        for _ in 0..n {
            self.now += TICK_US;
            self.step(Event::Tick);
        }
    }

    /// Lets a request of team `t` arrive and returns its key.
    pub(crate) fn arrive(&mut self, t: usize) -> CallKey {
        self.calls += 1;
        let call = CallKey(self.calls);
        let key = KeyProof {
            id: team(t),
            hash: KeyHash::of("secret"),
        };
        let arrived = CallArrived {
            call,
            key: Some(key),
            profile: Name::new("quick"),
            idem: None,
            digest: 0,
            deadline: None,
        };
        self.step(Event::Call(arrived));
        call
    }

    fn publish(&mut self, teams: usize) {
        let profile = Profile {
            size: Resources {
                cpu_milli: 2_000,
                memory_mib: 8_192,
                ..Resources::one_request()
            },
            max_wait_ms: 600_000,
            ..Profile::default()
        };
        let batch = Profile {
            lane: Lane::Batch,
            ..profile.clone()
        };
        let named = [("quick", profile), ("batch", batch)];
        let named = named.map(|(name, p)| Setting::Profile(Name::new(name), p));
        let mut all: Vec<Change> = named
            .into_iter()
            .map(|s| Change::new(NO_VERSION, s))
            .collect();
        all.extend((0..teams).map(|i| team_change(i, NO_VERSION)));
        for i in 0..teams {
            let key = TeamKey {
                team: team(i),
                hash: KeyHash::of("secret"),
                withdrawn: false,
            };
            all.push(Change::new(NO_VERSION, Setting::Key(team(i), key)));
        }
        for (i, change) in (0..).zip(all) {
            let ticket = Ticket(i);
            self.step(Event::Change { ticket, change });
        }
    }

    fn answer(&mut self, e: &Effect) {
        let now = Time(self.now);
        let ev = match e {
            Effect::Read { from } => {
                let tail = self.log.len() as u64;
                let batches = (*from..tail).map(|i| (i, Some(self.log[i as usize].clone())));
                Event::Read(ReadReply {
                    asked: now,
                    first: 0,
                    tail,
                    batches: batches.collect(),
                })
            }
            Effect::Append { token, batch } => {
                self.log.push(batch.clone());
                let stream = Stream::Control;
                let token = *token;
                Event::Appended { stream, token }
            }
            Effect::Journal { token, .. } => {
                let stream = Stream::Journal(MemberId(1));
                let token = *token;
                Event::Appended { stream, token }
            }
            Effect::Sync(sync) => {
                let running = self.running.get(&sync.vm);
                let report = Report {
                    running: running.cloned().unwrap_or_default(),
                    ..Report::default()
                };
                let vm = sync.vm.clone();
                let asked = now;
                Event::Synced { vm, asked, report }
            }
            Effect::StartTask { vm, task, spec, .. } => {
                let running = RunningTask {
                    id: *task,
                    team: spec.team.clone(),
                    size: spec.size,
                };
                self.running.entry(vm.clone()).or_default().push(running);
                let (vm, task, verdict) = (vm.clone(), *task, Verdict::Ran);
                Event::TaskStarted { vm, task, verdict }
            }
            _ => return,
        };
        self.step(ev);
    }
}
