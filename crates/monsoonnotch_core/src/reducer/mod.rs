//! One reducer over all events: control state in, effects out.
//!
//! `Control` owns all control state of an entry. `step` takes one event and
//! the time at which it is handled and returns what is to be done. Nothing
//! here blocks, reads a clock or draws a random number.

mod adopt;
mod asker;
mod calls;
mod check;
mod check_use;
mod claim;
mod decide;
mod dump;
mod forward;
mod gauges;
mod give;
mod grants;
mod holdings;
mod jobs;
mod journal;
mod keyed;
mod log;
mod look;
mod operators;
mod overload;
mod peers;
mod policy;
mod price;
mod settling;
mod stop;
mod tasks;
mod use_count;
mod vanish;
mod writer;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::call::Calls;
use crate::effect::Effect;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::guard::Guarding;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::ledger::Ledger;
use crate::notice::Notice;
use crate::time::Time;
use crate::timing::Timing;
use crate::wire::PeerAddr;
use crate::wire::PeerMsg;
use crate::wire::Relayed;

use self::adopt::Adoptions;
use self::asker::IntentClient;
use self::decide::Deciding;
use self::forward::Forwarding;
pub use self::gauges::Gauges;
pub use self::gauges::TeamGauges;
use self::holdings::Holdings;
use self::jobs::Jobs;
use self::journal::Journal;
use self::keyed::Keyed;
use self::log::LogReader;
use self::operators::Operators;
use self::overload::Retries;
use self::peers::Peers;
pub use self::policy::PeerSelection;
pub use self::policy::Policy;
use self::settling::Settling;
use self::stop::Stopping;
use self::tasks::Tasks;
use self::use_count::UseCount;
use self::vanish::Vanished;
use self::writer::Writer;

/// What a member is told when it starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This incarnation.
    pub me: MemberId,
    /// Its failure domain.
    pub domain: Name,
    /// Where its peers reach it, as `ip:port`.
    pub addr: Name,
    /// The protocols' spans.
    pub timing: Timing,
    /// Most requests that wait.
    pub queue_max: usize,
    /// Records of the control stream between two snapshots.
    pub snapshot_every: u64,
    /// How work is placed and refused.
    pub policy: Policy,
}

/// All control state of one entry.
#[derive(Debug)]
pub struct Control {
    cfg: Settings,
    now: Time,
    out: Vec<Effect>,
    ledger: Ledger,
    guarding: Guarding,
    history: VecDeque<Relayed>,
    log: LogReader,
    writer: Writer,
    holdings: Holdings,
    vanished: Vanished,
    settling: Settling,
    fleet: Fleet,
    used: UseCount,
    peers: Peers,
    calls: Calls,
    deciding: Deciding,
    forwarding: Forwarding,
    retries: Retries,
    journal: Journal,
    adoptions: Adoptions,
    keyed: Keyed,
    asker: IntentClient,
    jobs: Jobs,
    tasks: Tasks,
    operators: Operators,
    stopping: Stopping,
    /// When the invariants were last checked.
    checked: Time,
    was_certain: bool,
    was_ready: bool,
    refusing: BTreeMap<crate::verdict::Reason, Time>,
}

impl Control {
    /// A member that knows nothing yet.
    pub fn new(cfg: Settings) -> Self {
        Self {
            guarding: Guarding::new(cfg.me, cfg.timing),
            writer: Writer::new(cfg.me),
            cfg,
            now: Time::default(),
            out: Vec::new(),
            ledger: Ledger::default(),
            history: VecDeque::new(),
            log: LogReader::default(),
            holdings: Holdings::default(),
            vanished: Vanished::default(),
            settling: Settling::default(),
            fleet: Fleet::default(),
            used: UseCount::default(),
            peers: Peers::default(),
            calls: Calls::default(),
            deciding: Deciding::default(),
            forwarding: Forwarding::default(),
            retries: Retries::default(),
            journal: Journal::default(),
            adoptions: Adoptions::default(),
            keyed: Keyed::default(),
            asker: IntentClient::default(),
            jobs: Jobs::default(),
            tasks: Tasks::default(),
            operators: Operators::default(),
            stopping: Stopping::default(),
            checked: Time::default(),
            was_certain: false,
            was_ready: false,
            refusing: BTreeMap::new(),
        }
    }

    /// Handles one event at `now` and returns what is to be done.
    #[must_use]
    pub fn step(&mut self, now: Time, ev: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.handle(ev);
        self.start_waiting_calls();
        self.ask_for_fresh();
        self.flush_writer();
        self.flush_journal();
        self.publish_certainty();
        self.check_invariants();
        std::mem::take(&mut self.out)
    }

    /// The ledger as this member has read it.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The workers as this member knows them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Whether this member may start work at `now`.
    pub fn certain(&self, now: Time) -> bool {
        self.guarding.certain(now, &self.ledger)
    }

    /// Whether this member may start new work at `now`.
    pub fn may_start_work(&self, now: Time) -> bool {
        self.certain(now) && !self.stopping.begun()
    }

    fn handle(&mut self, ev: Event) {
        match ev {
            Event::Tick => self.tick(),
            Event::Read(reply) => self.log_read(reply),
            Event::LogFailed(stream) => self.log_failed(stream),
            Event::Appended { stream, token } => self.appended(stream, token),
            Event::Journal { member, entries } => self.journal_read(member, entries),
            Event::Peer { from, to, msg } => self.peer_message(from, to, msg),
            Event::Vms(list) => self.vms_listed(&list),
            Event::Synced { vm, asked, report } => self.synced(&vm, asked, &report),
            Event::SyncFailed { vm } => self.sync_failed(&vm),
            Event::TaskStarted { vm, task, verdict } => self.task_started(&vm, task, verdict),
            Event::Call(call) => self.call_arrived(call),
            Event::CallEnded { call, outcome } => self.call_ended(call, outcome),
            Event::CallGone(call) => self.call_gone(call),
            Event::Submit { ticket, key, spec } => self.submit(ticket, key, spec),
            Event::Job {
                ticket,
                key,
                request,
            } => self.job_asked(ticket, key, request),
            Event::Change { ticket, change } => self.change(ticket, change),
            Event::Dump(ticket) => self.dump(ticket),
            Event::Query { ticket, query } => self.look(ticket, &query),
            Event::Gauges(ticket) => self.gauges(ticket),
            Event::Stop => self.stop(),
        }
    }

    fn tick(&mut self) {
        self.read_if_due();
        self.ping_if_due();
        self.vote_if_due();
        self.balance_if_due();
        self.summary_if_due();
        self.sync_if_due();
        self.expire_calls();
        self.tick_deciding();
        self.tick_forwarding();
        self.expire_grants();
        self.tick_adoptions();
        self.tick_keyed();
        self.tick_tasks();
        self.tick_jobs();
        self.tick_stop();
    }

    fn note(&mut self, notice: Notice) {
        self.out.push(Effect::Log(notice));
    }

    /// Sends to a present member; a message to anyone else is dropped.
    fn send(&mut self, to: MemberId, msg: PeerMsg) {
        let Some(member) = self.ledger.members.get(&to) else {
            return;
        };
        let to = PeerAddr {
            member: to,
            addr: member.addr.clone(),
        };
        self.out.push(Effect::Send { to, msg });
    }

    fn is_certain(&self) -> bool {
        self.certain(self.now)
    }

    fn certain_until(&self) -> Time {
        self.guarding
            .certain_until(&self.ledger)
            .unwrap_or_default()
    }

    fn publish_certainty(&mut self) {
        let certain = self.is_certain();
        if certain != self.was_certain {
            self.was_certain = certain;
            self.note(match certain {
                true => Notice::CertaintyBack,
                false => Notice::CertaintyLost,
            });
        }
        // A member without workers of its own uses slots of its peers.
        let ready = certain && !self.stopping.begun() && !self.ledger.vms.is_empty();
        if ready != self.was_ready {
            self.was_ready = ready;
            self.out.push(Effect::Ready(ready));
        }
    }
}
