//! What each case does, and its check.

use crate::sites;
use crate::world::*;
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Every time limit on sockets is so much longer (PROTOCOL.md, "The rules on sockets").
const SLACK_MS: f64 = 50.0;

pub fn run(case: &str, world: &Arc<World>, trouble: bool) -> Verdict {
    match case {
        "outage-cell" => outage_cell(world, trouble),
        "full-buffer" => full_buffer(world, trouble),
        "client-gone" => client_gone(world, trouble),
        "outage-drain" => outage_drain(world, trouble),
        "moved-log" => moved_log(world, trouble),
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
