//! Measurements of a run and their output.

use hdrhistogram::Histogram;

use crate::workload::END_US;
use crate::workload::SECOND_US;
use crate::workload::SLOTS_PER_WORKER;
use crate::workload::Site;
use crate::workload::TEAMS;
use crate::workload::WARM_UP_US;
use crate::workload::WORKERS;
use monsoonnotch_core::config::Lane;
use monsoonnotch_core::record;
use monsoonnotch_core::wire::PeerMsg;

/// Upper bound of the recorded waits, in microseconds.
const WAIT_MAX_US: u64 = 600_000_000;

/// One of this many messages is encoded to count its bytes.
const SAMPLE_EVERY: u64 = 7;

/// Waits and refusals of one kind of work.
#[derive(Debug)]
pub(crate) struct KindTally {
    /// Waits of the requests and tasks that started, in microseconds.
    pub(crate) waits: Histogram<u64>,
    /// Number of refused arrivals.
    pub(crate) refused: u64,
    /// Number of arrivals.
    pub(crate) arrived: u64,
}

/// Measurements of one run.
#[derive(Debug)]
pub(crate) struct Tally {
    /// Waits and refusals, by kind of work.
    pub(crate) kinds: Vec<KindTally>,
    /// Slot time that each team's requests used, in slot-microseconds.
    pub(crate) used: Vec<f64>,
    /// Slot time that each team's requests would use without waiting, in slot-microseconds.
    pub(crate) demanded: Vec<f64>,
    /// Slot time that all requests and tasks used, in slot-microseconds.
    pub(crate) busy: f64,
    /// Samples of the free slots of the whole fleet.
    pub(crate) free: Vec<u64>,
    /// Samples of the most free slots on one worker.
    pub(crate) largest: Vec<u64>,
    /// Number of messages between entries.
    pub(crate) messages: u64,
    /// Bytes of every `SAMPLE_EVERY`th message: of those caused by work, then of the periodic ones.
    pub(crate) bytes: [u64; 2],
    /// Bytes appended to the control stream.
    pub(crate) log_bytes: u64,
    /// Wall-clock time of the state machines, in microseconds, and the number of their events.
    pub(crate) control: (u64, u64),
}

impl Tally {
    /// Creates empty measurements.
    pub(crate) fn new(site: &Site) -> Self {
        let kind = |_| KindTally {
            waits: Histogram::new_with_bounds(1, WAIT_MAX_US, 3).expect("the bounds are valid"),
            refused: 0,
            arrived: 0,
        };
        Self {
            kinds: site.kinds.iter().map(kind).collect(),
            used: vec![0.0; TEAMS.len()],
            demanded: vec![0.0; TEAMS.len()],
            busy: 0.0,
            free: Vec::new(),
            largest: Vec::new(),
            messages: 0,
            bytes: [0; 2],
            log_bytes: 0,
            control: (0, 0),
        }
    }

    /// Counts a message between two entries.
    pub(crate) fn count_message(&mut self, msg: &PeerMsg) {
        use PeerMsg::Ping;
        use PeerMsg::Promise;
        use PeerMsg::Summary;
        self.messages += 1;
        if self.messages.is_multiple_of(SAMPLE_EVERY) {
            let always = matches!(msg, Ping { .. } | Promise { .. } | Summary(_));
            self.bytes[usize::from(always)] += record::encode(msg).len() as u64;
        }
    }

    /// Prints the bytes and messages that each entry sends per second.
    pub(crate) fn print_bytes(&self, site: &Site, load: f64, entries: usize) {
        let seconds = (END_US - WARM_UP_US) / SECOND_US;
        let each = |n: u64| n as f64 / (seconds * entries as u64) as f64;
        println!(
            "bytes: site={} load={load} entries={entries} idle_bytes_s={:.0} work_bytes_s={:.0} messages_s={:.1} control_stream_bytes_s={:.1}",
            site.name,
            each(self.bytes[1] * SAMPLE_EVERY),
            each(self.bytes[0] * SAMPLE_EVERY),
            each(self.messages),
            self.log_bytes as f64 / seconds as f64,
        );
    }

    /// Counts an arrival and, for a request, the slot time that it needs.
    pub(crate) fn record_arrival(&mut self, site: &Site, a: &crate::workload::Arrival) {
        if a.at < WARM_UP_US {
            return;
        }
        let k = &site.kinds[a.kind];
        self.kinds[a.kind].arrived += 1;
        if k.lane == Lane::Short {
            let span = (a.at + a.run_us).min(END_US) - a.at;
            self.demanded[a.team] += (span * k.size.slots) as f64;
        }
    }

    /// Records the wait of an arrival that starts at `now`.
    pub(crate) fn record_start(&mut self, a: &crate::workload::Arrival, now: u64) {
        if a.at >= WARM_UP_US {
            let wait = now.saturating_sub(a.at);
            self.kinds[a.kind].waits.saturating_record(wait);
        }
    }

    /// Counts a refused arrival.
    pub(crate) fn record_refusal(&mut self, a: &crate::workload::Arrival) {
        if a.at >= WARM_UP_US {
            self.kinds[a.kind].refused += 1;
        }
    }

    /// Adds the slot time of a request or task that ran from `from` to `to`.
    pub(crate) fn record_run(&mut self, site: &Site, kind: usize, team: usize, from: u64, to: u64) {
        let k = &site.kinds[kind];
        let span = to.min(END_US).saturating_sub(from.max(WARM_UP_US));
        let used = (span * k.size.slots) as f64;
        self.busy += used;
        if k.lane == Lane::Short {
            self.used[team] += used;
        }
    }

    /// Returns the fraction of the fleet's slot time that was used.
    pub(crate) fn packed(&self) -> f64 {
        self.busy / ((END_US - WARM_UP_US) as f64 * (WORKERS as u64 * SLOTS_PER_WORKER) as f64)
    }

    /// Returns the `q` quantile of the waits of a kind of work, in milliseconds.
    pub(crate) fn p(&self, kind: usize, q: f64) -> f64 {
        self.kinds[kind].waits.value_at_quantile(q) as f64 / 1_000.0
    }

    /// Returns each team's fair part of the used slot time: weighted max-min by the teams' shares.
    pub(crate) fn fair(&self) -> Vec<f64> {
        let mut fair = vec![0.0; TEAMS.len()];
        let mut open: Vec<usize> = (0..TEAMS.len()).collect();
        let mut left: f64 = self.used.iter().sum();
        loop {
            let weight: u32 = open.iter().map(|t| TEAMS[*t].share).sum();
            let per_share = left / f64::from(weight.max(1));
            let fair_part = |t: usize| per_share * f64::from(TEAMS[t].share);
            let satisfied: Vec<usize> = open
                .iter()
                .copied()
                .filter(|t| self.demanded[*t] <= fair_part(*t))
                .collect();
            if satisfied.is_empty() {
                open.iter().for_each(|t| fair[*t] = fair_part(*t));
                return fair;
            }
            for t in &satisfied {
                fair[*t] = self.demanded[*t];
                left -= self.demanded[*t];
            }
            open.retain(|t| !satisfied.contains(t));
        }
    }

    /// Returns the largest deviation of a backlogged team from its fair part, as a fraction of the
    /// part.
    pub(crate) fn share_dev(&self) -> f64 {
        let fair = self.fair();
        let backlogged = (0..TEAMS.len()).filter(|t| self.demanded[*t] > fair[*t] * 1.02);
        backlogged
            .map(|t| (self.used[t] - fair[t]).abs() / fair[t])
            .fold(0.0, f64::max)
    }

    /// Prints the measurements of one variant of the comparison.
    pub(crate) fn print(&self, site: &Site, variant: &str) {
        for (i, k) in site.kinds.iter().enumerate() {
            let t = &self.kinds[i];
            println!(
                "  {variant:<22} {:<9} p50={:<8.1} p99={:<8.1} p99.9={:<8.1} refused={}/{}",
                k.name,
                self.p(i, 0.5),
                self.p(i, 0.99),
                self.p(i, 0.999),
                t.refused,
                t.arrived
            );
        }
        let fair = self.fair();
        let devs: Vec<String> = (0..TEAMS.len())
            .map(|t| {
                let dev = (self.used[t] - fair[t]) / fair[t].max(1.0) * 100.0;
                format!("{}{}{dev:+.1}%", TEAMS[t].name, self.backlog_mark(&fair, t))
            })
            .collect();
        let per_event = self.control.0 as f64 / self.control.1.max(1) as f64;
        println!(
            "  {variant:<22} teams {} packed={:.3} free_median={} largest_median={} messages={} us_per_event={per_event:.2}",
            devs.join(" "),
            self.packed(),
            median(&self.free),
            median(&self.largest),
            self.messages,
        );
    }

    fn backlog_mark(&self, fair: &[f64], t: usize) -> &'static str {
        if self.demanded[t] > fair[t] * 1.02 {
            "*"
        } else {
            ""
        }
    }
}

fn median(all: &[u64]) -> u64 {
    let mut all = all.to_vec();
    all.sort_unstable();
    all.get(all.len() / 2).copied().unwrap_or(0)
}
