//! The control thread's inbox when the thread does not keep up.

use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::wire::PeerMsg;
use monsoonnotch_entry::control;

#[test]
fn messages_of_peers_take_bounded_memory() {
    let (inbox, rx) = control::inbox();
    let sent = 40_000;
    for _ in 0..sent {
        let msg = PeerMsg::TaskUpdatesAck { tasks: Vec::new() };
        inbox.send_peer_message(MemberId(1), MemberId(2), msg);
    }
    // Everything else is never dropped.
    inbox.send_event(Event::Tick);
    let waiting = rx.try_iter().count();
    assert!(waiting < sent / 2, "{waiting} wait");
    assert!(waiting > 1);
}
