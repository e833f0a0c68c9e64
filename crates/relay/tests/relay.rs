//! Runs a relay without sockets: its responses to routers while it is current, behind the registry, or has
//! lost it.

use slatevalve_registry::wire::*;
use slatevalve_registry::{WatchSettings, WatchState};
use slatevalve_relay::{Limits, Peer, Relay, RelayAction};

const KEY: &str = "/s/workers/a";
const LIMITS: Limits = Limits { peers: 4, events: 8, hold_us: 1_500_000 };

struct World {
    relay: Relay,
    watch_state: WatchState,
    now_us: i64,
}

fn header(revision: i64) -> Header {
    Header { cluster_id: 7, member_id: 1, revision }
}

fn worker(value: &str, create_revision: i64, mod_revision: i64) -> KeyValue {
    let (key, value) = (Bytes::of(KEY), Bytes::of(value));
    KeyValue { key, value, create_revision, mod_revision, ..KeyValue::default() }
}

impl World {
    /// Creates a relay that is current at revision 5, with one worker.
    fn new() -> Self {
        let mut watch_state = WatchState::new(WatchSettings::default());
        watch_state.handle_list(
            0,
            RangeResponse { header: header(5), kvs: vec![worker("ready", 3, 3)], more: false, count: 1 },
        );
        watch_state
            .handle_watch(0, WatchResponse { header: header(5), created: true, ..WatchResponse::default() });
        let mut world = World { relay: Relay::new(LIMITS, "one", 1, "/s/"), watch_state, now_us: 0 };
        assert!(world.update().is_empty() && world.relay.is_serving());
        world
    }

    /// Updates the relay from the registry's client and advances its timers.
    fn update(&mut self) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        self.relay.update(self.now_us, &self.watch_state, &mut actions);
        self.relay.advance(self.now_us, &mut actions);
        actions
    }

    /// Changes the worker's value at a revision, and updates the relay.
    fn change(&mut self, value: &str, revision: i64) -> Vec<RelayAction> {
        let kv = worker(value, 3, revision);
        let events = vec![WatchEvent { kind: EventType::Put, kv }];
        let response = WatchResponse { header: header(revision), events, ..WatchResponse::default() };
        self.watch_state.handle_watch(self.now_us, response);
        self.update()
    }

    /// Sends a request on the connection `peer`, which is opened first.
    fn send(&mut self, peer: Peer, path: &str, body: &impl serde::Serialize) -> Vec<RelayAction> {
        self.relay.opened(peer);
        let body = serde_json::to_string(body).unwrap();
        let request = format!("POST {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let mut actions = Vec::new();
        self.relay.received(self.now_us, peer, request.as_bytes(), &mut actions);
        actions
    }

    fn watch(&mut self, peer: Peer, start_revision: i64) -> Vec<RelayAction> {
        let (key, range_end) = (Bytes::of("/s/workers/"), Bytes(prefix_end(b"/s/workers/")));
        let create = WatchCreate { key, range_end, start_revision, ..WatchCreate::default() };
        self.send(peer, WATCH, &WatchRequest { create_request: Some(create) })
    }

    fn list(&mut self, peer: Peer) -> Vec<RelayAction> {
        let (key, range_end) = (Bytes::of("/s/workers/"), Bytes(prefix_end(b"/s/workers/")));
        self.send(peer, RANGE, &RangeRequest { key, range_end, ..RangeRequest::default() })
    }
}

/// Returns the bytes written to a connection, as text.
fn text(actions: &[RelayAction], peer: Peer) -> String {
    let of_peer = actions.iter().filter_map(|a| match a {
        RelayAction::Write(p, bytes) if *p == peer => Some(String::from_utf8_lossy(bytes).into_owned()),
        _ => None,
    });
    of_peer.collect()
}

/// Returns a value as it is encoded in JSON.
fn value(value: &str) -> String {
    serde_json::to_value(Bytes::of(value)).unwrap().as_str().unwrap().to_string()
}

#[test]
fn routers_list_and_watch_workers_with_the_revisions_of_the_registry() {
    let mut world = World::new();
    let listed = text(&world.list(1), 1);
    assert!(listed.contains(&value("ready")) && listed.contains(r#""revision":"5""#), "{listed}");
    let created = text(&world.watch(2, 6), 2);
    assert!(created.contains(r#""created":true"#) && !created.contains("events\":[{"), "{created}");
    let sent = text(&world.change("draining", 9), 2);
    assert!(sent.contains(&value("draining")) && sent.contains(r#""mod_revision":"9""#));
    // A router that was disconnected receives the change as an event, a new one in the list.
    assert!(text(&world.watch(3, 6), 3).contains(&value("draining")));
    assert!(text(&world.list(1), 1).contains(&value("draining")));
    assert!(
        !world.relay.opened(4) || !world.relay.opened(5),
        "more connections were accepted than the limit"
    );
}

#[test]
fn a_watch_from_a_later_revision_waits_for_the_relay_and_is_rejected_after_a_timeout() {
    let mut world = World::new();
    assert!(world.watch(1, 10).is_empty());
    assert!(world.watch(2, 21).is_empty());
    let actions = world.change("draining", 9);
    let first = text(&actions, 1);
    assert!(
        first.contains(r#""created":true"#) && !first.contains(&value("draining")),
        "a change was sent that the router already had: {first}"
    );
    assert_eq!(text(&actions, 2), "");
    world.now_us += LIMITS.hold_us;
    assert!(text(&world.update(), 2).contains("503"));
    // A watch from before the kept history is canceled, so that the router lists.
    assert!(text(&world.watch(3, 2), 3).contains(r#""compact_revision":"6""#));
}

#[test]
fn a_relay_that_lost_its_registry_ends_its_watches_and_rejects_requests() {
    let mut world = World::new();
    world.watch(1, 6);
    world.now_us += WatchSettings::default().stale_after_us;
    assert_eq!(world.update(), [RelayAction::Finish(1)]);
    assert!(!world.relay.is_serving());
    assert!(text(&world.list(2), 2).contains("503") && text(&world.watch(3, 6), 3).contains("503"));
    // The registry returns. Then it is replaced by another cluster with an earlier state, from which no watch
    // may continue.
    world.watch_state.connection_lost();
    let created = WatchResponse { header: header(5), created: true, ..WatchResponse::default() };
    world.watch_state.handle_watch(world.now_us, created);
    assert!(world.update().is_empty() && world.relay.is_serving());
    world.relay.closed(3);
    world.watch(3, 6);
    world.watch_state.handle_watch(
        world.now_us,
        WatchResponse { header: Header { cluster_id: 8, ..header(5) }, ..WatchResponse::default() },
    );
    world.watch_state.handle_list(
        world.now_us,
        RangeResponse { header: Header { cluster_id: 8, ..header(2) }, ..RangeResponse::default() },
    );
    world.watch_state.handle_watch(
        world.now_us,
        WatchResponse {
            header: Header { cluster_id: 8, ..header(2) },
            created: true,
            ..WatchResponse::default()
        },
    );
    let actions = world.update();
    assert!(
        text(&actions, 3).contains(r#""canceled":true"#) && actions.contains(&RelayAction::Finish(3)),
        "{actions:?}"
    );
}

#[test]
fn entries_of_routers_are_held_and_counted_and_entries_of_workers_are_rejected() {
    let mut world = World::new();
    world.relay.set_counted_routers(40);
    let granted = text(&world.send(1, GRANT, &LeaseRequest { id: 0, ttl: 30 }), 1);
    let body = granted.split("\r\n\r\n").nth(1).unwrap();
    let lease = serde_json::from_str::<LeaseResponse>(body).unwrap().id;
    let put = |key: &str| PutRequest { key: Bytes::of(key), value: Bytes::of("{}"), lease };
    assert!(text(&world.send(1, PUT, &put("/s/routers/r-1")), 1).starts_with("HTTP/1.1 200"));
    assert!(text(&world.send(1, PUT, &put("/s/workers/w")), 1).starts_with("HTTP/1.1 400"));
    let count = |world: &mut World| {
        let (key, range_end) = (Bytes::of("/s/routers/"), Bytes(prefix_end(b"/s/routers/")));
        let request = RangeRequest { key, range_end, count_only: true, ..RangeRequest::default() };
        let response = text(&world.send(2, RANGE, &request), 2);
        serde_json::from_str::<RangeResponse>(response.split("\r\n\r\n").nth(1).unwrap()).unwrap().count
    };
    assert_eq!(count(&mut world), 41, "the registry counted 40, and one more router registered here");
    assert_eq!(world.update(), [RelayAction::Announce(1)]);
    // After a second without a keep-alive the lease has not expired.
    world.now_us += 1_000_000;
    assert!(world.update().is_empty());
    let keep = LeaseRequest { id: lease, ttl: 0 };
    assert!(text(&world.send(1, KEEP_ALIVE, &keep), 1).contains(r#""TTL":"30""#));
    let other = text(&world.send(1, KEEP_ALIVE, &LeaseRequest { id: lease + 1, ttl: 0 }), 1);
    let body = other.split("\r\n\r\n").nth(1).unwrap();
    assert_eq!(serde_json::from_str::<Streamed<LeaseResponse>>(body).unwrap().result.unwrap().ttl, 0);
}
