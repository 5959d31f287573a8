//! Stages whose tasks work only all together.

use super::*;
use crate::vm::RunOutcome;

/// Shortest pause before a gang that broke is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Spread of that pause, so that gangs that met do not meet again.
const RESTART_JITTER_MS: u64 = 300;

impl Scheduler {
    /// A member of a gang ended without success: the others are stopped.
    ///
    /// The next attempt begins once none of them is there any more.
    pub(super) fn stop_broken_gang(&mut self, key: StageKey, outcome: RunOutcome) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let spread = job.id.0 % RESTART_JITTER_MS;
        let Some(stage) = job.stages.get_mut(&(key.occurrence, key.step)) else {
            return;
        };
        stage.not_before = now + RESTART_PAUSE + Duration::from_millis(spread);
        // Those that a VM reports as broken end by themselves.
        let runs: Vec<RunKey> = match outcome {
            RunOutcome::Done => Vec::new(),
            _ => stage.runs().collect(),
        };
        for run in runs {
            self.stop_run(run, "its gang broke");
        }
    }

    /// Whether all tasks of a gang wait, so that it can be started.
    pub(super) fn gang_can_start(&self, key: StageKey) -> bool {
        let Some(stage) = self.stage(key) else {
            return false;
        };
        stage.runs().next().is_none() && self.now >= stage.not_before
    }
}
