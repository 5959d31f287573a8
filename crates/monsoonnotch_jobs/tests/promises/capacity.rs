//! Directed tests of VMs whose capacity shrinks and grows while they run.

use std::sync::Arc;

use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::tuning::Tuning;
use monsoonnotch_jobs::vm::Registration;

use crate::directed::appends;
use crate::directed::at;
use crate::directed::deliver;
use crate::directed::job_of_one_task;
use crate::directed::job_with_tasks;
use crate::directed::placement;
use crate::directed::placements;
use crate::directed::poll_answer;
use crate::directed::polls;
use crate::directed::scheduler_with;
use crate::directed::start_one;
use crate::directed::starts;
use crate::directed::wait;
use crate::random::cpu;
use crate::random::fleet;
use crate::random::site;
use crate::simulation::START_UNIX_MS;

/// Needs of a task of the tests, in thousandths of a core.
const NEED: u64 = 500;

/// Returns the event that the VM of the tests now has `milli` thousandths of a core.
fn resized(milli: u64) -> Event {
    let registration = Registration {
        capacity: cpu(milli),
        ..fleet(1, milli).remove(0)
    };
    Event::Vms(vec![(registration.id.clone(), Some(registration))])
}

/// Guards against a start that brings a VM over its capacity: it shrank below what runs there.
#[test]
fn nothing_starts_on_a_vm_that_shrank_until_it_grows_again() {
    let (mut scheduler, _) = scheduler_with(1);
    start_one(&mut scheduler);
    deliver(&mut scheduler, 200, resized(NEED));
    let mut job = job_with_tasks(1);
    job.key = "0000000000000006".into();
    let mut fx = deliver(&mut scheduler, 300, Event::Journal(vec![(2, job)]));
    fx.extend(wait(&mut scheduler, 310..1_000));
    assert_eq!(starts(&fx), Vec::new(), "its capacity is in use");
    let mut fx = deliver(&mut scheduler, 1_000, resized(2 * NEED));
    fx.extend(wait(&mut scheduler, 1_010..1_300));
    assert_eq!(starts(&fx).len(), 1, "it has grown");
}

/// Guards against a start that brings a VM over its capacity: the VM shrank while the placement
/// of the task was being stored.
#[test]
fn a_planned_start_is_given_up_when_its_vm_shrinks() {
    let cfg = Arc::new(site(0, false));
    let mut scheduler = Scheduler::new(2, Tuning::default(), cfg, at(9_000));
    deliver(&mut scheduler, 0, Event::AllVms(fleet(1, 8_000)));
    let read = vec![(0, job_of_one_task()), (0, placement("v000", 0))];
    deliver(&mut scheduler, 1, Event::Journal(read));
    let fx = deliver(&mut scheduler, 2, Event::CaughtUp { marker: 4 });
    let key = polls(&fx)[0];
    // The VM does not run the task, so that it is placed again.
    let answer = Ok(poll_answer(Vec::new()));
    scheduler.handle(Event::Polled { key, answer }, at(30), START_UNIX_MS + 30);
    for ms in (30..600).step_by(10) {
        let fx = scheduler.decide(at(ms), START_UNIX_MS + ms);
        assert_eq!(starts(&fx), Vec::new(), "its placement is not stored");
        if appends(&fx) && placements(&fx).is_empty() {
            let stored = Event::Appended { stored: true };
            scheduler.handle(stored, at(ms), START_UNIX_MS + ms);
        }
    }
    scheduler.handle(resized(NEED / 2), at(600), START_UNIX_MS + 600);
    let stored = Event::Appended { stored: true };
    scheduler.handle(stored, at(610), START_UNIX_MS + 610);
    let mut fx = scheduler.decide(at(610), START_UNIX_MS + 610);
    fx.extend(wait(&mut scheduler, 620..1_000));
    assert_eq!(starts(&fx), Vec::new(), "the VM is too small now");
    let mut fx = deliver(&mut scheduler, 1_000, resized(8_000));
    fx.extend(wait(&mut scheduler, 1_010..1_300));
    assert_eq!(starts(&fx).len(), 1, "it has grown");
}
