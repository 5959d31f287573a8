//! Bundles, all-at-once jobs and watches.

use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::site::Site;
use crate::site::TEAMS;

/// Seconds between two all-at-once jobs.
const TOGETHER_EVERY: u64 = 3;

/// A job that was accepted.
#[derive(Debug)]
struct Accepted {
    id: String,
    watch: bool,
    ended: bool,
}

/// All jobs that were accepted.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    accepted: Vec<Accepted>,
}

impl Jobs {
    /// Submits what is due in a second.
    pub(crate) fn submit(&mut self, site: &Site, second: u64) {
        let team = TEAMS[(second % 5) as usize].0;
        let bundle = json!({
            "team": team, "profile": "bundle", "count": 8, "command": "run:300", "run_ms": 300,
        });
        self.send(site, &bundle, false);
        if second % TOGETHER_EVERY == 1 {
            let together = json!({
                "team": "halls", "profile": "together", "count": 12, "command": "run:400",
                "run_ms": 400,
            });
            self.send(site, &together, false);
        }
        if second < 3 {
            let watch = json!({
                "team": team, "profile": "watch", "count": 2, "command": "forever",
            });
            self.send(site, &watch, true);
        }
    }

    /// Number of accepted jobs.
    pub(crate) fn submitted(&self) -> usize {
        self.accepted.len()
    }

    /// Cancels what has no end of its own.
    pub(crate) fn cancel_watches(&mut self, site: &Site) {
        for job in self.accepted.iter().filter(|j| j.watch) {
            let path = format!("/v1/jobs/{}", job.id);
            let cancelled = (0..50).any(|_| {
                let done = site.ask(Method::DELETE, &path, &Value::Null).is_some();
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

    /// Whether all accepted jobs have ended.
    pub(crate) fn all_ended(&mut self, site: &Site) -> bool {
        for job in self.accepted.iter_mut().filter(|j| !j.ended) {
            let path = format!("/v1/jobs/{}", job.id);
            let status = site.ask(Method::GET, &path, &Value::Null);
            let phase = status.map(|s| s["phase"].clone());
            job.ended = phase.is_some_and(|p| p == "done" || (job.watch && p == "cancelled"));
        }
        self.accepted.iter().all(|j| j.ended)
    }

    /// Accepted jobs that have not come to their proper end.
    pub(crate) fn unfinished(&self) -> usize {
        let open = self.accepted.iter().filter(|j| !j.ended);
        open.inspect(|j| eprintln!("small_site: job {} did not end", j.id))
            .count()
    }

    fn send(&mut self, site: &Site, body: &Value, watch: bool) {
        let answer = site.ask(Method::POST, "/v1/jobs", body);
        let id = answer.and_then(|a| a["id"].as_str().map(str::to_owned));
        if let Some(id) = id {
            let ended = false;
            self.accepted.push(Accepted { id, watch, ended });
        }
    }
}
