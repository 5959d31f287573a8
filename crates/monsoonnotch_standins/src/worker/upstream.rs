//! The upstream of a worker, which handles short requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::body::Frame;
use hyper::body::Incoming;
use monsoonnotch_core::resource::Resources;

use super::State;
use crate::serve;
use crate::serve::Body;

/// A request in progress. Dropping it releases its resources and updates the checker.
#[derive(Debug)]
struct InProgress {
    state: Arc<State>,
    size: Resources,
    team: Option<String>,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.state.agent().request_end(&self.size);
        if let Some(team) = &self.team {
            self.state.checker.team_end(team);
        }
    }
}

/// Handles a request. Its work continues to the end even if the connection is closed meanwhile.
pub(super) async fn run(state: Arc<State>, req: Request<Incoming>) -> Option<Response<Body>> {
    let head = req.headers().clone();
    let path = req.uri().path().to_owned();
    let body = serve::read_body(req.into_body()).await?;
    let progress = begin(state, &head);
    let work = tokio::spawn(async move {
        let work = Duration::from_millis(number(&head, "x-work-ms"));
        tokio::time::sleep(work).await;
        (progress, head)
    });
    let (progress, head) = work.await.ok()?;
    if text(&head, "x-cut") == Some("before") {
        return None;
    }
    Some(respond(progress, &head, &path, body))
}

/// Counts a request as in progress.
fn begin(state: Arc<State>, head: &HeaderMap) -> InProgress {
    let size = Resources {
        slots: 1,
        connections: 1,
        ..Resources::default()
    };
    let team = text(head, "x-team").map(str::to_owned);
    if let Some(id) = text(head, "x-once") {
        state.checker.request_ran(id);
    }
    if let Some(team) = &team {
        state.checker.team_start(team);
    }
    let mut agent = state.agent();
    agent.request_start(size);
    state.check_capacity(&agent);
    drop(agent);
    InProgress { state, size, team }
}

/// Returns the response: chunks if the request selects them, or else the path and the body of the
/// request.
fn respond(progress: InProgress, head: &HeaderMap, path: &str, body: Bytes) -> Response<Body> {
    let chunks = number(head, "x-chunks");
    if chunks == 0 {
        drop(progress);
        let text = format!("{path}\n{}", String::from_utf8_lossy(&body));
        return serve::response(StatusCode::OK, text);
    }
    let size = usize::try_from(number(head, "x-chunk-bytes").max(1)).unwrap_or(1);
    let pause = Duration::from_millis(number(head, "x-chunk-ms"));
    let cut_after = match text(head, "x-cut") {
        Some("during") => chunks / 2,
        _ => chunks,
    };
    let (tx, rx) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        let progress = progress;
        for _ in 0..cut_after {
            tokio::time::sleep(pause).await;
            let chunk = Bytes::from(vec![b'x'; size]);
            if tx.send(Ok(Frame::data(chunk))).await.is_err() {
                return;
            }
        }
        if cut_after < chunks {
            let _ = tx.send(Err(std::io::Error::other("cut"))).await;
        }
        drop(progress);
    });
    let stream = futures_util::stream::unfold(rx, |mut rx| async move {
        let frame = rx.recv().await?;
        Some((frame, rx))
    });
    Response::new(StreamBody::new(stream).boxed())
}

/// Returns the value of a header as text; `None` when it is missing or not ASCII.
fn text<'a>(head: &'a HeaderMap, name: &str) -> Option<&'a str> {
    head.get(name)?.to_str().ok()
}

/// Returns the value of a numeric header; zero when it is missing or not a number.
fn number(head: &HeaderMap, name: &str) -> u64 {
    text(head, name).and_then(|t| t.parse().ok()).unwrap_or(0)
}
