//! Compares the scheduler's decisions with a first-come baseline on the same simulated arrivals.
//!
//! Above a load of one, variants of the scheduler with one mechanism disabled or replaced run on
//! the same arrivals as well, unless `--arms no` is given.
//!
//! `cargo run --release --example decisions -- --seed N [--load L] [--site S] [--arms yes|no] [--entries N]`

mod fifo;
mod simulation;
mod tally;
mod workload;

use monsoonnotch_core::reducer::PeerSelection;
use monsoonnotch_core::reducer::Policy;
use workload::DASOM;
use workload::FERNWAERME;
use workload::Site;

/// Offered loads, as multiples of the fleet's slots.
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];

fn main() {
    let args = Args::read();
    let mut lines = Vec::new();
    for load in LOADS {
        if args.load.is_some_and(|l| l != load) {
            continue;
        }
        for site in [&DASOM, &FERNWAERME] {
            if args.site.as_ref().is_none_or(|s| s == site.name) {
                lines.push(compare(site, load, &args));
            }
        }
    }
    for line in lines {
        println!("{line}");
    }
}

/// The parsed command line.
#[derive(Debug, Default)]
struct Args {
    seed: u64,
    load: Option<f64>,
    site: Option<String>,
    arms: bool,
    entries: usize,
}

impl Args {
    fn read() -> Self {
        let mut args = Self {
            seed: 1,
            arms: true,
            entries: workload::ENTRIES,
            ..Self::default()
        };
        let mut words = std::env::args().skip(1);
        while let Some(word) = words.next() {
            let value = words.next().expect("every option takes a value");
            match word.as_str() {
                "--seed" => args.seed = value.parse().expect("a seed is a number"),
                "--load" => args.load = Some(value.parse().expect("a load is a number")),
                "--entries" => args.entries = value.parse().expect("a number of entries"),
                "--arms" => args.arms = value == "yes",
                "--site" => args.site = Some(value),
                _ => panic!("unknown option {word}"),
            }
        }
        args
    }
}

/// Returns policies that each have one mechanism disabled or replaced, with their printed names.
fn ablations() -> [(&'static str, Policy); 6] {
    let all = Policy::default();
    [
        (
            "without headroom",
            Policy {
                headroom: false,
                ..all
            },
        ),
        ("without shedding", Policy { shed: false, ..all }),
        (
            "without learning",
            Policy {
                learn_run_times: false,
                ..all
            },
        ),
        (
            "without peers' queues",
            Policy {
                queue_peer_requests: false,
                ..all
            },
        ),
        (
            "least loaded",
            Policy {
                peer_selection: PeerSelection::LeastLoaded,
                ..all
            },
        ),
        (
            "price",
            Policy {
                peer_selection: PeerSelection::Price,
                ..all
            },
        ),
    ]
}

fn compare(site: &Site, load: f64, args: &Args) -> String {
    let seed = args.seed;
    let arrivals = workload::arrivals(site, load, seed);
    println!("{} load={load} arrivals={}", site.name, arrivals.len());
    let fifo = fifo::run(site, &arrivals, seed);
    fifo.print(site, "first-come");
    let scheduler = simulation::run(site, &arrivals, args.entries, Policy::default());
    scheduler.print(site, "ours");
    scheduler.print_bytes(site, load, args.entries);
    if load > 1.0 && args.arms {
        for (name, policy) in ablations() {
            simulation::run(site, &arrivals, args.entries, policy).print(site, name);
        }
    }
    format!(
        "decisions: seed={seed} load={load} site={} fifo_p99_ms={:.1} ours_p99_ms={:.1} fifo_share_dev={:.3} ours_share_dev={:.3} packed={:.3}",
        site.name,
        fifo.p(0, 0.99),
        scheduler.p(0, 0.99),
        fifo.share_dev(),
        scheduler.share_dev(),
        scheduler.packed(),
    )
}
