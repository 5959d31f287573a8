//! Leader terms: periods in which this member is the leader under one token.
//!
//! A term begins by fencing the journal against writes of the previous leader. It then
//! reads the stored records, and from there on passes new records of the journal, changes
//! of the VM list and the results of appends to the scheduler.

mod handover;
mod writer;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use monsoonnotch_adapter::registry;
use monsoonnotch_adapter::store;
use monsoonnotch_adapter::store::CONFIG_TOPIC;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_adapter::store::Newest;
use monsoonnotch_adapter::store::Page;
use monsoonnotch_adapter::store::READ_RECORDS_MAX;
use monsoonnotch_adapter::store::VMS_TOPIC;
use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::tuning::Tuning;
use monsoonnotch_jobs::vm::Registration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use self::handover::Handover;
use crate::control::CONFIRMATION_VALID;
use crate::control::Input;
use crate::cx::Cx;
use crate::cx::LOCAL_LINK;
use crate::cx::lock;
use crate::evacuation;
use crate::executor::TermRequest;
use crate::leadership;
use crate::links::Followers;

/// Topic of the store that holds the journal.
pub(crate) const JOURNAL_TOPIC: &str = "keyed.jobs";
/// Maximum number of records in a page of the journal; the largest take 8 MiB together.
const JOURNAL_PAGE_RECORDS: usize = 32;
/// Interval between reads of the journal.
const JOURNAL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reads of the VM list, which changes with every heartbeat of a VM.
const VM_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed request to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout for a request that confirms a token; a slow store responds in about 300 ms.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time in transit of an order that a previous leader sent just before it was fenced.
const IN_FLIGHT_ORDERS_MAX: Duration = Duration::from_millis(400);
/// Interval between checks whether to request a handover.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Begins and ends terms as leadership changes, for as long as the process lives.
pub(crate) async fn run(
    cx: Arc<Cx>,
    followers: Arc<Followers>,
    mut rx: mpsc::UnboundedReceiver<TermRequest>,
) {
    let mut leadership_rx = cx.leadership.subscribe();
    let mut term: Option<Term> = None;
    let mut ticks = tokio::time::interval(HANDOVER_CHECK_INTERVAL);
    loop {
        tokio::select! {
            r = leadership_rx.changed() => if r.is_err() { return },
            _ = ticks.tick() => if let Some(term) = &mut term {
                term.handover.check(&cx, &followers, term.token);
            },
            request = rx.recv() => match request {
                Some(request) => handle_request(&cx, &mut term, request),
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
            .filter(|t| !is_relinquished(&cx, *t))
            .map(|t| Term::begin(&cx, t));
    }
}

/// Returns whether this process has relinquished the token or a higher one.
fn is_relinquished(cx: &Cx, token: u64) -> bool {
    cx.relinquished.load(std::sync::atomic::Ordering::Relaxed) >= token
}

fn handle_request(cx: &Arc<Cx>, term: &mut Option<Term>, request: TermRequest) {
    let current = term.as_ref().map(|t| t.token);
    match request {
        TermRequest::Append(token, records) if current == Some(token) => {
            if let Some(term) = term {
                // The writer ends only with its term, so a failure to send does not matter.
                let _ = term.append.send(records);
            }
        }
        TermRequest::Relinquish(token) if current == Some(token) => {
            cx.relinquished
                .store(token, std::sync::atomic::Ordering::Relaxed);
            if let Some(old) = term.take() {
                old.end(cx);
            }
        }
        TermRequest::ConfirmToken(token) if current == Some(token) => {
            let cx = Arc::clone(cx);
            tokio::spawn(async move { confirm_token(&cx, token).await });
        }
        TermRequest::Append(..) | TermRequest::Relinquish(_) | TermRequest::ConfirmToken(_) => {}
    }
}

/// Queries the store whether the token is the newest. Confirms the token to the control thread if
/// it is, and ends the term there if it is not.
async fn confirm_token(cx: &Cx, token: u64) {
    let requested_at = Instant::now();
    let newest = tokio::time::timeout(CONFIRM_TIMEOUT, leadership::is_newest(cx, token)).await;
    match newest {
        Ok(Some(true)) => cx.control.send(Input::TokenConfirmed {
            token,
            requested_at,
        }),
        Ok(Some(false)) => cx.control.send(Input::EndTerm(token)),
        // The control thread requests the next confirmation.
        Ok(None) | Err(_) => false,
    };
}

/// A leader term; dropping it aborts its tasks.
#[derive(Debug)]
struct Term {
    token: u64,
    append: mpsc::UnboundedSender<Vec<KeyedRecord>>,
    handover: Handover,
    _tasks: JoinSet<()>,
}

impl Term {
    fn begin(cx: &Arc<Cx>, token: u64) -> Self {
        log::info!(event = "term begins", token = token; "this member is the leader");
        let (append, rx) = mpsc::unbounded_channel();
        let mut tasks = JoinSet::new();
        tasks.spawn(feed_scheduler(Arc::clone(cx), token, rx));
        Self {
            token,
            append,
            handover: Handover::default(),
            _tasks: tasks,
        }
    }

    fn end(self, cx: &Cx) {
        log::info!(event = "term ends", token = self.token; "this member is no longer the leader");
        cx.control.send(Input::EndTerm(self.token));
        cx.vm_client.release_connections();
    }
}

/// Starts a term in the control thread and feeds the scheduler until the term ends.
async fn feed_scheduler(cx: Arc<Cx>, token: u64, rx: mpsc::UnboundedReceiver<Vec<KeyedRecord>>) {
    let requested_at = Instant::now();
    if !writer::fence(&cx, token).await {
        return;
    }
    let (jobs, vms) = tokio::join!(read_newest(&cx, JOURNAL_TOPIC), read_newest(&cx, VMS_TOPIC));
    let Some(marker) = term_record_offset(&jobs, token) else {
        log::warn!(event = "term superseded", token = token; "a newer leader term has begun");
        return;
    };
    let config = loop {
        let config = cx.config.borrow().clone();
        match config {
            Some(config) => break config,
            None => tokio::time::sleep(RETRY_PAUSE).await,
        }
    };
    // A member that has read nothing yet knows of no evacuation.
    if cx.evacuations.borrow().read_to == 0 {
        let newest = read_newest(&cx, CONFIG_TOPIC).await;
        evacuation::apply_newest(&cx, &newest);
    }
    cx.control.send(Input::BeginTerm {
        token,
        config,
        predecessor_leases: predecessor_leases(&cx.settings.scheduler_tuning()),
        requested_at,
    });
    let event = |event| cx.control.event(token, event);
    event(evacuation::event(&cx));
    let registrations = registrations(&vms);
    let ids = ids_of(&registrations);
    cx.set_fleet_size(ids.len());
    event(Event::AllVms(registrations));
    // These records get offset 0, because a job may be older than the offset of its record
    // suggests: a caller may have submitted it again.
    let replayed = jobs.records.into_iter().map(|(_, stored)| (0, stored));
    event(Event::Journal(replayed.collect()));
    event(Event::ApprovalSlotUp(ApprovalSlotKey(LOCAL_LINK)));
    // Followers may have joined before the scheduler existed.
    let links: Vec<u64> = lock(&cx.follower_links).keys().copied().collect();
    for link in links {
        event(Event::ApprovalSlotUp(ApprovalSlotKey(link)));
    }
    event(Event::CaughtUp { marker });
    // The configuration and the evacuations may have changed since they were read above.
    event(evacuation::event(&cx));
    if let Some(config) = cx.config.borrow().clone() {
        event(Event::Config(config));
    }
    tokio::join!(
        feed_journal(&cx, token, jobs.next),
        feed_vm_list(&cx, token, vms.next, ids),
        writer::run(&cx, token, rx),
    );
}

/// Returns how long after the start of a term a lease of a predecessor may last: one that it renewed
/// while its token still counted as confirmed, or one that a restarted VM granted for the longest
/// time, because the order carried the clock of its previous incarnation.
fn predecessor_leases(tuning: &Tuning) -> Duration {
    let renewed = CONFIRMATION_VALID + Duration::from(tuning.lease);
    let longest = Duration::from(tuning.lease_max);
    renewed.max(longest).mul_f64(1.03) + IN_FLIGHT_ORDERS_MAX
}

/// Reads the newest record of each key in a topic, and repeats the read until it succeeds.
async fn read_newest(cx: &Cx, topic: &str) -> Newest {
    loop {
        let newest = cx.store.newest(topic).await;
        cx.record_store_result(newest.is_ok());
        match newest {
            Ok(newest) => return newest,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Returns the offset of the record by which the term with this token starts, or `None` when a
/// newer term has begun.
fn term_record_offset(journal: &Newest, token: u64) -> Option<u64> {
    let own = journal::term_record(token);
    let mut records = journal.records.iter();
    records.find_map(|(offset, stored)| (*stored == own).then_some(*offset))
}

fn ids_of(registrations: &[Registration]) -> BTreeSet<CompactString> {
    registrations.iter().map(|r| r.id.clone()).collect()
}

fn registrations(newest: &Newest) -> Vec<Registration> {
    let entries = newest.records.iter();
    entries.filter_map(|(_, s)| registration(s)).collect()
}

/// Decodes a VM's entry; `None` when it was removed or cannot be decoded, which is logged.
fn registration(entry: &KeyedRecord) -> Option<Registration> {
    let registration = registry::parse_vm(entry);
    if registration.is_none() && !entry.value.is_empty() {
        log::warn!(event = "record skipped", key = entry.key.as_str(), bytes = entry.value.len(); "skipping a VM's entry that cannot be decoded; the VM counts as not listed");
    }
    registration
}

/// Passes new records of the journal to the scheduler.
///
/// Members report most records before they are read, and the leader knows its own. Those are left
/// out.
async fn feed_journal(cx: &Cx, token: u64, mut from: u64) {
    let mut pause = JOURNAL_INTERVAL;
    loop {
        tokio::time::sleep(pause).await;
        from = from.max(cx.control.journal_position());
        match read_journal(cx, from).await {
            Ok(page) => {
                cx.record_store_result(true);
                from = page.next;
                pause = match page.records.len() < JOURNAL_PAGE_RECORDS {
                    true => JOURNAL_INTERVAL,
                    false => Duration::ZERO,
                };
                let records = decode_records(&page.records);
                if !records.is_empty() && !cx.control.event(token, Event::Journal(records)) {
                    return;
                }
            }
            Err(Error::Trimmed(start)) => {
                log::warn!(event = "journal trimmed", from = from, start = start; "records of the journal have been trimmed; reading the newest record of each key instead");
                let newest = read_newest(cx, JOURNAL_TOPIC).await;
                from = newest.next;
                let (records, next) = (newest.records, newest.next);
                cx.control
                    .event(token, Event::NewestRecords { records, next });
            }
            Err(_) => {
                cx.record_store_result(false);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads a page of the journal, whose records callers may have made as large as the store takes.
pub(crate) async fn read_journal(cx: &Cx, from: u64) -> Result<Page, Error> {
    let topic = JOURNAL_TOPIC;
    cx.store
        .read(topic, from, JOURNAL_PAGE_RECORDS, Duration::ZERO)
        .await
}

fn decode_records(records: &[(u64, Bytes)]) -> Vec<(u64, KeyedRecord)> {
    let decoded = |(offset, r): &(u64, Bytes)| Some((*offset, store::decode_keyed(r)?));
    records.iter().filter_map(decoded).collect()
}

/// Passes changes of the VM list to the scheduler.
async fn feed_vm_list(cx: &Cx, token: u64, mut from: u64, mut ids: BTreeSet<CompactString>) {
    loop {
        tokio::time::sleep(VM_LIST_INTERVAL).await;
        match cx
            .store
            .read(VMS_TOPIC, from, READ_RECORDS_MAX, Duration::ZERO)
            .await
        {
            Ok(page) => {
                cx.record_store_result(true);
                from = page.next;
                let entries = decode_records(&page.records)
                    .into_iter()
                    .map(|(_, stored)| {
                        let entry = registration(&stored);
                        (stored.key, entry)
                    });
                let entries: Vec<(CompactString, Option<Registration>)> = entries.collect();
                for (id, entry) in &entries {
                    match entry {
                        Some(_) => ids.insert(id.clone()),
                        None => ids.remove(id),
                    };
                }
                cx.set_fleet_size(ids.len());
                let event = Event::Vms(entries);
                if !cx.control.event(token, event) {
                    return;
                }
            }
            Err(Error::Trimmed(_)) => {
                let all = read_newest(cx, VMS_TOPIC).await;
                from = all.next;
                let all = registrations(&all);
                ids = ids_of(&all);
                cx.control.event(token, Event::AllVms(all));
            }
            Err(_) => cx.record_store_result(false),
        }
    }
}
