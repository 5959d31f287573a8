//! The service at `recommendation`, which knows on which workers a step may run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use monsoonnotch_standins::serve;
use monsoonnotch_standins::serve::Server;
use monsoonnotch_standins::serve::response;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::record::Record;

/// `decision-ms`, `period-ms` and `validity-ms` of the queue with advice.
pub const DECISION_MS: u64 = 13;
pub const PERIOD_MS: f64 = 0.19;
pub const VALIDITY_MS: u64 = 2_500;

/// A ticket that was issued.
struct Ticket {
    phase: String,
    worker: String,
    until: Instant,
}

/// The tickets that were issued, by their text.
#[derive(Clone, Default)]
pub struct Tickets(Arc<Mutex<BTreeMap<String, Ticket>>>);

impl Tickets {
    pub fn is_valid(&self, ticket: &str, phase: &str, worker: &str) -> bool {
        let tickets = self.0.lock().unwrap();
        tickets
            .get(ticket)
            .is_some_and(|t| t.phase == phase && t.worker == worker && Instant::now() < t.until)
    }

    fn issue(&self, phase: &str, worker: &str) -> String {
        let mut tickets = self.0.lock().unwrap();
        let ticket = format!("t{}", tickets.len());
        let until = Instant::now() + Duration::from_millis(VALIDITY_MS);
        let issued = Ticket {
            phase: phase.into(),
            worker: worker.into(),
            until,
        };
        tickets.insert(ticket.clone(), issued);
        ticket
    }
}

#[derive(Deserialize)]
struct Call {
    phase: String,
    workers: Vec<String>,
}

pub struct Advice {
    pub addr: SocketAddr,
    _server: Server,
}

impl Advice {
    /// Starts the service. It allows the workers for which `allows` holds.
    pub async fn start(
        tickets: &Tickets,
        record: &Record,
        allows: impl Fn(&str) -> bool + Clone + Send + Sync + 'static,
    ) -> Self {
        let (tickets, record) = (tickets.clone(), record.clone());
        let server = serve::serve(serve::any_port(), move |req| {
            let (tickets, record, allows) = (tickets.clone(), record.clone(), allows.clone());
            async move {
                let body = serve::read_body(req.into_body()).await?;
                let call: Call = serde_json::from_slice(&body).ok()?;
                let ms = DECISION_MS as f64 + PERIOD_MS * call.workers.len() as f64;
                tokio::time::sleep(Duration::from_millis(ms as u64)).await;
                let allowed = call.workers.iter().filter(|w| allows(w));
                let allowed: Vec<Value> = allowed
                    .map(|w| json!([w, tickets.issue(&call.phase, w)]))
                    .collect();
                record.line(&format!(
                    "advice for {}: {} of {} workers",
                    call.phase,
                    allowed.len(),
                    call.workers.len()
                ));
                Some(response(
                    StatusCode::OK,
                    json!({"allowed": allowed}).to_string(),
                ))
            }
        });
        let server = server.await.expect("a free port");
        Self {
            addr: server.addr,
            _server: server,
        }
    }
}
