//! The sub-command `demo`: a gateway and three test workers as child processes, a few calls, and commands to
//! try.

use super::CommandResult;
use crate::child_processes;
use serde_json::json;
use slatevalve_test_servers::{unix_micros, Arrival, ClientPlan, Driver, ServicePlan, WorkerPlan};
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::process::{ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const WORKERS: usize = 3;
/// Duration of a load at the test workers, in microseconds.
const LOAD_US: i64 = 50_000;
/// Classes of the calls, in order.
const CALL_CLASSES: [&str; 7] = ["quote", "quote", "booking", "charge", "quote", "booking", "charge"];
/// Time before the first call and between two calls, in microseconds.
const CALL_INTERVAL_US: i64 = 100_000;
/// Time after which a client gives up on a call, in microseconds.
const BUDGET_US: i64 = 2_000_000;
/// Time that a worker takes for a call, in microseconds.
const WORK_US: i64 = 5_000;
/// Timeout for the answers of all calls.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const CLIENT_POLL_TIMEOUT: Duration = Duration::from_millis(20);
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Upper limit of `--seconds`, so that the deadline does not overflow.
const MAX_SECONDS: f64 = 1e6;

/// Classes and routes of the demo: idempotent quotes, bookings with a key, non-idempotent charges.
const SITE: &str = r#"
(class "quote" (effect safe) (aim-ms 500) (deadline-ms 2000) (worth 1))
(class "booking" (effect keyed (group cell) (window-ms 6000)) (aim-ms 1000) (deadline-ms 3000) (worth 3))
(class "charge" (effect unsafe) (aim-ms 1000) (deadline-ms 3000) (worth 3) (remember-ms 600000))
(route "calls/quote/+" (class "quote") (function "{3}"))
(route "calls/booking/+" (class "booking") (function "{3}"))
(route "calls/charge/+" (class "charge") (function "{3}"))
"#;

/// The outcome and latency of one call; a call without an answer has latency 0.
struct CallResult {
    call: String,
    outcome: String,
    latency_us: i64,
}

pub(super) fn demo(seconds: Option<f64>, listen: SocketAddr, json: bool) -> CommandResult {
    let directory = tempfile::tempdir()?;
    let mut workers = Vec::new();
    let mut settings = format!("(gateway (name \"demo\"))\n(mqtt (listen \"{listen}\"))\n{SITE}");
    for index in 0..WORKERS {
        let service = ServicePlan { load_us: LOAD_US, ..ServicePlan::default() };
        let plan = WorkerPlan { name: format!("worker-{index}"), service, ..WorkerPlan::default() };
        let worker = child_processes::start_worker(&plan)?;
        settings += &format!("(worker \"worker-{index}\" (address \"{}\") (cell {index}))\n", worker.address);
        workers.push(worker);
    }
    let file = directory.path().join("demo.scm");
    fs::write(&file, settings)?;
    let mut gateway = child_processes::start_gateway(&file, Stdio::inherit(), "warn").map_err(|error| {
        format!(
            "the gateway did not start: {error}; is {listen} in use? (--listen 127.0.0.1:0 uses a free port)"
        )
    })?;
    let address = gateway.address;
    if !json {
        println!("A gateway with {WORKERS} test workers listens on {address}.");
    }
    let results = make_calls(address)?;
    if !json {
        print_results(&results);
        print_commands(address);
    }
    wait(seconds)?;
    let is_stopped = gateway.stop(STOP_TIMEOUT);
    let served = results.iter().filter(|result| result.outcome == "served").count();
    if json {
        println!("{}", json!({"calls": results.len(), "served": served, "stopped_in_order": is_stopped}));
    }
    let is_good = is_stopped && served == results.len();
    Ok(if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Makes a few calls of each class and waits for their answers.
fn make_calls(address: SocketAddr) -> Result<Vec<CallResult>, Box<dyn Error>> {
    let now = unix_micros();
    let arrival = |(index, class): (usize, &&str)| Arrival {
        at_us: now + CALL_INTERVAL_US * (1 + index as i64),
        call: format!("{class}-{index}"),
        class: class.to_string(),
        topic: format!("calls/{class}/{class}-rules"),
        key: (*class != "quote").then(|| format!("demo-{index}")),
        budget_us: BUDGET_US,
        work_us: WORK_US,
        connection: 0,
        qos: 1,
        republished: false,
    };
    let mut driver = Driver::new(ClientPlan {
        gateways: vec![("demo".into(), address)],
        connections: 1,
        arrivals: CALL_CLASSES.iter().enumerate().map(arrival).collect(),
        trace: None,
    })?;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    while !driver.is_done() && Instant::now() < deadline {
        driver.poll(CLIENT_POLL_TIMEOUT)?;
    }
    let results = driver.reports().iter().map(|(call, report)| {
        let (latency_us, outcome) = match (&report.answer, report.published_us) {
            (Some((answered_us, outcome)), Some(published_us)) => {
                (answered_us - published_us, outcome.clone())
            }
            _ => (0, "unanswered".into()),
        };
        CallResult { call: call.clone(), outcome, latency_us }
    });
    Ok(results.collect())
}

fn print_results(results: &[CallResult]) {
    for CallResult { call, outcome, latency_us } in results {
        println!("  {call:<10} {outcome:<8} {:>6.1} ms", *latency_us as f64 / 1_000.0);
    }
}

/// Prints commands with which the user can make calls.
fn print_commands(address: SocketAddr) {
    let (ip, port) = (address.ip(), address.port());
    println!("\nTo make your own calls, use any MQTT 5 client, for example:\n");
    println!(
        "  mosquitto_rr -V mqttv5 -h {ip} -p {port} -q 1 -t calls/quote/fare -e replies/me -m 'work-us=2000'"
    );
    println!("  mosquitto_pub -V mqttv5 -h {ip} -p {port} -q 1 -t calls/charge/card -m 'work-us=2000' \\");
    println!("      -D publish user-property key ride-4711 -D publish response-topic replies/me\n");
    println!("Press Ctrl-C to stop.");
}

/// Waits for the given time, or for SIGINT or SIGTERM.
fn wait(seconds: Option<f64>) -> Result<(), Box<dyn Error>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let deadline =
        seconds.map(|seconds| Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS)));
    while !stop.load(Ordering::Relaxed) && deadline.is_none_or(|deadline| Instant::now() < deadline) {
        thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    Ok(())
}
