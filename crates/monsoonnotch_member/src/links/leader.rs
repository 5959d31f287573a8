//! The leader's end of the links to its followers.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use futures_util::StreamExt;
use monsoonnotch_ingress::accounts::Turn;
use monsoonnotch_ingress::prelude::Connection;
use monsoonnotch_ingress::prelude::LinkStream;
use monsoonnotch_ingress::prelude::Listener;
use monsoonnotch_jobs::effect::ApprovalRequestKey;
use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::fitness;
use monsoonnotch_jobs::fitness::Capacity;
use monsoonnotch_jobs::journal::KeyedRecord;
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use super::FRAME_QUEUE_MAX;
use super::Frame;
use super::LeaderContact;
use super::MESSAGE_BYTES_MAX;
use super::decode_frame;
use super::is_control_message;
use super::send_frame;
use super::socket_config;
use crate::cx::Cx;
use crate::cx::lock;
use crate::evacuation;
use crate::executor;
use crate::leadership;
use crate::requests::submit;
use crate::requests::submit::Storable;

/// Timeout for the handshake and for the hello frame: a few round trips.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of heartbeat intervals without a frame after which the link to a follower is closed.
const MISSED_HEARTBEATS_MAX: u32 = 8;
/// Interval at which a follower is sent addresses of other members.
const PEERS_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of addresses in one frame: enough that at least one of the members can reach the
/// store.
const PEERS_SENT_MAX: usize = 8;
/// Longest time that a follower may give the leader to store a record.
const WITHIN_MAX: Duration = Duration::from_secs(60);
/// Longest time in which the store answers a probe without delay; it usually takes 4 ms.
const QUICK_PROBE: Duration = Duration::from_millis(100);
/// Time after a follower's answered probe in which the leader's own next probe is answered if the store
/// is back for all; longer than the interval of probes.
const PROBE_LEAD: Duration = Duration::from_millis(300);
/// Number of answered probes that are kept for each follower.
const PROBES_KEPT: usize = 8;

/// A leader's connection to a follower.
type Socket = WebSocketStream<LinkStream>;

/// The followers that are linked to this member.
#[derive(Debug, Default)]
pub(crate) struct Followers {
    by_link: Mutex<BTreeMap<u64, Follower>>,
}

#[derive(Debug)]
struct Follower {
    capacity: Capacity,
    /// Whether the follower can reach the store, according to its last heartbeat.
    reaches_store: bool,
    /// When its last probes of the store were reported that had an answer without delay, and how long
    /// the store took.
    quick_probes: VecDeque<(Instant, Duration)>,
    /// Address for links to the follower, as `ip:port`.
    addr: CompactString,
}

impl Follower {
    /// Whether it sent a probe after `since` that the store answered without delay, long enough ago
    /// that the leader would have an answer as well if the store were back for all.
    fn has_quick_probe(&self, since: Instant) -> bool {
        let counts =
            |&&(at, took): &&(Instant, Duration)| at > since + took && at.elapsed() >= PROBE_LEAD;
        self.quick_probes.iter().find(counts).is_some()
    }

    fn record_probe(&mut self, took: Duration) {
        if took > QUICK_PROBE {
            return;
        }
        if self.quick_probes.len() >= PROBES_KEPT {
            self.quick_probes.pop_front();
        }
        self.quick_probes.push_back((Instant::now(), took));
    }
}

impl Followers {
    /// Returns the link numbers and the fitness to lead `vms` VMs of the followers that reach the
    /// store, the fittest first.
    pub(crate) fn by_fitness(&self, vms: usize) -> Vec<(u64, f64)> {
        self.select(vms, |f| f.reaches_store)
    }

    /// Returns the same of the followers that sent a probe after `since` that the store answered
    /// without delay.
    pub(crate) fn with_quick_probe(&self, vms: usize, since: Instant) -> Vec<(u64, f64)> {
        self.select(vms, |f| f.has_quick_probe(since))
    }

    fn select(&self, vms: usize, allow: impl Fn(&Follower) -> bool) -> Vec<(u64, f64)> {
        let by_link = lock(&self.by_link);
        let allowed = by_link.iter().filter(|(_, f)| allow(f));
        let fitness = allowed.map(|(&link, f)| (link, fitness::to_lead(&f.capacity, vms)));
        let mut fitness: Vec<(u64, f64)> = fitness.collect();
        fitness.sort_by(|a, b| b.1.total_cmp(&a.1));
        fitness
    }

    /// Returns a random sample of the addresses of the other followers.
    fn other_addrs(&self, link: u64) -> Vec<CompactString> {
        let by_link = lock(&self.by_link);
        let others = by_link.iter().filter(|&(&l, _)| l != link);
        let addrs: Vec<&CompactString> = others.map(|(_, f)| &f.addr).collect();
        let sampled = addrs.sample(&mut rand::rng(), PEERS_SENT_MAX);
        sampled.map(|&addr| addr.clone()).collect()
    }
}

/// Accepts links from other members for as long as the process lives.
pub(crate) async fn accept_followers(
    cx: Arc<Cx>,
    listener: Listener,
    followers: Arc<Followers>,
    contact: Arc<LeaderContact>,
) {
    let next = AtomicU64::new(1);
    loop {
        let (stream, mut connection) = listener.accept().await;
        let link = next.fetch_add(1, Ordering::Relaxed);
        let (cx, followers, contact) = (
            Arc::clone(&cx),
            Arc::clone(&followers),
            Arc::clone(&contact),
        );
        tokio::spawn(async move {
            if !connection.settle(&stream).await {
                return;
            }
            // The result is ignored: the follower logs why its link ended.
            serve_follower(&cx, stream, connection, link, &followers, &contact).await;
            lock(&followers.by_link).remove(&link);
            lock(&cx.follower_links).remove(&link);
            executor::link_closed(&cx, link);
        });
    }
}

/// Waits until a link is open; returns its first frame.
async fn open_link(stream: LinkStream) -> Option<(Socket, Message)> {
    let handshake = tokio_tungstenite::accept_async_with_config(stream, Some(socket_config()));
    let mut socket = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .ok()?
        .ok()?;
    let hello = tokio::time::timeout(HANDSHAKE_TIMEOUT, socket.next());
    let hello = hello.await.ok()??.ok()?;
    socket.get_mut().message_received();
    Some((socket, hello))
}

/// Serves one link until either side closes it; always returns `None`.
async fn serve_follower(
    cx: &Arc<Cx>,
    stream: TcpStream,
    connection: Connection,
    link: u64,
    followers: &Followers,
    contact: &LeaderContact,
) -> Option<()> {
    let connection = Arc::new(connection);
    let stream = LinkStream::new(stream, Arc::clone(&connection));
    let (mut socket, hello) = tokio::select! {
        open = open_link(stream) => open?,
        () = connection.ended() => return None,
    };
    let Some(Frame::Hello {
        token,
        cores,
        name,
        addr,
        domain,
        capacity,
    }) = decode_frame(&hello)
    else {
        // A link begins with its hello frame, whatever else may follow.
        is_control_message("a new follower", &hello);
        return None;
    };
    if cx.own_token() != Some(token) {
        // The link is closed in any case, so a failure to send does not matter.
        send_frame(&mut socket, &newer_claim(cx, token)?).await;
        return None;
    }
    socket.get_mut().allow(MESSAGE_BYTES_MAX);
    connection.begin_turn(Turn::Process);
    log::info!(event = "follower joined", name = name.as_str(), token = token; "a follower connected");
    let (tx, mut rx) = mpsc::channel(FRAME_QUEUE_MAX);
    lock(&cx.follower_links).insert(link, tx);
    let capacity = capacity.unwrap_or(Capacity::of_cores(cores));
    lock(&followers.by_link).insert(
        link,
        Follower {
            capacity,
            reaches_store: true,
            quick_probes: VecDeque::new(),
            addr,
        },
    );
    let slot = ApprovalSlotKey(link);
    cx.control.event(token, Event::ApprovalSlotUp(slot));
    if !domain.is_empty() {
        lock(&cx.delegation).executor_joined(link, domain, capacity, cx.clock.now());
    }
    let heartbeat_interval = Duration::from_millis(cx.settings.tuning.beat_ms);
    let mut heartbeats = tokio::time::interval(heartbeat_interval);
    let mut peers_ticks = tokio::time::interval(PEERS_INTERVAL);
    let mut last_received = Instant::now();
    let mut leadership_rx = cx.leadership.subscribe();
    let mut evacuations_rx = cx.evacuations.subscribe();
    if !evacuations_rx.borrow().domains.is_empty() {
        evacuations_rx.mark_changed();
    }
    loop {
        let open = tokio::select! {
            frame = rx.recv() => match frame {
                Some(frame) => send_frame(&mut socket, &frame).await,
                None => false,
            },
            _ = heartbeats.tick() => {
                let alive = last_received.elapsed() < heartbeat_interval * MISSED_HEARTBEATS_MAX;
                let frame = heartbeat(cx, followers, token, false);
                alive && send_frame(&mut socket, &frame).await
            }
            msg = socket.next() => {
                last_received = Instant::now();
                socket.get_mut().message_received();
                lock(&cx.delegation).heard(link, cx.clock.now());
                match msg {
                    Some(Ok(msg)) => match decode_frame(&msg) {
                        Some(Frame::Newer(newer)) => {
                            leadership::observe(cx, contact, newer, "a member");
                            true
                        }
                        Some(Frame::Outcomes { outcomes }) => executor::apply_outcomes(cx, link, outcomes),
                        Some(frame) => {
                            handle_frame(cx, token, link, followers, frame);
                            true
                        }
                        None => is_control_message(&name, &msg),
                    },
                    _ => false,
                }
            }
            _ = peers_ticks.tick() => {
                let addrs = followers.other_addrs(link);
                send_frame(&mut socket, &Frame::Peers { addrs }).await
            }
            _ = evacuations_rx.changed() => {
                let frame = Frame::Evacuations(evacuations_rx.borrow_and_update().clone());
                send_frame(&mut socket, &frame).await
            }
            _ = leadership_rx.changed() => match newer_claim(cx, token) {
                Some(newer) => {
                    // The link is closed in any case, so a failure to send does not matter.
                    send_frame(&mut socket, &newer).await;
                    false
                }
                None => cx.own_token() == Some(token),
            },
        };
        if !open {
            break;
        }
    }
    cx.control.event(token, Event::ApprovalSlotDown(slot));
    log::info!(event = "follower left", name = name.as_str(), token = token; "the link to a follower ended");
    None
}

/// Returns a heartbeat of the leader; `probe` asks the follower to probe the store.
///
/// While the store is slow or away for all, followers leave storing to the leader: their own appends
/// would queue up behind each other.
pub(crate) fn heartbeat(cx: &Cx, followers: &Followers, token: u64, probe: bool) -> Frame {
    let lost = cx.store_unavailable_for();
    let store = lost < leadership::HANDOVER_AFTER
        || followers
            .with_quick_probe(0, Instant::now() - lost)
            .is_empty();
    let vms = cx.fleet_vms.load(Ordering::Relaxed);
    Frame::LeaderHeartbeat {
        token,
        store,
        vms,
        probe,
    }
}

/// Returns a frame with the newest claim if it is newer than the one with this token.
fn newer_claim(cx: &Cx, token: u64) -> Option<Frame> {
    let leadership = cx.leadership.borrow().clone();
    leadership.filter(|h| h.token > token).map(Frame::Newer)
}

fn handle_frame(cx: &Arc<Cx>, token: u64, link: u64, followers: &Followers, frame: Frame) {
    match frame {
        Frame::FollowerHeartbeat {
            store,
            config,
            probe_ms,
        } => {
            if let Some(follower) = lock(&followers.by_link).get_mut(&link) {
                follower.reaches_store = store;
                if let Some(ms) = probe_ms {
                    follower.record_probe(Duration::from_millis(ms));
                }
            }
            crate::config::send_if_newer(cx, link, config);
        }
        Frame::Explain { seq, subject } => {
            let key = QueryKey { link, seq };
            cx.control.event(token, Event::Explain { key, subject });
        }
        Frame::Query { seq, query } => {
            let key = QueryKey { link, seq };
            cx.control.event(token, Event::Query { key, query });
        }
        Frame::Approved { request, allowed } => {
            let key = ApprovalRequestKey(request);
            cx.control.event(token, Event::Approved { key, allowed });
        }
        Frame::Evacuations(evacuations) => evacuation::merge(cx, evacuations, "a follower"),
        Frame::RecordStored { offset, key, value } => {
            let value = value.into_vec();
            let records = vec![(offset, KeyedRecord { key, value })];
            cx.control.event(token, Event::RecordsStored(records));
        }
        Frame::Store {
            seq,
            within_ms,
            key,
            value,
            job_memory,
        } => {
            let cx = Arc::clone(cx);
            let value = value.into_vec();
            let record = Storable::new(KeyedRecord { key, value }, job_memory);
            let within = Duration::from_millis(within_ms).min(WITHIN_MAX);
            tokio::spawn(async move { store_for_follower(&cx, link, seq, record, within).await });
        }
        _ => {
            log::warn!(event = "unexpected frame", link = link; "a follower sent a frame that leaders do not handle")
        }
    }
}

/// Stores a record for a follower that cannot store it itself, and reports the outcome to it.
async fn store_for_follower(cx: &Arc<Cx>, link: u64, seq: u64, record: Storable, within: Duration) {
    let deadline = tokio::time::Instant::now() + within;
    let result = submit::store_for_follower(cx, record, deadline).await;
    // A follower whose link is closed treats the outcome as unknown.
    let frame = Frame::StoreResult {
        seq,
        outcome: result.outcome,
        turned_away_s: result.turned_away_s,
    };
    let _ = cx.send_to_follower(ApprovalSlotKey(link), frame);
}
