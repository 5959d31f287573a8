//! A follower's end of its link to the leader.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use futures_util::StreamExt;
use monsoonnotch_adapter::approval;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_tungstenite::WebSocketStream;

use super::FRAME_QUEUE_MAX;
use super::Frame;
use super::QueuedFrame;
use super::StoreResult;
use super::decode_frame;
use super::is_control_message;
use super::send_frame;
use super::socket_config;
use crate::cx::Cx;
use crate::cx::Leadership;
use crate::cx::lock;
use crate::evacuation;
use crate::executor::OrderExecutor;
use crate::leadership;
use crate::requests::appender;

/// Longest time for connecting with handshake: about a hundred times the latency between failure
/// domains.
const DIAL_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause between attempts to connect.
const DIAL_PAUSE: Duration = Duration::from_millis(60);

/// A follower's connection to the leader.
type Socket = WebSocketStream<TcpStream>;

/// How recently the leader has responded, and whether it requests a handover.
#[derive(Debug)]
pub(crate) struct LeaderContact {
    state: Mutex<State>,
    /// Turns true when the leader requests that this member claim leadership.
    pub(crate) claim_requested: watch::Sender<bool>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    /// Time of the last heartbeat or of the last call of [`LeaderContact::reset`].
    last_contact: Instant,
    /// Number of consecutive refused connections, which show that the leader's process is not
    /// running.
    refused_dials: u32,
}

impl Default for LeaderContact {
    fn default() -> Self {
        let state = State {
            last_contact: Instant::now(),
            refused_dials: 0,
        };
        Self {
            state: Mutex::new(state),
            claim_requested: watch::Sender::new(false),
        }
    }
}

impl LeaderContact {
    /// Returns how long the leader has been unresponsive.
    pub(crate) fn unresponsive_for(&self) -> Duration {
        lock(&self.state).last_contact.elapsed()
    }

    /// Returns the number of consecutive refused connections to the leader.
    pub(crate) fn refused_dials(&self) -> u32 {
        lock(&self.state).refused_dials
    }

    /// Counts the leader as responsive from now on: it sent a heartbeat, another member became the
    /// leader, or this process was paused.
    pub(crate) fn reset(&self) {
        let mut state = lock(&self.state);
        state.last_contact = Instant::now();
        state.refused_dials = 0;
    }

    fn count_refused_dial(&self) {
        lock(&self.state).refused_dials += 1;
    }
}

/// Keeps a link to the leader while another member is the leader.
pub(crate) async fn keep_leader_link(cx: Arc<Cx>, contact: Arc<LeaderContact>) {
    let mut rx = cx.leadership.subscribe();
    loop {
        let leadership = rx.borrow_and_update().clone();
        let other = leadership.filter(|h| h.claim.boot != cx.boot);
        let Some(leadership) = other else {
            if rx.changed().await.is_err() {
                return;
            }
            continue;
        };
        let socket = tokio::select! {
            socket = connect(&cx, &leadership, &contact) => socket,
            _ = rx.changed() => continue,
        };
        if let Some(socket) = socket {
            run_link(&cx, &leadership, &contact, &mut rx, socket).await;
            *lock(&cx.leader_link) = None;
            cx.store_requests.cancel_all();
        }
        if rx.borrow().as_ref() != Some(&leadership) {
            continue;
        }
        tokio::select! {
            () = query_peers(&cx, &leadership, &contact) => tokio::time::sleep(DIAL_PAUSE).await,
            _ = rx.changed() => {}
        }
    }
}

/// Queries a random known member for a newer claim than `leadership`, whose leader cannot be
/// reached.
///
/// Does nothing while the store responds to this member, because the newer claim is read from
/// there.
async fn query_peers(cx: &Cx, leadership: &Leadership, contact: &LeaderContact) {
    if cx.store_unavailable_for().is_zero() {
        return;
    }
    let peers: Vec<CompactString> = lock(&cx.peer_addrs).iter().cloned().collect();
    if peers.is_empty() {
        return;
    }
    let addr = &peers[rand::random_range(0..peers.len())];
    let exchange = async {
        let mut socket = dial(addr).await.ok()?;
        let hello = hello(cx, leadership);
        let sent = send_frame(&mut socket, &hello).await;
        sent.then_some(())?;
        decode_frame(&socket.next().await?.ok()?)
    };
    if let Ok(Some(Frame::Newer(newer))) = tokio::time::timeout(DIAL_TIMEOUT, exchange).await {
        leadership::observe(cx, contact, newer, "a member");
    }
}

fn hello(cx: &Cx, leadership: &Leadership) -> Frame {
    Frame::Hello {
        token: leadership.token,
        name: cx.settings.member.name.clone(),
        addr: cx.settings.member.peers.to_string().into(),
        cores: cx.settings.member.cores,
        domain: cx.settings.member.domain.clone(),
        capacity: Some(cx.settings.capacity()),
    }
}

/// Connects to the leader and sends the hello frame; returns `None` on failure.
async fn connect(cx: &Cx, leadership: &Leadership, contact: &LeaderContact) -> Option<Socket> {
    let dialled = tokio::time::timeout(DIAL_TIMEOUT, dial(&leadership.claim.addr)).await;
    let mut socket = match dialled {
        Ok(Ok(socket)) => socket,
        Ok(Err(refused)) => {
            if refused {
                contact.count_refused_dial();
            }
            return None;
        }
        Err(_) => return None,
    };
    let hello = hello(cx, leadership);
    let sent = send_frame(&mut socket, &hello).await;
    sent.then_some(socket)
}

/// Exchanges frames with the leader until the link fails or a newer claim is observed.
async fn run_link(
    cx: &Arc<Cx>,
    leadership: &Leadership,
    contact: &LeaderContact,
    leadership_rx: &mut watch::Receiver<Option<Leadership>>,
    mut socket: Socket,
) {
    let (tx, mut out) = mpsc::channel(FRAME_QUEUE_MAX);
    let mut orders = OrderExecutor::new(tx.clone());
    let mut heartbeats = tokio::time::interval(Duration::from_millis(cx.settings.tuning.beat_ms));
    let suspect_after = Duration::from_millis(cx.settings.tuning.suspect_ms);
    let mut last_received = Instant::now();
    let mut evacuations_rx = cx.evacuations.subscribe();
    if !evacuations_rx.borrow().domains.is_empty() {
        evacuations_rx.mark_changed();
    }
    loop {
        let open = tokio::select! {
            frame = out.recv() => match frame {
                Some(queued) => send_frame(&mut socket, &queued.frame).await,
                None => false,
            },
            _ = heartbeats.tick() => {
                let frame = heartbeat(cx, None);
                last_received.elapsed() < suspect_after && send_frame(&mut socket, &frame).await
            }
            msg = socket.next() => match msg {
                Some(Ok(msg)) => {
                    last_received = Instant::now();
                    match decode_frame(&msg) {
                        Some(Frame::Orders(batch)) => {
                            batch.token == leadership.token && orders.execute(cx, batch)
                        }
                        Some(frame) => {
                            handle_frame(cx, leadership, contact, &tx, frame);
                            true
                        }
                        None => is_control_message(&leadership.claim.name, &msg),
                    }
                }
                _ => false,
            },
            _ = evacuations_rx.changed() => {
                let frame = Frame::Evacuations(evacuations_rx.borrow_and_update().clone());
                send_frame(&mut socket, &frame).await
            }
            _ = leadership_rx.changed() => {
                let newer = leadership_rx.borrow().clone();
                if let Some(newer) = newer {
                    // The link is closed in any case, so a failure to send does not matter.
                    send_frame(&mut socket, &Frame::Newer(newer)).await;
                }
                false
            }
        };
        if !open {
            break;
        }
    }
    drop(orders);
    cx.vm_client.release_connections();
    log::warn!(event = "leader link lost", holder = leadership.claim.name.as_str(), token = leadership.token; "lost the link to the leader");
}

/// Connects to a member; the error tells whether the connection was refused.
async fn dial(addr: &str) -> Result<Socket, bool> {
    let stream = TcpStream::connect(addr).await;
    let stream = stream.map_err(|e| e.kind() == std::io::ErrorKind::ConnectionRefused)?;
    stream.set_nodelay(true).map_err(|_| false)?;
    let url = format!("ws://{addr}/");
    let config = Some(socket_config());
    let client = tokio_tungstenite::client_async_with_config(url, stream, config).await;
    client.map(|(socket, _)| socket).map_err(|_| false)
}

fn heartbeat(cx: &Cx, probe_ms: Option<u64>) -> Frame {
    Frame::FollowerHeartbeat {
        store: cx.store_unavailable_for().is_zero(),
        config: cx.config.borrow().as_ref().map_or(0, |s| s.version),
        probe_ms,
    }
}

/// Probes the store and reports to the leader how long it took to answer.
async fn probe_for_leader(cx: &Cx, tx: &mpsc::Sender<QueuedFrame>) {
    let began = Instant::now();
    let responded = appender::probe_store(cx).await;
    let took = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    // When the link is closed, the leader no longer waits for the report.
    let report = heartbeat(cx, responded.then_some(took));
    let _ = tx.send(report.into()).await;
}

fn handle_frame(
    cx: &Arc<Cx>,
    leadership: &Leadership,
    contact: &LeaderContact,
    tx: &mpsc::Sender<QueuedFrame>,
    frame: Frame,
) {
    match frame {
        Frame::LeaderHeartbeat {
            token,
            store,
            vms,
            probe,
        } if token == leadership.token => {
            contact.reset();
            cx.set_fleet_size(vms as usize);
            let reached = cx.leader_reaches_store.swap(store, Ordering::Relaxed);
            // Without a probe, a silent store is noticed only when a long read times out.
            if probe || (reached && !store) {
                let (cx, tx) = (Arc::clone(cx), tx.clone());
                tokio::spawn(async move { probe_for_leader(&cx, &tx).await });
            }
            let mut leader_link = lock(&cx.leader_link);
            if leader_link.is_none() {
                log::info!(event = "leader linked", holder = leadership.claim.name.as_str(), token = token; "connected to the leader");
                *leader_link = Some(tx.clone());
            }
        }
        Frame::Explained { seq, explanation } => cx.questions.complete(seq, explanation),
        Frame::Answer { seq, answer } => cx.queries.complete(seq, answer),
        Frame::StoreResult {
            seq,
            outcome,
            turned_away_s,
        } => {
            let result = StoreResult {
                outcome,
                turned_away_s,
            };
            cx.store_requests.complete(seq, result)
        }
        Frame::Approve {
            request,
            stage,
            vms,
        } => {
            let (cx, tx) = (Arc::clone(cx), tx.clone());
            tokio::spawn(async move {
                let addr = &cx.settings.services.approval;
                let allowed = approval::request(&cx.http, addr, &stage, &vms).await;
                // When the link is closed, the leader no longer waits for the response.
                let _ = tx.send(Frame::Approved { request, allowed }.into()).await;
            });
        }
        Frame::Config { value } => crate::config::apply(cx, &value, "the leader"),
        Frame::Evacuations(evacuations) => evacuation::merge(cx, evacuations, "the leader"),
        Frame::Newer(newer) => leadership::observe(cx, contact, newer, "the previous leader"),
        Frame::Peers { addrs } => *lock(&cx.peer_addrs) = addrs.into_iter().collect(),
        Frame::Claim => {
            contact.claim_requested.send_replace(true);
        }
        _ => {
            log::warn!(event = "unexpected frame"; "the leader sent a frame that followers do not handle")
        }
    }
}
