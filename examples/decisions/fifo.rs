//! The baseline: one first-come queue for the whole fleet and a random worker with free capacity.
//!
//! It has no entries and exchanges no messages, so requests wait for free capacity only.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use monsoonnotch_core::config::Lane;
use monsoonnotch_core::prelude::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::tally::Tally;
use crate::workload::Arrival;
use crate::workload::END_US;
use crate::workload::Kind;
use crate::workload::SECOND_US;
use crate::workload::Site;
use crate::workload::WARM_UP_US;
use crate::workload::WORKERS;

/// Interval between two samples of the free slots, in microseconds.
const SAMPLE_US: u64 = SECOND_US / 10;

/// The state of the baseline.
#[derive(Debug)]
struct Fifo<'a> {
    site: &'a Site,
    free: Vec<Resources>,
    queue: VecDeque<Arrival>,
    /// Worker and size of each running request or task, by its end and a sequence number.
    ends: BTreeMap<(u64, u64), (usize, Resources)>,
    seq: u64,
    rng: StdRng,
    tally: Tally,
}

/// Runs the baseline on the arrivals; `seed` drives the choice of workers.
pub(crate) fn run(site: &Site, arrivals: &[Arrival], seed: u64) -> Tally {
    let mut f = Fifo {
        site,
        free: vec![site.worker; WORKERS],
        queue: VecDeque::new(),
        ends: BTreeMap::new(),
        seq: 0,
        rng: StdRng::seed_from_u64(seed),
        tally: Tally::new(site),
    };
    let mut sample = WARM_UP_US;
    for a in arrivals {
        f.run_until(a.at);
        if a.at >= sample {
            sample += SAMPLE_US;
            f.sample();
        }
        f.tally.record_arrival(site, a);
        f.push(a);
        f.start(a.at);
    }
    f.run_until(END_US);
    f.tally
}

impl Fifo<'_> {
    fn push(&mut self, a: &Arrival) {
        let k = &self.site.kinds[a.kind];
        let copies = match k.lane {
            Lane::Batch => k.count,
            _ => 1,
        };
        for _ in 0..copies {
            self.queue.push_back(*a);
        }
    }

    fn run_until(&mut self, until: u64) {
        while let Some((&(at, _), _)) = self.ends.first_key_value() {
            if at > until {
                return;
            }
            let (_, (worker, size)) = self.ends.pop_first().expect("the map is not empty");
            self.free[worker].add(&size);
            self.start(at);
        }
    }

    fn start(&mut self, now: u64) {
        while let Some(a) = self.queue.front().copied() {
            let k = &self.site.kinds[a.kind];
            if k.lane == Lane::Short && now - a.at > k.max_wait_ms * 1_000 {
                self.tally.record_refusal(&a);
                self.queue.pop_front();
                continue;
            }
            if !self.place(&a, k, now) {
                return;
            }
            self.queue.pop_front();
        }
    }

    fn place(&mut self, a: &Arrival, k: &Kind, now: u64) -> bool {
        let count = match k.lane {
            Lane::AllAtOnce => k.count,
            _ => 1,
        };
        let mut got = Vec::new();
        for _ in 0..count {
            let Some(w) = self.random_worker(&k.size) else {
                got.iter().for_each(|w: &usize| self.free[*w].add(&k.size));
                return false;
            };
            self.free[w].subtract(&k.size);
            got.push(w);
        }
        self.tally.record_start(a, now);
        for w in got {
            self.seq += 1;
            self.ends.insert((now + a.run_us, self.seq), (w, k.size));
            self.tally
                .record_run(self.site, a.kind, a.team, now, now + a.run_us);
        }
        true
    }

    fn random_worker(&mut self, size: &Resources) -> Option<usize> {
        let fits: Vec<usize> = (0..WORKERS).filter(|w| self.free[*w].fits(size)).collect();
        match fits.len() {
            0 => None,
            n => Some(fits[self.rng.random_range(0..n)]),
        }
    }

    fn sample(&mut self) {
        let free = self.free.iter().map(|r| r.slots);
        self.tally.free.push(free.clone().sum());
        self.tally.largest.push(free.max().unwrap_or(0));
    }
}
