//! Directed tests of the window that bounds the starts without an answer while answers are late.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;
use compact_str::format_compact;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::PollKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::scheduler::RunKey;
use monsoonnotch_jobs::scheduler::Scheduler;
use rstest::rstest;

use crate::directed::decide;
use crate::directed::deliver;
use crate::directed::numbered_job;
use crate::directed::scheduler_with;

const VMS: u64 = 40;
/// Number of starts without an answer that the scheduler always admits.
const WINDOW_MIN: usize = 8;
/// Time within which a VM answers a start if this member is not saturated.
const ANSWER_MS: u64 = 5;
/// The same if it is.
const LATE_ANSWER_MS: u64 = 300;
/// Time for which a job may have nothing running although there is room for it.
const WAIT_MAX_MS: u64 = 3_000;
/// Time within which a cluster serves as before after a disruption.
const RECOVERY_MAX_MS: u64 = 12_000;
/// Step of the time.
const STEP_MS: u64 = 5;

/// How VMs end.
#[derive(Debug, Clone, Copy)]
enum End {
    /// Nothing answers any more.
    Crashed,
    /// Other VMs answer at their addresses.
    Replaced,
}

/// A scheduler with VMs that hold polls open and answer starts.
struct Cluster {
    scheduler: Scheduler,
    now: u64,
    answer_ms: u64,
    ended: BTreeMap<CompactString, End>,
    polls: BTreeMap<CompactString, Vec<PollKey>>,
    /// Results that are due, by time and number.
    results: BTreeMap<(u64, u64), Event>,
    posted: u64,
    /// Jobs whose start was sent to a VM that answers.
    started: BTreeSet<JobId>,
    /// Starts without an answer, with their VMs.
    open: BTreeMap<RunKey, CompactString>,
    /// Largest number of them.
    open_max: usize,
    submitted: u64,
}

impl Cluster {
    fn new(answer_ms: u64) -> Self {
        let (scheduler, waiting) = scheduler_with(VMS);
        let ids = (0..VMS).map(|i| format_compact!("v{i:03}"));
        Self {
            scheduler,
            now: 100,
            answer_ms,
            ended: BTreeMap::new(),
            polls: ids.zip(waiting.into_iter().map(|key| vec![key])).collect(),
            results: BTreeMap::new(),
            posted: 0,
            started: BTreeSet::new(),
            open: BTreeMap::new(),
            open_max: 0,
            submitted: 0,
        }
    }

    /// Returns a cluster whose late answers have made the window as small as it gets.
    fn saturated() -> Self {
        let mut cluster = Self::new(LATE_ANSWER_MS);
        cluster.submit(200);
        assert_eq!(cluster.open_max, 200, "the window is open at first");
        cluster.run(LATE_ANSWER_MS + 10);
        assert!(cluster.open.is_empty(), "all starts are answered");
        cluster.open_max = 0;
        cluster
    }

    /// Submits jobs with one task each.
    fn submit(&mut self, count: u64) {
        let ids = self.submitted + 1..=self.submitted + count;
        self.submitted += count;
        let records = ids.map(|id| (id, numbered_job(JobId(id), 1))).collect();
        let fx = deliver(&mut self.scheduler, self.now, Event::Journal(records));
        self.execute(fx);
    }

    /// Ends the VMs of the starts without an answer.
    fn end_vms(&mut self, end: End) {
        self.results
            .retain(|_, event| !matches!(event, Event::Started { .. }));
        for (run, id) in std::mem::take(&mut self.open) {
            self.fail_start(run, end);
            self.ended.insert(id.clone(), end);
            for key in self.polls.remove(&id).unwrap_or_default() {
                self.fail_poll(key, end);
            }
        }
    }

    fn post(&mut self, after: u64, event: Event) {
        self.posted += 1;
        self.results.insert((self.now + after, self.posted), event);
    }

    fn fail_start(&mut self, run: RunKey, end: End) {
        let (after, answer) = match end {
            End::Crashed => (1_400, StartAnswer::Unknown),
            End::Replaced => (5, StartAnswer::OtherIncarnation),
        };
        self.post(after, Event::Started { run, answer });
    }

    fn fail_poll(&mut self, key: PollKey, end: End) {
        let (after, error) = match end {
            End::Crashed => (100, PollError::Unresponsive),
            End::Replaced => (5, PollError::OtherIncarnation),
        };
        let answer = Err(error);
        self.post(after, Event::Polled { key, answer });
    }

    fn execute(&mut self, fx: Vec<Effect>) {
        for effect in fx {
            match effect {
                Effect::Start { run, to, order } => match self.ended.get(&to.id).copied() {
                    Some(end) => self.fail_start(run, end),
                    None => {
                        self.started.insert(order.task.stage.job);
                        self.open.insert(run, to.id);
                        self.open_max = self.open_max.max(self.open.len());
                        let answer = StartAnswer::Running;
                        self.post(self.answer_ms, Event::Started { run, answer });
                    }
                },
                Effect::Poll { key, to, .. } => match self.ended.get(&to.id).copied() {
                    Some(end) => self.fail_poll(key, end),
                    None => self.polls.entry(to.id).or_default().push(key),
                },
                _ => {}
            }
        }
    }

    /// Advances the time by `ms`.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            while let Some(entry) = self.results.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                if let Event::Started { run, .. } = &event {
                    self.open.remove(run);
                }
                let fx = deliver(&mut self.scheduler, self.now, event);
                self.execute(fx);
            }
            let fx = decide(&mut self.scheduler, self.now);
            self.execute(fx);
        }
    }
}

/// Guards against a leader that starts nothing any more (review/6): VMs end that had starts without
/// an answer, as many as the window admits, so that no answer can ever widen it.
#[rstest]
#[case::crashed(End::Crashed)]
#[case::replaced(End::Replaced)]
fn starts_go_on_after_vms_that_never_answer_again(#[case] end: End) {
    let mut cluster = Cluster::saturated();
    cluster.submit(40);
    assert_eq!(cluster.open.len(), WINDOW_MIN, "the others wait");
    cluster.end_vms(end);
    cluster.answer_ms = ANSWER_MS;
    cluster.run(WAIT_MAX_MS);
    let waiting = (1..=240).filter(|id| !cluster.started.contains(&JobId(*id)));
    assert_eq!(waiting.count(), 0, "jobs that wait for a start");
}

/// Guards against a window that only answers widen: after a time without any start, as many starts as
/// before must be admitted at once.
#[test]
fn a_window_without_answers_is_wide_again_after_the_recovery_time() {
    let mut cluster = Cluster::saturated();
    cluster.answer_ms = ANSWER_MS;
    cluster.run(RECOVERY_MAX_MS);
    cluster.submit(100);
    assert_eq!(cluster.open.len(), 100);
}

/// Guards against a window that widens while answers are late: what it bounds adds to the load that
/// makes them late.
#[test]
fn a_window_does_not_widen_while_answers_are_late() {
    let mut cluster = Cluster::saturated();
    cluster.submit(200);
    cluster.run(5_000);
    assert!(cluster.started.len() > 300, "starts go on");
    assert_eq!(cluster.open_max, WINDOW_MIN);
}
