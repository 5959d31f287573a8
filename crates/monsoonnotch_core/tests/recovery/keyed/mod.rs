//! Requests that run at most once, whatever is lost.

use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::prelude::*;
use monsoonnotch_core::wire::IdemKey;
use monsoonnotch_core::wire::PeerMsg;

use crate::cell::Cell;

const ALL: [MemberId; 4] = [MemberId(1), MemberId(2), MemberId(3), MemberId(4)];
const KEY: &str = "wedding-7";

/// The home of the key, and another member.
fn home_and_other(cell: &Cell) -> (MemberId, MemberId) {
    let key = IdemKey {
        team: Name::from("hall"),
        key: Name::from(KEY),
    };
    let control = cell.members.values().next().expect("a member");
    let home = control.ledger().home_of(key.hash()).expect("a home");
    let other = ALL.into_iter().find(|m| *m != home);
    (home, other.expect("another member"))
}

fn third(home: MemberId, other: MemberId) -> MemberId {
    let mut all = ALL.into_iter();
    let third = all.find(|m| *m != home && *m != other);
    third.expect("a third member")
}

fn until_heir(cell: &mut Cell, home: MemberId) {
    cell.until("an heir", |c| {
        let (now, _) = home_and_other(c);
        now != home
    });
}

#[test]
fn the_same_key_at_all_entries_at_once_runs_once() {
    let mut cell = Cell::new(4, 4);
    for (call, m) in (1..).zip(ALL) {
        cell.deposit(m, call, KEY, 9);
    }
    cell.run(3_000);
    let ran: usize = (1..=4).map(|call| cell.dispatches(call)).sum();
    assert_eq!(ran, 1);
    let refused = (1..=4).filter_map(|call| cell.refusal(call));
    assert!(refused.clone().count() == 3 && refused.clone().all(|r| r.reason == Reason::KeyInUse));
}

#[test]
fn a_key_that_ran_is_answered_so_also_by_the_heir() {
    let mut cell = Cell::new(4, 4);
    let (home, other) = home_and_other(&cell);
    cell.deposit(other, 1, KEY, 9);
    cell.until("dispatched", |c| c.dispatches(1) == 1);
    cell.complete(other, 1);
    cell.run(500);
    cell.kill(home);
    until_heir(&mut cell, home);
    cell.until("the heir knows", |c| {
        let call = 10 + c.refused.len() as u64;
        c.deposit(other, call, KEY, 9);
        c.run(1_000);
        assert_eq!(c.dispatches(call), 0);
        let refusal = c.refusal(call);
        refusal.is_some_and(|r| (r.reason, r.verdict) == (Reason::AlreadyRan, Verdict::Ran))
    });
}

#[test]
fn nobody_runs_a_key_again_while_its_home_is_dead_and_after() {
    let mut cell = Cell::new(4, 4);
    let (home, other) = home_and_other(&cell);
    cell.deposit(other, 1, KEY, 9);
    cell.until("dispatched", |c| c.dispatches(1) == 1);
    cell.complete(other, 1);
    cell.run(500);
    cell.kill(home);
    let left: Vec<MemberId> = cell.members.keys().copied().collect();
    for call in 2..200 {
        let turn = usize::try_from(call).expect("a small number") % left.len();
        cell.deposit(left[turn], call, KEY, 9);
        cell.run(50);
    }
    let again: usize = (2..200).map(|call| cell.dispatches(call)).sum();
    assert_eq!(again, 0);
}

#[test]
fn a_request_under_way_when_its_home_dies_is_settled_with_the_heir() {
    let mut cell = Cell::new(4, 4);
    let (home, other) = home_and_other(&cell);
    cell.deposit(other, 1, KEY, 9);
    cell.until("dispatched", |c| c.dispatches(1) == 1);
    cell.kill(home);
    until_heir(&mut cell, home);
    cell.complete(other, 1);
    cell.run(8_000);
    let asker = third(home, other);
    cell.deposit(asker, 2, KEY, 9);
    cell.run(1_000);
    let refusal = cell.refusal(2).expect("a refusal");
    assert_eq!(refusal.reason, Reason::AlreadyRan);
}

#[test]
fn an_answer_lost_with_its_home_ends_in_a_final_answer_and_one_run_at_most() {
    let mut cell = Cell::new(4, 4);
    let (home, other) = home_and_other(&cell);
    cell.loses =
        Box::new(move |from, _, msg| from == home && matches!(msg, PeerMsg::IntentAnswer { .. }));
    cell.deposit(other, 1, KEY, 9);
    cell.run(200);
    cell.kill(home);
    cell.run(2_500);
    let first = cell.dispatches(1);
    let answered = first == 1
        || cell
            .refusal(1)
            .is_some_and(|r| r.verdict == Verdict::NotRun);
    assert!(answered, "a final answer by the longest wait");
    cell.run(15_000);
    let asker = third(home, other);
    cell.deposit(asker, 2, KEY, 9);
    cell.run(1_000);
    assert_eq!(
        first + cell.dispatches(2),
        1,
        "what did not run may be sent again"
    );
}

#[test]
fn a_paused_home_does_not_allow_what_waited_for_its_journal() {
    let mut cell = Cell::new(4, 4);
    let (home, other) = home_and_other(&cell);
    cell.deposit(other, 1, KEY, 9);
    cell.until("recorded", |c| c.journals.contains_key(&home));
    cell.paused.insert(home);
    until_heir(&mut cell, home);
    cell.run(8_000);
    let asker = third(home, other);
    cell.deposit(asker, 2, KEY, 9);
    cell.run(500);
    cell.wake(home);
    cell.run(3_000);
    let ran = cell.dispatches(1) + cell.dispatches(2);
    assert!(ran <= 1, "{ran} runs");
}

#[test]
fn a_dead_askers_request_may_have_run() {
    let mut cell = Cell::new(4, 4);
    let (home, other) = home_and_other(&cell);
    cell.deposit(other, 1, KEY, 9);
    cell.until("dispatched", |c| c.dispatches(1) == 1);
    cell.kill(other);
    cell.run(10_000);
    let asker = third(home, other);
    cell.deposit(asker, 2, KEY, 9);
    cell.run(1_000);
    let refusal = cell.refusal(2).expect("a refusal");
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn lost_questions_and_outcomes_are_told_again() {
    let mut cell = Cell::new(4, 4);
    let (home, other) = home_and_other(&cell);
    let mut lost = 0;
    cell.loses = Box::new(move |_, _, msg| {
        let keyed = matches!(
            msg,
            PeerMsg::IntentRequest { .. }
                | PeerMsg::IntentSettle { .. }
                | PeerMsg::SettleAck { .. }
        );
        lost += u32::from(keyed);
        keyed && lost % 3 != 0
    });
    cell.deposit(other, 1, KEY, 9);
    cell.until("dispatched", |c| c.dispatches(1) == 1);
    cell.complete(other, 1);
    cell.run(6_000);
    cell.deposit(home, 2, KEY, 9);
    cell.run(500);
    let refusal = cell.refusal(2).expect("a refusal");
    assert_eq!(refusal.reason, Reason::AlreadyRan);
}

#[test]
fn a_different_request_with_the_same_key_is_refused() {
    let mut cell = Cell::new(4, 4);
    let (home, other) = home_and_other(&cell);
    cell.deposit(other, 1, KEY, 9);
    cell.run(500);
    cell.deposit(home, 2, KEY, 10);
    cell.run(500);
    let refusal = cell.refusal(2).expect("a refusal");
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::KeyInUse, Verdict::NotRun)
    );
}

#[test]
fn what_did_not_run_may_be_sent_again_with_its_key() {
    let mut cell = Cell::new(4, 4);
    let (_, other) = home_and_other(&cell);
    cell.deposit(other, 1, KEY, 9);
    for _ in 0..3 {
        cell.run(300);
        let call = CallKey(1);
        let outcome = CallOutcome::NotRun(Reason::UpstreamRefused);
        cell.step(other, Event::CallEnded { call, outcome });
    }
    assert_eq!(cell.refusal(1).map(|r| r.verdict), Some(Verdict::NotRun));
    cell.run(500);
    cell.deposit(other, 2, KEY, 9);
    cell.run(500);
    assert_eq!(cell.dispatches(2), 1);
}

#[test]
fn while_the_log_is_dark_nothing_keyed_runs_and_afterwards_it_does() {
    let mut cell = Cell::new(4, 4);
    let (_, other) = home_and_other(&cell);
    cell.log_dark = true;
    cell.run(5_000);
    cell.deposit(other, 1, KEY, 9);
    cell.run(500);
    let refusal = cell.refusal(1).expect("an answer at once");
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::LogUnavailable, Verdict::NotRun)
    );
    cell.log_dark = false;
    cell.run(3_000);
    cell.deposit(other, 2, KEY, 9);
    cell.run(500);
    assert_eq!(cell.dispatches(2), 1);
}

#[test]
fn an_append_whose_reply_is_lost_leads_to_one_run_at_most() {
    let mut cell = Cell::new(4, 4);
    let (home, other) = home_and_other(&cell);
    cell.lose_replies = true;
    cell.deposit(other, 1, KEY, 9);
    cell.run(1_500);
    cell.lose_replies = false;
    cell.run(3_000);
    cell.deposit(home, 2, KEY, 9);
    cell.run(1_000);
    assert_eq!(cell.dispatches(1) + cell.dispatches(2), 1);
}

#[test]
fn keys_survive_a_planned_stop_of_their_home_under_load() {
    let mut cell = Cell::new(4, 4);
    let (home, other) = home_and_other(&cell);
    cell.deposit(other, 1, KEY, 9);
    cell.until("dispatched", |c| c.dispatches(1) == 1);
    cell.step(home, Event::Stop);
    cell.complete(other, 1);
    let asker = third(home, other);
    for call in 2..100 {
        cell.deposit(asker, call, KEY, 9);
        cell.run(50);
    }
    assert!(!cell.members.contains_key(&home), "it has left");
    let again: usize = (2..100).map(|call| cell.dispatches(call)).sum();
    let last = cell.refusal(99).map(|r| r.reason);
    assert_eq!((again, last), (0, Some(Reason::AlreadyRan)));
}
