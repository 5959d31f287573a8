//! Random failures, several at a time, from a seed.
//!
//! The cell asserts that no task runs in two places and no attempt is started
//! twice; here keys must run once at most and jobs must end once all is well.

use monsoonnotch_core::config::hash64;
use monsoonnotch_core::job::Phase;
use monsoonnotch_core::prelude::*;

use crate::cell::Cell;

/// Failures in one run.
const FAILURES: u64 = 16;
/// Members of the cell.
const MEMBERS: u64 = 5;

/// A number below `n`.
fn draw(seed: u64, step: u64, n: u64) -> u64 {
    hash64(&format!("{seed}-{step}")) % n
}

fn nth(cell: &Cell, n: u64) -> MemberId {
    let n = usize::try_from(n).expect("a small number") % cell.members.len();
    *cell.members.keys().nth(n).expect("a member")
}

/// Whether every former process has been evicted.
///
/// When two of a member's three guards die before either is evicted, and their
/// guards with them, nobody is left to evict it; that is not explored here.
fn all_alive(cell: &Cell) -> bool {
    let mut ledgers = cell.members.values().map(Control::ledger);
    ledgers.all(|l| l.members.keys().all(|m| cell.members.contains_key(m)))
}

/// Causes one failure, or mends one.
fn fail(cell: &mut Cell, seed: u64, step: u64) {
    let which = draw(seed, step * 10 + 1, 1_000);
    let member = nth(cell, which);
    match draw(seed, step * 10, 7) {
        0 if all_alive(cell) => {
            cell.kill(member);
            cell.join(MemberId(100 + step));
        }
        1 => {
            cell.paused.insert(member);
        }
        2 => wake_all(cell),
        3 => cell.log_dark = !cell.log_dark,
        4 => cell.lose_replies = !cell.lose_replies,
        5 => {
            let n = usize::try_from(which).expect("a small number") % cell.workers.len();
            let worker = cell.workers.values_mut().nth(n).expect("a worker");
            worker.dark = !worker.dark;
        }
        _ => {
            let mut n = 0;
            cell.loses = Box::new(move |_, _, _| {
                n += 1;
                draw(seed, step * 1_000_000 + n, 4) == 0
            });
        }
    }
}

fn wake_all(cell: &mut Cell) {
    for m in cell.paused.clone() {
        cell.wake(m);
    }
}

fn mend(cell: &mut Cell) {
    wake_all(cell);
    cell.log_dark = false;
    cell.lose_replies = false;
    cell.loses = Box::new(|_, _, _| false);
    cell.workers.values_mut().for_each(|w| w.dark = false);
}

/// A number from the environment.
fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(default)
}

#[test]
fn nothing_runs_twice_and_all_ends() {
    let first = setting("MONSOONNOTCH_SEED", 1);
    for seed in first..first + setting("MONSOONNOTCH_CASES", 8) {
        println!("seed {seed}");
        run(seed);
    }
}

fn run(seed: u64) {
    let mut cell = Cell::new(MEMBERS, 6);
    let jobs = [
        cell.submit(MemberId(1), "batch", 60, "run:4000"),
        cell.submit(MemberId(2), "gang", 20, "run:6000"),
    ];
    let mut call = 0;
    for step in 0..FAILURES {
        fail(&mut cell, seed, step);
        for n in 0..10 {
            call += 1;
            let m = nth(&cell, draw(seed, step * 100 + n, 1_000));
            cell.deposit(m, call, &format!("key-{}", call % 7), call % 7);
            cell.run(200);
        }
    }
    mend(&mut cell);
    cell.run(20_000);
    let mut ran = [0; 7];
    for (_, c) in &cell.dispatched {
        ran[usize::try_from(c.0 % 7).expect("below seven")] += 1;
    }
    println!("runs by key: {ran:?}");
    assert!(ran.iter().all(|n| *n <= 1));
    for job in jobs {
        cell.until("a job is done", |c| {
            let m = nth(c, 0);
            c.status(m, job).is_some_and(|s| s.phase == Phase::Done)
        });
    }
}
