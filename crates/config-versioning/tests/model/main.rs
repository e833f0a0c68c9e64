//! Model checking of a small fleet of bounded size: routers, coordinators, registry, links and drifting
//! clocks. The model runs the production decision modules and adds a registry of entries with revisions, and
//! events.

mod fleet;
mod registry;

use fleet::{Event, Fleet, InjectedFault};
use registry::snapshot;
use slatevalve_config_versioning::LeaseExpiryPolicy;
use stateright::{Checker, Model};

const SMALL: Fleet = Fleet {
    routers: 2,
    round_trip_routers: 1,
    coordinators: 1,
    ticks: 4,
    publishes: 1,
    withdraws: 0,
    losses: 0,
    crashes: 0,
    requests: 2,
    reads: 2,
    expiry_policy: LeaseExpiryPolicy::GiveUp,
    fault: InjectedFault::None,
};

/// One tick and one request less than [`SMALL`].
const SHORT: Fleet = Fleet { ticks: 3, requests: 1, ..SMALL };

fn check_model(name: &str, fleet: Fleet) -> usize {
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

fn assert_detected(fault: InjectedFault, fleet: Fleet) {
    let checker = Fleet { fault, ..fleet }.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("no two routers apply contradicting rules");
    let events = found.map(|path| path.into_actions());
    println!("{fault:?}: {events:?}");
    assert!(events.is_some(), "{fault:?} was not detected in {} states", checker.unique_state_count());
}

#[test]
fn small_fleets_never_apply_contradicting_rules() {
    check_model("the give-up policy", SHORT);
    check_model("the go-on policy", Fleet { expiry_policy: LeaseExpiryPolicy::GoOn, ..SHORT });
    check_model("a lost or late response", Fleet { losses: 1, ..SHORT });
    check_model("a restart of a router or a coordinator", Fleet { crashes: 1, ..SHORT });
    check_model("two successive documents", Fleet { publishes: 2, ..SHORT });
    check_model("two coordinators", Fleet { coordinators: 2, ..SHORT });
    check_model(
        "one document withdrawn, another published",
        Fleet { publishes: 2, withdraws: 1, reads: 1, ticks: 2, ..SHORT },
    );
}

/// The next value in `0..limit` of a linear congruential generator.
fn random_below(state: &mut u64, limit: usize) -> usize {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*state >> 33) as usize % limit
}

#[test]
fn a_change_completes_after_faults_cease() {
    for seed in 0..400 {
        let expiry_policy = if seed % 2 == 0 { LeaseExpiryPolicy::GiveUp } else { LeaseExpiryPolicy::GoOn };
        let fleet = Fleet {
            round_trip_routers: 0,
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
            let event = events[random_below(&mut random, events.len())];
            fleet.step(&mut world, event);
            assert!(fleet.is_consistent(&world) && !world.lost, "seed {seed}: {event:?}");
        }
        // No more faults: first deliver what is in flight, then answer every request.
        for at in 0..3 {
            for event in [Event::ArriveLate(at), Event::Process(at), Event::Deliver(at)] {
                fleet.step(&mut world, event);
            }
        }
        for _ in 0..20 {
            (world.requests, world.reads) = (u8::MAX, u8::MAX);
            for at in 0..3 {
                fleet.step(&mut world, Event::RoundTrip(at));
            }
            for event in [Event::CoordinatorReads(0), Event::CoordinatorWrites(0), Event::Tick] {
                fleet.step(&mut world, event);
                assert!(fleet.is_consistent(&world), "seed {seed}: {event:?}");
            }
        }
        let active_settings = snapshot(&world.store).state.unwrap().value.active_settings;
        assert_eq!(active_settings.prepared, None, "seed {seed}: the change did not complete");
        for at in 0..3 {
            assert_eq!(
                fleet.active_settings(&world, at).as_ref(),
                Some(&active_settings),
                "seed {seed}: router {at}"
            );
        }
    }
}

/// Takes minutes. The design document gives the sizes of these models.
#[test]
#[ignore = "large: run by hand with --release -- --ignored"]
fn larger_fleets_never_apply_contradicting_rules() {
    for expiry_policy in [LeaseExpiryPolicy::GiveUp, LeaseExpiryPolicy::GoOn] {
        let fleet = Fleet { expiry_policy, ..SMALL };
        check_model("two slow routers", Fleet { round_trip_routers: 0, requests: 3, expiry_policy, ..SHORT });
        check_model("losses", Fleet { losses: 1, ..fleet.clone() });
        check_model("crashes", Fleet { crashes: 1, ..fleet.clone() });
        check_model("two documents", Fleet { publishes: 2, ..fleet.clone() });
        check_model("two coordinators", Fleet { coordinators: 2, ..fleet.clone() });
        check_model("three routers", Fleet { routers: 3, ..fleet });
    }
}

#[test]
fn injected_faults_are_detected() {
    assert_detected(InjectedFault::LeaseFromResponse, Fleet { requests: 1, ..SMALL });
    assert_detected(InjectedFault::CommitSkipsRouter, SHORT);
    assert_detected(InjectedFault::NoLeaseCheck, SHORT);
    assert_detected(InjectedFault::NoDriftAllowance, Fleet { requests: 2, ..SHORT });
    assert_detected(InjectedFault::NoPreparedPhase, SHORT);
}
