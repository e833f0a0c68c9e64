//! All that can happen to a small fleet, up to a size: routers, drivers, registry, links and clocks that drift. The decision
//! modules themselves run here; the model adds a registry of entries with versions, and moves.

use slatevalve_config_versioning::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

/// Clocks: true time goes in ticks; the routers' go slow, the drivers' fast, by a fifth.
const ROUTER_RATE: i64 = 80;
const DRIVER_RATE: i64 = 120;
const DRIFT_PPM: i64 = 200_000;
/// A right lasts two ticks and a half by a router's clock; a driver waits for three.
const RIGHT_US: i64 = 200;

fn keys() -> Keys {
    Keys::new("/t/")
}

/// Rules of the documents by number; each contradicts the others.
fn rules(number: u64) -> Terms {
    let repeat = if number == 1 { RetryRule::forbidden() } else { RetryRule::keyed(None, number as i64) };
    Terms { classes: [("charge".to_string(), Class::new(repeat, 1, 1))].into(), ..Terms::default() }
}

fn terms(version: &DocumentVersion) -> Option<Terms> {
    Some(rules(version.number))
}

type Store = BTreeMap<String, (Vec<u8>, i64)>;

fn apply(store: &mut Store, txn: &Txn) -> TxnOutcome {
    let version = |key: &String| store.get(key).filter(|e| !e.0.is_empty()).map_or(0, |e| e.1);
    if txn.compares.iter().any(|(key, revision)| version(key) != *revision) {
        return TxnOutcome::Conflict;
    }
    // An entry that is taken out keeps its version below its empty value: no revision is given twice.
    let mut written = 0;
    for (key, value) in &txn.puts {
        let entry = store.entry(key.clone()).or_default();
        *entry = (value.clone(), entry.1 + 1);
        written = entry.1;
    }
    for key in &txn.deletes {
        if let Some(entry) = store.get_mut(key) {
            entry.0.clear();
        }
    }
    TxnOutcome::Succeeded(written)
}

fn snapshot(store: &Store) -> Snapshot {
    let stands = store.iter().filter(|(_, e)| !e.0.is_empty());
    Snapshot::from_entries(
        &keys(),
        stands.map(|(key, (value, version))| (key.as_str(), value.as_slice(), *version)),
    )
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Flight {
    Write(Txn),
    Written(TxnOutcome),
    Read,
    Answer(Option<Entry<State>>, Option<Entry<ActLease>>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    holder: LeaseHolder,
    /// As it was before it asked for what is under way.
    before_asking: Option<LeaseHolder>,
    life: u8,
    flight: Option<Flight>,
    /// A write that was given up and may yet be done.
    late: Option<Txn>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Drive {
    coordinator: RolloutCoordinator,
    commit: Option<Txn>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    tick: i64,
    store: Store,
    routers: Vec<Router>,
    drives: Vec<Drive>,
    highest: u64,
    lost: bool,
    /// What may still happen of each kind.
    publishes: u8,
    withdraws: u8,
    losses: u8,
    crashes: u8,
    asks: u8,
    looks: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Move {
    Tick,
    Publish,
    Withdraw,
    /// Hears the state, and asks for a right by it where nothing is under way.
    Hear(usize),
    LeaseRequest(usize),
    /// Hears, asks, and is answered.
    Prompt(usize),
    Take(usize),
    Deliver(usize),
    /// What is under way is lost, before or after the registry had it.
    Lose(usize),
    /// What is under way is given up, and still arrives some time.
    Delay(usize),
    Late(usize),
    Restart(usize),
    DriverReads(usize),
    DriverWrites(usize),
    DriverStartsAnew(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A right is counted from its answer instead of its question.
    RightFromTheAnswer,
    /// A commit does not wait for the first router.
    CommitSkipsOne,
    /// The first router sends without looking at its right.
    NoLook,
    /// The driver takes all clocks for perfect.
    NoDrift,
    /// A published document counts at once.
    NoMeet,
}

#[derive(Clone, Debug)]
struct Fleet {
    routers: usize,
    /// So many of them, the last ones, hear, ask and are answered in one move.
    prompt: usize,
    drivers: usize,
    ticks: i64,
    publishes: u8,
    withdraws: u8,
    losses: u8,
    crashes: u8,
    /// Questions of all routers that are not prompt, and readings of all drivers.
    asks: u8,
    looks: u8,
    expiry_policy: LeaseExpiryPolicy,
    planted: Planted,
}

fn holder(name: usize, life: u8) -> LeaseHolder {
    let previous_incarnations = (0..life).map(|l| l.to_string()).collect();
    LeaseHolder::new(LeaseOwner {
        keys: keys(),
        name: format!("r{name}"),
        incarnation: format!("{life}"),
        previous_incarnations,
    })
}

impl Fleet {
    fn draft(&self, text: &str) -> Document {
        Document {
            number: 0,
            parent: 0,
            digest: String::new(),
            text: text.into(),
            who: "op".into(),
            why: "why".into(),
            expiry_policy: self.expiry_policy,
            lease_us: RIGHT_US,
        }
    }

    fn coordinator(&self) -> RolloutCoordinator {
        RolloutCoordinator::new(keys(), if self.planted == Planted::NoDrift { 0 } else { DRIFT_PPM })
    }

    fn hear(&self, router: &mut Router, state: &Entry<State>) {
        let documents: Vec<_> = state
            .value
            .active_settings
            .versions()
            .map(|_| LeaseTerms { lease_us: RIGHT_US, expiry_policy: self.expiry_policy })
            .collect();
        let _ = router.holder.observe_state(state, &documents);
    }

    fn acts(&self, world: &World, at: usize) -> Option<ActiveSettings> {
        let router = &world.routers[at];
        let may = router.holder.send_permission(world.tick * ROUTER_RATE) == SendPermission::All;
        let blind = self.planted == Planted::NoLook && at == 0;
        router.holder.active_settings().filter(|_| may || blind).cloned()
    }

    /// Every two routers that may act do so by rules that do not contradict, and share a document.
    fn agrees(&self, world: &World) -> bool {
        let all_settings: Vec<ActiveSettings> =
            (0..self.routers).filter_map(|at| self.acts(world, at)).collect();
        all_settings.iter().enumerate().all(|(at, one)| {
            all_settings[at + 1..].iter().filter(|other| *other != one).all(|other| {
                let shared = one.versions().any(|e| other.versions().any(|o| o == e));
                let (one, other) =
                    (Terms::of_settings(one, terms).unwrap(), Terms::of_settings(other, terms).unwrap());
                shared && contradictions(&one, &other).is_empty()
            })
        })
    }

    fn step(&self, world: &mut World, what: Move) -> bool {
        let (mine, theirs) = (world.tick * ROUTER_RATE, world.tick * DRIVER_RATE);
        match what {
            Move::Tick => world.tick += 1,
            Move::Publish => {
                let draft = self.draft(&format!("document {}", world.publishes));
                let Ok((_, mut txn)) = snapshot(&world.store).publish(&keys(), &draft, 0) else {
                    return false;
                };
                if self.planted == Planted::NoMeet {
                    let (_, value) = &mut txn.puts[1];
                    let mut state: State = serde_json::from_slice(value).unwrap();
                    state.active_settings.committed = state.active_settings.prepared.take().unwrap();
                    *value = serde_json::to_vec(&state).unwrap();
                }
                world.publishes -= 1;
                apply(&mut world.store, &txn);
            }
            Move::Withdraw => {
                let Some(txn) = snapshot(&world.store).withdraw(&keys()) else { return false };
                world.withdraws -= 1;
                apply(&mut world.store, &txn);
            }
            Move::Hear(at) => {
                let Some(state) = snapshot(&world.store).state else { return false };
                self.hear(&mut world.routers[at], &state);
                if world.routers[at].flight.is_none() && world.asks > 0 {
                    self.step(world, Move::LeaseRequest(at));
                }
            }
            Move::Prompt(at) => {
                let before = std::mem::replace(&mut world.asks, u8::MAX);
                for what in [Move::Hear(at), Move::LeaseRequest(at), Move::Take(at), Move::Deliver(at)] {
                    self.step(world, what);
                }
                world.asks = before;
            }
            Move::LeaseRequest(at) => {
                let router = &mut world.routers[at];
                let before = router.holder.clone();
                let Some(ask) = router.holder.next_request(mine) else { return false };
                world.asks -= 1;
                if self.planted == Planted::RightFromTheAnswer {
                    router.before_asking = Some(before);
                }
                router.flight = Some(match ask {
                    LeaseRequest::Write(txn) => Flight::Write(txn),
                    LeaseRequest::Read => Flight::Read,
                });
            }
            Move::Take(at) => {
                let flight = match &world.routers[at].flight {
                    Some(Flight::Write(txn)) => Flight::Written(apply(&mut world.store, txn)),
                    Some(Flight::Read) => {
                        let now = snapshot(&world.store);
                        let id = RouterId::new(format!("r{at}"), format!("{}", world.routers[at].life));
                        Flight::Answer(now.state, now.leases.get(&id).cloned())
                    }
                    _ => return false,
                };
                world.routers[at].flight = Some(flight);
            }
            Move::Deliver(at) => {
                let router = &mut world.routers[at];
                match router.flight.take() {
                    Some(Flight::Written(end)) => {
                        if let Some(before) = router.before_asking.take() {
                            router.holder = before;
                            router.holder.next_request(mine);
                        }
                        router.holder.on_written(end);
                    }
                    Some(Flight::Answer(state, own)) => {
                        state.iter().for_each(|s| self.hear(router, s));
                        let _ = router.holder.on_read(own.as_ref());
                    }
                    _ => return false,
                }
            }
            Move::Lose(at) => {
                world.losses -= 1;
                // A read that is lost is asked for again once patience ends.
                if let Some(Flight::Write(_) | Flight::Written(_)) = world.routers[at].flight.take() {
                    world.routers[at].holder.on_written(TxnOutcome::Unknown);
                }
            }
            Move::Delay(at) => {
                let router = &mut world.routers[at];
                let Some(Flight::Write(txn)) = router.flight.take() else { return false };
                world.losses -= 1;
                router.late = Some(txn);
                router.holder.on_written(TxnOutcome::Unknown);
            }
            Move::Late(at) => {
                let Some(txn) = world.routers[at].late.take() else { return false };
                apply(&mut world.store, &txn);
            }
            Move::Restart(at) => {
                world.crashes -= 1;
                let router = &mut world.routers[at];
                router.life += 1;
                router.holder = holder(at, router.life);
                (router.before_asking, router.flight) = (None, None);
            }
            Move::DriverReads(at) => {
                // An answer that comes later only makes it wait longer; its commit may be late, however.
                let drive = &mut world.drives[at];
                let mut now = snapshot(&world.store);
                if now.state.as_ref().is_none_or(|s| s.value.active_settings.prepared.is_none()) {
                    return false;
                }
                world.looks -= 1;
                if self.planted == Planted::CommitSkipsOne {
                    now.leases.retain(|id, _| id.name != "r0");
                }
                if let RolloutStep::Commit(txn) = drive.coordinator.advance(theirs, &now, terms) {
                    drive.commit = Some(txn);
                }
            }
            Move::DriverWrites(at) => {
                let Some(txn) = world.drives[at].commit.take() else { return false };
                apply(&mut world.store, &txn);
            }
            Move::DriverStartsAnew(at) => {
                world.crashes -= 1;
                world.drives[at] = Drive { coordinator: self.coordinator(), commit: None };
            }
        }
        if matches!(
            what,
            Move::Publish | Move::Withdraw | Move::Take(_) | Move::Late(_) | Move::DriverWrites(_)
        ) {
            let now = snapshot(&world.store);
            let active_settings = now.state.as_ref().map(|s| &s.value.active_settings);
            let committed = active_settings.map_or(0, |s| s.committed.number);
            let whole = active_settings.is_some_and(|s| s.versions().all(|e| now.document(e).is_some()));
            world.lost |= committed < world.highest || !whole;
            world.highest = world.highest.max(committed);
        }
        true
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let mut store = Store::new();
        let (_, txn) = snapshot(&store).publish(&keys(), &self.draft("the first"), 0).unwrap();
        apply(&mut store, &txn);
        let router =
            |at| Router { before_asking: None, holder: holder(at, 0), life: 0, flight: None, late: None };
        let drive = Drive { coordinator: self.coordinator(), commit: None };
        let mut world = World {
            tick: 0,
            store,
            routers: (0..self.routers).map(router).collect(),
            drives: vec![drive; self.drivers],
            highest: 1,
            lost: false,
            asks: self.asks,
            looks: self.looks,
            publishes: self.publishes,
            withdraws: self.withdraws,
            losses: self.losses,
            crashes: self.crashes,
        };
        // All have their right by the first document; who starts in the middle of a change is a restart.
        for at in 0..self.routers {
            self.step(&mut world, Move::Prompt(at));
            assert!(self.acts(&world, at).is_some());
        }
        vec![world]
    }

    fn actions(&self, world: &World, moves: &mut Vec<Move>) {
        moves.extend((world.tick < self.ticks).then_some(Move::Tick));
        moves.extend((world.publishes > 0).then_some(Move::Publish));
        moves.extend((world.withdraws > 0).then_some(Move::Withdraw));
        let slow = self.routers - self.prompt;
        moves.extend((slow..self.routers).map(Move::Prompt));
        for (at, router) in world.routers.iter().enumerate().take(slow) {
            moves.push(Move::Hear(at));
            match &router.flight {
                None => moves.extend((world.asks > 0).then_some(Move::LeaseRequest(at))),
                Some(flight) => {
                    let there = matches!(flight, Flight::Write(_) | Flight::Read);
                    moves.push(if there { Move::Take(at) } else { Move::Deliver(at) });
                    moves.extend((world.losses > 0).then_some(Move::Lose(at)));
                    let waits = matches!(flight, Flight::Write(_)) && router.late.is_none();
                    moves.extend((world.losses > 0 && waits).then_some(Move::Delay(at)));
                }
            }
            moves.extend(router.late.is_some().then_some(Move::Late(at)));
            moves.extend((world.crashes > 0).then_some(Move::Restart(at)));
        }
        for (at, drive) in world.drives.iter().enumerate() {
            let writes = drive.commit.is_some();
            moves.extend(writes.then_some(Move::DriverWrites(at)));
            moves.extend((!writes && world.looks > 0).then_some(Move::DriverReads(at)));
            moves.extend((world.crashes > 0).then_some(Move::DriverStartsAnew(at)));
        }
    }

    fn next_state(&self, world: &World, what: Move) -> Option<World> {
        let mut next = world.clone();
        (self.step(&mut next, what) && next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two routers act by rules that contradict", |m: &Fleet, w: &World| {
                m.agrees(w)
            }),
            Property::always("a committed document is never lost", |_, w: &World| !w.lost),
            Property::sometimes("a change is committed under all routers", |m: &Fleet, w: &World| {
                w.highest >= 2
                    && (0..m.routers).all(|at| m.acts(w, at).is_some_and(|s| s.committed.number >= 2))
            }),
        ]
    }
}

const SMALL: Fleet = Fleet {
    routers: 2,
    prompt: 1,
    drivers: 1,
    ticks: 4,
    publishes: 1,
    withdraws: 0,
    losses: 0,
    crashes: 0,
    asks: 2,
    looks: 2,
    expiry_policy: LeaseExpiryPolicy::GiveUp,
    planted: Planted::Nothing,
};

/// A tick and a question less.
const SHORT: Fleet = Fleet { ticks: 3, asks: 1, ..SMALL };

fn checked(name: &str, fleet: Fleet) -> usize {
    let start = std::time::Instant::now();
    let checker = fleet.checker().threads(4).spawn_bfs().join();
    println!(
        "{name}: {} states, depth {}, {:?}",
        checker.unique_state_count(),
        checker.max_depth(),
        start.elapsed()
    );
    checker.assert_properties();
    checker.unique_state_count()
}

fn caught(planted: Planted, fleet: Fleet) {
    let checker = Fleet { planted, ..fleet }.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("no two routers act by rules that contradict");
    let moves = found.map(|path| path.into_actions());
    println!("{planted:?}: {moves:?}");
    assert!(moves.is_some(), "{planted:?} was not found among {} states", checker.unique_state_count());
}

#[test]
fn no_move_of_a_small_fleet_breaks_the_agreement() {
    checked("rights that end", SHORT);
    checked("rights that go on", Fleet { expiry_policy: LeaseExpiryPolicy::GoOn, ..SHORT });
    checked("an answer lost, or late", Fleet { losses: 1, ..SHORT });
    checked("a router or a driver that starts anew", Fleet { crashes: 1, ..SHORT });
    checked("two documents, one after the other", Fleet { publishes: 2, ..SHORT });
    checked("two drivers", Fleet { drivers: 2, ..SHORT });
    checked(
        "one taken back, another published",
        Fleet { publishes: 2, withdraws: 1, looks: 1, ticks: 2, ..SHORT },
    );
}

/// Numbers of a small linear congruential generator.
fn draw(state: &mut u64, most: usize) -> usize {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*state >> 33) as usize % most
}

#[test]
fn a_change_ends_once_faults_end() {
    for seed in 0..400 {
        let expiry_policy = if seed % 2 == 0 { LeaseExpiryPolicy::GiveUp } else { LeaseExpiryPolicy::GoOn };
        let fleet = Fleet {
            prompt: 0,
            routers: 3,
            drivers: 2,
            ticks: 20,
            publishes: 2,
            losses: 3,
            crashes: 2,
            ..SMALL
        };
        let fleet = Fleet { asks: u8::MAX, looks: u8::MAX, withdraws: 1, expiry_policy, ..fleet };
        let (mut world, mut random) = (fleet.init_states().remove(0), seed);
        for _ in 0..60 {
            let mut moves = Vec::new();
            fleet.actions(&world, &mut moves);
            let what = moves[draw(&mut random, moves.len())];
            fleet.step(&mut world, what);
            assert!(fleet.agrees(&world) && !world.lost, "seed {seed}: {what:?}");
        }
        // From here on everything that is asked is answered; at first what is under way arrives.
        for at in 0..3 {
            for what in [Move::Late(at), Move::Take(at), Move::Deliver(at)] {
                fleet.step(&mut world, what);
            }
        }
        for _ in 0..20 {
            (world.asks, world.looks) = (u8::MAX, u8::MAX);
            for at in 0..3 {
                fleet.step(&mut world, Move::Prompt(at));
            }
            for what in [Move::DriverReads(0), Move::DriverWrites(0), Move::Tick] {
                fleet.step(&mut world, what);
                assert!(fleet.agrees(&world), "seed {seed}: {what:?}");
            }
        }
        let active_settings = snapshot(&world.store).state.unwrap().value.active_settings;
        assert_eq!(active_settings.prepared, None, "seed {seed}: the change does not end");
        for at in 0..3 {
            assert_eq!(fleet.acts(&world, at).as_ref(), Some(&active_settings), "seed {seed}: router {at}");
        }
    }
}

/// Takes minutes; its sizes stand in the design.
#[test]
#[ignore = "large: run by hand with --release -- --ignored"]
fn no_move_of_a_larger_fleet_breaks_the_agreement() {
    for expiry_policy in [LeaseExpiryPolicy::GiveUp, LeaseExpiryPolicy::GoOn] {
        let fleet = Fleet { expiry_policy, ..SMALL };
        checked("two slow routers", Fleet { prompt: 0, asks: 3, expiry_policy, ..SHORT });
        checked("losses", Fleet { losses: 1, ..fleet.clone() });
        checked("crashes", Fleet { crashes: 1, ..fleet.clone() });
        checked("two documents", Fleet { publishes: 2, ..fleet.clone() });
        checked("two drivers", Fleet { drivers: 2, ..fleet.clone() });
        checked("three routers", Fleet { routers: 3, ..fleet });
    }
}

#[test]
fn planted_faults_are_found() {
    caught(Planted::RightFromTheAnswer, Fleet { asks: 1, ..SMALL });
    caught(Planted::CommitSkipsOne, SHORT);
    caught(Planted::NoLook, SHORT);
    caught(Planted::NoDrift, Fleet { asks: 2, ..SHORT });
    caught(Planted::NoMeet, SHORT);
}
