//! Stores what a caller hands in. The store keeps one record for each key, so
//! an append without an answer can be repeated.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use monsoonnotch_adapter::front::Reply;
use monsoonnotch_adapter::store::APPEND_TIMES;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::Stored;
use monsoonnotch_jobs::journal::Submission;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::Plan;
use monsoonnotch_jobs::site::Queue;
use tokio::time::Instant;

use super::RETRY_S;
use crate::control::unix_ms;
use crate::cx::Cx;
use crate::term::JOURNAL;

/// How long appends that are refused go again before the caller is refused.
const REFUSE_AFTER: Duration = Duration::from_millis(150);
/// Pause between appends.
const PAUSE: Duration = Duration::from_millis(40);

/// What is stored of a job.
pub(super) fn submission(
    name: &CompactString,
    queue: &Queue,
    account: CompactString,
    plan: Plan,
) -> Submission {
    Submission {
        queue: name.clone(),
        account,
        pool: queue.pool.clone(),
        taken_ms: unix_ms(),
        plan,
    }
}

/// The record of a submission.
pub(super) fn record(id: JobId, submission: &Submission) -> Stored {
    journal::submitted(id, submission)
}

/// Stores a record; the reply says whether it may have been.
pub(super) async fn store(cx: &Arc<Cx>, record: Stored, until: Instant) -> Reply {
    let records = [record];
    let began = Instant::now();
    let mut may_have_run = false;
    for i in 0.. {
        let timeout = APPEND_TIMES[i.min(APPEND_TIMES.len() - 1)];
        let timeout = timeout.min(until.saturating_duration_since(Instant::now()));
        if timeout < PAUSE {
            break;
        }
        let appended = cx.store.append(JOURNAL, &records, None, None, timeout).await;
        cx.store_answered(appended.is_ok());
        match appended {
            Ok(_) => return Reply::Stored,
            Err(Error::Unknown) => may_have_run = true,
            Err(_) if !may_have_run && began.elapsed() >= REFUSE_AFTER => {
                return Reply::NotRun { retry_s: RETRY_S };
            }
            Err(_) => {}
        }
        tokio::time::sleep(PAUSE).await;
    }
    match may_have_run {
        true => Reply::MayHaveRun,
        false => Reply::NotRun { retry_s: RETRY_S },
    }
}
