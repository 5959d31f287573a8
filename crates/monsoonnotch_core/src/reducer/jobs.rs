//! Jobs that this member is the home of.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use super::calls::RETRY_AFTER;
use super::journal::Then;
use crate::config::Lane;
use crate::effect::Answer;
use crate::effect::Effect;
use crate::event::KeyProof;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::RangeId;
use crate::ident::TaskId;
use crate::ident::Ticket;
use crate::job::JournalEntry;
use crate::job::Phase;
use crate::job::Spec;
use crate::job::Status;
use crate::job::TaskSpec;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;
use crate::wire::JobAnswer;
use crate::wire::JobAsk;
use crate::wire::PeerMsg;
use crate::wire::TaskNews;

/// Most tasks in one job.
const TASKS_MAX: u32 = 100_000;
/// Tasks asked for in one tick.
const STARTS_MAX: usize = 256;
/// Pause before a task that found no place is tried again.
const PLACE_PAUSE: Duration = Duration::from_millis(200);
/// Pause after which an unanswered question for a place is asked again.
const ASK_PAUSE: Duration = Duration::from_secs(1);

/// Where a task stands, as its home knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskStage {
    /// It waits for a place.
    Waiting,
    /// A member was asked to run it.
    Asked(MemberId, Time),
    /// It runs on a worker of a member.
    Running(MemberId),
    /// It ended well.
    Done,
    /// It failed for good.
    Failed,
}

/// A task of a job.
#[derive(Debug, Clone, Copy)]
struct JobTask {
    stage: TaskStage,
    attempt: u32,
    tries: u32,
}

/// A job at its home.
#[derive(Debug)]
struct Job {
    spec: Spec,
    phase: Phase,
    max_attempts: u32,
    tasks: Vec<JobTask>,
    waiting: BTreeSet<u32>,
}

/// All jobs at home here.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    next: u64,
    place_due: Time,
    /// Questions passed on to other homes.
    asked: BTreeMap<u64, (Time, Ticket)>,
    questions: u64,
    /// Submissions whose record is on its way.
    accepting: BTreeMap<JobId, Ticket>,
}

impl Jobs {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = JobId> {
        self.jobs.keys().copied()
    }
}

impl Control {
    pub(super) fn submit(&mut self, ticket: Ticket, key: Option<KeyProof>, mut spec: Spec) {
        if let Some(key) = &key {
            match self.team_of(key) {
                Some(team) => spec.team = team,
                None => return self.refuse_ticket(ticket, Refusal::not_run(Reason::KeyRefused)),
            }
        }
        match self.admit_job(&mut spec) {
            Ok(max_attempts) => self.record_job(ticket, spec, max_attempts),
            Err(refusal) => self.refuse_ticket(ticket, refusal),
        }
    }

    pub(super) fn job_accepted(&mut self, ticket: Ticket, id: JobId) {
        self.jobs.accepting.remove(&id);
        let answer = JobAnswer::Status(self.job_status(id));
        let answer = Answer::Job(answer);
        self.out.push(Effect::Answer { ticket, answer });
    }

    pub(super) fn job_asked(&mut self, ticket: Ticket, key: Option<KeyProof>, ask: JobAsk) {
        let Some(ask) = self.with_team(key, ask) else {
            return self.refuse_ticket(ticket, Refusal::not_run(Reason::KeyRefused));
        };
        match self.home_of_job(job_of(&ask)) {
            Some(home) if home == self.cfg.me => {
                let answer = Answer::Job(self.answer_job(&ask));
                self.out.push(Effect::Answer { ticket, answer });
            }
            Some(home) => {
                self.jobs.questions += 1;
                let question = self.jobs.questions;
                self.jobs.asked.insert(question, (self.now, ticket));
                self.send(home, PeerMsg::JobAsk { question, ask });
            }
            None => self.refuse_ticket(ticket, Refusal::later(Reason::Uncertain, RETRY_AFTER)),
        }
    }

    pub(super) fn peer_job_asked(&mut self, from: MemberId, question: u64, ask: JobAsk) {
        if self.home_of_job(job_of(&ask)) == Some(self.cfg.me) {
            let answer = self.answer_job(&ask);
            self.send(from, PeerMsg::JobAnswer { question, answer });
        }
    }

    pub(super) fn peer_job_answered(&mut self, question: u64, answer: JobAnswer) {
        if let Some((_, ticket)) = self.jobs.asked.remove(&question) {
            let answer = Answer::Job(answer);
            self.out.push(Effect::Answer { ticket, answer });
        }
    }

    pub(super) fn tick_jobs(&mut self) {
        self.expire_questions();
        if self.now < self.jobs.place_due || !self.is_certain() || self.stopping.begun() {
            return;
        }
        self.jobs.place_due = self.now + PLACE_PAUSE;
        self.ask_again();
        self.place_waiting();
    }

    pub(super) fn task_news(&mut self, from: MemberId, news: Vec<(TaskId, TaskNews)>) {
        let mut seen = Vec::new();
        for (id, news) in news {
            if self.home_of_job(id.job) != Some(self.cfg.me) {
                continue;
            }
            self.one_task_news(from, id, news);
            if matches!(news, TaskNews::Done | TaskNews::Failed | TaskNews::Lost) {
                seen.push(id);
            }
        }
        match from == self.cfg.me {
            true => self.tasks_seen(&seen),
            false if seen.is_empty() => {}
            false => self.send(from, PeerMsg::TaskSeen { tasks: seen }),
        }
    }

    pub(super) fn tasks_of(&mut self, _from: MemberId, _question: u64, _next: u64) {}

    pub(super) fn tasks_here(
        &mut self,
        _from: MemberId,
        _question: u64,
        _tasks: Vec<TaskId>,
        _unknown: u32,
    ) {
    }

    pub(super) fn jobs_member_ended(&mut self, _m: MemberId) {}

    pub(super) fn refuse_all_jobs(&mut self) {
        let refusal = Refusal {
            verdict: Verdict::MayHaveRun,
            reason: Reason::Uncertain,
            retry_after: Some(RETRY_AFTER),
        };
        let accepting = std::mem::take(&mut self.jobs.accepting);
        let asked = std::mem::take(&mut self.jobs.asked);
        let asked = asked.into_values().map(|(_, t)| t);
        for ticket in accepting.into_values().chain(asked) {
            self.refuse_ticket(ticket, refusal);
        }
    }

    pub(super) fn journal_read(&mut self, _member: MemberId, entries: Vec<JournalEntry>) {
        for entry in &entries {
            self.adopt_key(entry);
        }
    }

    pub(super) fn ranges_read(&mut self, _at_once: bool) {}

    /// Whether all that former homes recorded of a hash's range is known here.
    pub(super) fn home_is_ready(&self, hash: u64) -> bool {
        self.holds_range(RangeId::of(hash)) && !self.has_ancestors()
    }

    /// Whether journals of former members have yet to be read.
    pub(super) fn has_ancestors(&self) -> bool {
        let ancestors = self.ledger.ancestors.get(&self.cfg.me);
        ancestors.is_some_and(|a| !a.is_empty())
    }

    fn admit_job(&self, spec: &mut Spec) -> Result<u32, Refusal> {
        if self.stopping.begun() {
            return Err(Refusal::later(Reason::Stopping, RETRY_AFTER));
        }
        if !self.is_certain() {
            return Err(Refusal::later(Reason::Uncertain, RETRY_AFTER));
        }
        if self.log.dark {
            return Err(Refusal::later(Reason::LogDark, RETRY_AFTER));
        }
        let profile = self.profile_of(&spec.profile, Lane::Batch)?;
        if !self.ledger.config.teams.contains_key(&spec.team) {
            return Err(Refusal::not_run(Reason::KeyRefused));
        }
        if spec.count == 0 || spec.count > TASKS_MAX || spec.priority > 9 {
            return Err(Refusal::not_run(Reason::Malformed));
        }
        if spec.size == Default::default() {
            spec.size = profile.size;
        }
        spec.size.slots = spec.size.slots.max(1);
        spec.size.connections = 0;
        if !self.fleet.fits_somewhere(&spec.size) {
            return Err(Refusal::not_run(Reason::FitsNowhere));
        }
        Ok(profile.max_attempts)
    }

    fn record_job(&mut self, ticket: Ticket, spec: Spec, max_attempts: u32) {
        let Some(id) = self.new_job_id() else {
            let refusal = Refusal::later(Reason::Uncertain, RETRY_AFTER);
            return self.refuse_ticket(ticket, refusal);
        };
        let task = JobTask {
            stage: TaskStage::Waiting,
            attempt: 1,
            tries: 0,
        };
        let count = spec.count;
        let job = Job {
            spec: spec.clone(),
            phase: Phase::Active,
            max_attempts,
            tasks: vec![task; count as usize],
            waiting: (0..count).collect(),
        };
        self.jobs.jobs.insert(id, job);
        self.jobs.accepting.insert(id, ticket);
        let entry = JournalEntry::Job { job: id, spec };
        self.journal.push(entry, Then::Accept(ticket, id));
    }

    /// An identifier in a hash range that is held here.
    fn new_job_id(&mut self) -> Option<JobId> {
        let me = self.cfg.me;
        let own: Vec<RangeId> = RangeId::all().filter(|r| self.holds_range(*r)).collect();
        self.jobs.next += 1;
        let nth = usize::try_from(self.jobs.next).ok()? % own.len().max(1);
        let range = own.get(nth)?;
        let low = crate::config::place(&format!("{me}-{}", self.jobs.next));
        Some(JobId(u64::from(range.0) << 56 | low >> 8))
    }

    fn with_team(&self, key: Option<KeyProof>, ask: JobAsk) -> Option<JobAsk> {
        let Some(key) = key else {
            return Some(ask);
        };
        let team = Some(self.team_of(&key)?);
        Some(match ask {
            JobAsk::Show { job, .. } => JobAsk::Show { team, job },
            JobAsk::Cancel { job, .. } => JobAsk::Cancel { team, job },
        })
    }

    fn answer_job(&mut self, ask: &JobAsk) -> JobAnswer {
        let (JobAsk::Show { team, job } | JobAsk::Cancel { team, job }) = ask;
        let own = |j: &Job| team.as_ref().is_none_or(|t| *t == j.spec.team);
        if !self.jobs.jobs.get(job).is_some_and(own) {
            return JobAnswer::Refused(Refusal::not_run(Reason::NotFound));
        }
        if matches!(ask, JobAsk::Cancel { .. }) {
            self.cancel_job(*job);
        }
        JobAnswer::Status(self.job_status(*job))
    }

    fn cancel_job(&mut self, id: JobId) {
        let job = self.jobs.jobs.get_mut(&id).expect("the caller has seen it");
        if job.phase != Phase::Active {
            return;
        }
        job.phase = Phase::Cancelled;
        job.waiting.clear();
        let mut stops: BTreeMap<MemberId, Vec<TaskId>> = BTreeMap::new();
        for (index, t) in (0..).zip(&job.tasks) {
            if let TaskStage::Asked(at, _) | TaskStage::Running(at) = t.stage {
                let attempt = t.attempt;
                let task = TaskId {
                    job: id,
                    index,
                    attempt,
                };
                stops.entry(at).or_default().push(task);
            }
        }
        for (at, tasks) in stops {
            self.send_stop(at, tasks);
        }
        let phase = Phase::Cancelled;
        self.journal
            .push(JournalEntry::Ended { job: id, phase }, Then::Nothing);
    }

    fn send_stop(&mut self, at: MemberId, tasks: Vec<TaskId>) {
        let me = self.cfg.me;
        match at == me {
            true => self.tasks_stopped(me, &tasks),
            false => self.send(at, PeerMsg::TaskStop { tasks }),
        }
    }

    fn job_status(&self, id: JobId) -> Status {
        let job = &self.jobs.jobs[&id];
        let count = |f: fn(&TaskStage) -> bool| {
            let n = job.tasks.iter().filter(|t| f(&t.stage)).count();
            u32::try_from(n).unwrap_or(u32::MAX)
        };
        Status {
            id: id.to_string().into(),
            spec: job.spec.clone(),
            phase: job.phase,
            waiting: count(|s| matches!(s, TaskStage::Waiting | TaskStage::Asked(..))),
            running: count(|s| matches!(s, TaskStage::Running(_))),
            done: count(|s| *s == TaskStage::Done),
            failed: count(|s| *s == TaskStage::Failed),
        }
    }

    fn expire_questions(&mut self) {
        let now = self.now;
        let late = |at: &Time| now.since(*at) > Duration::from_secs(5);
        let asked = std::mem::take(&mut self.jobs.asked);
        for (question, (at, ticket)) in asked {
            if late(&at) {
                let refusal = Refusal {
                    verdict: Verdict::MayHaveRun,
                    ..Refusal::later(Reason::Uncertain, RETRY_AFTER)
                };
                self.refuse_ticket(ticket, refusal);
            } else {
                self.jobs.asked.insert(question, (at, ticket));
            }
        }
    }

    fn ask_again(&mut self) {
        let now = self.now;
        let mut again = Vec::new();
        for (id, job) in &self.jobs.jobs {
            for (index, t) in (0..).zip(&job.tasks) {
                if let TaskStage::Asked(at, since) = t.stage
                    && now.since(since) > ASK_PAUSE
                {
                    let task = TaskId {
                        job: *id,
                        index,
                        attempt: t.attempt,
                    };
                    again.push((at, task));
                }
            }
        }
        for (at, task) in again.into_iter().take(STARTS_MAX) {
            self.ask_task(at, task);
        }
    }

    fn place_waiting(&mut self) {
        let mut wanted = Vec::new();
        for (id, job) in &self.jobs.jobs {
            if self.jobs.accepting.contains_key(id) || job.phase != Phase::Active {
                continue;
            }
            let left = STARTS_MAX - wanted.len();
            for index in job.waiting.iter().take(left) {
                let attempt = job.tasks[*index as usize].attempt;
                wanted.push(TaskId {
                    job: *id,
                    index: *index,
                    attempt,
                });
            }
        }
        for task in wanted {
            let at = self.member_for_task();
            self.ask_task(at, task);
        }
    }

    /// This member while it has room, else the peer with the most.
    fn member_for_task(&self) -> MemberId {
        let me = self.cfg.me;
        if self.fleet.free_slots() > 0 {
            return me;
        }
        let summaries = self.peers.summaries.iter();
        let best = summaries.max_by_key(|(_, (_, s))| s.free);
        best.filter(|(_, (_, s))| s.free > 0)
            .map_or(me, |(m, _)| *m)
    }

    fn ask_task(&mut self, at: MemberId, id: TaskId) {
        let now = self.now;
        let job = self
            .jobs
            .jobs
            .get_mut(&id.job)
            .expect("the task's job is here");
        job.waiting.remove(&id.index);
        job.tasks[id.index as usize].stage = TaskStage::Asked(at, now);
        let spec = TaskSpec {
            team: job.spec.team.clone(),
            size: job.spec.size,
            priority: job.spec.priority,
            run_ms: job.spec.run_ms,
            command: job.spec.command.clone(),
        };
        let me = self.cfg.me;
        match at == me {
            true => self.task_asked(me, id, spec),
            false => self.send(at, PeerMsg::TaskAsk { task: id, spec }),
        }
    }

    fn one_task_news(&mut self, from: MemberId, id: TaskId, news: TaskNews) {
        let job = self.jobs.jobs.get_mut(&id.job);
        let current = job.and_then(|j| {
            let t = j.tasks.get(id.index as usize)?;
            (t.attempt == id.attempt).then_some(t.stage)
        });
        let over = matches!(current, None | Some(TaskStage::Done | TaskStage::Failed));
        match news {
            TaskNews::Running if over => self.send_stop(from, vec![id]),
            _ if over => {}
            TaskNews::Running => self.set_stage(id, TaskStage::Running(from)),
            TaskNews::NotPlaced(_) => self.wait_again(id, 0),
            TaskNews::Done => self.task_over(id, TaskStage::Done),
            TaskNews::Failed | TaskNews::Lost => self.task_failed(id),
        }
    }

    fn set_stage(&mut self, id: TaskId, stage: TaskStage) {
        let job = self
            .jobs
            .jobs
            .get_mut(&id.job)
            .expect("the task's job is here");
        job.tasks[id.index as usize].stage = stage;
    }

    /// Tries the task again as a new attempt.
    fn wait_again(&mut self, id: TaskId, tries: u32) {
        let job = self
            .jobs
            .jobs
            .get_mut(&id.job)
            .expect("the task's job is here");
        let t = &mut job.tasks[id.index as usize];
        t.stage = TaskStage::Waiting;
        t.attempt += 1;
        t.tries += tries;
        if job.phase == Phase::Active {
            job.waiting.insert(id.index);
        }
    }

    fn task_failed(&mut self, id: TaskId) {
        let job = &self.jobs.jobs[&id.job];
        let tries = job.tasks[id.index as usize].tries + 1;
        if tries < job.max_attempts || job.phase != Phase::Active {
            self.wait_again(id, 1);
        } else {
            self.task_over(id, TaskStage::Failed);
        }
    }

    fn task_over(&mut self, id: TaskId, stage: TaskStage) {
        self.set_stage(id, stage);
        let (done, failed) = match stage {
            TaskStage::Done => (vec![id.index], Vec::new()),
            _ => (Vec::new(), vec![id.index]),
        };
        let entry = JournalEntry::Progress {
            job: id.job,
            done,
            failed,
        };
        self.journal.push(entry, Then::Nothing);
        self.end_job_if_over(id.job);
    }

    fn end_job_if_over(&mut self, id: JobId) {
        let job = self.jobs.jobs.get_mut(&id).expect("the task's job is here");
        let over = |t: &JobTask| matches!(t.stage, TaskStage::Done | TaskStage::Failed);
        if job.phase != Phase::Active || !job.tasks.iter().all(over) {
            return;
        }
        let failed = job.tasks.iter().any(|t| t.stage == TaskStage::Failed);
        job.phase = match failed {
            true => Phase::Failed,
            false => Phase::Done,
        };
        let phase = job.phase;
        self.journal
            .push(JournalEntry::Ended { job: id, phase }, Then::Nothing);
    }
}

fn job_of(ask: &JobAsk) -> JobId {
    let (JobAsk::Show { job, .. } | JobAsk::Cancel { job, .. }) = ask;
    *job
}
