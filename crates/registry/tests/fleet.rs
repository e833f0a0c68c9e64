//! Simulates the clients of up to thousands of routers with one registry of limited capacity, without
//! sockets. All bounds are counts and simulated times, so the results do not depend on the machine.

use slatevalve_http::{Limits, MessageReader, Side};
use slatevalve_pacing::{derive_seed, Limits as PollSchedule};
use slatevalve_registry::serve::{answer, chunk, watch_line, WATCH_HEAD};
use slatevalve_registry::wire::*;
use slatevalve_registry::*;
use slatevalve_test_servers::KvStore;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;

const PREFIX: &str = "/s/";
/// One-way delay of the network.
const NETWORK_DELAY_US: i64 = 1_000;

/// A connection: the client, the channel, and a number that distinguishes it from earlier ones.
type Connection = (usize, Channel, u64);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Connected(Connection),
    Closed(Connection),
    /// A request arrives at the registry.
    RequestReceived(Connection, Vec<u8>),
    /// The registry's only core becomes free.
    CoreFree,
    /// A response arrives at the client.
    ResponseReceived(Connection, Vec<u8>),
}

struct World {
    now_us: i64,
    events: BinaryHeap<Reverse<(i64, u64, Event)>>,
    order: u64,
    clients: Vec<Client>,
    /// Each client's next wake; earlier scheduled ones are obsolete.
    wakes: Vec<i64>,
    connections: BTreeMap<(usize, Channel), u64>,
    last_connection: u64,
    store: KvStore,
    /// Requests that wait for the registry's core.
    waiting: VecDeque<(Connection, Vec<u8>)>,
    /// When the registry's core is free.
    free_us: i64,
    /// Requests that the registry serves per second.
    per_second: f64,
    /// Maximum length of `waiting`; further requests are dropped.
    queue: usize,
    /// When the registry is unavailable.
    outage: Range<i64>,
    watchers: Vec<Connection>,
    /// Changes up to this revision were sent on all watches.
    notified_revision: i64,
    /// When each request arrived at the registry.
    requests_us: Vec<i64>,
    /// Bytes that the clients received.
    bytes: u64,
    /// When each client received its first list.
    listed_us: BTreeMap<usize, i64>,
    /// When each client received the drain.
    drained_us: BTreeMap<usize, i64>,
}

impl World {
    /// Creates `routers` clients, each of which assumes `assumed` clients, and a registry that serves
    /// `per_second` requests per second.
    fn new(routers: usize, assumed: usize, per_second: f64) -> Self {
        let client = |n: usize| {
            Client::new(ClientSettings {
                endpoints: vec!["kv:1".into()],
                relays: 0,
                prefix: PREFIX.into(),
                login: None,
                follow: WatchScope::Workers,
                own: Some((router_key(PREFIX, &format!("r-{n}")), b"{}".to_vec())),
                watch_state: WatchSettings::default(),
                registration: RegistrationSettings { ttl_s: 30 },
                pace: PollSchedule { per_second, ..PollSchedule::default() },
                clients: assumed,
                drain_within_us: 12_000_000,
                timeout_us: 2_000_000,
                // The configured seed is the same for all.
                seed: derive_seed(1, &format!("r-{n}")),
            })
        };
        let mut world = World {
            now_us: 0,
            events: BinaryHeap::new(),
            order: 0,
            clients: (0..routers).map(client).collect(),
            wakes: vec![0; routers],
            connections: BTreeMap::new(),
            last_connection: 0,
            store: KvStore::new(7, None, 1),
            waiting: VecDeque::new(),
            free_us: 0,
            per_second,
            queue: 200,
            outage: 0..0,
            watchers: Vec::new(),
            notified_revision: 0,
            requests_us: Vec::new(),
            bytes: 0,
            listed_us: BTreeMap::new(),
            drained_us: BTreeMap::new(),
        };
        (0..20).for_each(|n| world.put(n, r#"{"address":"127.0.0.1:1"}"#));
        (0..routers).for_each(|n| world.schedule(0, Event::Wake(n)));
        world
    }

    fn put(&mut self, worker: u32, value: &str) {
        let key = Bytes::of(&worker_key(PREFIX, &format!("w-{worker}")));
        let put = PutRequest { key, value: Bytes::of(value), lease: 0 };
        self.store.put(self.now_us, &put).unwrap();
    }

    fn schedule(&mut self, at_us: i64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at_us, self.order, event)));
    }

    fn is_in_outage(&self) -> bool {
        self.outage.contains(&self.now_us)
    }

    /// Runs the simulation until `until_us`; a worker drains at `drain_us`.
    fn run(&mut self, until_us: i64, mut drain_us: Option<i64>) {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > until_us {
                return;
            }
            self.now_us = at_us;
            if drain_us.is_some_and(|at| at <= at_us) {
                drain_us = None;
                self.put(3, r#"{"address":"127.0.0.1:1","state":"draining"}"#);
            }
            self.handle_event(event);
            self.serve_queue();
            self.notify_watches();
        }
    }

    fn handle_event(&mut self, event: Event) {
        let (mut actions, mut client_events) = (Vec::new(), Vec::new());
        let now = self.now_us;
        let is_current = |connections: &BTreeMap<_, _>, connection: &Connection| {
            connections.get(&(connection.0, connection.1)) == Some(&connection.2)
        };
        let client = match event {
            Event::Wake(n) if self.wakes[n] == now => {
                self.clients[n].advance(now, &mut actions, &mut client_events);
                n
            }
            Event::Connected(connection) if is_current(&self.connections, &connection) => {
                if self.is_in_outage() {
                    return self.handle_event(Event::Closed(connection));
                }
                self.clients[connection.0].connected(now, connection.1, &mut actions);
                connection.0
            }
            Event::Closed(connection) if is_current(&self.connections, &connection) => {
                self.connections.remove(&(connection.0, connection.1));
                self.clients[connection.0].closed(now, connection.1, &mut actions, &mut client_events);
                connection.0
            }
            Event::ResponseReceived(connection, bytes) if is_current(&self.connections, &connection) => {
                self.bytes += bytes.len() as u64;
                self.clients[connection.0].received(
                    now,
                    connection.1,
                    &bytes,
                    &mut actions,
                    &mut client_events,
                );
                connection.0
            }
            // A request takes time of the registry's core even if the client has closed the connection.
            Event::RequestReceived(connection, bytes) => {
                if !self.is_in_outage() && self.waiting.len() < self.queue {
                    self.waiting.push_back((connection, bytes));
                    let at = self.free_us.max(now);
                    self.schedule(at, Event::CoreFree);
                }
                return self.requests_us.push(now);
            }
            _ => return,
        };
        self.clients[client].advance(now, &mut actions, &mut client_events);
        for event in &client_events {
            // As in the gateway, the counted number replaces the assumed one.
            if let ClientEvent::Routers(count) = event {
                self.clients[client].set_clients(*count);
            }
            let ClientEvent::Changes(changes) = event else { continue };
            self.listed_us.entry(client).or_insert(now);
            let drains =
                |c: &Change| matches!(c, Change::Put { value, .. } if value.ends_with(b"\"draining\"}"));
            if changes.iter().any(drains) {
                self.drained_us.entry(client).or_insert(now);
            }
        }
        for action in actions {
            match action {
                SocketAction::Open(channel, _) => {
                    self.last_connection += 1;
                    let connection = (client, channel, self.last_connection);
                    self.connections.insert((client, channel), self.last_connection);
                    self.schedule(now + 2 * NETWORK_DELAY_US, Event::Connected(connection));
                }
                SocketAction::Close(channel) => drop(self.connections.remove(&(client, channel))),
                SocketAction::Write(channel, bytes) => {
                    if let Some(number) = self.connections.get(&(client, channel)) {
                        let connection = (client, channel, *number);
                        self.schedule(now + NETWORK_DELAY_US, Event::RequestReceived(connection, bytes));
                    }
                }
            }
        }
        let wake = self.clients[client].next_wake(now).max(now + 1_000);
        if self.wakes[client] <= now || wake < self.wakes[client] {
            self.wakes[client] = wake;
            self.schedule(wake, Event::Wake(client));
        }
    }

    /// Serves queued requests while the registry's core is free.
    fn serve_queue(&mut self) {
        if self.is_in_outage() {
            self.waiting.clear();
            for connection in std::mem::take(&mut self.watchers) {
                self.schedule(self.now_us + NETWORK_DELAY_US, Event::Closed(connection));
            }
            return;
        }
        while self.free_us <= self.now_us {
            let Some((connection, bytes)) = self.waiting.pop_front() else { return };
            self.free_us = self.free_us.max(self.now_us) + (1e6 / self.per_second) as i64;
            let bytes = self.serve(connection, &bytes);
            self.schedule(self.now_us + NETWORK_DELAY_US, Event::ResponseReceived(connection, bytes));
            let at = self.free_us;
            self.schedule(at, Event::CoreFree);
        }
    }

    fn serve(&mut self, connection: Connection, bytes: &[u8]) -> Vec<u8> {
        let request = MessageReader::new(Side::Request, Limits::default()).feed(bytes).unwrap().unwrap();
        let (body, now) = (request.body.as_slice(), self.now_us);
        fn json<T: serde::Serialize>(response: &T) -> Vec<u8> {
            answer(200, "", &serde_json::to_vec(response).unwrap())
        }
        fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> T {
            serde_json::from_slice(body).unwrap()
        }
        match request.head.target.as_str() {
            WATCH => {
                self.watchers.push(connection);
                let create = parse::<WatchRequest>(body).create_request.unwrap();
                let header = self.store.header();
                let created = WatchResponse { header: header.clone(), created: true, ..Default::default() };
                let missed = self.store.changes(create.start_revision, &create.key.0, &create.range_end.0);
                let mut bytes = [WATCH_HEAD, &chunk(&watch_line(created))].concat();
                for (_, events) in missed.unwrap() {
                    let header = header.clone();
                    bytes.extend(chunk(&watch_line(WatchResponse { header, events, ..Default::default() })));
                }
                bytes
            }
            RANGE => json(&self.store.range(&parse(body)).unwrap()),
            GRANT => json(&self.store.grant(now, parse::<LeaseRequest>(body).ttl)),
            PUT => json(&self.store.put(now, &parse(body)).unwrap()),
            KEEP_ALIVE => {
                let result = Some(self.store.renew_lease(now, parse::<LeaseRequest>(body).id));
                json(&Streamed { result, error: None })
            }
            other => panic!("{other}"),
        }
    }

    /// Sends the latest changes of workers on all watches.
    fn notify_watches(&mut self) {
        let from = std::mem::replace(&mut self.notified_revision, self.store.revision()) + 1;
        if from > self.notified_revision || self.is_in_outage() {
            return;
        }
        let key = format!("{PREFIX}{WORKERS}").into_bytes();
        let header = self.store.header();
        for (_, events) in self.store.changes(from, &key, &prefix_end(&key)).unwrap() {
            let header = header.clone();
            let bytes = chunk(&watch_line(WatchResponse { header, events, ..Default::default() }));
            for connection in self.watchers.clone() {
                self.schedule(
                    self.now_us + NETWORK_DELAY_US,
                    Event::ResponseReceived(connection, bytes.clone()),
                );
            }
        }
    }

    /// Returns the largest number of requests in any 200 ms of a time span.
    fn peak_requests(&self, within: Range<i64>) -> usize {
        let requests_us: Vec<i64> = self.requests_us.iter().copied().filter(|t| within.contains(t)).collect();
        let count_before = |until: i64| requests_us.partition_point(|t| *t < until);
        requests_us.iter().map(|t| count_before(t + 200_000) - count_before(*t)).max().unwrap_or(0)
    }

    /// Returns when the last client received its first list.
    fn last_listed(&self) -> i64 {
        assert_eq!(self.listed_us.len(), self.clients.len(), "some clients received no list");
        self.listed_us.values().copied().max().unwrap()
    }
}

#[test]
fn cost_per_router_is_the_same_for_300_and_3000_and_the_registry_is_never_overloaded() {
    let mut per_router = Vec::new();
    // The request rate at which a fleet of that size is listed within 8 s.
    for (routers, per_second) in [(300, 100.0), (3_000, 1_000.0)] {
        let mut world = World::new(routers, routers, per_second);
        world.run(16_000_000, None);
        assert!(world.last_listed() <= 8_000_000, "{}", world.last_listed());
        // Twice the capacity, and 10 % more because the delays are random.
        let peak_requests = world.peak_requests(0..16_000_000);
        assert!(peak_requests as f64 <= per_second * 0.2 * 2.2, "{routers}: {peak_requests} in 200 ms");
        per_router
            .push((world.bytes as f64 / routers as f64, world.requests_us.len() as f64 / routers as f64));
    }
    let (bytes, requests) = (per_router[1].0 / per_router[0].0, per_router[1].1 / per_router[0].1);
    assert!(bytes < 1.3 && requests < 1.3, "{per_router:?}");
}

#[test]
fn a_thousand_routers_that_assume_10_overload_the_registry_but_all_are_listed() {
    let mut world = World::new(1_000, 10, 400.0);
    world.run(60_000_000, None);
    // The first requests of 1,000 routers take the registry 15 s if none has to be repeated.
    assert!(world.last_listed() <= 40_000_000, "{}", world.last_listed());
    // At first all requests arrive at once; later they are spread.
    assert!(world.peak_requests(0..1_000_000) > 400);
    assert!(
        world.peak_requests(40_000_000..60_000_000) <= 200,
        "{}",
        world.peak_requests(40_000_000..60_000_000)
    );
}

#[test]
fn ten_routers_that_assume_1000_only_wait_longer() {
    let mut world = World::new(10, 1_000, 200.0);
    world.run(20_000_000, None);
    assert!(
        world.last_listed() <= PollSchedule::default().max_delay_us + 1_000_000,
        "{}",
        world.last_listed()
    );
}

#[test]
fn after_an_outage_the_requests_of_1000_routers_are_spread_and_all_receive_the_drain() {
    let mut world = World::new(1_000, 1_000, 500.0);
    world.outage = 20_000_000..25_000_000;
    world.run(60_000_000, Some(22_000_000));
    assert_eq!(world.drained_us.len(), 1_000, "some routers did not receive the drain");
    let last = world.drained_us.values().max().unwrap() - 25_000_000;
    // The longest delay, twice if a request was lost: the registry can just serve all requests of 1,000
    // routers.
    assert!(last <= 2 * PollSchedule::default().max_delay_us, "{last}");
    assert!(
        world.peak_requests(25_000_000..60_000_000) <= 250,
        "{}",
        world.peak_requests(25_000_000..60_000_000)
    );
    // After the recovery a drain is received at once.
    world.drained_us.clear();
    world.run(61_000_000, None);
    world.put(5, r#"{"address":"127.0.0.1:1","state":"draining"}"#);
    let changed_us = world.now_us;
    world.run(62_000_000, None);
    assert_eq!(world.drained_us.len(), 1_000);
    assert!(world.drained_us.values().all(|at| at - changed_us <= 250_000));
}
