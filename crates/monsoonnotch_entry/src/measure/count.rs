//! Counters of events, effects, notices and refusals.

use monsoonnotch_core::effect::Effect;
use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::notice::Notice;
use monsoonnotch_core::record::Stream;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;

const MICROS_PER_SEC: f64 = 1_000_000.0;

/// Counts an event, before the reducer receives it.
pub fn record_event(ev: &Event) {
    match ev {
        Event::CallEnded { outcome, .. } => count_outcome(*outcome),
        Event::TaskStarted { verdict, .. } => {
            let counter = metrics::counter!(super::TASK_STARTS, "verdict" => verdict.as_str());
            counter.increment(1);
        }
        Event::SyncFailed { .. } => metrics::counter!(super::SYNC_FAILURES).increment(1),
        Event::LogFailed(stream) => {
            let stream = match stream {
                Stream::Control => "control",
                Stream::Journal(_) => "journal",
            };
            metrics::counter!(super::LOG_FAILURES, "stream" => stream).increment(1);
        }
        _ => {}
    }
}

/// Counts an effect, before it is executed.
pub fn record_effect(effect: &Effect) {
    match effect {
        Effect::Dispatch { waited, .. } => {
            metrics::counter!(super::DISPATCHES).increment(1);
            metrics::histogram!(super::WAIT_SECONDS).record(waited.0 as f64 / MICROS_PER_SEC);
        }
        Effect::Refuse { refusal, .. } => count_refusal(super::CALL_REFUSALS, refusal),
        Effect::Append { .. } => metrics::counter!(super::CONTROL_APPENDS).increment(1),
        Effect::Journal { .. } => metrics::counter!(super::JOURNAL_APPENDS).increment(1),
        _ => {}
    }
}

/// Counts the problem document of a refusal.
pub fn record_problem(refusal: &Refusal) {
    count_refusal(super::PROBLEMS, refusal);
}

/// Counts a client that was limited at a listener.
pub fn record_limited_client(listener: &'static str, cause: &'static str) {
    let counter =
        metrics::counter!(super::LIMITED_CLIENTS, "listener" => listener, "cause" => cause);
    counter.increment(1);
}

/// Counts a notice under its event number.
pub fn record_notice(notice: &Notice) {
    let number = notice.number().to_string();
    metrics::counter!(super::EVENTS, "event" => number).increment(1);
    match notice {
        Notice::Evicted { .. } | Notice::SelfEvicted => {
            metrics::counter!(super::EVICTIONS).increment(1);
        }
        Notice::InvariantBroken(_) => metrics::counter!(super::BROKEN_INVARIANTS).increment(1),
        _ => {}
    }
}

fn count_outcome(outcome: CallOutcome) {
    let (end, reason) = match outcome {
        CallOutcome::Complete => ("complete", None),
        CallOutcome::Failed => ("failed", None),
        CallOutcome::NotRun(r) => ("not_run", Some(r)),
        CallOutcome::MayHaveRun(r) => ("may_have_run", Some(r)),
        CallOutcome::Cut(r) => ("cut", Some(r)),
    };
    let reason = reason.map_or(String::new(), |r: Reason| r.to_string());
    metrics::counter!(super::DISPATCH_ENDS, "end" => end, "reason" => reason).increment(1);
}

fn count_refusal(name: &'static str, refusal: &Refusal) {
    let verdict = refusal.verdict.as_str();
    let reason = refusal.reason.to_string();
    metrics::counter!(name, "verdict" => verdict, "reason" => reason).increment(1);
}
