//! Refusals of requests that have had no effect: what the caller is told, and what is recorded.

use std::time::Instant;

use monsoonnotch_adapter::caller_api::Reply;
use monsoonnotch_jobs::comeback::Cause;
use monsoonnotch_jobs::journal::Submission;
use monsoonnotch_jobs::plan::JobId;

use crate::cx::Cx;
use crate::cx::lock;

/// Returns the reply for a request that was refused without effect.
pub(crate) fn not_run(cause: Cause) -> Reply {
    Reply::NotRun {
        retry_s: retry_s(cause),
    }
}

/// Records a refusal; returns after which time the caller may come back, in seconds.
pub(crate) fn retry_s(cause: Cause) -> u32 {
    let retry_s = cause.retry_s(rand::random());
    log::info!(event = "refused", cause = cause.name(), retry_s = retry_s, basis = format!("{cause:?}"); "refused a request without effect");
    metrics::counter!("monsoonnotch_refusals_total", "cause" => cause.name()).increment(1);
    metrics::gauge!("monsoonnotch_retry_after_s", "cause" => cause.name()).set(f64::from(retry_s));
    retry_s
}

/// Returns the refusal of a request that the store cannot store now.
pub(crate) fn not_stored(cx: &Cx) -> Reply {
    let away = cx.store_unavailable_for();
    not_run(match away.is_zero() {
        true => Cause::StoreSlow(cx.append_time().into()),
        false => Cause::StoreAway(away.into()),
    })
}

/// Counts a submission as sent; returns whether it was sent a short time ago as well, so that it may be
/// stored and must not be refused as not run. Only the leader refuses submissions for what they take.
pub(crate) fn is_repeated(cx: &Cx, id: JobId) -> bool {
    cx.own_token().is_some() && !lock(&cx.recent_submissions).insert(id, Instant::now())
}

/// Returns the time of a cause for a submission that is refused before it is sent.
pub(crate) fn unsent_retry_s(cx: &Cx, id: JobId, cause: Cause) -> u32 {
    lock(&cx.recent_submissions).remove(id);
    retry_s(cause)
}

/// Returns after which time the caller may come back, in seconds, if a submission that was not sent before
/// is turned away for want of room. Only the leader knows what waits. `submission` is read only if a pool
/// is full.
pub(crate) fn turned_away_s(
    cx: &Cx,
    id: JobId,
    submission: impl FnOnce() -> Option<Submission>,
) -> Option<u32> {
    if !cx.settings.tuning.admission || cx.own_token().is_none() {
        return None;
    }
    let wait = cx.backlogs()?.turn_away(id, &submission()?)?;
    Some(unsent_retry_s(cx, id, Cause::NoRoom(wait)))
}
