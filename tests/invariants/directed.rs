//! Single situations: stated bounds, and rules that random faults seldom reach.

use std::collections::BTreeSet;

use monsoonnotch_core::config::Change;
use monsoonnotch_core::config::Setting;
use monsoonnotch_core::config::Team;
use monsoonnotch_core::guard::Guarding;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::ledger::Ledger;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::record::Body;
use monsoonnotch_core::record::Holding;
use monsoonnotch_core::record::Record;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::time::Time;
use monsoonnotch_core::timing::Timing;

use crate::cell::Cell;
use crate::cell::MS;
use crate::cell::TEAMS;
use crate::plan::Fault;
use crate::plan::Plan;
use crate::plan::Step;
use crate::process::Life;

/// When a cell has certainly come to rest.
const RESTED: u64 = 20_000 * MS;
/// Time within which an accepted configuration is in force at every entry.
const IN_FORCE: u64 = 5_000 * MS;
/// Pause between two looks.
const LOOK: u64 = 50 * MS;

fn cell(seed: u64, fault: Option<Fault>) -> Cell {
    let step = |fault| Step {
        at_ms: 15_000,
        for_ms: 25_000,
        fault,
    };
    let plan = Plan {
        seed,
        members: 7,
        vms: 9,
        steps: fault.map(step).into_iter().collect(),
    };
    let mut cell = Cell::new(&plan);
    cell.plan(&plan);
    cell.run_until(RESTED).expect("nothing is broken");
    cell
}

/// Runs until something holds; says how long it took.
fn time_until(cell: &mut Cell, longest: u64, holds: impl Fn(&Cell) -> bool) -> Option<u64> {
    let start = cell.now;
    while cell.now - start <= longest {
        if holds(cell) {
            return Some(cell.now - start);
        }
        cell.run_until(cell.now + LOOK).expect("nothing is broken");
    }
    None
}

fn limit_is_in_force(cell: &Cell, limit: u32) -> bool {
    let up = cell.processes.iter().filter(|p| p.life == Life::Up);
    up.map(|p| &p.control.ledger().config.teams[TEAMS[0]])
        .all(|t| t.value.limit == limit)
}

fn longest_until_in_force(fault: Option<Fault>) -> u64 {
    let spans = (0..8).map(|seed| {
        let mut cell = cell(seed, fault);
        cell.set_limit(0, 0, 5);
        let span = time_until(&mut cell, IN_FORCE, |c| limit_is_in_force(c, 5));
        span.expect("the limit is in force everywhere in time")
    });
    spans.max().expect("several runs")
}

#[test]
fn a_change_is_in_force_everywhere_in_time() {
    let longest = longest_until_in_force(None);
    println!("in force everywhere after {} ms at most", longest / MS);
}

#[test]
fn a_change_reaches_entries_that_the_log_does_not() {
    let dark = Fault::LogUnavailable(0b0010_1000);
    let longest = longest_until_in_force(Some(dark));
    println!("in force everywhere after {} ms at most", longest / MS);
}

#[test]
fn a_change_reaches_entries_with_late_and_lossy_links() {
    let longest = longest_until_in_force(Some(Fault::BadLinks));
    println!("in force everywhere after {} ms at most", longest / MS);
}

#[test]
fn everything_goes_on_while_the_log_is_dark_for_all() {
    let mut cell = cell(1, Some(Fault::LogUnavailable(0xff)));
    cell.run_until(39_000 * MS).expect("nothing is broken");
    let certain = cell.processes.iter().all(|p| p.is_certain(cell.now));
    assert!(certain, "every member vouched for by its guards");
}

#[test]
fn workers_of_a_dead_member_are_taken_over_in_time() {
    let bound = Timing::default().takeover_max().0;
    let mut longest = 0;
    for seed in 0..8 {
        let mut cell = cell(seed, None);
        cell.kill(2);
        let dead = cell.processes[2].me;
        let span = time_until(&mut cell, bound, |c| {
            let left = c.log.ledger.vms.values().any(|m| *m == dead);
            !left && c.all_workers_are_usable()
        });
        longest = longest.max(span.expect("taken over in time"));
    }
    println!("taken over after {} ms, bound {}", longest / MS, bound / MS);
}

/// Members 1 to `n`; each has the three that follow it as guards.
fn ledger(n: u64) -> Ledger {
    let mut ledger = Ledger::default();
    for id in 1..=n {
        let domain = format!("fd-{}", id % 3).into();
        let addr = format!("{id}").into();
        write(&mut ledger, id, 1, Body::Join { domain, addr });
    }
    ledger
}

fn write(ledger: &mut Ledger, writer: u64, seq: u64, body: Body) {
    let batch = Batch {
        writer: MemberId(writer),
        records: vec![Record { seq, body }],
    };
    ledger.apply(ledger.next, &batch);
}

fn name_guards(ledger: &mut Ledger, writer: u64, seq: u64, guards: [u64; 3]) {
    let guards = guards.into_iter().map(MemberId).collect();
    write(ledger, writer, seq, Body::Guards { guards });
}

fn vote(ledger: &mut Ledger, writer: u64, seq: u64, target: u64, read: u64) {
    let target = MemberId(target);
    write(ledger, writer, seq, Body::Vote { target, read });
}

#[test]
fn a_new_guard_waits_before_it_votes() {
    let timing = Timing::default();
    let ledger = ledger(5);
    let ward = MemberId(1);
    let guard = *ledger.members[&ward].guards.first().expect("it has guards");
    let mut guarding = Guarding::new(guard, timing);
    guarding.update_guarded(Time(0), &ledger);
    let due = |guarding: &mut Guarding, at: Time| {
        guarding.read_to_tail(at);
        guarding.votes_due(at, &ledger).contains(&ward)
    };
    let longest = timing.read_validity.max(timing.promise_validity) + timing.promise_validity;
    assert!(!due(&mut guarding, Time(0) + longest + timing.clock_drift));
    assert!(due(
        &mut guarding,
        Time(0) + timing.new_guard_wait() + timing.clock_drift
    ));
}

#[test]
fn a_guard_record_in_doubt_needs_promises_under_both_sets() {
    let timing = Timing::default();
    let mut ledger = ledger(7);
    name_guards(&mut ledger, 1, 2, [2, 3, 4]);
    let mut guarding = Guarding::new(MemberId(1), timing);
    let sent = Time(0) + Duration::from_secs(10);
    guarding.promise_received(MemberId(2), sent);
    guarding.promise_received(MemberId(3), sent);
    assert!(guarding.certain(sent, &ledger));
    guarding.guards_written(3, vec![MemberId(2), MemberId(5), MemberId(6)]);
    assert!(!guarding.certain(sent, &ledger));
    guarding.promise_received(MemberId(5), sent);
    assert!(guarding.certain(sent, &ledger));
}

#[test]
fn a_vote_from_an_earlier_term_does_not_count() {
    let mut ledger = ledger(7);
    name_guards(&mut ledger, 1, 2, [2, 3, 4]);
    let early = ledger.next;
    name_guards(&mut ledger, 1, 3, [3, 4, 5]);
    name_guards(&mut ledger, 1, 4, [2, 3, 4]);
    vote(&mut ledger, 2, 2, 1, early);
    let late = ledger.next;
    vote(&mut ledger, 3, 2, 1, late);
    assert!(ledger.is_member(MemberId(1)), "one vote counts");
    vote(&mut ledger, 4, 2, 1, late);
    assert!(!ledger.is_member(MemberId(1)));
}

#[test]
fn guards_of_a_set_that_shrank_wait_and_vote_anew() {
    let timing = Timing::default();
    let mut ledger = ledger(4);
    let mut guarding = Guarding::new(MemberId(2), timing);
    guarding.update_guarded(Time(0), &ledger);
    let shrunk = Time(0) + timing.new_guard_wait().times(4);
    write(
        &mut ledger,
        4,
        2,
        Body::Leave {
            successor: None,
            read: 0,
        },
    );
    guarding.update_guarded(shrunk, &ledger);
    guarding.read_to_tail(shrunk);
    assert_eq!(guarding.votes_due(shrunk, &ledger), []);
    let later = shrunk + timing.new_guard_wait() + timing.clock_drift;
    guarding.read_to_tail(later);
    let due: BTreeSet<MemberId> = guarding.votes_due(later, &ledger).into_iter().collect();
    assert!(due.contains(&MemberId(1)));
}

#[test]
fn an_heir_that_leaves_passes_on_its_wait() {
    let mut ledger = ledger(7);
    name_guards(&mut ledger, 1, 2, [2, 3, 4]);
    let settled = ledger.next;
    vote(&mut ledger, 2, 2, 1, settled);
    vote(&mut ledger, 3, 2, 1, settled);
    let heir = Some(MemberId(5));
    let read = settled;
    write(
        &mut ledger,
        3,
        3,
        Body::Leave {
            successor: heir,
            read,
        },
    );
    let ending = ledger.endings[&MemberId(3)];
    assert_eq!(ending.successor, heir);
    assert!(!ending.at_once, "what it inherited may still be in use");
}

fn set_limit(ledger: &mut Ledger, seq: u64, limit: u32) {
    let name: Name = TEAMS[0].into();
    let replaces = ledger.config.teams.get(&name).map_or(0, |t| t.version);
    let team = Team {
        account: "account".into(),
        share: 1,
        limit,
    };
    let set = Setting::Team(name, team);
    write(ledger, 7, seq, Body::Config(Change::new(replaces, set)));
}

fn claim(ledger: &mut Ledger, writer: u64, seq: u64, amount: u32) {
    let team = TEAMS[0].into();
    let things = vec![Holding::Allotment { team, amount }];
    write(ledger, writer, seq, Body::Claim { holdings: things });
}

#[test]
fn what_a_lowered_limit_took_is_claimed_only_once_released() {
    let mut ledger = ledger(7);
    let part = |ledger: &Ledger, m: u64| ledger.allotments.part(TEAMS[0], MemberId(m));
    set_limit(&mut ledger, 2, 10);
    claim(&mut ledger, 1, 2, 10);
    set_limit(&mut ledger, 3, 2);
    set_limit(&mut ledger, 4, 6);
    claim(&mut ledger, 2, 2, 6);
    assert_eq!((part(&ledger, 1), part(&ledger, 2)), (0, 0));
    set_limit(&mut ledger, 5, 10);
    claim(&mut ledger, 2, 3, 10);
    assert_eq!((part(&ledger, 1), part(&ledger, 2)), (10, 0));
    set_limit(&mut ledger, 6, 2);
    let team = TEAMS[0].into();
    let things = vec![Holding::Allotment { team, amount: 8 }];
    write(&mut ledger, 1, 3, Body::Release { holdings: things });
    set_limit(&mut ledger, 7, 10);
    claim(&mut ledger, 2, 4, 10);
    assert_eq!((part(&ledger, 1), part(&ledger, 2)), (2, 8));
}

#[test]
fn nothing_more_starts_while_a_team_may_run_more_than_a_lowered_limit() {
    let mut ledger = ledger(7);
    let part = |ledger: &Ledger, m: u64| ledger.allotments.part(TEAMS[0], MemberId(m));
    set_limit(&mut ledger, 2, 10);
    claim(&mut ledger, 1, 2, 5);
    claim(&mut ledger, 2, 2, 5);
    // The first holder may go on running five; the second must not add to them.
    set_limit(&mut ledger, 3, 4);
    assert_eq!((part(&ledger, 1), part(&ledger, 2)), (0, 0));
    claim(&mut ledger, 2, 3, 4);
    assert_eq!(part(&ledger, 2), 0);
    let release = |ledger: &mut Ledger, writer, seq, amount| {
        let team = TEAMS[0].into();
        let things = vec![Holding::Allotment { team, amount }];
        write(ledger, writer, seq, Body::Release { holdings: things });
    };
    release(&mut ledger, 2, 4, 5);
    claim(&mut ledger, 2, 5, 4);
    assert_eq!(part(&ledger, 2), 0, "five still run");
    release(&mut ledger, 1, 3, 3);
    claim(&mut ledger, 2, 6, 4);
    assert_eq!(part(&ledger, 2), 2, "two still run");
}
