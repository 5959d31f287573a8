//! What the outside makes of a process's effects.

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

use crate::cell::Cell;
use crate::cell::Due;
use crate::cell::MS;
use crate::cell::TEAMS;
use crate::process::Life;
use crate::workers::Run;

/// Upper limit of each team at the start.
pub(crate) const LIMIT: u32 = 9;
/// Longest one-way way on a sound link.
const LINK: u64 = 5 * MS;
/// Time after which a request to a dark log fails.
const LOG_TIMEOUT: u64 = 500 * MS;
/// Longest run of most requests.
const RUN: u64 = 1_500 * MS;
/// Longest run of any request.
const LONG_RUN: u64 = 8_000 * MS;

impl Cell {
    pub(crate) fn carry_out(&mut self, n: usize, effect: Effect) {
        let start = self.processes[n].start;
        match effect {
            Effect::Read { from } => {
                let asked = self.processes[n].clock(self.now);
                let wait = self.random(LINK);
                self.after(wait, Due::Read(n, start, asked, from));
            }
            Effect::Append { token, batch } => {
                let reply = Event::Appended {
                    stream: Stream::Control,
                    token,
                };
                let written = Some(Due::Append(batch));
                self.ask_log(n, Stream::Control, reply, written);
            }
            Effect::Journal { token, entries } => {
                let stream = Stream::Journal(self.processes[n].me);
                let me = self.processes[n].me;
                self.log.journals.entry(me).or_default().extend(entries);
                self.ask_log(n, stream, Event::Appended { stream, token }, None);
            }
            Effect::ReadJournal(member) => {
                let entries = self.log.journals.get(&member).cloned().unwrap_or_default();
                let reply = Event::Journal { member, entries };
                self.ask_log(n, Stream::Journal(member), reply, None);
            }
            Effect::Send { to, msg } => self.send(n, &to, msg),
            Effect::Sync(sync) => self.sync(n, &sync),
            Effect::StartTask { vm, task, .. } => {
                let verdict = Verdict::NotRun;
                self.event(n, LINK, Event::TaskStarted { vm, task, verdict });
            }
            Effect::Dispatch {
                call,
                addr,
                certain_until,
                ..
            } => {
                let wait = self.hold_up_write();
                self.after(wait, Due::Write(n, start, call, addr, certain_until));
            }
            Effect::Answer { ticket, answer } => self.witness.answered(ticket, &answer),
            Effect::Log(Notice::InvariantBroken(what)) => self.witness.breach(what.to_owned()),
            Effect::Stopped => self.stopped(n),
            Effect::Refuse { .. } | Effect::Log(_) | Effect::Ready(_) => {}
        }
    }

    /// Hands an event to a process after a wait, unless it is started anew meanwhile.
    fn event(&mut self, n: usize, wait: u64, ev: Event) {
        let start = self.processes[n].start;
        self.after(wait, Due::Event(n, start, Box::new(ev)));
    }

    /// Asks the log for something that may take effect and is then confirmed.
    fn ask_log(&mut self, n: usize, stream: Stream, reply: Event, written: Option<Due>) {
        let dark = self.faults.log_dark(n);
        let bad = self.faults.bad_appends();
        let lost = dark || bad && self.chance(40);
        let wait = self.random(LINK);
        if let Some(due) = written
            && (!dark || self.chance(20))
        {
            let late = match bad && self.chance(30) {
                true => self.random(6_000 * MS),
                false => wait,
            };
            self.after(late, due);
            if late > wait {
                return self.event(n, LOG_TIMEOUT, Event::LogFailed(stream));
            }
        }
        match lost {
            true => self.event(n, LOG_TIMEOUT, Event::LogFailed(stream)),
            false => self.event(n, wait + LINK, reply),
        }
    }

    pub(crate) fn read(&mut self, n: usize, start: u32, asked: Time, from: u64) {
        if self.faults.log_dark(n) {
            let failed = Event::LogFailed(Stream::Control);
            let due = Due::Event(n, start, Box::new(failed));
            return self.after(LOG_TIMEOUT, due);
        }
        let reply = self.log.read(asked, from);
        self.witness.figures.restored += u64::from(from < reply.first);
        let reply = Event::Read(reply);
        let late = self.faults.bad_appends() && self.chance(10);
        let wait = match late {
            true => self.random(3_000 * MS),
            false => self.random(LINK),
        };
        self.after(wait, Due::Event(n, start, Box::new(reply)));
    }

    pub(crate) fn append(&mut self, batch: Batch) {
        let folded = self.log.append(self.now, batch);
        self.appended(&folded);
    }

    fn send(&mut self, n: usize, to: &PeerAddr, msg: PeerMsg) {
        let from = self.processes[n].me;
        if let PeerMsg::SlotGrant { call, vm, .. } = &msg {
            let key = (*call, vm.clone());
            self.grants.insert(key, from);
        }
        let receiver = self.processes.iter().position(|p| p.addr == to.addr);
        let Some(r) = receiver.filter(|r| !self.faults.cut(n, *r)) else {
            return;
        };
        let bad = self.faults.bad_links();
        if bad && self.chance(30) {
            return;
        }
        let wait = match bad && self.chance(30) {
            true => self.random(4_000 * MS),
            false => self.random(LINK),
        };
        // A link leads to an address; who listens there when it comes is another matter.
        let to = to.member;
        let due = Due::Event(r, u32::MAX, Box::new(Event::Peer { from, to, msg }));
        self.after(wait, due);
    }

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
        let wait = self.random(LINK);
        self.event(n, wait, ev);
    }

    fn hold_up_write(&mut self) -> u64 {
        match self.faults.slow_writes() || self.chance(2) {
            true => self.random(5_000 * MS),
            false => self.random(2 * MS),
        }
    }

    /// The check right before the write, and the write if it passes.
    pub(crate) fn write(&mut self, n: usize, start: u32, call: CallKey, addr: Name, until: Time) {
        let p = &self.processes[n];
        if p.start != start || p.life == Life::Down {
            return;
        }
        if p.clock(self.now) >= until {
            let outcome = CallOutcome::NotRun(Reason::Uncertain);
            return self.event(n, 0, Event::CallEnded { call, outcome });
        }
        let longest = Timing::default().dispatch_max.0;
        let wait = match self.chance(5) {
            true => self.random(longest),
            false => self.random(LINK),
        };
        self.after(wait, Due::Written(n, start, call, addr));
    }

    pub(crate) fn written(&mut self, n: usize, start: u32, call: CallKey, addr: &Name) {
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
            start,
            cut: self.chance(5),
        };
        let cut = run.cut;
        self.workers[vm].runs.push(run);
        self.check_write(n, vm, call);
        let longest = match self.chance(10) {
            true => LONG_RUN,
            false => RUN,
        };
        let span = self.random(longest);
        self.after(span, Due::Ends(vm, id));
        if cut {
            let outcome = CallOutcome::MayHaveRun(Reason::UpstreamCut);
            let ev = Box::new(Event::CallEnded { call, outcome });
            self.after(span / 2, Due::Event(n, start, ev));
        }
    }

    pub(crate) fn ends(&mut self, vm: usize, id: u64) {
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
        let wait = self.random(LINK);
        let ev = Box::new(Event::CallEnded { call, outcome });
        self.after(wait, Due::Event(run.process, run.start, ev));
    }

    pub(crate) fn call(&mut self, n: usize) {
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

    /// Puts the first configuration into the log, by a writer that has left.
    pub(crate) fn publish(&mut self) {
        use monsoonnotch_core::record::Body;
        use monsoonnotch_core::record::Record;
        let mut bodies = vec![Body::Join {
            domain: "fd-0".into(),
            addr: "operator".into(),
        }];
        let profile = Profile {
            repeatable: true,
            timeout_ms: LONG_RUN / MS,
            ..Profile::default()
        };
        bodies.push(config(Setting::Profile("check".into(), profile)));
        for team in TEAMS {
            let key = TeamKey {
                team: team.into(),
                hash: KeyHash::of(team),
                withdrawn: false,
            };
            bodies.push(config(Setting::Team(team.into(), team_of(LIMIT))));
            bodies.push(config(Setting::Key(team.into(), key)));
        }
        let (heir, read) = (None, 0);
        bodies.push(Body::Leave {
            successor: heir,
            read,
        });
        let records = (1..).zip(bodies).map(|(seq, body)| Record { seq, body });
        let writer = MemberId(self.rng.next_u64());
        let records = records.collect();
        self.append(Batch { writer, records });
    }

    /// An operator sets a team's limit, by what the member knows of it.
    pub(crate) fn set_limit(&mut self, n: usize, team: usize, limit: u32) {
        let name = TEAMS[team % TEAMS.len()];
        let teams = &self.processes[n].control.ledger().config.teams;
        let replaces = teams.get(name).map_or(NO_VERSION, |t| t.version);
        let set = Setting::Team(name.into(), team_of(limit));
        self.last_id += 1;
        let ticket = Ticket(self.last_id);
        self.witness.changes.insert(ticket, name.into());
        let change = Change::new(replaces, set);
        self.step(n, Event::Change { ticket, change });
    }
}

fn team_of(limit: u32) -> Team {
    Team {
        account: "account".into(),
        share: 1,
        limit,
    }
}

fn config(set: Setting) -> monsoonnotch_core::record::Body {
    monsoonnotch_core::record::Body::Config(Change::new(NO_VERSION, set))
}
