//! Clients that send at full speed, or by the hundred, beside usual clients: those get their answers in time,
//! and the router stays within its limit of memory.

mod crowd;
mod leaving;
mod messages;
mod processor_share;
mod stalled;
mod usual_clients;

use crate::test_servers::*;
pub(crate) use crowd::{Crowd, Reading};
pub(crate) use messages::Kind;
use processor_share::ProcessorShare;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use usual_clients::{send_usual_calls, UsualCalls};

/// Memory and descriptors of the router: the least and the most that the platform gives.
const MEMORY_LIMIT_MB: u64 = 32;
const DESCRIPTORS: u64 = 1_024;
/// Share of a core that the router gets, in percent.
const PROCESSOR_PERCENT: u32 = 30;
/// How long usual clients send beside a crowd.
const LENGTH: Duration = Duration::from_secs(2);
const FEW_CLIENTS: usize = 8;
/// Fewer than the client connections that the router accepts with its descriptors.
const MANY_CLIENTS: usize = 400;

/// Crowds take several cores, so that only one test at a time starts one.
static CROWD: Mutex<()> = Mutex::new(());

fn one_crowd_at_a_time() -> MutexGuard<'static, ()> {
    CROWD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a router with little memory and many descriptors.
fn start_router(worker: SocketAddr) -> Router {
    let mut config = config(&ChangeLog::start(&[("w", worker)]));
    config["limits"] = json!({"cores": 0.3, "memory_mb": MEMORY_LIMIT_MB, "sockets": DESCRIPTORS});
    let router = Router::start_with(&config);
    wait_until_ready(&router);
    router
}

/// Usual calls beside a crowd, and the router's peak memory.
struct Run {
    usual: UsualCalls,
    peak_memory_mb: f64,
    /// The router's log.
    log: String,
}

/// Sends usual calls beside a crowd to a router with a part of a core.
fn send_beside_crowd(kind: Kind, reading: Reading, clients: usize) -> Run {
    let worker = FleetWorker::start(Behaviour::GOOD, 1);
    let router = start_router(worker.address);
    let _share = ProcessorShare::limit(&router.process.child, PROCESSOR_PERCENT);
    let _crowd = Crowd::start(router.process.address, kind, reading, clients);
    let usual = send_usual_calls(router.process.address, LENGTH);
    Run { usual, peak_memory_mb: router.process.peak_memory_mb().unwrap(), log: router.log() }
}

/// Checks the usual calls beside a crowd, and that the router keeps its limit of memory.
fn check(kind: Kind, reading: Reading, clients: usize) {
    let run = send_beside_crowd(kind, reading, clients);
    let Run { usual, peak_memory_mb, log } = run;
    println!("{clients} clients, {kind:?}, reading {reading:?}: {usual:?}, {peak_memory_mb:.1} MB");
    assert!(usual.are_served(), "{clients} clients, {kind:?}, reading {reading:?}: {usual:?}\n{log}");
    assert!(
        peak_memory_mb < MEMORY_LIMIT_MB as f64,
        "{clients} clients, {kind:?}: {peak_memory_mb} MB\n{log}"
    );
}

/// Guards against usual calls answered late or never while a few clients send at full speed (report 9fde00).
#[test]
fn usual_calls_are_answered_in_time_beside_a_few_clients_at_full_speed() {
    let _crowd = one_crowd_at_a_time();
    for kind in Kind::ALL {
        check(kind, Reading::All, FEW_CLIENTS);
    }
    check(Kind::Checks, Reading::Nothing, FEW_CLIENTS);
    check(Kind::InvalidTimeouts, Reading::Nothing, FEW_CLIENTS);
}

/// Guards against usual calls answered late or never beside a single client at full speed (report 9fde00).
#[test]
fn usual_calls_are_answered_in_time_beside_one_client_at_full_speed() {
    let _crowd = one_crowd_at_a_time();
    for kind in [Kind::Checks, Kind::CancelledCalls, Kind::CancelledSeries] {
        check(kind, Reading::All, 1);
    }
}

/// Guards against a process past its memory limit, and against late answers, while hundreds of clients send at
/// full speed (report 9fde00).
#[test]
fn usual_calls_are_answered_and_memory_is_bounded_beside_hundreds_of_clients_at_full_speed() {
    let _crowd = one_crowd_at_a_time();
    for kind in Kind::ALL {
        check(kind, Reading::All, MANY_CLIENTS);
    }
    check(Kind::Checks, Reading::Nothing, MANY_CLIENTS);
    check(Kind::InvalidTimeouts, Reading::Nothing, MANY_CLIENTS);
}
