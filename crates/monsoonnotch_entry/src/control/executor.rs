//! Execution of the reducer's effects.
//!
//! Exchanges with the platform run as tasks of the `tokio` runtime, which send their results to
//! the control thread's inbox as events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::effect::Effect;
use monsoonnotch_core::effect::Sync;
use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::event::ReadReply;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::ident::Ticket;
use monsoonnotch_core::job::JournalEntry;
use monsoonnotch_core::record;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::record::Stream;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Verdict;
use monsoonnotch_peer::link::Links;
use monsoonnotch_platform::log::Page;
use monsoonnotch_platform::prelude::LogClient;
use monsoonnotch_platform::prelude::WorkerClient;
use monsoonnotch_platform::worker::StartBody;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;
use tokio::sync::oneshot;

use super::inbox::Decision;
use super::inbox::Inbox;
use crate::clock::Clock;
use crate::logs;
use crate::measure;

/// Handles through which the control thread acts on the process and the platform.
#[derive(Debug)]
pub struct Environment {
    /// The clock of the process.
    pub clock: Clock,
    /// The runtime that runs the exchanges with the platform and the peers.
    pub rt: Handle,
    /// The client of the platform's log.
    pub log: LogClient,
    /// The client of the workers.
    pub workers: WorkerClient,
    /// Whether the load balancer may send requests to this entry.
    pub ready: Arc<AtomicBool>,
}

/// Executes effects and keeps the channels on which their results are returned.
#[derive(Debug)]
pub(super) struct Executor {
    me: MemberId,
    env: Environment,
    inbox: Inbox,
    links: Links,
    calls: BTreeMap<CallKey, mpsc::UnboundedSender<Decision>>,
    tickets: BTreeMap<Ticket, oneshot::Sender<Answer>>,
    last_ticket: u64,
    last_nonce: u64,
    stopped: bool,
    killed: bool,
}

impl Executor {
    pub(super) fn new(me: MemberId, env: Environment, inbox: Inbox) -> Self {
        Self {
            me,
            links: Links::new(me, env.rt.clone()),
            env,
            inbox,
            calls: BTreeMap::new(),
            tickets: BTreeMap::new(),
            last_ticket: 0,
            last_nonce: 0,
            stopped: false,
            killed: false,
        }
    }

    /// Continues as a new member. Open calls and requests end because their channels are closed.
    pub(super) fn restart(&mut self, me: MemberId) {
        self.me = me;
        self.links = Links::new(me, self.env.rt.clone());
        self.calls.clear();
        self.tickets.clear();
        self.stopped = false;
    }

    pub(super) fn stopped(&self) -> bool {
        self.stopped
    }

    pub(super) fn kill(&mut self) {
        self.killed = true;
        self.stopped = true;
    }

    pub(super) fn killed(&self) -> bool {
        self.killed
    }

    pub(super) fn close(&mut self) {
        self.env.ready.store(false, Ordering::Relaxed);
        self.calls.clear();
        self.tickets.clear();
    }

    pub(super) fn open_call(&mut self, call: CallKey, tx: mpsc::UnboundedSender<Decision>) {
        self.calls.insert(call, tx);
    }

    pub(super) fn open_ticket(&mut self, tx: oneshot::Sender<Answer>) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.tickets.insert(ticket, tx);
        ticket
    }

    pub(super) fn execute(&mut self, effect: Effect) {
        measure::record_effect(&effect);
        match effect {
            Effect::Read { from } => self.read(from),
            Effect::Append { token, batch } => self.append(token, &batch),
            Effect::Journal { token, entries } => self.append_journal(token, &entries),
            Effect::ReadJournal(member) => self.read_journal(member),
            Effect::Send { to, msg } => {
                let len = self.links.send(&to, msg) as u64;
                metrics::counter!(measure::PEER_BYTES).increment(len);
            }
            Effect::Sync(sync) => self.sync(sync),
            Effect::StartTask {
                vm,
                addr,
                epoch,
                task,
                spec,
                lease,
                certain_until,
            } => {
                let body = StartBody {
                    epoch,
                    lease_ms: lease.as_millis(),
                    task,
                    spec,
                };
                let clock = self.env.clock;
                let workers = self.env.workers.clone();
                self.spawn(async move {
                    let verdict = match clock.now() < certain_until {
                        true => workers.start(&addr, &body).await,
                        false => Verdict::NotRun,
                    };
                    Event::TaskStarted { vm, task, verdict }
                });
            }
            Effect::Dispatch {
                call,
                addr,
                timeout,
                certain_until,
                repeatable,
                waited: _,
            } => {
                let decision = Decision::Dispatch {
                    addr,
                    timeout,
                    certain_until,
                    repeatable,
                };
                self.decide(call, decision);
            }
            Effect::Refuse { call, refusal } => {
                self.decide(call, Decision::Refuse(refusal));
                self.calls.remove(&call);
            }
            Effect::Answer { ticket, answer } => {
                if let Some(tx) = self.tickets.remove(&ticket) {
                    let _ = tx.send(answer);
                }
            }
            Effect::Log(notice) => logs::log_notice(&notice),
            Effect::Ready(ready) => self.env.ready.store(ready, Ordering::Relaxed),
            Effect::Stopped => self.stopped = true,
        }
    }

    fn decide(&mut self, call: CallKey, decision: Decision) {
        let Some(tx) = self.calls.get(&call) else {
            return self.release_slot(call, &decision);
        };
        if let Err(SendError(decision)) = tx.send(decision) {
            self.calls.remove(&call);
            self.release_slot(call, &decision);
        }
    }

    /// Releases the slot of a dispatch whose caller has disconnected.
    fn release_slot(&self, call: CallKey, decision: &Decision) {
        if let Decision::Dispatch { .. } = decision {
            let outcome = CallOutcome::NotRun(Reason::Cancelled);
            self.inbox.send_event(Event::CallEnded { call, outcome });
        }
    }

    /// Drops the channel of a call that needs no further decision.
    pub(super) fn close_call(&mut self, call: CallKey) {
        self.calls.remove(&call);
    }

    fn spawn(&self, f: impl Future<Output = Event> + Send + 'static) {
        let inbox = self.inbox.clone();
        self.env.rt.spawn(async move { inbox.send_event(f.await) });
    }

    fn read(&mut self, from: u64) {
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        let asked = self.env.clock.now();
        let log = self.env.log.clone();
        self.spawn(async move {
            let name = Stream::Control.name();
            match log.read(&name, from, nonce).await {
                Ok(page) => Event::Read(read_reply(asked, page)),
                Err(_) => Event::LogFailed(Stream::Control),
            }
        });
    }

    fn append(&self, token: u64, batch: &Batch) {
        self.append_to(Stream::Control, token, record::encode(batch));
    }

    fn append_journal(&self, token: u64, entries: &[JournalEntry]) {
        let buf = record::encode(&entries);
        self.append_to(Stream::Journal(self.me), token, buf);
    }

    fn append_to(&self, stream: Stream, token: u64, buf: Vec<u8>) {
        let len = buf.len() as u64;
        metrics::counter!(measure::LOG_BYTES).increment(len);
        let log = self.env.log.clone();
        self.spawn(async move {
            match log.append(&stream.name(), buf).await {
                Ok(()) => Event::Appended { stream, token },
                Err(_) => Event::LogFailed(stream),
            }
        });
    }

    fn read_journal(&mut self, member: MemberId) {
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        let log = self.env.log.clone();
        self.spawn(async move {
            match read_whole_journal(&log, member, nonce).await {
                Some(entries) => Event::Journal { member, entries },
                None => Event::LogFailed(Stream::Journal(member)),
            }
        });
    }

    fn sync(&self, sync: Sync) {
        let asked = self.env.clock.now();
        let clock = self.env.clock;
        let workers = self.env.workers.clone();
        self.spawn(async move {
            let vm = sync.vm.clone();
            if clock.now() >= sync.certain_until {
                return Event::SyncFailed { vm };
            }
            match workers.sync(&sync).await {
                Ok(report) => Event::Synced { vm, asked, report },
                Err(_) => Event::SyncFailed { vm },
            }
        });
    }
}

fn read_reply(asked: monsoonnotch_core::time::Time, page: Page) -> ReadReply {
    let decoded = page
        .records
        .iter()
        .map(|(offset, raw)| (*offset, record::decode(&raw.0)));
    ReadReply {
        asked,
        first: page.first,
        tail: page.tail,
        batches: decoded.collect(),
    }
}

async fn read_whole_journal(
    log: &LogClient,
    member: MemberId,
    nonce: u64,
) -> Option<Vec<JournalEntry>> {
    let name = Stream::Journal(member).name();
    let mut entries = Vec::new();
    let mut from = 0;
    loop {
        let page = log.read(&name, from, nonce).await.ok()?;
        for (offset, raw) in &page.records {
            let batch: Vec<JournalEntry> = record::decode(&raw.0).unwrap_or_default();
            entries.extend(batch);
            from = offset + 1;
        }
        if from >= page.tail {
            return Some(entries);
        }
        from = from.max(page.first);
    }
}
