//! What former members and VMs that are gone leave behind.

use monsoonnotch_core::prelude::*;
use monsoonnotch_core::record::Stream;

use crate::cell::Cell;

#[test]
fn a_reply_to_a_former_members_append_confirms_nothing() {
    let mut cell = Cell::new(3, 3);
    let me = MemberId(1);
    for call in 1..=20 {
        cell.deposit(me, call, &format!("k{call}"), call);
    }
    // The appends of those keys whose home is here are out; nothing has answered them.
    for token in 0..10 {
        let stream = Stream::Journal(MemberId(99));
        cell.step(me, Event::Appended { stream, token });
    }
    let dispatched: usize = (1..=20).map(|call| cell.dispatches(call)).sum();
    assert_eq!(dispatched, 0);
}

#[test]
fn a_vm_that_vanished_with_its_holder_is_released_by_the_heir() {
    let mut cell = Cell::new(4, 4);
    let vm = Name::from("vm-0");
    let holder = cell.members[&MemberId(1)].ledger().vms[&vm];
    cell.workers.remove(&vm);
    cell.kill(holder);
    let list = cell.list();
    let left: Vec<MemberId> = cell.members.keys().copied().collect();
    let first = left[0];
    cell.until("nobody holds it", |c| {
        for m in &left {
            c.step(*m, Event::Vms(list.clone()));
        }
        !c.members[&first].ledger().vms.contains_key(&vm)
    });
}
