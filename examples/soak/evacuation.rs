//! Evacuations of failure domains beside the other faults: nothing may start there.

use std::time::Duration;

use monsoonnotch_adapter_standins::site::Site;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::load::lock;

/// Failure domains of the VMs.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time after a request in which tasks may still start in the domain, not counting the time in
/// which no leader can decide; fixed by the platform.
const STARTS_END_WITHIN: Duration = Duration::from_secs(5);
/// Time from the start of the soak, or the end of an evacuation, to the next, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 500..4_000;
/// Duration of an evacuation, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 1_000..14_000;

/// A domain that is evacuated.
#[derive(Debug, Clone, Copy)]
struct Evacuated {
    domain: &'static str,
    /// When it is taken back.
    until: Instant,
    /// Time in which leaders could decide until the request.
    requested: Duration,
    /// Number of starts there so far.
    starts: u64,
}

/// Requests evacuations one after the other. The last one stays until the end of the soak.
///
/// What it draws is apart from the other faults, so that a seed plays the same ones without it.
pub(crate) struct Evacuations<'a> {
    site: &'a Site,
    rng: StdRng,
    next: Instant,
    current: Option<Evacuated>,
    requests: u64,
    pub(crate) violations: Vec<String>,
}

impl<'a> Evacuations<'a> {
    pub(crate) fn new(site: &'a Site, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let next = Instant::now() + Duration::from_millis(rng.random_range(PAUSE_MS));
        Self {
            site,
            rng,
            next,
            current: None,
            requests: 0,
            violations: Vec::new(),
        }
    }

    /// Requests or withdraws an evacuation if it is due; `led` is the time in which leaders could
    /// decide so far.
    pub(crate) fn advance(&mut self, led: Duration) {
        let now = Instant::now();
        match self.current {
            Some(evacuated) if now >= evacuated.until => {
                println!("take back: {}", evacuated.domain);
                self.site.take_back(evacuated.domain);
                self.current = None;
                self.next = now + Duration::from_millis(self.rng.random_range(PAUSE_MS));
            }
            None if now >= self.next => self.request(led),
            _ => {}
        }
    }

    fn request(&mut self, led: Duration) {
        let domain = DOMAINS[self.rng.random_range(0..DOMAINS.len())];
        println!("evacuate: {domain}");
        self.site.evacuate(domain);
        self.requests += 1;
        self.current = Some(Evacuated {
            domain,
            until: Instant::now() + Duration::from_millis(self.rng.random_range(DURATION_MS)),
            requested: led,
            starts: self.starts(domain),
        });
    }

    fn starts(&self, domain: &str) -> u64 {
        let checker = lock(&self.site.checker);
        checker.domain_starts.get(domain).copied().unwrap_or(0)
    }

    /// Adds a violation if a task has started in the domain although leaders could decide for
    /// [`STARTS_END_WITHIN`] since the request.
    pub(crate) fn observe(&mut self, led: Duration) {
        let Some(mut evacuated) = self.current else {
            return;
        };
        let starts = self.starts(evacuated.domain);
        let more = starts - evacuated.starts;
        let waited = led - evacuated.requested;
        if more > 0 && waited > STARTS_END_WITHIN {
            let (domain, ms) = (evacuated.domain, waited.as_millis());
            self.violations.push(format!(
                "{more} tasks started in domain {domain}, {ms} ms after its evacuation"
            ));
        }
        evacuated.starts = starts;
        self.current = Some(evacuated);
    }

    /// Prints how many evacuations were requested.
    pub(crate) fn print_summary(&self) {
        println!("evacuations={}", self.requests);
    }
}
