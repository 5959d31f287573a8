//! The plan of a job as submitted by a caller, and the ids of its stages and tasks.

use compact_str::CompactString;
pub use monsoonnotch_core::ident::JobId;
use monsoonnotch_core::resource::Resources;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;

/// Maximum number of tasks in one step; a plan with more is invalid.
pub const TASKS_MAX: u32 = 10_000;

/// Maximum number of steps of a plan that is submitted.
pub const STEPS_MAX: usize = 4_096;

/// Maximum number of tasks of a plan that is submitted, in all its steps together.
pub const PLAN_TASKS_MAX: u32 = 20_000;

/// Longest `spec` of a plan that is submitted, in bytes.
pub const SPEC_BYTES_MAX: usize = 4_000;

/// Parses a job id from its sixteen hexadecimal digits; `None` for any other text.
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| text.parse().ok())?
}

/// Identifies a stage: one step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StageId {
    /// The job that the stage belongs to.
    pub job: JobId,
    /// The occurrence, counted from zero.
    pub occurrence: u32,
    /// The index of the step in the plan, counted from zero.
    pub step: u16,
}

/// Identifies one task of a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The stage that the task belongs to.
    pub stage: StageId,
    /// The index of the task in its step, counted from zero.
    pub index: u32,
}

/// The work of a job: steps that depend on each other, and how often they run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Passed to each task unchanged.
    pub spec: CompactString,
    /// The steps; a step may depend only on steps before it.
    pub steps: Vec<Step>,
    /// Number of occurrences; zero and one both mean that the steps run once.
    pub repeats: u32,
    /// When the first occurrence is due, in Unix milliseconds; zero means at once. Unused if
    /// `repeats` is zero: the steps are then due when the job is accepted.
    pub first_ms: u64,
    /// Time between the due times of two occurrences, in milliseconds.
    pub every_ms: u64,
}

/// A step of a plan: identical tasks that may run in parallel. Fields with their default are left out of
/// records.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks, from 1 to [`TASKS_MAX`].
    pub count: u32,
    /// Resources that each task requests.
    #[serde(skip_serializing_if = "is_default", serialize_with = "serialize_need")]
    pub need: Resources,
    /// The caller's estimate of the run time of a task, in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Indexes of the steps that must complete before this one becomes ready.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// Whether the tasks write checkpoints from which a later attempt can resume.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang: all of them run at the same time, or none.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks run faster when all of them are on one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub rack_local: bool,
    /// Label that a VM must have to run the tasks; `None` if any VM may.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<CompactString>,
    /// Rack that stores the input data; VMs of that rack are preferred.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<CompactString>,
    /// Maximum number of tasks of the stage on one VM; zero means no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub per_vm_max: u32,
    /// Whether speculative copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_default")]
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_default")]
    pub long_lived: bool,
    /// Name of the program that the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "CompactString::is_empty")]
    pub image: CompactString,
    /// Upper bound of the tail latency of a serving task, in milliseconds; zero if the
    /// tasks do not serve requests.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// Whether the tasks are backfill: they run on CPU time that other tasks leave unused.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub backfill: bool,
    /// Maximum number of tasks that the scheduler may make unavailable at the same time;
    /// `None` if there is no limit.
    #[serde(rename = "away_max", skip_serializing_if = "Option::is_none")]
    pub unavailable_max: Option<u32>,
}

/// Whether a value is the default, which records leave out.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Writes the amounts that are not zero.
fn serialize_need<S: Serializer>(need: &Resources, serializer: S) -> Result<S::Ok, S::Error> {
    let amounts = [
        ("cpu_milli", need.cpu_milli),
        ("memory_mib", need.memory_mib),
        ("accelerators", need.accelerators),
        ("slots", need.slots),
        ("connections", need.connections),
    ];
    serializer.collect_map(amounts.into_iter().filter(|(_, amount)| *amount > 0))
}

impl Step {
    /// Returns the memory of the step, in bytes.
    fn memory(&self) -> usize {
        let texts = [
            self.label.as_ref(),
            self.data_rack.as_ref(),
            Some(&self.image),
        ];
        let texts: usize = texts.into_iter().flatten().map(|t| t.len()).sum();
        size_of::<Self>() + texts + size_of_val(&self.after[..])
    }

    /// Returns what a task allocates of a VM's capacity; backfill allocates no CPU.
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
    /// Returns the number of occurrences, which is at least one.
    pub fn occurrences(&self) -> u32 {
        self.repeats.max(1)
    }

    /// Returns whether the plan can be scheduled: it has a step, the task counts are in
    /// range, and steps depend only on earlier ones, which rules out cycles.
    pub fn is_valid(&self) -> bool {
        let is_valid_step = |(i, s): (usize, &Step)| {
            let earlier = s.after.iter().all(|&d| usize::from(d) < i);
            (1..=TASKS_MAX).contains(&s.count) && earlier
        };
        !self.steps.is_empty() && self.steps.iter().enumerate().all(is_valid_step)
    }

    /// Returns the number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|s| u64::from(s.count)).sum()
    }

    /// Returns whether the plan is valid and may be submitted: neither its steps, nor its tasks, nor its
    /// `spec` exceed their limits.
    pub fn is_admissible(&self) -> bool {
        self.steps.len() <= STEPS_MAX
            && self.spec.len() <= SPEC_BYTES_MAX
            && self.is_valid()
            && self.tasks() <= u64::from(PLAN_TASKS_MAX)
    }

    /// Returns the memory of the plan, in bytes.
    pub fn memory(&self) -> usize {
        let steps: usize = self.steps.iter().map(Step::memory).sum();
        size_of::<Self>() + self.spec.len() + steps
    }

    /// Returns the estimated length of the longest dependency chain that begins with step
    /// `first`, in milliseconds.
    pub fn critical_path_from_ms(&self, first: u16) -> u64 {
        let first = usize::from(first);
        let mut ends: Vec<u64> = vec![0; self.steps.len()];
        for (i, s) in self.steps.iter().enumerate().skip(first) {
            let before = s.after.iter().filter_map(|&d| ends.get(usize::from(d)));
            let before = before.copied().max().unwrap_or(0);
            if i == first || before > 0 {
                ends[i] = before.saturating_add(s.estimate_ms);
            }
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the completion objective in milliseconds: the critical path times a factor, and a
    /// constant part.
    pub fn objective_ms(&self, slack_factor: f64, target_ms: u64) -> u64 {
        let path_ms = (self.critical_path_ms() as f64 * slack_factor) as u64;
        path_ms.saturating_add(target_ms)
    }

    /// Returns the estimated length of the longest dependency chain, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for s in &self.steps {
            let start = s.after.iter().filter_map(|&d| ends.get(usize::from(d)));
            let start = start.copied().max().unwrap_or(0);
            ends.push(start.saturating_add(s.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
