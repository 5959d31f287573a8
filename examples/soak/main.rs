//! Runs real members in front of stand-ins, injects faults from outside, and
//! checks the promises from what callers and VMs see.
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

use crate::faults::Series;
use crate::load::Handed;
use crate::load::Jobs;
use crate::load::Tally;

/// Callers beside each other.
const CALLERS: u64 = 6;
/// Time after the faults in which every accepted job must have ended: leases of
/// 4 s lapse, a member restarts, and what waited runs.
const REST: Duration = Duration::from_secs(45);

struct Args {
    seed: u64,
    seconds: u64,
    members: usize,
    vms: usize,
}

fn args() -> Option<Args> {
    let mut opts = Options::new();
    opts.optopt("", "seed", "the seed of faults and load", "N");
    opts.optopt("", "seconds", "length of the faults", "S");
    opts.optopt("", "members", "number of members", "M");
    opts.optopt("", "vms", "number of VMs", "V");
    let given: Vec<String> = std::env::args().skip(1).collect();
    let matches = opts
        .parse(&given)
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

/// The program, built into the folder above the examples.
fn program() -> Option<String> {
    let own = std::env::current_exe().ok()?;
    let path = own.parent()?.parent()?.join("monsoonnotch");
    path.exists().then(|| path.to_string_lossy().into_owned())
}

#[tokio::main]
async fn main() -> ExitCode {
    let Some(args) = args() else {
        return ExitCode::from(2);
    };
    let Some(program) = program() else {
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
        // The logs of a run that failed are kept.
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
    let (jobs, tally) = (Jobs::default(), Arc::new(Mutex::new(Tally::default())));
    let stop = Instant::now() + Duration::from_secs(args.seconds);
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let seed = args.seed * 1_000 + n;
            let (jobs, tally) = (Arc::clone(&jobs), Arc::clone(&tally));
            tokio::spawn(load::run(addrs.clone(), seed, jobs, tally, stop))
        })
        .collect();
    let mut series = Series::default();
    let mut next = Instant::now();
    while Instant::now() < stop {
        if Instant::now() >= next {
            series.begin(&mut rng, &site, &mut members);
            next += Duration::from_millis(rng.random_range(300..1_800));
        }
        series.undo(false, &site, &mut members, program);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    series.undo(true, &site, &mut members, program);
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    let mut violations = settle(&addrs, &jobs).await;
    check(&site, &jobs, &tally, &mut violations);
    if !violations.is_empty() {
        series.told.iter().for_each(|t| println!("fault: {t}"));
    }
    violations
}

/// Waits until every accepted job has ended; returns those that have not.
async fn settle(addrs: &[SocketAddr], jobs: &Jobs) -> Vec<String> {
    let accepted = |(id, h): (&u64, &Handed)| (*h == Handed::Accepted).then_some(*id);
    let mut open: Vec<u64> = {
        let jobs = jobs.lock().expect("no holder panics");
        jobs.iter().filter_map(accepted).collect()
    };
    let until = Instant::now() + REST;
    let mut states = Vec::new();
    while Instant::now() < until && !open.is_empty() {
        states.clear();
        for id in std::mem::take(&mut open) {
            let state = load::state(addrs, id).await;
            if state != "completed" {
                states.push(format!("accepted job {id:016x} is {state}"));
                open.push(id);
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    if open.is_empty() { Vec::new() } else { states }
}

/// What callers and VMs saw that must not be.
fn check(site: &Site, jobs: &Jobs, tally: &Mutex<Tally>, violations: &mut Vec<String>) {
    let seen = site.checker.lock().expect("no holder panics");
    let tally = tally.lock().expect("no holder panics");
    violations.extend(seen.violations.iter().cloned());
    violations.extend(tally.wrong.iter().cloned());
    let jobs = jobs.lock().expect("no holder panics");
    for (id, _) in jobs.iter().filter(|(_, h)| **h == Handed::Refused) {
        let prefix = format!("{id:016x}.");
        if seen.starts.keys().any(|t| t.starts_with(&prefix)) {
            violations.push(format!("job {id:016x} ran, though every try was refused"));
        }
    }
    let count = |handed| jobs.values().filter(|h| **h == handed).count();
    println!(
        "jobs={} accepted={} refused={} unknown={} asked={} starts={}",
        jobs.len(),
        count(Handed::Accepted),
        count(Handed::Refused),
        count(Handed::Unknown),
        tally.asked,
        seen.starts.values().sum::<u64>()
    );
}
