//! A member's end of its link to the holder.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use futures_util::SinkExt;
use futures_util::StreamExt;
use monsoonnotch_adapter::approval;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::Frame;
use super::WAITING_MAX;
use super::frame_of;
use super::message;
use crate::cx::Cx;
use crate::cx::Held;
use crate::cx::lock;
use crate::leadership;

/// Longest dial with handshake: some hundred times the way between failure domains.
const DIAL: Duration = Duration::from_millis(350);
/// Pause between dials.
const DIAL_PAUSE: Duration = Duration::from_millis(60);

/// What the link says of the holder.
#[derive(Debug)]
pub(crate) struct Heard {
    state: Mutex<State>,
    /// Turns true when the holder wants this member to claim.
    pub(crate) asked: watch::Sender<bool>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    at: Instant,
    /// Dials in a row that were refused: the process is not there.
    refused: u32,
}

impl Default for Heard {
    fn default() -> Self {
        let state = State {
            at: Instant::now(),
            refused: 0,
        };
        Self {
            state: Mutex::new(state),
            asked: watch::Sender::new(false),
        }
    }
}

impl Heard {
    /// How long the holder has been silent.
    pub(crate) fn silent_for(&self) -> Duration {
        lock(&self.state).at.elapsed()
    }

    /// Dials in a row that were refused.
    pub(crate) fn refused(&self) -> u32 {
        lock(&self.state).refused
    }

    /// Begins anew: the holder was heard, is another, or this process had stood still.
    pub(crate) fn reset(&self) {
        let mut state = lock(&self.state);
        state.at = Instant::now();
        state.refused = 0;
    }

    fn refusal(&self) {
        lock(&self.state).refused += 1;
    }
}

/// Keeps a link to whoever holds the jobs, while another member does.
pub(crate) async fn keep(cx: Arc<Cx>, heard: Arc<Heard>) {
    let mut rx = cx.held.subscribe();
    loop {
        let held = rx.borrow_and_update().clone();
        let other = held.filter(|h| h.claim.boot != cx.boot);
        let Some(held) = other else {
            if rx.changed().await.is_err() {
                return;
            }
            continue;
        };
        let socket = tokio::select! {
            socket = join(&cx, &held, &heard) => socket,
            _ = rx.changed() => continue,
        };
        if let Some(socket) = socket {
            carry(&cx, &held, &heard, &mut rx, socket).await;
            *lock(&cx.host) = None;
        }
        if rx.borrow().as_ref() != Some(&held) {
            continue;
        }
        tokio::select! {
            () = ask_around(&cx, &held, &heard) => tokio::time::sleep(DIAL_PAUSE).await,
            _ = rx.changed() => {}
        }
    }
}

/// Asks one of the members heard of for a newer claim than `held`, whose holder
/// does not answer. A member that the store answers learns of it there.
async fn ask_around(cx: &Cx, held: &Held, heard: &Heard) {
    if cx.store_lost_for().is_zero() {
        return;
    }
    let peers: Vec<CompactString> = lock(&cx.peers).iter().cloned().collect();
    if peers.is_empty() {
        return;
    }
    let addr = &peers[rand::random_range(0..peers.len())];
    let asked = async {
        let mut socket = dial(addr).await.ok()?;
        let hello = message(&hello(cx, held));
        socket.send(hello).await.ok()?;
        frame_of(&socket.next().await?.ok()?)
    };
    if let Ok(Some(Frame::Newer(newer))) = tokio::time::timeout(DIAL, asked).await {
        leadership::learn(cx, heard, newer, "a member");
    }
}

fn hello(cx: &Cx, held: &Held) -> Frame {
    Frame::Hello {
        token: held.token,
        name: cx.settings.member.name.clone(),
        addr: cx.settings.member.peers.to_string().into(),
        cores: cx.settings.member.cores,
    }
}

/// Dials the holder and says hello.
async fn join(cx: &Cx, held: &Held, heard: &Heard) -> Option<Socket> {
    let dialled = tokio::time::timeout(DIAL, dial(&held.claim.addr)).await;
    let mut socket = match dialled {
        Ok(Ok(socket)) => socket,
        Ok(Err(refused)) => {
            if refused {
                heard.refusal();
            }
            return None;
        }
        Err(_) => return None,
    };
    let said = socket.send(message(&hello(cx, held))).await;
    said.is_ok().then_some(socket)
}

/// Carries frames until the link ends, or another member holds the jobs.
async fn carry(
    cx: &Arc<Cx>,
    held: &Held,
    heard: &Heard,
    newest: &mut watch::Receiver<Option<Held>>,
    mut socket: Socket,
) {
    let (tx, mut out) = mpsc::channel(WAITING_MAX);
    let mut beats = tokio::time::interval(Duration::from_millis(cx.settings.tuning.beat_ms));
    let suspect = Duration::from_millis(cx.settings.tuning.suspect_ms);
    let mut last = Instant::now();
    loop {
        let going = tokio::select! {
            frame = out.recv() => match frame {
                Some(frame) => socket.send(message(&frame)).await.is_ok(),
                None => false,
            },
            _ = beats.tick() => {
                let frame = beat(cx);
                last.elapsed() < suspect && socket.send(message(&frame)).await.is_ok()
            }
            msg = socket.next() => match msg {
                Some(Ok(msg)) => {
                    last = Instant::now();
                    if let Some(frame) = frame_of(&msg) {
                        take(cx, held, heard, &tx, frame);
                    }
                    true
                }
                _ => false,
            },
            _ = newest.changed() => {
                let newer = newest.borrow().clone();
                if let Some(newer) = newer {
                    // The link ends now, whether this arrives or not.
                    let _ = socket.send(message(&Frame::Newer(newer))).await;
                }
                false
            }
        };
        if !going {
            break;
        }
    }
    log::warn!(event = "holder link lost", holder = held.claim.name.as_str(), token = held.token; "the link to the holder ended");
}

type Socket = tokio_tungstenite::WebSocketStream<TcpStream>;

/// Dials; an error says whether the address refused.
async fn dial(addr: &str) -> Result<Socket, bool> {
    let stream = TcpStream::connect(addr).await;
    let stream = stream.map_err(|e| e.kind() == std::io::ErrorKind::ConnectionRefused)?;
    stream.set_nodelay(true).map_err(|_| false)?;
    let url = format!("ws://{addr}/");
    let client = tokio_tungstenite::client_async(url, stream).await;
    client.map(|(socket, _)| socket).map_err(|_| false)
}

fn beat(cx: &Cx) -> Frame {
    Frame::GuestBeat {
        store: cx.store_lost_for().is_zero(),
        config: cx.site.borrow().as_ref().map_or(0, |s| s.version),
    }
}

fn take(cx: &Arc<Cx>, held: &Held, heard: &Heard, tx: &mpsc::Sender<Frame>, frame: Frame) {
    match frame {
        Frame::HostBeat { token, store } if token == held.token => {
            heard.reset();
            cx.host_has_store.store(store, Ordering::Relaxed);
            let mut host = lock(&cx.host);
            if host.is_none() {
                log::info!(event = "holder linked", holder = held.claim.name.as_str(), token = token; "linked to the holder");
                *host = Some(tx.clone());
            }
        }
        Frame::Answer { seq, answer } => cx.queries.answer(seq, answer),
        Frame::StoreFate { seq, fate } => cx.fates.answer(seq, fate),
        Frame::Approve { ask, stage, vms } => {
            let (cx, tx) = (Arc::clone(cx), tx.clone());
            tokio::spawn(async move {
                let addr = &cx.settings.services.approval;
                let allowed = approval::request(&cx.http, addr, &stage, &vms).await;
                // When the link is gone, so is whoever waits for it.
                let _ = tx.send(Frame::Approved { ask, allowed }).await;
            });
        }
        Frame::Config { value } => crate::config::take(cx, &value, "the holder"),
        Frame::Newer(newer) => leadership::learn(cx, heard, newer, "the former holder"),
        Frame::Peers { addrs } => *lock(&cx.peers) = addrs.into_iter().collect(),
        Frame::Claim => {
            heard.asked.send_replace(true);
        }
        _ => log::warn!(event = "odd frame"; "the holder sent a frame that is not for a member"),
    }
}
