//! Directed tests of VMs that leave, restart under their id or are cut off: a task must not
//! start again before it is certain that its run has ended.

use std::ops::Range;

use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::PollKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::tuning::Tuning;
use monsoonnotch_jobs::vm::PollAnswer;
use monsoonnotch_jobs::vm::Registration;

use crate::directed::decide;
use crate::directed::deliver;
use crate::directed::job_of_one_task;
use crate::directed::scheduler_with;
use crate::directed::starts;
use crate::random::fleet;

/// Returns the registration of a VM.
fn registration(id: &str) -> Registration {
    let all = fleet(3, 8_000);
    let found = all.into_iter().find(|r| r.id == id);
    found.expect("a VM of the fleet")
}

/// Starts a job with one task and returns the id of its VM.
fn start_running(scheduler: &mut Scheduler) -> String {
    let fx = deliver(scheduler, 100, Event::Journal(vec![(1, job_of_one_task())]));
    let started = fx.iter().find_map(|e| match e {
        Effect::Start { run, to, .. } => Some((*run, to.id.to_string())),
        _ => None,
    });
    let (run, vm) = started.expect("the task is started");
    let answer = StartAnswer::Running;
    deliver(scheduler, 102, Event::Started { run, answer });
    vm
}

/// Advances the time while `poll` gives the result of each poll in `fx`, and of those that
/// follow, by the VM's id and the time; `None` if the VM holds the poll open.
fn run_polls(
    scheduler: &mut Scheduler,
    mut fx: Vec<Effect>,
    ms: Range<u64>,
    poll: impl Fn(&str, u64) -> Option<Result<PollAnswer, PollError>>,
) -> Vec<Effect> {
    let mut all = Vec::new();
    for ms in ms.step_by(10) {
        let mut next = Vec::new();
        for effect in &fx {
            if let Effect::Poll { key, to, .. } = effect
                && let Some(answer) = poll(&to.id, ms)
            {
                let key = *key;
                next.extend(deliver(scheduler, ms, Event::Polled { key, answer }));
            }
        }
        next.extend(decide(scheduler, ms));
        all.append(&mut fx);
        fx = next;
    }
    all.append(&mut fx);
    all
}

/// Delivers the result of the poll that waits at a VM since the start of the test.
fn end_pending(
    scheduler: &mut Scheduler,
    ms: u64,
    waiting: &[PollKey],
    vm: &str,
    answer: Result<PollAnswer, PollError>,
) -> Vec<Effect> {
    let index: usize = vm[1..].parse().expect("a VM's number");
    let key = waiting[index];
    deliver(scheduler, ms, Event::Polled { key, answer })
}

/// Makes the polls of a VM fail during `ms`, also those in `fx`; other VMs hold their polls
/// open.
fn cut_off(scheduler: &mut Scheduler, fx: Vec<Effect>, vm: &str, ms: Range<u64>) -> Vec<Effect> {
    run_polls(scheduler, fx, ms, |id, _| {
        (id == vm).then_some(Err(PollError::Unresponsive))
    })
}

/// Guards against two runs of one task: the entry of a draining VM was withdrawn and two
/// polls were lost, but the VM is up, and its lease holds.
#[test]
fn a_draining_vm_without_an_entry_keeps_its_runs_until_its_lease_expires() {
    let (mut scheduler, waiting) = scheduler_with(2);
    let vm = start_running(&mut scheduler);
    let draining = Registration {
        draining: true,
        ..registration(&vm)
    };
    let listed = Event::Vms(vec![(draining.id.clone(), Some(draining.clone()))]);
    deliver(&mut scheduler, 110, listed);
    let withdrawn = Event::Vms(vec![(draining.id, None)]);
    deliver(&mut scheduler, 500, withdrawn);
    let failed = Err(PollError::Unresponsive);
    let fx = end_pending(&mut scheduler, 600, &waiting, &vm, failed);
    let lease = Tuning::default().lease.as_millis();
    let fx = cut_off(&mut scheduler, fx, &vm, 610..lease);
    assert_eq!(starts(&fx), Vec::new(), "its lease holds");
    let fx = cut_off(&mut scheduler, fx, &vm, lease..lease + 400);
    assert_eq!(starts(&fx).len(), 1, "its lease has expired");
}
