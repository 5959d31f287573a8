//! The execution of a process's effects by the simulated log, links and workers.

use monsoonnotch_core::config::Change;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::config::NO_VERSION;
use monsoonnotch_core::config::Profile;
use monsoonnotch_core::config::Setting;
use monsoonnotch_core::config::Team;
use monsoonnotch_core::config::TeamKey;
use monsoonnotch_core::effect::Effect;
use monsoonnotch_core::effect::Sync;
use monsoonnotch_core::event::CallArrived;
use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::event::KeyProof;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::ident::Ticket;
use monsoonnotch_core::notice::Notice;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::record::Stream;
use monsoonnotch_core::time::Time;
use monsoonnotch_core::timing::Timing;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Verdict;
use monsoonnotch_core::wire::PeerAddr;
use monsoonnotch_core::wire::PeerMsg;
use rand::Rng;

use crate::process::RunState;
use crate::simulation::Action;
use crate::simulation::MS;
use crate::simulation::Simulation;
use crate::simulation::TEAMS;
use crate::workers::Run;

/// Limit of each team in the first configuration.
pub(crate) const INITIAL_LIMIT: u32 = 9;
/// Maximum one-way delay without faults, in microseconds.
const LINK_DELAY_MAX: u64 = 5 * MS;
/// Time after which a request that the log does not answer fails, in microseconds.
const LOG_TIMEOUT: u64 = 500 * MS;
/// Maximum run time of nine in ten requests, in microseconds.
const RUN_MAX: u64 = 1_500 * MS;
/// Maximum run time of any request, in microseconds.
const LONG_RUN_MAX: u64 = 8_000 * MS;

impl Simulation {
    /// Executes an effect of a process.
    pub(crate) fn execute(&mut self, n: usize, effect: Effect) {
        let incarnation = self.processes[n].incarnation;
        match effect {
            Effect::Read { from } => {
                let asked = self.processes[n].clock(self.now);
                let wait = self.random(LINK_DELAY_MAX);
                self.schedule_after(wait, Action::Read(n, incarnation, asked, from));
            }
            Effect::Append { token, batch } => {
                let reply = Event::Appended {
                    stream: Stream::Control,
                    token,
                };
                let written = Some(Action::Append(batch));
                self.send_to_log(n, Stream::Control, reply, written);
            }
            Effect::Journal { token, entries } => {
                let stream = Stream::Journal(self.processes[n].me);
                let me = self.processes[n].me;
                self.log.journals.entry(me).or_default().extend(entries);
                self.send_to_log(n, stream, Event::Appended { stream, token }, None);
            }
            Effect::ReadJournal(member) => {
                let entries = self.log.journals.get(&member).cloned().unwrap_or_default();
                let reply = Event::Journal { member, entries };
                self.send_to_log(n, Stream::Journal(member), reply, None);
            }
            Effect::Send { to, msg } => self.send(n, &to, msg),
            Effect::Sync(sync) => self.sync(n, &sync),
            Effect::StartTask { vm, task, .. } => {
                let verdict = Verdict::NotRun;
                self.send_event(n, LINK_DELAY_MAX, Event::TaskStarted { vm, task, verdict });
            }
            Effect::Dispatch {
                call,
                addr,
                certain_until,
                ..
            } => {
                let wait = self.write_delay();
                self.schedule_after(
                    wait,
                    Action::Write(n, incarnation, call, addr, certain_until),
                );
            }
            Effect::Answer { ticket, answer } => self.checker.check_answer(ticket, &answer),
            Effect::Log(Notice::InvariantBroken(what)) => {
                self.checker.report_violation(what.to_owned())
            }
            Effect::Stopped => self.stopped(n),
            Effect::Refuse { .. } | Effect::Log(_) | Effect::Ready(_) => {}
        }
    }

    /// Sends an event to a process after a delay; it is dropped if the process restarts meanwhile.
    fn send_event(&mut self, n: usize, wait: u64, ev: Event) {
        let incarnation = self.processes[n].incarnation;
        self.schedule_after(wait, Action::Event(n, incarnation, Box::new(ev)));
    }

    /// Sends a request to the log, which may take effect without a reply.
    ///
    /// `written` is the action by which the request takes effect, if it has one. `reply` is the
    /// event for the process unless the request or its reply is lost.
    fn send_to_log(&mut self, n: usize, stream: Stream, reply: Event, written: Option<Action>) {
        let unavailable = self.faults.log_unavailable(n);
        let bad = self.faults.bad_appends();
        let lost = unavailable || bad && self.chance(40);
        let wait = self.random(LINK_DELAY_MAX);
        if let Some(action) = written
            && (!unavailable || self.chance(20))
        {
            let late = match bad && self.chance(30) {
                true => self.random(6_000 * MS),
                false => wait,
            };
            self.schedule_after(late, action);
            if late > wait {
                return self.send_event(n, LOG_TIMEOUT, Event::LogFailed(stream));
            }
        }
        match lost {
            true => self.send_event(n, LOG_TIMEOUT, Event::LogFailed(stream)),
            false => self.send_event(n, wait + LINK_DELAY_MAX, reply),
        }
    }

    /// Lets the log handle a read, whose reply may be late.
    pub(crate) fn read(&mut self, n: usize, incarnation: u32, asked: Time, from: u64) {
        if self.faults.log_unavailable(n) {
            let failed = Event::LogFailed(Stream::Control);
            let action = Action::Event(n, incarnation, Box::new(failed));
            return self.schedule_after(LOG_TIMEOUT, action);
        }
        let reply = self.log.read(asked, from);
        self.checker.stats.expired_reads += u64::from(from < reply.first);
        let reply = Event::Read(reply);
        let late = self.faults.bad_appends() && self.chance(10);
        let wait = match late {
            true => self.random(3_000 * MS),
            false => self.random(LINK_DELAY_MAX),
        };
        self.schedule_after(wait, Action::Event(n, incarnation, Box::new(reply)));
    }

    /// Appends a batch to the control stream.
    pub(crate) fn append(&mut self, batch: Batch) {
        let changes = self.log.append(self.now, batch);
        self.count_endings(&changes);
    }

    /// Sends a message to a peer, which may be lost or late.
    fn send(&mut self, n: usize, to: &PeerAddr, msg: PeerMsg) {
        let from = self.processes[n].me;
        if let PeerMsg::SlotGrant { call, vm, .. } = &msg {
            let key = (*call, vm.clone());
            self.grants.insert(key, from);
        }
        let receiver = self.processes.iter().position(|p| p.addr == to.addr);
        let Some(r) = receiver.filter(|r| !self.faults.is_cut(n, *r)) else {
            return;
        };
        let bad = self.faults.bad_links();
        if bad && self.chance(30) {
            return;
        }
        let wait = match bad && self.chance(30) {
            true => self.random(4_000 * MS),
            false => self.random(LINK_DELAY_MAX),
        };
        // The message is sent to a network address, so it also reaches a later incarnation of the
        // process.
        let to = to.member;
        let action = Action::Event(r, u32::MAX, Box::new(Event::Peer { from, to, msg }));
        self.schedule_after(wait, action);
    }

    /// Lets a worker handle a sync; it does not answer one with an outdated epoch.
    fn sync(&mut self, n: usize, sync: &Sync) {
        let age = self.random(400);
        let worker = self.workers.iter_mut().find(|w| w.info.name == sync.vm);
        let report = worker.and_then(|w| w.sync(sync.epoch, 0));
        let asked = self.processes[n].clock(self.now);
        let vm = sync.vm.clone();
        let ev = match report {
            Some(mut report) => {
                report.age_ms = age;
                Event::Synced { vm, asked, report }
            }
            None => Event::SyncFailed { vm },
        };
        let wait = self.random(LINK_DELAY_MAX);
        self.send_event(n, wait, ev);
    }

    /// Returns a random delay from the dispatch of a request to the check before its write.
    fn write_delay(&mut self) -> u64 {
        match self.faults.slow_writes() || self.chance(2) {
            true => self.random(5_000 * MS),
            false => self.random(2 * MS),
        }
    }

    /// Checks that the right to write a request has not expired at `until`, and writes it if so.
    pub(crate) fn check_and_write(
        &mut self,
        n: usize,
        incarnation: u32,
        call: CallKey,
        addr: Name,
        until: Time,
    ) {
        let p = &self.processes[n];
        if p.incarnation != incarnation || p.run_state == RunState::Down {
            return;
        }
        if p.clock(self.now) >= until {
            let outcome = CallOutcome::NotRun(Reason::Uncertain);
            return self.send_event(n, 0, Event::CallEnded { call, outcome });
        }
        let longest = Timing::default().dispatch_max.0;
        let wait = match self.chance(5) {
            true => self.random(longest),
            false => self.random(LINK_DELAY_MAX),
        };
        self.schedule_after(wait, Action::Received(n, incarnation, call, addr));
    }

    /// Lets a worker receive a request and starts its run.
    pub(crate) fn receive_request(
        &mut self,
        n: usize,
        incarnation: u32,
        call: CallKey,
        addr: &Name,
    ) {
        let Some(vm) = self.workers.iter().position(|w| w.info.addr == *addr) else {
            return;
        };
        self.last_id += 1;
        let id = self.last_id;
        let run = Run {
            id,
            team: self.teams[&call].clone(),
            process: n,
            call,
            incarnation,
            cut: self.chance(5),
        };
        let cut = run.cut;
        self.workers[vm].runs.push(run);
        self.check_write(n, vm, call);
        let longest = match self.chance(10) {
            true => LONG_RUN_MAX,
            false => RUN_MAX,
        };
        let span = self.random(longest);
        self.schedule_after(span, Action::RunEnded(vm, id));
        if cut {
            let outcome = CallOutcome::MayHaveRun(Reason::UpstreamCut);
            let ev = Box::new(Event::CallEnded { call, outcome });
            self.schedule_after(span / 2, Action::Event(n, incarnation, ev));
        }
    }

    /// Ends a run on a worker and reports it to the process, unless its connection was cut.
    pub(crate) fn end_run(&mut self, vm: usize, id: u64) {
        let runs = &mut self.workers[vm].runs;
        let Some(i) = runs.iter().position(|r| r.id == id) else {
            return;
        };
        let run = runs.remove(i);
        if run.cut {
            return;
        }
        let outcome = CallOutcome::Complete;
        let call = run.call;
        let wait = self.random(LINK_DELAY_MAX);
        let ev = Box::new(Event::CallEnded { call, outcome });
        self.schedule_after(wait, Action::Event(run.process, run.incarnation, ev));
    }

    /// Sends a process a caller's request of a random team.
    pub(crate) fn send_request(&mut self, n: usize) {
        self.last_id += 1;
        let call = CallKey(self.last_id);
        let team = TEAMS[usize::from(self.chance(50))];
        self.teams.insert(call, team.into());
        let arrived = CallArrived {
            call,
            key: Some(KeyProof {
                id: team.into(),
                hash: KeyHash::of(team),
            }),
            profile: "check".into(),
            idem: None,
            digest: 0,
            deadline: None,
        };
        self.step(n, Event::Call(arrived));
    }

    /// Appends the first configuration to the log, as a member that joins and leaves in one batch.
    pub(crate) fn publish_config(&mut self) {
        use monsoonnotch_core::record::Body;
        use monsoonnotch_core::record::Record;
        let mut bodies = vec![Body::Join {
            domain: "fd-0".into(),
            addr: "operator".into(),
        }];
        let profile = Profile {
            repeatable: true,
            timeout_ms: LONG_RUN_MAX / MS,
            ..Profile::default()
        };
        bodies.push(config_record(Setting::Profile("check".into(), profile)));
        for team in TEAMS {
            let key = TeamKey {
                team: team.into(),
                hash: KeyHash::of(team),
                withdrawn: false,
            };
            bodies.push(config_record(Setting::Team(
                team.into(),
                team_with_limit(INITIAL_LIMIT),
            )));
            bodies.push(config_record(Setting::Key(team.into(), key)));
        }
        let (successor, read) = (None, 0);
        bodies.push(Body::Leave { successor, read });
        let records = (1..).zip(bodies).map(|(seq, body)| Record { seq, body });
        let writer = MemberId(self.rng.next_u64());
        let records = records.collect();
        self.append(Batch { writer, records });
    }

    /// Sets a team's limit through a process; the change replaces the version in its ledger.
    pub(crate) fn set_limit(&mut self, n: usize, team: usize, limit: u32) {
        let name = TEAMS[team % TEAMS.len()];
        let teams = &self.processes[n].control.ledger().config.teams;
        let replaces = teams.get(name).map_or(NO_VERSION, |t| t.version);
        let set = Setting::Team(name.into(), team_with_limit(limit));
        self.last_id += 1;
        let ticket = Ticket(self.last_id);
        self.checker.changes.insert(ticket, name.into());
        let change = Change::new(replaces, set);
        self.step(n, Event::Change { ticket, change });
    }
}

fn team_with_limit(limit: u32) -> Team {
    Team {
        account: "account".into(),
        share: 1,
        limit,
    }
}

/// Returns the record of a change that adds an object to the configuration.
fn config_record(set: Setting) -> monsoonnotch_core::record::Body {
    monsoonnotch_core::record::Body::Config(Change::new(NO_VERSION, set))
}
