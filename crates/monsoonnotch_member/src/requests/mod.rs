//! Callers' calls, as any member answers them.

pub(crate) mod submit;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use monsoonnotch_adapter::caller_api::CallerRequest;
use monsoonnotch_adapter::caller_api::Reply;
use monsoonnotch_adapter::caller_api::Verb;
use monsoonnotch_adapter::store;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::effect::JobState;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::Query;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::parse_job_id;
use tokio::time::Instant;

use crate::cx::Cx;
use crate::cx::OWN;
use crate::cx::lock;
use crate::links::Frame;
use crate::term::JOURNAL;

/// When a caller may come again after a refusal, in seconds: the store's
/// shortest outages and a change of holder last about as long.
const RETRY_S: u32 = 1;
/// Part of a caller's patience that is kept for the way of the answer.
const MARGIN: Duration = Duration::from_millis(200);
/// Longest wait for the holder's answer to one question.
const ANSWER_MAX: Duration = Duration::from_millis(400);
/// Pause before a question is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Answers one call.
pub(crate) async fn answer(cx: Arc<Cx>, call: CallerRequest) -> Reply {
    cx.open_calls.fetch_add(1, Ordering::Relaxed);
    let verb = match call.verb {
        Verb::Submit(_) => "submit",
        Verb::Query => "ask",
        Verb::Cancel => "cancel",
    };
    let began = Instant::now();
    let path = call.path.clone();
    let reply = decide(&cx, call).await;
    cx.open_calls.fetch_sub(1, Ordering::Relaxed);
    let took = began.elapsed();
    crate::process::count_call(verb, &reply, took);
    let ms = took.as_millis() as u64;
    let config = cx.site.borrow().as_ref().map_or(0, |s| s.version);
    let lost_ms = cx.store_lost_for().as_millis() as u64;
    if verb != "ask" || !matches!(reply, Reply::State(_) | Reply::Pending(_)) {
        log::info!(event = "call", verb = verb, path = path.as_str(), reply = format!("{reply:?}"), ms = ms, config = config, store_lost_ms = lost_ms; "answered a call");
    }
    reply
}

async fn decide(cx: &Arc<Cx>, call: CallerRequest) -> Reply {
    let Some(site) = cx.site.borrow().clone() else {
        return Reply::NotRun { retry_s: RETRY_S };
    };
    let Some((name, queue)) = site.queue(&call.host, &call.path) else {
        return Reply::NoQueue;
    };
    let account = match site.keys.get(&call.key).cloned() {
        Some(account) => account,
        None if queue.open => CompactString::default(),
        None => return Reply::NoKey,
    };
    let rest = &call.path[queue.prefix.len()..];
    let until = Instant::now() + call.timeout.saturating_sub(MARGIN);
    if rest.is_empty() && matches!(call.verb, Verb::Query) {
        return pending(cx, name.clone(), until).await;
    }
    let Some(id) = parse_job_id(rest) else {
        return match call.verb {
            Verb::Submit(_) => Reply::Invalid,
            Verb::Query | Verb::Cancel => Reply::NoJob,
        };
    };
    match call.verb {
        Verb::Submit(None) => Reply::Invalid,
        Verb::Submit(Some(plan)) => {
            let job = submit::submission(name, queue, account, *plan);
            submit::store(cx, journal::submission_record(id, &job), until).await
        }
        Verb::Query => state(cx, id, account, until).await,
        Verb::Cancel => cancel(cx, id, account, until).await,
    }
}

async fn pending(cx: &Arc<Cx>, queue: CompactString, until: Instant) -> Reply {
    let query = Query::Pending { queue };
    match ask(cx, query, until).await {
        Some(Answer::Pending(n)) => Reply::Pending(n),
        _ => Reply::NotRun { retry_s: RETRY_S },
    }
}

async fn state(cx: &Arc<Cx>, id: JobId, account: CompactString, until: Instant) -> Reply {
    match ask(cx, Query::State { id, account }, until).await {
        Some(Answer::State(state)) => Reply::State(state),
        Some(Answer::NoJob { read_to }) => match is_stored(cx, id, read_to).await {
            Some(true) => Reply::State(JobState::Queued),
            Some(false) => Reply::NoJob,
            None => Reply::NotRun { retry_s: RETRY_S },
        },
        Some(Answer::Pending(_)) | None => Reply::NotRun { retry_s: RETRY_S },
    }
}

/// Whether a job is among the records that the holder has not read yet; `None`
/// when the store does not say.
async fn is_stored(cx: &Cx, id: JobId, from: u64) -> Option<bool> {
    let page = cx.store.read(JOURNAL, from, Duration::ZERO).await;
    cx.store_answered(page.is_ok());
    let key = journal::submission_key(id);
    let records = page.ok()?.records;
    let mut stored = records.iter().filter_map(|(_, r)| store::decode_keyed(r));
    Some(stored.any(|s| s.key == key))
}

/// Cancels a job; what is not known may still come, and is cancelled then.
async fn cancel(cx: &Arc<Cx>, id: JobId, account: CompactString, until: Instant) -> Reply {
    let soon = (Instant::now() + ANSWER_MAX).min(until);
    let query = Query::State { id, account };
    let (known, stored) = tokio::join!(
        ask(cx, query, soon),
        submit::store(cx, journal::cancellation_record(id), until),
    );
    match (known, stored) {
        (Some(Answer::NoJob { read_to }), Reply::Stored) => {
            match is_stored(cx, id, read_to).await {
                Some(false) => Reply::NoJob,
                Some(true) | None => Reply::Stored,
            }
        }
        (_, stored) => stored,
    }
}

/// Asks the holder until it answers; `None` when it does not in time.
async fn ask(cx: &Arc<Cx>, query: Query, until: Instant) -> Option<Answer> {
    loop {
        let (seq, rx) = cx.queries.ask();
        let asked = send(cx, seq, query.clone());
        if asked {
            let wait = (Instant::now() + ANSWER_MAX).min(until);
            if let Ok(Ok(answer)) = tokio::time::timeout_at(wait, rx).await {
                return Some(answer);
            }
        }
        cx.queries.forget(seq);
        if Instant::now() + ASK_PAUSE >= until {
            return None;
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }
}

/// Sends a question to the holder; false when none is known.
fn send(cx: &Cx, seq: u64, query: Query) -> bool {
    if let Some(token) = cx.own_token() {
        let key = QueryKey { link: OWN, seq };
        return cx.control.event(token, Event::Query { key, query });
    }
    let host = lock(&cx.host);
    let frame = Frame::Ask { seq, query };
    host.as_ref().is_some_and(|tx| tx.try_send(frame).is_ok())
}
