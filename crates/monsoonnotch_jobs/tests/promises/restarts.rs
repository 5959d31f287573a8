//! Directed tests of VMs that restart under their id while orders and answers are in transit.

use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::scheduler::RunKey;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::tuning::Tuning;
use monsoonnotch_jobs::vm::Registration;
use rstest::rstest;

use crate::directed::deliver;
use crate::directed::job_of_one_task;
use crate::directed::scheduler_with;
use crate::directed::starts;
use crate::incarnations::cut_off;
use crate::incarnations::end_pending;
use crate::incarnations::listing;
use crate::incarnations::registration;
use crate::incarnations::restart_empty;
use crate::incarnations::run_polls;
use crate::incarnations::start_running;
use crate::incarnations::stops;
use crate::simulation::START_UNIX_MS;

/// How late the platform may execute an order that got no answer, in milliseconds.
pub(crate) const LATE_ORDER_MAX_MS: u64 = 12_000;

/// Returns a scheduler whose only start had no answer and was sent again, with its run and the
/// id of its VM.
fn repeated_start() -> (Scheduler, RunKey, String) {
    let (mut scheduler, _) = scheduler_with(2);
    let submitted = Event::Journal(vec![(1, job_of_one_task())]);
    let fx = deliver(&mut scheduler, 100, submitted);
    let started = fx.iter().find_map(|e| match e {
        Effect::Start { run, to, .. } => Some((*run, to.id.to_string())),
        _ => None,
    });
    let (run, vm) = started.expect("the task is started");
    let answer = StartAnswer::Unknown;
    let fx = deliver(&mut scheduler, 230, Event::Started { run, answer });
    assert_eq!(starts(&fx), vec![run], "the start is sent again");
    (scheduler, run, vm)
}

/// Guards against two runs of one task: the second send of a start was answered before the VM
/// restarted, and the first one may still reach the new incarnation.
#[test]
fn a_run_with_an_unanswered_send_is_stopped_after_a_restart() {
    let (mut scheduler, run, vm) = repeated_start();
    let answer = StartAnswer::Running;
    deliver(&mut scheduler, 240, Event::Started { run, answer });
    let fx = restart_empty(&mut scheduler, &vm, 1_900);
    assert_eq!(starts(&fx), Vec::new(), "the first send may still arrive");
    assert_eq!(stops(&fx).first(), Some(&run));
}

/// Guards against a VM that is polled without pause and a task that never starts again: the VM
/// restarted after its time of day had stepped back, so that its answers look like old ones.
#[test]
fn answers_of_an_earlier_incarnation_do_not_count_as_answers() {
    let (mut scheduler, waiting) = scheduler_with(2);
    let (_, vm) = start_running(&mut scheduler);
    let earlier = || Ok(listing(START_UNIX_MS - 500_000, &[]));
    let fx = end_pending(&mut scheduler, 1_000, &waiting, &vm, earlier());
    let fx = run_polls(&mut scheduler, fx, 1_000..11_000, |id, _| {
        (id == vm).then(earlier)
    });
    let polled = |e: &&Effect| matches!(e, Effect::Poll { to, .. } if to.id == vm.as_str());
    let polls = fx.iter().filter(polled).count();
    assert!(polls <= 20, "{polls} polls in 10 s");
    assert_eq!(starts(&fx).len(), 1, "its lease has expired");
}

/// Guards against a VM that is never used again: an entry of it that another writer left has a start
/// time in the future, so that the VM's own answers look like old ones.
#[rstest]
#[case::largest(u64::MAX)]
#[case::next_year(START_UNIX_MS + 365 * 24 * 3_600_000)]
fn a_vm_is_used_again_after_an_entry_with_a_start_in_the_future(#[case] started_ms: u64) {
    let (mut scheduler, _) = scheduler_with(1);
    let (_, vm) = start_running(&mut scheduler);
    let odd = Registration {
        started_ms,
        ..registration(&vm)
    };
    let listed = Event::Vms(vec![(odd.id.clone(), Some(odd))]);
    let fx = deliver(&mut scheduler, 1_000, listed);
    let of_vm = |_: &str, _| Some(Ok(listing(START_UNIX_MS, &[])));
    let longest = Tuning::default().lease_max.as_millis();
    let fx = run_polls(&mut scheduler, fx, 1_000..1_000 + 2 * longest, of_vm);
    assert_eq!(starts(&fx).len(), 1, "the task is not started again");
}

/// Guards against two runs of one task: a start without an answer reaches a new incarnation of
/// the VM, which nothing has announced yet, as late as the platform executes orders. The clock
/// of that incarnation starts anew, so that it grants the longest lease, and it is cut off.
#[test]
fn an_unanswered_start_may_run_for_the_longest_lease() {
    let (mut scheduler, run, vm) = repeated_start();
    let mut fx = Vec::new();
    for ms in [480, 880, 1_280] {
        let answer = StartAnswer::Unknown;
        fx = deliver(&mut scheduler, ms, Event::Started { run, answer });
    }
    let until = 880 + LATE_ORDER_MAX_MS + Tuning::default().lease_max.as_millis();
    let fx = cut_off(&mut scheduler, fx, &vm, 1_300..until);
    assert_eq!(starts(&fx), Vec::new(), "the new incarnation may run it");
    let failed = |id: &str, _| (id == vm).then_some(Err(PollError::Unresponsive));
    let fx = run_polls(&mut scheduler, fx, until..until + 2_000, failed);
    assert_eq!(starts(&fx).len(), 1, "every lease has expired");
}

/// Guards against two runs of one task: the same, and a poll after the last send of the start gives
/// the new incarnation the longest lease, as late.
#[test]
fn a_poll_after_an_unanswered_start_may_give_the_longest_lease() {
    const SLOWEST_CLOCK_MILLI: u64 = 980;
    let (mut scheduler, run, vm) = repeated_start();
    let mut fx = Vec::new();
    for ms in [480, 880, 1_280] {
        let answer = StartAnswer::Unknown;
        fx = deliver(&mut scheduler, ms, Event::Started { run, answer });
    }
    let gives_lease = |e: &Effect| {
        let Effect::Poll {
            to, lease_until_ms, ..
        } = e
        else {
            return false;
        };
        to.id == vm.as_str() && lease_until_ms.is_some()
    };
    let mut leased_at = 1_280;
    let mut started_at = None;
    for ms in (1_280..40_000).step_by(10) {
        // The first poll has no result at all, so that the next one asks for a lease as well.
        let failed =
            |id: &str, ms| (id == vm && ms > 2_000).then_some(Err(PollError::Unresponsive));
        let known = fx.len();
        fx = run_polls(&mut scheduler, fx, ms..ms + 10, failed);
        fx = fx.split_off(known);
        if fx.iter().any(gives_lease) {
            leased_at = ms;
        }
        if !starts(&fx).is_empty() {
            started_at = Some(ms);
            break;
        }
    }
    let lease = Tuning::default().lease_max.as_millis() * 1_000 / SLOWEST_CLOCK_MILLI;
    let started_at = started_at.expect("the task starts again");
    assert!(
        started_at >= leased_at + LATE_ORDER_MAX_MS + lease,
        "started at {started_at} ms, a lease given {LATE_ORDER_MAX_MS} ms after {leased_at} ms may last for {lease} ms"
    );
}
