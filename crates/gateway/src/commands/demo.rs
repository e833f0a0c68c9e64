//! The demo: a gateway and three stand-in workers as processes of our own, a few calls, and a line to try.

use super::Outcome;
use crate::child_processes;
use serde_json::json;
use slatevalve_test_servers::{unix_micros, Arrival, ClientPlan, Driver, ServicePlan, WorkerPlan};
use std::fs;
use std::net::SocketAddr;
use std::process::{ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const WORKERS: usize = 3;

/// A small site: quotes that may be repeated, bookings with a key, charges that run once.
const SITE: &str = r#"
(class "quote" (effect safe) (aim-ms 500) (deadline-ms 2000) (worth 1))
(class "booking" (effect keyed (group cell) (window-ms 6000)) (aim-ms 1000) (deadline-ms 3000) (worth 3))
(class "charge" (effect unsafe) (aim-ms 1000) (deadline-ms 3000) (worth 3) (remember-ms 600000))
(route "calls/quote/+" (class "quote") (function "{3}"))
(route "calls/booking/+" (class "booking") (function "{3}"))
(route "calls/charge/+" (class "charge") (function "{3}"))
"#;

pub(super) fn demo(seconds: Option<f64>, listen: SocketAddr, json: bool) -> Outcome {
    let directory = tempfile::tempdir()?;
    let mut workers = Vec::new();
    let mut settings = format!("(gateway (name \"demo\"))\n(mqtt (listen \"{listen}\"))\n{SITE}");
    for n in 0..WORKERS {
        let service = ServicePlan { load_us: 50_000, ..ServicePlan::default() };
        let plan = WorkerPlan { name: format!("worker-{n}"), service, ..WorkerPlan::default() };
        let worker = child_processes::worker(&plan)?;
        settings += &format!("(worker \"worker-{n}\" (address \"{}\") (cell {n}))\n", worker.address);
        workers.push(worker);
    }
    let file = directory.path().join("demo.scm");
    fs::write(&file, settings)?;
    let mut gateway = child_processes::gateway(&file, Stdio::inherit(), "warn").map_err(|e| {
        format!("the gateway did not start: {e}; is {listen} taken? (--listen 127.0.0.1:0 takes a free port)")
    })?;
    let address = gateway.address;
    if !json {
        println!("A gateway listens on {address}, before {WORKERS} stand-in workers.");
    }
    let answers = calls(address, json)?;
    if !json {
        let (ip, port) = (address.ip(), address.port());
        println!("\nYours, for example, with any MQTT 5 client:\n");
        println!("  mosquitto_rr -V mqttv5 -h {ip} -p {port} -q 1 -t calls/quote/fare -e replies/me -m 'work-us=2000'");
        println!(
            "  mosquitto_pub -V mqttv5 -h {ip} -p {port} -q 1 -t calls/charge/card -m 'work-us=2000' \\"
        );
        println!("      -D publish user-property key ride-4711 -D publish response-topic replies/me\n");
        println!("Ctrl-C ends it.");
    }
    wait(seconds)?;
    let stopped = gateway.stop(Duration::from_secs(10));
    let served = answers.iter().filter(|a| a.1 == "served").count();
    if json {
        println!("{}", json!({"calls": answers.len(), "served": served, "stopped_in_order": stopped}));
    }
    let good = stopped && served == answers.len();
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// A few calls of each class; prints and gives what their client was told.
fn calls(address: SocketAddr, quiet: bool) -> Result<Vec<(String, String)>, Box<dyn std::error::Error>> {
    let now = unix_micros();
    let classes = ["quote", "quote", "booking", "charge", "quote", "booking", "charge"];
    let arrival = |(n, class): (usize, &&str)| Arrival {
        at_us: now + 100_000 + 100_000 * n as i64,
        call: format!("{class}-{n}"),
        class: class.to_string(),
        topic: format!("calls/{class}/{class}-rules"),
        key: (*class != "quote").then(|| format!("demo-{n}")),
        budget_us: 2_000_000,
        work_us: 5_000,
        connection: 0,
        qos: 1,
        again: false,
    };
    let mut driver = Driver::new(ClientPlan {
        gateways: vec![("demo".into(), address)],
        connections: 1,
        arrivals: classes.iter().enumerate().map(arrival).collect(),
        trace: None,
    })?;
    let until = Instant::now() + Duration::from_secs(10);
    while !driver.is_done() && Instant::now() < until {
        driver.poll(Duration::from_millis(20))?;
    }
    let mut answers = Vec::new();
    for (call, report) in driver.reports() {
        let (taken, outcome) = match (&report.answer, report.asked_us) {
            (Some((at, outcome)), Some(asked)) => (at - asked, outcome.clone()),
            _ => (0, "unanswered".into()),
        };
        if !quiet {
            println!("  {call:<10} {outcome:<8} {:>6.1} ms", taken as f64 / 1_000.0);
        }
        answers.push((call.clone(), outcome));
    }
    Ok(answers)
}

/// Waits for the time or for Ctrl-C.
fn wait(seconds: Option<f64>) -> Result<(), Box<dyn std::error::Error>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let until = seconds.map(|s| Instant::now() + Duration::from_secs_f64(s.clamp(0.0, 1e6)));
    while !stop.load(Ordering::Relaxed) && until.is_none_or(|u| Instant::now() < u) {
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
