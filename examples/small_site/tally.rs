//! Counts of the requests' outcomes, and the report of the run.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hdrhistogram::Histogram;
use monsoonnotch_standins::prelude::*;

/// The outcome of a request, as its caller observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete response to this request arrived.
    Answered,
    /// The request was refused as not run.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// The caller timed out, or its response is neither its own nor a valid refusal.
    Lost,
}

/// Numbers of requests by outcome.
#[derive(Debug)]
struct Counts {
    sent: u64,
    answered: u64,
    not_run: u64,
    may_have_run: u64,
    lost: u64,
    duplicated: u64,
    /// Latencies of the answered requests, in milliseconds.
    latencies_ms: Histogram<u64>,
    /// Identifiers and outcomes of the non-repeatable requests, whose runs the workers count.
    once: Vec<(String, Outcome)>,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            not_run: 0,
            may_have_run: 0,
            lost: 0,
            duplicated: 0,
            latencies_ms: Histogram::new(3).expect("three digits are valid"),
            once: Vec::new(),
        }
    }
}

/// Counts that all callers share.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    counts: Mutex<Counts>,
}

impl Tally {
    /// Counts an ended request.
    pub(crate) fn add(&self, id: String, repeatable: bool, outcome: Outcome, took: Duration) {
        let mut c = self.counts();
        c.sent += 1;
        match outcome {
            Outcome::Answered => c.answered += 1,
            Outcome::NotRun => c.not_run += 1,
            Outcome::MayHaveRun => c.may_have_run += 1,
            Outcome::Lost => c.lost += 1,
        }
        if outcome == Outcome::Answered {
            let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            c.latencies_ms.saturating_record(ms);
        }
        if !repeatable {
            c.once.push((id, outcome));
        }
    }

    /// Prints the counts so far.
    pub(crate) fn progress(&self, second: u64, jobs: usize) {
        let c = self.counts();
        println!(
            "second={second} sent={} answered={} not_run={} may_have_run={} jobs={jobs}",
            c.sent, c.answered, c.not_run, c.may_have_run
        );
    }

    /// Compares the outcomes with the runs that the workers counted.
    ///
    /// Answered requests that did not run count as lost, and requests refused as not run that ran
    /// count as `duplicated`.
    pub(crate) fn check_outcomes(&self, checker: &Checker) {
        let mut c = self.counts();
        let count_contradictions = |wanted, ran: fn(u32) -> bool| {
            let with_outcome = c.once.iter().filter(|(_, o)| *o == wanted);
            with_outcome
                .filter(|(id, _)| ran(checker.run_count(id)))
                .count() as u64
        };
        let answered_without_run = count_contradictions(Outcome::Answered, |n| n == 0);
        let not_run_but_ran = count_contradictions(Outcome::NotRun, |n| n > 0);
        c.lost += answered_without_run;
        c.duplicated += not_run_but_ran;
    }

    /// Prints the violations and the last line; returns whether nothing was lost or duplicated and
    /// no capacity or limit was exceeded.
    pub(crate) fn report(&self, seed: u64, unfinished_jobs: usize, checker: &Checker) -> bool {
        let c = self.counts();
        let violations = checker.violations();
        let count = |f: fn(&Violation) -> bool| violations.iter().filter(|b| f(b)).count() as u64;
        let is_duplicate = |b: &Violation| {
            matches!(
                b,
                Violation::Duplicated { .. } | Violation::ConcurrentRuns { .. }
            )
        };
        let lost = c.lost + unfinished_jobs as u64;
        let duplicated = c.duplicated + count(is_duplicate);
        let over_capacity = count(|b| matches!(b, Violation::OverCapacity { .. }));
        let over_limit = count(|b| matches!(b, Violation::OverLimit { .. }));
        for b in violations.iter().take(10) {
            eprintln!("small_site: {b:?}");
        }
        println!(
            "small_site: seed={seed} sent={} answered={} not_run={} may_have_run={} lost={lost} \
             doubled={duplicated} over_capacity={over_capacity} over_limit={over_limit} \
             p50_ms={} p99_ms={}",
            c.sent,
            c.answered,
            c.not_run,
            c.may_have_run,
            c.latencies_ms.value_at_quantile(0.5),
            c.latencies_ms.value_at_quantile(0.99),
        );
        lost + duplicated + over_capacity + over_limit == 0
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().expect("the lock is not poisoned")
    }
}
