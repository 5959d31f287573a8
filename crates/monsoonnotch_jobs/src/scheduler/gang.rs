//! Gangs: stages whose tasks run only all at once.

use super::*;
use crate::vm::RunOutcome;

/// Shortest pause before a broken gang is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Range of the jitter added to [`RESTART_PAUSE`], in milliseconds, so that gangs that
/// competed for the same VMs do not do so again.
const RESTART_JITTER_MS: u64 = 300;

impl Scheduler {
    /// Stops the other runs of a gang after one of its tasks has ended.
    ///
    /// The next attempt starts once none of the runs is left.
    pub(super) fn stop_broken_gang(&mut self, key: StageKey, outcome: RunOutcome) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let jitter_ms = job.id.0 % RESTART_JITTER_MS;
        let Some(stage) = job.stages.get_mut(&(key.occurrence, key.step)) else {
            return;
        };
        stage.not_before = now + RESTART_PAUSE + Duration::from_millis(jitter_ms);
        // After a success, the VMs end the other runs of the gang by themselves.
        let runs: Vec<RunKey> = match outcome {
            RunOutcome::Done => Vec::new(),
            _ => stage.runs().collect(),
        };
        for run in runs {
            self.stop_run(run, "its gang broke");
        }
    }

    /// Whether no task of a gang has a run and its restart pause is over.
    pub(super) fn gang_can_start(&self, key: StageKey) -> bool {
        let Some(stage) = self.stage(key) else {
            return false;
        };
        stage.runs().next().is_none() && self.now >= stage.not_before
    }
}
