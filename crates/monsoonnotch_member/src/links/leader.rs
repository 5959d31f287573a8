//! The holder's end of a link.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use futures_util::SinkExt;
use futures_util::StreamExt;
use monsoonnotch_adapter::caller_api::Reply;
use monsoonnotch_jobs::effect::ApprovalRequestKey;
use monsoonnotch_jobs::effect::ApprovalSlotKey;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal::KeyedRecord;
use rand::seq::IndexedRandom;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::Fate;
use super::Frame;
use super::Heard;
use super::WAITING_MAX;
use super::frame_of;
use super::message;
use crate::cx::Cx;
use crate::cx::lock;
use crate::leadership;
use crate::requests::submit;

/// Longest handshake: a few round trips.
const HANDSHAKE: Duration = Duration::from_millis(500);
/// Silence of a guest, in heartbeats, after which its link is closed.
const SILENT_BEATS: u32 = 8;

/// Time since the store's last answer in which no other member can have taken over:
/// less than the silence that makes another claim.
const SURE_FOR: Duration = Duration::from_millis(400);
/// Pause between two tellings of other members' addresses to a guest.
const PEERS_EVERY: Duration = Duration::from_secs(2);
/// Addresses told at once: enough that the store answers one of them.
const PEERS_TOLD: usize = 8;
/// Longest time spent on a record for a guest, which waits a little longer.
const STORE_FOR: Duration = Duration::from_millis(1_800);

/// What the holder knows of its guests.
#[derive(Debug, Default)]
pub(crate) struct Guests {
    rows: Mutex<BTreeMap<u64, Row>>,
}

#[derive(Debug)]
struct Row {
    cores: f64,
    store: bool,
    /// Where other members reach it.
    addr: CompactString,
}

impl Guests {
    /// The link of the strongest guest whom the store answers, and its cores.
    pub(crate) fn best(&self) -> Option<(u64, f64)> {
        let rows = lock(&self.rows);
        let well = rows.iter().filter(|(_, r)| r.store);
        let best = well.max_by(|(_, a), (_, b)| a.cores.total_cmp(&b.cores));
        best.map(|(&link, r)| (link, r.cores))
    }

    /// Where some of the others can be reached, drawn at random.
    fn others(&self, link: u64) -> Vec<CompactString> {
        let rows = lock(&self.rows);
        let others = rows.iter().filter(|&(&l, _)| l != link);
        let others: Vec<&CompactString> = others.map(|(_, r)| &r.addr).collect();
        let some = others.sample(&mut rand::rng(), PEERS_TOLD);
        some.map(|&addr| addr.clone()).collect()
    }
}

/// Accepts links for ever.
pub(crate) async fn accept(
    cx: Arc<Cx>,
    listener: TcpListener,
    guests: Arc<Guests>,
    heard: Arc<Heard>,
) {
    let next = AtomicU64::new(1);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let link = next.fetch_add(1, Ordering::Relaxed);
        let (cx, guests, heard) = (Arc::clone(&cx), Arc::clone(&guests), Arc::clone(&heard));
        tokio::spawn(async move {
            // Links come and go; the guest's end says why in its log.
            serve(&cx, stream, link, &guests, &heard).await;
            lock(&guests.rows).remove(&link);
            lock(&cx.guests).remove(&link);
        });
    }
}

/// Serves one guest until either side ends; `None` always.
async fn serve(
    cx: &Arc<Cx>,
    stream: TcpStream,
    link: u64,
    guests: &Guests,
    heard: &Heard,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let handshake = tokio_tungstenite::accept_async(stream);
    let mut socket = tokio::time::timeout(HANDSHAKE, handshake)
        .await
        .ok()?
        .ok()?;
    let hello = tokio::time::timeout(HANDSHAKE, socket.next())
        .await
        .ok()??
        .ok()?;
    let Some(Frame::Hello {
        token,
        cores,
        name,
        addr,
    }) = frame_of(&hello)
    else {
        return None;
    };
    if cx.own_token() != Some(token) {
        socket.send(message(&newer_than(cx, token)?)).await.ok()?;
        return None;
    }
    log::info!(event = "guest came", name = name.as_str(), token = token; "a member has joined");
    let (tx, mut rx) = mpsc::channel(WAITING_MAX);
    lock(&cx.guests).insert(link, tx);
    lock(&guests.rows).insert(
        link,
        Row {
            cores,
            store: true,
            addr,
        },
    );
    let lane = ApprovalSlotKey(link);
    cx.control.event(token, Event::ApprovalSlotUp(lane));
    let beat = Duration::from_millis(cx.settings.tuning.beat_ms);
    let mut beats = tokio::time::interval(beat);
    let mut peers = tokio::time::interval(PEERS_EVERY);
    let mut last = Instant::now();
    let mut held = cx.held.subscribe();
    loop {
        let sent = tokio::select! {
            frame = rx.recv() => match frame {
                Some(frame) => socket.send(message(&frame)).await.is_ok(),
                None => false,
            },
            _ = beats.tick() => {
                let alive = last.elapsed() < beat * SILENT_BEATS;
                let store = cx.store_lost_for().is_zero();
                let frame = Frame::HostBeat { token, store };
                alive && socket.send(message(&frame)).await.is_ok()
            }
            msg = socket.next() => {
                last = Instant::now();
                match msg {
                    Some(Ok(msg)) => {
                        match frame_of(&msg) {
                            Some(Frame::Newer(newer)) => leadership::learn(cx, heard, newer, "a member"),
                            Some(frame) => take(cx, token, link, guests, frame),
                            None => {}
                        }
                        true
                    }
                    _ => false,
                }
            }
            _ = peers.tick() => {
                let addrs = guests.others(link);
                socket.send(message(&Frame::Peers { addrs })).await.is_ok()
            }
            _ = held.changed() => match newer_than(cx, token) {
                Some(newer) => {
                    // The link ends now, whether this arrives or not.
                    let _ = socket.send(message(&newer)).await;
                    false
                }
                None => cx.own_token() == Some(token),
            },
        };
        if !sent {
            break;
        }
    }
    cx.control.event(token, Event::ApprovalSlotDown(lane));
    log::info!(event = "guest left", name = name.as_str(), token = token; "a member's link ended");
    None
}

/// What a member is told that takes an older claim for the newest.
fn newer_than(cx: &Cx, token: u64) -> Option<Frame> {
    let held = cx.held.borrow().clone();
    held.filter(|h| h.token > token).map(Frame::Newer)
}

fn take(cx: &Arc<Cx>, token: u64, link: u64, guests: &Guests, frame: Frame) {
    match frame {
        Frame::GuestBeat { store, config } => {
            if let Some(row) = lock(&guests.rows).get_mut(&link) {
                row.store = store;
            }
            crate::config::help(cx, link, config);
        }
        Frame::Ask { seq, query } => {
            let key = QueryKey { link, seq };
            cx.control.event(token, Event::Query { key, query });
        }
        Frame::Approved { ask, allowed } => {
            let key = ApprovalRequestKey(ask);
            cx.control.event(token, Event::Approved { key, allowed });
        }
        // A holder that is cut off from the store may have a successor by now, which
        // finds the record in the journal.
        Frame::HandedIn { offset, key, value } if cx.store_answered_within(SURE_FOR) => {
            let value = value.into_vec();
            let records = vec![(offset, KeyedRecord { key, value })];
            cx.control.event(token, Event::RecordsStored(records));
        }
        Frame::HandedIn { .. } => {}
        Frame::Store {
            seq,
            within_ms,
            key,
            value,
        } => {
            let cx = Arc::clone(cx);
            let record = KeyedRecord {
                key,
                value: value.into_vec(),
            };
            let within = Duration::from_millis(within_ms).min(STORE_FOR);
            tokio::spawn(async move { store_for(&cx, link, seq, record, within).await });
        }
        _ => {
            log::warn!(event = "odd frame", link = link; "a member sent a frame that is not for a holder")
        }
    }
}

/// Stores a record for a guest whom the store refuses, and tells it what became of it.
async fn store_for(cx: &Arc<Cx>, link: u64, seq: u64, record: KeyedRecord, within: Duration) {
    let until = tokio::time::Instant::now() + within;
    let fate = match submit::store_here(cx, record, until).await {
        Reply::Stored => Fate::Stored,
        Reply::NotRun { .. } => Fate::NotStored,
        _ => Fate::Unknown,
    };
    // A guest whose link is gone takes the record's fate as unknown.
    let _ = cx.to_guest(ApprovalSlotKey(link), Frame::StoreFate { seq, fate });
}
