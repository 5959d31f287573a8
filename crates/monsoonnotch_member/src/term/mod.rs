//! A term: the time in which this member holds the jobs under one token.
//!
//! It begins by ending the former holder's writing, reads what is stored,
//! and then keeps the reducer supplied: with the journal, the list of VMs, and
//! the fate of its appends.

mod writer;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use monsoonnotch_adapter::registry;
use monsoonnotch_adapter::store;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_adapter::store::Newest;
use monsoonnotch_adapter::store::VMS_TOPIC;
use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::vm::Registration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::control::Input;
use crate::cx::Cx;
use crate::cx::OWN;
use crate::cx::lock;
use crate::executor::ForTerm;
use crate::leadership;
use crate::links::Frame;
use crate::links::Guests;

/// The topic of the journal.
pub(crate) const JOURNAL: &str = "keyed.jobs";
/// How long a read of the journal waits for a record.
const WAIT: Duration = Duration::from_millis(2_000);
/// Pause between reads of the list of VMs, which changes with every heartbeat.
const LIST_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(100);
/// Way of orders that a former holder sent just before it was fenced.
const SETTLE_SLACK: Duration = Duration::from_millis(400);
/// How many times the cores of the holder a member must have to be handed the jobs.
const STRONGER: f64 = 2.0;
/// A weak member holds the jobs at least this long, so that they move once.
const WEAK_TERM: Duration = Duration::from_millis(1_500);
/// Pause between looks at whether to hand over.
const TICK: Duration = Duration::from_millis(100);

/// Runs terms for as long as the process lives.
pub(crate) async fn run(
    cx: Arc<Cx>,
    guests: Arc<Guests>,
    mut rx: mpsc::UnboundedReceiver<ForTerm>,
) {
    let mut held = cx.held.subscribe();
    let mut term: Option<Term> = None;
    let mut ticks = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            r = held.changed() => if r.is_err() { return },
            _ = ticks.tick() => hand_over(&cx, &guests, term.as_ref()),
            asked = rx.recv() => match asked {
                Some(asked) => take(&cx, &mut term, asked),
                None => return,
            },
        }
        let token = cx.own_token();
        let current = term.as_ref().map(|t| t.token);
        if token == current {
            continue;
        }
        if let Some(old) = term.take() {
            old.end(&cx);
        }
        term = token
            .filter(|t| !over(&cx, *t))
            .map(|t| Term::begin(&cx, t));
    }
}

/// Whether a token was given up already.
fn over(cx: &Cx, token: u64) -> bool {
    cx.given_up.load(std::sync::atomic::Ordering::Relaxed) >= token
}

fn take(cx: &Arc<Cx>, term: &mut Option<Term>, asked: ForTerm) {
    let current = term.as_ref().map(|t| t.token);
    match asked {
        ForTerm::Append(token, records) if current == Some(token) => {
            if let Some(term) = term {
                // The writer ends only with its term.
                let _ = term.append.send(records);
            }
        }
        ForTerm::Over(token) if current == Some(token) => {
            cx.given_up
                .store(token, std::sync::atomic::Ordering::Relaxed);
            if let Some(old) = term.take() {
                old.end(cx);
            }
        }
        ForTerm::Unsure(token) if current == Some(token) => {
            let cx = Arc::clone(cx);
            tokio::spawn(async move { make_sure(&cx, token).await });
        }
        ForTerm::Append(..) | ForTerm::Over(_) | ForTerm::Unsure(_) => {}
    }
}

/// Asks the store until it says whether a token is the newest.
async fn make_sure(cx: &Cx, token: u64) {
    while cx.own_token() == Some(token) {
        match leadership::still_newest(cx, token).await {
            Some(true) => {
                cx.control.send(Input::Sure(token));
                return;
            }
            // The follower of claims sees the newer one, which ends the term.
            Some(false) => return,
            None => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Has another member claim, when this one stops, the store does not answer it,
/// or the other is far stronger.
fn hand_over(cx: &Cx, guests: &Guests, term: Option<&Term>) {
    let Some(term) = term else { return };
    let Some((best, cores)) = guests.best() else {
        return;
    };
    let lost = cx.store_lost_for() > leadership::HAND_OVER;
    let weaker = cx.settings.member.cores * STRONGER <= cores;
    let weaker = weaker && term.began.elapsed() > WEAK_TERM;
    if !lost && !weaker && !cx.is_stopping() {
        return;
    }
    log::info!(event = "hand over", token = term.token, store_lost = lost, weaker = weaker; "asked another member to claim");
    // It is asked again at the next tick until a newer claim is seen.
    let _ = cx.to_guest(ApprovalSlotKey(best), Frame::Claim);
}

/// One term and its tasks, which end with it.
#[derive(Debug)]
struct Term {
    token: u64,
    append: mpsc::UnboundedSender<Vec<KeyedRecord>>,
    began: Instant,
    _tasks: JoinSet<()>,
}

impl Term {
    fn begin(cx: &Arc<Cx>, token: u64) -> Self {
        log::info!(event = "term begins", token = token; "this member holds the jobs");
        let (append, rx) = mpsc::unbounded_channel();
        let mut tasks = JoinSet::new();
        tasks.spawn(supply(Arc::clone(cx), token, rx));
        Self {
            token,
            append,
            began: Instant::now(),
            _tasks: tasks,
        }
    }

    fn end(self, cx: &Cx) {
        log::info!(event = "term ends", token = self.token; "another member holds the jobs");
        cx.control.send(Input::End(self.token));
    }
}

/// Begins a term and keeps the reducer supplied until the term ends.
async fn supply(cx: Arc<Cx>, token: u64, rx: mpsc::UnboundedReceiver<Vec<KeyedRecord>>) {
    let Some(marker) = writer::fence(&cx, token).await else {
        return;
    };
    let (jobs, vms) = tokio::join!(newest(&cx, JOURNAL), newest(&cx, VMS_TOPIC));
    let site = loop {
        let site = cx.site.borrow().clone();
        match site {
            Some(site) => break site,
            None => tokio::time::sleep(PAUSE).await,
        }
    };
    let lease = Duration::from_millis(cx.settings.holder_tuning().lease.as_millis());
    cx.control.send(Input::Begin {
        token,
        site,
        settle: lease.mul_f64(1.03) + SETTLE_SLACK,
    });
    let event = |event| cx.control.event(token, event);
    event(Event::AllVms(reports(&vms)));
    // What is read here may be older than it looks: a caller may have sent it again.
    let old = jobs.records.into_iter().map(|(_, stored)| (0, stored));
    event(Event::Journal(old.collect()));
    event(Event::ApprovalSlotUp(ApprovalSlotKey(OWN)));
    // Guests may have come before there was a reducer to tell.
    let links: Vec<u64> = lock(&cx.guests).keys().copied().collect();
    for link in links {
        event(Event::ApprovalSlotUp(ApprovalSlotKey(link)));
    }
    event(Event::CaughtUp { marker });
    // The configuration may have changed since it was read above.
    if let Some(site) = cx.site.borrow().clone() {
        event(Event::Config(site));
    }
    tokio::join!(
        journal(&cx, token, jobs.next),
        list(&cx, token, vms.next),
        writer::run(&cx, token, rx),
    );
}

async fn newest(cx: &Cx, topic: &str) -> Newest {
    loop {
        let newest = cx.store.newest(topic).await;
        cx.store_answered(newest.is_ok());
        match newest {
            Ok(newest) => return newest,
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

fn reports(newest: &Newest) -> Vec<Registration> {
    let entries = newest.records.iter();
    entries.filter_map(|(_, s)| registry::parse_vm(s)).collect()
}

/// Feeds the journal's records to the reducer.
async fn journal(cx: &Cx, token: u64, mut from: u64) {
    loop {
        match cx.store.read(JOURNAL, from, cx.store_wait(WAIT)).await {
            Ok(page) => {
                cx.store_answered(true);
                from = page.next;
                let records = keyed(&page.records);
                if !records.is_empty() && !cx.control.event(token, Event::Journal(records)) {
                    return;
                }
            }
            Err(Error::Trimmed(start)) => {
                log::warn!(event = "journal trimmed", from = from, start = start; "records of the journal are gone; reading the newest of each key");
                let again = newest(cx, JOURNAL).await;
                from = again.next;
                cx.control.event(token, Event::Journal(again.records));
            }
            Err(_) => {
                cx.store_answered(false);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn keyed(records: &[(u64, Bytes)]) -> Vec<(u64, KeyedRecord)> {
    let decoded = |(offset, r): &(u64, Bytes)| Some((*offset, store::decode_keyed(r)?));
    records.iter().filter_map(decoded).collect()
}

/// Feeds changes of the list of VMs to the reducer.
async fn list(cx: &Cx, token: u64, mut from: u64) {
    loop {
        tokio::time::sleep(LIST_PAUSE).await;
        match cx.store.read(VMS_TOPIC, from, Duration::ZERO).await {
            Ok(page) => {
                cx.store_answered(true);
                from = page.next;
                let entries = keyed(&page.records).into_iter().map(|(_, stored)| {
                    // An entry that cannot be read names no VM, like one that is gone.
                    let report = registry::parse_vm(&stored);
                    (stored.key, report)
                });
                let event = Event::Vms(entries.collect());
                if !cx.control.event(token, event) {
                    return;
                }
            }
            Err(Error::Trimmed(_)) => {
                let all = newest(cx, VMS_TOPIC).await;
                from = all.next;
                cx.control.event(token, Event::AllVms(reports(&all)));
            }
            Err(_) => cx.store_answered(false),
        }
    }
}
