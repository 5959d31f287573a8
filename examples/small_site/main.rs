//! A small site in one process: stand-ins, three entries, callers and jobs.
//!
//! `cargo run --release --example small_site -- --seed 1 --seconds 20`
//!
//! Sixteen workers of eight slots serve six teams. Midway one entry is killed
//! and later a fresh one takes its place, and one team's key is withdrawn. The
//! last line counts what the callers and the workers saw:
//!
//! - `lost`: requests without any outcome, requests answered without having
//!   run, and accepted tasks that never ran to their end;
//! - `doubled`: requests that may not be repeated and ran twice, tasks in two
//!   places at once, and requests refused as not run that ran;
//! - `over_capacity`, `over_limit`: moments at which a worker had more than it
//!   holds, or a team more than its limit.
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

/// Time for what was accepted to come to its end, once no more is sent.
const SETTLE: Duration = Duration::from_secs(30);

/// What the command line says.
#[derive(Debug, Clone, Copy)]
struct Args {
    seed: u64,
    seconds: u64,
}

fn args() -> Result<Args, String> {
    let mut opts = getopts::Options::new();
    opts.optopt("", "seed", "seed of all random choices", "N");
    opts.optopt("", "seconds", "how long to send", "S");
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
    jobs.cancel_watches(&site);
    settle(&site, &mut jobs);
    tally.check_answers(&site.fleet);
    let lost_tasks = jobs.unfinished();
    site.stop();
    let sound = tally.report(args.seed, lost_tasks, &site.fleet);
    ExitCode::from(u8::from(!sound))
}

/// Sends for the time asked for, with a kill and a withdrawal midway.
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

/// Waits until all accepted jobs have ended.
fn settle(site: &Site, jobs: &mut jobs::Jobs) {
    let start = Instant::now();
    while start.elapsed() < SETTLE && !jobs.all_ended(site) {
        std::thread::sleep(Duration::from_millis(200));
    }
}
