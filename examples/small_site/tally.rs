//! What the callers saw, and the last line.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hdrhistogram::Histogram;
use monsoonnotch_standins::prelude::*;

/// How one request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole answer came.
    Answered,
    /// It was refused and did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// Nothing came, or an answer to something else.
    Lost,
}

/// All counts.
#[derive(Debug)]
struct Counts {
    sent: u64,
    answered: u64,
    not_run: u64,
    may_have_run: u64,
    lost: u64,
    doubled: u64,
    waits: Histogram<u64>,
    /// Requests that name themselves to the workers, and how they ended.
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
            doubled: 0,
            waits: Histogram::new(3).expect("three digits are valid"),
            once: Vec::new(),
        }
    }
}

/// The callers' common tally.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    counts: Mutex<Counts>,
}

impl Tally {
    /// Adds one ended request.
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
            c.waits.saturating_record(ms);
        }
        if !repeatable {
            c.once.push((id, outcome));
        }
    }

    /// Prints a line about the time so far.
    pub(crate) fn progress(&self, second: u64, jobs: usize) {
        let c = self.counts();
        println!(
            "second={second} sent={} answered={} not_run={} may_have_run={} jobs={jobs}",
            c.sent, c.answered, c.not_run, c.may_have_run
        );
    }

    /// Compares what callers were told with what the workers ran.
    pub(crate) fn check_answers(&self, fleet: &Checker) {
        let mut c = self.counts();
        let untrue = |wanted, ran: fn(u32) -> bool| {
            let told = c.once.iter().filter(|(_, o)| *o == wanted);
            told.filter(|(id, _)| ran(fleet.run_count(id))).count() as u64
        };
        let without_run = untrue(Outcome::Answered, |n| n == 0);
        let not_run_but_ran = untrue(Outcome::NotRun, |n| n > 0);
        c.lost += without_run;
        c.doubled += not_run_but_ran;
    }

    /// Prints the last line; says whether nothing was lost, doubled or too much.
    pub(crate) fn report(&self, seed: u64, lost_tasks: usize, fleet: &Checker) -> bool {
        let c = self.counts();
        let violations = fleet.violations();
        let count = |f: fn(&Violation) -> bool| violations.iter().filter(|b| f(b)).count() as u64;
        let twice = |b: &Violation| {
            matches!(
                b,
                Violation::Duplicated { .. } | Violation::ConcurrentRuns { .. }
            )
        };
        let lost = c.lost + lost_tasks as u64;
        let doubled = c.doubled + count(twice);
        let over_capacity = count(|b| matches!(b, Violation::OverCapacity { .. }));
        let over_limit = count(|b| matches!(b, Violation::OverLimit { .. }));
        for b in violations.iter().take(10) {
            eprintln!("small_site: {b:?}");
        }
        println!(
            "small_site: seed={seed} sent={} answered={} not_run={} may_have_run={} lost={lost} \
             doubled={doubled} over_capacity={over_capacity} over_limit={over_limit} \
             p50_ms={} p99_ms={}",
            c.sent,
            c.answered,
            c.not_run,
            c.may_have_run,
            c.waits.value_at_quantile(0.5),
            c.waits.value_at_quantile(0.99),
        );
        lost + doubled + over_capacity + over_limit == 0
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().expect("no holder of the lock panics")
    }
}
