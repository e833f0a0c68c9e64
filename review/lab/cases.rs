//! What each case does, and its check.

use crate::mqtt::{start_http_worker, Broker, Client5, Connect5, Gateway, Link, MqttClient};
use crate::sites;
use crate::world::*;
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Every time limit on sockets is so much longer (PROTOCOL.md, "The rules on sockets").
const SLACK_MS: f64 = 50.0;

/// Runs a case. The first five are in the folders of the review; the others are named in its report.
pub fn run(case: &str, world: &Arc<World>, trouble: bool) -> Verdict {
    match case {
        "redelivered-charge" => redelivered_charge(world, trouble),
        "bridge-backlog" => bridge_backlog(world, trouble),
        "assigned-id" => assigned_id(world, trouble),
        "outage-cell" => outage_cell(world, trouble),
        "outage-drain" => outage_drain(world, trouble),
        "full-buffer" => full_buffer(world, trouble),
        "client-gone" => client_gone(world, trouble),
        "moved-log" => moved_log(world, trouble),
        "mqtt-backlog" => mqtt_backlog(world, trouble),
        "other-gateway" => other_gateway(world, trouble),
        "late-read" => late_read(world, trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    }
}

fn functions(count: u64) -> Vec<String> {
    (1..=count).map(|number| format!("{:016x}", number.wrapping_mul(0x9e37_79b9_97f4_a7c1))).collect()
}

fn key() -> String {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    format!(
        "{:032x}",
        u128::from(NEXT.fetch_add(1, Ordering::SeqCst))
            .wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
    )
}

/// Sends calls at a steady rate from several connections, until it is stopped.
struct Traffic {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Traffic {
    fn start(
        world: &Arc<World>,
        router: &Router,
        classes: Vec<(&'static str, bool)>,
        per_second: u64,
        functions: Vec<String>,
    ) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let (world, address, stopped) = (world.clone(), router.address, stop.clone());
        let thread = thread::spawn(move || {
            let mut clients: Vec<Client> = (0..4).filter_map(|_| Client::connect(&world, address)).collect();
            let begin = Instant::now();
            let mut number = 0usize;
            while !stopped.load(Ordering::SeqCst) {
                let slot = number % 4;
                if clients[slot].has_ended() {
                    if let Some(client) = Client::connect(&world, address) {
                        clients[slot] = client;
                    }
                }
                let (class, keyed) = classes[number / functions.len() % classes.len()];
                let key = if keyed { key() } else { String::new() };
                if clients[slot].open_requests() < 30 {
                    clients[slot].call(class, &functions[number % functions.len()], &key, 2500, b"call");
                }
                number += 1;
                let due = begin + Duration::from_micros(number as u64 * 1_000_000 / per_second);
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            for _ in 0..400 {
                if clients.iter().all(|client| client.open_requests() == 0) {
                    break;
                }
                sleep_ms(10);
            }
        });
        Traffic { stop, thread }
    }

    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
    }
}

/// Whether enough was served for the case to say something.
fn served(world: &World) -> usize {
    world.requests().iter().filter(|r| r.answers.iter().any(|a| a.1 == "served")).count()
}

fn quick(_: &Call) -> Reply {
    Reply::Run(20, b"done".to_vec())
}

fn execs_at<'a>(arrivals: &'a [Arrival], worker: &'a str) -> impl Iterator<Item = &'a Arrival> + 'a {
    arrivals.iter().filter(move |arrival| arrival.worker == worker)
}

/// A drain during an outage of the change log, at workers whose health checks show that their process runs.
fn outage_drain(world: &Arc<World>, trouble: bool) -> Verdict {
    let events = Events::default();
    let log = ChangeLog::start(world, "log", &events);
    let worker = |name: &str, cell| Worker::new(name, cell, quick).with_shallow_health();
    let places: Vec<_> =
        (1..=4u64).map(|n| Place::start(world, worker(&format!("w{n}"), n.div_ceil(2)))).collect();
    let members: Vec<Member> =
        places.iter().map(|p| p.member("north-block", "full-core", "active", 0)).collect();
    events.push(world, &members, true);
    let site = Site { settings: sites::zaria_forms(1), sockets: 1024 };
    let mut router = Router::start(world, &site, log.address, &events);
    if !router.wait_until_ready(world) {
        return Verdict::CouldNotRun("the router does not get ready".into());
    }
    let traffic = Traffic::start(
        world,
        &router,
        vec![("field-check", false), ("code-answer", true)],
        40,
        functions(16),
    );
    sleep_ms(3000);
    let silent_at = if trouble { log.set_silent(world, true) } else { world.ms() };
    sleep_ms(7200);
    // The worker that has the most calls drains.
    let arrivals = world.arrivals();
    let drained = places.iter().max_by_key(|p| execs_at(&arrivals, &p.worker().name).count()).unwrap();
    let name = drained.worker().name.clone();
    drained.worker().draining.store(true, Ordering::SeqCst);
    let told_at = events.push(world, &[drained.member("north-block", "full-core", "leaving", 0)], false);
    if told_at < silent_at + 7000.0 {
        return Verdict::CouldNotRun("the drain stood in the change log too early".into());
    }
    sleep_ms(8800);
    traffic.end();
    let limit = told_at + 2000.0 + SLACK_MS;
    let arrivals = world.arrivals();
    let late: Vec<&Arrival> = execs_at(&arrivals, &name).filter(|a| a.ms > limit).collect();
    if !router.is_running() || served(world) < 100 {
        return Verdict::CouldNotRun(format!("{} calls were served\n{}", served(world), router.output()));
    }
    match late.first() {
        Some(first) => Verdict::Broken(format!(
            "drain: {name} was told to drain at {told_at:.0} ms; {} calls and orders arrived there after {limit:.0} ms, the first at {:.0} ms, the last at {:.0} ms",
            late.len(), first.ms, late.last().unwrap().ms
        )),
        None => Verdict::Held(format!("nothing new arrived at {name} after {limit:.0} ms; {} served", served(world))),
    }
}

/// A worker is replaced at its address by one of another cell during an outage of the change log.
fn outage_cell(world: &Arc<World>, trouble: bool) -> Verdict {
    let events = Events::default();
    let log = ChangeLog::start(world, "log", &events);
    let is_bad = Arc::new(AtomicBool::new(false));
    // Eight workers in two cells, of which one turns bad: it runs calls and answers `EIO`.
    let places: Vec<_> = (1..=8u64)
        .map(|n| {
            let bad = is_bad.clone();
            let behaviour =
                move |call: &Call| match n == 1 && bad.load(Ordering::SeqCst) && call.class == "ride-booking"
                {
                    true => Reply::RunThenError,
                    false => quick(call),
                };
            Place::start(world, Worker::new(&format!("w{n}"), if n <= 2 { 1 } else { 2 }, behaviour))
        })
        .collect();
    let members: Vec<Member> = places.iter().map(|p| p.member("hall-a", "duo-15", "active", 0)).collect();
    events.push(world, &members, true);
    let site = Site { settings: sites::kyyti_central(1), sockets: 1024 };
    let mut router = Router::start(world, &site, log.address, &events);
    if !router.wait_until_ready(world) {
        return Verdict::CouldNotRun("the router does not get ready".into());
    }
    let traffic = Traffic::start(
        world,
        &router,
        vec![("fare-quote", false), ("ride-booking", true)],
        60,
        functions(24),
    );
    sleep_ms(3000);
    let silent_at = if trouble { log.set_silent(world, true) } else { world.ms() };
    sleep_ms(2000);
    // w2 (cell 1) goes; w9 (cell 2) comes at its address.
    let gone = places[1].member("hall-a", "duo-15", "left", 0);
    let started = unix_ms();
    places[1].replace(world, Worker::new("w9", 2, quick));
    let told_at = events.push(world, &[gone, places[1].member("hall-a", "duo-15", "active", started)], false);
    let told_at = if trouble { silent_at + 7000.0 } else { told_at } + SLACK_MS;
    let until = silent_at + 7100.0;
    while world.ms() < until {
        sleep_ms(1);
    }
    world.note("w1 is bad from now on: it runs bookings and answers EIO");
    is_bad.store(true, Ordering::SeqCst);
    while world.ms() < silent_at + 7900.0 {
        sleep_ms(1);
    }
    log.set_silent(world, false);
    sleep_ms(1000);
    traffic.end();
    let arrivals = world.arrivals();
    let cell = |worker: &str| if worker == "w1" || worker == "w2" { 1 } else { 2 };
    let mut broken = Vec::new();
    for (index, first) in arrivals.iter().enumerate().filter(|(_, a)| a.ran && !a.key.is_empty()) {
        for second in arrivals[index + 1..].iter().filter(|a| a.verb == "exec" && a.key == first.key) {
            if cell(&first.worker) != cell(&second.worker) && second.ms > told_at {
                broken.push((first, second));
            }
        }
    }
    if !router.is_running() || served(world) < 100 {
        return Verdict::CouldNotRun(format!("{} calls were served\n{}", served(world), router.output()));
    }
    let errors = arrivals
        .iter()
        .filter(|a| a.worker == "w1" && a.ran && a.class == "ride-booking" && a.ms > until)
        .count();
    match broken.first() {
        Some((first, second)) => Verdict::Broken(format!(
            "duplicate: {} bookings that had run in cell 1 were sent to a worker of cell 2; the first: key {} ran at {} at {:.0} ms and was sent to {} at {:.0} ms ({})",
            broken.len(), first.key, first.worker, first.ms, second.worker, second.ms, if second.ran { "it ran again" } else { "it did not run" }
        )),
        None if errors == 0 => Verdict::CouldNotRun("no booking reached the bad worker".into()),
        None => Verdict::Held(format!("{errors} bookings failed at w1, none was sent to another cell")),
    }
}

/// SIGHUP moves the change log to an address that is slow to answer; a worker drains meanwhile.
fn moved_log(world: &Arc<World>, trouble: bool) -> Verdict {
    let events = Events::default();
    let old = ChangeLog::start(world, "old log", &events);
    let new = ChangeLog::start(world, "new log", &events);
    let places: Vec<_> = (1..=8u64)
        .map(|n| Place::start(world, Worker::new(&format!("w{n}"), n.div_ceil(4), quick)))
        .collect();
    let members: Vec<Member> = places.iter().map(|p| p.member("hall-a", "duo-15", "active", 0)).collect();
    events.push(world, &members, true);
    let site = Site { settings: sites::kyyti_central(1), sockets: 1024 };
    let mut router = Router::start(world, &site, old.address, &events);
    if !router.wait_until_ready(world) {
        return Verdict::CouldNotRun("the router does not get ready".into());
    }
    let traffic = Traffic::start(world, &router, vec![("fare-quote", false)], 80, functions(32));
    sleep_ms(3000);
    new.set_silent(world, trouble);
    let moved_at = router.move_log(world, new.address);
    old.set_silent(world, true);
    sleep_ms(1500);
    old.close_connections(world);
    while world.ms() < moved_at + 3900.0 {
        sleep_ms(1);
    }
    // Half of the workers drain.
    let drained: Vec<&Arc<Place>> = places.iter().step_by(2).collect();
    drained.iter().for_each(|place| place.worker().draining.store(true, Ordering::SeqCst));
    let names: Vec<String> = drained.iter().map(|place| place.worker().name.clone()).collect();
    let list: Vec<Member> =
        drained.iter().map(|place| place.member("hall-a", "duo-15", "leaving", 0)).collect();
    let told_at = events.push(world, &list, false);
    let told_at = if trouble { told_at.max(moved_at + 4000.0) } else { told_at };
    while world.ms() < moved_at + 6500.0 {
        sleep_ms(1);
    }
    new.set_silent(world, false);
    sleep_ms(1500);
    traffic.end();
    let limit = told_at + 250.0 + SLACK_MS;
    let arrivals = world.arrivals();
    let late: Vec<&Arrival> = arrivals.iter().filter(|a| names.contains(&a.worker) && a.ms > limit).collect();
    if !router.is_running() || served(world) < 100 {
        return Verdict::CouldNotRun(format!("{} calls were served\n{}", served(world), router.output()));
    }
    match late.first() {
        Some(first) => Verdict::Broken(format!(
            "drain: four workers count as told to drain at {told_at:.0} ms (SIGHUP at {moved_at:.0} ms); {} calls and orders arrived there after {limit:.0} ms, the first at {} at {:.0} ms, the last at {:.0} ms",
            late.len(), first.worker, first.ms, late.last().unwrap().ms
        )),
        None => Verdict::Held(format!("nothing new arrived at {names:?} after {limit:.0} ms; {} served", served(world))),
    }
}

/// A client sends a request and leaves while the router's process stands still.
fn client_gone(world: &Arc<World>, trouble: bool) -> Verdict {
    let events = Events::default();
    let log = ChangeLog::start(world, "log", &events);
    let work = |_: &Call| Reply::Run(100, b"done".to_vec());
    let places: Vec<_> =
        (1..=4u64).map(|n| Place::start(world, Worker::new(&format!("w{n}"), n.div_ceil(2), work))).collect();
    let members: Vec<Member> =
        places.iter().map(|p| p.member("north-block", "full-core", "active", 0)).collect();
    events.push(world, &members, true);
    let site = Site { settings: sites::zaria_forms(1), sockets: 1024 };
    let mut router = Router::start(world, &site, log.address, &events);
    if !router.wait_until_ready(world) {
        return Verdict::CouldNotRun("the router does not get ready".into());
    }
    let functions = functions(4);
    let traffic = Traffic::start(world, &router, vec![("household-count", false)], 40, functions.clone());
    sleep_ms(3000);
    for round in 0..5 {
        // Clients that are connected already, as they are in service.
        let mut leaving: Vec<Client> =
            (0..4).filter_map(|_| Client::connect(world, router.address)).collect();
        sleep_ms(100);
        if trouble {
            router.signal(world, SIGSTOP, "stands still (SIGSTOP)");
        }
        sleep_ms(20);
        for (client, function) in leaving.iter_mut().zip(&functions) {
            client.call("household-count", function, "", 2500, b"call");
        }
        sleep_ms(30);
        leaving.into_iter().for_each(Client::close);
        sleep_ms(250);
        if trouble {
            router.signal(world, SIGCONT, "goes on (SIGCONT)");
        }
        world.note(format!("round {round} ends"));
        sleep_ms(1200);
    }
    traffic.end();
    let arrivals = world.arrivals();
    let requests = world.requests();
    let left: Vec<&Request> = requests.iter().filter(|r| r.left_ms.is_some()).collect();
    let mut broken = Vec::new();
    for request in &left {
        for arrival in arrivals.iter().filter(|a| a.id == request.id) {
            let late_ms = arrival.ms - request.left_ms.unwrap();
            if late_ms > 100.0 + SLACK_MS {
                broken.push((request, arrival, late_ms));
            }
        }
    }
    if !router.is_running() || served(world) < 100 {
        return Verdict::CouldNotRun(format!("{} calls were served\n{}", served(world), router.output()));
    }
    match broken.first() {
        Some((request, arrival, late_ms)) => Verdict::Broken(format!(
            "lost: {} attempts began more than 0.1 s after their client had gone (of {} such clients); the first: {} arrived at {} {late_ms:.0} ms after",
            broken.len(), left.len(), request.id, arrival.worker
        )),
        None => Verdict::Held(format!("no attempt for any of {} clients that had gone", left.len())),
    }
}

/// 32 answers of 16 KiB for one connection come while the router's process stands still.
fn full_buffer(world: &Arc<World>, trouble: bool) -> Verdict {
    let events = Events::default();
    let log = ChangeLog::start(world, "log", &events);
    let echo = |call: &Call| Reply::Run(120, call.body.clone());
    let places: Vec<_> =
        (1..=4u64).map(|n| Place::start(world, Worker::new(&format!("w{n}"), n.div_ceil(2), echo))).collect();
    let members: Vec<Member> = places.iter().map(|p| p.member("hall-a", "duo-15", "active", 0)).collect();
    events.push(world, &members, true);
    let site = Site { settings: sites::kyyti_central(1), sockets: 1024 };
    let mut router = Router::start(world, &site, log.address, &events);
    if !router.wait_until_ready(world) {
        return Verdict::CouldNotRun("the router does not get ready".into());
    }
    let functions = functions(8);
    let traffic = Traffic::start(world, &router, vec![("fare-quote", false)], 40, functions.clone());
    sleep_ms(3000);
    for round in 0..3 {
        let Some(mut client) = Client::connect(world, router.address) else { continue };
        for number in 0..32usize {
            let body = vec![b'a' + number as u8 % 26; 16 * 1024];
            client.call("card-charge", &functions[number % 8], "", 2500, &body);
        }
        sleep_ms(80);
        if trouble {
            router.signal(world, SIGSTOP, "stands still (SIGSTOP)");
            sleep_ms(200);
            router.signal(world, SIGCONT, "goes on (SIGCONT)");
        }
        for _ in 0..300 {
            if client.open_requests() == 0 || client.has_ended() {
                break;
            }
            sleep_ms(10);
        }
        world.note(format!("round {round} ends, {} requests open", client.open_requests()));
        sleep_ms(500);
    }
    traffic.end();
    let requests = world.requests();
    let lost: Vec<&Request> = requests.iter().filter(|r| r.answers.is_empty()).collect();
    if !router.is_running() || served(world) < 100 {
        return Verdict::CouldNotRun(format!("{} calls were served\n{}", served(world), router.output()));
    }
    match lost.first() {
        Some(first) => Verdict::Broken(format!(
            "lost: {} requests were taken and never answered, as the router closed their connection; the first: {}",
            lost.len(), first.id
        )),
        None => Verdict::Held(format!("all {} requests were answered", requests.len())),
    }
}

/// A client's connection drops while its charges run, and it comes back for their answers.
fn mqtt_backlog(world: &Arc<World>, trouble: bool) -> Verdict {
    const CHARGES: u16 = 200;
    const RECEIPT: usize = 64 * 1024;
    let ran: Arc<std::sync::Mutex<Vec<String>>> = Arc::default();
    let workers: Vec<String> = (1..=4)
        .map(|n| {
            let address = start_http_worker(world, &format!("w{n}"), 500, RECEIPT, &ran);
            format!(r#"(worker "w{n}" (address "{address}") (cell {n}))"#)
        })
        .collect();
    let forms = format!(
        r#"(gateway (name "gw-1") (seed 1))
        (mqtt (listen "LISTEN"))
        (class "charge" (effect unsafe) (aim-ms 1200) (deadline-ms 3000) (worth 3))
        (route "calls/charge/+/+" (class "charge") (function "{{3}}") (key "{{4}}"))
        (loading (on-request yes))
        {}"#,
        workers.join("\n        ")
    );
    let Some(mut gateway) = Gateway::start(world, &forms) else {
        return Verdict::CouldNotRun("the gateway does not get ready".into());
    };
    let client = MqttClient::new(world, "app-1");
    let Some(mut connection) = client.connect(gateway.address) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    sleep_ms(300);
    for number in 1..=CHARGES {
        connection.publish(world, &format!("calls/charge/card/ride-{number}"), number, b"charge");
    }
    sleep_ms(300);
    let accepted = client.acknowledged.lock().unwrap().len();
    if trouble {
        connection.drop_it(world);
        sleep_ms(2000);
        let Some(again) = client.connect(gateway.address) else {
            return Verdict::CouldNotRun("no connection".into());
        };
        connection = again;
    }
    let (begin, mut connections) = (Instant::now(), 1);
    while begin.elapsed() < Duration::from_secs(30) && client.answers.lock().unwrap().len() < accepted {
        if connection.has_ended() {
            sleep_ms(500);
            let Some(again) = client.connect(gateway.address) else { continue };
            connection = again;
            connections += 1;
        }
        sleep_ms(20);
    }
    sleep_ms(300);
    let (answered, runs) = (client.answers.lock().unwrap().len(), ran.lock().unwrap().len());
    if !gateway.is_running() || accepted != usize::from(CHARGES) {
        return Verdict::CouldNotRun(format!("{accepted} charges were acknowledged\n{}", gateway.output()));
    }
    let text = format!("{accepted} charges were acknowledged, {runs} ran, {answered} were answered on {connections} connections");
    match answered < accepted {
        true => Verdict::Broken(format!("lost: {text} within 30 s")),
        false => Verdict::Held(text),
    }
}

/// A gateway behind a broker is killed while charges run, and starts again; the broker redelivers.
fn redelivered_charge(world: &Arc<World>, trouble: bool) -> Verdict {
    const CHARGES: usize = 10;
    let ran: Arc<std::sync::Mutex<Vec<String>>> = Arc::default();
    let workers: Vec<String> = (1..=4)
        .map(|n| {
            let address = start_http_worker(world, &format!("w{n}"), 1000, 16, &ran);
            format!(r#"(worker "w{n}" (address "{address}") (cell {n}))"#)
        })
        .collect();
    let Some(broker) = Broker::start(world) else {
        return Verdict::CouldNotRun("the broker does not start".into());
    };
    let forms = format!(
        r#"(gateway (name "gw-1") (seed 1))
        (mqtt (listen "LISTEN"))
        (bridge (broker "{}") (client-id "gw-1"))
        (class "charge" (effect unsafe) (aim-ms 1200) (deadline-ms 3000) (worth 3))
        (route "calls/charge/+" (class "charge") (function "{{3}}"))
        (loading (on-request yes))
        {}"#,
        broker.address,
        workers.join("\n        ")
    );
    let Some(mut gateway) = Gateway::start(world, &forms) else {
        return Verdict::CouldNotRun("the gateway does not get ready".into());
    };
    sleep_ms(1000);
    let options = Connect5 { name: "client", client_id: "app-1", clean_start: true, expiry_s: 60 };
    let Some(mut client) = Client5::connect(world, broker.address, &options) else {
        return Verdict::CouldNotRun("no connection to the broker".into());
    };
    client.subscribe();
    let keys: Vec<String> = (1..=CHARGES).map(|number| format!("ride-{number}")).collect();
    for key in &keys {
        client.call("calls/charge/card", key, &format!("{key}/1"));
    }
    sleep_ms(400);
    if trouble {
        let address = gateway.address;
        gateway.kill(world);
        sleep_ms(1600);
        let Some(again) = Gateway::start_at(world, &forms, address) else {
            return Verdict::CouldNotRun("the gateway does not get ready again".into());
        };
        gateway = again;
    }
    // The client sends a charge again only if it was told that this is harmless, and twice at most.
    let mut refused_after_run = 0;
    let (mut answers, begin) = (0, Instant::now());
    while begin.elapsed() < Duration::from_secs(10) {
        let Some(answer) = client.next_answer(Duration::from_millis(200)) else { continue };
        answers += 1;
        let Some((key, number)) = answer.correlation.split_once('/') else { continue };
        let number: usize = number.parse().unwrap_or(9);
        if answer.outcome == "refused" {
            if runs_of(&ran, key) > 0 {
                refused_after_run += 1;
            }
            if number < 3 {
                sleep_ms(100);
                client.call("calls/charge/card", key, &format!("{key}/{}", number + 1));
            }
        }
    }
    let twice: Vec<&String> = keys.iter().filter(|key| runs_of(&ran, key) > 1).collect();
    let ran_once = keys.iter().filter(|key| runs_of(&ran, key) > 0).count();
    if !gateway.is_running() || ran_once == 0 {
        return Verdict::CouldNotRun(format!("{ran_once} charges ran\n{}", gateway.output()));
    }
    let text = format!("{ran_once} of {CHARGES} charges ran, {answers} answers came, {refused_after_run} of them refused a charge that had run");
    match twice.is_empty() && refused_after_run == 0 {
        true => Verdict::Held(text),
        false => Verdict::Broken(format!(
            "duplicate: {text}; {} charges ran more than once: {twice:?}",
            twice.len()
        )),
    }
}

/// How often workers ran the charge with this key, which they see in hexadecimal.
fn runs_of(ran: &std::sync::Mutex<Vec<String>>, key: &str) -> usize {
    let seen: String = format!("k:{key}").bytes().map(|byte| format!("{byte:02x}")).collect();
    ran.lock().unwrap().iter().filter(|other| **other == seen).count()
}

/// A gateway starts again; a client comes back with the id that was assigned to it, another one without any.
fn assigned_id(world: &Arc<World>, trouble: bool) -> Verdict {
    const CHARGES: usize = 5;
    let ran: Arc<std::sync::Mutex<Vec<String>>> = Arc::default();
    let workers: Vec<String> = (1..=4)
        .map(|n| {
            let address = start_http_worker(world, &format!("w{n}"), 1500, 16, &ran);
            format!(r#"(worker "w{n}" (address "{address}") (cell {n}))"#)
        })
        .collect();
    let forms = format!(
        r#"(gateway (name "gw-1") (seed 1))
        (mqtt (listen "LISTEN"))
        (class "charge" (effect unsafe) (aim-ms 1200) (deadline-ms 3000) (worth 3))
        (route "calls/charge/+" (class "charge") (function "{{3}}"))
        (loading (on-request yes))
        {}"#,
        workers.join("\n        ")
    );
    let Some(mut gateway) = Gateway::start(world, &forms) else {
        return Verdict::CouldNotRun("the gateway does not get ready".into());
    };
    let unnamed = Connect5 { name: "first client", client_id: "", clean_start: true, expiry_s: 300 };
    let Some(mut first) = Client5::connect(world, gateway.address, &unnamed) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    let Some(id) = first.assigned_id.clone() else {
        return Verdict::CouldNotRun("no client id was assigned".into());
    };
    if trouble {
        let address = gateway.address;
        gateway.kill(world);
        sleep_ms(1600);
        let Some(again) = Gateway::start_at(world, &forms, address) else {
            return Verdict::CouldNotRun("the gateway does not get ready again".into());
        };
        gateway = again;
        // The first client resumes with the id that it was given.
        let again = Connect5 { name: "first client", client_id: &id, clean_start: false, expiry_s: 300 };
        let Some(connected) = Client5::connect(world, gateway.address, &again) else {
            return Verdict::CouldNotRun("no connection".into());
        };
        first = connected;
    }
    for number in 1..=CHARGES {
        first.call("calls/charge/card", &format!("ride-{number}"), &format!("ride-{number}/1"));
    }
    sleep_ms(500);
    let accepted = first.acknowledged();
    // The second client has no id yet.
    let other = Connect5 { name: "second client", client_id: "", clean_start: false, expiry_s: 300 };
    let Some(second) = Client5::connect(world, gateway.address, &other) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    let (mut own, mut foreign, begin) = (0, 0, Instant::now());
    while begin.elapsed() < Duration::from_secs(6) {
        own += usize::from(first.next_answer(Duration::from_millis(50)).is_some());
        foreign += usize::from(second.next_answer(Duration::from_millis(50)).is_some());
    }
    if !gateway.is_running() || accepted != CHARGES {
        return Verdict::CouldNotRun(format!("{accepted} charges were acknowledged\n{}", gateway.output()));
    }
    let text = format!(
        "{accepted} charges of the first client (id {id}) were acknowledged; it got {own} answers; the second client (id {:?}, session present {}), who asked nothing, got {foreign} answers",
        second.assigned_id, second.session_present
    );
    match foreign > 0 || own < accepted {
        true => Verdict::Broken(format!("lost: {text}")),
        false => Verdict::Held(text),
    }
}

/// The connection of a gateway to its broker drops while charges run.
fn bridge_backlog(world: &Arc<World>, trouble: bool) -> Verdict {
    const CHARGES: usize = 200;
    const LATER: usize = 20;
    const RECEIPT: usize = 64 * 1024;
    let ran: Arc<std::sync::Mutex<Vec<String>>> = Arc::default();
    let workers: Vec<String> = (1..=4)
        .map(|n| {
            let address = start_http_worker(world, &format!("w{n}"), 800, RECEIPT, &ran);
            format!(r#"(worker "w{n}" (address "{address}") (cell {n}))"#)
        })
        .collect();
    let Some(broker) = Broker::start(world) else {
        return Verdict::CouldNotRun("the broker does not start".into());
    };
    let link = Link::start(broker.address);
    let forms = format!(
        r#"(gateway (name "gw-1") (seed 1))
        (mqtt (listen "LISTEN"))
        (bridge (broker "{}") (client-id "gw-1"))
        (class "charge" (effect unsafe) (aim-ms 1200) (deadline-ms 3000) (worth 3))
        (route "calls/charge/+" (class "charge") (function "{{3}}"))
        (loading (on-request yes))
        {}"#,
        link.address,
        workers.join("\n        ")
    );
    let Some(mut gateway) = Gateway::start(world, &forms) else {
        return Verdict::CouldNotRun("the gateway does not get ready".into());
    };
    sleep_ms(1000);
    let options = Connect5 { name: "client", client_id: "app-1", clean_start: true, expiry_s: 60 };
    let Some(mut client) = Client5::connect(world, broker.address, &options) else {
        return Verdict::CouldNotRun("no connection to the broker".into());
    };
    client.subscribe();
    let answers_within = |client: &mut Client5, wanted: usize, seconds: u64| {
        let (begin, mut count) = (Instant::now(), 0);
        while begin.elapsed() < Duration::from_secs(seconds) && count < wanted {
            count += usize::from(client.next_answer(Duration::from_millis(50)).is_some());
        }
        count
    };
    let send = |client: &mut Client5, numbers: std::ops::RangeInclusive<usize>| {
        for number in numbers {
            client.call("calls/charge/card", &format!("ride-{number}"), &format!("ride-{number}/1"));
        }
    };
    send(&mut client, 1..=CHARGES);
    sleep_ms(400);
    if trouble {
        link.cut(world);
        sleep_ms(2000);
        link.mend(world);
    }
    let first = answers_within(&mut client, CHARGES, 25);
    send(&mut client, CHARGES + 1..=CHARGES + LATER);
    let later = answers_within(&mut client, LATER, 15);
    let runs = ran.lock().unwrap().len();
    if !gateway.is_running() || runs < CHARGES {
        return Verdict::CouldNotRun(format!("{runs} charges ran\n{}", gateway.output()));
    }
    let connections = gateway.output().matches("the broker accepted the connection").count();
    let text = format!(
        "of {CHARGES} charges {first} were answered; of {LATER} more, sent after that, {later}; {runs} ran; the gateway connected {connections} times"
    );
    match first < CHARGES || later < LATER {
        true => Verdict::Broken(format!("lost: {text}")),
        false => Verdict::Held(text),
    }
}

/// A client's connection drops while its charges run; it comes back to another gateway and sends them again.
fn other_gateway(world: &Arc<World>, trouble: bool) -> Verdict {
    const CHARGES: usize = 5;
    let ran: Arc<std::sync::Mutex<Vec<String>>> = Arc::default();
    let workers: Vec<String> = (1..=4)
        .map(|n| {
            let address = start_http_worker(world, &format!("w{n}"), 1000, 16, &ran);
            format!(r#"(worker "w{n}" (address "{address}") (cell {n}))"#)
        })
        .collect();
    let forms = |name: &str, seed: u32| {
        format!(
            r#"(gateway (name "{name}") (routers 2) (seed {seed}))
            (mqtt (listen "LISTEN"))
            (class "charge" (effect unsafe) (aim-ms 1200) (deadline-ms 3000) (worth 3))
            (route "calls/charge/+" (class "charge") (function "{{3}}"))
            (loading (on-request yes))
            {}"#,
            workers.join("\n        ")
        )
    };
    let (first, second) =
        (Gateway::start(world, &forms("gw-1", 1)), Gateway::start(world, &forms("gw-2", 2)));
    let (Some(mut first), Some(mut second)) = (first, second) else {
        return Verdict::CouldNotRun("the gateways do not get ready".into());
    };
    let options = Connect5 { name: "client", client_id: "app-1", clean_start: false, expiry_s: 300 };
    let Some(mut client) = Client5::connect(world, first.address, &options) else {
        return Verdict::CouldNotRun("no connection".into());
    };
    let keys: Vec<String> = (1..=CHARGES).map(|number| format!("ride-{number}")).collect();
    for key in &keys {
        client.call("calls/charge/card", key, &format!("{key}/1"));
    }
    sleep_ms(400);
    let mut answers = 0;
    if trouble {
        client.drop_connection();
        sleep_ms(100);
        // The front layer, which spreads clients over the gateways, leads it to the other one.
        let Some(connected) = Client5::connect(world, second.address, &options) else {
            return Verdict::CouldNotRun("no connection".into());
        };
        client = connected;
        for key in &keys {
            client.call("calls/charge/card", key, &format!("{key}/2"));
        }
    }
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(5) {
        answers += usize::from(client.next_answer(Duration::from_millis(100)).is_some());
    }
    let twice = keys.iter().filter(|key| runs_of(&ran, key) > 1).count();
    let once = keys.iter().filter(|key| runs_of(&ran, key) == 1).count();
    if !first.is_running() || !second.is_running() || once + twice == 0 {
        return Verdict::CouldNotRun(format!("{once} charges ran"));
    }
    let text = format!("of {CHARGES} charges {once} ran once and {twice} ran twice; {answers} answers came");
    match twice {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(format!("duplicate: {text}")),
    }
}

/// Many clients connect and ask while the router's process stands still.
fn late_read(world: &Arc<World>, trouble: bool) -> Verdict {
    let events = Events::default();
    let log = ChangeLog::start(world, "log", &events);
    let hangs = |call: &Call| match call.class.as_str() {
        "card-charge" => Reply::Run(6000, b"late".to_vec()),
        _ => quick(call),
    };
    let places: Vec<_> = (1..=4u64)
        .map(|n| Place::start(world, Worker::new(&format!("w{n}"), n.div_ceil(2), hangs)))
        .collect();
    let members: Vec<Member> = places.iter().map(|p| p.member("hall-a", "duo-15", "active", 0)).collect();
    events.push(world, &members, true);
    let site = Site { settings: sites::kyyti_central(1), sockets: 1024 };
    let mut router = Router::start(world, &site, log.address, &events);
    if !router.wait_until_ready(world) {
        return Verdict::CouldNotRun("the router does not get ready".into());
    }
    let functions = functions(4);
    let traffic = Traffic::start(world, &router, vec![("fare-quote", false)], 40, functions.clone());
    sleep_ms(2000);
    if trouble {
        router.signal(world, SIGSTOP, "stands still (SIGSTOP)");
    }
    let mut clients: Vec<Client> = (0..300).filter_map(|_| Client::connect(world, router.address)).collect();
    let ids: Vec<String> = (clients.iter_mut().zip(functions.iter().cycle()))
        .map(|(client, function)| client.call("card-charge", function, "", 1500, b"call"))
        .collect();
    sleep_ms(1000);
    if trouble {
        router.signal(world, SIGCONT, "goes on (SIGCONT)");
    }
    sleep_ms(4000);
    traffic.end();
    let requests = world.requests();
    let asked: Vec<&Request> = requests.iter().filter(|request| ids.contains(&request.id)).collect();
    let limit = 1500.0 + 500.0 + SLACK_MS;
    let is_late = |request: &&&Request| request.answers.first().is_none_or(|a| a.0 - request.sent_ms > limit);
    let late = asked.iter().filter(is_late).count();
    if !router.is_running() || asked.len() < 300 {
        return Verdict::CouldNotRun(format!("{} requests were sent", asked.len()));
    }
    let text =
        format!("{late} of 300 requests were answered more than half a second after their time, or never");
    match late {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(format!("lost: {text}")),
    }
}
