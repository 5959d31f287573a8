//! Placement of tasks on members, in fair order between teams.

use super::Control;
use super::Stage;
use crate::config::Lane;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::job::Phase;
use crate::queue::Class;
use crate::queue::Waiting;
use crate::time::Duration;

/// Maximum number of tasks placed in one tick.
const STARTS_MAX: usize = 256;
/// Maximum number of tasks of one job that are placed before the next job.
const TASKS_PER_TURN_MAX: usize = 16;
/// Cost that a team is charged for each slot of a task.
const SLOT_COST: u64 = 1_000;
/// Shortest delay after a failed placement; it doubles up to `PLACEMENT_RETRY_MAX`.
const PLACEMENT_RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest delay after a failed placement.
const PLACEMENT_RETRY_MAX: Duration = Duration::from_millis(800);
/// Time for which a member without free capacity is skipped.
const FULL_MEMBER_PAUSE: Duration = Duration::from_millis(200);
/// Age below which the summary of a peer is recent enough to place tasks by it.
const SUMMARY_AGE_MAX: Duration = Duration::from_secs(2);

impl Control {
    /// Puts a job with tasks to place into the queue.
    pub(super) fn queue_job(&mut self, id: JobId) {
        let accepting = self.jobs.accepting.contains_key(&id);
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        let waits = job.phase == Phase::Active && !job.past_deadline && !job.ready.is_empty();
        if !waits || accepting || !job.gang.may_place() {
            return;
        }
        let team = job.spec.team.clone();
        let teams = &self.ledger.config.teams;
        let waiting = Waiting {
            share: teams.get(&team).map_or(1, |t| t.value.share),
            class: Class::Long,
            priority: job.spec.priority,
            arrived: job.arrived,
        };
        self.jobs.queue.remove(id);
        self.jobs.queue.push(self.now, &team, waiting, id);
    }

    pub(super) fn place_waiting(&mut self) {
        let mut left = STARTS_MAX;
        while left > 0 && !self.jobs.queue.is_empty() {
            let before = left;
            let heads = self.jobs.queue.heads(Class::Long).map(|(_, id)| id);
            let heads: Vec<JobId> = heads.collect();
            for id in heads {
                left -= self.place_tasks(id, left.min(TASKS_PER_TURN_MAX));
            }
            if left == before {
                return;
            }
        }
    }

    /// Delays a job after a failed placement of one of its tasks.
    pub(super) fn placement_failed(&mut self, id: JobId) {
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        let doublings = job.failed_placements.min(3);
        job.failed_placements = job.failed_placements.saturating_add(1);
        let pause = PLACEMENT_RETRY_MIN
            .times(1 << doublings)
            .min(PLACEMENT_RETRY_MAX);
        self.jobs.queue.remove(id);
        self.jobs.requeue.insert((self.now + pause, id));
    }

    /// Skips a member without free capacity for `FULL_MEMBER_PAUSE`.
    pub(super) fn member_full(&mut self, m: MemberId) {
        self.jobs
            .full_members
            .insert(m, self.now + FULL_MEMBER_PAUSE);
    }

    fn is_full(&self, m: MemberId) -> bool {
        self.jobs
            .full_members
            .get(&m)
            .is_some_and(|until| *until > self.now)
    }

    /// Requests the placement of up to `most` tasks of a job; returns the number of requests.
    fn place_tasks(&mut self, id: JobId, most: usize) -> usize {
        if self.must_wait_for_gang(id) {
            self.placement_failed(id);
            return 0;
        }
        let Some(job) = self.jobs.jobs.get(&id) else {
            self.jobs.queue.remove(id);
            return 0;
        };
        let indexes: Vec<u32> = job.ready.iter().take(most).copied().collect();
        let team = job.spec.team.clone();
        let slots = job.spec.size.slots;
        let mut placed = 0;
        for index in indexes {
            let Some(at) = self.member_for_task(&team, slots) else {
                self.placement_failed(id);
                return placed;
            };
            self.request_placement(id, index, at);
            placed += 1;
        }
        let cost = slots * placed as u64 * SLOT_COST;
        self.jobs.queue.started(self.now, id, cost);
        self.gang_reserving(id);
        self.queue_job(id);
        placed
    }

    fn request_placement(&mut self, id: JobId, index: u32, at: MemberId) {
        self.jobs.set_stage((id, index), Stage::Requested(at));
        let job = &self.jobs.jobs[&id];
        let (task, spec, gang) = (job.task_id(index), job.task_spec(), job.is_gang());
        match gang {
            true => self.order_reserve(at, task, spec),
            false => self.order_start(at, task, spec),
        }
        self.query_task_later(task);
        match at == self.cfg.me {
            // Executed at once, so that the next placement sees the occupied slot.
            true => self.flush_own_orders(),
            false => self.count_requested(at),
        }
    }

    fn count_requested(&mut self, at: MemberId) {
        if let Some((_, s)) = self.peers.summaries.get_mut(&at) {
            s.free = s.free.saturating_sub(1);
        }
    }

    /// Selects this member while it has capacity, else the peer with the most free slots.
    fn member_for_task(&self, team: &Name, slots: u64) -> Option<MemberId> {
        let me = self.cfg.me;
        let has_capacity = self.fleet.free_slots() >= slots && self.long_may_start(slots);
        if has_capacity && self.allotment_left(team) > 0 && !self.is_full(me) {
            return Some(me);
        }
        let now = self.now;
        let part = |m: MemberId| self.ledger.allotments.part(team, m);
        let summaries = self.peers.summaries.iter();
        let fresh = summaries.filter(|(_, (at, _))| now.since(*at) < SUMMARY_AGE_MAX);
        let able = fresh.filter(|(m, (_, s))| s.free > 0 && part(**m) > 0 && !self.is_full(**m));
        able.max_by_key(|(_, (_, s))| s.free).map(|(m, _)| *m)
    }
}

impl super::table::Job {
    /// Returns whether the tasks run until they are stopped, so that failures are retried without
    /// limit.
    pub(super) fn is_long_lived(&self) -> bool {
        self.lane == Lane::LongLived
    }
}
