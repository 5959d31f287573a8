//! Who is ended when a budget is full.

use monsoonnotch_core::time::Duration;
use monsoonnotch_core::time::Time;
use monsoonnotch_ingress::accounts::Accounts;
use monsoonnotch_ingress::accounts::ConnectionKey;
use monsoonnotch_ingress::accounts::End;
use monsoonnotch_ingress::accounts::Need;
use monsoonnotch_ingress::accounts::Room;
use monsoonnotch_ingress::accounts::Turn;
use monsoonnotch_ingress::accounts::Waiting;
use monsoonnotch_ingress::limits::Limits;

/// Ten connections, with room for two bodies of 100 bytes beside them.
const LIMITS: Limits = Limits {
    memory: 300,
    connections: 10,
    connection_bytes: 10,
};
const BODY_BYTES: u64 = 100;
const START: Time = Time(0);

fn after_ms(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn connect(accounts: &mut Accounts, now: Time) -> ConnectionKey {
    accounts.arrive(now).expect("a free place")
}

/// Requests the place of a connection that finds none free, and has received something.
fn request_place(accounts: &mut Accounts, now: Time) -> Room {
    assert_eq!(accounts.arrive(now), None);
    let (waiting, _) = accounts.wait(100);
    accounts.received_while_waiting(waiting);
    let room = accounts.request(Need::Place(waiting), now);
    accounts.stop_waiting(waiting);
    room
}

/// Opens a connection whose client has sent a part of a body, for which it took memory.
fn connect_with_body(accounts: &mut Accounts, now: Time) -> ConnectionKey {
    let key = connect(accounts, now);
    let need = Need::Bytes(key, BODY_BYTES);
    assert_eq!(accounts.request(need, now), Room::Taken(Some(key)));
    key
}

fn connect_all(accounts: &mut Accounts, now: Time) -> Vec<ConnectionKey> {
    (0..LIMITS.connections)
        .map(|_| connect(accounts, now))
        .collect()
}

#[test]
fn a_stalled_body_goes_before_clients_that_only_wait() {
    let mut accounts = Accounts::new(LIMITS);
    let idle = connect(&mut accounts, START);
    let stalled = connect_with_body(&mut accounts, START);
    let other = connect_with_body(&mut accounts, after_ms(500));
    let asking = connect(&mut accounts, after_ms(990));
    let need = Need::Bytes(asking, BODY_BYTES);
    let room = accounts.request(need, after_ms(1_000));
    assert_eq!(room, Room::After(vec![(stalled, End::Now)]));
    // What it gives back is enough, so that nobody else is ended meanwhile.
    let room = accounts.request(need, after_ms(1_001));
    assert_eq!(room, Room::After(Vec::new()));
    accounts.close(stalled);
    let room = accounts.request(need, after_ms(1_002));
    assert_eq!(room, Room::Taken(Some(asking)));
    for key in [idle, other, asking] {
        accounts.close(key);
    }
    assert_eq!((accounts.used(), accounts.open()), (0, 0));
}

#[test]
fn a_complete_request_is_never_ended() {
    let mut accounts = Accounts::new(LIMITS);
    for key in connect_all(&mut accounts, START) {
        accounts.begin_turn(key, Turn::Process, START);
    }
    let room = request_place(&mut accounts, after_ms(60_000));
    assert_eq!(room, Room::Full);
}

#[test]
fn clients_that_send_fast_enough_are_not_ended() {
    let mut accounts = Accounts::new(LIMITS);
    let keys = connect_all(&mut accounts, START);
    let (slow, fast) = keys.split_at(1);
    for &key in fast {
        accounts.received(key, 1 << 20);
    }
    accounts.received(slow[0], 1_000);
    let room = request_place(&mut accounts, after_ms(1_000));
    assert_eq!(room, Room::After(vec![(slow[0], End::Now)]));
    accounts.close(slow[0]);
    connect(&mut accounts, after_ms(1_000));
    let room = request_place(&mut accounts, after_ms(1_001));
    assert_eq!(room, Room::Full);
}

#[test]
fn new_connections_have_a_moment_to_send() {
    let mut accounts = Accounts::new(LIMITS);
    connect_all(&mut accounts, START);
    let room = request_place(&mut accounts, after_ms(200));
    assert_eq!(room, Room::Full);
}

/// Guards against clients that keep all places with one short request after the other.
#[test]
fn the_oldest_served_connection_makes_room_for_a_new_one() {
    let mut accounts = Accounts::new(LIMITS);
    let oldest = connect(&mut accounts, START);
    let mut keys = vec![oldest];
    keys.extend((1..LIMITS.connections).map(|_| connect(&mut accounts, after_ms(1))));
    for &key in &keys {
        accounts.begin_turn(key, Turn::Process, after_ms(2));
        accounts.begin_turn(key, Turn::Client, after_ms(3));
        accounts.begin_turn(key, Turn::Process, after_ms(4));
    }
    let room = request_place(&mut accounts, after_ms(100));
    assert_eq!(room, Room::After(vec![(oldest, End::AfterResponse)]));
    // Its client stops in the middle of the next request.
    accounts.begin_turn(oldest, Turn::Client, after_ms(101));
    let room = request_place(&mut accounts, after_ms(1_000));
    assert_eq!(room, Room::After(vec![(oldest, End::Now)]));
}

/// Guards against a crowd of newcomers of which only one at a time gets a place, and against ordinary
/// clients that wait behind all of them.
#[test]
fn each_connection_that_waits_gets_a_place_the_newest_first() {
    let mut accounts = Accounts::new(LIMITS);
    let keys = connect_all(&mut accounts, START);
    let waiting: Vec<Waiting> = (0..5).map(|_| accounts.wait(5).0).collect();
    for &waiting in &waiting[..4] {
        accounts.received_while_waiting(waiting);
    }
    let now = after_ms(1_000);
    let request =
        |accounts: &mut Accounts, i: usize| accounts.request(Need::Place(waiting[i]), now);
    let Room::After(ends) = request(&mut accounts, 0) else {
        panic!("there are clients that lag");
    };
    assert_eq!(ends.len(), 4);
    assert_eq!(request(&mut accounts, 1), Room::After(Vec::new()));
    accounts.close(keys[0]);
    accounts.close(keys[1]);
    assert_eq!(request(&mut accounts, 1), Room::After(Vec::new()));
    assert!(matches!(request(&mut accounts, 2), Room::Taken(Some(_))));
    assert!(matches!(request(&mut accounts, 3), Room::Taken(Some(_))));
    assert_eq!(request(&mut accounts, 1), Room::After(Vec::new()));
}

/// Guards against a crowd that takes the places which others have been displaced for.
#[test]
fn a_silent_newcomer_takes_no_place_that_another_waits_for() {
    let mut accounts = Accounts::new(LIMITS);
    let keys = connect_all(&mut accounts, START);
    let now = after_ms(1_000);
    let (waiting, _) = accounts.wait(100);
    accounts.received_while_waiting(waiting);
    let room = accounts.request(Need::Place(waiting), now);
    assert!(matches!(room, Room::After(_)), "{room:?}");
    accounts.close(keys[0]);
    assert_eq!(accounts.arrive(now), None);
    let room = accounts.request(Need::Place(waiting), now);
    assert!(matches!(room, Room::Taken(Some(_))), "{room:?}");
}

#[test]
fn a_new_connection_waits_in_place_of_the_oldest() {
    let mut accounts = Accounts::new(LIMITS);
    let (first, _) = accounts.wait(2);
    accounts.received_while_waiting(first);
    let (silent, _) = accounts.wait(2);
    assert_eq!(accounts.wait(2).1, Some(silent));
    assert!(accounts.wait(2).1 > Some(silent));
    accounts.stop_waiting(first);
}

/// Guards against places that stay free for a client which is being refused.
#[test]
fn a_connection_that_gave_up_leaves_places_to_others() {
    let mut accounts = Accounts::new(LIMITS);
    let keys = connect_all(&mut accounts, START);
    let (refused, _) = accounts.wait(3);
    accounts.received_while_waiting(refused);
    accounts.give_up(refused);
    accounts.close(keys[0]);
    assert!(accounts.arrive(START).is_some());
    // Further ones wait in its place, rather than in that of one that may still get a place.
    let (other, _) = accounts.wait(3);
    accounts.received_while_waiting(other);
    let (silent, _) = accounts.wait(3);
    assert_eq!(accounts.wait(3).1, Some(silent));
    let (last, given_up) = accounts.wait(3);
    assert!(
        given_up > Some(silent) && given_up < Some(last),
        "{given_up:?}"
    );
    for waiting in [last, other] {
        accounts.received_while_waiting(waiting);
    }
    assert_eq!(accounts.wait(2).1, Some(refused));
}

#[test]
fn an_idle_connection_has_its_time_anew_when_a_request_begins() {
    let mut accounts = Accounts::new(LIMITS);
    let keys = connect_all(&mut accounts, START);
    for &key in &keys[1..] {
        accounts.request_begins(key, after_ms(5_000));
    }
    let room = request_place(&mut accounts, after_ms(5_001));
    assert_eq!(room, Room::After(vec![(keys[0], End::Now)]));
}

#[test]
fn a_share_outlives_its_connection() {
    let mut accounts = Accounts::new(LIMITS);
    let key = connect_with_body(&mut accounts, START);
    accounts.detach(key, BODY_BYTES);
    accounts.close(key);
    assert_eq!(accounts.used(), BODY_BYTES);
    accounts.give_back_share(BODY_BYTES);
    assert_eq!(accounts.used(), 0);
}

#[test]
fn more_than_the_budget_is_never_met() {
    let mut accounts = Accounts::new(LIMITS);
    let room = accounts.request(Need::Share(LIMITS.memory + 1), START);
    assert_eq!(room, Room::Never);
}
