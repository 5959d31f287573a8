//! Randomised tests of membership, holdings and configuration.
//!
//! Several reducers run in virtual time with one log, lossy links and a few
//! workers, while faults of every kind start and end. A checker with access to
//! the state of all processes checks the invariants after every tick of a
//! process and whenever a request is written to a worker. After the faults have
//! ended, it checks that every holding has a holder again.
//!
//! `MONSOONNOTCH_SEED=N MONSOONNOTCH_CASES=M cargo test --release --test invariants`
//! runs `M` cases from seed `N`; `-- --nocapture` prints the totals of the run.

mod checker;
mod directed;
mod effects;
mod faults;
mod log;
mod plan;
mod process;
mod simulation;
mod workers;

use std::cell::RefCell;

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use self::checker::Stats;
use self::simulation::Simulation;

/// Seed if the environment sets none.
const SEED: u64 = 4;
/// Number of cases if the environment sets none; few enough for a debug build.
const CASES: u32 = 12;

#[test]
fn holds_under_random_faults() {
    let seed = from_env("MONSOONNOTCH_SEED", SEED);
    let cases = from_env("MONSOONNOTCH_CASES", CASES);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let cfg = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 150,
        ..Config::default()
    };
    let total = RefCell::new(Stats::default());
    let mut runner = TestRunner::new_with_rng(cfg, rng);
    let result = runner.run(&plan::any(), |plan| {
        let stats = Simulation::new(&plan).run(&plan)?;
        total.borrow_mut().add(&stats);
        Ok(())
    });
    println!("seed {seed}, {cases} cases: {}", total.borrow());
    if let Err(e) = result {
        panic!("seed {seed}, {cases} cases: {e}");
    }
}

/// Returns a value from an environment variable; `default` if it is unset or invalid.
fn from_env<T: std::str::FromStr>(name: &str, default: T) -> T {
    let text = std::env::var(name).ok();
    text.and_then(|v| v.parse().ok()).unwrap_or(default)
}
