//! Asking members to run tasks, in fair order between teams.

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

/// Tasks asked for in one tick at most.
const STARTS_MAX: usize = 256;
/// Tasks of one job asked for before it is the turn of others.
const TURN_MAX: usize = 16;
/// What a team is charged for one slot that a task takes.
const SLOT_COST: u64 = 1_000;
/// Pause after no place was found for a job's tasks; doubles up to the longest.
const MISS_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after no place was found.
const MISS_PAUSE_MAX: Duration = Duration::from_millis(800);
/// Time for which a member that had no place is passed over.
const FULL_PAUSE: Duration = Duration::from_millis(200);
/// Age of a summary up to which a peer is asked for a place.
const SUMMARY_AGE: Duration = Duration::from_secs(2);

impl Control {
    /// Puts a job with tasks to place into the queue.
    pub(super) fn queue_job(&mut self, id: JobId) {
        let accepting = self.jobs.accepting.contains_key(&id);
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        let waits = job.phase == Phase::Active && !job.late && !job.ready.is_empty();
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
                left -= self.place_turn(id, left.min(TURN_MAX));
            }
            if left == before {
                return;
            }
        }
    }

    /// No place was found for a task: its job waits a while.
    pub(super) fn place_missed(&mut self, id: JobId) {
        let Some(job) = self.jobs.jobs.get_mut(&id) else {
            return;
        };
        let doublings = job.misses.min(3);
        job.misses = job.misses.saturating_add(1);
        let pause = MISS_PAUSE.times(1 << doublings).min(MISS_PAUSE_MAX);
        self.jobs.queue.remove(id);
        self.jobs.later.insert((self.now + pause, id));
    }

    /// A member had no place; it is passed over for a while.
    pub(super) fn member_missed(&mut self, m: MemberId) {
        self.jobs.full.insert(m, self.now + FULL_PAUSE);
    }

    fn is_full(&self, m: MemberId) -> bool {
        self.jobs
            .full
            .get(&m)
            .is_some_and(|until| *until > self.now)
    }

    /// Asks for places for some tasks of a job; returns how many were asked for.
    fn place_turn(&mut self, id: JobId, most: usize) -> usize {
        if self.waits_to_gather(id) {
            self.place_missed(id);
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
                self.place_missed(id);
                return placed;
            };
            self.ask_for_place(id, index, at);
            placed += 1;
        }
        let cost = slots * placed as u64 * SLOT_COST;
        self.jobs.queue.started(self.now, id, cost);
        self.gang_asked(id);
        self.queue_job(id);
        placed
    }

    fn ask_for_place(&mut self, id: JobId, index: u32, at: MemberId) {
        self.jobs.set_stage((id, index), Stage::Asked(at));
        let job = &self.jobs.jobs[&id];
        let (task, spec, gang) = (job.task_id(index), job.task_spec(), job.is_gang());
        match gang {
            true => self.order_reserve(at, task, spec),
            false => self.order_start(at, task, spec),
        }
        self.check_later(task);
        match at == self.cfg.me {
            // The own part of the fleet changes at once, so that the next look sees it.
            true => self.flush_own_orders(),
            false => self.count_asked(at),
        }
    }

    fn count_asked(&mut self, at: MemberId) {
        if let Some((_, s)) = self.peers.summaries.get_mut(&at) {
            s.free = s.free.saturating_sub(1);
        }
    }

    /// This member while it has room, else the peer with the most.
    fn member_for_task(&self, team: &Name, slots: u64) -> Option<MemberId> {
        let me = self.cfg.me;
        let room = self.fleet.free_slots() >= slots && self.long_may_start(slots);
        if room && self.allotment_left(team) > 0 && !self.is_full(me) {
            return Some(me);
        }
        let now = self.now;
        let part = |m: MemberId| self.ledger.allotments.part(team, m);
        let summaries = self.peers.summaries.iter();
        let fresh = summaries.filter(|(_, (at, _))| now.since(*at) < SUMMARY_AGE);
        let able = fresh.filter(|(m, (_, s))| s.free > 0 && part(**m) > 0 && !self.is_full(**m));
        able.max_by_key(|(_, (_, s))| s.free).map(|(m, _)| *m)
    }
}

impl super::table::Job {
    /// Whether failures of its tasks are tried again without end.
    pub(super) fn is_long_lived(&self) -> bool {
        self.lane == Lane::LongLived
    }
}
