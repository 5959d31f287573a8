//! The holder's end of a link.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::SinkExt;
use futures_util::StreamExt;
use monsoonnotch_adapter::front::Reply;
use monsoonnotch_jobs::effect::AskKey;
use monsoonnotch_jobs::effect::LaneKey;
use monsoonnotch_jobs::effect::QueryKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal::Stored;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::Fate;
use super::Frame;
use super::WAITING_MAX;
use super::frame_of;
use super::message;
use crate::calls::submit;
use crate::cx::Cx;
use crate::cx::lock;

/// Longest handshake: a few round trips.
const HANDSHAKE: Duration = Duration::from_millis(500);
/// Silence of a guest, in heartbeats, after which its link is closed.
const SILENT_BEATS: u32 = 8;

/// Longest time spent on a record for a guest, which waits a little longer.
const STORE_FOR: Duration = Duration::from_millis(1_800);

/// What the holder knows of its guests.
#[derive(Debug, Default)]
pub(crate) struct Guests {
    rows: Mutex<BTreeMap<u64, Row>>,
}

#[derive(Debug, Clone, Copy)]
struct Row {
    cores: f64,
    store: bool,
}

impl Guests {
    /// The link of the strongest guest whom the store answers, and its cores.
    pub(crate) fn best(&self) -> Option<(u64, f64)> {
        let rows = lock(&self.rows);
        let well = rows.iter().filter(|(_, r)| r.store);
        let best = well.max_by(|(_, a), (_, b)| a.cores.total_cmp(&b.cores));
        best.map(|(&link, r)| (link, r.cores))
    }
}

/// Accepts links for ever.
pub(crate) async fn accept(cx: Arc<Cx>, listener: TcpListener, guests: Arc<Guests>) {
    let next = AtomicU64::new(1);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let link = next.fetch_add(1, Ordering::Relaxed);
        let (cx, guests) = (Arc::clone(&cx), Arc::clone(&guests));
        tokio::spawn(async move {
            // Links come and go; the guest's end says why in its log.
            serve(&cx, stream, link, &guests).await;
            lock(&guests.rows).remove(&link);
            lock(&cx.guests).remove(&link);
        });
    }
}

/// Serves one guest until either side ends; `None` always.
async fn serve(cx: &Arc<Cx>, stream: TcpStream, link: u64, guests: &Guests) -> Option<()> {
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
    let Some(Frame::Hello { token, cores, name }) = frame_of(&hello) else {
        return None;
    };
    if cx.own_token() != Some(token) {
        return None;
    }
    log::info!(event = "guest came", name = name.as_str(), token = token; "a member has joined");
    let (tx, mut rx) = mpsc::channel(WAITING_MAX);
    lock(&cx.guests).insert(link, tx);
    lock(&guests.rows).insert(link, Row { cores, store: true });
    let lane = LaneKey(link);
    cx.control.event(token, Event::LaneUp(lane));
    let beat = Duration::from_millis(cx.settings.tuning.beat_ms);
    let mut beats = tokio::time::interval(beat);
    let mut heard = Instant::now();
    let mut held = cx.held.subscribe();
    loop {
        let sent = tokio::select! {
            frame = rx.recv() => match frame {
                Some(frame) => socket.send(message(&frame)).await.is_ok(),
                None => false,
            },
            _ = beats.tick() => {
                let alive = heard.elapsed() < beat * SILENT_BEATS;
                alive && socket.send(message(&Frame::HostBeat { token })).await.is_ok()
            }
            msg = socket.next() => {
                heard = Instant::now();
                match msg {
                    Some(Ok(msg)) => {
                        if let Some(frame) = frame_of(&msg) {
                            take(cx, token, link, guests, frame);
                        }
                        true
                    }
                    _ => false,
                }
            }
            _ = held.changed() => cx.own_token() == Some(token),
        };
        if !sent {
            break;
        }
    }
    cx.control.event(token, Event::LaneDown(lane));
    log::info!(event = "guest left", name = name.as_str(), token = token; "a member's link ended");
    None
}

fn take(cx: &Arc<Cx>, token: u64, link: u64, guests: &Guests, frame: Frame) {
    match frame {
        Frame::GuestBeat { store, config } => {
            if let Some(row) = lock(&guests.rows).get_mut(&link) {
                row.store = store;
            }
            crate::site::help(cx, link, config);
        }
        Frame::Ask { seq, query } => {
            let key = QueryKey { link, seq };
            cx.control.event(token, Event::Query { key, query });
        }
        Frame::Approved { ask, allowed } => {
            let key = AskKey(ask);
            cx.control.event(token, Event::Approved { key, allowed });
        }
        Frame::Store { seq, key, value } => {
            let cx = Arc::clone(cx);
            let value = value.into_vec();
            tokio::spawn(async move { store_for(&cx, link, seq, Stored { key, value }).await });
        }
        _ => {
            log::warn!(event = "odd frame", link = link; "a member sent a frame that is not for a holder")
        }
    }
}

/// Stores a record for a guest whom the store refuses, and tells it what became of it.
async fn store_for(cx: &Arc<Cx>, link: u64, seq: u64, record: Stored) {
    let until = tokio::time::Instant::now() + STORE_FOR;
    let fate = match submit::store_here(cx, record, until).await {
        Reply::Stored => Fate::Stored,
        Reply::NotRun { .. } => Fate::NotStored,
        _ => Fate::Unknown,
    };
    // A guest whose link is gone takes the record's fate as unknown.
    let _ = cx.to_guest(LaneKey(link), Frame::StoreFate { seq, fate });
}
