//! The reducer: a deterministic state machine that turns events into effects.
//!
//! [`Control`] owns all control state of an entry. [`Control::step`] takes one
//! event and the current time and returns the effects that the caller has to
//! execute. Nothing here blocks, reads a clock or draws a random number.

mod adopt;
mod calls;
mod check;
mod check_use;
mod claim;
mod dump;
mod forward;
mod gauges;
mod grants;
mod holdings;
mod intent_client;
mod jobs;
mod journal;
mod keyed;
mod log;
mod operators;
mod peers;
mod policy;
mod price;
mod query;
mod rebalance;
mod scheduling;
mod settling;
mod shedding;
mod stop;
mod tasks;
mod unlisted;
mod use_count;
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
use self::forward::Forwarding;
pub use self::gauges::Gauges;
pub use self::gauges::TeamGauges;
use self::holdings::Holdings;
use self::intent_client::IntentClient;
use self::jobs::Jobs;
use self::journal::Journal;
use self::keyed::Keyed;
use self::log::LogReader;
use self::operators::Operators;
use self::peers::Peers;
pub use self::policy::PeerSelection;
pub use self::policy::Policy;
use self::scheduling::Scheduling;
use self::settling::Settling;
use self::shedding::RetryBudgets;
use self::stop::Stopping;
use self::tasks::Tasks;
use self::unlisted::Unlisted;
use self::use_count::UseCount;
use self::writer::Writer;

/// The settings with which a member starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identifier of this incarnation of the process.
    pub me: MemberId,
    /// The failure domain of this member.
    pub domain: Name,
    /// The address on which peers reach this member, as `ip:port`.
    pub addr: Name,
    /// Timeouts, intervals and validity periods of the protocols.
    pub timing: Timing,
    /// Maximum number of waiting requests.
    pub queue_max: usize,
    /// Memory that the jobs whose home is this member may take, in bytes.
    pub jobs_memory: u64,
    /// Number of control stream records between two snapshots.
    pub snapshot_every: u64,
    /// Switches of the scheduling policy.
    pub policy: Policy,
}

/// All control state of one entry.
#[derive(Debug)]
pub struct Control {
    cfg: Settings,
    now: Time,
    effects: Vec<Effect>,
    ledger: Ledger,
    guarding: Guarding,
    history: VecDeque<Relayed>,
    log: LogReader,
    writer: Writer,
    holdings: Holdings,
    unlisted: Unlisted,
    settling: Settling,
    fleet: Fleet,
    used: UseCount,
    peers: Peers,
    calls: Calls,
    scheduling: Scheduling,
    forwarding: Forwarding,
    retry_budgets: RetryBudgets,
    journal: Journal,
    adoptions: Adoptions,
    keyed: Keyed,
    intent_client: IntentClient,
    jobs: Jobs,
    tasks: Tasks,
    operators: Operators,
    stopping: Stopping,
    /// Time of the last invariant check.
    invariants_checked: Time,
    was_certain: bool,
    was_ready: bool,
    refusals_logged: BTreeMap<crate::verdict::Reason, Time>,
}

impl Control {
    /// Creates a member with an empty state.
    pub fn new(cfg: Settings) -> Self {
        Self {
            guarding: Guarding::new(cfg.me, cfg.timing),
            writer: Writer::new(cfg.me),
            cfg,
            now: Time::default(),
            effects: Vec::new(),
            ledger: Ledger::default(),
            history: VecDeque::new(),
            log: LogReader::default(),
            holdings: Holdings::default(),
            unlisted: Unlisted::default(),
            settling: Settling::default(),
            fleet: Fleet::default(),
            used: UseCount::default(),
            peers: Peers::default(),
            calls: Calls::default(),
            scheduling: Scheduling::default(),
            forwarding: Forwarding::default(),
            retry_budgets: RetryBudgets::default(),
            journal: Journal::default(),
            adoptions: Adoptions::default(),
            keyed: Keyed::default(),
            intent_client: IntentClient::default(),
            jobs: Jobs::default(),
            tasks: Tasks::default(),
            operators: Operators::default(),
            stopping: Stopping::default(),
            invariants_checked: Time::default(),
            was_certain: false,
            was_ready: false,
            refusals_logged: BTreeMap::new(),
        }
    }

    /// Handles one event at `now` and returns the effects to execute, in order.
    ///
    /// Time never runs backwards: a `now` before that of an earlier step is raised to it.
    #[must_use]
    pub fn step(&mut self, now: Time, ev: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.handle(ev);
        self.start_waiting_calls();
        self.forward_new_calls();
        self.flush_writer();
        self.flush_journal();
        self.publish_certainty();
        self.check_invariants();
        std::mem::take(&mut self.effects)
    }

    /// Returns the ledger up to the last control stream record that this member has applied.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the listed VMs and the workers that this member holds.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns whether this member is certain of its membership at `now`.
    ///
    /// Only a certain member may use its holdings.
    pub fn certain(&self, now: Time) -> bool {
        self.guarding.certain(now, &self.ledger)
    }

    /// Returns whether this member may start new work at `now`: it is certain and not stopping.
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
            Event::CallerDisconnected(call) => self.caller_disconnected(call),
            Event::Submit { ticket, key, spec } => self.submit(ticket, key, spec),
            Event::Job {
                ticket,
                key,
                request,
            } => self.job_requested(ticket, key, request),
            Event::Change { ticket, change } => self.change(ticket, change),
            Event::Dump(ticket) => self.dump(ticket),
            Event::Query { ticket, query } => self.query_state(ticket, &query),
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
        self.tick_scheduling();
        self.tick_forwarding();
        self.expire_grants();
        self.tick_adoptions();
        self.tick_keyed();
        self.tick_tasks();
        self.tick_jobs();
        self.tick_stop();
    }

    fn log_notice(&mut self, notice: Notice) {
        self.effects.push(Effect::Log(notice));
    }

    /// Sends a message to a current member; a message to any other address is dropped.
    fn send(&mut self, to: MemberId, msg: PeerMsg) {
        let Some(member) = self.ledger.members.get(&to) else {
            return;
        };
        let to = PeerAddr {
            member: to,
            addr: member.addr.clone(),
        };
        self.effects.push(Effect::Send { to, msg });
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
            self.log_notice(match certain {
                true => Notice::CertaintyBack,
                false => Notice::CertaintyLost,
            });
        }
        // A member that holds no workers is ready as well: it uses slots of its peers.
        let ready = certain && !self.stopping.begun() && !self.ledger.vms.is_empty();
        if ready != self.was_ready {
            self.was_ready = ready;
            self.effects.push(Effect::Ready(ready));
        }
    }
}
