//! When a leader hands leadership over to a follower, and to which one.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::fitness;

use crate::cx::Cx;
use crate::leadership;
use crate::links;
use crate::links::Followers;
use crate::links::Frame;
use crate::requests::appender;

/// Minimum length of a term before a handover to a fitter follower, so that leadership moves only
/// once.
const TERM_MIN: Duration = Duration::from_millis(1_500);
/// How long the store may leave the leader without an answer before followers probe it.
const PROBE_AFTER: Duration = Duration::from_millis(150);
/// Interval between requests for probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of followers that probe the store.
const PROBES_MAX: usize = 3;

/// The handover checks of a leader term.
#[derive(Debug)]
pub(super) struct Handover {
    term_began: Instant,
    probed_at: Option<Instant>,
}

/// Why a leader hands over. Written to the log through `Debug`.
#[derive(Debug, Clone, Copy)]
enum Cause {
    /// The process is stopping.
    Stopping,
    /// The leader does not reach the store, but the follower does.
    StoreLost,
    /// The leader is not fit for the fleet, and the follower is fitter.
    Unfit,
}

impl Default for Handover {
    fn default() -> Self {
        Self {
            term_began: Instant::now(),
            probed_at: None,
        }
    }
}

impl Handover {
    /// Requests probes of the store if it does not answer, and a handover if there is a cause.
    pub(super) fn check(&mut self, cx: &Arc<Cx>, followers: &Followers, token: u64) {
        self.request_probes(cx, followers, token);
        let own = fitness::to_lead(&cx.settings.capacity(), cx.fleet_size());
        let Some((cause, link, follower)) = self.cause(cx, followers, own) else {
            return;
        };
        log::info!(event = "handover requested", token = token, cause = format!("{cause:?}"), fitness = own, follower_fitness = follower, vms = cx.fleet_size(), store_lost_ms = cx.store_unavailable_for().as_millis() as u64; "requested that a follower claim leadership");
        // The request is repeated at each check until a newer claim is observed.
        let _ = cx.send_to_follower(ApprovalSlotKey(link), Frame::Claim);
    }

    /// Returns the cause of a handover, and the link and the fitness of the follower.
    fn cause(&self, cx: &Cx, followers: &Followers, own: f64) -> Option<(Cause, u64, f64)> {
        let vms = cx.fleet_size();
        let lost = cx.store_unavailable_for();
        if lost > leadership::HANDOVER_AFTER {
            let probed = followers.with_quick_probe(vms, Instant::now() - lost);
            if let Some(&(link, fitness)) = probed.first() {
                return Some((Cause::StoreLost, link, fitness));
            }
        }
        let &(link, fitness) = followers.by_fitness(vms).first()?;
        if cx.is_stopping() {
            return Some((Cause::Stopping, link, fitness));
        }
        let unfit = self.term_began.elapsed() > TERM_MIN && fitness::hands_over(own, fitness);
        unfit.then_some((Cause::Unfit, link, fitness))
    }

    fn request_probes(&mut self, cx: &Arc<Cx>, followers: &Followers, token: u64) {
        let recent = |at: Instant| at.elapsed() < PROBE_INTERVAL;
        if cx.store_unavailable_for() < PROBE_AFTER || self.probed_at.is_some_and(recent) {
            return;
        }
        self.probed_at = Some(Instant::now());
        // Requests under way may still be slow when the store is back.
        let own_cx = Arc::clone(cx);
        tokio::spawn(async move { appender::probe_store(&own_cx).await });
        let fittest = followers.by_fitness(cx.fleet_size());
        for (link, _) in fittest.into_iter().take(PROBES_MAX) {
            let frame = links::heartbeat(cx, followers, token, true);
            // A follower whose link is closed probes nothing.
            let _ = cx.send_to_follower(ApprovalSlotKey(link), frame);
        }
    }
}
