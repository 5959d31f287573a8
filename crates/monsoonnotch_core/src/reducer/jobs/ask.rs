//! Questions about jobs, answered here or passed on to their homes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::super::calls::RETRY_AFTER;
use super::Control;
use super::JobRequester;
use super::table::Job;
use crate::effect::Answer;
use crate::effect::Effect;
use crate::event::KeyProof;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::Ticket;
use crate::job::Spec;
use crate::time::Duration;
use crate::time::Time;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;
use crate::wire::JobAnswer;
use crate::wire::JobRequest;
use crate::wire::PeerMsg;

/// Longest wait for the answer of another member.
const ANSWER_MAX: Duration = Duration::from_secs(5);
/// Pause after which a question without an answer is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// A question that another member has to answer.
#[derive(Debug)]
struct Question {
    asked: Time,
    home: MemberId,
    ticket: Ticket,
    ask: JobRequest,
}

/// Questions passed on to other members.
#[derive(Debug, Default)]
pub(super) struct JobQueries {
    last: u64,
    open: BTreeMap<u64, Question>,
    due: BTreeSet<(Time, u64)>,
    /// Jobs accepted for other members, by their questions, which may come again.
    accepted: BTreeMap<(MemberId, u64), JobId>,
}

impl JobQueries {
    /// The submission that a job was accepted for need not be known any more.
    pub(super) fn forget(&mut self, job: JobId) {
        self.accepted.retain(|_, j| *j != job);
    }
}

impl Control {
    pub(in crate::reducer) fn job_asked(
        &mut self,
        ticket: Ticket,
        key: Option<KeyProof>,
        ask: JobRequest,
    ) {
        let Some(ask) = self.with_team(key, ask) else {
            return self.refuse_ticket(ticket, Refusal::not_run(Reason::KeyRefused));
        };
        let home = job_of(&ask).and_then(|job| self.home_of_job(job));
        match home {
            Some(home) if home == self.cfg.me => {
                let answer = Answer::Job(self.answer_job(&ask));
                self.out.push(Effect::Answer { ticket, answer });
            }
            Some(home) => self.ask_member(ticket, home, ask),
            None => self.refuse_ticket(ticket, Refusal::later(Reason::Uncertain, RETRY_AFTER)),
        }
    }

    pub(super) fn ask_member(&mut self, ticket: Ticket, home: MemberId, ask: JobRequest) {
        self.jobs.questions.last += 1;
        let query = self.jobs.questions.last;
        let open = Question {
            asked: self.now,
            home,
            ticket,
            ask,
        };
        self.jobs.questions.open.insert(query, open);
        self.jobs.questions.due.insert((self.now, query));
        self.repeat_questions();
    }

    /// A job was accepted for another member's submitter.
    pub(super) fn accepted_for(&mut self, asker: JobRequester, job: JobId) {
        if let JobRequester::Peer(peer, query) = asker {
            let accepted = &mut self.jobs.questions.accepted;
            accepted.insert((peer, query), job);
        }
    }

    pub(in crate::reducer) fn peer_job_asked(
        &mut self,
        from: MemberId,
        query: u64,
        ask: JobRequest,
    ) {
        if !self.ledger.is_member(from) {
            // It asks again; by then it may be known here.
            return;
        }
        if let JobRequest::Submit { spec } = ask {
            return self.peer_submitted(from, query, spec);
        }
        let home = job_of(&ask).and_then(|job| self.home_of_job(job));
        if home == Some(self.cfg.me) {
            let answer = self.answer_job(&ask);
            self.send(from, PeerMsg::JobAnswer { query, answer });
        }
    }

    fn peer_submitted(&mut self, from: MemberId, query: u64, spec: Spec) {
        let asker = JobRequester::Peer(from, query);
        let known = self.jobs.questions.accepted.get(&(from, query)).copied();
        match known {
            None => self.accept(asker, spec),
            Some(id) if self.jobs.accepting.contains_key(&id) => {}
            Some(id) => self.job_accepted(asker, id),
        }
    }

    pub(in crate::reducer) fn peer_job_answered(&mut self, query: u64, answer: JobAnswer) {
        if let Some(q) = self.jobs.questions.open.remove(&query) {
            self.tell_asker(JobRequester::Here(q.ticket), answer);
        }
    }

    pub(super) fn repeat_questions(&mut self) {
        while let Some(query) = super::pop_due(&mut self.jobs.questions.due, self.now) {
            if let Some(q) = self.jobs.questions.open.get(&query) {
                let (home, ask) = (q.home, q.ask.clone());
                let due = (self.now + ASK_PAUSE, query);
                self.jobs.questions.due.insert(due);
                self.send(
                    home,
                    PeerMsg::JobRequest {
                        query,
                        request: ask,
                    },
                );
            }
        }
    }

    pub(super) fn expire_questions(&mut self) {
        self.repeat_questions();
        // Questions are asked in the order of their numbers, so the first is the oldest.
        while let Some((n, q)) = self.jobs.questions.open.first_key_value() {
            if self.now.since(q.asked) <= ANSWER_MAX {
                return;
            }
            let (n, ticket) = (*n, q.ticket);
            self.jobs.questions.open.remove(&n);
            self.refuse_ticket(ticket, unanswered());
        }
    }

    /// Whoever asked an ended member gets the final answer at once.
    pub(super) fn questions_member_ended(&mut self, m: MemberId) {
        let accepted = &mut self.jobs.questions.accepted;
        accepted.retain(|(asker, _), _| *asker != m);
        let open = self.jobs.questions.open.iter();
        let lost: Vec<u64> = open.filter(|(_, q)| q.home == m).map(|(n, _)| *n).collect();
        for n in lost {
            if let Some(q) = self.jobs.questions.open.remove(&n) {
                self.refuse_ticket(q.ticket, unanswered());
            }
        }
    }

    pub(in crate::reducer) fn refuse_all_jobs(&mut self) {
        let accepting = std::mem::take(&mut self.jobs.accepting);
        for asker in accepting.into_values() {
            self.tell_asker(asker, JobAnswer::Refused(unanswered()));
        }
        let open = std::mem::take(&mut self.jobs.questions.open);
        for q in open.into_values() {
            self.refuse_ticket(q.ticket, unanswered());
        }
    }

    fn with_team(&self, key: Option<KeyProof>, ask: JobRequest) -> Option<JobRequest> {
        let Some(key) = key else {
            return Some(ask);
        };
        let team = Some(self.team_of(&key)?);
        Some(match ask {
            JobRequest::Show { job, .. } => JobRequest::Show { team, job },
            JobRequest::Cancel { job, .. } => JobRequest::Cancel { team, job },
            JobRequest::Submit { spec } => JobRequest::Submit { spec },
        })
    }

    fn answer_job(&mut self, ask: &JobRequest) -> JobAnswer {
        let (JobRequest::Show { team, job } | JobRequest::Cancel { team, job }) = ask else {
            return JobAnswer::Refused(Refusal::not_run(Reason::Malformed));
        };
        if !self.may_keep_records() || !self.home_is_ready(job.0) {
            let refusal = Refusal::later(Reason::Uncertain, RETRY_AFTER);
            return JobAnswer::Refused(refusal);
        }
        let own = |j: &Job| team.as_ref().is_none_or(|t| *t == j.spec.team);
        if !self.jobs.jobs.get(job).is_some_and(own) {
            return JobAnswer::Refused(Refusal::not_run(Reason::NotFound));
        }
        if matches!(ask, JobRequest::Cancel { .. }) {
            self.cancel_job(*job);
        }
        JobAnswer::Status(self.jobs.jobs[job].status())
    }
}

fn job_of(ask: &JobRequest) -> Option<JobId> {
    match ask {
        JobRequest::Show { job, .. } | JobRequest::Cancel { job, .. } => Some(*job),
        JobRequest::Submit { .. } => None,
    }
}

/// The answer when another member has not said what became of a question.
fn unanswered() -> Refusal {
    Refusal {
        verdict: Verdict::MayHaveRun,
        ..Refusal::later(Reason::Uncertain, RETRY_AFTER)
    }
}
