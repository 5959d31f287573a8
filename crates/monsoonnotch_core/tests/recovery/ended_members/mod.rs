//! Tests of what ended members leave behind: late replies and holders of removed VMs.

use monsoonnotch_core::prelude::*;
use monsoonnotch_core::record::Stream;

use crate::simulation::Simulation;

/// The tokens of journal appends count from one again when a process rejoins after its eviction. A
/// late reply for the journal of its previous membership must not confirm an append to the new one.
#[test]
fn an_append_reply_for_a_previous_membership_confirms_nothing() {
    let mut sim = Simulation::new(3, 3);
    let me = MemberId(1);
    for call in 1..=20 {
        sim.send_keyed(me, call, &format!("k{call}"), call);
    }
    // The intents of the keys whose home is this member are being appended; none is confirmed.
    for token in 0..10 {
        let stream = Stream::Journal(MemberId(99));
        sim.step(me, Event::Appended { stream, token });
    }
    let dispatched: usize = (1..=20).map(|call| sim.dispatches(call)).sum();
    assert_eq!(dispatched, 0);
}

/// When the successor inherits the VM, the platform no longer lists it, so the successor has only
/// its name from the ledger. It must release the VM all the same.
#[test]
fn the_successor_releases_a_vm_that_is_no_longer_listed() {
    let mut sim = Simulation::new(4, 4);
    let vm = Name::from("vm-0");
    let holder = sim.members[&MemberId(1)].ledger().vms[&vm];
    sim.workers.remove(&vm);
    sim.kill(holder);
    let list = sim.vm_list();
    let left: Vec<MemberId> = sim.members.keys().copied().collect();
    let first = left[0];
    sim.run_until("the VM has no holder", |sim| {
        for m in &left {
            sim.step(*m, Event::Vms(list.clone()));
        }
        !sim.members[&first].ledger().vms.contains_key(&vm)
    });
}
