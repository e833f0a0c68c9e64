//! The model of a fleet: its state, the events, and the properties to check.

use crate::registry::*;
use slatevalve_config_versioning::*;
use stateright::{Model, Property};

/// A request or response between a router and the registry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum InFlight {
    Write(Txn),
    Written(TxnOutcome),
    Read,
    ReadResult(Option<Entry<State>>, Option<Entry<RouterLease>>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Router {
    holder: LeaseHolder,
    /// The holder before the request in flight; only used for [`InjectedFault::LeaseFromResponse`].
    before_request: Option<LeaseHolder>,
    incarnation: u8,
    in_flight: Option<InFlight>,
    /// A write that timed out and may still reach the registry.
    delayed_write: Option<Txn>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Coordinator {
    coordinator: RolloutCoordinator,
    commit: Option<Txn>,
}

/// The state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub tick: i64,
    pub store: Store,
    pub routers: Vec<Router>,
    pub coordinators: Vec<Coordinator>,
    /// The highest number of a document committed so far.
    pub highest: u64,
    /// Whether a committed document was lost.
    pub lost: bool,
    // How often each kind of event may still occur.
    pub publishes: u8,
    pub withdraws: u8,
    pub losses: u8,
    pub crashes: u8,
    pub requests: u8,
    pub reads: u8,
}

/// An event; the argument is the index of a router or a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Event {
    Tick,
    Publish,
    Withdraw,
    /// A router observes the state, and requests a lease for it if it has no request in flight.
    Observe(usize),
    Request(usize),
    /// A router observes the state, requests a lease and receives the response, in one event.
    RoundTrip(usize),
    /// The registry processes the router's request.
    Process(usize),
    Deliver(usize),
    /// The request or its response is lost.
    Lose(usize),
    /// The request times out at the router and reaches the registry later.
    Delay(usize),
    ArriveLate(usize),
    Restart(usize),
    CoordinatorReads(usize),
    CoordinatorWrites(usize),
    CoordinatorRestarts(usize),
}

/// A fault injected into the protocol, which the model must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    None,
    /// A lease starts with its response instead of its request.
    LeaseFromResponse,
    /// A commit does not wait for the first router.
    CommitSkipsRouter,
    /// The first router sends without checking its lease.
    NoLeaseCheck,
    /// The coordinator assumes that clocks do not drift.
    NoDriftAllowance,
    /// A published document is committed at once.
    NoPreparedPhase,
}

/// The size of a model.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub routers: usize,
    /// How many routers, counted from the last, only make [`Event::RoundTrip`]s.
    pub round_trip_routers: usize,
    pub coordinators: usize,
    pub ticks: i64,
    pub publishes: u8,
    pub withdraws: u8,
    pub losses: u8,
    pub crashes: u8,
    /// The total number of requests of the other routers.
    pub requests: u8,
    /// The total number of reads of all coordinators.
    pub reads: u8,
    pub expiry_policy: LeaseExpiryPolicy,
    pub fault: InjectedFault,
}

fn lease_holder(router: usize, incarnation: u8) -> LeaseHolder {
    LeaseHolder::new(LeaseOwner {
        keys: keys(),
        name: format!("r{router}"),
        incarnation: format!("{incarnation}"),
        previous_incarnations: (0..incarnation).map(|earlier| earlier.to_string()).collect(),
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
            lease_us: LEASE_US,
        }
    }

    fn coordinator(&self) -> Coordinator {
        let drift_ppm = if self.fault == InjectedFault::NoDriftAllowance { 0 } else { DRIFT_PPM };
        Coordinator { coordinator: RolloutCoordinator::new(keys(), drift_ppm), commit: None }
    }

    fn observe_state(&self, router: &mut Router, state: &Entry<State>) {
        let terms = LeaseTerms { lease_us: LEASE_US, expiry_policy: self.expiry_policy };
        let documents: Vec<_> = state.value.active_settings.versions().map(|_| terms).collect();
        let _ = router.holder.observe_state(state, &documents);
    }

    /// The settings under which a router may send all calls; `None` if it may not.
    pub(crate) fn active_settings(&self, world: &World, at: usize) -> Option<ActiveSettings> {
        let router = &world.routers[at];
        let has_lease = router.holder.send_permission(world.tick * ROUTER_RATE) == SendPermission::All;
        let checks = self.fault != InjectedFault::NoLeaseCheck || at != 0;
        router.holder.active_settings().filter(|_| has_lease || !checks).cloned()
    }

    /// Whether any two routers that may send all calls have compatible rules and a document in common.
    pub(crate) fn is_consistent(&self, world: &World) -> bool {
        let all: Vec<ActiveSettings> =
            (0..self.routers).filter_map(|at| self.active_settings(world, at)).collect();
        all.iter().enumerate().all(|(at, one)| {
            all[at + 1..].iter().filter(|other| *other != one).all(|other| {
                let shared = one.versions().any(|version| other.versions().any(|same| same == version));
                let one = Terms::of_settings(one, terms).unwrap();
                let other = Terms::of_settings(other, terms).unwrap();
                shared && contradictions(&one, &other).is_empty()
            })
        })
    }

    /// Applies an event; returns whether it was possible.
    pub(crate) fn step(&self, world: &mut World, event: Event) -> bool {
        let occurred = match event {
            Event::Tick => {
                world.tick += 1;
                true
            }
            Event::Publish => self.publish(world),
            Event::Withdraw => withdraw(world),
            Event::Observe(at) => self.observe(world, at),
            Event::RoundTrip(at) => self.round_trip(world, at),
            Event::Request(at) => self.request(world, at),
            Event::Process(at) => process(world, at),
            Event::Deliver(at) => self.deliver(world, at),
            Event::Lose(at) => lose(world, at),
            Event::Delay(at) => delay(world, at),
            Event::ArriveLate(at) => arrive_late(world, at),
            Event::Restart(at) => restart(world, at),
            Event::CoordinatorReads(at) => self.coordinator_reads(world, at),
            Event::CoordinatorWrites(at) => coordinator_writes(world, at),
            Event::CoordinatorRestarts(at) => {
                world.crashes -= 1;
                world.coordinators[at] = self.coordinator();
                true
            }
        };
        let may_write = matches!(
            event,
            Event::Publish
                | Event::Withdraw
                | Event::Process(_)
                | Event::ArriveLate(_)
                | Event::CoordinatorWrites(_)
        );
        if occurred && may_write {
            check_committed(world);
        }
        occurred
    }

    fn publish(&self, world: &mut World) -> bool {
        let draft = self.draft(&format!("document {}", world.publishes));
        let Ok((_, mut txn)) = snapshot(&world.store).publish(&keys(), &draft, 0) else { return false };
        if self.fault == InjectedFault::NoPreparedPhase {
            let (_, value) = &mut txn.puts[1];
            let mut state: State = serde_json::from_slice(value).unwrap();
            state.active_settings.committed = state.active_settings.prepared.take().unwrap();
            *value = serde_json::to_vec(&state).unwrap();
        }
        world.publishes -= 1;
        apply(&mut world.store, &txn);
        true
    }

    fn observe(&self, world: &mut World, at: usize) -> bool {
        let Some(state) = snapshot(&world.store).state else { return false };
        self.observe_state(&mut world.routers[at], &state);
        if world.routers[at].in_flight.is_none() && world.requests > 0 {
            self.step(world, Event::Request(at));
        }
        true
    }

    fn round_trip(&self, world: &mut World, at: usize) -> bool {
        let requests = std::mem::replace(&mut world.requests, u8::MAX);
        for event in [Event::Observe(at), Event::Request(at), Event::Process(at), Event::Deliver(at)] {
            self.step(world, event);
        }
        world.requests = requests;
        true
    }

    fn request(&self, world: &mut World, at: usize) -> bool {
        let router = &mut world.routers[at];
        let before = router.holder.clone();
        let Some(request) = router.holder.next_request(world.tick * ROUTER_RATE) else { return false };
        world.requests -= 1;
        if self.fault == InjectedFault::LeaseFromResponse {
            router.before_request = Some(before);
        }
        router.in_flight = Some(match request {
            LeaseRequest::Write(txn) => InFlight::Write(txn),
            LeaseRequest::Read => InFlight::Read,
        });
        true
    }

    fn deliver(&self, world: &mut World, at: usize) -> bool {
        let router = &mut world.routers[at];
        match router.in_flight.take() {
            Some(InFlight::Written(outcome)) => {
                if let Some(before) = router.before_request.take() {
                    router.holder = before;
                    router.holder.next_request(world.tick * ROUTER_RATE);
                }
                router.holder.on_written(outcome);
            }
            Some(InFlight::ReadResult(state, own)) => {
                state.iter().for_each(|state| self.observe_state(router, state));
                let _ = router.holder.on_read(own.as_ref());
            }
            _ => return false,
        }
        true
    }

    /// A coordinator's read is modelled without delay, because a late response only makes the coordinator
    /// wait longer. Its commit is a separate event and may be late.
    fn coordinator_reads(&self, world: &mut World, at: usize) -> bool {
        let coordinator = &mut world.coordinators[at];
        let mut now = snapshot(&world.store);
        if now.state.as_ref().is_none_or(|state| state.value.active_settings.prepared.is_none()) {
            return false;
        }
        world.reads -= 1;
        if self.fault == InjectedFault::CommitSkipsRouter {
            now.leases.retain(|id, _| id.name != "r0");
        }
        let now_us = world.tick * COORDINATOR_RATE;
        if let RolloutStep::Commit(txn) = coordinator.coordinator.advance(now_us, &now, terms) {
            coordinator.commit = Some(txn);
        }
        true
    }
}

fn withdraw(world: &mut World) -> bool {
    let Some(txn) = snapshot(&world.store).withdraw(&keys()) else { return false };
    world.withdraws -= 1;
    apply(&mut world.store, &txn);
    true
}

fn process(world: &mut World, at: usize) -> bool {
    let in_flight = match &world.routers[at].in_flight {
        Some(InFlight::Write(txn)) => InFlight::Written(apply(&mut world.store, txn)),
        Some(InFlight::Read) => {
            let now = snapshot(&world.store);
            let id = RouterId::new(format!("r{at}"), format!("{}", world.routers[at].incarnation));
            InFlight::ReadResult(now.state, now.leases.get(&id).cloned())
        }
        _ => return false,
    };
    world.routers[at].in_flight = Some(in_flight);
    true
}

fn lose(world: &mut World, at: usize) -> bool {
    world.losses -= 1;
    // The router repeats a lost read after its timeout.
    if let Some(InFlight::Write(_) | InFlight::Written(_)) = world.routers[at].in_flight.take() {
        world.routers[at].holder.on_written(TxnOutcome::Unknown);
    }
    true
}

fn delay(world: &mut World, at: usize) -> bool {
    let router = &mut world.routers[at];
    let Some(InFlight::Write(txn)) = router.in_flight.take() else { return false };
    world.losses -= 1;
    router.delayed_write = Some(txn);
    router.holder.on_written(TxnOutcome::Unknown);
    true
}

fn arrive_late(world: &mut World, at: usize) -> bool {
    let Some(txn) = world.routers[at].delayed_write.take() else { return false };
    apply(&mut world.store, &txn);
    true
}

fn restart(world: &mut World, at: usize) -> bool {
    world.crashes -= 1;
    let router = &mut world.routers[at];
    router.incarnation += 1;
    router.holder = lease_holder(at, router.incarnation);
    (router.before_request, router.in_flight) = (None, None);
    true
}

fn coordinator_writes(world: &mut World, at: usize) -> bool {
    let Some(txn) = world.coordinators[at].commit.take() else { return false };
    apply(&mut world.store, &txn);
    true
}

/// Records whether a committed document was lost or the store lacks a document in force.
fn check_committed(world: &mut World) {
    let now = snapshot(&world.store);
    let active_settings = now.state.as_ref().map(|state| &state.value.active_settings);
    let committed = active_settings.map_or(0, |settings| settings.committed.number);
    let complete = active_settings
        .is_some_and(|settings| settings.versions().all(|version| now.document(version).is_some()));
    world.lost |= committed < world.highest || !complete;
    world.highest = world.highest.max(committed);
}

impl Model for Fleet {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let mut store = Store::new();
        let (_, txn) = snapshot(&store).publish(&keys(), &self.draft("the first"), 0).unwrap();
        apply(&mut store, &txn);
        let router = |at| Router {
            before_request: None,
            holder: lease_holder(at, 0),
            incarnation: 0,
            in_flight: None,
            delayed_write: None,
        };
        let mut world = World {
            tick: 0,
            store,
            routers: (0..self.routers).map(router).collect(),
            coordinators: vec![self.coordinator(); self.coordinators],
            highest: 1,
            lost: false,
            requests: self.requests,
            reads: self.reads,
            publishes: self.publishes,
            withdraws: self.withdraws,
            losses: self.losses,
            crashes: self.crashes,
        };
        // All routers begin with a lease on the first document. A start during a change is modelled as a
        // restart.
        for at in 0..self.routers {
            self.step(&mut world, Event::RoundTrip(at));
            assert!(self.active_settings(&world, at).is_some());
        }
        vec![world]
    }

    fn actions(&self, world: &World, events: &mut Vec<Event>) {
        events.extend((world.tick < self.ticks).then_some(Event::Tick));
        events.extend((world.publishes > 0).then_some(Event::Publish));
        events.extend((world.withdraws > 0).then_some(Event::Withdraw));
        let slow = self.routers - self.round_trip_routers;
        events.extend((slow..self.routers).map(Event::RoundTrip));
        for (at, router) in world.routers.iter().enumerate().take(slow) {
            events.push(Event::Observe(at));
            match &router.in_flight {
                None => events.extend((world.requests > 0).then_some(Event::Request(at))),
                Some(in_flight) => {
                    let is_request = matches!(in_flight, InFlight::Write(_) | InFlight::Read);
                    events.push(if is_request { Event::Process(at) } else { Event::Deliver(at) });
                    events.extend((world.losses > 0).then_some(Event::Lose(at)));
                    let can_delay = matches!(in_flight, InFlight::Write(_)) && router.delayed_write.is_none();
                    events.extend((world.losses > 0 && can_delay).then_some(Event::Delay(at)));
                }
            }
            events.extend(router.delayed_write.is_some().then_some(Event::ArriveLate(at)));
            events.extend((world.crashes > 0).then_some(Event::Restart(at)));
        }
        for (at, coordinator) in world.coordinators.iter().enumerate() {
            let writes = coordinator.commit.is_some();
            events.extend(writes.then_some(Event::CoordinatorWrites(at)));
            events.extend((!writes && world.reads > 0).then_some(Event::CoordinatorReads(at)));
            events.extend((world.crashes > 0).then_some(Event::CoordinatorRestarts(at)));
        }
    }

    fn next_state(&self, world: &World, event: Event) -> Option<World> {
        let mut next = world.clone();
        (self.step(&mut next, event) && next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two routers apply contradicting rules", |fleet: &Fleet, world: &World| {
                fleet.is_consistent(world)
            }),
            Property::always("a committed document is never lost", |_, world: &World| !world.lost),
            Property::sometimes("a change is committed under all routers", |fleet: &Fleet, world: &World| {
                world.highest >= 2
                    && (0..fleet.routers)
                        .all(|at| fleet.active_settings(world, at).is_some_and(|s| s.committed.number >= 2))
            }),
        ]
    }
}
