//! Runs real members against stand-ins of the platform, injects faults, and checks
//! the scheduler's guarantees from what callers and VMs observe.
//!
//! `cargo run --release --example soak -- --seed N --seconds S [--members M] [--vms V]`

mod faults;
mod load;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use getopts::Options;
use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::site::Site;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::faults::ActiveFaults;
use crate::load::SubmitOutcome;
use crate::load::SubmitOutcomes;
use crate::load::Tally;

/// Number of concurrent callers.
const CALLERS: u64 = 6;
/// Time after the faults within which every accepted job must complete. It covers the expiry
/// of 4 s leases, the restart of a member, and the runs of waiting tasks.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(45);

struct Args {
    seed: u64,
    seconds: u64,
    members: usize,
    vms: usize,
}

fn args() -> Option<Args> {
    let mut opts = Options::new();
    opts.optopt("", "seed", "seed of faults and load", "N");
    opts.optopt(
        "",
        "seconds",
        "duration of fault injection, in seconds",
        "S",
    );
    opts.optopt("", "members", "number of members", "M");
    opts.optopt("", "vms", "number of VMs", "V");
    let raw_args: Vec<String> = std::env::args().skip(1).collect();
    let matches = opts
        .parse(&raw_args)
        .map_err(|e| eprintln!("soak: {e}"))
        .ok()?;
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        Some(text) => text
            .parse()
            .map_err(|_| eprintln!("soak: --{name} takes a number"))
            .ok(),
        None => Some(default),
    };
    Some(Args {
        seed: number("seed", 1)?,
        seconds: number("seconds", 15)?,
        members: usize::try_from(number("members", 4)?).ok()?,
        vms: usize::try_from(number("vms", 8)?).ok()?,
    })
}

/// Returns the path of the scheduler's executable, which the build puts in the folder above the
/// examples; `None` when it has not been built.
fn program_path() -> Option<String> {
    let exe = std::env::current_exe().ok()?;
    let path = exe.parent()?.parent()?.join("monsoonnotch");
    path.exists().then(|| path.to_string_lossy().into_owned())
}

#[tokio::main]
async fn main() -> ExitCode {
    let Some(args) = args() else {
        return ExitCode::from(2);
    };
    let Some(program) = program_path() else {
        eprintln!("soak: build the program first: cargo build --release");
        return ExitCode::from(2);
    };
    let dir = std::env::temp_dir().join(format!("soak-{}-{}", args.seed, std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let violations = run(&args, &program, &dir).await;
    for v in &violations {
        println!("violation: {v}");
    }
    match violations.is_empty() {
        // The logs are kept when there are violations.
        true => drop(std::fs::remove_dir_all(&dir)),
        false => println!("logs: {}", dir.display()),
    }
    println!(
        "soak: seed={} seconds={} violations={}",
        args.seed,
        args.seconds,
        violations.len()
    );
    ExitCode::from(u8::from(!violations.is_empty()))
}

async fn run(args: &Args, program: &str, dir: &Path) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(args.seed);
    let site = Site::start(args.vms).await;
    let mut members = Vec::new();
    for number in 0..args.members {
        let mut member = Member::new(number, site.store.addr(), dir).await;
        member.start(program);
        members.push(member);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let addrs: Vec<SocketAddr> = members.iter().map(|m| m.callers).collect();
    let (outcomes, tally) = (
        SubmitOutcomes::default(),
        Arc::new(Mutex::new(Tally::default())),
    );
    let stop = Instant::now() + Duration::from_secs(args.seconds);
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let seed = args.seed * 1_000 + n;
            let (outcomes, tally) = (Arc::clone(&outcomes), Arc::clone(&tally));
            tokio::spawn(load::run(addrs.clone(), seed, outcomes, tally, stop))
        })
        .collect();
    let mut active_faults = ActiveFaults::default();
    let mut next = Instant::now();
    while Instant::now() < stop {
        if Instant::now() >= next {
            active_faults.inject(&mut rng, &site, &mut members);
            next += Duration::from_millis(rng.random_range(300..1_800));
        }
        active_faults.undo(false, &site, &mut members, program);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    active_faults.undo(true, &site, &mut members, program);
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    let mut violations = wait_for_completion(&addrs, &outcomes).await;
    check(&site, &outcomes, &tally, &mut violations);
    if !violations.is_empty() {
        active_faults
            .descriptions
            .iter()
            .for_each(|t| println!("fault: {t}"));
    }
    violations
}

/// Waits until every accepted job has completed. Returns a description of each job that has not
/// completed within [`COMPLETION_TIMEOUT`].
async fn wait_for_completion(addrs: &[SocketAddr], outcomes: &SubmitOutcomes) -> Vec<String> {
    let accepted = |(id, h): (&u64, &SubmitOutcome)| (*h == SubmitOutcome::Accepted).then_some(*id);
    let mut pending: Vec<u64> = {
        let outcomes = outcomes
            .lock()
            .expect("no thread panics while holding the lock");
        outcomes.iter().filter_map(accepted).collect()
    };
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    let mut states = Vec::new();
    while Instant::now() < deadline && !pending.is_empty() {
        states.clear();
        for id in std::mem::take(&mut pending) {
            let state = load::state(addrs, id).await;
            if state != "completed" {
                states.push(format!("accepted job {id:016x} has not completed: {state}"));
                pending.push(id);
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    if pending.is_empty() {
        Vec::new()
    } else {
        states
    }
}

/// Adds the violations that callers and VMs observed, and prints counts of jobs and task starts.
fn check(
    site: &Site,
    outcomes: &SubmitOutcomes,
    tally: &Mutex<Tally>,
    violations: &mut Vec<String>,
) {
    let checker = site
        .checker
        .lock()
        .expect("no thread panics while holding the lock");
    let tally = tally
        .lock()
        .expect("no thread panics while holding the lock");
    violations.extend(checker.violations.iter().cloned());
    violations.extend(tally.violations.iter().cloned());
    let outcomes = outcomes
        .lock()
        .expect("no thread panics while holding the lock");
    for (id, _) in outcomes
        .iter()
        .filter(|(_, h)| **h == SubmitOutcome::Refused)
    {
        let prefix = format!("{id:016x}.");
        if checker.starts.keys().any(|t| t.starts_with(&prefix)) {
            violations.push(format!(
                "job {id:016x} ran although every submission was refused"
            ));
        }
    }
    let count = |outcome| outcomes.values().filter(|h| **h == outcome).count();
    println!(
        "jobs={} accepted={} refused={} unknown={} asked={} starts={}",
        outcomes.len(),
        count(SubmitOutcome::Accepted),
        count(SubmitOutcome::Refused),
        count(SubmitOutcome::Unknown),
        tally.queries,
        checker.starts.values().sum::<u64>()
    );
}
