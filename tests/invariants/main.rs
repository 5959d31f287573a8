//! Random exploration of membership, holdings and configuration.
//!
//! Several reducers run in virtual time over one log, lossy links and a few
//! workers, while faults of every kind come and go. A witness that sees all of
//! them at once checks what must always hold, and after the faults have ended,
//! that everything has a holder again.
//!
//! `MONSOONNOTCH_SEED=N MONSOONNOTCH_CASES=M cargo test --release --test invariants`
//! explores `M` cases from seed `N`; `-- --nocapture` shows how far it came.

mod cell;
mod directed;
mod effects;
mod faults;
mod log;
mod plan;
mod process;
mod witness;
mod workers;

use std::cell::RefCell;

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use self::cell::Cell;
use self::witness::Figures;

/// The seed when none is given.
const SEED: u64 = 4;
/// Cases when no number is given; few enough for a debug build.
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
    let sum = RefCell::new(Figures::default());
    let mut runner = TestRunner::new_with_rng(cfg, rng);
    let found = runner.run(&plan::any(), |plan| {
        let figures = Cell::new(&plan).run(&plan)?;
        sum.borrow_mut().add(&figures);
        Ok(())
    });
    println!("seed {seed}, {cases} cases: {}", sum.borrow());
    if let Err(e) = found {
        panic!("seed {seed}, {cases} cases: {e}");
    }
}

fn from_env<T: std::str::FromStr>(name: &str, default: T) -> T {
    let given = std::env::var(name).ok();
    given.and_then(|v| v.parse().ok()).unwrap_or(default)
}
