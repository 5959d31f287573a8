//! Directed tests of successive leader terms: what one leader has waited for must not be waited
//! for again by the next.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use monsoonnotch_core::time::Duration;
use monsoonnotch_jobs::access::Caller;
use monsoonnotch_jobs::effect::Answer;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::JobState;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::event::Query;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::plan::JobId;
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
use crate::terms_timed::with_run;

/// Time after the start of a term by which every lease of its predecessors has expired, in
/// milliseconds.
const SETTLE_MS: u64 = 10_700;
/// Time after the end of the wait by which the task must start, in milliseconds: two thirds of
/// the 3 s for which a long-lived task may run nowhere.
const START_MAX_MS: u64 = 2_000;

/// The newest records of the journal.
type Records = BTreeMap<String, KeyedRecord>;

/// Returns a row of the record of leases.
pub(crate) fn remaining_lease(vm: &str, ms: u64) -> journal::RemainingLease {
    journal::RemainingLease {
        vm: vm.into(),
        ms,
        ..Default::default()
    }
}

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
    begin_term_on(records, token, ms, 8_000)
}

/// The same, on VMs of `milli` thousandths of a core.
fn begin_term_on(
    records: &mut Records,
    token: u64,
    ms: u64,
    milli: u64,
) -> (Scheduler, Vec<Effect>) {
    let settle_at = at(ms) + Duration::from_millis(SETTLE_MS);
    let cfg = Arc::new(site(0, false));
    let mut scheduler = Scheduler::new(token, Tuning::default(), cfg, settle_at);
    store(records, [journal::term_record(token)]);
    deliver(&mut scheduler, ms, Event::AllVms(fleet(2, milli)));
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

/// Returns the VMs that a record says may still have leases; `None` for any other record.
fn awaited(stored: &KeyedRecord) -> Option<Vec<String>> {
    match journal::decode_entry(stored) {
        Some(journal::Entry::Leases(l)) => Some(l.vms.iter().map(|l| l.vm.to_string()).collect()),
        _ => None,
    }
}

/// Checks that no VM gets a lease while the stored record says how long its leases may last;
/// returns how many polls gave `vm` a lease.
fn check_leases(fx: &[Effect], vm: &str) -> usize {
    let mut withheld = Vec::new();
    let mut given = 0;
    for effect in fx {
        match effect {
            Effect::Append(stored) => {
                withheld = stored
                    .iter()
                    .filter_map(awaited)
                    .next_back()
                    .unwrap_or(withheld);
            }
            Effect::Poll {
                to,
                lease_until_ms: Some(_),
                ..
            } => {
                assert!(!withheld.contains(&to.id.to_string()), "a lease for {vm}");
                given += usize::from(to.id == vm);
            }
            Effect::Start { to, .. } => {
                assert!(!withheld.contains(&to.id.to_string()), "a start on {vm}");
            }
            _ => {}
        }
    }
    given
}

/// Guards against two runs of one task: a VM answered again after its remaining leases had been
/// stored, and was given a new one. The successor must not count from the stored time.
/// Guards against a job that is called unknown by a leader that has not read the journal yet.
#[test]
fn a_leader_that_has_not_read_the_journal_answers_no_query() {
    let cfg = Arc::new(site(0, false));
    let mut scheduler = Scheduler::new(2, Tuning::default(), cfg, at(5_000));
    let key = QueryKey { link: 1, seq: 1 };
    let query = || Query::State {
        id: JobId(5),
        caller: Caller {
            account: "ann".into(),
            ..Caller::default()
        },
    };
    let replies = |fx: &[Effect]| {
        let state = |e: &Effect| match e {
            Effect::Reply { answer, .. } => Some(*answer),
            _ => None,
        };
        fx.iter().filter_map(state).collect::<Vec<Answer>>()
    };
    let fx = deliver(
        &mut scheduler,
        1,
        Event::Query {
            key,
            query: query(),
        },
    );
    assert_eq!(replies(&fx), Vec::new());
    deliver(
        &mut scheduler,
        2,
        Event::Journal(vec![(0, job_of_one_task())]),
    );
    deliver(&mut scheduler, 3, Event::CaughtUp { marker: 4 });
    let fx = deliver(
        &mut scheduler,
        4,
        Event::Query {
            key,
            query: query(),
        },
    );
    assert_eq!(replies(&fx), vec![Answer::State(JobState::Queued)]);
}

#[test]
fn a_vm_that_answered_again_is_awaited_anew() {
    const ANSWERS_MS: u64 = 3_000;
    const NEXT_TERM_MS: u64 = 9_000;
    let mut records = Records::new();
    let fleet = fleet_record_of(["v000", "v001"]);
    store(
        &mut records,
        [job_of_one_task(), fleet, placement("v001", 0)],
    );
    let (mut scheduler, fx) = begin_term(&mut records, 2, 0);
    let fx = run_polls(&mut scheduler, fx, 0..NEXT_TERM_MS, |id, ms| match id {
        "v001" if ms < ANSWERS_MS => Some(Err(PollError::Unresponsive)),
        "v001" => Some(Ok(with_run(0, 1_000))),
        _ => Some(Ok(poll_answer(Vec::new()))),
    });
    assert!(check_leases(&fx, "v001") > 0, "its lease is never renewed");
    for effect in &fx {
        if let Effect::Append(stored) = effect {
            store(&mut records, stored.clone());
        }
    }
    let (mut scheduler, fx) = begin_term(&mut records, 3, NEXT_TERM_MS);
    let settled_ms = NEXT_TERM_MS + SETTLE_MS;
    let ms = NEXT_TERM_MS..settled_ms;
    let started = play(&mut scheduler, &mut records, fx, ms, "v001");
    assert!(!started, "its lease may hold");
    let ms = settled_ms..settled_ms + START_MAX_MS;
    let started = play(&mut scheduler, &mut records, Vec::new(), ms, "v001");
    assert!(started, "every lease has expired");
}

/// Guards against two runs of one task: the stored leases are those of an earlier term, and the
/// leader between gave the VM another one without storing anything.
#[test]
fn leases_stored_in_an_earlier_term_do_not_count() {
    let mut records = Records::new();
    let fleet = fleet_record_of(["v000", "v001"]);
    let leases = journal::leases_record(&journal::RemainingLeases {
        token: 1,
        vms: vec![remaining_lease("v001", 100)],
    });
    let stored = [job_of_one_task(), fleet, placement("v001", 0), leases];
    store(&mut records, stored);
    let (mut scheduler, fx) = begin_term(&mut records, 3, 0);
    let started = play(&mut scheduler, &mut records, fx, 0..SETTLE_MS, "v001");
    assert!(!started, "its lease may hold");
}

/// Guards against a task that waits anew with each leader for a VM that an earlier one had given
/// up: the task could not be placed since, so that the stored placement was still the old one.
#[test]
fn a_run_that_was_given_up_is_not_awaited_by_the_next_leader() {
    const TOO_SMALL: u64 = 100;
    const NEXT_TERM_MS: u64 = SETTLE_MS + 1_500;
    let mut records = Records::new();
    let fleet = fleet_record_of(["v000", "v777"]);
    store(
        &mut records,
        [job_of_one_task(), fleet, placement("v777", 0)],
    );
    let (mut scheduler, fx) = begin_term_on(&mut records, 2, 0, TOO_SMALL);
    let ms = 0..NEXT_TERM_MS;
    let started = play(&mut scheduler, &mut records, fx, ms, "v777");
    assert!(!started, "no VM has room");
    let (mut scheduler, fx) = begin_term(&mut records, 3, NEXT_TERM_MS);
    let ms = NEXT_TERM_MS..NEXT_TERM_MS + START_MAX_MS;
    let started = play(&mut scheduler, &mut records, fx, ms, "v777");
    assert!(started, "its leases had expired in the term before");
}

/// Guards against two runs of one task while releases are mixed: a member of an older release
/// reads only the VMs of a placement, and must store the next one before it starts the task.
#[test]
fn a_placement_names_the_last_vm_also_when_its_run_was_given_up() {
    const TOO_SMALL: u64 = 100;
    let mut records = Records::new();
    let fleet = fleet_record_of(["v000", "v777"]);
    store(
        &mut records,
        [job_of_one_task(), fleet, placement("v777", 0)],
    );
    let (mut scheduler, fx) = begin_term_on(&mut records, 2, 0, TOO_SMALL);
    let ms = 0..SETTLE_MS + START_MAX_MS;
    play(&mut scheduler, &mut records, fx, ms, "v777");
    let placed = placement("v777", 0);
    let stored = journal::decode_entry(&records[placed.key.as_str()]);
    let Some(journal::Entry::Placed(_, stored)) = stored else {
        panic!("no placements are stored: {stored:?}");
    };
    assert_eq!(stored.unplaced, [(0, 0, 0)], "its run was given up");
    assert_eq!(stored.vms.len(), 1);
    assert_eq!(stored.vms[0].vm, "v777");
}

/// Guards against a wait for a VM that has ended: another one answers at its address, which the
/// VM list does not show any more.
#[rstest]
#[case::placed(true)]
#[case::unplaced(false)]
fn a_silent_vm_whose_address_has_another_one_is_not_awaited(#[case] placed: bool) {
    let mut records = Records::new();
    let fleet = fleet_record_of(["v000", "v777"]);
    let leases = journal::leases_record(&journal::RemainingLeases {
        token: 1,
        vms: vec![journal::RemainingLease {
            addr: "10.0.0.9:1".into(),
            ..remaining_lease("v777", 9_000)
        }],
    });
    store(&mut records, [job_of_one_task(), fleet, leases]);
    if placed {
        store(&mut records, [placement("v777", 0)]);
    }
    let (mut scheduler, fx) = begin_term(&mut records, 2, 0);
    let fx = run_polls(&mut scheduler, fx, 0..START_MAX_MS, |id, _| match id {
        "v777" => Some(Err(PollError::OtherIncarnation)),
        _ => Some(Ok(poll_answer(Vec::new()))),
    });
    assert!(!starts(&fx).is_empty(), "its run has ended with it");
}
