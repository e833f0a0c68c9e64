//! Routers in front of a fleet of the usual size and of one sixteen times as large: calls are answered in
//! time while workers are replaced, and the resources of a router stay within bounds.

use crate::test_servers::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Workers of the usual fleet, and sixteen times as many.
const USUAL_WORKERS: usize = 200;
const MANY_WORKERS: usize = 3_200;
/// Number of addresses that the workers of a fleet share.
const WORKER_ADDRESSES: usize = 16;
/// Number of routers, all on one processor core.
const ROUTERS: usize = 6;
const CALLS_PER_SECOND: u64 = 20;
const FUNCTIONS: u64 = 300;
/// Phases of a run: before, during and after the release.
const QUIET: Duration = Duration::from_secs(3);
const RELEASE: Duration = Duration::from_secs(7);
const AFTERWARDS: Duration = Duration::from_secs(2);
/// Number of batches of a release, which together replace 60 % of the workers.
const BATCHES: usize = 12;
/// Time from the drain of a batch to its removal.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// An answer that is later than this after its deadline counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Classes with their deadlines in milliseconds.
const CLASSES: [(&str, u64); 3] = [("quote", 1_332), ("booking", 1_579), ("charge", 1_500)];

/// Guards against calls without an answer while thousands of workers are replaced (report 303884).
#[test]
fn calls_are_answered_in_time_while_most_of_3200_workers_are_replaced() {
    let run = run_fleet(MANY_WORKERS, 1);
    let lost: Vec<&CallRecord> = run.records.iter().filter(|record| is_lost(record)).collect();
    let count = lost.len();
    assert!(lost.is_empty(), "{count} of {} calls lost, the first {:?}", run.records.len(), lost.first());
}

/// Guards against a router whose cost grows with the fleet. The bounds are the operators' table for sixteen
/// times the workers.
#[test]
fn a_router_before_3200_workers_needs_what_the_table_allows_over_one_before_200() {
    let usual = run_fleet(USUAL_WORKERS, 2).resources;
    let many = run_fleet(MANY_WORKERS, 2).resources;
    println!("{USUAL_WORKERS} workers: {usual:?}\n{MANY_WORKERS} workers: {many:?}");
    let thousands = MANY_WORKERS as f64 / 1_000.0;
    let allowed = Resources {
        cpu_seconds: usual.cpu_seconds * 1.4 + 0.02 + 0.03 * thousands,
        peak_memory_mb: usual.peak_memory_mb * 1.5 + 8.0 + 4.0 * thousands,
        descriptors: usual.descriptors * 2.0 + 40.0,
        connections: usual.connections * 2.5 + 40.0,
        list_kilobytes: usual.list_kilobytes * 2.0 + 64.0 + 500.0 * thousands,
        served_share: usual.served_share * 0.85,
    };
    assert!(many.cpu_seconds <= allowed.cpu_seconds, "{many:?}, at most {allowed:?}");
    assert!(many.peak_memory_mb <= allowed.peak_memory_mb, "{many:?}, at most {allowed:?}");
    assert!(many.descriptors <= allowed.descriptors, "{many:?}, at most {allowed:?}");
    assert!(many.connections <= allowed.connections, "{many:?}, at most {allowed:?}");
    assert!(many.list_kilobytes <= allowed.list_kilobytes, "{many:?}, at most {allowed:?}");
    assert!(many.served_share >= allowed.served_share, "{many:?}, at least {allowed:?}");
}

/// Mean resource use of a router over a run.
#[derive(Clone, Copy, Debug)]
struct Resources {
    cpu_seconds: f64,
    peak_memory_mb: f64,
    descriptors: f64,
    connections: f64,
    list_kilobytes: f64,
    /// Share of the calls that were served within their deadlines.
    served_share: f64,
}

/// The calls and resources of one run.
struct FleetRun {
    records: Vec<CallRecord>,
    resources: Resources,
}

fn is_in_time(record: &CallRecord) -> bool {
    let answer = record.answer.as_ref();
    answer
        .is_some_and(|(at, end)| matches!(end, Outcome::Served(_)) && *at <= record.sent_at + record.timeout)
}

fn is_lost(record: &CallRecord) -> bool {
    let last = record.sent_at + record.timeout + LOST_AFTER;
    record.answer.as_ref().is_none_or(|(at, _)| *at > last)
}

/// Runs all routers in front of a fleet while 60 % of its workers are replaced.
fn run_fleet(worker_count: usize, seed: u64) -> FleetRun {
    let behaviour = Behaviour { service_time: Duration::from_millis(10), reset_percent: 2, miss_percent: 6 };
    let servers: Vec<FleetWorker> =
        (0..WORKER_ADDRESSES).map(|number| FleetWorker::start(behaviour, seed + number as u64)).collect();
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    let members = (0..worker_count).map(|number| member(number, 0, &addresses, "active", 0));
    let log = ChangeLog::start_with(members.collect());
    let config = fleet_config(&log);
    let routers: Vec<Router> = (0..ROUTERS).map(|_| Router::start_with(&config)).collect();
    // A different core for each seed, as the tests may run in parallel.
    let core = seed as usize % thread::available_parallelism().map_or(1, usize::from);
    routers.iter().for_each(|router| router.process.pin_to_core(core));
    routers.iter().for_each(wait_until_ready);
    let before: usize = servers.iter().map(FleetWorker::accepted).sum();
    let monitor = ResourceMonitor::start(&routers);
    let clients: Vec<_> = routers
        .iter()
        .enumerate()
        .map(|(number, router)| {
            let (address, plan) = (router.process.address, plan(seed, number as u64));
            thread::spawn(move || send_paced(address, &plan, Duration::from_millis(2_200)))
        })
        .collect();
    thread::sleep(QUIET);
    release(&log, &servers, &addresses, worker_count);
    let records: Vec<CallRecord> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let served = records.iter().filter(|record| is_in_time(record)).count();
    let opened = servers.iter().map(FleetWorker::accepted).sum::<usize>() - before;
    let resources = Resources {
        connections: opened as f64 / ROUTERS as f64,
        list_kilobytes: log.sent_bytes() as f64 / 1_024.0 / ROUTERS as f64,
        served_share: served as f64 / records.len() as f64,
        ..monitor.finish(&routers)
    };
    FleetRun { records, resources }
}

/// Replaces 60 % of the workers in batches; the old workers of a batch end together, and one address resets
/// its connections.
fn release(log: &ChangeLog, servers: &[FleetWorker], addresses: &[SocketAddr], worker_count: usize) {
    let start = Instant::now();
    let batch = worker_count * 6 / 10 / BATCHES;
    let numbers = |index: usize| index * batch..(index + 1) * batch;
    let due = |index: usize| RELEASE * index as u32 / BATCHES as u32;
    let mut steps: Vec<(Duration, usize, bool)> =
        (0..BATCHES).map(|index| (due(index), index, false)).collect();
    steps.extend((0..BATCHES).map(|index| (due(index) + DRAIN_TIME, index, true)));
    steps.sort();
    for (at, index, is_removal) in steps {
        thread::sleep((start + at).saturating_duration_since(Instant::now()));
        if !is_removal {
            log.publish_members(
                numbers(index).map(|number| member(number, 0, addresses, "leaving", 0)).collect(),
            );
            continue;
        }
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let gone = numbers(index).map(|number| member(number, 0, addresses, "left", 0));
        let started = numbers(index).map(|number| member(number, 1, addresses, "active", now_ms - 200));
        log.publish_members(gone.chain(started).collect());
        servers[index % servers.len()].reset_connections();
    }
}

fn member(
    number: usize,
    generation: usize,
    addresses: &[SocketAddr],
    phase: &str,
    up_since_ms: u64,
) -> Value {
    let zone = ["a", "b", "c"][number % 3];
    let address = addresses[number % addresses.len()].to_string();
    json!({"id": format!("s-{generation}{number:07x}"), "host_port": address, "locality": zone, "flavor": "duo",
        "cell": number / 6, "phase": phase, "size": 4, "up_since_ms": up_since_ms})
}

fn fleet_config(log: &ChangeLog) -> Value {
    let mut config = config(log);
    config["limits"]["sockets"] = 512.into();
    let settings = &mut config["settings"];
    settings["instances"] = 300.into();
    settings["zones"] = json!(["a", "b", "c"]);
    for (index, (_, deadline_ms)) in CLASSES.iter().enumerate() {
        settings["categories"][index]["deadline"] = (*deadline_ms).into();
        settings["categories"][index]["aim"] = 800.into();
    }
    settings["rules"] = json!({"answer_slack": 8.0, "drain_grace": 250.0, "fall_multiple": 3.0,
        "overload_for": 1000.0, "start_capacity": 0.2, "warm_within": 16000.0});
    config
}

/// The planned calls to one router.
fn plan(seed: u64, router: u64) -> Vec<PlannedCall> {
    let mut random = Pcg64Mcg::seed_from_u64(seed << 32 | router);
    let length = QUIET + RELEASE + AFTERWARDS;
    let count = length.as_secs() * CALLS_PER_SECOND;
    let calls = (0..count).map(|number| {
        let (class, deadline_ms) = CLASSES[random.random_range(0..CLASSES.len())];
        // The smaller of two random numbers, so that some functions are called far more often than others.
        let function = random.random_range(0..FUNCTIONS).min(random.random_range(0..FUNCTIONS));
        PlannedCall {
            after: Duration::from_micros(number * 1_000_000 / CALLS_PER_SECOND),
            class,
            function: 1 + function,
            tag: random.next_u64(),
            timeout: Duration::from_millis(deadline_ms),
        }
    });
    calls.collect()
}

/// Samples the routers' open descriptors during a run and measures their processor time and memory over it.
struct ResourceMonitor {
    before: Vec<f64>,
    descriptors: thread::JoinHandle<f64>,
    stop: std::sync::mpsc::Sender<()>,
}

impl ResourceMonitor {
    fn start(routers: &[Router]) -> Self {
        let processes: Vec<u32> = routers.iter().map(|router| router.process.child.id()).collect();
        let before = processes.iter().map(|process| cpu_seconds(*process)).collect();
        let (stop, stopped) = std::sync::mpsc::channel();
        let descriptors = thread::spawn(move || {
            let mut peaks = vec![0; processes.len()];
            while stopped.recv_timeout(Duration::from_millis(50)).is_err() {
                for (peak, process) in peaks.iter_mut().zip(&processes) {
                    let open = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
                    *peak = open.max(*peak);
                }
            }
            peaks.iter().sum::<usize>() as f64 / peaks.len() as f64
        });
        ResourceMonitor { before, descriptors, stop }
    }

    /// Stops sampling and returns processor time, memory and descriptors; the other fields are zero.
    fn finish(self, routers: &[Router]) -> Resources {
        self.stop.send(()).unwrap();
        let count = routers.len() as f64;
        let processes = routers.iter().map(|router| router.process.child.id());
        let cpu_seconds = processes.map(cpu_seconds).sum::<f64>() - self.before.iter().sum::<f64>();
        Resources {
            cpu_seconds: cpu_seconds / count,
            peak_memory_mb: routers
                .iter()
                .map(|router| router.process.peak_memory_mb().unwrap())
                .sum::<f64>()
                / count,
            descriptors: self.descriptors.join().unwrap(),
            connections: 0.0,
            list_kilobytes: 0.0,
            served_share: 0.0,
        }
    }
}

/// Processor time that a process has used so far.
fn cpu_seconds(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap();
    text.split(' ').next().unwrap().parse::<f64>().unwrap() / 1e9
}
