//! What is measured of one run, and how it is printed.

use hdrhistogram::Histogram;

use crate::mix::END;
use crate::mix::SECOND;
use crate::mix::SLOTS;
use crate::mix::Site;
use crate::mix::TEAMS;
use crate::mix::WARM;
use crate::mix::WORKERS;
use monsoonnotch_core::config::Lane;
use monsoonnotch_core::record;
use monsoonnotch_core::wire::PeerMsg;

/// Longest wait told apart, in microseconds.
const LONGEST_WAIT: u64 = 600_000_000;

/// Of so many messages, one is encoded to count its bytes.
const SAMPLED: u64 = 7;

/// Waits and refusals of one kind of work.
#[derive(Debug)]
pub(crate) struct KindTally {
    /// Waits in microseconds of what started.
    pub(crate) waits: Histogram<u64>,
    /// How many were refused.
    pub(crate) refused: u64,
    /// How many arrived.
    pub(crate) arrived: u64,
}

/// One run.
#[derive(Debug)]
pub(crate) struct Tally {
    /// By kind.
    pub(crate) kinds: Vec<KindTally>,
    /// Slot time that each team's requests got, in microseconds.
    pub(crate) got: Vec<f64>,
    /// Slot time that each team's requests asked for.
    pub(crate) asked: Vec<f64>,
    /// Slot time of everything.
    pub(crate) busy: f64,
    /// Free slots of the whole fleet, sampled.
    pub(crate) free: Vec<u64>,
    /// Most free slots on one worker, sampled.
    pub(crate) largest: Vec<u64>,
    /// Messages between entries.
    pub(crate) messages: u64,
    /// Bytes of one in `SAMPLED` messages, by whether they go on without any work.
    pub(crate) bytes: [u64; 2],
    /// Bytes appended to the control stream.
    pub(crate) log_bytes: u64,
    /// Wall time of the reducers, in microseconds, and their events.
    pub(crate) control: (u64, u64),
}

impl Tally {
    /// An empty one.
    pub(crate) fn new(site: &Site) -> Self {
        let kind = |_| KindTally {
            waits: Histogram::new_with_bounds(1, LONGEST_WAIT, 3).expect("the bounds are sound"),
            refused: 0,
            arrived: 0,
        };
        Self {
            kinds: site.kinds.iter().map(kind).collect(),
            got: vec![0.0; TEAMS.len()],
            asked: vec![0.0; TEAMS.len()],
            busy: 0.0,
            free: Vec::new(),
            largest: Vec::new(),
            messages: 0,
            bytes: [0; 2],
            log_bytes: 0,
            control: (0, 0),
        }
    }

    /// A message goes from one entry to another.
    pub(crate) fn count_message(&mut self, msg: &PeerMsg) {
        use PeerMsg::Ping;
        use PeerMsg::Promise;
        use PeerMsg::Summary;
        self.messages += 1;
        if self.messages.is_multiple_of(SAMPLED) {
            let always = matches!(msg, Ping { .. } | Promise { .. } | Summary(_));
            self.bytes[usize::from(always)] += record::encode(msg).len() as u64;
        }
    }

    /// Prints what each entry sends in a second.
    pub(crate) fn print_bytes(&self, site: &Site, load: f64, entries: usize) {
        let seconds = (END - WARM) / SECOND;
        let each = |n: u64| n as f64 / (seconds * entries as u64) as f64;
        println!(
            "bytes: site={} load={load} entries={entries} idle_bytes_s={:.0} work_bytes_s={:.0} messages_s={:.1} control_stream_bytes_s={:.1}",
            site.name,
            each(self.bytes[1] * SAMPLED),
            each(self.bytes[0] * SAMPLED),
            each(self.messages),
            self.log_bytes as f64 / seconds as f64,
        );
    }

    /// Something arrived that wants `slots` for `run_us`.
    pub(crate) fn arrived(&mut self, site: &Site, a: &crate::mix::Arrival) {
        if a.at < WARM {
            return;
        }
        let k = &site.kinds[a.kind];
        self.kinds[a.kind].arrived += 1;
        if k.lane == Lane::Short {
            let span = (a.at + a.run_us).min(END) - a.at;
            self.asked[a.team] += (span * k.size.slots) as f64;
        }
    }

    /// Something that arrived at `at` started at `now`.
    pub(crate) fn started(&mut self, a: &crate::mix::Arrival, now: u64) {
        if a.at >= WARM {
            let wait = now.saturating_sub(a.at);
            self.kinds[a.kind].waits.saturating_record(wait);
        }
    }

    /// Something was refused.
    pub(crate) fn refused(&mut self, a: &crate::mix::Arrival) {
        if a.at >= WARM {
            self.kinds[a.kind].refused += 1;
        }
    }

    /// Something occupied slots from `from` to `to`.
    pub(crate) fn ran(&mut self, site: &Site, kind: usize, team: usize, from: u64, to: u64) {
        let k = &site.kinds[kind];
        let span = to.min(END).saturating_sub(from.max(WARM));
        let used = (span * k.size.slots) as f64;
        self.busy += used;
        if k.lane == Lane::Short {
            self.got[team] += used;
        }
    }

    /// Part of the fleet's slot time that was used.
    pub(crate) fn packed(&self) -> f64 {
        self.busy / ((END - WARM) as f64 * (WORKERS as u64 * SLOTS) as f64)
    }

    /// 99th percentile of a kind's wait, in milliseconds.
    pub(crate) fn p(&self, kind: usize, q: f64) -> f64 {
        self.kinds[kind].waits.value_at_quantile(q) as f64 / 1_000.0
    }

    /// Each team's share of what requests got by max-min over the shares.
    pub(crate) fn fair(&self) -> Vec<f64> {
        let mut fair = vec![0.0; TEAMS.len()];
        let mut open: Vec<usize> = (0..TEAMS.len()).collect();
        let mut left: f64 = self.got.iter().sum();
        loop {
            let weight: u32 = open.iter().map(|t| TEAMS[*t].share).sum();
            let level = left / f64::from(weight.max(1));
            let part = |t: usize| level * f64::from(TEAMS[t].share);
            let met: Vec<usize> = open
                .iter()
                .copied()
                .filter(|t| self.asked[*t] <= part(*t))
                .collect();
            if met.is_empty() {
                open.iter().for_each(|t| fair[*t] = part(*t));
                return fair;
            }
            for t in &met {
                fair[*t] = self.asked[*t];
                left -= self.asked[*t];
            }
            open.retain(|t| !met.contains(t));
        }
    }

    /// Largest distance of a backlogged team from its fair part, as a fraction of it.
    pub(crate) fn share_dev(&self) -> f64 {
        let fair = self.fair();
        let backlogged = (0..TEAMS.len()).filter(|t| self.asked[*t] > fair[*t] * 1.02);
        backlogged
            .map(|t| (self.got[t] - fair[t]).abs() / fair[t])
            .fold(0.0, f64::max)
    }

    /// Prints one arm.
    pub(crate) fn print(&self, site: &Site, arm: &str) {
        for (i, k) in site.kinds.iter().enumerate() {
            let t = &self.kinds[i];
            println!(
                "  {arm:<22} {:<9} p50={:<8.1} p99={:<8.1} p99.9={:<8.1} refused={}/{}",
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
                let dev = (self.got[t] - fair[t]) / fair[t].max(1.0) * 100.0;
                format!("{}{}{dev:+.1}%", TEAMS[t].name, self.backlog_mark(&fair, t))
            })
            .collect();
        let per_event = self.control.0 as f64 / self.control.1.max(1) as f64;
        println!(
            "  {arm:<22} teams {} packed={:.3} free_median={} largest_median={} messages={} us_per_event={per_event:.2}",
            devs.join(" "),
            self.packed(),
            median(&self.free),
            median(&self.largest),
            self.messages,
        );
    }

    fn backlog_mark(&self, fair: &[f64], t: usize) -> &'static str {
        if self.asked[t] > fair[t] * 1.02 {
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
