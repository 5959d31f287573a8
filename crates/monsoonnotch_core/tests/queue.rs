//! Tests of the fair queue: the order in which the work of teams starts, and its accounting.

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

/// Starts up to `n` waiting items at `cost` each and returns how many started, by team.
fn start_items(q: &mut Queue<u64>, now: Time, n: usize, cost: u64) -> Vec<(Name, usize)> {
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

fn started_of(counts: &[(Name, usize)], team: &str) -> usize {
    let found = counts.iter().find(|(t, _)| t == team);
    found.map_or(0, |(_, n)| *n)
}

#[rstest]
#[case(1, 1)]
#[case(3, 1)]
#[case(7, 2)]
fn backlogged_teams_are_served_in_proportion_to_their_shares(#[case] a: u32, #[case] b: u32) {
    let mut q = Queue::default();
    for key in 0..2_000 {
        push(&mut q, Time(0), "a", a, 2 * key);
        push(&mut q, Time(0), "b", b, 2 * key + 1);
    }
    let n = 900 * (a + b) as usize / (a.max(b)) as usize;
    let counts = start_items(&mut q, Time(1), n, COST);
    let expected = n as f64 * f64::from(a) / f64::from(a + b);
    assert!((started_of(&counts, "a") as f64 - expected).abs() <= 2.0);
}

#[test]
fn a_team_earns_no_credit_while_idle() {
    let mut q = Queue::default();
    for key in 0..1_000 {
        push(&mut q, Time(0), "a", 1, key);
    }
    start_items(&mut q, Time(1), 500, COST);
    for key in 1_000..2_000 {
        push(&mut q, Time(2), "late", 1, key);
    }
    let counts = start_items(&mut q, Time(3), 200, COST);
    assert!(started_of(&counts, "late").abs_diff(100) <= 1);
}

#[test]
fn use_without_contention_does_not_delay_a_team_later() {
    let mut q = Queue::default();
    for key in 0..500 {
        push(&mut q, Time(key), "a", 1, key);
        q.started(Time(key), key, COST);
    }
    for key in 1_000..1_200 {
        push(&mut q, Time(600), "a", 1, key);
        push(&mut q, Time(600), "b", 1, key + 1_000);
    }
    let counts = start_items(&mut q, Time(601), 100, COST);
    assert!(started_of(&counts, "a").abs_diff(50) <= 1);
}

#[test]
fn charges_of_a_peer_delay_a_team() {
    let mut q = Queue::default();
    for key in 0..400 {
        push(&mut q, Time(0), "a", 1, key);
        push(&mut q, Time(0), "b", 1, key + 1_000);
    }
    q.charged_by_peer(&Name::new("a"), 0, 50 * COST);
    let counts = start_items(&mut q, Time(1), 150, COST);
    assert!(started_of(&counts, "a").abs_diff(50) <= 1);
}

#[test]
fn an_overestimated_cost_is_corrected_after_the_run() {
    let mut q = Queue::default();
    for key in 0..100 {
        push(&mut q, Time(0), "a", 1, key);
        push(&mut q, Time(0), "b", 1, key + 1_000);
    }
    for key in 0..10 {
        q.started(Time(1), key, 10 * COST);
        q.settle(&Name::new("a"), 10 * COST, COST);
    }
    let counts = start_items(&mut q, Time(2), 10, COST);
    assert_eq!(started_of(&counts, "b"), 10);
    let counts = start_items(&mut q, Time(2), 20, COST);
    assert!(started_of(&counts, "a").abs_diff(10) <= 1);
}

#[test]
fn higher_priority_starts_first_and_has_a_shorter_expected_wait() {
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
    let low = q
        .expected_wait(now, team, Class::Quick, 3)
        .expect("a measured rate");
    let high = q
        .expected_wait(now, team, Class::Quick, 8)
        .expect("a measured rate");
    assert!(high < low);
    // 61 items must start, at about 20 per second. The decaying count still includes most of the
    // 40 starts of the last two seconds.
    assert!(
        low > Duration::from_secs(2) && low < Duration::from_secs(9),
        "{low:?}"
    );
    push_as(&mut q, now, "a", 1, 8, 999);
    assert_eq!(q.heads(Class::Quick).next().map(|(_, k)| k), Some(999));
}

#[test]
fn a_parked_team_is_skipped_and_rejoins_without_credit() {
    let mut q = Queue::default();
    for key in 0..300 {
        push(&mut q, Time(0), "a", 1, key);
        push(&mut q, Time(0), "b", 1, key + 1_000);
    }
    q.park(&Name::new("a"));
    assert_eq!(started_of(&start_items(&mut q, Time(1), 100, COST), "a"), 0);
    q.unpark_all();
    let counts = start_items(&mut q, Time(2), 100, COST);
    assert!(started_of(&counts, "a").abs_diff(50) <= 1);
}

#[test]
fn reports_the_largest_changes_first_and_each_once() {
    let mut q = Queue::default();
    for (key, team) in (0_u64..).zip(["a", "b", "c"]) {
        push(&mut q, Time(0), team, 1, key);
        q.started(Time(0), key, (key + 1) * COST);
    }
    let reported = q.totals_to_report(2);
    assert_eq!(
        reported,
        [(Name::new("c"), 3 * COST), (Name::new("b"), 2 * COST)]
    );
    assert_eq!(q.totals_to_report(2), [(Name::new("a"), COST)]);
    assert!(q.totals_to_report(2).is_empty());
}
