//! The two deployments, their kinds of work, and arrivals drawn from a seed.

use monsoonnotch_core::config::Lane;
use monsoonnotch_core::prelude::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Workers of a deployment.
pub(crate) const WORKERS: usize = 50;
/// Slots of a worker.
pub(crate) const SLOTS: u64 = 8;
/// Workers of a rack.
pub(crate) const RACK: usize = 8;
/// Failure domains of a deployment.
pub(crate) const DOMAINS: usize = 3;
/// Entries of a cell.
pub(crate) const ENTRIES: usize = 6;
/// Microseconds in a second.
pub(crate) const SECOND: u64 = 1_000_000;
/// Arrivals before this are not measured.
pub(crate) const WARM: u64 = 10 * SECOND;
/// Arrivals after this are not drawn.
pub(crate) const END: u64 = 130 * SECOND;

/// A team's share when the fleet is full, and its part of the arrivals in hundredths.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Team {
    /// The name.
    pub(crate) name: &'static str,
    /// Weight against the other teams.
    pub(crate) share: u32,
    /// Part of all arrivals, in hundredths.
    pub(crate) demand: u64,
    /// The entry that all its callers reach; any when `None`.
    pub(crate) entry: Option<usize>,
}

/// Two large teams, one of which reaches a single entry, and four small ones.
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
    /// How it runs.
    pub(crate) lane: Lane,
    /// Part of the fleet's slots that it asks for at a load of one, in hundredths.
    pub(crate) part: u64,
    /// Mean run time in milliseconds.
    pub(crate) mean_ms: u64,
    /// What one request or task takes.
    pub(crate) size: Resources,
    /// Importance.
    pub(crate) priority: u8,
    /// Longest wait for a slot; jobs wait without end.
    pub(crate) max_wait_ms: u64,
    /// Tasks of a job.
    pub(crate) count: u32,
    /// Whether it carries an idempotency key.
    pub(crate) keyed: bool,
}

/// A deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Site {
    /// The name.
    pub(crate) name: &'static str,
    /// What a worker has.
    pub(crate) worker: Resources,
    /// One way between two processes, in microseconds.
    pub(crate) link_us: u64,
    /// Its kinds of work; the first is the one that its target names.
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

const fn call(name: &'static str, part: u64, mean_ms: u64, size: Resources) -> Kind {
    Kind {
        name,
        lane: Lane::Short,
        part,
        mean_ms,
        size,
        priority: 5,
        max_wait_ms: 3_000,
        count: 1,
        keyed: false,
    }
}

const fn job(name: &'static str, lane: Lane, part: u64, mean_ms: u64, count: u32) -> Kind {
    Kind {
        lane,
        count,
        ..call(name, part, mean_ms, size(2, 4, 1))
    }
}

/// The wedding bands' booking service.
pub(crate) const DASOM: Site = Site {
    name: "dasom",
    worker: Resources {
        connections: 60,
        ..size(64, 128, SLOTS)
    },
    link_us: 1_000,
    kinds: &[
        call("hold", 50, 120, size(4, 8, 1)),
        Kind {
            priority: 9,
            keyed: true,
            ..call("deposit", 10, 250, size(4, 8, 1))
        },
        call("quote", 20, 3_000, size(8, 16, 1)),
        job("batch", Lane::Batch, 20, 8_000, 8),
    ],
};

/// The trench permits' service.
pub(crate) const FERNWAERME: Site = Site {
    name: "fernwaerme",
    worker: Resources {
        connections: 60,
        ..size(16, 64, SLOTS)
    },
    link_us: 500,
    kinds: &[
        call("check", 30, 80, size(2, 8, 1)),
        Kind {
            max_wait_ms: 8_000,
            ..call("bundle", 40, 4_000, size(4, 16, 2))
        },
        Kind {
            max_wait_ms: 8_000,
            ..call("watch", 15, 20_000, size(1, 2, 1))
        },
        job("together", Lane::AllAtOnce, 15, 5_000, 6),
    ],
};

/// Something that arrives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// When, in microseconds.
    pub(crate) at: u64,
    /// Which kind.
    pub(crate) kind: usize,
    /// Whose.
    pub(crate) team: usize,
    /// Where.
    pub(crate) entry: usize,
    /// How long each request or task runs, in microseconds.
    pub(crate) run_us: u64,
}

/// All arrivals of one run, in order; the same for every arm.
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
    let slots = (WORKERS as u64 * SLOTS) as f64 * k.part as f64 / 100.0 * load;
    let one = k.mean_ms as f64 * 1_000.0 * (k.size.slots * u64::from(k.count)) as f64;
    let pause = one / slots;
    let mut at = 0.0;
    loop {
        at += pause * exponential(rng);
        if at >= END as f64 {
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
