//! Start and shutdown of an entry: its listeners, its control thread and its background tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::notice::Notice;
use monsoonnotch_core::reducer;
use monsoonnotch_core::timing::Timing;
use monsoonnotch_ingress::limits::MIB;
use monsoonnotch_peer::link;
use monsoonnotch_platform::prelude::LogClient;
use monsoonnotch_platform::prelude::VmsClient;
use monsoonnotch_platform::prelude::WorkerClient;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::callers;
use crate::clock::Clock;
use crate::control;
use crate::control::Environment;
use crate::control::Inbox;
use crate::ingress::Listeners;
use crate::logs;
use crate::measure;
use crate::operators;
use crate::settings::Settings;

/// Shortest time for which a stopping entry still accepts connections, so that the load balancer
/// notices that the entry is not ready.
const READINESS_GRACE: Duration = Duration::from_secs(1);
/// Part of the memory that jobs may take, as a divisor.
const JOBS_MEMORY_DIVISOR: u64 = 4;
/// Part of the shutdown timeout that is reserved for closing connections.
const CONNECTION_CLOSE_RESERVE: Duration = Duration::from_secs(2);

/// The addresses that an entry listens on, with the actual ports.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// The callers' listener.
    pub callers: SocketAddr,
    /// The operators' listener.
    pub operators: SocketAddr,
    /// The peers' listener.
    pub peers: SocketAddr,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    addrs: Addresses,
    inbox: Inbox,
    rt: Runtime,
    control: JoinHandle<()>,
    control_ended: oneshot::Receiver<()>,
    shared: Arc<callers::Shared>,
    stop_callers: watch::Sender<bool>,
    callers: tokio::task::JoinHandle<()>,
    shutdown: Duration,
}

/// Installs the metrics recorder of the process.
///
/// Returns `None` when a recorder is already installed.
pub fn set_up_metrics() -> Option<PrometheusHandle> {
    measure::set_up()
}

impl Entry {
    /// Starts an entry on a new `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener cannot be bound, the runtime cannot be built or the hash
    /// of the operators' token is not valid.
    pub fn start(settings: Settings, metrics: Option<PrometheusHandle>) -> std::io::Result<Self> {
        let rt = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.entry.threads)
            .enable_all()
            .build()?;
        let listeners = rt.block_on(async { Listeners::bind(&settings) })?;
        let addrs = listeners.addrs()?;
        logs::log_notice(&Notice::Listening {
            callers: addrs.callers.to_string().into(),
            operators: addrs.operators.to_string().into(),
            peers: addrs.peers.to_string().into(),
        });
        let clock = Clock::default();
        let ready = Arc::new(AtomicBool::new(false));
        let (inbox, rx) = control::inbox();
        let environment = environment(&settings, clock, &rt, &ready);
        let reducer_settings = reducer_settings(&settings, &addrs);
        let (control, control_ended) =
            control::start(reducer_settings, environment, inbox.clone(), rx);
        let (stop_callers, stop) = watch::channel(false);
        let shutdown = Duration::from_millis(settings.timing.shutdown_ms);
        let shared = callers::Shared::new(settings.clone(), clock, inbox.clone(), ready.clone());
        let shared = Arc::new(shared);
        let operators_shared = Arc::new(operators::Shared {
            inbox: inbox.clone(),
            ready,
            addr: addrs.operators.to_string().into(),
            token: KeyHash::from_hex(&settings.operators.token_sha256).ok_or(
                std::io::Error::other("'token_sha256' is not a valid SHA-256"),
            )?,
            metrics,
        });
        let callers = rt.spawn(callers::serve(listeners.callers, Arc::clone(&shared), stop));
        rt.spawn(operators::serve(listeners.operators, operators_shared));
        let peers = inbox.clone();
        rt.spawn(link::accept(listeners.peers, move |f| {
            peers.send_peer_message(f.from, f.to, f.msg);
        }));
        rt.spawn(poll_vms(settings, inbox.clone()));
        Ok(Self {
            addrs,
            inbox,
            rt,
            control,
            control_ended,
            shared,
            stop_callers,
            callers,
            shutdown,
        })
    }

    /// Returns the addresses that the entry listens on.
    pub fn addrs(&self) -> Addresses {
        self.addrs
    }

    /// Returns the runtime that carries the entry's traffic.
    pub fn runtime(&self) -> &Runtime {
        &self.rt
    }

    /// Shuts down gracefully within the shutdown timeout of the settings.
    ///
    /// The entry starts no new work, transfers its holdings to other members and finishes the
    /// requests in progress.
    pub fn stop(mut self) {
        let rt = self.rt.handle().clone();
        let deadline = Instant::now() + self.shutdown;
        let cut = rt.block_on(self.finish(deadline));
        if cut > 0 {
            logs::log_notice(&Notice::StopTimeout(cut));
        }
        self.inbox.kill();
        logs::log_notice(&Notice::Stopped);
        self.rt.shutdown_background();
    }

    /// Finishes the work in progress; returns how many connections are still open at the
    /// deadline.
    async fn finish(&mut self, deadline: Instant) -> u32 {
        // The reducer's first effect after this event marks the entry as not ready.
        self.inbox.send_event(Event::Stop);
        self.shared.stopping.store(true, Ordering::Relaxed);
        let closing = deadline - CONNECTION_CLOSE_RESERVE.min(self.shutdown / 2);
        // The load balancer sends requests here until it has polled the readiness again.
        let readiness_grace =
            tokio::time::sleep_until(closing.min(Instant::now() + READINESS_GRACE));
        let _ = timeout_at(closing, &mut self.control_ended).await;
        readiness_grace.await;
        let _ = self.stop_callers.send(true);
        match timeout_at(deadline, &mut self.callers).await {
            Ok(_) => 0,
            Err(_) => u32::try_from(self.stop_callers.receiver_count()).unwrap_or(u32::MAX),
        }
    }

    /// Stops at once without any cleanup, as if the process had been killed.
    pub fn kill(self) {
        self.inbox.kill();
        self.rt.shutdown_background();
        let _ = self.control.join();
    }
}

fn environment(
    settings: &Settings,
    clock: Clock,
    rt: &Runtime,
    ready: &Arc<AtomicBool>,
) -> Environment {
    let timeout = Duration::from_millis(settings.timing.platform_timeout_ms);
    Environment {
        clock,
        rt: rt.handle().clone(),
        log: LogClient::new(&settings.platform.log.to_string(), timeout),
        workers: WorkerClient::new(timeout),
        ready: Arc::clone(ready),
    }
}

fn reducer_settings(settings: &Settings, addrs: &Addresses) -> reducer::Settings {
    reducer::Settings {
        me: MemberId(rand::random()),
        domain: settings.entry.failure_domain.clone(),
        addr: addrs.peers.to_string().into(),
        timing: Timing::default(),
        queue_max: settings.limits.queue,
        jobs_memory: settings.limits.memory_mib * MIB / JOBS_MEMORY_DIVISOR,
        snapshot_every: settings.timing.snapshot_every,
        policy: reducer::Policy::default(),
    }
}

/// Polls the platform's list of VMs forever. A failed poll is skipped until the next interval.
async fn poll_vms(settings: Settings, inbox: Inbox) {
    let timeout = Duration::from_millis(settings.timing.platform_timeout_ms);
    let vms = VmsClient::new(&settings.platform.vms.to_string(), timeout);
    let mut interval = tokio::time::interval(Duration::from_millis(settings.timing.vms_ms));
    loop {
        interval.tick().await;
        if let Ok(list) = vms.list().await {
            inbox.send_event(Event::Vms(list));
        }
    }
}
