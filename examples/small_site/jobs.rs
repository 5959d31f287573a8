//! The submitted jobs: batches, gangs and long-lived services.

use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::site::Site;
use crate::site::TEAMS;

/// Interval between two gangs, in seconds.
const GANG_INTERVAL_S: u64 = 3;

/// An accepted job.
#[derive(Debug)]
struct Accepted {
    id: String,
    service: bool,
    ended: bool,
}

/// All accepted jobs.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    accepted: Vec<Accepted>,
}

impl Jobs {
    /// Submits the jobs of one second of the run: a batch, every third second a gang, and a
    /// service in each of the first three seconds.
    pub(crate) fn submit(&mut self, site: &Site, second: u64) {
        let team = TEAMS[(second % 5) as usize].0;
        let batch = json!({
            "team": team, "profile": "bundle", "count": 8, "command": "run:300", "run_ms": 300,
        });
        self.send(site, &batch, false);
        if second % GANG_INTERVAL_S == 1 {
            let gang = json!({
                "team": "halls", "profile": "together", "count": 12, "command": "run:400",
                "run_ms": 400,
            });
            self.send(site, &gang, false);
        }
        if second < 3 {
            let service = json!({
                "team": team, "profile": "watch", "count": 2, "command": "forever",
            });
            self.send(site, &service, true);
        }
    }

    /// Returns the number of accepted jobs.
    pub(crate) fn submitted(&self) -> usize {
        self.accepted.len()
    }

    /// Cancels the services, which do not end by themselves.
    pub(crate) fn cancel_services(&mut self, site: &Site) {
        for job in self.accepted.iter().filter(|j| j.service) {
            let path = format!("/v1/jobs/{}", job.id);
            let cancelled = (0..50).any(|_| {
                let done = site
                    .send_to_any(Method::DELETE, &path, &Value::Null)
                    .is_some();
                if !done {
                    std::thread::sleep(std::time::Duration::from_millis(200));
                }
                done
            });
            if !cancelled {
                eprintln!("small_site: job {} cannot be cancelled", job.id);
            }
        }
    }

    /// Queries the open jobs and returns whether all accepted jobs have ended: batches and gangs
    /// as done, services as done or cancelled.
    pub(crate) fn all_ended(&mut self, site: &Site) -> bool {
        for job in self.accepted.iter_mut().filter(|j| !j.ended) {
            let path = format!("/v1/jobs/{}", job.id);
            let status = site.send_to_any(Method::GET, &path, &Value::Null);
            let phase = status.map(|s| s["phase"].clone());
            job.ended = phase.is_some_and(|p| p == "done" || (job.service && p == "cancelled"));
        }
        self.accepted.iter().all(|j| j.ended)
    }

    /// Returns the number of accepted jobs that have not ended, and prints each of them.
    pub(crate) fn unfinished(&self) -> usize {
        let open = self.accepted.iter().filter(|j| !j.ended);
        open.inspect(|j| eprintln!("small_site: job {} did not end", j.id))
            .count()
    }

    fn send(&mut self, site: &Site, body: &Value, service: bool) {
        let answer = site.send_to_any(Method::POST, "/v1/jobs", body);
        let id = answer.and_then(|a| a["id"].as_str().map(str::to_owned));
        if let Some(id) = id {
            let ended = false;
            self.accepted.push(Accepted { id, service, ended });
        }
    }
}
