//! Starts the listeners and tasks of a member, handles signals, and shuts down gracefully.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics_exporter_prometheus::PrometheusBuilder;
use monsoonnotch_adapter::caller_api;
use monsoonnotch_adapter::caller_api::Reply;
use monsoonnotch_adapter::operator_api;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;

use crate::config;
use crate::control;
use crate::cx::Cx;
use crate::executor;
use crate::ingress;
use crate::ingress::Listeners;
use crate::leadership;
use crate::links;
use crate::links::Followers;
use crate::links::LeaderContact;
use crate::requests;
use crate::settings::Settings;
use crate::term;

/// How long the store may be unavailable before this member reports itself as not ready.
/// Requests should then go to members that can reach the store.
const UNREADY_AFTER: Duration = Duration::from_millis(600);
/// Time after SIGTERM in which requests still arrive: the load balancer checks readiness
/// each second and removes a member after the second failed check.
const LINGER: Duration = Duration::from_millis(2_300);
/// Time that the process leaves between its own exit and SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Interval between checks whether the shutdown is complete.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a member until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the address for links or for callers cannot be bound, or when the control
/// thread ends.
pub(crate) async fn run(settings: Settings) -> std::io::Result<()> {
    let member = settings.member.clone();
    log::info!(event = "start", name = member.name.as_str(), domain = member.domain.as_str(), version = env!("CARGO_PKG_VERSION"); "starting");
    let (inbox, control_rx) = control::inbox();
    let (submissions, submissions_rx) = mpsc::unbounded_channel();
    let cx = Arc::new(Cx::new(settings, inbox.clone(), submissions));
    tokio::spawn(requests::appender::run(Arc::clone(&cx), submissions_rx));
    let listeners = Listeners::bind(&member, &cx.budgets)?;
    serve_operators(member.metrics, &cx);
    let (outputs, outputs_rx) = mpsc::unbounded_channel();
    let tuning = cx.settings.scheduler_tuning();
    control::start(control_rx, &inbox, cx.clock, tuning, move |out| {
        outputs.send(out).is_ok()
    });
    let (term_requests, term_requests_rx) = mpsc::unbounded_channel();
    let followers = Arc::new(Followers::default());
    let contact = Arc::new(LeaderContact::default());
    // It ends with the control thread.
    let control = tokio::spawn(executor::run(Arc::clone(&cx), outputs_rx, term_requests));
    tokio::spawn(term::run(
        Arc::clone(&cx),
        Arc::clone(&followers),
        term_requests_rx,
    ));
    tokio::spawn(links::accept_followers(
        Arc::clone(&cx),
        listeners.links,
        followers,
        Arc::clone(&contact),
    ));
    tokio::spawn(links::keep_leader_link(
        Arc::clone(&cx),
        Arc::clone(&contact),
    ));
    tokio::spawn(leadership::run(Arc::clone(&cx), contact));
    tokio::spawn(config::follow(Arc::clone(&cx)));
    let ready_cx = Arc::clone(&cx);
    tokio::spawn(caller_api::serve_ready(listeners.readiness, move || {
        is_ready(&ready_cx)
    }));
    let handler_cx = Arc::clone(&cx);
    let stop = cx.stopping.subscribe();
    let handler = move |request| requests::handle(Arc::clone(&handler_cx), request);
    tokio::spawn(caller_api::serve(listeners.callers, stop, handler));
    tokio::select! {
        () = wait_for_stop_signal() => {
            shut_down(&cx).await;
            Ok(())
        }
        // A member that schedules nothing must not remain the leader.
        _ = control => {
            log::error!(event = "control ended"; "the control thread ended unexpectedly; the process exits so that it is started again");
            Err(std::io::Error::other("the control thread ended unexpectedly; see the log"))
        }
    }
}

fn is_ready(cx: &Cx) -> bool {
    let configured = cx.config.borrow().is_some();
    configured && !cx.is_stopping() && cx.store_unavailable_for() < UNREADY_AFTER
}

/// Records the reply to a request and the time that it took in the metrics.
pub(crate) fn count_request(verb: &'static str, reply: &Reply, elapsed: Duration) {
    let reply = match reply {
        Reply::Stored => "stored",
        Reply::State(_) | Reply::Pending(_) => "told",
        Reply::NoJob => "no_job",
        Reply::NoQueue => "no_queue",
        Reply::NoKey => "no_key",
        Reply::NotOwner => "not_owner",
        Reply::Invalid => "invalid",
        Reply::TooLarge => "too_large",
        Reply::TooSlow => "too_slow",
        Reply::NotRun { .. } => "not_run",
        Reply::MayHaveRun => "may_have_run",
    };
    metrics::counter!("monsoonnotch_calls_total", "verb" => verb, "reply" => reply).increment(1);
    metrics::histogram!("monsoonnotch_call_seconds", "verb" => verb).record(elapsed.as_secs_f64());
}

/// Serves the metrics, and operators' questions where a job would go.
fn serve_operators(addr: std::net::SocketAddr, cx: &Arc<Cx>) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!(event = "metrics unavailable"; "another metrics recorder is already installed");
    }
    let listener = match ingress::bind_operators(addr, &cx.budgets) {
        Ok(listener) => listener,
        Err(e) => {
            log::warn!(event = "metrics unavailable", error = e.to_string(); "cannot serve metrics");
            return;
        }
    };
    let cx = Arc::clone(cx);
    let explain = move |question| requests::explain::answer(Arc::clone(&cx), question);
    tokio::spawn(operator_api::serve(
        listener,
        move || handle.render(),
        explain,
    ));
}

/// Waits for SIGTERM or SIGINT.
///
/// SIGHUP only writes a log line, because settings are not reloaded.
async fn wait_for_stop_signal() {
    let handler = |kind| signal(kind).expect("a signal handler can be set");
    let mut term = handler(SignalKind::terminate());
    let mut int = handler(SignalKind::interrupt());
    let mut hup = handler(SignalKind::hangup());
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = int.recv() => return,
            _ = hup.recv() => log::info!(event = "reload"; "SIGHUP ignored: settings are not reloaded; restart the process to change them"),
        }
    }
}

/// Waits until the open requests are answered and another member is the leader, or until
/// SIGKILL is near.
async fn shut_down(cx: &Cx) {
    let began = Instant::now();
    log::info!(event = "shutdown started", open = cx.open_requests.load(Ordering::Relaxed); "shutting down");
    cx.stopping.send_replace(true);
    let time_limit = cx.settings.grace().saturating_sub(KILL_MARGIN);
    loop {
        let open = cx.open_requests.load(Ordering::Relaxed);
        let held = cx.own_token().is_some();
        let elapsed = began.elapsed();
        if elapsed >= time_limit || (elapsed >= LINGER.min(time_limit) && open == 0 && !held) {
            log::info!(event = "shutdown finished", open = open, held = held; "shut down");
            return;
        }
        tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
}
