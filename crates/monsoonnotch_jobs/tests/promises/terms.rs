//! Directed tests of successive leader terms: what one leader has waited for must not be waited
//! for again by the next.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use monsoonnotch_core::time::Duration;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::tuning::Tuning;
use rstest::rstest;

use crate::directed::at;
use crate::directed::deliver;
use crate::directed::fleet_record_of;
use crate::directed::job_of_one_task;
use crate::directed::placement;
use crate::directed::poll_answer;
use crate::directed::starts;
use crate::incarnations::run_polls;
use crate::random::fleet;
use crate::random::site;

/// Time after the start of a term by which every lease of its predecessors has expired, in
/// milliseconds.
const SETTLE_MS: u64 = 10_700;
/// Time after the end of the wait by which the task must start, in milliseconds: two thirds of
/// the 3 s for which a long-lived task may run nowhere.
const START_MAX_MS: u64 = 2_000;

/// The newest records of the journal.
type Records = BTreeMap<String, KeyedRecord>;

fn store(records: &mut Records, stored: impl IntoIterator<Item = KeyedRecord>) {
    let rows = stored.into_iter().map(|r| (r.key.to_string(), r));
    records.extend(rows);
}

/// Plays a part of a term, in which `silent` answers no poll; returns whether a task started.
fn play(
    scheduler: &mut Scheduler,
    records: &mut Records,
    fx: Vec<Effect>,
    ms: Range<u64>,
    silent: &str,
) -> bool {
    let fx = run_polls(scheduler, fx, ms, |id, _| match id == silent {
        true => Some(Err(PollError::Unresponsive)),
        false => Some(Ok(poll_answer(Vec::new()))),
    });
    for effect in &fx {
        if let Effect::Append(stored) = effect {
            store(records, stored.clone());
        }
    }
    !starts(&fx).is_empty()
}

/// Begins a term with two VMs in the list; returns its scheduler and first effects.
fn begin_term(records: &mut Records, token: u64, ms: u64) -> (Scheduler, Vec<Effect>) {
    let settle_at = at(ms) + Duration::from_millis(SETTLE_MS);
    let cfg = Arc::new(site(0, false));
    let mut scheduler = Scheduler::new(token, Tuning::default(), cfg, settle_at);
    store(records, [journal::term_record(token)]);
    deliver(&mut scheduler, ms, Event::AllVms(fleet(2, 8_000)));
    let newest = records.values().map(|r| (0, r.clone())).collect();
    deliver(&mut scheduler, ms, Event::Journal(newest));
    let marker = token * 1_000;
    let fx = deliver(&mut scheduler, ms, Event::CaughtUp { marker });
    (scheduler, fx)
}

/// Guards against a task that runs nowhere as long as leaders follow each other: each of them
/// waited anew for the leases of a VM that had been silent through the terms before.
#[rstest]
#[case::placed_on_a_vm_that_is_not_listed("v777", true, 8_800)]
#[case::placed_on_a_vm_that_does_not_answer("v001", true, 8_800)]
#[case::unplaced_and_a_vm_of_the_fleet_is_not_listed("v777", false, 8_800)]
#[case::unplaced_and_a_vm_of_the_fleet_does_not_answer("v001", false, 8_800)]
#[case::through_four_terms("v777", true, 3_000)]
fn a_silent_vm_is_awaited_once_across_leader_changes(
    #[case] silent: &str,
    #[case] placed: bool,
    #[case] term_ms: u64,
) {
    let mut records = Records::new();
    store(
        &mut records,
        [job_of_one_task(), fleet_record_of(["v000", silent])],
    );
    if placed {
        store(&mut records, [placement(silent, 0)]);
    }
    let (mut token, mut began) = (2, 0);
    loop {
        let (mut scheduler, fx) = begin_term(&mut records, token, began);
        let until = began + term_ms;
        if until < SETTLE_MS {
            let started = play(&mut scheduler, &mut records, fx, began..until, silent);
            assert!(!started, "its lease may hold in the term of token {token}");
            (token, began) = (token + 1, until);
            continue;
        }
        let started = play(&mut scheduler, &mut records, fx, began..SETTLE_MS, silent);
        assert!(!started, "its lease may hold");
        let rest = SETTLE_MS..SETTLE_MS + START_MAX_MS;
        let started = play(&mut scheduler, &mut records, Vec::new(), rest, silent);
        assert!(started, "every lease expired at {SETTLE_MS} ms");
        return;
    }
}
