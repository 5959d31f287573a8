//! Measures the memory that a worker, a team, a request, a job and a task take in one member.
//!
//! `cargo run --release --example memory`

#[path = "../benches/member/mod.rs"]
mod member;

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use member::Member;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::event::KeyProof;
use monsoonnotch_core::job::Spec;
use monsoonnotch_core::prelude::*;
use monsoonnotch_core::record;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::record::Body;
use monsoonnotch_core::record::Holding;
use monsoonnotch_core::record::Record;

/// The system allocator with a count of the bytes in use.
#[derive(Debug)]
struct Counting;

static IN_USE: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: Counting = Counting;

// SAFETY: Every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of this method, which is that of the callee.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of this method, which is that of the callee.
        unsafe { System.dealloc(ptr, layout) }
    }
}

fn in_use() -> usize {
    IN_USE.load(Ordering::Relaxed)
}

/// Runs `f` and prints the bytes that it leaves allocated, divided by `n`.
fn per<R>(what: &str, n: usize, f: impl FnOnce() -> R) -> R {
    let before = in_use();
    let r = f();
    let bytes = in_use().saturating_sub(before);
    println!("memory: {what} n={n} bytes_each={}", bytes / n);
    r
}

/// Creates a member and drops the records of its simulated log.
fn member(workers: usize, teams: usize) -> Member {
    let mut m = Member::new(workers, teams);
    forget_log(&mut m);
    m
}

/// Drops the records of the simulated log, which are not part of the member's memory.
fn forget_log(m: &mut Member) {
    m.log.iter_mut().for_each(|b| b.records = Vec::new());
}

/// Prints the encoded sizes of records of the control stream.
fn print_records(m: &Member) {
    let batch = |body| Batch {
        writer: MemberId(u64::MAX),
        records: vec![Record { seq: 1_000, body }],
    };
    let len = |body| record::encode(&batch(body)).len();
    let vm = member::vm(5_000).name;
    let holdings = vec![Holding::Vm(vm)];
    let change = member::team_change(179, 100_000);
    println!("record: claim bytes={}", len(Body::Claim { holdings }));
    println!("record: config bytes={}", len(Body::Config(change)));
    let ledger = Box::new(m.control.ledger().clone());
    println!("record: snapshot bytes={}", len(Body::Snapshot { ledger }));
}

/// Submits a job of `count` tasks for a team.
fn submit(m: &mut Member, t: usize, count: u32) {
    let key = Some(KeyProof {
        id: member::team(t),
        hash: KeyHash::of("secret"),
    });
    let spec = Spec {
        team: member::team(t),
        profile: Name::new("batch"),
        count,
        size: Resources::one_task(),
        priority: 5,
        deadline_ms: 0,
        run_ms: 0,
        command: Name::new("a command"),
    };
    let ticket = Ticket(0);
    m.step(Event::Submit { ticket, key, spec });
}

fn main() {
    let empty = per("member", 1, || member(8, 6));
    drop(empty);
    let before = in_use();
    let small = member(500, 6);
    let at_500 = in_use() - before;
    drop(small);
    let before = in_use();
    let mut m = member(5_400, 6);
    let at_5400 = in_use() - before;
    let each = (at_5400 - at_500) / 4_900;
    println!("memory: worker n=4900 bytes_each={each} total_at_5400={at_5400}");
    let before = in_use();
    let teams = member(500, 180);
    let with_teams = in_use() - before;
    let each = with_teams.saturating_sub(at_500) / 174;
    println!("memory: team n=174 bytes_each={each}");
    drop(teams);
    per("running request", 10_000, || {
        (0..10_000).for_each(|n| {
            m.arrive(n % 6);
        });
    });
    per("job and its running task", 1_000, || {
        (0..1_000).for_each(|n| submit(&mut m, n % 6, 1));
        m.ticks(200);
        forget_log(&mut m);
    });
    per("running task of a large job", 10_000, || {
        submit(&mut m, 0, 10_000);
        m.ticks(1_000);
        forget_log(&mut m);
    });
    print_records(&m);
    println!("slots in use: {:?}", m.control.fleet().slots());
}
