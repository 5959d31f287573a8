//! Leader election through claims in the store.
//!
//! A claim is a record in a topic of the store, and its token is its offset plus one. The
//! member with the newest claim is the leader. A member that finds the leader unresponsive
//! appends a claim on condition that no other claim has been appended meanwhile. A claim
//! made in error costs one change of leader and nothing else, because VMs and the journal
//! reject requests with the lower token of the previous leader.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use monsoonnotch_adapter::store;
use monsoonnotch_adapter::store::APPEND_TIMEOUTS;
use monsoonnotch_adapter::store::Error;
use monsoonnotch_adapter::store::Newest;
use monsoonnotch_adapter::store::READ_RECORDS_MAX;
use monsoonnotch_core::record::decode;
use monsoonnotch_core::record::encode;
use monsoonnotch_jobs::fitness;
use monsoonnotch_jobs::journal::KeyedRecord;
use tokio::sync::watch;

use crate::cx::Claim;
use crate::cx::Cx;
use crate::cx::Leadership;
use crate::links::LeaderContact;
use crate::subscription;
use crate::subscription::Handlers;
use crate::subscription::RETRY_PAUSE;

/// Topic of the store that holds the claims.
pub(crate) const TOPIC: &str = "keyed.holder";
/// Key of the claim records in [`TOPIC`].
const KEY: &str = "jobs";
/// How long a read of the topic waits for the next claim.
const READ_WAIT: Duration = Duration::from_millis(2_000);
/// Interval between checks whether to claim leadership.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Number of consecutive refused connections after which the leader's process counts as stopped.
const REFUSED_DIALS_MAX: u32 = 2;
/// Upper bound of the random delay of a claim, in milliseconds, so that usually a single member
/// claims first.
const CLAIM_JITTER_MS: u64 = 120;
/// Additional delay of claims by low-capacity members: the time that a process takes to restart.
const LOW_CAPACITY_DELAY: Duration = Duration::from_millis(1_500);
/// How long the store may be unavailable to the leader before it hands leadership over to another
/// member.
pub(crate) const HANDOVER_AFTER: Duration = Duration::from_millis(400);

/// Reads claims from the store, and claims leadership when the leader is unresponsive or requests
/// it.
pub(crate) async fn run(cx: Arc<Cx>, contact: Arc<LeaderContact>) {
    let (next_offset, rx) = watch::channel(None);
    let reader = tokio::spawn(follow_claims(
        Arc::clone(&cx),
        Arc::clone(&contact),
        next_offset,
    ));
    watch_leader(&cx, &contact, rx).await;
    reader.abort();
}

async fn follow_claims(
    cx: Arc<Cx>,
    contact: Arc<LeaderContact>,
    next_offset: watch::Sender<Option<u64>>,
) {
    let handlers = Handlers {
        on_newest: |_: &Newest| {},
        on_record: |offset, record: &KeyedRecord| apply_claim(&cx, &contact, offset, record),
        on_progress: |next| {
            next_offset.send_replace(Some(next));
        },
    };
    subscription::run(&cx, TOPIC, READ_WAIT, handlers).await;
}

/// Applies a record of the topic, which is normally a claim.
fn apply_claim(cx: &Cx, contact: &LeaderContact, offset: u64, record: &KeyedRecord) {
    let Some(claim) = decode_claim(record) else {
        log::warn!(event = "record skipped", offset = offset; "skipping a record that is not a leadership claim");
        return;
    };
    let token = offset + 1;
    observe(cx, contact, Leadership { token, claim }, "the store");
}

/// Decodes a leadership claim; `None` for other records.
fn decode_claim(record: &KeyedRecord) -> Option<Claim> {
    match record.key == KEY {
        true => decode(&record.value),
        false => None,
    }
}

/// Records a leadership claim if it is newer than the current one.
///
/// `from` names the source of the claim in log lines.
pub(crate) fn observe(
    cx: &Cx,
    contact: &LeaderContact,
    leadership: Leadership,
    from: &'static str,
) {
    let newer = |h: &Leadership| h.token < leadership.token;
    if !cx.leadership.borrow().as_ref().is_none_or(newer) {
        return;
    }
    let own = leadership.claim.boot == cx.boot;
    log::info!(event = "claim observed", token = leadership.token, holder = leadership.claim.name.as_str(), own = own, from = from; "observed a newer leadership claim");
    contact.reset();
    cx.set_fleet_size(leadership.claim.vms as usize);
    cx.leadership.send_replace(Some(leadership));
}

async fn watch_leader(
    cx: &Arc<Cx>,
    contact: &LeaderContact,
    next_offset: watch::Receiver<Option<u64>>,
) {
    let mut claim_requested = contact.claim_requested.subscribe();
    let mut last_check = Instant::now();
    let mut jitter = claim_jitter();
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            r = claim_requested.changed() => if r.is_err() { return },
        }
        // After a pause of this process, missing heartbeats say nothing about the leader.
        if last_check.elapsed() > Duration::from_millis(cx.settings.tuning.suspect_ms) {
            contact.reset();
        }
        last_check = Instant::now();
        let is_requested = *contact.claim_requested.borrow();
        let Some(expected_offset) = *next_offset.borrow() else {
            continue;
        };
        // The leader repeats its request until it observes the claim.
        if is_requested && cx.own_token().is_some() {
            contact.claim_requested.send_replace(false);
            continue;
        }
        let wait = jitter + unfit_delay(cx);
        if cx.is_stopping() || (!is_requested && !is_leader_lost(cx, contact, wait)) {
            continue;
        }
        contact.claim_requested.send_replace(false);
        try_claim(cx, contact, expected_offset).await;
        jitter = claim_jitter();
    }
}

/// Returns the random part of the delay of this member's next claim.
fn claim_jitter() -> Duration {
    Duration::from_millis(rand::random_range(0..CLAIM_JITTER_MS))
}

/// Returns the part of the delay that is longer the less fit this member is to lead the fleet as it
/// is known now.
fn unfit_delay(cx: &Cx) -> Duration {
    let unfit = fitness::claim_delay(&cx.settings.capacity(), cx.fleet_size()).into();
    match cx.settings.member.cores < cx.settings.tuning.weak_cores {
        true => LOW_CAPACITY_DELAY.max(unfit),
        false => unfit,
    }
}

/// Returns whether the leader counts as lost; `wait` is the claim delay of this member.
fn is_leader_lost(cx: &Cx, contact: &LeaderContact, wait: Duration) -> bool {
    let unresponsive = contact.unresponsive_for();
    let suspect_after = Duration::from_millis(cx.settings.tuning.suspect_ms);
    match &*cx.leadership.borrow() {
        None => unresponsive > wait,
        Some(leadership) if leadership.claim.boot == cx.boot => false,
        // The claim was made from the same address by a previous process of this member.
        Some(leadership)
            if leadership.claim.addr == cx.settings.member.peers.to_string().as_str() =>
        {
            true
        }
        Some(_) if contact.refused_dials() >= REFUSED_DIALS_MAX => unresponsive > wait,
        Some(_) => unresponsive > suspect_after + wait,
    }
}

async fn try_claim(cx: &Arc<Cx>, contact: &LeaderContact, expected_offset: u64) {
    let claim = Claim {
        name: cx.settings.member.name.clone(),
        addr: cx.settings.member.peers.to_string().into(),
        boot: cx.boot,
        vms: cx.fleet_vms.load(Ordering::Relaxed),
    };
    let record = KeyedRecord {
        key: KEY.into(),
        value: encode(&claim),
    };
    let unresponsive_ms = contact.unresponsive_for().as_millis() as u64;
    let refused = contact.refused_dials();
    let records = [record];
    let append = cx.store.append(
        TOPIC,
        &records,
        None,
        Some(expected_offset),
        APPEND_TIMEOUTS[1],
    );
    let appended = append.await;
    log::info!(event = "claim attempted", silent_ms = unresponsive_ms, refused = refused, at = expected_offset, outcome = format!("{appended:?}"); "attempted to claim leadership");
    match appended {
        Ok(offset) => {
            cx.record_store_result(true);
            let [record] = &records;
            apply_claim(cx, contact, offset, record);
        }
        // Another claim was stored first, or an earlier attempt of this claim was stored. Either is
        // observed when the topic is read.
        Err(Error::Refused(412)) => tokio::time::sleep(CHECK_INTERVAL).await,
        Err(_) => {
            cx.record_store_result(false);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Returns whether the newest claim is the one with this token, or `None` when the store does not
/// tell.
pub(crate) async fn is_newest(cx: &Cx, token: u64) -> Option<bool> {
    let newest = cx.store.newest(TOPIC).await.ok()?;
    let claims = newest.records.iter();
    let claims = claims.filter(|(_, record)| decode_claim(record).is_some());
    match claims.map(|(offset, _)| offset + 1).max() {
        Some(last) => (last >= token).then_some(last == token),
        // A record that is not a claim has replaced the newest claim.
        None => Some(!is_followed_by_claim(cx, token).await?),
    }
}

/// Returns whether there is a claim after the one with this token, or `None` when the store does
/// not tell.
async fn is_followed_by_claim(cx: &Cx, token: u64) -> Option<bool> {
    let page = cx
        .store
        .read(TOPIC, token, READ_RECORDS_MAX, Duration::ZERO)
        .await
        .ok()?;
    let is_claim = |record| store::decode_keyed(record).is_some_and(|r| decode_claim(&r).is_some());
    Some(page.records.iter().any(|(_, record)| is_claim(record)))
}
