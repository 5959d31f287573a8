//! The baseline: one first-come queue for the whole fleet and a random worker.
//!
//! It has no entries and no messages, so it waits for nothing but room.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use monsoonnotch_core::config::Lane;
use monsoonnotch_core::prelude::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::mix::Arrival;
use crate::mix::END;
use crate::mix::Kind;
use crate::mix::SECOND;
use crate::mix::Site;
use crate::mix::WARM;
use crate::mix::WORKERS;
use crate::tally::Tally;

/// Pause between two samples of what is free.
const SAMPLE: u64 = SECOND / 10;

#[derive(Debug)]
struct Fifo<'a> {
    site: &'a Site,
    free: Vec<Resources>,
    queue: VecDeque<Arrival>,
    /// Ends by time: worker and size.
    ends: BTreeMap<(u64, u64), (usize, Resources)>,
    seq: u64,
    rng: StdRng,
    tally: Tally,
}

/// Runs the baseline over the arrivals.
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
    let mut sample = WARM;
    for a in arrivals {
        f.run_until(a.at);
        if a.at >= sample {
            sample += SAMPLE;
            f.sample();
        }
        f.tally.arrived(site, a);
        f.push(a);
        f.start(a.at);
    }
    f.run_until(END);
    f.tally
}

impl Fifo<'_> {
    fn push(&mut self, a: &Arrival) {
        let k = &self.site.kinds[a.kind];
        let pieces = match k.lane {
            Lane::Batch => k.count,
            _ => 1,
        };
        for _ in 0..pieces {
            self.queue.push_back(*a);
        }
    }

    fn run_until(&mut self, until: u64) {
        while let Some((&(at, _), _)) = self.ends.first_key_value() {
            if at > until {
                return;
            }
            let (_, (worker, size)) = self.ends.pop_first().expect("just seen");
            self.free[worker].add(&size);
            self.start(at);
        }
    }

    fn start(&mut self, now: u64) {
        while let Some(a) = self.queue.front().copied() {
            let k = &self.site.kinds[a.kind];
            if k.lane == Lane::Short && now - a.at > k.max_wait_ms * 1_000 {
                self.tally.refused(&a);
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
        self.tally.started(a, now);
        for w in got {
            self.seq += 1;
            self.ends.insert((now + a.run_us, self.seq), (w, k.size));
            self.tally
                .ran(self.site, a.kind, a.team, now, now + a.run_us);
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
