//! What a call of a usual client costs the platform's router: processor time, memory and latency.
//!
//! `cargo bench -p slatevalve-gateway --bench platform_calls`

#[path = "../tests/support/mod.rs"]
mod support;
#[path = "../tests/platform/test_servers/mod.rs"]
#[allow(dead_code, unused_imports)]
mod test_servers;

use std::thread;
use std::time::Duration;
use test_servers::*;

const LENGTH: Duration = Duration::from_secs(8);
const CLIENTS: u64 = 10;
const FUNCTIONS: u64 = 20;
/// Calls per second of all clients together.
const RATES: [u64; 2] = [170, 950];
const ROUNDS: usize = 3;

fn plan(client: u64, rate: u64) -> Vec<PlannedCall> {
    let interval = Duration::from_secs(1) * CLIENTS as u32 / rate as u32;
    let count = LENGTH.as_micros() as u64 / interval.as_micros() as u64;
    let calls = (0..count).map(|number| PlannedCall {
        after: interval * number as u32 + interval * client as u32 / CLIENTS as u32,
        class: ["quote", "booking", "charge"][number as usize % 3],
        function: number % FUNCTIONS,
        tag: (client + 1) << 32 | number,
        timeout: Duration::from_secs(2),
    });
    calls.collect()
}

/// Processor time that a process has used so far.
fn cpu_seconds(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap();
    text.split(' ').next().unwrap().parse::<f64>().unwrap() / 1e9
}

fn run(rate: u64) {
    let behaviour = Behaviour { service_time: Duration::from_millis(2), ..Behaviour::GOOD };
    let workers: Vec<FleetWorker> = (0..4).map(|seed| FleetWorker::start(behaviour, seed)).collect();
    let names = ["a", "b", "c", "d"];
    let list: Vec<_> = names.into_iter().zip(workers.iter().map(|worker| worker.address)).collect();
    let router = Router::start(&ChangeLog::start(&list));
    wait_until_ready(&router);
    let (address, process) = (router.process.address, router.process.child.id());
    let before = cpu_seconds(process);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| thread::spawn(move || send_paced(address, &plan(client, rate), Duration::from_secs(1))))
        .collect();
    let records: Vec<CallRecord> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let cpu = cpu_seconds(process) - before;
    let served = records.iter().filter(|r| matches!(r.answer, Some((_, Outcome::Served(_))))).count();
    let mut times: Vec<Duration> =
        records.iter().filter_map(|record| Some(record.answer.as_ref()?.0 - record.sent_at)).collect();
    times.sort_unstable();
    println!(
        "{rate} calls/s: {served} of {} served, {:.1} us of processor time a call, {:.1} MB, p50 {:?}, p99 {:?}",
        records.len(),
        cpu * 1e6 / records.len() as f64,
        router.process.peak_memory_mb().unwrap(),
        times[times.len() / 2],
        times[times.len() * 99 / 100],
    );
}

fn main() {
    for _ in 0..ROUNDS {
        RATES.into_iter().for_each(run);
    }
}
