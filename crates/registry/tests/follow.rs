//! The client and the test registry's store in simulated time: random walks over changes, lost connections, compaction, lost
//! and duplicated responses, restored backups and revoked tokens, with an oracle that knows the store at every revision.

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
    /// The next revision to be sent on its watch.
    next: Option<i64>,
}

struct World {
    settings: ClientSettings,
    store: KvStore,
    client: Client,
    pipes: BTreeMap<Channel, Pipe>,
    now_us: i64,
    /// The keys by the client's reported changes.
    reported: Keys,
    /// The store's keys at each revision of each incarnation of the registry.
    states: BTreeMap<(i64, i64), Keys>,
    incarnation: i64,
    events: Vec<ClientEvent>,
    lists: usize,
    /// The watch has lost an event: until that is detected the client may hold keys of no revision.
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
        let of_store = login.then(|| ("u".to_string(), "p".to_string()));
        let mut world = World {
            store: KvStore::new(7, of_store),
            client: Client::new(settings.clone()),
            settings,
            pipes: [(Channel::Watch, Pipe::default()), (Channel::Short, Pipe::default())].into(),
            now_us: 0,
            reported: Keys::new(),
            states: BTreeMap::new(),
            incarnation: 0,
            events: Vec::new(),
            lists: 0,
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
        let ask = RangeRequest { key: Bytes::of(&key), range_end, ..Default::default() };
        let kvs = self.store.range(&ask).unwrap().kvs;
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
        for what in actions {
            match what {
                SocketAction::Open(channel, _) => {
                    *self.pipes.get_mut(&channel).unwrap() = Pipe { open: true, ..Pipe::default() };
                    let mut more = Vec::new();
                    self.client.connected(self.now_us, channel, &mut more);
                    self.execute(more);
                }
                SocketAction::Close(channel) => *self.pipes.get_mut(&channel).unwrap() = Pipe::default(),
                SocketAction::Write(channel, bytes) => self.asked(channel, &bytes),
            }
        }
    }

    fn asked(&mut self, channel: Channel, bytes: &[u8]) {
        let request = MessageReader::new(Side::Request, Limits::default()).feed(bytes).unwrap().unwrap();
        let (path, body, now) = (request.head.target.as_str(), request.body.as_slice(), self.now_us);
        let store = &mut self.store;
        fn json<T: serde::Serialize>(
            a: Result<T, (i64, &'static str)>,
        ) -> Result<Vec<u8>, (i64, &'static str)> {
            a.map(|a| serde_json::to_vec(&a).unwrap())
        }
        let answer = if path == AUTHENTICATE {
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
                    pipe.next = Some(create.start_revision);
                    pipe.inbox.push_back(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec());
                    pipe.inbox.push_back(chunk(&created));
                    return;
                }
                RANGE => {
                    self.lists += 1;
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
        let (status, body) = match answer {
            Ok(body) => (200, body),
            Err((code, words)) => {
                (400, serde_json::to_vec(&ErrorBody { message: words.into(), code }).unwrap())
            }
        };
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        self.pipes.get_mut(&channel).unwrap().inbox.push_back([head.into_bytes(), body].concat());
    }

    /// Delivers the next response of a connection to the client, in pieces.
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

    /// Sends the outstanding events of the watch; `doubled` sends them twice, `lost` not at all.
    fn poll_watch(&mut self, doubled: bool, lost: bool) {
        let Some(next) = self.pipes[&Channel::Watch].next else { return };
        let header = self.store.header();
        let key = self.followed().into_bytes();
        let mut lines = Vec::new();
        match self.store.changes(next, &key, &prefix_end(&key)) {
            Err(compact_revision) => {
                lines.push(chunk(&WatchResponse {
                    header,
                    canceled: true,
                    compact_revision,
                    ..Default::default()
                }));
                self.pipes.get_mut(&Channel::Watch).unwrap().next = None;
            }
            Ok(changes) => {
                for (_, events) in changes.into_iter().filter(|_| !lost) {
                    let count = events.len();
                    let fragments = events.into_iter().enumerate().map(|(n, event)| WatchResponse {
                        header: header.clone(),
                        events: vec![event],
                        fragment: n + 1 < count,
                        ..Default::default()
                    });
                    let one: Vec<Vec<u8>> = fragments.map(|f| chunk(&f)).collect();
                    lines.extend(one.clone());
                    lines.extend(one.into_iter().filter(|_| doubled));
                }
                self.pipes.get_mut(&Channel::Watch).unwrap().next = Some(self.store.revision() + 1);
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

    fn restore(&mut self, by: i64, other_cluster: bool) {
        let to = self.store.revision() - by;
        self.store.restore(to, other_cluster);
        self.incarnation += 1;
        self.note_store_state();
        self.break_off(Channel::Watch);
        self.break_off(Channel::Short);
    }

    /// Replaces the client by one that loads its snapshot.
    fn restart(&mut self) {
        let kept = self.client.watch_state().to_snapshot(1);
        self.pipes.values_mut().for_each(|pipe| *pipe = Pipe::default());
        self.client = Client::new(self.settings.clone());
        self.reported.clear();
        let changes = self.client.watch_state_mut().load_snapshot(&kept).unwrap().changes;
        self.record_events(vec![ClientEvent::Changes(changes)]);
    }

    fn pass(&mut self, us: i64) {
        self.now_us += us;
        self.store.expire(self.now_us);
        self.note_store_state();
        let (mut actions, mut events) = (Vec::new(), Vec::new());
        self.client.advance(self.now_us, &mut actions, &mut events);
        self.record_events(events);
        self.execute(actions);
    }

    fn record_events(&mut self, events: Vec<ClientEvent>) {
        for what in events {
            if let ClientEvent::Changes(changes) = &what {
                for change in changes {
                    match change {
                        Change::Put { key, value, .. } => self.reported.insert(key.clone(), value.clone()),
                        Change::Deleted { key } => {
                            let old = self.reported.remove(key);
                            assert!(old.is_some(), "told as gone what was not there");
                            old
                        }
                    };
                }
            }
            self.events.push(what);
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
        assert!(found, "at revision {revision}: told {:?}", names(&self.reported));
    }

    /// Runs until the client is up to date, and checks its keys.
    fn deliver_all(&mut self) {
        for _ in 0..400 {
            self.poll_watch(false, false);
            self.deliver(Channel::Watch);
            self.deliver(Channel::Short);
            self.pass(50_000);
        }
        let now = &self.states[&(self.incarnation, self.store.revision())];
        assert_eq!(names(&self.reported), names(now), "revision {}", self.store.revision());
        assert!(now.contains_key(OWN.as_bytes()), "our own entry is not there");
        assert_eq!(self.client.watch_state().freshness(self.now_us), Freshness::Current);
    }
}

fn names(keys: &Keys) -> Vec<(String, String)> {
    let text = |b: &Vec<u8>| String::from_utf8_lossy(b).into_owned();
    keys.iter().map(|(k, v)| (text(k), text(v))).collect()
}

fn chunk(answer: &WatchResponse) -> Vec<u8> {
    let mut line = serde_json::to_vec(&Streamed { result: Some(answer.clone()), error: None }).unwrap();
    line.push(b'\n');
    [format!("{:x}\r\n", line.len()).as_bytes(), &line, b"\r\n"].concat()
}

const READY: &str = r#"{"address":"127.0.0.1:1"}"#;
const DRAINING: &str = r#"{"address":"127.0.0.1:1","state":"draining"}"#;

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
            90 if with_loss => {
                world.poll_watch(false, true);
                world.lossy = true;
            }
            91 => world.store.expire_half(world.now_us),
            92 => world.restart(),
            _ => world.pass(random.random_range(1_000..400_000)),
        }
        world.note_store_state();
        world.check();
    }
    world.deliver_all();
    let mut faults = BTreeMap::new();
    for events in &world.events {
        if let ClientEvent::WatchFault(t) = events {
            let word = format!("{t:?}").split([' ', '(', '{']).next().unwrap_or_default().to_string();
            *faults.entry(word).or_default() += 1;
        }
    }
    (world.states.len(), faults)
}

#[test]
fn no_interleaving_of_changes_breaks_and_compaction_loses_one() {
    let (mut states, mut faults) = (0, BTreeMap::new());
    for seed in 0..150 {
        let (seen, met) = random_walk(seed, 400, false);
        states += seen;
        met.into_iter().for_each(|(t, n)| *faults.entry(t).or_insert(0) += n);
    }
    println!("{states} states of the store, faults met: {faults:?}");
    assert!(states > 10_000);
    assert!(["Compacted", "Restored"].iter().all(|t| faults.get(*t).is_some_and(|n| *n > 20)), "{faults:?}");
}

#[test]
fn a_watch_that_loses_changes_without_a_word_is_found_out() {
    // By liveness checks or, where a later change hid the loss from them, by a full resync: `random_walk` ends with the same
    // keys on both sides.
    (1_000..1_040).for_each(|seed| drop(random_walk(seed, 300, true)));
    let mut world = standing();
    world.lossy = true;
    world.put(1, DRAINING);
    world.poll_watch(false, true);
    for _ in 0..60 {
        world.poll_watch(false, false);
        world.deliver(Channel::Watch);
        world.deliver(Channel::Short);
        world.pass(50_000);
    }
    assert!(world.events.contains(&ClientEvent::WatchFault(WatchFault::Behind)), "{:?}", world.events);
    assert_eq!(world.reported[&worker_key(PREFIX, "w1").into_bytes()], DRAINING.as_bytes());
}

/// Creates a world with five workers and a client that is up to date; its events so far are removed.
fn standing() -> World {
    let mut world = World::new(false);
    (0..5).for_each(|n| world.put(n, READY));
    world.deliver_all();
    world.events.clear();
    world
}

#[test]
fn a_drain_within_a_break_is_told_after_it_whether_history_is_left_or_not() {
    for compaction in [None, Some(false), Some(true)] {
        let mut world = standing();
        world.break_off(Channel::Watch);
        let before = world.store.revision();
        world.put(2, DRAINING);
        world.put(3, DRAINING);
        world.delete(3);
        world.put(3, READY);
        match compaction {
            None => {}
            // Just up to what was told, and beyond it.
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
        let of = |n: u32| worker_key(PREFIX, &format!("w{n}")).into_bytes();
        let drained = |c: &&&Change| matches!(c, Change::Put { key, value, .. } if *key == of(2) && value == DRAINING.as_bytes());
        assert_eq!(changes.iter().filter(drained).count(), 1, "{compaction:?}: {changes:?}");
        // One that went and came back within the gap is told as made anew.
        let anew = |c: &&Change| matches!(c, Change::Put { key, created: true, .. } if *key == of(3));
        assert!(changes.iter().any(anew), "{compaction:?}: {changes:?}");
        let listed_again =
            world.events.iter().any(|h| matches!(h, ClientEvent::WatchFault(WatchFault::Compacted { .. })));
        assert_eq!(listed_again, compaction == Some(true));
    }
}

#[test]
fn compaction_within_a_list_of_several_pages_begins_it_anew() {
    let mut world = World::new(false);
    (0..8).for_each(|n| world.put(n, READY));
    world.pass(0);
    world.deliver(Channel::Short);
    world.pass(1);
    // The second page is asked for as of the first one's revision, which is gone when it arrives.
    world.put(0, DRAINING);
    world.pipes.get_mut(&Channel::Short).unwrap().inbox.clear();
    world.break_off(Channel::Short);
    world.store.compact(world.store.revision()).unwrap();
    world.deliver_all();
    assert_eq!(world.reported.len(), 9);
    assert_eq!(world.reported[&worker_key(PREFIX, "w0").into_bytes()], DRAINING.as_bytes());
}

#[test]
fn a_registry_that_goes_back_and_calls_itself_the_same_is_followed_from_there() {
    let mut world = standing();
    world.put(1, DRAINING);
    world.deliver_all();
    world.restore(1, false);
    world.deliver_all();
    assert_eq!(world.reported[&worker_key(PREFIX, "w1").into_bytes()], READY.as_bytes());
}

#[test]
fn a_registry_that_accepts_and_never_answers_is_left_and_its_view_grows_old() {
    let mut world = standing();
    let mut views = Vec::new();
    for _ in 0..200 {
        world.pipes.values_mut().for_each(|p| p.inbox.clear());
        world.pass(50_000);
        views.push(world.client.watch_state().freshness(world.now_us));
    }
    views.dedup();
    assert_eq!(views, [Freshness::Current, Freshness::Stale]);
    assert!(world
        .events
        .iter()
        .any(|h| matches!(h, ClientEvent::Failed(w) if w.contains("does not answer"))));
    world.deliver_all();
}

#[test]
fn a_lost_lease_is_noticed_and_had_anew() {
    let mut world = standing();
    world.store.expire(i64::MAX);
    world.note_store_state();
    world.deliver_all();
    assert!(
        world.events.contains(&ClientEvent::LeaseLost) && world.events.contains(&ClientEvent::Registered)
    );
}

#[test]
fn what_was_kept_is_remembered_until_the_registry_is_heard() {
    let world = standing();
    let kept = world.client.watch_state().to_snapshot(3);
    let mut client = Client::new(settings(false));
    let LoadedSnapshot { changes: reported, clients } =
        client.watch_state_mut().load_snapshot(&kept).unwrap();
    assert_eq!(clients, 3);
    assert_eq!(
        (reported.len(), client.watch_state().freshness(0)),
        (world.reported.len(), Freshness::Remembered)
    );
    assert!(client.watch_state_mut().load_snapshot(b"{").is_err());
    // Heard at last: only differences are told.
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
    // Ours and w2 are gone, w4 drains, and ours is there again.
    assert!(changes.sum::<usize>() <= 4, "{:?}", again.events);
}

#[test]
fn a_restart_lists_nothing_where_the_history_is_left_and_only_looks() {
    let mut world = standing();
    world.restart();
    assert_eq!(world.client.watch_state().freshness(world.now_us), Freshness::Remembered);
    world.put(3, DRAINING);
    let lists = world.lists;
    world.events.clear();
    world.deliver_all();
    let reported =
        world
            .events
            .iter()
            .filter_map(|h| if let ClientEvent::Changes(c) = h { Some(c.len()) } else { None });
    // The drain, and our own entry that was written again.
    assert_eq!(reported.sum::<usize>(), 2, "{:?}", world.events);
    assert!(world.events.iter().all(|h| !matches!(h, ClientEvent::WatchFault(_))), "{:?}", world.events);
    // One look after the start; then one in a second at most.
    assert!(world.lists - lists <= 22, "{}", world.lists - lists);
}

#[test]
fn many_askers_look_seldom_and_a_keep_alive_serves_where_nothing_changed() {
    let settings = ClientSettings { clients: 300, follow: WatchScope::Workers, ..settings(false) };
    let mut world = World::with(settings, false);
    (0..5).for_each(|n| world.put(n, READY));
    (0..200).for_each(|_| {
        world.pass(50_000);
        world.deliver(Channel::Short);
        world.poll_watch(false, false);
        world.deliver(Channel::Watch);
    });
    let (lists, from) = (world.lists, world.now_us);
    for _ in 0..1_200 {
        world.pass(50_000);
        world.deliver(Channel::Short);
        world.poll_watch(false, false);
        world.deliver(Channel::Watch);
    }
    // A minute: two or three counts of the routers, of two questions each, and the look that follows the change of our own
    // entry.
    assert_eq!(world.now_us - from, 60_000_000);
    assert!(world.lists - lists <= 8, "{}", world.lists - lists);
    // A watch that goes silent is found out within the stated time.
    let (drained, within) = (world.now_us, world.client.drain_bound_us());
    world.put(1, DRAINING);
    world.poll_watch(false, true);
    while world.reported.values().all(|v| v != DRAINING.as_bytes()) {
        world.pass(50_000);
        world.deliver(Channel::Short);
        assert!(world.now_us - drained <= within, "{:?}", world.events);
    }
    assert!(world.now_us - drained > 1_000_000, "it was looked at too often for 300");
}

#[test]
fn a_registry_with_too_much_to_do_is_left_alone_as_long_as_it_says_and_the_watch_stays() {
    let mut world = standing();
    let away = b"HTTP/1.1 503 X\r\nRetry-After: 3\r\nContent-Length: 2\r\n\r\n{}".to_vec();
    while world.pipes[&Channel::Short].inbox.is_empty() {
        world.pass(50_000);
    }
    *world.pipes.get_mut(&Channel::Short).unwrap().inbox.front_mut().unwrap() = away;
    world.deliver(Channel::Short);
    let at = world.now_us;
    assert!(world.pipes[&Channel::Watch].open && world.pipes[&Channel::Watch].next.is_some());
    world.put(2, DRAINING);
    world.poll_watch(false, false);
    world.deliver(Channel::Watch);
    assert_eq!(world.reported[&worker_key(PREFIX, "w2").into_bytes()], DRAINING.as_bytes());
    while world.pipes[&Channel::Short].inbox.is_empty() {
        world.pass(50_000);
    }
    assert!((3_000_000..3_300_000).contains(&(world.now_us - at)), "{}", world.now_us - at);
}

#[test]
fn a_rolling_deploy_of_most_workers_is_followed_change_by_change() {
    // 81 of 85 workers drain, go and are succeeded within 5 s, among changes of others: 5,000 in all.
    let watch_state = WatchSettings::default();
    let mut world = World::with(ClientSettings { watch_state, ..settings(false) }, false);
    (0..85).for_each(|n| world.put(n, READY));
    world.deliver_all();
    let (lists, before) = (world.lists, world.store.revision());
    world.events.clear();
    let mut asked = BTreeMap::new();
    for step in 0..500u32 {
        let deployed = step / 6;
        if step % 6 == 0 && deployed < 81 {
            world.put(deployed, DRAINING);
            asked.insert(deployed, world.now_us);
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
        // What was asked for in this step was told in it.
        let reported = |n: &u32| world.reported.get(&worker_key(PREFIX, &format!("w{n}")).into_bytes());
        assert!(asked.keys().all(|n| reported(n).is_none_or(|v| v == DRAINING.as_bytes())));
        world.pass(10_000);
    }
    assert!(world.store.revision() - before >= 4_700, "{}", world.store.revision() - before);
    let drained = |h: &ClientEvent| {
        matches!(h, ClientEvent::Changes(c) if c.iter().any(|c| matches!(c, Change::Put { key, value, .. }
        if asked.keys().any(|n| *key == worker_key(PREFIX, &format!("w{n}")).into_bytes()) && value == DRAINING.as_bytes())))
    };
    assert_eq!(world.events.iter().filter(|h| drained(h)).count(), 81);
    // Looks are lists of one key; the whole list was not asked for again.
    assert!(world.lists - lists < 20, "{} lists", world.lists - lists);
    world.deliver_all();
}
