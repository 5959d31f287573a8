//! Handles callers' requests; every member does this, not only the leader.

pub(crate) mod appender;
pub(crate) mod explain;
mod job_place;
pub(crate) mod recent;
pub(crate) mod refusal;
pub(crate) mod submit;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use monsoonnotch_adapter::caller_api::CallerRequest;
use monsoonnotch_adapter::caller_api::Reply;
use monsoonnotch_adapter::caller_api::Verb;
use monsoonnotch_adapter::store;
use monsoonnotch_jobs::access::Caller;
use monsoonnotch_jobs::comeback::Cause;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::effect::JobState;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::Query;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::Entry;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::parse_job_id;
use tokio::time::Instant;

use self::submit::Storable;
use crate::cx::Cx;
use crate::cx::LOCAL_LINK;
use crate::cx::lock;
use crate::links::Frame;
use crate::term::read_journal;

/// Longest part of a caller's timeout that is reserved for sending the response; at most a quarter of
/// the timeout.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Longest wait for the leader's answer to one query.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of pages of the journal that are searched for a submission that the leader has not
/// read.
const JOURNAL_PAGES_MAX: u32 = 64;
/// Pause before a query is repeated.
const QUERY_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of characters of a path in a log line.
const LOGGED_PATH_MAX: usize = 160;

/// Counts a request as open until it is dropped, which a caller that disconnects early causes as well.
struct OpenRequest<'a>(&'a AtomicU64);

impl<'a> OpenRequest<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles one request: counts it, logs it and returns the reply.
///
/// Successful queries are not logged.
pub(crate) async fn handle(cx: Arc<Cx>, request: CallerRequest) -> Reply {
    let _open = OpenRequest::new(&cx.open_requests);
    let verb = match request.verb {
        Verb::Submit { .. } => "submit",
        Verb::Query => "ask",
        Verb::Cancel => "cancel",
    };
    let began = Instant::now();
    let path: CompactString = request.path.chars().take(LOGGED_PATH_MAX).collect();
    let reply = dispatch(&cx, request).await;
    let elapsed = began.elapsed();
    crate::process::count_request(verb, &reply, elapsed);
    let ms = elapsed.as_millis() as u64;
    let config = cx.config.borrow().as_ref().map_or(0, |s| s.version);
    let lost_ms = cx.store_unavailable_for().as_millis() as u64;
    if verb != "ask" || !matches!(reply, Reply::State(_) | Reply::Pending(_)) {
        log::info!(event = "call", verb = verb, path = path.as_str(), reply = format!("{reply:?}"), ms = ms, config = config, store_lost_ms = lost_ms; "handled a request");
    }
    reply
}

async fn dispatch(cx: &Arc<Cx>, request: CallerRequest) -> Reply {
    let Some(config) = cx.config.borrow().clone() else {
        return refusal::not_run(Cause::Starting);
    };
    let Some((name, queue)) = config.queue(&request.host, &request.path) else {
        return Reply::NoQueue;
    };
    let caller = match config.keys.get(&request.key).cloned() {
        None if !queue.open => return Reply::NoKey,
        account => Caller {
            account: account.unwrap_or_default(),
            open_queue: match queue.open {
                true => name.clone(),
                false => CompactString::default(),
            },
        },
    };
    let id_part = &request.path[queue.prefix.len()..];
    let deadline = Instant::now() + request.timeout - RESPONSE_MARGIN.min(request.timeout / 4);
    if id_part.is_empty() && matches!(request.verb, Verb::Query) {
        return count_pending(cx, name.clone(), deadline).await;
    }
    let Some(id) = parse_job_id(id_part) else {
        return match request.verb {
            Verb::Submit { .. } => Reply::Invalid,
            Verb::Query | Verb::Cancel => Reply::NoJob,
        };
    };
    match request.verb {
        Verb::Submit { plan: None, .. } => Reply::Invalid,
        Verb::Submit {
            plan: Some(plan),
            memory,
        } => {
            let submission = submit::submission(name, queue, caller.account, *plan);
            match submit::prepare(cx, id, submission, memory).await {
                Ok(record) => submit::store(cx, record, deadline).await,
                Err(reply) => reply,
            }
        }
        Verb::Query => job_state(cx, id, caller, deadline).await,
        Verb::Cancel => cancel(cx, id, caller, deadline).await,
    }
}

async fn count_pending(cx: &Arc<Cx>, queue: CompactString, deadline: Instant) -> Reply {
    let query = Query::Pending { queue };
    match query_leader(cx, query, deadline).await {
        Some(Answer::Pending(n)) => Reply::Pending(n),
        _ => refusal::not_run(Cause::NoLeader),
    }
}

async fn job_state(cx: &Arc<Cx>, id: JobId, caller: Caller, deadline: Instant) -> Reply {
    match find_job(cx, id, caller, deadline).await {
        Found::Job(state) => Reply::State(state),
        Found::Foreign => Reply::NotOwner,
        Found::No => Reply::NoJob,
        Found::Unread => refusal::not_stored(cx),
        Found::NoLeader => refusal::not_run(Cause::NoLeader),
    }
}

/// What is known of a job that a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    /// Its state; the caller may see and cancel it.
    Job(JobState),
    /// It belongs to another account.
    Foreign,
    /// There is no such job.
    No,
    /// The leader does not know it, and the store does not say whether it is stored.
    Unread,
    /// No leader answered.
    NoLeader,
}

/// Finds a job at the leader, or in the part of the journal that the leader has not read.
async fn find_job(cx: &Arc<Cx>, id: JobId, caller: Caller, deadline: Instant) -> Found {
    let query = Query::State {
        id,
        caller: caller.clone(),
    };
    match query_leader(cx, query, deadline).await {
        Some(Answer::State(state)) => Found::Job(state),
        Some(Answer::Foreign) => Found::Foreign,
        Some(Answer::NoJob { read_to }) => find_submission(cx, id, &caller, read_to).await,
        Some(Answer::Pending(_)) | None => Found::NoLeader,
    }
}

/// Finds the submission of a job in the journal at offset `from` or later, which the leader has not read yet.
async fn find_submission(cx: &Cx, id: JobId, caller: &Caller, mut from: u64) -> Found {
    let key = journal::submission_key(id);
    for _ in 0..JOURNAL_PAGES_MAX {
        let page = read_journal(cx, from).await;
        cx.record_store_result(page.is_ok());
        let Ok(page) = page else {
            return Found::Unread;
        };
        let records = page.records.iter();
        let mut records = records.filter_map(|(_, r)| store::decode_keyed(r));
        // The last one counts: the leader deletes the submission of a job that it no longer keeps.
        let stored = records.rfind(|r| r.key == key);
        match stored.as_ref().and_then(journal::decode_entry) {
            Some(Entry::Submitted(_, s)) => {
                let config = cx.config.borrow().clone();
                let may = config.is_none_or(|c| caller.may_access(&s.account, &s.queue, &c));
                return match may {
                    true => Found::Job(JobState::Queued),
                    false => Found::Foreign,
                };
            }
            Some(_) => return Found::No,
            None => {}
        }
        if page.next == from {
            return Found::No;
        }
        from = page.next;
    }
    Found::Unread
}

/// Cancels a job by storing a cancellation record, unless the job belongs to another account.
///
/// The record is stored even when the job is unknown, and cancels the job if its submission is stored later
/// and the caller may cancel it.
async fn cancel(cx: &Arc<Cx>, id: JobId, caller: Caller, deadline: Instant) -> Reply {
    let left = deadline.saturating_duration_since(Instant::now());
    let query_deadline = Instant::now() + ANSWER_TIMEOUT.min(left / 2);
    let found = find_job(cx, id, caller.clone(), query_deadline).await;
    let record = match found {
        Found::Job(_) => journal::cancellation_record(id),
        Found::Foreign => return Reply::NotOwner,
        Found::No | Found::Unread | Found::NoLeader => journal::cancellation_record_of(id, &caller),
    };
    match submit::store(cx, Storable::new(record, 0), deadline).await {
        Reply::Stored if found == Found::No => Reply::NoJob,
        stored => stored,
    }
}

/// Queries the leader until it answers; returns `None` when there is no answer before `deadline`.
async fn query_leader(cx: &Arc<Cx>, query: Query, deadline: Instant) -> Option<Answer> {
    loop {
        let mut pending = cx.queries.register();
        let sent = send_query(cx, pending.seq, query.clone());
        if sent {
            let answer_deadline = (Instant::now() + ANSWER_TIMEOUT).min(deadline);
            let answer = tokio::time::timeout_at(answer_deadline, &mut pending.response).await;
            if let Ok(Ok(answer)) = answer {
                return Some(answer);
            }
        }
        drop(pending);
        if Instant::now() + QUERY_RETRY_PAUSE >= deadline {
            return None;
        }
        tokio::time::sleep(QUERY_RETRY_PAUSE).await;
    }
}

/// Sends a query to the leader, which may be this member.
///
/// Returns false when there is no link to a leader or the link's queue is full.
fn send_query(cx: &Cx, seq: u64, query: Query) -> bool {
    if let Some(token) = cx.own_token() {
        let key = QueryKey {
            link: LOCAL_LINK,
            seq,
        };
        return cx.control.event(token, Event::Query { key, query });
    }
    let leader_link = lock(&cx.leader_link);
    let frame = Frame::Query { seq, query };
    leader_link
        .as_ref()
        .is_some_and(|tx| tx.try_send(frame.into()).is_ok())
}
