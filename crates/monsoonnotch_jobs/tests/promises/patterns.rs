//! Patterns of load, each with the test that names it.

use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::Step;
use monsoonnotch_jobs::plan::TaskId;

use crate::random::cpu;
use crate::random::fleet;
use crate::random::site;
use crate::random::submission;
use crate::world::Faults;
use crate::world::World;

fn run(world: &mut World, ms: u64) {
    for _ in 0..ms {
        world.step();
    }
}

fn step(count: u32, milli: u64, estimate_ms: u64) -> Step {
    Step {
        count,
        need: cpu(milli),
        estimate_ms,
        ..Step::default()
    }
}

fn hand_in(world: &mut World, id: u64, queue: &str, steps: Vec<Step>) {
    let job = submission(world, queue, "ann", steps);
    world.submit(JobId(id), job);
}

/// A lasting step with one task a VM, where the VMs that it may still use have
/// less room than those that have a task of it: a call must name the former.
#[test]
fn a_lasting_step_spread_thin_finds_its_last_vms() {
    let mut world = World::new(7, site(0, true), fleet(30, 8_000), Faults::default());
    world.claim();
    run(&mut world, 50);
    let spread = |long_lived: bool, count, milli| Step {
        long_lived,
        per_vm_max: 1,
        ..step(count, milli, 4_000)
    };
    // Jobs 2, 5 and 8 are approved for the same twenty VMs.
    hand_in(&mut world, 2, "bulk", vec![spread(true, 10, 4_000)]);
    run(&mut world, 100);
    hand_in(&mut world, 5, "bulk", vec![spread(false, 10, 4_000)]);
    run(&mut world, 100);
    hand_in(&mut world, 8, "bulk", vec![spread(true, 20, 2_000)]);
    run(&mut world, 9_000);
    let of_job = |t: &TaskId| t.stage.job == JobId(8);
    let running = world.vms.values().flat_map(|v| v.running.keys());
    assert_eq!(running.filter(|t| of_job(t)).count(), 20, "tasks at work");
}

/// One account sends seven times its usual, more than its limit holds, quick work and
/// bundles alike; another sends its usual.
#[test]
fn one_account_at_seven_times_its_usual() {
    let mut world = World::new(
        11,
        site(3_000_000, true),
        fleet(350, 64_000),
        Faults::default(),
    );
    world.claim();
    run(&mut world, 100);
    let quick = || vec![step(10, 9_000, 600)];
    let bundle = || vec![step(20, 18_000, 3_800)];
    let mut sent: Vec<(u64, &str, u64)> = Vec::new();
    let mut id = 1;
    let begun = world.now;
    while world.now < begun + 6_000 {
        run(&mut world, 20);
        let n = (world.now - begun) / 20;
        let due = [
            (n.is_multiple_of(5), "bob", "quick"),
            (n.is_multiple_of(100), "bob", "bulk"),
            (true, "ann", "quick"),
            (n.is_multiple_of(15), "ann", "bulk"),
        ];
        for (_, account, queue) in due.into_iter().filter(|d| d.0) {
            let steps = if queue == "quick" { quick() } else { bundle() };
            let job = submission(&world, queue, account, steps);
            world.submit(JobId(id), job);
            if queue == "quick" {
                sent.push((id, account, world.now));
            }
            id += 1;
        }
        world.see_ends();
    }
    for _ in 0..300 {
        run(&mut world, 20);
        world.see_ends();
    }
    // 2 x 600 ms and 500 ms more is the objective of these jobs.
    let in_time = |account: &str| {
        let own: Vec<_> = sent.iter().filter(|s| s.1 == account).collect();
        let good = own
            .iter()
            .filter(|s| world.ended_by(JobId(s.0), s.2 + 1_700));
        (good.count(), own.len())
    };
    let (bob, of_bob) = in_time("bob");
    assert!(
        bob * 100 >= of_bob * 97,
        "{bob} of {of_bob} of the other account"
    );
    let (ann, of_ann) = in_time("ann");
    assert!(
        ann * 100 >= of_ann * 80,
        "{ann} of {of_ann} of the loud account"
    );
}

/// An account sends more quick jobs than it is owed, beside bundles that would fill
/// its limit. There is room on the fleet: its quick jobs do not wait for its bundles.
#[test]
fn quick_work_beyond_its_share_does_not_wait_for_its_accounts_bundles() {
    let mut site = site(60_000, false);
    if let Some(ann) = site.accounts.get_mut("ann") {
        ann.weight = 3.0;
    }
    let mut world = World::new(5, site, fleet(40, 8_000), Faults::default());
    world.claim();
    run(&mut world, 100);
    let mut sent = Vec::new();
    let mut id = 1;
    for n in 0..100 {
        run(&mut world, 50);
        if n % 2 == 0 {
            hand_in(&mut world, id, "bulk", vec![step(4, 4_000, 1_500)]);
            id += 1;
        }
        hand_in(&mut world, id, "quick", vec![step(4, 1_000, 300)]);
        sent.push((id, world.now));
        id += 1;
        world.see_ends();
    }
    for _ in 0..100 {
        run(&mut world, 20);
        world.see_ends();
    }
    // Their objective: twice 300 ms and 500 ms more.
    let good = sent
        .iter()
        .filter(|s| world.ended_by(JobId(s.0), s.1 + 1_100));
    let good = good.count();
    assert!(good >= 95, "{good} of 100 quick jobs were in time");
}

/// More quick jobs come at once than can be in time. Those that have missed their
/// objective do not make the ones that come later miss theirs.
#[test]
fn a_job_that_can_be_in_time_goes_before_those_that_cannot() {
    let mut world = World::new(9, site(1_000, false), fleet(4, 8_000), Faults::default());
    world.claim();
    run(&mut world, 100);
    for id in 1..=12 {
        hand_in(&mut world, id, "quick", vec![step(1, 1_000, 500)]);
    }
    run(&mut world, 2_500);
    let sent = world.now;
    hand_in(&mut world, 20, "quick", vec![step(1, 1_000, 500)]);
    for _ in 0..300 {
        run(&mut world, 20);
        world.see_ends();
    }
    // Its objective: twice 500 ms and 500 ms more.
    assert!(
        world.ended_by(JobId(20), sent + 1_500),
        "it waited for late ones"
    );
}

/// A job that has ended leaves little behind: the next holder reads its end and
/// the jobs at work, and neither plans nor specs of what is over.
#[test]
fn the_return_after_all_was_dark_reads_no_finished_work() {
    let mut world = World::new(3, site(0, false), fleet(10, 8_000), Faults::default());
    world.claim();
    for id in 1..=40 {
        hand_in(&mut world, id, "quick", vec![step(3, 500, 40)]);
        run(&mut world, 20);
    }
    run(&mut world, 1_000);
    let ended = (1..=40)
        .filter(|&id| world.outcome(JobId(id)).is_some())
        .count();
    assert_eq!(ended, 40, "jobs that have ended");
    let (records, bytes) = world.newest_size();
    // An end takes some 80 bytes; a submission of one step takes over 300.
    assert!(bytes < records * 120, "{bytes} bytes in {records} records");
    world.kill();
    world.claim();
    run(&mut world, 2_000);
    let starts = world.starts;
    assert_eq!(starts, 120, "each task ran once");
}
