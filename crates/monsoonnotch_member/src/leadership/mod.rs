//! Who holds the jobs.
//!
//! A claim is a record in a topic of the store, and its offset gives the
//! token: the newest claim holds. Whoever finds the holder silent claims, on
//! condition that nobody has claimed since. Being wrong costs a move and no
//! more, because VMs and the journal refuse the lower token.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_adapter::store::APPEND_TIMEOUTS;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_core::record::decode;
use monsoonnotch_core::record::encode;
use monsoonnotch_jobs::journal::KeyedRecord;
use tokio::sync::watch;

use crate::cx::Claim;
use crate::cx::Cx;
use crate::cx::Held;
use crate::links::Heard;
use crate::subscription;
use crate::subscription::PAUSE;

/// The topic of claims.
pub(crate) const TOPIC: &str = "keyed.holder";
/// The key of claims in it.
const KEY: &str = "jobs";
/// How long a read waits for the next claim.
const WAIT: Duration = Duration::from_millis(2_000);
/// Pause between looks at whether to claim.
const TICK: Duration = Duration::from_millis(40);
/// Dials refused in a row after which the holder's process is taken to be gone.
const REFUSED_MAX: u32 = 2;
/// Spread of claims, so that mostly one member tries first.
const SPREAD_MS: u64 = 120;
/// Time by which weak members wait longer than others: a restart of a process.
const WEAK_WAIT: Duration = Duration::from_millis(1_500);
/// Failure of the store here after which a holder hands the jobs to another.
pub(crate) const HAND_OVER: Duration = Duration::from_millis(400);

/// Follows claims, and claims when the holder is silent.
pub(crate) async fn run(cx: Arc<Cx>, heard: Arc<Heard>) {
    let (seen, rx) = watch::channel(None);
    let follower = tokio::spawn(follow(Arc::clone(&cx), Arc::clone(&heard), seen));
    watch_holder(&cx, &heard, rx).await;
    follower.abort();
}

async fn follow(cx: Arc<Cx>, heard: Arc<Heard>, seen: watch::Sender<Option<u64>>) {
    let take = |offset, stored: &KeyedRecord| take(&cx, &heard, offset, stored);
    let read_to = |next| {
        seen.send_replace(Some(next));
    };
    subscription::run(&cx, TOPIC, WAIT, take, read_to).await;
}

/// Takes in a claim.
fn take(cx: &Cx, heard: &Heard, offset: u64, stored: &KeyedRecord) {
    let claim: Option<Claim> = decode(&stored.value);
    let Some(claim) = claim.filter(|_| stored.key == KEY) else {
        log::warn!(event = "record skipped", offset = offset; "a record among the claims is none");
        return;
    };
    let token = offset + 1;
    learn(cx, heard, Held { token, claim }, "the store");
}

/// Takes in who holds the jobs, whoever says so; only a newer claim counts.
pub(crate) fn learn(cx: &Cx, heard: &Heard, held: Held, from: &'static str) {
    let newer = |h: &Held| h.token < held.token;
    if !cx.held.borrow().as_ref().is_none_or(newer) {
        return;
    }
    let own = held.claim.boot == cx.boot;
    log::info!(event = "claim seen", token = held.token, holder = held.claim.name.as_str(), own = own, from = from; "another claim holds");
    heard.reset();
    cx.held.send_replace(Some(held));
}

async fn watch_holder(cx: &Arc<Cx>, heard: &Heard, seen: watch::Receiver<Option<u64>>) {
    let mut asked = heard.asked.subscribe();
    let mut last = Instant::now();
    let mut wait = patience(cx);
    loop {
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            r = asked.changed() => if r.is_err() { return },
        }
        // After a pause of this process the silence may be its own.
        if last.elapsed() > Duration::from_millis(cx.settings.tuning.suspect_ms) {
            heard.reset();
        }
        last = Instant::now();
        let is_asked = *heard.asked.borrow();
        let Some(at) = *seen.borrow() else { continue };
        if cx.is_stopping() || (!is_asked && !gone(cx, heard, wait)) {
            continue;
        }
        heard.asked.send_replace(false);
        claim(cx, heard, at).await;
        wait = patience(cx);
    }
}

/// How long this member waits beyond the others, at random.
fn patience(cx: &Cx) -> Duration {
    let spread = Duration::from_millis(rand::random_range(0..SPREAD_MS));
    match cx.settings.member.cores < cx.settings.tuning.weak_cores {
        true => spread + WEAK_WAIT,
        false => spread,
    }
}

/// Whether the holder is taken to be gone.
fn gone(cx: &Cx, heard: &Heard, wait: Duration) -> bool {
    let silent = heard.silent_for();
    let suspect = Duration::from_millis(cx.settings.tuning.suspect_ms);
    match &*cx.held.borrow() {
        None => silent > wait,
        Some(held) if held.claim.boot == cx.boot => false,
        // The same address with another start: this process's former self.
        Some(held) if held.claim.addr == cx.settings.member.peers.to_string().as_str() => true,
        Some(_) if heard.refused() >= REFUSED_MAX => silent > wait,
        Some(_) => silent > suspect + wait,
    }
}

async fn claim(cx: &Arc<Cx>, heard: &Heard, at: u64) {
    let claim = Claim {
        name: cx.settings.member.name.clone(),
        addr: cx.settings.member.peers.to_string().into(),
        boot: cx.boot,
    };
    let record = KeyedRecord {
        key: KEY.into(),
        value: encode(&claim),
    };
    let silent_ms = heard.silent_for().as_millis() as u64;
    let refused = heard.refused();
    let records = [record];
    let append = cx
        .store
        .append(TOPIC, &records, None, Some(at), APPEND_TIMEOUTS[1]);
    let claimed = append.await;
    log::info!(event = "claim tried", silent_ms = silent_ms, refused = refused, at = at, outcome = format!("{claimed:?}"); "tried to claim the jobs");
    match claimed {
        Ok(offset) => {
            cx.store_answered(true);
            let [record] = &records;
            take(cx, heard, offset, record);
        }
        // Another was first, or it shows when the topic is read.
        Err(Error::Refused(412)) => tokio::time::sleep(TICK).await,
        Err(_) => {
            cx.store_answered(false);
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Whether the newest claim is still that of a token; `None` when the store does not say.
pub(crate) async fn still_newest(cx: &Cx, token: u64) -> Option<bool> {
    let newest = cx.store.newest(TOPIC).await.ok()?;
    let last = newest.records.iter().map(|(offset, _)| offset + 1).max();
    Some(last.is_none_or(|last| last <= token))
}
