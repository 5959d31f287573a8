//! HTTP endpoints that submit, show and cancel jobs.

use std::sync::Arc;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use monsoonnotch_core::effect::Answer;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::event::KeyProof;
use monsoonnotch_core::ident::JobId;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::job::Spec;
use monsoonnotch_core::resource::Resources;
use monsoonnotch_core::time::Duration;
use monsoonnotch_core::verdict::Reason;
use monsoonnotch_core::verdict::Refusal;
use monsoonnotch_core::verdict::Verdict;
use monsoonnotch_core::wire::JobAnswer;
use monsoonnotch_core::wire::JobRequest;
use monsoonnotch_ingress::prelude::Connection;
use serde::Deserialize;

use super::Shared;
use super::head;
use crate::control::Inbox;
use crate::problem;
use crate::problem::Body;

/// The body of a job submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Submission {
    /// The team when an operator submits the job; for a caller, the key determines the team.
    #[serde(default)]
    pub(crate) team: Name,
    profile: Name,
    #[serde(default = "default_count")]
    count: u32,
    #[serde(default)]
    cpu_milli: u64,
    #[serde(default)]
    memory_mib: u64,
    #[serde(default)]
    accelerators: u64,
    #[serde(default = "default_priority")]
    priority: u8,
    #[serde(default)]
    deadline_ms: u64,
    #[serde(default)]
    run_ms: u64,
    #[serde(default)]
    command: Name,
}

fn default_count() -> u32 {
    1
}

fn default_priority() -> u8 {
    5
}

impl Submission {
    /// Converts the submission to a job specification.
    ///
    /// The size is left at its default, which stands for the profile's size, when no resource is
    /// requested.
    pub(crate) fn spec(self) -> Spec {
        let requested = self.cpu_milli + self.memory_mib + self.accelerators;
        let size = match requested {
            0 => Resources::default(),
            _ => Resources {
                cpu_milli: self.cpu_milli,
                memory_mib: self.memory_mib,
                accelerators: self.accelerators,
                ..Resources::one_task()
            },
        };
        Spec {
            team: self.team,
            profile: self.profile,
            count: self.count,
            size,
            priority: self.priority,
            deadline_ms: self.deadline_ms,
            run_ms: self.run_ms,
            command: self.command,
        }
    }
}

/// Handles a request about jobs.
pub(super) async fn handle(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    connection: &Connection,
) -> Response<Body> {
    let id = head::request_id(req.headers());
    let result = match head::bearer_key(req.headers()) {
        Ok(Some(key)) => route(&shared, req, connection, key).await,
        Ok(None) => Err((Refusal::not_run(Reason::KeyMissing), None)),
        Err(refusal) => Err((refusal, None)),
    };
    let mut res = result.unwrap_or_else(|(r, detail)| problem::response(&r, detail.as_deref()));
    res.headers_mut().insert(head::REQUEST_ID, id);
    res
}

/// A refusal and the detail for its problem document.
type DetailedRefusal = (Refusal, Option<String>);

async fn route(
    shared: &Shared,
    req: Request<Incoming>,
    connection: &Connection,
    key: KeyProof,
) -> Result<Response<Body>, DetailedRefusal> {
    let path = req.uri().path().to_owned();
    let id = path.strip_prefix("/v1/jobs/");
    match (req.method().clone(), id) {
        (Method::POST, None) => {
            let body = head::receive_body(shared, connection, req.into_body()).await;
            let body = body.map_err(|r| (r, None))?;
            submit(&shared.inbox, Some(key), &body.bytes, None).await
        }
        (Method::GET, Some(id)) => show_or_cancel(&shared.inbox, Some(key), id, false).await,
        (Method::DELETE, Some(id)) => show_or_cancel(&shared.inbox, Some(key), id, true).await,
        _ => Err((Refusal::not_run(Reason::NotFound), None)),
    }
}

/// Submits a job for the team of `key`, or for that of the body when `key` is `None`. A `team`
/// replaces the one of the body.
pub(crate) async fn submit(
    inbox: &Inbox,
    key: Option<KeyProof>,
    body: &[u8],
    team: Option<Name>,
) -> Result<Response<Body>, DetailedRefusal> {
    let malformed = |e: serde_json::Error| {
        let refusal = Refusal::not_run(Reason::Malformed);
        (refusal, Some(e.to_string()))
    };
    let mut submission: Submission = serde_json::from_slice(body).map_err(malformed)?;
    submission.team = team.unwrap_or(submission.team);
    let spec = submission.spec();
    let answer = inbox.request(move |ticket| Event::Submit { ticket, key, spec });
    response(answer.await, StatusCode::CREATED)
}

/// Shows a job, or cancels it when `cancel` is set.
pub(crate) async fn show_or_cancel(
    inbox: &Inbox,
    key: Option<KeyProof>,
    id: &str,
    cancel: bool,
) -> Result<Response<Body>, DetailedRefusal> {
    let job: JobId = id
        .parse()
        .map_err(|_| (Refusal::not_run(Reason::NotFound), None))?;
    let team = None;
    let request = match cancel {
        true => JobRequest::Cancel { team, job },
        false => JobRequest::Show { team, job },
    };
    let answer = inbox.request(move |ticket| Event::Job {
        ticket,
        key,
        request,
    });
    response(answer.await, StatusCode::OK)
}

fn response(answer: Option<Answer>, status: StatusCode) -> Result<Response<Body>, DetailedRefusal> {
    match answer {
        Some(Answer::Job(JobAnswer::Status(s))) => {
            let text = serde_json::to_vec(&s).expect("a job status can be serialized as JSON");
            Ok(problem::json(status, text))
        }
        Some(Answer::Job(JobAnswer::Refused(r)) | Answer::Refused(r)) => Err((r, None)),
        _ => {
            let wait = Duration::from_secs(1);
            let refusal = Refusal {
                verdict: Verdict::MayHaveRun,
                ..Refusal::later(Reason::Uncertain, wait)
            };
            Err((refusal, None))
        }
    }
}
