//! What a caller hands in: a job of steps, and the names of its tasks.

use compact_str::CompactString;
pub use monsoonnotch_core::ident::JobId;
use monsoonnotch_core::resource::Resources;
use serde::Deserialize;
use serde::Serialize;

/// Tasks of one step, at most; more makes a plan invalid.
pub const TASKS_MAX: u32 = 10_000;

/// Reads the sixteen hexadecimal digits by which a caller names a job.
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| text.parse().ok())?
}

/// One step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StageId {
    /// The job.
    pub job: JobId,
    /// The occurrence, from zero.
    pub occurrence: u32,
    /// The step, from zero.
    pub step: u16,
}

/// One task of a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// Its stage.
    pub stage: StageId,
    /// Its place in the step, from zero.
    pub index: u32,
}

/// What a caller asks to have run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Passed to each task as it is.
    pub spec: CompactString,
    /// The steps; later ones may depend on earlier ones.
    pub steps: Vec<Step>,
    /// How many times the steps run; zero or one: once.
    pub repeats: u32,
    /// When the first occurrence is due, in Unix milliseconds; zero: at once.
    pub first_ms: u64,
    /// Time between occurrences in milliseconds.
    pub every_ms: u64,
}

/// Tasks of one kind that may run side by side.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub need: Resources,
    /// Rough time that a task takes, in milliseconds.
    pub estimate_ms: u64,
    /// Steps that must have ended well before.
    pub after: Vec<u16>,
    /// Whether a task saves its progress as it goes.
    pub checkpoints: bool,
    /// Whether the tasks work only all together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub rack_local: bool,
    /// Label that a VM must have.
    pub label: Option<CompactString>,
    /// Rack where the data lies.
    pub data_rack: Option<CompactString>,
    /// Most tasks of the stage on one VM; zero: any number.
    pub per_vm_max: u32,
    /// Whether copies of a task may run in parallel.
    pub copies: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_lived: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: CompactString,
    /// Bound of the tail latency of a serving task in milliseconds; zero: it does not serve.
    pub target_ms: u64,
    /// Whether tasks run on processor time that others leave unused.
    #[serde(rename = "fills")]
    pub backfill: bool,
    /// Tasks that may be away at once by the scheduler's doing.
    #[serde(rename = "away_max")]
    pub unavailable_max: Option<u32>,
}

impl Step {
    /// What a task takes of a VM's room: work that fills takes no processor.
    pub fn allocation(&self) -> Resources {
        Resources {
            cpu_milli: if self.backfill {
                0
            } else {
                self.need.cpu_milli
            },
            ..self.need
        }
    }
}

impl Plan {
    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.repeats.max(1)
    }

    /// Whether every step can be scheduled: counts in range, no cycles.
    pub fn is_valid(&self) -> bool {
        let sound = |(i, s): (usize, &Step)| {
            let earlier = s.after.iter().all(|&d| usize::from(d) < i);
            (1..=TASKS_MAX).contains(&s.count) && earlier
        };
        !self.steps.is_empty() && self.steps.iter().enumerate().all(sound)
    }

    /// Length of the longest chain of steps that begins with one, in milliseconds.
    pub fn critical_path_from_ms(&self, first: u16) -> u64 {
        let first = usize::from(first);
        let mut ends: Vec<u64> = vec![0; self.steps.len()];
        for (i, s) in self.steps.iter().enumerate().skip(first) {
            let before = s.after.iter().filter_map(|&d| ends.get(usize::from(d)));
            let before = before.copied().max().unwrap_or(0);
            if i == first || before > 0 {
                ends[i] = before + s.estimate_ms;
            }
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Length of the longest chain of steps in milliseconds, by the estimates.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for s in &self.steps {
            let start = s.after.iter().filter_map(|&d| ends.get(usize::from(d)));
            let start = start.copied().max().unwrap_or(0);
            ends.push(start + s.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
