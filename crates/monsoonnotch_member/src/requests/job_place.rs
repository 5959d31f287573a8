//! The place of a job in the leader's memory while its submission is being stored.

use std::sync::Arc;

use super::submit::Storable;
use crate::cx::Cx;
use crate::cx::lock;

/// The place of a job. Dropping it gives it back, unless the job is stored.
#[derive(Debug)]
pub(crate) struct JobPlace {
    cx: Arc<Cx>,
    memory: u64,
}

impl JobPlace {
    /// Takes the place of the job in a submission; `None` if the leader has no room for it. A submission
    /// that may be stored already needs none, and neither do other records. Other members than the leader
    /// do not know, and take nothing.
    pub(crate) fn take(cx: &Arc<Cx>, storable: &Storable) -> Option<Self> {
        let memory = match cx.own_token() {
            Some(_) if !storable.repeated => storable.job_memory,
            _ => 0,
        };
        let known = cx.control.known();
        let has_room = memory == 0 || lock(&cx.job_room).take(memory, known);
        has_room.then(|| Self {
            cx: Arc::clone(cx),
            memory,
        })
    }

    /// Keeps the place until the scheduler knows the record at `offset`.
    pub(crate) fn keep(mut self, offset: u64) {
        let memory = std::mem::take(&mut self.memory);
        if memory > 0 {
            lock(&self.cx.job_room).keep(memory, offset);
        }
    }
}

impl Drop for JobPlace {
    fn drop(&mut self) {
        lock(&self.cx.job_room).give_back(self.memory);
    }
}
