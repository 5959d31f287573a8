//! Tests of one member's decisions under load and with failing workers.

#[path = "../benches/member/mod.rs"]
mod member;

use std::collections::BTreeMap;

use member::Member;
use monsoonnotch_core::config::Change;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::config::NO_VERSION;
use monsoonnotch_core::config::Profile;
use monsoonnotch_core::config::Setting;
use monsoonnotch_core::event::CallArrived;
use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::event::KeyProof;
use monsoonnotch_core::notice::Notice;
use monsoonnotch_core::prelude::*;
use rstest::rstest;

const WORKERS: usize = 8;
const SLOTS: usize = WORKERS * 8;

/// A member and the outcomes of the requests sent to it.
#[derive(Debug)]
struct Harness {
    m: Member,
    calls: u64,
    dispatched: Vec<(CallKey, Name)>,
    refused: BTreeMap<CallKey, Refusal>,
    notices: Vec<Notice>,
}

impl Harness {
    fn new(profiles: &[(&str, Profile)]) -> Self {
        let mut m = Member::new(WORKERS, 2);
        for (name, p) in profiles {
            let set = Setting::Profile(Name::new(name), p.clone());
            let change = Change::new(NO_VERSION, set);
            let ticket = Ticket(0);
            m.step(Event::Change { ticket, change });
        }
        m.ticks(100);
        Self {
            m,
            calls: 1_000_000,
            dispatched: Vec::new(),
            refused: BTreeMap::new(),
            notices: Vec::new(),
        }
    }

    fn step(&mut self, ev: Event) {
        for e in self.m.step(ev) {
            match e {
                Effect::Dispatch { call, addr, .. } => self.dispatched.push((call, addr)),
                Effect::Refuse { call, refusal } => drop(self.refused.insert(call, refusal)),
                Effect::Log(n) => self.notices.push(n),
                _ => {}
            }
        }
    }

    fn arrive(&mut self, profile: &str, team: usize) -> CallKey {
        self.calls += 1;
        let call = CallKey(self.calls);
        let key = KeyProof {
            id: member::team(team),
            hash: KeyHash::of("secret"),
        };
        self.step(Event::Call(CallArrived {
            call,
            key: Some(key),
            profile: Name::new(profile),
            idem: None,
            digest: 0,
            deadline: None,
        }));
        call
    }

    fn end(&mut self, call: CallKey, outcome: CallOutcome) {
        self.step(Event::CallEnded { call, outcome });
    }

    fn ran(&self, call: CallKey) -> bool {
        self.dispatched.iter().any(|(c, _)| *c == call)
    }
}

fn profile(priority: u8, max_wait_ms: u64, run_ms: u64) -> Profile {
    Profile {
        priority,
        max_wait_ms,
        run_ms,
        repeatable: true,
        ..Profile::default()
    }
}

/// Completes `n` requests, oldest first, one every `pause_ms`.
fn complete_oldest(s: &mut Harness, n: usize, pause_ms: usize) {
    for _ in 0..n {
        s.m.ticks(pause_ms / 10);
        let (call, _) = s.dispatched.remove(0);
        s.end(call, CallOutcome::Complete);
    }
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once_with_a_retry_after() {
    let mut s = Harness::new(&[("brief", profile(5, 1_000, 0))]);
    (0..SLOTS + 60).for_each(|_| {
        s.m.arrive(0);
    });
    let running: Vec<CallKey> = (1..=SLOTS as u64).map(CallKey).collect();
    s.dispatched = running.iter().map(|c| (*c, Name::default())).collect();
    complete_oldest(&mut s, 20, 100);
    let call = s.arrive("brief", 0);
    let refusal = s
        .refused
        .get(&call)
        .expect("the request is refused at once");
    assert_eq!(refusal.reason, Reason::QueueFull);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    // The request is the 41st in a queue that advances by 10 a second, and it may wait one second
    // of these 4.1 s itself.
    let after = refusal.retry_after.expect("the refusal has a retry-after");
    assert!(after > Duration::from_millis(2_000) && after < Duration::from_millis(5_000));
}

#[test]
fn the_request_of_lower_priority_is_refused_first() {
    let low = profile(2, 3_000, 0);
    let high = profile(8, 3_000, 0);
    let mut s = Harness::new(&[("low", low), ("high", high)]);
    (0..SLOTS + 80).for_each(|_| {
        s.m.arrive(0);
    });
    s.dispatched = (1..=SLOTS as u64)
        .map(|c| (CallKey(c), Name::default()))
        .collect();
    complete_oldest(&mut s, 20, 100);
    let low = s.arrive("low", 0);
    let high = s.arrive("high", 0);
    assert!(s.refused.contains_key(&low));
    assert!(!s.refused.contains_key(&high));
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let mut s = Harness::new(&[("again", profile(5, 60_000, 0))]);
    for _ in 0..400 {
        let call = s.arrive("again", 0);
        while s.dispatched.last().is_some_and(|(c, _)| *c == call) && !s.refused.contains_key(&call)
        {
            s.end(call, CallOutcome::NotRun(Reason::UpstreamRefused));
        }
    }
    assert_eq!(s.refused.len(), 400);
    let retries = s.dispatched.len() - 400;
    assert!((40..=50).contains(&retries), "{retries}");
}

#[rstest]
#[case::hinted(10_000)]
fn long_requests_leave_slots_for_short_ones(#[case] run_ms: u64) {
    let mut s = Harness::new(&[("slow", profile(5, 60_000, run_ms))]);
    (0..SLOTS * 2).for_each(|_| {
        s.arrive("slow", 0);
    });
    let started = s.dispatched.len();
    assert!((SLOTS * 9 / 10..SLOTS).contains(&started), "{started}");
    let quick = s.arrive("quick", 1);
    assert!(s.ran(quick));
}

#[test]
fn long_requests_keep_a_share_when_short_ones_fill_the_fleet() {
    let mut s = Harness::new(&[("slow", profile(5, 60_000, 10_000))]);
    (0..SLOTS * 2).for_each(|_| {
        s.arrive("quick", 0);
    });
    let slow: Vec<CallKey> = (0..SLOTS).map(|_| s.arrive("slow", 1)).collect();
    for _ in 0..SLOTS {
        let (call, _) = s.dispatched.remove(0);
        s.end(call, CallOutcome::Complete);
    }
    let started = slow.iter().filter(|c| s.ran(**c)).count();
    assert!((SLOTS / 5..=SLOTS / 5 + 1).contains(&started), "{started}");
}

#[test]
fn an_urgent_request_gets_the_next_slot() {
    let mut s = Harness::new(&[("urgent", profile(9, 60_000, 0))]);
    (0..SLOTS + 50).for_each(|_| {
        s.arrive("quick", 0);
    });
    let urgent = s.arrive("urgent", 0);
    assert!(!s.ran(urgent));
    let (first, _) = s.dispatched[0];
    s.end(first, CallOutcome::Complete);
    assert!(s.ran(urgent));
}

#[rstest]
#[case::status(CallOutcome::Failed)]
#[case::connection(CallOutcome::NotRun(Reason::UpstreamRefused))]
fn a_worker_that_fails_fast_does_not_attract_requests(#[case] outcome: CallOutcome) {
    let once = Profile {
        max_attempts: 1,
        ..profile(5, 60_000, 0)
    };
    let mut s = Harness::new(&[("once", once)]);
    // Every worker has one slot left; the one that gets the probe fails from now on.
    (0..SLOTS - 8).for_each(|_| {
        s.arrive("once", 0);
    });
    let mut on_bad = 0;
    let probe = s.arrive("once", 0);
    let bad = s.dispatched.last().expect("a slot is free").1.clone();
    s.end(probe, CallOutcome::Complete);
    for _ in 0..200 {
        let call = s.arrive("once", 0);
        let at = s.dispatched.last().expect("a slot is free").clone();
        if at.0 == call && at.1 == bad {
            on_bad += 1;
            s.end(call, outcome);
        } else if at.0 == call {
            s.end(call, CallOutcome::Complete);
        }
    }
    assert!(
        s.notices
            .iter()
            .any(|n| matches!(n, Notice::VmQuarantined(_)))
    );
    assert!(on_bad <= 10, "{on_bad}");
    s.m.ticks(600);
    for _ in 0..50 {
        let call = s.arrive("once", 0);
        s.end(call, CallOutcome::Complete);
    }
    assert!(s.notices.iter().any(|n| matches!(n, Notice::VmReleased(_))));
}

#[test]
fn a_request_larger_than_any_worker_is_refused_as_fits_nowhere() {
    let huge = Profile {
        size: Resources {
            memory_mib: 1 << 40,
            ..Resources::one_request()
        },
        ..Profile::default()
    };
    let mut s = Harness::new(&[("huge", huge)]);
    let call = s.arrive("huge", 0);
    let refusal = s.refused[&call];
    assert_eq!(refusal, Refusal::not_run(Reason::FitsNowhere));
}
