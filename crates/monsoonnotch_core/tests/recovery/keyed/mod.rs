//! Tests of requests with idempotency keys, which run at most once whatever fails.
//!
//! The home of a key records an intent in its journal before it allows an entry
//! to dispatch a request, and the entry reports the outcome to the home.

use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::prelude::*;
use monsoonnotch_core::wire::IdemKey;
use monsoonnotch_core::wire::PeerMsg;

use crate::simulation::Simulation;

const ALL: [MemberId; 4] = [MemberId(1), MemberId(2), MemberId(3), MemberId(4)];
const KEY: &str = "wedding-7";

/// Returns the home of `KEY` and another member.
fn home_and_other(sim: &Simulation) -> (MemberId, MemberId) {
    let key = IdemKey {
        team: Name::from("hall"),
        key: Name::from(KEY),
    };
    let control = sim.members.values().next().expect("a member");
    let home = control.ledger().home_of(key.hash()).expect("a home");
    let other = ALL.into_iter().find(|m| *m != home);
    (home, other.expect("another member"))
}

/// Returns a member other than the given two.
fn third_member(home: MemberId, other: MemberId) -> MemberId {
    let mut all = ALL.into_iter();
    let third = all.find(|m| *m != home && *m != other);
    third.expect("a third member")
}

/// Runs the simulation until `KEY` has a home other than `home`.
fn run_until_successor(sim: &mut Simulation, home: MemberId) {
    sim.run_until("a successor", |sim| {
        let (now, _) = home_and_other(sim);
        now != home
    });
}

#[test]
fn a_key_sent_to_all_entries_at_once_runs_once() {
    let mut sim = Simulation::new(4, 4);
    for (call, m) in (1..).zip(ALL) {
        sim.send_keyed(m, call, KEY, 9);
    }
    sim.run(3_000);
    let ran: usize = (1..=4).map(|call| sim.dispatches(call)).sum();
    assert_eq!(ran, 1);
    let refused = (1..=4).filter_map(|call| sim.refusal(call));
    assert!(refused.clone().count() == 3 && refused.clone().all(|r| r.reason == Reason::KeyInUse));
}

#[test]
fn the_successor_answers_that_a_key_already_ran() {
    let mut sim = Simulation::new(4, 4);
    let (home, other) = home_and_other(&sim);
    sim.send_keyed(other, 1, KEY, 9);
    sim.run_until("the request is dispatched", |sim| sim.dispatches(1) == 1);
    sim.complete(other, 1);
    sim.run(500);
    sim.kill(home);
    run_until_successor(&mut sim, home);
    sim.run_until("the successor answers that the key already ran", |sim| {
        let call = 10 + sim.refused.len() as u64;
        sim.send_keyed(other, call, KEY, 9);
        sim.run(1_000);
        assert_eq!(sim.dispatches(call), 0);
        let refusal = sim.refusal(call);
        refusal.is_some_and(|r| (r.reason, r.verdict) == (Reason::AlreadyRan, Verdict::Ran))
    });
}

#[test]
fn a_key_does_not_run_again_while_its_home_is_dead_or_replaced() {
    let mut sim = Simulation::new(4, 4);
    let (home, other) = home_and_other(&sim);
    sim.send_keyed(other, 1, KEY, 9);
    sim.run_until("the request is dispatched", |sim| sim.dispatches(1) == 1);
    sim.complete(other, 1);
    sim.run(500);
    sim.kill(home);
    let left: Vec<MemberId> = sim.members.keys().copied().collect();
    for call in 2..200 {
        let entry = usize::try_from(call).expect("a small number") % left.len();
        sim.send_keyed(left[entry], call, KEY, 9);
        sim.run(50);
    }
    let again: usize = (2..200).map(|call| sim.dispatches(call)).sum();
    assert_eq!(again, 0);
}

/// The entry must report the outcome to the successor of the home that allowed the request.
#[test]
fn the_outcome_of_a_request_is_reported_to_the_successor_of_a_dead_home() {
    let mut sim = Simulation::new(4, 4);
    let (home, other) = home_and_other(&sim);
    sim.send_keyed(other, 1, KEY, 9);
    sim.run_until("the request is dispatched", |sim| sim.dispatches(1) == 1);
    sim.kill(home);
    run_until_successor(&mut sim, home);
    sim.complete(other, 1);
    sim.run(8_000);
    let requester = third_member(home, other);
    sim.send_keyed(requester, 2, KEY, 9);
    sim.run(1_000);
    let refusal = sim.refusal(2).expect("a refusal");
    assert_eq!(refusal.reason, Reason::AlreadyRan);
}

/// The home records the intent and dies, and its answer to the entry is lost. The entry must answer
/// the caller before the longest wait ends, and a refused request can then be sent again.
#[test]
fn a_lost_intent_answer_leads_to_a_final_answer_and_one_run() {
    let mut sim = Simulation::new(4, 4);
    let (home, other) = home_and_other(&sim);
    sim.is_lost =
        Box::new(move |from, _, msg| from == home && matches!(msg, PeerMsg::IntentAnswer { .. }));
    sim.send_keyed(other, 1, KEY, 9);
    sim.run(200);
    sim.kill(home);
    sim.run(2_500);
    let first = sim.dispatches(1);
    let answered = first == 1 || sim.refusal(1).is_some_and(|r| r.verdict == Verdict::NotRun);
    assert!(answered, "no final answer within the longest wait");
    sim.run(15_000);
    let requester = third_member(home, other);
    sim.send_keyed(requester, 2, KEY, 9);
    sim.run(1_000);
    assert_eq!(
        first + sim.dispatches(2),
        1,
        "the key must run once; a request that did not run may be sent again"
    );
}

/// The home pauses before its append of an intent is confirmed, and is evicted. After it resumes and
/// receives the confirmation, it must not allow the request, because its successor may have allowed
/// another request with the same key.
#[test]
fn an_evicted_home_does_not_allow_a_request_after_a_late_confirmation() {
    let mut sim = Simulation::new(4, 4);
    let (home, other) = home_and_other(&sim);
    sim.send_keyed(other, 1, KEY, 9);
    sim.run_until("the intent is recorded", |sim| {
        sim.journals.contains_key(&home)
    });
    sim.paused.insert(home);
    run_until_successor(&mut sim, home);
    sim.run(8_000);
    let requester = third_member(home, other);
    sim.send_keyed(requester, 2, KEY, 9);
    sim.run(500);
    sim.resume(home);
    sim.run(3_000);
    let ran = sim.dispatches(1) + sim.dispatches(2);
    assert!(ran <= 1, "the key ran {ran} times");
}

#[test]
fn a_request_dispatched_by_a_dead_entry_may_have_run() {
    let mut sim = Simulation::new(4, 4);
    let (home, other) = home_and_other(&sim);
    sim.send_keyed(other, 1, KEY, 9);
    sim.run_until("the request is dispatched", |sim| sim.dispatches(1) == 1);
    sim.kill(other);
    sim.run(10_000);
    let requester = third_member(home, other);
    sim.send_keyed(requester, 2, KEY, 9);
    sim.run(1_000);
    let refusal = sim.refusal(2).expect("a refusal");
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn lost_intent_messages_are_resent() {
    let mut sim = Simulation::new(4, 4);
    let (home, other) = home_and_other(&sim);
    let mut lost = 0;
    sim.is_lost = Box::new(move |_, _, msg| {
        let keyed = matches!(
            msg,
            PeerMsg::IntentRequest { .. }
                | PeerMsg::IntentSettle { .. }
                | PeerMsg::SettleAck { .. }
        );
        lost += u32::from(keyed);
        keyed && lost % 3 != 0
    });
    sim.send_keyed(other, 1, KEY, 9);
    sim.run_until("the request is dispatched", |sim| sim.dispatches(1) == 1);
    sim.complete(other, 1);
    sim.run(6_000);
    sim.send_keyed(home, 2, KEY, 9);
    sim.run(500);
    let refusal = sim.refusal(2).expect("a refusal");
    assert_eq!(refusal.reason, Reason::AlreadyRan);
}

#[test]
fn a_different_request_with_the_same_key_is_refused() {
    let mut sim = Simulation::new(4, 4);
    let (home, other) = home_and_other(&sim);
    sim.send_keyed(other, 1, KEY, 9);
    sim.run(500);
    sim.send_keyed(home, 2, KEY, 10);
    sim.run(500);
    let refusal = sim.refusal(2).expect("a refusal");
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::KeyInUse, Verdict::NotRun)
    );
}

#[test]
fn a_request_that_did_not_run_may_be_retried_with_its_key() {
    let mut sim = Simulation::new(4, 4);
    let (_, other) = home_and_other(&sim);
    sim.send_keyed(other, 1, KEY, 9);
    for _ in 0..3 {
        sim.run(300);
        let call = CallKey(1);
        let outcome = CallOutcome::NotRun(Reason::UpstreamRefused);
        sim.step(other, Event::CallEnded { call, outcome });
    }
    assert_eq!(sim.refusal(1).map(|r| r.verdict), Some(Verdict::NotRun));
    sim.run(500);
    sim.send_keyed(other, 2, KEY, 9);
    sim.run(500);
    assert_eq!(sim.dispatches(2), 1);
}

#[test]
fn keyed_requests_are_refused_only_while_the_log_is_unavailable() {
    let mut sim = Simulation::new(4, 4);
    let (_, other) = home_and_other(&sim);
    sim.log_unavailable = true;
    sim.run(5_000);
    sim.send_keyed(other, 1, KEY, 9);
    sim.run(500);
    let refusal = sim.refusal(1).expect("an immediate refusal");
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::LogUnavailable, Verdict::NotRun)
    );
    sim.log_unavailable = false;
    sim.run(3_000);
    sim.send_keyed(other, 2, KEY, 9);
    sim.run(500);
    assert_eq!(sim.dispatches(2), 1);
}

/// The append of an intent takes effect but is reported as failed, so the home appends it again.
#[test]
fn a_lost_reply_to_an_append_leads_to_one_run() {
    let mut sim = Simulation::new(4, 4);
    let (home, other) = home_and_other(&sim);
    sim.lose_replies = true;
    sim.send_keyed(other, 1, KEY, 9);
    sim.run(1_500);
    sim.lose_replies = false;
    sim.run(3_000);
    sim.send_keyed(home, 2, KEY, 9);
    sim.run(1_000);
    assert_eq!(sim.dispatches(1) + sim.dispatches(2), 1);
}

#[test]
fn keys_survive_a_graceful_shutdown_of_their_home_under_load() {
    let mut sim = Simulation::new(4, 4);
    let (home, other) = home_and_other(&sim);
    sim.send_keyed(other, 1, KEY, 9);
    sim.run_until("the request is dispatched", |sim| sim.dispatches(1) == 1);
    sim.step(home, Event::Stop);
    sim.complete(other, 1);
    let requester = third_member(home, other);
    for call in 2..100 {
        sim.send_keyed(requester, call, KEY, 9);
        sim.run(50);
    }
    assert!(!sim.members.contains_key(&home), "the home did not leave");
    let again: usize = (2..100).map(|call| sim.dispatches(call)).sum();
    let last = sim.refusal(99).map(|r| r.reason);
    assert_eq!((again, last), (0, Some(Reason::AlreadyRan)));
}
