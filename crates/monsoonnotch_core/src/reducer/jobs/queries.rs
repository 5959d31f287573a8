//! Requests about jobs, answered here or forwarded to the homes of the jobs.

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

/// Longest wait for the answer of another member; then the outcome is reported as unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before an unanswered query is sent again.
const QUERY_RETRY: Duration = Duration::from_millis(500);

/// A request that another member has to answer.
#[derive(Debug)]
struct OpenQuery {
    asked: Time,
    home: MemberId,
    ticket: Ticket,
    request: JobRequest,
}

/// Queries to other members and the submissions accepted from them.
#[derive(Debug, Default)]
pub(super) struct JobQueries {
    last: u64,
    open: BTreeMap<u64, OpenQuery>,
    due: BTreeSet<(Time, u64)>,
    /// Jobs accepted from other members, by sender and query number, so that a repeated query does
    /// not create a second job.
    accepted: BTreeMap<(MemberId, u64), JobId>,
}

impl JobQueries {
    /// Removes the record of the submission that created a job.
    pub(super) fn forget(&mut self, job: JobId) {
        self.accepted.retain(|_, j| *j != job);
    }
}

impl Control {
    pub(in crate::reducer) fn job_requested(
        &mut self,
        ticket: Ticket,
        key: Option<KeyProof>,
        request: JobRequest,
    ) {
        let Some(request) = self.with_team(key, request) else {
            return self.refuse_ticket(ticket, Refusal::not_run(Reason::KeyRefused));
        };
        let home = job_of(&request).and_then(|job| self.home_of_job(job));
        match home {
            Some(home) if home == self.cfg.me => {
                let answer = Answer::Job(self.answer_job(&request));
                self.effects.push(Effect::Answer { ticket, answer });
            }
            Some(home) => self.send_query(ticket, home, request),
            None => self.refuse_ticket(ticket, Refusal::later(Reason::Uncertain, RETRY_AFTER)),
        }
    }

    pub(super) fn send_query(&mut self, ticket: Ticket, home: MemberId, request: JobRequest) {
        self.jobs.queries.last += 1;
        let query = self.jobs.queries.last;
        let open = OpenQuery {
            asked: self.now,
            home,
            ticket,
            request,
        };
        self.jobs.queries.open.insert(query, open);
        self.jobs.queries.due.insert((self.now, query));
        self.retry_queries();
    }

    /// Records which query of another member created a job; does nothing for a local submitter.
    pub(super) fn remember_accepted(&mut self, requester: JobRequester, job: JobId) {
        if let JobRequester::Peer(peer, query) = requester {
            let accepted = &mut self.jobs.queries.accepted;
            accepted.insert((peer, query), job);
        }
    }

    pub(in crate::reducer) fn peer_job_requested(
        &mut self,
        from: MemberId,
        query: u64,
        request: JobRequest,
    ) {
        if !self.ledger.is_member(from) {
            // It sends the query again; by then this member may have read that it joined.
            return;
        }
        if let JobRequest::Submit { spec } = request {
            return self.peer_submitted(from, query, spec);
        }
        let home = job_of(&request).and_then(|job| self.home_of_job(job));
        if home == Some(self.cfg.me) {
            let answer = self.answer_job(&request);
            self.send(from, PeerMsg::JobAnswer { query, answer });
        }
    }

    fn peer_submitted(&mut self, from: MemberId, query: u64, spec: Spec) {
        let requester = JobRequester::Peer(from, query);
        let known = self.jobs.queries.accepted.get(&(from, query)).copied();
        match known {
            None => self.accept(requester, spec),
            Some(id) if self.jobs.accepting.contains_key(&id) => {}
            Some(id) => self.job_accepted(requester, id),
        }
    }

    pub(in crate::reducer) fn peer_job_answered(&mut self, query: u64, answer: JobAnswer) {
        if let Some(q) = self.jobs.queries.open.remove(&query) {
            self.answer_requester(JobRequester::Here(q.ticket), answer);
        }
    }

    pub(super) fn retry_queries(&mut self) {
        while let Some(query) = super::pop_due(&mut self.jobs.queries.due, self.now) {
            if let Some(q) = self.jobs.queries.open.get(&query) {
                let (home, request) = (q.home, q.request.clone());
                let due = (self.now + QUERY_RETRY, query);
                self.jobs.queries.due.insert(due);
                self.send(home, PeerMsg::JobRequest { query, request });
            }
        }
    }

    pub(super) fn expire_queries(&mut self) {
        self.retry_queries();
        // Queries are numbered in the order in which they are sent, so the first is the oldest.
        while let Some((n, q)) = self.jobs.queries.open.first_key_value() {
            if self.now.since(q.asked) <= ANSWER_TIMEOUT {
                return;
            }
            let (n, ticket) = (*n, q.ticket);
            self.jobs.queries.open.remove(&n);
            self.refuse_ticket(ticket, unknown_outcome());
        }
    }

    /// Answers the queries to an ended member at once: their outcome is unknown.
    pub(super) fn queries_member_ended(&mut self, m: MemberId) {
        let accepted = &mut self.jobs.queries.accepted;
        accepted.retain(|(requester, _), _| *requester != m);
        let open = self.jobs.queries.open.iter();
        let lost: Vec<u64> = open.filter(|(_, q)| q.home == m).map(|(n, _)| *n).collect();
        for n in lost {
            if let Some(q) = self.jobs.queries.open.remove(&n) {
                self.refuse_ticket(q.ticket, unknown_outcome());
            }
        }
    }

    pub(in crate::reducer) fn refuse_all_jobs(&mut self) {
        let accepting = std::mem::take(&mut self.jobs.accepting);
        for requester in accepting.into_values() {
            self.answer_requester(requester, JobAnswer::Refused(unknown_outcome()));
        }
        let open = std::mem::take(&mut self.jobs.queries.open);
        for q in open.into_values() {
            self.refuse_ticket(q.ticket, unknown_outcome());
        }
    }

    fn with_team(&self, key: Option<KeyProof>, request: JobRequest) -> Option<JobRequest> {
        let Some(key) = key else {
            return Some(request);
        };
        let team = Some(self.team_of(&key)?);
        Some(match request {
            JobRequest::Show { job, .. } => JobRequest::Show { team, job },
            JobRequest::Cancel { job, .. } => JobRequest::Cancel { team, job },
            JobRequest::Submit { spec } => JobRequest::Submit { spec },
        })
    }

    fn answer_job(&mut self, request: &JobRequest) -> JobAnswer {
        let (JobRequest::Show { team, job } | JobRequest::Cancel { team, job }) = request else {
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
        if matches!(request, JobRequest::Cancel { .. }) {
            self.cancel_job(*job);
        }
        JobAnswer::Status(self.jobs.jobs[job].status())
    }
}

fn job_of(request: &JobRequest) -> Option<JobId> {
    match request {
        JobRequest::Show { job, .. } | JobRequest::Cancel { job, .. } => Some(*job),
        JobRequest::Submit { .. } => None,
    }
}

/// Returns the refusal for a query whose outcome at another member is unknown.
fn unknown_outcome() -> Refusal {
    Refusal {
        verdict: Verdict::MayHaveRun,
        ..Refusal::later(Reason::Uncertain, RETRY_AFTER)
    }
}
