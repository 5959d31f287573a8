//! The control thread's inbox when the thread is too slow for its inputs.
//!
//! Messages of peers beyond a limit are dropped, so that they cannot exhaust the memory of a
//! process whose control thread falls behind. All other inputs are kept.

use monsoonnotch_core::event::Event;
use monsoonnotch_core::ident::MemberId;
use monsoonnotch_core::wire::PeerMsg;
use monsoonnotch_entry::control;

#[test]
fn bounds_queued_peer_messages() {
    let (inbox, rx) = control::inbox();
    let sent = 40_000;
    for _ in 0..sent {
        let msg = PeerMsg::TaskUpdatesAck { tasks: Vec::new() };
        inbox.send_peer_message(MemberId(1), MemberId(2), msg);
    }
    // Inputs other than messages of peers are never dropped.
    inbox.send_event(Event::Tick);
    let waiting = rx.try_iter().count();
    assert!(waiting < sent / 2, "{waiting} inputs are queued");
    assert!(waiting > 1);
}
