//! Evacuated failure domains: nothing starts there, and long-lived tasks move elsewhere.

use std::collections::BTreeSet;

use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::Step;
use monsoonnotch_jobs::vm::Registration;

use crate::directed::deliver;
use crate::directed::job_with_tasks;
use crate::directed::scheduler_with;
use crate::directed::start_one;
use crate::directed::starts;
use crate::directed::wait;
use crate::faults::Faults;
use crate::load::step;
use crate::random::cpu;
use crate::random::fleet;
use crate::random::site;
use crate::random::submission;
use crate::simulation::Simulation;

/// The failure domains of the tests.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Divides VMs among the failure domains, one after the other.
pub(crate) fn divide(vms: &mut [Registration]) {
    for (vm, domain) in vms.iter_mut().zip(DOMAINS.into_iter().cycle()) {
        vm.domain = domain.into();
    }
}

fn run(sim: &mut Simulation, ms: u64) {
    for _ in 0..ms {
        sim.step();
    }
}

fn evacuated(domains: &[&str]) -> Event {
    let domains: BTreeSet<_> = domains.iter().map(|&d| d.into()).collect();
    Event::Evacuations(domains)
}

fn simulation(milli: u64) -> Simulation {
    let mut vms = fleet(12, milli);
    divide(&mut vms);
    let mut sim = Simulation::new(21, site(0, false), vms, Faults::default());
    sim.claim();
    run(&mut sim, 50);
    sim
}

fn long_lived(count: u32, unavailable_max: Option<u32>) -> Step {
    Step {
        count,
        need: cpu(1_000),
        estimate_ms: 1_000,
        long_lived: true,
        unavailable_max,
        ..Step::default()
    }
}

/// Returns how many tasks run in a failure domain.
fn running_in(sim: &Simulation, domain: &str) -> usize {
    let vms = sim.vms.values();
    let vms = vms.filter(|v| v.registration.domain == domain);
    vms.map(|v| v.running.len()).sum()
}

/// Guards against starts in an evacuated domain: a steady load, and a third of the fleet goes.
#[test]
fn a_steady_load_leaves_an_evacuated_domain() {
    let mut sim = simulation(8_000);
    for id in 1..=40 {
        if id == 10 {
            sim.evacuate("b");
        }
        let job = submission(&sim, "quick", "ann", vec![step(6, 1_000, 400)]);
        sim.submit(JobId(id), job);
        run(&mut sim, 200);
    }
    assert_eq!(running_in(&sim, "b"), 0, "runs in the domain");
    sim.take_back("b");
    run(&mut sim, 1_600);
    let job = submission(&sim, "quick", "ann", vec![step(96, 1_000, 400)]);
    sim.submit(JobId(50), job);
    run(&mut sim, 100);
    assert!(running_in(&sim, "b") > 0, "the domain is used again");
}

/// Guards against a service that loses more tasks at a time than its plan allows, because its
/// domain is evacuated.
#[test]
fn long_lived_tasks_move_as_many_at_a_time_as_allowed() {
    let mut sim = simulation(8_000);
    let job = submission(&sim, "quick", "ann", vec![long_lived(24, Some(2))]);
    sim.submit(JobId(1), job);
    run(&mut sim, 2_500);
    let total = |sim: &Simulation| DOMAINS.iter().map(|d| running_in(sim, d)).sum::<usize>();
    assert_eq!(total(&sim), 24, "tasks at work");
    let domain = *DOMAINS
        .iter()
        .max_by_key(|d| running_in(&sim, d))
        .expect("three domains");
    sim.evacuate(domain);
    for _ in 0..30_000 {
        run(&mut sim, 1);
        assert!(total(&sim) >= 22, "more than two are away at {}", sim.now);
    }
    assert_eq!(running_in(&sim, domain), 0, "all have moved");
    assert_eq!(total(&sim), 24, "all are at work");
}

/// Guards against a service that waits for room that its own move took: the other domains are full.
#[test]
fn long_lived_tasks_stay_while_there_is_no_room_elsewhere() {
    let mut sim = simulation(2_000);
    let job = submission(&sim, "quick", "ann", vec![long_lived(24, Some(4))]);
    sim.submit(JobId(1), job);
    run(&mut sim, 2_500);
    let before = running_in(&sim, "b");
    assert!(before > 0, "tasks in the domain");
    sim.evacuate("b");
    run(&mut sim, 5_000);
    assert_eq!(running_in(&sim, "b"), before, "none was stopped");
}

/// Guards against a service that loses its tasks to its own move: its account's limit was lowered below what they
/// use, so that none that is stopped may start again.
#[test]
fn long_lived_tasks_above_a_lowered_limit_stay() {
    let mut sim = simulation(8_000);
    let job = submission(&sim, "quick", "ann", vec![long_lived(24, Some(2))]);
    sim.submit(JobId(1), job);
    run(&mut sim, 2_500);
    let before = running_in(&sim, "b");
    sim.publish(site(12_000, false));
    run(&mut sim, 1_500);
    sim.evacuate("b");
    run(&mut sim, 5_000);
    assert_eq!(running_in(&sim, "b"), before, "none was stopped");
    sim.publish(site(24_000, false));
    run(&mut sim, 30_000);
    assert_eq!(running_in(&sim, "b"), 0, "all have moved");
    let total: usize = DOMAINS.iter().map(|d| running_in(&sim, d)).sum();
    assert_eq!(total, 24, "all are at work");
}

/// Guards against a start that is sent again into a domain that was evacuated after its first
/// send had no answer.
#[test]
fn an_unanswered_start_is_not_repeated_in_an_evacuated_domain() {
    let (mut scheduler, _) = scheduler_with(1);
    let (run, _) = start_one(&mut scheduler);
    deliver(&mut scheduler, 150, evacuated(&["a"]));
    let answer = StartAnswer::Unknown;
    let fx = deliver(&mut scheduler, 230, Event::Started { run, answer });
    assert_eq!(starts(&fx), Vec::new(), "the domain is evacuated");
    let stops = |e: &Effect| matches!(e, Effect::Stop { run: r, .. } if *r == run);
    assert!(fx.iter().any(stops), "the first send may still begin");
}

/// Guards against a request for a domain that no VM is in, and against one that is repeated.
#[test]
fn unknown_domains_and_repeated_requests_change_nothing() {
    let (mut scheduler, _) = scheduler_with(1);
    for _ in 0..2 {
        deliver(&mut scheduler, 100, evacuated(&["nowhere"]));
    }
    let job = Event::Journal(vec![(1, job_with_tasks(2))]);
    let mut fx = deliver(&mut scheduler, 200, job);
    fx.extend(wait(&mut scheduler, 210..400));
    assert_eq!(starts(&fx).len(), 2);
}
