//! The process: listeners, tasks, signals, and a graceful shutdown.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics_exporter_prometheus::PrometheusBuilder;
use monsoonnotch_adapter::caller_api;
use monsoonnotch_adapter::caller_api::Reply;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;

use crate::config;
use crate::control;
use crate::cx::Cx;
use crate::executor;
use crate::leadership;
use crate::links;
use crate::links::Guests;
use crate::links::Heard;
use crate::requests;
use crate::settings::Settings;
use crate::term;

/// Failure of the store here after which no calls are taken: what other members
/// can store should go to them.
const UNREADY_AFTER: Duration = Duration::from_millis(600);
/// Time after SIGTERM in which calls still come: the balancer asks each second
/// and believes the second answer.
const LINGER: Duration = Duration::from_millis(2_300);
/// Time before SIGKILL by which the process ends.
const END_BEFORE: Duration = Duration::from_millis(700);
/// Pause between looks at whether the shutdown is complete.
const TICK: Duration = Duration::from_millis(50);

/// Runs a member until it is told to stop.
///
/// # Errors
///
/// When an address cannot be listened on.
pub(crate) async fn run(settings: Settings) -> std::io::Result<()> {
    let member = settings.member.clone();
    log::info!(event = "start", name = member.name.as_str(), domain = member.domain.as_str(), version = env!("CARGO_PKG_VERSION"); "starting");
    let (inbox, control_rx) = control::inbox();
    let (submit, submit_rx) = mpsc::unbounded_channel();
    let cx = Arc::new(Cx::new(settings, inbox, submit));
    tokio::spawn(requests::submit::run(Arc::clone(&cx), submit_rx));
    let peers = TcpListener::bind(member.peers).await?;
    let callers = TcpListener::bind(member.callers).await?;
    serve_metrics(member.metrics);
    let (fx, fx_rx) = mpsc::unbounded_channel();
    let tuning = cx.settings.holder_tuning();
    control::start(control_rx, cx.clock, tuning, move |out| {
        fx.send(out).is_ok()
    });
    let (for_term, term_rx) = mpsc::unbounded_channel();
    let guests = Arc::new(Guests::default());
    let heard = Arc::new(Heard::default());
    tokio::spawn(executor::run(Arc::clone(&cx), fx_rx, for_term));
    tokio::spawn(term::run(Arc::clone(&cx), Arc::clone(&guests), term_rx));
    tokio::spawn(links::accept(
        Arc::clone(&cx),
        peers,
        guests,
        Arc::clone(&heard),
    ));
    tokio::spawn(links::keep(Arc::clone(&cx), Arc::clone(&heard)));
    tokio::spawn(leadership::run(Arc::clone(&cx), heard));
    tokio::spawn(config::follow(Arc::clone(&cx)));
    let ready = Arc::clone(&cx);
    tokio::spawn(caller_api::serve_ready(member.readiness, move || {
        is_ready(&ready)
    }));
    let answers = Arc::clone(&cx);
    let stop = cx.stopping.subscribe();
    let answer = move |call| requests::answer(Arc::clone(&answers), call);
    tokio::spawn(caller_api::serve(callers, stop, answer));
    until_stop().await;
    shut_down(&cx).await;
    Ok(())
}

fn is_ready(cx: &Cx) -> bool {
    let configured = cx.site.borrow().is_some();
    configured && !cx.is_stopping() && cx.store_lost_for() < UNREADY_AFTER
}

/// Counts a call that was answered, and how long that took.
pub(crate) fn count_call(verb: &'static str, reply: &Reply, took: Duration) {
    let reply = match reply {
        Reply::Stored => "stored",
        Reply::State(_) | Reply::Pending(_) => "told",
        Reply::NoJob => "no_job",
        Reply::NoQueue => "no_queue",
        Reply::NoKey => "no_key",
        Reply::Invalid => "invalid",
        Reply::NotRun { .. } => "not_run",
        Reply::MayHaveRun => "may_have_run",
    };
    metrics::counter!("monsoonnotch_calls_total", "verb" => verb, "reply" => reply).increment(1);
    metrics::histogram!("monsoonnotch_call_seconds", "verb" => verb).record(took.as_secs_f64());
}

fn serve_metrics(addr: std::net::SocketAddr) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!(event = "no metrics"; "metrics are recorded elsewhere already");
    }
    tokio::spawn(async move {
        let served = caller_api::serve_text(addr, move || handle.render()).await;
        if let Err(e) = served {
            log::warn!(event = "no metrics", error = e.to_string(); "metrics cannot be served");
        }
    });
}

/// Waits for SIGTERM or SIGINT; SIGHUP asks for settings that may have changed.
async fn until_stop() {
    let handler = |kind| signal(kind).expect("a signal handler can be set");
    let mut term = handler(SignalKind::terminate());
    let mut int = handler(SignalKind::interrupt());
    let mut hup = handler(SignalKind::hangup());
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = int.recv() => return,
            _ = hup.recv() => log::info!(event = "reload"; "SIGHUP: the settings in use stay; addresses need a restart"),
        }
    }
}

/// Answers what is open, hands the jobs over, and ends.
async fn shut_down(cx: &Cx) {
    let began = Instant::now();
    log::info!(event = "stop begins", open = cx.open_calls.load(Ordering::Relaxed); "stopping");
    cx.stopping.send_replace(true);
    let last = cx.settings.grace().saturating_sub(END_BEFORE);
    loop {
        let open = cx.open_calls.load(Ordering::Relaxed);
        let held = cx.own_token().is_some();
        let took = began.elapsed();
        if took >= last || (took >= LINGER.min(last) && open == 0 && !held) {
            log::info!(event = "stop", open = open, held = held; "stopped");
            return;
        }
        tokio::time::sleep(TICK).await;
    }
}
