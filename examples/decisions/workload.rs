//! The two simulated sites, their kinds of work, and arrivals drawn from a seed.

use monsoonnotch_core::config::Lane;
use monsoonnotch_core::prelude::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of workers of a site.
pub(crate) const WORKERS: usize = 50;
/// Slots of each worker.
pub(crate) const SLOTS_PER_WORKER: u64 = 8;
/// Workers in each rack.
pub(crate) const WORKERS_PER_RACK: usize = 8;
/// Number of failure domains of a site.
pub(crate) const DOMAINS: usize = 3;
/// Default number of entries of a site.
pub(crate) const ENTRIES: usize = 6;
/// Microseconds in a second.
pub(crate) const SECOND_US: u64 = 1_000_000;
/// Start of the measurement, in microseconds; earlier arrivals are not measured.
pub(crate) const WARM_UP_US: u64 = 10 * SECOND_US;
/// End of the run, in microseconds; no arrivals are drawn after it.
pub(crate) const END_US: u64 = 130 * SECOND_US;

/// A team, with its entitled share and its part of the arrivals.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Team {
    /// The team's name.
    pub(crate) name: &'static str,
    /// Weight of the team's share of a full fleet, relative to the other teams.
    pub(crate) share: u32,
    /// Part of all arrivals, in percent.
    pub(crate) demand: u64,
    /// The entry that all callers of the team use; random for each arrival if `None`.
    pub(crate) entry: Option<usize>,
}

/// Two large teams, one of which uses a single entry, and four small teams.
pub(crate) const TEAMS: [Team; 6] = [
    team("a", 3, 40, None),
    team("b", 3, 33, Some(0)),
    team("c", 1, 12, None),
    team("d", 1, 9, None),
    team("e", 1, 3, None),
    team("f", 1, 3, None),
];

const fn team(name: &'static str, share: u32, demand: u64, entry: Option<usize>) -> Team {
    Team {
        name,
        share,
        demand,
        entry,
    }
}

/// A kind of work.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    /// The profile's name.
    pub(crate) name: &'static str,
    /// The lane: `Short` for requests, any other for jobs.
    pub(crate) lane: Lane,
    /// Part of the fleet's slots that this kind needs at a load of one, in percent.
    pub(crate) percent: u64,
    /// Mean run time in milliseconds.
    pub(crate) mean_ms: u64,
    /// Resources of one request or task.
    pub(crate) size: Resources,
    /// Priority, 0 to 9; a higher one is more important.
    pub(crate) priority: u8,
    /// Maximum wait of a request for a slot, in milliseconds; jobs wait without a limit.
    pub(crate) max_wait_ms: u64,
    /// Number of tasks of a job.
    pub(crate) count: u32,
    /// Whether requests carry an idempotency key.
    pub(crate) keyed: bool,
}

/// A simulated site.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Site {
    /// The name under which results are printed.
    pub(crate) name: &'static str,
    /// Resources of each worker.
    pub(crate) worker: Resources,
    /// One-way latency between two processes, in microseconds.
    pub(crate) link_us: u64,
    /// The site's kinds of work; the last line of a run reports the wait of the first one.
    pub(crate) kinds: &'static [Kind],
}

const fn size(cpu: u64, gib: u64, slots: u64) -> Resources {
    Resources {
        cpu_milli: cpu * 1_000,
        memory_mib: gib * 1_024,
        accelerators: 0,
        slots,
        connections: 1,
    }
}

const fn request(name: &'static str, percent: u64, mean_ms: u64, size: Resources) -> Kind {
    Kind {
        name,
        lane: Lane::Short,
        percent,
        mean_ms,
        size,
        priority: 5,
        max_wait_ms: 3_000,
        count: 1,
        keyed: false,
    }
}

const fn job(name: &'static str, lane: Lane, percent: u64, mean_ms: u64, count: u32) -> Kind {
    Kind {
        lane,
        count,
        ..request(name, percent, mean_ms, size(2, 4, 1))
    }
}

/// A booking service: mostly short requests, some of them keyed, and batch jobs.
pub(crate) const DASOM: Site = Site {
    name: "dasom",
    worker: Resources {
        connections: 60,
        ..size(64, 128, SLOTS_PER_WORKER)
    },
    link_us: 1_000,
    kinds: &[
        request("hold", 50, 120, size(4, 8, 1)),
        Kind {
            priority: 9,
            keyed: true,
            ..request("deposit", 10, 250, size(4, 8, 1))
        },
        request("quote", 20, 3_000, size(8, 16, 1)),
        job("batch", Lane::Batch, 20, 8_000, 8),
    ],
};

/// A permit service: short checks, longer requests of up to two slots, and gangs.
pub(crate) const FERNWAERME: Site = Site {
    name: "fernwaerme",
    worker: Resources {
        connections: 60,
        ..size(16, 64, SLOTS_PER_WORKER)
    },
    link_us: 500,
    kinds: &[
        request("check", 30, 80, size(2, 8, 1)),
        Kind {
            max_wait_ms: 8_000,
            ..request("bundle", 40, 4_000, size(4, 16, 2))
        },
        Kind {
            max_wait_ms: 8_000,
            ..request("watch", 15, 20_000, size(1, 2, 1))
        },
        job("together", Lane::AllAtOnce, 15, 5_000, 6),
    ],
};

/// An arriving request or job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// Time of the arrival, in microseconds.
    pub(crate) at: u64,
    /// Index into the site's kinds of work.
    pub(crate) kind: usize,
    /// Index into [`TEAMS`].
    pub(crate) team: usize,
    /// Index of the entry at which it arrives.
    pub(crate) entry: usize,
    /// Run time of the request or of each task, in microseconds.
    pub(crate) run_us: u64,
}

/// Draws all arrivals of a run, ordered by time; the same seed gives the same arrivals.
pub(crate) fn arrivals(site: &Site, load: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    for kind in 0..site.kinds.len() {
        arrivals_of(site, kind, load, &mut rng, &mut all);
    }
    all.sort_by_key(|a| a.at);
    all
}

fn arrivals_of(site: &Site, kind: usize, load: f64, rng: &mut StdRng, all: &mut Vec<Arrival>) {
    let k = &site.kinds[kind];
    let slots = (WORKERS as u64 * SLOTS_PER_WORKER) as f64 * k.percent as f64 / 100.0 * load;
    let one = k.mean_ms as f64 * 1_000.0 * (k.size.slots * u64::from(k.count)) as f64;
    let pause = one / slots;
    let mut at = 0.0;
    loop {
        at += pause * exponential(rng);
        if at >= END_US as f64 {
            return;
        }
        let team = draw_team(rng);
        let any = rng.random_range(0..ENTRIES);
        all.push(Arrival {
            at: at as u64,
            kind,
            team,
            entry: TEAMS[team].entry.unwrap_or(any),
            run_us: (k.mean_ms as f64 * 1_000.0 * exponential(rng)) as u64 + 1_000,
        });
    }
}

fn draw_team(rng: &mut StdRng) -> usize {
    let mut left = rng.random_range(0..100);
    for (i, t) in TEAMS.iter().enumerate() {
        if left < t.demand {
            return i;
        }
        left -= t.demand;
    }
    TEAMS.len() - 1
}

fn exponential(rng: &mut StdRng) -> f64 {
    let u: f64 = rng.random();
    -(1.0 - u).ln()
}
