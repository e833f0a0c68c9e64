//! Runs the client against the test registry's store in simulated time. Random walks combine changes, lost
//! connections, compaction, lost and duplicated responses, restored backups and revoked tokens; the keys
//! reported by the client are compared with the recorded state of the store at the client's revision.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slatevalve_http::{Limits, MessageReader, Side};
use slatevalve_registry::wire::*;
use slatevalve_registry::*;
use slatevalve_test_servers::KvStore;
use std::collections::{BTreeMap, VecDeque};

const PREFIX: &str = "/s/";
const OWN: &str = "/s/routers/r";

type Keys = BTreeMap<Vec<u8>, Vec<u8>>;

/// The state of one connection.
#[derive(Default)]
struct Pipe {
    open: bool,
    /// Responses in flight to the client.
    inbox: VecDeque<Vec<u8>>,
    /// The next revision to be sent on its watch; none without a watch.
    next_revision: Option<i64>,
}

struct World {
    settings: ClientSettings,
    store: KvStore,
    client: Client,
    pipes: BTreeMap<Channel, Pipe>,
    now_us: i64,
    /// The keys that result from the changes that the client reported.
    reported: Keys,
    /// The store's keys at each revision of each incarnation of the registry.
    states: BTreeMap<(i64, i64), Keys>,
    incarnation: i64,
    events: Vec<ClientEvent>,
    /// The number of range requests, liveness checks included.
    range_requests: usize,
    /// Whether the watch has lost an event. Until the client detects that, its keys may match no revision.
    lossy: bool,
}

fn settings(login: bool) -> ClientSettings {
    ClientSettings {
        endpoints: vec!["a:1".into(), "b:2".into()],
        prefix: PREFIX.into(),
        login: login.then(|| Login { name: "u".into(), password: "p".into() }),
        relays: 0,
        follow: WatchScope::All,
        own: Some((OWN.into(), b"{}".to_vec())),
        watch_state: WatchSettings {
            page_size: 3,
            full_resync_interval_us: 8_000_000,
            ..WatchSettings::default()
        },
        registration: RegistrationSettings { ttl_s: 10 },
        pace: slatevalve_pacing::Limits::default(),
        clients: 1,
        drain_within_us: 12_000_000,
        timeout_us: 1_000_000,
        seed: 1,
    }
}

impl World {
    fn new(login: bool) -> Self {
        World::with(settings(login), login)
    }

    fn with(settings: ClientSettings, login: bool) -> Self {
        let credentials = login.then(|| ("u".to_string(), "p".to_string()));
        let mut world = World {
            store: KvStore::new(7, credentials, 1),
            client: Client::new(settings.clone()),
            settings,
            pipes: [(Channel::Watch, Pipe::default()), (Channel::Short, Pipe::default())].into(),
            now_us: 0,
            reported: Keys::new(),
            states: BTreeMap::new(),
            incarnation: 0,
            events: Vec::new(),
            range_requests: 0,
            lossy: false,
        };
        world.note_store_state();
        world
    }

    /// Returns the prefix of the followed keys.
    fn followed(&self) -> String {
        let workers = if self.settings.follow == WatchScope::Workers { WORKERS } else { "" };
        format!("{PREFIX}{workers}")
    }

    /// Records the store's present keys.
    fn note_store_state(&mut self) {
        let key = self.followed();
        let range_end = Bytes(prefix_end(key.as_bytes()));
        let request = RangeRequest { key: Bytes::of(&key), range_end, ..Default::default() };
        let kvs = self.store.range(&request).unwrap().kvs;
        let keys = kvs.into_iter().map(|kv| (kv.key.0, kv.value.0)).collect();
        self.states.insert((self.incarnation, self.store.revision()), keys);
    }

    fn put(&mut self, name: u32, value: &str) {
        let key = Bytes(worker_key(PREFIX, &format!("w{name}")).into_bytes());
        self.store.put(self.now_us, &PutRequest { key, value: Bytes::of(value), lease: 0 }).unwrap();
        self.note_store_state();
    }

    fn delete(&mut self, name: u32) {
        let key = Bytes(worker_key(PREFIX, &format!("w{name}")).into_bytes());
        self.store.delete(self.now_us, &DeleteRequest { key, range_end: Bytes::default() });
        self.note_store_state();
    }

    fn execute(&mut self, actions: Vec<SocketAction>) {
        for action in actions {
            match action {
                SocketAction::Open(channel, _) => {
                    *self.pipes.get_mut(&channel).unwrap() = Pipe { open: true, ..Pipe::default() };
                    let mut more = Vec::new();
                    self.client.connected(self.now_us, channel, &mut more);
                    self.execute(more);
                }
                SocketAction::Close(channel) => *self.pipes.get_mut(&channel).unwrap() = Pipe::default(),
                SocketAction::Write(channel, bytes) => self.handle_request(channel, &bytes),
            }
        }
    }

    /// Executes a request of the client and queues the response.
    fn handle_request(&mut self, channel: Channel, bytes: &[u8]) {
        let request = MessageReader::new(Side::Request, Limits::default()).feed(bytes).unwrap().unwrap();
        let (path, body, now) = (request.head.target.as_str(), request.body.as_slice(), self.now_us);
        let store = &mut self.store;
        fn json<T: serde::Serialize>(
            response: Result<T, (i64, &'static str)>,
        ) -> Result<Vec<u8>, (i64, &'static str)> {
            response.map(|response| serde_json::to_vec(&response).unwrap())
        }
        let response = if path == AUTHENTICATE {
            json(store.authenticate(&serde_json::from_slice(body).unwrap()))
        } else if !store.admits(request.head.header("Authorization")) {
            Err((code::UNAUTHENTICATED, "etcdserver: invalid auth token"))
        } else {
            match path {
                WATCH => {
                    let create =
                        serde_json::from_slice::<WatchRequest>(body).unwrap().create_request.unwrap();
                    let created =
                        WatchResponse { header: store.header(), created: true, ..Default::default() };
                    let pipe = self.pipes.get_mut(&channel).unwrap();
                    pipe.next_revision = Some(create.start_revision);
                    pipe.inbox.push_back(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec());
                    pipe.inbox.push_back(chunk(&created));
                    return;
                }
                RANGE => {
                    self.range_requests += 1;
                    json(store.range(&serde_json::from_slice(body).unwrap()))
                }
                GRANT => {
                    json(Ok(store.grant(now, serde_json::from_slice::<LeaseRequest>(body).unwrap().ttl)))
                }
                KEEP_ALIVE => {
                    let result = Some(
                        store.renew_lease(now, serde_json::from_slice::<LeaseRequest>(body).unwrap().id),
                    );
                    json(Ok(Streamed { result, error: None }))
                }
                PUT => json(store.put(now, &serde_json::from_slice(body).unwrap())),
                other => panic!("{other}"),
            }
        };
        self.note_store_state();
        let (status, body) = match response {
            Ok(body) => (200, body),
            Err((code, message)) => {
                (400, serde_json::to_vec(&ErrorBody { message: message.into(), code }).unwrap())
            }
        };
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        self.pipes.get_mut(&channel).unwrap().inbox.push_back([head.into_bytes(), body].concat());
    }

    /// Delivers the next response on a connection to the client, in pieces.
    fn deliver(&mut self, channel: Channel) {
        let Some(bytes) = self.pipes.get_mut(&channel).unwrap().inbox.pop_front() else { return };
        for piece in bytes.chunks(61) {
            if !self.pipes[&channel].open {
                return;
            }
            let (mut actions, mut events) = (Vec::new(), Vec::new());
            self.client.received(self.now_us, channel, piece, &mut actions, &mut events);
            self.record_events(events);
            self.execute(actions);
        }
        self.check();
    }

    /// Sends the pending events of the watch: twice if `duplicate`, and not at all if `lose`.
    fn poll_watch(&mut self, duplicate: bool, lose: bool) {
        let Some(next_revision) = self.pipes[&Channel::Watch].next_revision else { return };
        let header = self.store.header();
        let key = self.followed().into_bytes();
        let mut lines = Vec::new();
        match self.store.changes(next_revision, &key, &prefix_end(&key)) {
            Err(compact_revision) => {
                lines.push(chunk(&WatchResponse {
                    header,
                    canceled: true,
                    compact_revision,
                    ..Default::default()
                }));
                self.pipes.get_mut(&Channel::Watch).unwrap().next_revision = None;
            }
            Ok(changes) => {
                for (_, events) in changes.into_iter().filter(|_| !lose) {
                    let count = events.len();
                    let fragments = events.into_iter().enumerate().map(|(n, event)| WatchResponse {
                        header: header.clone(),
                        events: vec![event],
                        fragment: n + 1 < count,
                        ..Default::default()
                    });
                    let encoded: Vec<Vec<u8>> = fragments.map(|f| chunk(&f)).collect();
                    lines.extend(encoded.clone());
                    lines.extend(encoded.into_iter().filter(|_| duplicate));
                }
                self.pipes.get_mut(&Channel::Watch).unwrap().next_revision = Some(self.store.revision() + 1);
            }
        }
        self.pipes.get_mut(&Channel::Watch).unwrap().inbox.extend(lines);
    }

    fn break_off(&mut self, channel: Channel) {
        if std::mem::take(self.pipes.get_mut(&channel).unwrap()).open {
            let (mut actions, mut events) = (Vec::new(), Vec::new());
            self.client.closed(self.now_us, channel, &mut actions, &mut events);
            self.record_events(events);
            self.execute(actions);
        }
    }

    /// Restores the store to the state of `revisions_back` revisions ago, and closes both connections.
    fn restore(&mut self, revisions_back: i64, other_cluster: bool) {
        let revision = self.store.revision() - revisions_back;
        self.store.restore(revision, other_cluster);
        self.incarnation += 1;
        self.note_store_state();
        self.break_off(Channel::Watch);
        self.break_off(Channel::Short);
    }

    /// Replaces the client by one that loads its snapshot.
    fn restart(&mut self) {
        let snapshot = self.client.watch_state().to_snapshot(1);
        self.pipes.values_mut().for_each(|pipe| *pipe = Pipe::default());
        self.client = Client::new(self.settings.clone());
        self.reported.clear();
        let changes = self.client.watch_state_mut().load_snapshot(&snapshot).unwrap().changes;
        self.record_events(vec![ClientEvent::Changes(changes)]);
    }

    /// Advances the simulated time.
    fn advance(&mut self, us: i64) {
        self.now_us += us;
        self.store.expire(self.now_us);
        self.note_store_state();
        let (mut actions, mut events) = (Vec::new(), Vec::new());
        self.client.advance(self.now_us, &mut actions, &mut events);
        self.record_events(events);
        self.execute(actions);
    }

    fn record_events(&mut self, events: Vec<ClientEvent>) {
        for event in events {
            if let ClientEvent::Changes(changes) = &event {
                for change in changes {
                    match change {
                        Change::Put { key, value, .. } => self.reported.insert(key.clone(), value.clone()),
                        Change::Deleted { key } => {
                            let old = self.reported.remove(key);
                            assert!(
                                old.is_some(),
                                "a key was reported as deleted that was not reported before"
                            );
                            old
                        }
                    };
                }
            }
            self.events.push(event);
        }
    }

    /// Checks that the reported keys are the store's keys at the client's revision.
    fn check(&self) {
        let revision = self.client.watch_state().revision();
        if revision == 0 || self.lossy {
            return;
        }
        let incarnations =
            (0..=self.incarnation).filter_map(|incarnation| self.states.get(&(incarnation, revision)));
        let found = incarnations.into_iter().any(|state| *state == self.reported);
        assert!(
            found,
            "no state of the store at revision {revision} equals the reported keys {:?}",
            names(&self.reported)
        );
    }

    /// Runs 20 s, after which the client must be up to date, and checks its keys.
    fn deliver_all(&mut self) {
        for _ in 0..400 {
            self.poll_watch(false, false);
            self.deliver(Channel::Watch);
            self.deliver(Channel::Short);
            self.advance(50_000);
        }
        let now = &self.states[&(self.incarnation, self.store.revision())];
        assert_eq!(names(&self.reported), names(now), "revision {}", self.store.revision());
        assert!(now.contains_key(OWN.as_bytes()), "the client's own entry is missing");
        assert_eq!(self.client.watch_state().freshness(self.now_us), Freshness::Current);
    }
}

fn names(keys: &Keys) -> Vec<(String, String)> {
    let text = |b: &Vec<u8>| String::from_utf8_lossy(b).into_owned();
    keys.iter().map(|(k, v)| (text(k), text(v))).collect()
}

fn chunk(response: &WatchResponse) -> Vec<u8> {
    let mut line = serde_json::to_vec(&Streamed { result: Some(response.clone()), error: None }).unwrap();
    line.push(b'\n');
    [format!("{:x}\r\n", line.len()).as_bytes(), &line, b"\r\n"].concat()
}

const READY: &str = r#"{"address":"127.0.0.1:1"}"#;
const DRAINING: &str = r#"{"address":"127.0.0.1:1","state":"draining"}"#;

/// Executes random steps, then lets the client catch up. Returns the number of states of the store, and how
/// often each fault was reported.
fn random_walk(seed: u64, steps: usize, with_loss: bool) -> (usize, BTreeMap<String, usize>) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::new(seed.is_multiple_of(3));
    for _ in 0..steps {
        let name = random.random_range(0..8);
        match random.random_range(0..100) {
            0..14 => world.put(name, READY),
            14..26 => world.put(name, DRAINING),
            26..34 => world.delete(name),
            34..52 => world.poll_watch(random.random_bool(0.2), false),
            52..66 => world.deliver(Channel::Watch),
            66..80 => world.deliver(Channel::Short),
            80..83 => world.break_off(Channel::Watch),
            83..85 => world.break_off(Channel::Short),
            85..88 => drop(world.store.compact(world.store.revision())),
            88 => world.restore(random.random_range(0..4), true),
            89 => world.store.forget_tokens(),
            // The watch loses events.
            90 if with_loss => {
                world.poll_watch(false, true);
                world.lossy = true;
            }
            91 => world.store.expire_half(world.now_us),
            92 => world.restart(),
            _ => world.advance(random.random_range(1_000..400_000)),
        }
        world.note_store_state();
        world.check();
    }
    world.deliver_all();
    let mut faults = BTreeMap::new();
    for events in &world.events {
        if let ClientEvent::WatchFault(fault) = events {
            let name = format!("{fault:?}").split([' ', '(', '{']).next().unwrap_or_default().to_string();
            *faults.entry(name).or_default() += 1;
        }
    }
    (world.states.len(), faults)
}

#[test]
fn no_change_is_lost_in_any_interleaving_with_disconnects_and_compaction() {
    let (mut states, mut faults) = (0, BTreeMap::new());
    for seed in 0..150 {
        let (states_of_walk, faults_of_walk) = random_walk(seed, 400, false);
        states += states_of_walk;
        faults_of_walk.into_iter().for_each(|(fault, n)| *faults.entry(fault).or_insert(0) += n);
    }
    println!("{states} states of the store, reported faults: {faults:?}");
    assert!(states > 10_000);
    assert!(["Compacted", "Restored"].iter().all(|t| faults.get(*t).is_some_and(|n| *n > 20)), "{faults:?}");
}

#[test]
fn silently_lost_changes_of_a_watch_are_detected() {
    // Liveness checks detect the loss or, if a later change hides it from them, a full resync does.
    // `random_walk` checks that the client's keys equal the store's at the end.
    (1_000..1_040).for_each(|seed| drop(random_walk(seed, 300, true)));
    let mut world = up_to_date_world();
    world.lossy = true;
    world.put(1, DRAINING);
    world.poll_watch(false, true);
    for _ in 0..60 {
        world.poll_watch(false, false);
        world.deliver(Channel::Watch);
        world.deliver(Channel::Short);
        world.advance(50_000);
    }
    assert!(world.events.contains(&ClientEvent::WatchFault(WatchFault::Behind)), "{:?}", world.events);
    assert_eq!(world.reported[&worker_key(PREFIX, "w1").into_bytes()], DRAINING.as_bytes());
}

/// Creates a world with five workers and a client that is up to date; the events until then are discarded.
fn up_to_date_world() -> World {
    let mut world = World::new(false);
    (0..5).for_each(|n| world.put(n, READY));
    world.deliver_all();
    world.events.clear();
    world
}

#[test]
fn a_drain_during_a_disconnect_is_reported_with_or_without_compaction() {
    for compaction in [None, Some(false), Some(true)] {
        let mut world = up_to_date_world();
        world.break_off(Channel::Watch);
        let before = world.store.revision();
        world.put(2, DRAINING);
        world.put(3, DRAINING);
        world.delete(3);
        world.put(3, READY);
        match compaction {
            None => {}
            // Compaction up to the reported revision, and beyond it.
            Some(false) => drop(world.store.compact(before)),
            Some(true) => drop(world.store.compact(world.store.revision())),
        }
        world.deliver_all();
        let changes: Vec<&Change> = world
            .events
            .iter()
            .filter_map(|h| if let ClientEvent::Changes(c) = h { Some(c) } else { None })
            .flatten()
            .collect();
        let key_of = |n: u32| worker_key(PREFIX, &format!("w{n}")).into_bytes();
        let drained = |c: &&&Change| matches!(c, Change::Put { key, value, .. } if *key == key_of(2) && value == DRAINING.as_bytes());
        assert_eq!(changes.iter().filter(drained).count(), 1, "{compaction:?}: {changes:?}");
        // A key deleted and created again during the disconnect is reported as created.
        let created = |c: &&Change| matches!(c, Change::Put { key, created: true, .. } if *key == key_of(3));
        assert!(changes.iter().any(created), "{compaction:?}: {changes:?}");
        let listed_again =
            world.events.iter().any(|h| matches!(h, ClientEvent::WatchFault(WatchFault::Compacted { .. })));
        assert_eq!(listed_again, compaction == Some(true));
    }
}

#[test]
fn compaction_between_two_pages_of_a_list_restarts_the_list() {
    let mut world = World::new(false);
    (0..8).for_each(|n| world.put(n, READY));
    world.advance(0);
    world.deliver(Channel::Short);
    world.advance(1);
    // The second page is requested at the revision of the first one, which is compacted before the request
    // arrives.
    world.put(0, DRAINING);
    world.pipes.get_mut(&Channel::Short).unwrap().inbox.clear();
    world.break_off(Channel::Short);
    world.store.compact(world.store.revision()).unwrap();
    world.deliver_all();
    assert_eq!(world.reported.len(), 9);
    assert_eq!(world.reported[&worker_key(PREFIX, "w0").into_bytes()], DRAINING.as_bytes());
}

#[test]
fn a_registry_restored_under_the_same_cluster_id_is_followed_from_its_earlier_state() {
    let mut world = up_to_date_world();
    world.put(1, DRAINING);
    world.deliver_all();
    world.restore(1, false);
    world.deliver_all();
    assert_eq!(world.reported[&worker_key(PREFIX, "w1").into_bytes()], READY.as_bytes());
}

#[test]
fn a_registry_that_accepts_but_never_answers_is_abandoned_and_its_keys_become_stale() {
    let mut world = up_to_date_world();
    let mut freshness = Vec::new();
    for _ in 0..200 {
        world.pipes.values_mut().for_each(|p| p.inbox.clear());
        world.advance(50_000);
        freshness.push(world.client.watch_state().freshness(world.now_us));
    }
    freshness.dedup();
    assert_eq!(freshness, [Freshness::Current, Freshness::Stale]);
    assert!(world
        .events
        .iter()
        .any(|h| matches!(h, ClientEvent::Failed(w) if w.contains("does not answer"))));
    world.deliver_all();
}

#[test]
fn a_lost_lease_is_detected_and_the_client_registers_again() {
    let mut world = up_to_date_world();
    world.store.expire(i64::MAX);
    world.note_store_state();
    world.deliver_all();
    assert!(
        world.events.contains(&ClientEvent::LeaseLost) && world.events.contains(&ClientEvent::Registered)
    );
}

#[test]
fn the_keys_of_a_snapshot_are_used_until_the_registry_answers() {
    let world = up_to_date_world();
    let snapshot = world.client.watch_state().to_snapshot(3);
    let mut client = Client::new(settings(false));
    let LoadedSnapshot { changes: reported, clients } =
        client.watch_state_mut().load_snapshot(&snapshot).unwrap();
    assert_eq!(clients, 3);
    assert_eq!(
        (reported.len(), client.watch_state().freshness(0)),
        (world.reported.len(), Freshness::Remembered)
    );
    assert!(client.watch_state_mut().load_snapshot(b"{").is_err());
    // Once the registry answers, only differences are reported.
    let mut again = World::new(false);
    (0..5).filter(|n| *n != 2).for_each(|n| again.put(n, READY));
    again.put(4, DRAINING);
    again.reported = world.reported.clone();
    again.client = client;
    again.deliver_all();
    let changes =
        again
            .events
            .iter()
            .filter_map(|h| if let ClientEvent::Changes(c) = h { Some(c.len()) } else { None });
    // The client's own entry and w2 are deleted, w4 drains, and the own entry is created again.
    assert!(changes.sum::<usize>() <= 4, "{:?}", again.events);
}

#[test]
fn a_restart_with_available_history_causes_liveness_checks_but_no_list() {
    let mut world = up_to_date_world();
    world.restart();
    assert_eq!(world.client.watch_state().freshness(world.now_us), Freshness::Remembered);
    world.put(3, DRAINING);
    let range_requests = world.range_requests;
    world.events.clear();
    world.deliver_all();
    let reported =
        world
            .events
            .iter()
            .filter_map(|h| if let ClientEvent::Changes(c) = h { Some(c.len()) } else { None });
    // The drain, and the client's own entry, which was written again.
    assert_eq!(reported.sum::<usize>(), 2, "{:?}", world.events);
    assert!(world.events.iter().all(|h| !matches!(h, ClientEvent::WatchFault(_))), "{:?}", world.events);
    // One liveness check after the start, then at most one per second.
    let sent = world.range_requests - range_requests;
    assert!(sent <= 22, "{sent} range requests");
}

#[test]
fn many_clients_check_seldom_and_a_keep_alive_replaces_a_check_if_nothing_changed() {
    let settings = ClientSettings { clients: 300, follow: WatchScope::Workers, ..settings(false) };
    let mut world = World::with(settings, false);
    (0..5).for_each(|n| world.put(n, READY));
    (0..200).for_each(|_| {
        world.advance(50_000);
        world.deliver(Channel::Short);
        world.poll_watch(false, false);
        world.deliver(Channel::Watch);
    });
    let (range_requests, from) = (world.range_requests, world.now_us);
    for _ in 0..1_200 {
        world.advance(50_000);
        world.deliver(Channel::Short);
        world.poll_watch(false, false);
        world.deliver(Channel::Watch);
    }
    // In one minute: two or three counts of routers with two requests each, and the liveness check after the
    // change of the client's own entry.
    assert_eq!(world.now_us - from, 60_000_000);
    let sent = world.range_requests - range_requests;
    assert!(sent <= 8, "{sent} range requests");
    // A stalled watch is detected within the bound.
    let (drained, within) = (world.now_us, world.client.drain_bound_us());
    world.put(1, DRAINING);
    world.poll_watch(false, true);
    while world.reported.values().all(|v| v != DRAINING.as_bytes()) {
        world.advance(50_000);
        world.deliver(Channel::Short);
        assert!(world.now_us - drained <= within, "{:?}", world.events);
    }
    assert!(world.now_us - drained > 1_000_000, "liveness checks are too frequent for 300 clients");
}

#[test]
fn retry_after_of_an_overloaded_registry_is_obeyed_and_the_watch_is_kept() {
    let mut world = up_to_date_world();
    let overloaded = b"HTTP/1.1 503 X\r\nRetry-After: 3\r\nContent-Length: 2\r\n\r\n{}".to_vec();
    while world.pipes[&Channel::Short].inbox.is_empty() {
        world.advance(50_000);
    }
    *world.pipes.get_mut(&Channel::Short).unwrap().inbox.front_mut().unwrap() = overloaded;
    world.deliver(Channel::Short);
    let at = world.now_us;
    assert!(world.pipes[&Channel::Watch].open && world.pipes[&Channel::Watch].next_revision.is_some());
    world.put(2, DRAINING);
    world.poll_watch(false, false);
    world.deliver(Channel::Watch);
    assert_eq!(world.reported[&worker_key(PREFIX, "w2").into_bytes()], DRAINING.as_bytes());
    while world.pipes[&Channel::Short].inbox.is_empty() {
        world.advance(50_000);
    }
    assert!((3_000_000..3_300_000).contains(&(world.now_us - at)), "{}", world.now_us - at);
}

#[test]
fn a_rolling_deploy_of_most_workers_is_followed_change_by_change() {
    // 81 of 85 workers drain, are removed and replaced within 5 s, among changes of other workers: 5,000
    // changes in all.
    let watch_state = WatchSettings::default();
    let mut world = World::with(ClientSettings { watch_state, ..settings(false) }, false);
    (0..85).for_each(|n| world.put(n, READY));
    world.deliver_all();
    let (range_requests, before) = (world.range_requests, world.store.revision());
    world.events.clear();
    let mut drained_us = BTreeMap::new();
    for step in 0..500u32 {
        let deployed = step / 6;
        if step % 6 == 0 && deployed < 81 {
            world.put(deployed, DRAINING);
            drained_us.insert(deployed, world.now_us);
        } else if step % 6 == 3 && deployed < 81 {
            world.delete(deployed);
            world.put(200 + deployed, READY);
        }
        (0..9).for_each(|n| {
            world.put(1_000 + (step * 9 + n) % 300, if step % 2 == 0 { READY } else { DRAINING })
        });
        world.poll_watch(step % 7 == 0, false);
        while !world.pipes[&Channel::Watch].inbox.is_empty() {
            world.deliver(Channel::Watch);
        }
        world.deliver(Channel::Short);
        // A drain is reported in the step in which it was written.
        let reported = |n: &u32| world.reported.get(&worker_key(PREFIX, &format!("w{n}")).into_bytes());
        assert!(drained_us.keys().all(|n| reported(n).is_none_or(|v| v == DRAINING.as_bytes())));
        world.advance(10_000);
    }
    assert!(world.store.revision() - before >= 4_700, "{}", world.store.revision() - before);
    let drained = |h: &ClientEvent| {
        matches!(h, ClientEvent::Changes(c) if c.iter().any(|c| matches!(c, Change::Put { key, value, .. }
        if drained_us.keys().any(|n| *key == worker_key(PREFIX, &format!("w{n}")).into_bytes()) && value == DRAINING.as_bytes())))
    };
    assert_eq!(world.events.iter().filter(|h| drained(h)).count(), 81);
    // Liveness checks read one key each; the whole list was not requested again.
    let sent = world.range_requests - range_requests;
    assert!(sent < 20, "{sent} range requests");
    world.deliver_all();
}
