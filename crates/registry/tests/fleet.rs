//! Thousands of routers' clients and one registry of limited capacity in simulated time, without sockets. The bounds are
//! counts and simulated times, so that the result is the same on any machine.

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
/// Delay of the network, one way.
const NETWORK_DELAY_US: i64 = 1_000;

/// A connection: the client, the channel, and a number that tells it from closed ones.
type Connection = (usize, Channel, u64);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Connected(Connection),
    Closed(Connection),
    Asked(Connection, Vec<u8>),
    /// The service's core is free.
    Free,
    Answered(Connection, Vec<u8>),
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
    /// Queued requests, and when the service's core is free.
    waiting: VecDeque<(Connection, Vec<u8>)>,
    free_us: i64,
    per_second: f64,
    queue: usize,
    outage: Range<i64>,
    watchers: Vec<Connection>,
    notified_revision: i64,
    /// When each request arrived, and each client received its first list and the drain.
    requests_us: Vec<i64>,
    bytes: u64,
    listed_us: BTreeMap<usize, i64>,
    drained_us: BTreeMap<usize, i64>,
}

impl World {
    /// Creates so many routers, each of which assumes `assumed` routers, and a service of so many requests a second.
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
                // All were given the same seed.
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
            store: KvStore::new(7, None),
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
        (0..routers).for_each(|n| world.at(0, Event::Wake(n)));
        world
    }

    fn put(&mut self, worker: u32, value: &str) {
        let key = Bytes::of(&worker_key(PREFIX, &format!("w-{worker}")));
        let put = PutRequest { key, value: Bytes::of(value), lease: 0 };
        self.store.put(self.now_us, &put).unwrap();
    }

    fn at(&mut self, at_us: i64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at_us, self.order, event)));
    }

    fn is_in_outage(&self) -> bool {
        self.outage.contains(&self.now_us)
    }

    /// Runs the simulation; a worker drains at the given time.
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
        let of = match event {
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
            Event::Answered(connection, bytes) if is_current(&self.connections, &connection) => {
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
            // A request costs the service its time even if the client has closed the connection.
            Event::Asked(connection, bytes) => {
                if !self.is_in_outage() && self.waiting.len() < self.queue {
                    self.waiting.push_back((connection, bytes));
                    let at = self.free_us.max(now);
                    self.at(at, Event::Free);
                }
                return self.requests_us.push(now);
            }
            _ => return,
        };
        self.clients[of].advance(now, &mut actions, &mut client_events);
        for what in &client_events {
            // As the gateway does, the counted number replaces the assumed one.
            if let ClientEvent::Routers(count) = what {
                self.clients[of].set_clients(*count);
            }
            let ClientEvent::Changes(changes) = what else { continue };
            self.listed_us.entry(of).or_insert(now);
            let drains =
                |c: &Change| matches!(c, Change::Put { value, .. } if value.ends_with(b"\"draining\"}"));
            if changes.iter().any(drains) {
                self.drained_us.entry(of).or_insert(now);
            }
        }
        for what in actions {
            match what {
                SocketAction::Open(channel, _) => {
                    self.last_connection += 1;
                    let connection = (of, channel, self.last_connection);
                    self.connections.insert((of, channel), self.last_connection);
                    self.at(now + 2 * NETWORK_DELAY_US, Event::Connected(connection));
                }
                SocketAction::Close(channel) => drop(self.connections.remove(&(of, channel))),
                SocketAction::Write(channel, bytes) => {
                    if let Some(number) = self.connections.get(&(of, channel)) {
                        let connection = (of, channel, *number);
                        self.at(now + NETWORK_DELAY_US, Event::Asked(connection, bytes));
                    }
                }
            }
        }
        let wake = self.clients[of].next_wake(now).max(now + 1_000);
        if self.wakes[of] <= now || wake < self.wakes[of] {
            self.wakes[of] = wake;
            self.at(wake, Event::Wake(of));
        }
    }

    /// Serves the queued requests for which the core has had time.
    fn serve_queue(&mut self) {
        if self.is_in_outage() {
            self.waiting.clear();
            for connection in std::mem::take(&mut self.watchers) {
                self.at(self.now_us + NETWORK_DELAY_US, Event::Closed(connection));
            }
            return;
        }
        while self.free_us <= self.now_us {
            let Some((connection, bytes)) = self.waiting.pop_front() else { return };
            self.free_us = self.free_us.max(self.now_us) + (1e6 / self.per_second) as i64;
            let bytes = self.serve(connection, &bytes);
            self.at(self.now_us + NETWORK_DELAY_US, Event::Answered(connection, bytes));
            let at = self.free_us;
            self.at(at, Event::Free);
        }
    }

    fn serve(&mut self, connection: Connection, bytes: &[u8]) -> Vec<u8> {
        let request = MessageReader::new(Side::Request, Limits::default()).feed(bytes).unwrap().unwrap();
        let (body, now) = (request.body.as_slice(), self.now_us);
        fn json<T: serde::Serialize>(a: &T) -> Vec<u8> {
            answer(200, "", &serde_json::to_vec(a).unwrap())
        }
        fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> T {
            serde_json::from_slice(body).unwrap()
        }
        match request.head.target.as_str() {
            WATCH => {
                self.watchers.push(connection);
                let create = read::<WatchRequest>(body).create_request.unwrap();
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
            RANGE => json(&self.store.range(&read(body)).unwrap()),
            GRANT => json(&self.store.grant(now, read::<LeaseRequest>(body).ttl)),
            PUT => json(&self.store.put(now, &read(body)).unwrap()),
            KEEP_ALIVE => {
                let result = Some(self.store.renew_lease(now, read::<LeaseRequest>(body).id));
                json(&Streamed { result, error: None })
            }
            other => panic!("{other}"),
        }
    }

    /// Sends changes of workers on all watches.
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
                self.at(self.now_us + NETWORK_DELAY_US, Event::Answered(connection, bytes.clone()));
            }
        }
    }

    /// Returns the largest number of requests in any 200 ms of a time span.
    fn peak_requests(&self, within: Range<i64>) -> usize {
        let asked: Vec<i64> = self.requests_us.iter().copied().filter(|t| within.contains(t)).collect();
        let upto = |from: i64| asked.partition_point(|t| *t < from);
        asked.iter().map(|t| upto(t + 200_000) - upto(*t)).max().unwrap_or(0)
    }

    fn last_listed(&self) -> i64 {
        assert_eq!(self.listed_us.len(), self.clients.len(), "some hold no list");
        self.listed_us.values().copied().max().unwrap()
    }
}

#[test]
fn three_hundred_and_three_thousand_cost_the_same_each_and_never_overrun_the_service() {
    let mut each = Vec::new();
    // As many requests a second as a fleet of that size needs to be listed within 8 s.
    for (routers, per_second) in [(300, 100.0), (3_000, 1_000.0)] {
        let mut world = World::new(routers, routers, per_second);
        world.run(16_000_000, None);
        assert!(world.last_listed() <= 8_000_000, "{}", world.last_listed());
        // Twice what it takes, and a little more for moments that are drawn.
        let peak_requests = world.peak_requests(0..16_000_000);
        assert!(peak_requests as f64 <= per_second * 0.2 * 2.2, "{routers}: {peak_requests} in 200 ms");
        each.push((world.bytes as f64 / routers as f64, world.requests_us.len() as f64 / routers as f64));
    }
    assert!(each[1].0 / each[0].0 < 1.3 && each[1].1 / each[0].1 < 1.3, "{each:?}");
}

#[test]
fn a_thousand_that_believe_themselves_ten_overrun_the_service_and_still_all_list() {
    let mut world = World::new(1_000, 10, 400.0);
    world.run(60_000_000, None);
    // All that 1,000 ask at first takes it 15 s if none of it is in vain.
    assert!(world.last_listed() <= 40_000_000, "{}", world.last_listed());
    // At first all come at once; later they make room.
    assert!(world.peak_requests(0..1_000_000) > 400);
    assert!(
        world.peak_requests(40_000_000..60_000_000) <= 200,
        "{}",
        world.peak_requests(40_000_000..60_000_000)
    );
}

#[test]
fn ten_that_believe_themselves_a_thousand_only_wait_longer() {
    let mut world = World::new(10, 1_000, 200.0);
    world.run(20_000_000, None);
    assert!(
        world.last_listed() <= PollSchedule::default().max_delay_us + 1_000_000,
        "{}",
        world.last_listed()
    );
}

#[test]
fn a_thousand_whose_service_went_away_together_come_back_spread_and_hear_the_drain_of_the_gap() {
    let mut world = World::new(1_000, 1_000, 500.0);
    world.outage = 20_000_000..25_000_000;
    world.run(60_000_000, Some(22_000_000));
    assert_eq!(world.drained_us.len(), 1_000, "some never heard of it");
    let last = world.drained_us.values().max().unwrap() - 25_000_000;
    // The longest wait, twice where a question was lost: all that a thousand ask is what the service can just take.
    assert!(last <= 2 * PollSchedule::default().max_delay_us, "{last}");
    assert!(
        world.peak_requests(25_000_000..60_000_000) <= 250,
        "{}",
        world.peak_requests(25_000_000..60_000_000)
    );
    // A drain at a healthy service afterwards is heard at once.
    world.drained_us.clear();
    world.run(61_000_000, None);
    world.put(5, r#"{"address":"127.0.0.1:1","state":"draining"}"#);
    let told = world.now_us;
    world.run(62_000_000, None);
    assert_eq!(world.drained_us.len(), 1_000);
    assert!(world.drained_us.values().all(|at| at - told <= 250_000));
}
