//! Moves long-lived tasks off VMs that are draining.

use super::*;

impl Scheduler {
    /// Stops long-lived tasks on draining VMs, so that they restart elsewhere before
    /// the VM terminates.
    pub(super) fn drain_vms(&mut self) {
        let mut moved = Vec::new();
        let draining = self.vms.iter().filter(|(_, v)| v.registration.draining);
        for (_, vm) in draining {
            for key in &vm.runs {
                let Some(run) = self.runs.get(key) else {
                    continue;
                };
                let Some(job) = self.jobs.get(run.stage.job) else {
                    continue;
                };
                let running = matches!(run.state, runs::State::Running { .. });
                if running && job.step(run.stage.step).long_lived {
                    moved.push(*key);
                }
            }
        }
        for key in moved {
            self.stop_run(key, "its VM is draining");
        }
    }
}
