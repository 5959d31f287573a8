//! Directed tests of the delegation of orders to executors that are lost, silent, late or wrong.

use std::sync::Arc;

use monsoonnotch_core::record::decode;
use monsoonnotch_core::record::encode;
use monsoonnotch_jobs::delegation::Actions;
use monsoonnotch_jobs::delegation::Batch;
use monsoonnotch_jobs::delegation::Call;
use monsoonnotch_jobs::delegation::Delegation;
use monsoonnotch_jobs::delegation::Limits;
use monsoonnotch_jobs::delegation::Outcome;
use monsoonnotch_jobs::delegation::VmCall;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::event::StopAnswer;
use monsoonnotch_jobs::fitness::Capacity;
use monsoonnotch_jobs::scheduler::Scheduler;
use monsoonnotch_jobs::tuning::Tuning;

use crate::directed::at;
use crate::directed::deliver;
use crate::directed::job_with_tasks;
use crate::directed::poll_answer;
use crate::directed::scheduler_with;
use crate::random::fleet;
use crate::random::site;

const TOKEN: u64 = 1;
/// Links of two executors in the VMs' domain; the first one has more cores.
const STRONG: u64 = 1;
const WEAKER: u64 = 2;

/// Returns a delegation with two executors in the VMs' domain and one in another.
fn delegation(vms_min: usize) -> Delegation {
    let limits = Limits {
        vms_min,
        cores_min: 0.2,
        executors_per_domain: 1,
    };
    let mut delegation = Delegation::new(limits);
    delegation.executor_joined(STRONG, "a".into(), Capacity::of_cores(0.5), at(0));
    delegation.executor_joined(WEAKER, "a".into(), Capacity::of_cores(0.25), at(0));
    delegation.executor_joined(3, "b".into(), Capacity::of_cores(0.5), at(0));
    delegation
}

/// Returns the starts of three tasks.
fn starts() -> Vec<Effect> {
    let (mut scheduler, _) = scheduler_with(4);
    let submitted = Event::Journal(vec![(1, job_with_tasks(3))]);
    let mut fx = deliver(&mut scheduler, 100, submitted);
    fx.retain(|e| matches!(e, Effect::Start { .. }));
    assert_eq!(fx.len(), 3);
    fx
}

/// Returns polls of `vms` VMs.
fn polls(vms: u64) -> Vec<Effect> {
    let site = Arc::new(site(0, false));
    let mut scheduler = Scheduler::new(TOKEN, Tuning::default(), site, at(0));
    deliver(&mut scheduler, 0, Event::AllVms(fleet(vms, 8_000)));
    let mut fx = deliver(&mut scheduler, 1, Event::CaughtUp { marker: 0 });
    fx.retain(|e| matches!(e, Effect::Poll { .. }));
    fx
}

fn vm_call(effect: Effect) -> VmCall {
    VmCall::try_from(effect).expect("a call to a VM")
}

/// Delegates calls and returns those that the leader makes itself.
fn delegate(delegation: &mut Delegation, ms: u64, fx: Vec<Effect>) -> Vec<VmCall> {
    let calls = fx.into_iter().map(vm_call);
    let own = calls.filter_map(|c| delegation.delegate(TOKEN, c, at(ms)));
    own.collect()
}

/// Returns the batch for an executor after its way over a link.
fn sent_batch(actions: &mut Actions, link: u64) -> Batch {
    let batch = actions.batches.remove(&link).expect("a batch is due");
    decode(&encode(&batch)).expect("a batch can be decoded")
}

fn calls(actions: &mut Actions, link: u64) -> Vec<(u64, Call)> {
    let calls = sent_batch(actions, link).into_calls();
    let calls = calls.expect("a valid batch").into_iter();
    calls.map(|(seq, _, call)| (seq, call)).collect()
}

fn start_answers(actions: &Actions) -> Vec<StartAnswer> {
    let answers = actions.events.iter().filter_map(|e| match e {
        Event::Started { answer, .. } => Some(*answer),
        _ => None,
    });
    answers.collect()
}

fn failed_polls(actions: &Actions) -> usize {
    let failed = |e: &&Event| {
        let answer = Err(PollError::Unresponsive);
        matches!(e, Event::Polled { answer: a, .. } if *a == answer)
    };
    actions.events.iter().filter(failed).count()
}

/// Guards against leases that lapse because their renewal waited behind starts.
#[test]
fn a_batch_begins_with_polls_and_carries_a_spec_once() {
    let mut delegation = delegation(0);
    assert_eq!(delegate(&mut delegation, 1, starts()).len(), 0);
    assert_eq!(delegate(&mut delegation, 1, polls(1)).len(), 0);
    let mut actions = delegation.tick(at(1));
    assert_eq!(
        actions.batches.keys().copied().collect::<Vec<_>>(),
        [STRONG]
    );
    let bytes = encode(&actions.batches[&STRONG]).len();
    assert!(bytes < 600, "{bytes} bytes for three starts and a poll");
    let calls = calls(&mut actions, STRONG);
    assert!(matches!(calls[0].1, Call::Poll { .. }));
    let specs = calls.iter().filter_map(|(_, call)| match call {
        Call::Start(order) => Some(order.spec.to_string()),
        _ => None,
    });
    assert_eq!(specs.count(), 3);
}

/// Small fleets need no executors: the leader calls their VMs itself.
#[test]
fn the_leader_of_a_small_fleet_calls_its_vms_itself() {
    let mut delegation = delegation(3);
    let own = delegate(&mut delegation, 1, polls(6));
    assert_eq!(own.len(), 3, "the first VMs, before the fleet is known");
    let own = delegate(&mut delegation, 2, polls(3));
    assert_eq!(own.len(), 0);
}

/// Guards against VMs that count as unresponsive, and work that starts again elsewhere, because
/// their executor was lost.
#[test]
fn orders_of_a_lost_executor_are_unanswered_and_its_polls_are_repeated() {
    let mut delegation = delegation(0);
    delegate(&mut delegation, 1, starts());
    delegate(&mut delegation, 1, polls(2));
    delegation.tick(at(1));
    let actions = delegation.executor_left(STRONG, at(50));
    assert_eq!(start_answers(&actions), [StartAnswer::Unknown; 3]);
    assert_eq!(failed_polls(&actions), 0);
    assert_eq!(actions.direct.len(), 2, "the leader polls the VMs itself");
}

/// Guards against a domain without orders while its executor is paused or cut off from the leader.
#[test]
fn a_silent_executor_is_replaced_and_suspended() {
    let mut delegation = delegation(0);
    delegate(&mut delegation, 1, polls(2));
    delegation.tick(at(1));
    delegation.heard(WEAKER, at(400));
    delegation.heard(3, at(400));
    let actions = delegation.tick(at(460));
    assert_eq!(actions.suspended, [STRONG]);
    assert_eq!(actions.direct.len(), 2);
    delegation.heard(STRONG, at(470));
    // The leader calls the first two VMs itself for a while.
    delegate(&mut delegation, 480, polls(4));
    let actions = delegation.tick(at(480));
    let links: Vec<u64> = actions.batches.into_keys().collect();
    assert_eq!(links, [WEAKER], "it may have been paused just now");
}

/// Guards against a VM that counts as unresponsive because only its executor cannot reach it.
#[test]
fn a_poll_fails_only_after_the_leader_has_polled_the_vm_itself() {
    let mut delegation = delegation(0);
    delegate(&mut delegation, 1, polls(1));
    let seq = calls(&mut delegation.tick(at(1)), STRONG)[0].0;
    let failed = || Outcome::polled(Err(PollError::Unresponsive));
    let actions = delegation.completed(STRONG, vec![(seq, failed())], at(700));
    assert_eq!((failed_polls(&actions), actions.direct.len()), (0, 1));
    let own = delegate(&mut delegation, 800, polls(1));
    assert_eq!(own.len(), 1, "the executor is avoided for a while");
}

/// Guards against an order that crosses a restart (review/7): the VM of a poll without an answer may
/// have restarted. The repeated poll would give the new incarnation a lease by the clock of the
/// previous one, and acknowledge finished runs by its numbers.
#[test]
fn a_repeated_poll_renews_no_lease_and_acknowledges_nothing() {
    let mut delegation = delegation(0);
    let mut poll = vm_call(polls(1).remove(0));
    let Call::Poll {
        acknowledged,
        lease_until_ms,
        ..
    } = &mut poll.call
    else {
        panic!("a poll");
    };
    (*acknowledged, *lease_until_ms) = (3, Some(9_000));
    assert!(delegation.delegate(TOKEN, poll, at(1)).is_none());
    delegation.tick(at(1));
    let repeated = delegation.executor_left(STRONG, at(50)).direct.remove(0);
    let asks = match repeated.call {
        Call::Poll {
            acknowledged,
            lease_until_ms,
            ..
        } => Some((acknowledged, lease_until_ms)),
        Call::Start(_) | Call::Stop { .. } => None,
    };
    assert_eq!(asks, Some((0, None)));
}

/// Guards against late detection of a VM that neither the executor nor the leader reaches.
#[test]
fn a_poll_fails_if_the_leader_has_polled_the_vm_beside_it() {
    let mut delegation = delegation(0);
    delegate(&mut delegation, 1, polls(1));
    let seq = calls(&mut delegation.tick(at(1)), STRONG)[0].0;
    let own = delegate(&mut delegation, 200, polls(1));
    assert_eq!(own.len(), 1, "a poll beside a late one takes the other way");
    let failed = Outcome::polled(Err(PollError::Unresponsive));
    let actions = delegation.completed(STRONG, vec![(seq, failed)], at(700));
    assert_eq!((failed_polls(&actions), actions.direct.len()), (1, 0));
}

/// Guards against starts that wait for an executor that is slow: they count as unanswered, and
/// the next order for their VM takes the other way. The late outcome has no effect.
#[test]
fn an_overdue_start_is_unanswered_and_its_late_outcome_is_ignored() {
    let mut delegation = delegation(0);
    delegate(&mut delegation, 1, starts());
    let seqs = calls(&mut delegation.tick(at(1)), STRONG);
    delegation.heard(STRONG, at(200));
    // The timeout of a first start is 120 ms, and the way there and back may take as long.
    let actions = delegation.tick(at(250));
    assert_eq!(start_answers(&actions), [StartAnswer::Unknown; 3]);
    assert_eq!(delegate(&mut delegation, 260, starts()).len(), 3);
    let late = Outcome::Started(StartAnswer::Running);
    let completed = delegation.completed(STRONG, vec![(seqs[0].0, late)], at(270));
    assert_eq!(completed.events.len(), 0);
}

/// Guards against outcomes of another executor that are taken for those of the present one.
#[test]
fn outcomes_count_only_from_the_executor_of_the_order() {
    let mut delegation = delegation(0);
    delegate(&mut delegation, 1, starts());
    let seq = calls(&mut delegation.tick(at(1)), STRONG)[0].0;
    let running = || vec![(seq, Outcome::Started(StartAnswer::Running))];
    let other = delegation.completed(WEAKER, running(), at(2));
    assert_eq!(other.events.len(), 0);
    let own = delegation.completed(STRONG, running(), at(3));
    assert_eq!(own.events.len(), 1);
}

/// Guards against malformed messages that take a process down: an outcome of another kind than its
/// order, and an order without its spec.
#[test]
fn malformed_orders_and_outcomes_are_refused() {
    let mut delegation = delegation(0);
    delegate(&mut delegation, 1, starts());
    let mut actions = delegation.tick(at(1));
    let mut bytes = encode(&actions.batches[&STRONG]);
    // The list of specs, with the spec "" in it, becomes an empty list.
    let specs = b"especs\x81\x60";
    let found = bytes.windows(specs.len()).position(|w| w == specs);
    let found = found.expect("the specs are encoded as a list of one text");
    bytes.splice(found..found + specs.len(), *b"especs\x80");
    let batch: Batch = decode(&bytes).expect("a batch");
    assert!(batch.into_calls().is_none());
    let calls = calls(&mut actions, STRONG);
    let (first, second) = (calls[0].0, calls[1].0);
    let outcomes = vec![
        (first, Outcome::Stopped(StopAnswer::Accepted)),
        (second, Outcome::Started(StartAnswer::Running)),
    ];
    let actions = delegation.completed(STRONG, outcomes, at(2));
    assert_eq!(actions.mismatched, Some(first));
    let answers = start_answers(&actions);
    assert_eq!(answers, [StartAnswer::Unknown, StartAnswer::Running]);
}

/// Guards against orders of a term that has ended: they are not sent after the next one begins.
#[test]
fn a_new_term_sends_no_orders_of_the_previous_one() {
    let mut delegation = delegation(0);
    delegate(&mut delegation, 1, starts());
    let poll = polls(1).pop().expect("a poll");
    let own = delegation.delegate(TOKEN + 1, vm_call(poll), at(1));
    assert!(own.is_none());
    let mut actions = delegation.tick(at(2));
    let batch = sent_batch(&mut actions, STRONG);
    assert_eq!((batch.token, batch.len()), (TOKEN + 1, 1));
    let left = delegation.executor_left(STRONG, at(3));
    assert_eq!(start_answers(&left), []);
}

/// Guards against answers that lose runs on their way from an executor.
#[test]
fn the_answer_to_a_poll_survives_its_encoding() {
    let mut delegation = delegation(0);
    delegate(&mut delegation, 1, polls(1));
    let seq = calls(&mut delegation.tick(at(1)), STRONG)[0].0;
    let outcome = Outcome::polled(Ok(poll_answer(Vec::new())));
    let outcomes: Vec<(u64, Outcome)> =
        decode(&encode(&vec![(seq, outcome)])).expect("outcomes can be decoded");
    let events = delegation.completed(STRONG, outcomes, at(5)).events;
    let expected = poll_answer(Vec::new());
    assert!(matches!(&events[..], [Event::Polled { answer: Ok(a), .. }] if *a == expected));
}
