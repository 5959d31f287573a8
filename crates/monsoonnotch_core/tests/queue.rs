//! Turns between teams.

use monsoonnotch_core::prelude::*;
use monsoonnotch_core::queue::Class;
use monsoonnotch_core::queue::Queue;
use monsoonnotch_core::queue::Waiting;
use rstest::rstest;

const COST: u64 = 1_000_000;

fn push(q: &mut Queue<u64>, now: Time, team: &str, share: u32, key: u64) {
    push_as(q, now, team, share, 5, key);
}

fn push_as(q: &mut Queue<u64>, now: Time, team: &str, share: u32, priority: u8, key: u64) {
    let waiting = Waiting {
        share,
        class: Class::Quick,
        priority,
        arrived: now,
    };
    q.push(now, &Name::new(team), waiting, key);
}

/// Starts `n` pieces in turn and counts those of each team.
fn serve(q: &mut Queue<u64>, now: Time, n: usize, cost: u64) -> Vec<(Name, usize)> {
    let mut counts: Vec<(Name, usize)> = Vec::new();
    for _ in 0..n {
        let Some((team, key)) = q.heads(Class::Quick).next() else {
            break;
        };
        let team = team.clone();
        q.started(now, key, cost);
        match counts.iter_mut().find(|(t, _)| *t == team) {
            Some((_, n)) => *n += 1,
            None => counts.push((team, 1)),
        }
    }
    counts.sort();
    counts
}

fn count(counts: &[(Name, usize)], team: &str) -> usize {
    let found = counts.iter().find(|(t, _)| t == team);
    found.map_or(0, |(_, n)| *n)
}

#[rstest]
#[case(1, 1)]
#[case(3, 1)]
#[case(7, 2)]
fn backlogged_teams_are_served_by_their_shares(#[case] a: u32, #[case] b: u32) {
    let mut q = Queue::default();
    for key in 0..2_000 {
        push(&mut q, Time(0), "a", a, 2 * key);
        push(&mut q, Time(0), "b", b, 2 * key + 1);
    }
    let n = 900 * (a + b) as usize / (a.max(b)) as usize;
    let counts = serve(&mut q, Time(1), n, COST);
    let want = n as f64 * f64::from(a) / f64::from(a + b);
    assert!((count(&counts, "a") as f64 - want).abs() <= 2.0);
}

#[test]
fn a_team_that_idled_gets_its_share_and_no_more() {
    let mut q = Queue::default();
    for key in 0..1_000 {
        push(&mut q, Time(0), "a", 1, key);
    }
    serve(&mut q, Time(1), 500, COST);
    for key in 1_000..2_000 {
        push(&mut q, Time(2), "late", 1, key);
    }
    let counts = serve(&mut q, Time(3), 200, COST);
    assert!(count(&counts, "late").abs_diff(100) <= 1);
}

#[test]
fn use_of_a_fleet_that_was_not_full_does_not_count_later() {
    let mut q = Queue::default();
    for key in 0..500 {
        push(&mut q, Time(key), "a", 1, key);
        q.started(Time(key), key, COST);
    }
    for key in 1_000..1_200 {
        push(&mut q, Time(600), "a", 1, key);
        push(&mut q, Time(600), "b", 1, key + 1_000);
    }
    let counts = serve(&mut q, Time(601), 100, COST);
    assert!(count(&counts, "a").abs_diff(50) <= 1);
}

#[test]
fn what_a_peer_charged_delays_a_teams_turns() {
    let mut q = Queue::default();
    for key in 0..400 {
        push(&mut q, Time(0), "a", 1, key);
        push(&mut q, Time(0), "b", 1, key + 1_000);
    }
    q.charged_by_peer(&Name::new("a"), 0, 50 * COST);
    let counts = serve(&mut q, Time(1), 150, COST);
    assert!(count(&counts, "a").abs_diff(50) <= 1);
}

#[test]
fn a_run_shorter_than_charged_is_given_back() {
    let mut q = Queue::default();
    for key in 0..100 {
        push(&mut q, Time(0), "a", 1, key);
        push(&mut q, Time(0), "b", 1, key + 1_000);
    }
    for key in 0..10 {
        q.started(Time(1), key, 10 * COST);
        q.settle(&Name::new("a"), 10 * COST, COST);
    }
    let counts = serve(&mut q, Time(2), 10, COST);
    assert_eq!(count(&counts, "b"), 10);
    let counts = serve(&mut q, Time(2), 20, COST);
    assert!(count(&counts, "a").abs_diff(10) <= 1);
}

#[test]
fn higher_priority_goes_first_and_is_expected_to_wait_less() {
    let mut q = Queue::default();
    for key in 0..100 {
        push_as(&mut q, Time(0), "a", 1, 3, key);
    }
    for n in 0..40 {
        let now = Time(1_000_000 + n * 50_000);
        q.started(now, n, COST);
    }
    let now = Time(3_000_000);
    let team = "a";
    let low = q.expected_wait(now, team, Class::Quick, 3).expect("a rate");
    let high = q.expected_wait(now, team, Class::Quick, 8).expect("a rate");
    assert!(high < low);
    // 61 starts at some 20 a second, of which the count of two seconds remembers most.
    assert!(
        low > Duration::from_secs(2) && low < Duration::from_secs(9),
        "{low:?}"
    );
    push_as(&mut q, now, "a", 1, 8, 999);
    assert_eq!(q.heads(Class::Quick).next().map(|(_, k)| k), Some(999));
}

#[test]
fn a_parked_team_is_passed_over_and_joins_without_credit() {
    let mut q = Queue::default();
    for key in 0..300 {
        push(&mut q, Time(0), "a", 1, key);
        push(&mut q, Time(0), "b", 1, key + 1_000);
    }
    q.park(&Name::new("a"));
    assert_eq!(count(&serve(&mut q, Time(1), 100, COST), "a"), 0);
    q.unpark_all();
    let counts = serve(&mut q, Time(2), 100, COST);
    assert!(count(&counts, "a").abs_diff(50) <= 1);
}

#[test]
fn only_the_largest_changes_are_told_each_once() {
    let mut q = Queue::default();
    for (key, team) in (0_u64..).zip(["a", "b", "c"]) {
        push(&mut q, Time(0), team, 1, key);
        q.started(Time(0), key, (key + 1) * COST);
    }
    let told = q.totals_to_report(2);
    assert_eq!(
        told,
        [(Name::new("c"), 3 * COST), (Name::new("b"), 2 * COST)]
    );
    assert_eq!(q.totals_to_report(2), [(Name::new("a"), COST)]);
    assert!(q.totals_to_report(2).is_empty());
}
