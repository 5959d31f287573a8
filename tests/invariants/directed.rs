//! Tests of single scenarios: stated time bounds, and rules that random faults seldom exercise.

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

use crate::plan::Fault;
use crate::plan::Plan;
use crate::plan::TimedFault;
use crate::process::RunState;
use crate::simulation::MS;
use crate::simulation::Simulation;
use crate::simulation::TEAMS;

/// Virtual time by which all processes have joined and every holding has a holder.
const STARTUP_END: u64 = 20_000 * MS;
/// Maximum time until an accepted configuration is in force at every entry.
const IN_FORCE_MAX: u64 = 5_000 * MS;
/// Interval between checks of a condition.
const CHECK_INTERVAL: u64 = 50 * MS;

/// Returns a simulation of seven processes at `STARTUP_END`; the fault lasts from 15 s to 40 s.
fn started_simulation(seed: u64, fault: Option<Fault>) -> Simulation {
    let timed = |fault| TimedFault {
        at_ms: 15_000,
        for_ms: 25_000,
        fault,
    };
    let plan = Plan {
        seed,
        members: 7,
        vms: 9,
        faults: fault.map(timed).into_iter().collect(),
    };
    let mut sim = Simulation::new(&plan);
    sim.prepare(&plan);
    sim.run_until(STARTUP_END)
        .expect("no invariant is violated");
    sim
}

/// Runs until `holds` returns `true`; returns the time taken, or `None` if that exceeds `longest`.
fn time_until(
    sim: &mut Simulation,
    longest: u64,
    holds: impl Fn(&Simulation) -> bool,
) -> Option<u64> {
    let start = sim.now;
    while sim.now - start <= longest {
        if holds(sim) {
            return Some(sim.now - start);
        }
        sim.run_until(sim.now + CHECK_INTERVAL)
            .expect("no invariant is violated");
    }
    None
}

/// Returns whether the limit of the first team is in force at every running process.
fn limit_is_in_force(sim: &Simulation, limit: u32) -> bool {
    let up = sim.processes.iter().filter(|p| p.run_state == RunState::Up);
    up.map(|p| &p.control.ledger().config.teams[TEAMS[0]])
        .all(|t| t.value.limit == limit)
}

/// Returns the maximum time, over several seeds, until a new limit is in force at every process.
fn longest_until_in_force(fault: Option<Fault>) -> u64 {
    let spans = (0..8).map(|seed| {
        let mut sim = started_simulation(seed, fault);
        sim.set_limit(0, 0, 5);
        let span = time_until(&mut sim, IN_FORCE_MAX, |sim| limit_is_in_force(sim, 5));
        span.expect("the limit is in force everywhere in time")
    });
    spans.max().expect("several runs")
}

#[test]
fn a_configuration_change_reaches_every_entry_in_time() {
    let longest = longest_until_in_force(None);
    println!("in force everywhere after {} ms at most", longest / MS);
}

#[test]
fn a_configuration_change_reaches_entries_without_access_to_the_log() {
    let fault = Fault::LogUnavailable(0b0010_1000);
    let longest = longest_until_in_force(Some(fault));
    println!("in force everywhere after {} ms at most", longest / MS);
}

#[test]
fn a_configuration_change_reaches_entries_over_slow_and_lossy_links() {
    let longest = longest_until_in_force(Some(Fault::BadLinks));
    println!("in force everywhere after {} ms at most", longest / MS);
}

#[test]
fn members_stay_certain_while_the_log_is_unavailable_to_all() {
    let mut sim = started_simulation(1, Some(Fault::LogUnavailable(0xff)));
    sim.run_until(39_000 * MS)
        .expect("no invariant is violated");
    let certain = sim.processes.iter().all(|p| p.is_certain(sim.now));
    assert!(
        certain,
        "a member is not certain by the promises of its guards"
    );
}

#[test]
fn workers_of_a_dead_member_are_taken_over_in_time() {
    let bound = Timing::default().takeover_max().0;
    let mut longest = 0;
    for seed in 0..8 {
        let mut sim = started_simulation(seed, None);
        sim.kill(2);
        let dead = sim.processes[2].me;
        let span = time_until(&mut sim, bound, |sim| {
            let left = sim.log.ledger.vms.values().any(|m| *m == dead);
            !left && sim.all_workers_are_usable()
        });
        longest = longest.max(span.expect("taken over in time"));
    }
    println!("taken over after {} ms, bound {}", longest / MS, bound / MS);
}

/// Returns a ledger with the members 1 to `n`; each has three others as guards.
fn ledger(n: u64) -> Ledger {
    let mut ledger = Ledger::default();
    for id in 1..=n {
        let domain = format!("fd-{}", id % 3).into();
        let addr = format!("{id}").into();
        write(&mut ledger, id, 1, Body::Join { domain, addr });
    }
    ledger
}

/// Applies a record of `writer` to the ledger.
fn write(ledger: &mut Ledger, writer: u64, seq: u64, body: Body) {
    let batch = Batch {
        writer: MemberId(writer),
        records: vec![Record { seq, body }],
    };
    ledger.apply(ledger.next, &batch);
}

fn set_guards(ledger: &mut Ledger, writer: u64, seq: u64, guards: [u64; 3]) {
    let guards = guards.into_iter().map(MemberId).collect();
    write(ledger, writer, seq, Body::Guards { guards });
}

fn vote(ledger: &mut Ledger, writer: u64, seq: u64, target: u64, read: u64) {
    let target = MemberId(target);
    write(ledger, writer, seq, Body::Vote { target, read });
}

/// A replaced guard may make promises until it is no longer certain, and the guarded member may
/// rely on them until they expire. The new guard must not vote before that.
#[test]
fn a_new_guard_waits_before_it_votes() {
    let timing = Timing::default();
    let ledger = ledger(5);
    let guarded = MemberId(1);
    let guard = *ledger.members[&guarded]
        .guards
        .first()
        .expect("the member has guards");
    let mut guarding = Guarding::new(guard, timing);
    guarding.update_guarded(Time(0), &ledger);
    let due = |guarding: &mut Guarding, at: Time| {
        guarding.read_to_tail(at);
        guarding.votes_due(at, &ledger).contains(&guarded)
    };
    let longest = timing.read_validity.max(timing.promise_validity) + timing.promise_validity;
    assert!(!due(&mut guarding, Time(0) + longest + timing.clock_drift));
    assert!(due(
        &mut guarding,
        Time(0) + timing.new_guard_wait() + timing.clock_drift
    ));
}

/// While it is unknown whether a record with new guards is in the log, either set of guards may be
/// able to evict the member.
#[test]
fn an_unconfirmed_guard_record_requires_promises_of_both_sets() {
    let timing = Timing::default();
    let mut ledger = ledger(7);
    set_guards(&mut ledger, 1, 2, [2, 3, 4]);
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
fn a_vote_cast_before_the_guard_was_set_again_does_not_count() {
    let mut ledger = ledger(7);
    set_guards(&mut ledger, 1, 2, [2, 3, 4]);
    let early = ledger.next;
    set_guards(&mut ledger, 1, 3, [3, 4, 5]);
    set_guards(&mut ledger, 1, 4, [2, 3, 4]);
    vote(&mut ledger, 2, 2, 1, early);
    let late = ledger.next;
    vote(&mut ledger, 3, 2, 1, late);
    assert!(ledger.is_member(MemberId(1)), "only one vote counts");
    vote(&mut ledger, 4, 2, 1, late);
    assert!(!ledger.is_member(MemberId(1)));
}

/// When a set shrinks below the full number of guards, all of them count as new guards, because the
/// member may still rely on promises of the previous set.
#[test]
fn guards_of_a_reduced_set_wait_again_before_they_vote() {
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

/// A member that inherited holdings by an eviction leaves before its wait has ended, so its own
/// successor must wait as well.
#[test]
fn the_successor_of_a_waiting_successor_waits_as_well() {
    let mut ledger = ledger(7);
    set_guards(&mut ledger, 1, 2, [2, 3, 4]);
    let offset = ledger.next;
    vote(&mut ledger, 2, 2, 1, offset);
    vote(&mut ledger, 3, 2, 1, offset);
    let successor = Some(MemberId(5));
    let read = offset;
    write(&mut ledger, 3, 3, Body::Leave { successor, read });
    let ending = ledger.endings[&MemberId(3)];
    assert_eq!(ending.successor, successor);
    assert!(
        !ending.at_once,
        "the inherited holdings may still be in use"
    );
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
    let holdings = vec![Holding::Allotment { team, amount }];
    write(ledger, writer, seq, Body::Claim { holdings });
}

/// Parts above a lowered limit stay owed by their holders, which may still use them.
#[test]
fn parts_above_a_lowered_limit_can_be_claimed_only_after_release() {
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
    let holdings = vec![Holding::Allotment { team, amount: 8 }];
    write(&mut ledger, 1, 3, Body::Release { holdings });
    set_limit(&mut ledger, 7, 10);
    claim(&mut ledger, 2, 4, 10);
    assert_eq!((part(&ledger, 1), part(&ledger, 2)), (2, 8));
}

#[test]
fn nothing_starts_while_a_team_may_exceed_a_lowered_limit() {
    let mut ledger = ledger(7);
    let part = |ledger: &Ledger, m: u64| ledger.allotments.part(TEAMS[0], MemberId(m));
    set_limit(&mut ledger, 2, 10);
    claim(&mut ledger, 1, 2, 5);
    claim(&mut ledger, 2, 2, 5);
    // Five requests of the first holder may still run; the second must not start more.
    set_limit(&mut ledger, 3, 4);
    assert_eq!((part(&ledger, 1), part(&ledger, 2)), (0, 0));
    claim(&mut ledger, 2, 3, 4);
    assert_eq!(part(&ledger, 2), 0);
    let release = |ledger: &mut Ledger, writer, seq, amount| {
        let team = TEAMS[0].into();
        let holdings = vec![Holding::Allotment { team, amount }];
        write(ledger, writer, seq, Body::Release { holdings });
    };
    release(&mut ledger, 2, 4, 5);
    claim(&mut ledger, 2, 5, 4);
    assert_eq!(part(&ledger, 2), 0, "five may still run");
    release(&mut ledger, 1, 3, 3);
    claim(&mut ledger, 2, 6, 4);
    assert_eq!(part(&ledger, 2), 2, "two may still run");
}
