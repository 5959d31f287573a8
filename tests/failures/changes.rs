//! Points 4 and 10: a configuration change is in force at every entry within 5 s and is never
//! undone.
//!
//! An entry that cannot read the log must learn of a withdrawn key from its
//! peers, and a change must survive the removal of its record from the log.

use std::time::Duration;
use std::time::Instant;

use monsoonnotch_standins::prelude::*;

use crate::site::PROGRAMS;
use crate::site::Site;
use crate::site::reason;

/// Maximum time from the acceptance of a change until it is in force at every entry.
const IN_FORCE_MAX: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn point_04_a_withdrawn_key_is_refused_by_an_entry_cut_off_from_the_log() {
    let platform = Platform::start(8, PROGRAMS).await;
    let proxy = FaultProxy::start(platform.log.addr()).await;
    let mut entries: Vec<EntryProcess> = ["fd-0", "fd-1", "fd-2"]
        .iter()
        .map(|d| platform.start_entry(d))
        .collect();
    entries.push(platform.start_entry_with_log("fd-0", proxy.addr, ""));
    let site = Site::with(platform, entries).await;
    let other_bearer = format!("Bearer {}", site.entries[0].grant_key("hall"));
    for e in &site.entries {
        wait_until("the second key works", || {
            site.accepts_key(e.callers, &other_bearer)
        })
        .await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    proxy.set_fault(Fault::Unavailable);
    proxy.silence_open_connections();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let id = site.key.split('.').next().expect("an identifier");
    site.entries[0].ctl_json(&["key", "withdraw", id]);
    let accepted = Instant::now();
    for e in &site.entries {
        loop {
            let a = site.send(e.callers, "GET", "check", &[]).await;
            let a = a.expect("a response");
            if reason(&a) == Some(102) {
                break;
            }
            assert!(accepted.elapsed() < IN_FORCE_MAX, "{}: {a:?}", e.callers);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        for e in &site.entries {
            let a = site.send(e.callers, "GET", "check", &[]).await;
            let a = a.expect("a response");
            assert_eq!(
                reason(&a),
                Some(102),
                "the withdrawn key is accepted again: {a:?}"
            );
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    for e in &site.entries {
        assert!(
            site.accepts_key(e.callers, &other_bearer).await,
            "the other key is refused"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn point_10_changes_are_in_force_at_every_entry_and_survive_log_trimming() {
    let platform = Platform::start(6, PROGRAMS).await;
    let more = "[timing]\nsnapshot_every = 20\n";
    let mut site = Site::start(platform, 3, more).await;
    site.entries[1].publish_profile("early", "lane = \"short\"\n");
    assert_in_force(&site, "early").await;
    let withdrawn_key = site.entries[0].grant_key("hall");
    let id = withdrawn_key
        .split('.')
        .next()
        .expect("an identifier")
        .to_owned();
    site.entries[0].ctl_json(&["key", "withdraw", &id]);
    let faults = LogFaults {
        records_max: 60,
        ..LogFaults::default()
    };
    site.platform.log.set_faults(faults);
    for n in 0..60 {
        site.entries[n % 3].publish_profile(&format!("p{n}"), "lane = \"short\"\n");
    }
    assert_in_force(&site, "p59").await;
    let joined = site.platform.start_entry_with("fd-1", more);
    wait_ready(&joined).await;
    site.entries.push(joined);
    assert_in_force(&site, "early").await;
    assert_in_force(&site, "p0").await;
    let a = site
        .accepts_key(site.addr(3), &format!("Bearer {withdrawn_key}"))
        .await;
    assert!(!a, "the withdrawn key is accepted again");
}

/// Asserts that every entry accepts requests under `profile` within [`IN_FORCE_MAX`].
async fn assert_in_force(site: &Site, profile: &str) {
    let accepted = Instant::now();
    for e in &site.entries {
        loop {
            let a = site.send(e.callers, "GET", profile, &[]).await;
            let a = a.expect("a response");
            if a.status == 200 {
                break;
            }
            assert!(accepted.elapsed() < IN_FORCE_MAX, "{}: {a:?}", e.callers);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
