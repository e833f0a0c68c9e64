//! Everything that can happen to a small fleet, up to a size: routers, coordinators, registry, links and clocks that drift. The
//! decision modules themselves run here; the model adds a registry of entries with revisions, and events.

mod fleet;
mod registry;

use fleet::{Event, Fleet, Planted};
use registry::snapshot;
use slatevalve_config_versioning::LeaseExpiryPolicy;
use stateright::{Checker, Model};

const SMALL: Fleet = Fleet {
    routers: 2,
    prompt: 1,
    coordinators: 1,
    ticks: 4,
    publishes: 1,
    withdraws: 0,
    losses: 0,
    crashes: 0,
    requests: 2,
    reads: 2,
    expiry_policy: LeaseExpiryPolicy::GiveUp,
    planted: Planted::Nothing,
};

/// A tick and a request less.
const SHORT: Fleet = Fleet { ticks: 3, requests: 1, ..SMALL };

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
    let events = found.map(|path| path.into_actions());
    println!("{planted:?}: {events:?}");
    assert!(events.is_some(), "{planted:?} was not found among {} states", checker.unique_state_count());
}

#[test]
fn no_move_of_a_small_fleet_breaks_the_agreement() {
    checked("rights that end", SHORT);
    checked("rights that go on", Fleet { expiry_policy: LeaseExpiryPolicy::GoOn, ..SHORT });
    checked("an answer lost, or late", Fleet { losses: 1, ..SHORT });
    checked("a router or a driver that starts anew", Fleet { crashes: 1, ..SHORT });
    checked("two documents, one after the other", Fleet { publishes: 2, ..SHORT });
    checked("two coordinators", Fleet { coordinators: 2, ..SHORT });
    checked(
        "one taken back, another published",
        Fleet { publishes: 2, withdraws: 1, reads: 1, ticks: 2, ..SHORT },
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
            coordinators: 2,
            ticks: 20,
            publishes: 2,
            losses: 3,
            crashes: 2,
            ..SMALL
        };
        let fleet = Fleet { requests: u8::MAX, reads: u8::MAX, withdraws: 1, expiry_policy, ..fleet };
        let (mut world, mut random) = (fleet.init_states().remove(0), seed);
        for _ in 0..60 {
            let mut events = Vec::new();
            fleet.actions(&world, &mut events);
            let event = events[draw(&mut random, events.len())];
            fleet.step(&mut world, event);
            assert!(fleet.agrees(&world) && !world.lost, "seed {seed}: {event:?}");
        }
        // From here on every request is answered; at first what is under way arrives.
        for at in 0..3 {
            for event in [Event::ArriveLate(at), Event::Take(at), Event::Deliver(at)] {
                fleet.step(&mut world, event);
            }
        }
        for _ in 0..20 {
            (world.requests, world.reads) = (u8::MAX, u8::MAX);
            for at in 0..3 {
                fleet.step(&mut world, Event::Prompt(at));
            }
            for event in [Event::CoordinatorReads(0), Event::CoordinatorWrites(0), Event::Tick] {
                fleet.step(&mut world, event);
                assert!(fleet.agrees(&world), "seed {seed}: {event:?}");
            }
        }
        let active_settings = snapshot(&world.store).state.unwrap().value.active_settings;
        assert_eq!(active_settings.prepared, None, "seed {seed}: the change does not end");
        for at in 0..3 {
            assert_eq!(
                fleet.acts_by(&world, at).as_ref(),
                Some(&active_settings),
                "seed {seed}: router {at}"
            );
        }
    }
}

/// Takes minutes; its sizes stand in the design.
#[test]
#[ignore = "large: run by hand with --release -- --ignored"]
fn no_move_of_a_larger_fleet_breaks_the_agreement() {
    for expiry_policy in [LeaseExpiryPolicy::GiveUp, LeaseExpiryPolicy::GoOn] {
        let fleet = Fleet { expiry_policy, ..SMALL };
        checked("two slow routers", Fleet { prompt: 0, requests: 3, expiry_policy, ..SHORT });
        checked("losses", Fleet { losses: 1, ..fleet.clone() });
        checked("crashes", Fleet { crashes: 1, ..fleet.clone() });
        checked("two documents", Fleet { publishes: 2, ..fleet.clone() });
        checked("two coordinators", Fleet { coordinators: 2, ..fleet.clone() });
        checked("three routers", Fleet { routers: 3, ..fleet });
    }
}

#[test]
fn planted_faults_are_found() {
    caught(Planted::LeaseFromTheResponse, Fleet { requests: 1, ..SMALL });
    caught(Planted::CommitSkipsOne, SHORT);
    caught(Planted::NoCheck, SHORT);
    caught(Planted::NoDrift, Fleet { requests: 2, ..SHORT });
    caught(Planted::NoMeet, SHORT);
}
