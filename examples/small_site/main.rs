//! Runs a small cluster under load in one process: stand-ins of the platform, three entries,
//! callers and jobs.
//!
//! `cargo run --release --example small_site -- --seed 1 --seconds 20`
//!
//! Sixteen workers of eight slots serve six teams. Halfway through, one entry is
//! killed and one team's key is withdrawn; a new entry replaces the killed one
//! at three quarters of the time. The last line counts what the callers and the
//! workers observed:
//!
//! - `lost`: requests without any outcome, requests answered without having
//!   run, and accepted jobs that did not end as they should;
//! - `doubled`: non-repeatable requests that ran twice, tasks that ran on two
//!   workers at once, and requests refused as not run that ran;
//! - `over_capacity`, `over_limit`: times at which a worker ran more than its
//!   capacity, or a team used more than its limit.
//!
//! The exit code is 1 if any of these is not zero.

mod jobs;
mod load;
mod site;
mod tally;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use site::Site;
use tally::Tally;

/// Maximum time for the accepted jobs to end after the last one was submitted.
const JOBS_END_MAX: Duration = Duration::from_secs(30);

/// The parsed command line.
#[derive(Debug, Clone, Copy)]
struct Args {
    seed: u64,
    seconds: u64,
}

fn args() -> Result<Args, String> {
    let mut opts = getopts::Options::new();
    opts.optopt("", "seed", "seed of all random choices", "N");
    opts.optopt("", "seconds", "seconds for which requests are sent", "S");
    let words: Vec<String> = std::env::args().skip(1).collect();
    let found = opts.parse(words).map_err(|e| e.to_string())?;
    let number = |name: &str, default| match found.opt_str(name) {
        None => Ok(default),
        Some(t) => t
            .parse()
            .map_err(|_| format!("--{name} must be a whole number")),
    };
    Ok(Args {
        seed: number("seed", 1)?,
        seconds: number("seconds", 20)?.max(4),
    })
}

fn main() -> ExitCode {
    let args = match args() {
        Ok(a) => a,
        Err(e) => {
            eprintln!("small_site: {e}");
            return ExitCode::from(2);
        }
    };
    let mut site = Site::start();
    let tally = Arc::new(Tally::default());
    let mut jobs = jobs::Jobs::default();
    let load = load::start(&site, args.seed, &tally);
    run(&mut site, args, &tally, &mut jobs);
    site.rt.block_on(load.stop());
    jobs.cancel_services(&site);
    wait_jobs_ended(&site, &mut jobs);
    tally.check_outcomes(&site.checker);
    let unfinished_jobs = jobs.unfinished();
    site.stop();
    let passed = tally.report(args.seed, unfinished_jobs, &site.checker);
    ExitCode::from(u8::from(!passed))
}

/// Submits jobs while the callers send requests.
///
/// Kills an entry and withdraws a key halfway through, and replaces the entry at three quarters.
fn run(site: &mut Site, args: Args, tally: &Tally, jobs: &mut jobs::Jobs) {
    let start = Instant::now();
    for second in 0..args.seconds {
        jobs.submit(site, second);
        if second == args.seconds / 2 {
            site.kill_entry(1);
            site.withdraw_last_key();
        }
        if second == args.seconds * 3 / 4 {
            site.start_entry(1);
        }
        tally.progress(second, jobs.submitted());
        let next = start + Duration::from_secs(second + 1);
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Waits until all accepted jobs have ended, for at most [`JOBS_END_MAX`].
fn wait_jobs_ended(site: &Site, jobs: &mut jobs::Jobs) {
    let start = Instant::now();
    while start.elapsed() < JOBS_END_MAX && !jobs.all_ended(site) {
        std::thread::sleep(Duration::from_millis(200));
    }
}
