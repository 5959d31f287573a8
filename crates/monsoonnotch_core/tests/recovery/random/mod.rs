//! A test with random faults, several at a time, which a seed determines.
//!
//! The simulation asserts that no task runs on two workers at once and that no
//! attempt is started twice. The test asserts that each key runs at most once,
//! and that all jobs complete after the faults have ended.
//!
//! `MONSOONNOTCH_SEED` sets the first seed and `MONSOONNOTCH_CASES` the number
//! of seeds.

use monsoonnotch_core::config::hash64;
use monsoonnotch_core::job::Phase;
use monsoonnotch_core::prelude::*;

use crate::simulation::Simulation;

/// Number of steps in one run, each of which starts or ends a fault.
const FAULTS: u64 = 16;
/// Number of members.
const MEMBERS: u64 = 5;

/// Returns a number below `n` that depends only on `seed`, `step` and `n`.
fn draw(seed: u64, step: u64, n: u64) -> u64 {
    hash64(&format!("{seed}-{step}")) % n
}

/// Returns the member with index `n` modulo the number of members.
fn nth_member(sim: &Simulation, n: u64) -> MemberId {
    let n = usize::try_from(n).expect("a small number") % sim.members.len();
    *sim.members.keys().nth(n).expect("a member")
}

/// Returns whether every member of the ledgers still runs, so that no eviction is outstanding.
///
/// If two of a member's three guards die before either is evicted, and the guards of those two die
/// as well, no member is left that can evict it. This test does not explore that case.
fn all_run(sim: &Simulation) -> bool {
    let mut ledgers = sim.members.values().map(Control::ledger);
    ledgers.all(|l| l.members.keys().all(|m| sim.members.contains_key(m)))
}

/// Starts a random fault, or ends one that is in effect.
fn inject_fault(sim: &mut Simulation, seed: u64, step: u64) {
    let pick = draw(seed, step * 10 + 1, 1_000);
    let member = nth_member(sim, pick);
    match draw(seed, step * 10, 7) {
        0 if all_run(sim) => {
            sim.kill(member);
            sim.join(MemberId(100 + step));
        }
        1 => {
            sim.paused.insert(member);
        }
        2 => resume_all(sim),
        3 => sim.log_unavailable = !sim.log_unavailable,
        4 => sim.lose_replies = !sim.lose_replies,
        5 => {
            let n = usize::try_from(pick).expect("a small number") % sim.workers.len();
            let worker = sim.workers.values_mut().nth(n).expect("a worker");
            worker.unresponsive = !worker.unresponsive;
        }
        _ => {
            let mut n = 0;
            sim.is_lost = Box::new(move |_, _, _| {
                n += 1;
                draw(seed, step * 1_000_000 + n, 4) == 0
            });
        }
    }
}

fn resume_all(sim: &mut Simulation) {
    for m in sim.paused.clone() {
        sim.resume(m);
    }
}

fn end_faults(sim: &mut Simulation) {
    resume_all(sim);
    sim.log_unavailable = false;
    sim.lose_replies = false;
    sim.is_lost = Box::new(|_, _, _| false);
    sim.workers
        .values_mut()
        .for_each(|w| w.unresponsive = false);
}

/// Returns a number from an environment variable; `default` if it is unset or not a number.
fn from_env(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(default)
}

#[test]
fn nothing_runs_twice_and_all_ends() {
    let first = from_env("MONSOONNOTCH_SEED", 1);
    for seed in first..first + from_env("MONSOONNOTCH_CASES", 8) {
        println!("seed {seed}");
        run(seed);
    }
}

fn run(seed: u64) {
    let mut sim = Simulation::new(MEMBERS, 6);
    let jobs = [
        sim.submit(MemberId(1), "batch", 60, "run:4000"),
        sim.submit(MemberId(2), "gang", 20, "run:6000"),
    ];
    let mut call = 0;
    for step in 0..FAULTS {
        inject_fault(&mut sim, seed, step);
        for n in 0..10 {
            call += 1;
            let m = nth_member(&sim, draw(seed, step * 100 + n, 1_000));
            sim.send_keyed(m, call, &format!("key-{}", call % 7), call % 7);
            sim.run(200);
        }
    }
    end_faults(&mut sim);
    sim.run(20_000);
    let mut runs = [0; 7];
    for (_, call) in &sim.dispatched {
        runs[usize::try_from(call.0 % 7).expect("below seven")] += 1;
    }
    println!("runs by key: {runs:?}");
    assert!(runs.iter().all(|n| *n <= 1));
    for job in jobs {
        sim.run_until("the job is done", |sim| {
            let m = nth_member(sim, 0);
            sim.status(m, job).is_some_and(|s| s.phase == Phase::Done)
        });
    }
}
