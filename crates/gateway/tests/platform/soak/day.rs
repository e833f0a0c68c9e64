//! One day: workers, a change log, routers, clients, and the faults that a seed draws.

use super::clients::{ask, Call, Terms};
use crate::support::until;
use crate::test_servers::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_secs(6);
const CLIENTS_PER_ROUTER: u64 = 3;
/// The kill comes this long after the longest deadline (counted as 3 s at most), from SIGTERM on.
const KILL_DELAY: Duration = Duration::from_millis(700);
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// A restarted router has to be ready by then.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// Calls are that many times as frequent in a crowd.
const CROWD_FACTOR: u64 = 8;

/// What is done to a day.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The last worker that does not drain yet drains.
    Drain,
    Hang(Duration),
    ResetConnections,
    Log(Service, Duration),
    /// The change log moves, and the routers are told so.
    Move,
    Stop(Duration),
    /// SIGTERM, the kill at its earliest, and a new start.
    Restart,
    /// SIGKILL and a new start.
    Kill,
    Crowd(Duration),
}

/// A worker that drained, and when that was told to the log.
pub(super) struct Drained {
    pub worker: usize,
    pub told_at: Instant,
}

/// Time in which the log did not answer promptly, or was moved.
pub(super) struct LogTrouble {
    pub began_at: Instant,
    pub ended_at: Instant,
    pub is_move: bool,
}

/// The end of a router's process.
pub(super) struct Ended {
    pub router: usize,
    pub at: Instant,
    /// After SIGTERM, rather than without notice.
    pub was_planned: bool,
}

/// What a day left behind.
pub(super) struct Day {
    pub calls: Vec<Call>,
    /// What each worker was sent.
    pub received: Vec<Vec<Received>>,
    pub drained: Vec<Drained>,
    pub log_troubles: Vec<LogTrouble>,
    pub ended: Vec<Ended>,
    /// The faults, for the report.
    pub script: String,
}

struct Running {
    routers: Vec<Router>,
    configs: Vec<Value>,
    terms: Vec<Arc<Terms>>,
    workers: Vec<FleetWorker>,
    log: ChangeLog,
    timeout: Duration,
    drained: Vec<Drained>,
    log_troubles: Vec<LogTrouble>,
    ended: Vec<Ended>,
}

pub(super) fn play(seed: u64) -> Day {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let timeout = Duration::from_millis([300, 600, 1_200, 2_400][random.random_range(0..4)]);
    let mut running = start(&mut random, timeout, seed);
    let faults = draw_faults(&mut random);
    let clients: Vec<_> = running
        .terms
        .iter()
        .flat_map(|terms| (0..CLIENTS_PER_ROUTER).map(|number| (terms.clone(), number)))
        .map(|(terms, number)| {
            let seed = seed << 16 | (terms.router as u64) << 8 | number;
            thread::spawn(move || ask(&terms, seed))
        })
        .collect();
    let start = Instant::now();
    for (at, fault) in &faults {
        thread::sleep((start + *at).saturating_duration_since(Instant::now()));
        running.inflict(&mut random, *fault);
    }
    thread::sleep((start + LENGTH).saturating_duration_since(Instant::now()));
    running.terms.iter().for_each(|terms| terms.has_ended.store(true, Ordering::SeqCst));
    let calls = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let Running { workers, drained, log_troubles, ended, .. } = running;
    let received = workers.iter().map(FleetWorker::received).collect();
    let script = format!("seed {seed}, deadline {timeout:?}, {faults:?}");
    Day { calls, received, drained, log_troubles, ended, script }
}

fn start(random: &mut Pcg64Mcg, timeout: Duration, seed: u64) -> Running {
    let behaviour = Behaviour {
        service_time: Duration::from_millis(random.random_range(2..30)),
        reset_percent: random.random_range(0..4),
        miss_percent: random.random_range(0..6),
    };
    let count = random.random_range(4..8);
    let workers: Vec<FleetWorker> =
        (0..count).map(|number| FleetWorker::start(behaviour, seed << 8 | number)).collect();
    let names: Vec<String> = (0..count).map(|number| format!("s-{number}")).collect();
    let list: Vec<_> =
        names.iter().zip(&workers).map(|(name, worker)| (name.as_str(), worker.address)).collect();
    let log = ChangeLog::start(&list);
    let mut running = Running {
        routers: Vec::new(),
        configs: Vec::new(),
        terms: Vec::new(),
        workers,
        log,
        timeout,
        drained: Vec::new(),
        log_troubles: Vec::new(),
        ended: Vec::new(),
    };
    let rate = random.random_range(5..30);
    for number in 0..random.random_range(1..3) {
        running.add_router(number, rate);
    }
    running
}

/// Three to seven faults in the order of their times; two may come at once.
fn draw_faults(random: &mut Pcg64Mcg) -> Vec<(Duration, Fault)> {
    let mut faults: Vec<(Duration, Fault)> = Vec::new();
    for _ in 0..random.random_range(3..8) {
        let at = match faults.last() {
            Some((at, _)) if random.random_range(0..4) == 0 => *at,
            _ => Duration::from_millis(random.random_range(500..4_500)),
        };
        faults.push((at, draw_fault(random)));
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

fn draw_fault(random: &mut Pcg64Mcg) -> Fault {
    let time = Duration::from_millis(random.random_range(100..800));
    match random.random_range(0..12) {
        0 | 1 => Fault::Drain,
        2 => Fault::Hang(time),
        3 => Fault::ResetConnections,
        4 => Fault::Log(Service::Refusing, time * 2),
        5 => Fault::Log(Service::Silent, time * 3),
        6 => Fault::Log(Service::Late(time), time * 3),
        7 => Fault::Move,
        // Shorter than the time within which a late answer still counts: no router could answer otherwise.
        8 => Fault::Stop(time / 2),
        9 => Fault::Restart,
        10 => Fault::Kill,
        _ => Fault::Crowd(time),
    }
}

impl Running {
    fn add_router(&mut self, number: usize, rate: u64) {
        let mut config = config(&self.log);
        for class in 0..3 {
            config["settings"]["categories"][class]["deadline"] = json!(self.timeout.as_millis() as u64);
        }
        let router = Router::start_with(&config);
        ready(&router);
        let address = router.process.address;
        // It starts again at the same address.
        config["listen"] = json!(address.to_string());
        let (rate, has_ended) = (AtomicU64::new(rate), AtomicBool::new(false));
        self.terms.push(Arc::new(Terms { router: number, address, timeout: self.timeout, rate, has_ended }));
        self.routers.push(router);
        self.configs.push(config);
    }

    fn inflict(&mut self, random: &mut Pcg64Mcg, fault: Fault) {
        let router = random.random_range(0..self.routers.len());
        match fault {
            Fault::Drain => self.drain(),
            Fault::Hang(time) => {
                // The first worker never drains, so that the time of a command is that of its arrival at all that do.
                self.workers[0].set_hanging(true);
                thread::sleep(time);
                self.workers[0].set_hanging(false);
            }
            Fault::ResetConnections => self.workers[0].reset_connections(),
            Fault::Log(service, time) => self.trouble_log(service, time),
            Fault::Move => self.move_log(),
            Fault::Stop(time) => {
                self.routers[router].process.signal("STOP");
                thread::sleep(time);
                self.routers[router].process.signal("CONT");
            }
            Fault::Restart => self.restart(router),
            Fault::Kill => self.kill_and_start(router, false),
            Fault::Crowd(time) => {
                let terms = self.terms[router].clone();
                let rate =
                    terms.rate.swap(terms.rate.load(Ordering::SeqCst) * CROWD_FACTOR, Ordering::SeqCst);
                thread::sleep(time);
                terms.rate.store(rate, Ordering::SeqCst);
            }
        }
    }

    fn drain(&mut self) {
        let worker = self.workers.len() - 1 - self.drained.len();
        if worker < 2 {
            return;
        }
        self.workers[worker].drain();
        let told_at = Instant::now();
        self.log.tell(&[(&format!("s-{worker}"), self.workers[worker].address, "leaving")]);
        self.drained.push(Drained { worker, told_at });
    }

    /// The log is in trouble for a time; in the middle of it a worker drains.
    fn trouble_log(&mut self, service: Service, time: Duration) {
        let began_at = Instant::now();
        self.log.set_service(service);
        thread::sleep(time / 2);
        self.drain();
        thread::sleep(time / 2);
        self.log.set_service(Service::Prompt);
        self.log_troubles.push(LogTrouble { began_at, ended_at: Instant::now(), is_move: false });
    }

    fn move_log(&mut self) {
        let began_at = Instant::now();
        self.log = self.log.elsewhere();
        for (router, config) in self.routers.iter().zip(&mut self.configs) {
            config["changelog"] = json!(self.log.address.to_string());
            std::fs::write(router.file(), config.to_string()).unwrap();
            router.process.signal("HUP");
        }
        self.log_troubles.push(LogTrouble { began_at, ended_at: began_at, is_move: true });
    }

    fn restart(&mut self, router: usize) {
        let told = Instant::now();
        self.routers[router].process.signal("TERM");
        thread::sleep(
            (told + self.timeout.min(LONGEST_COUNTED) + KILL_DELAY).saturating_duration_since(told),
        );
        self.kill_and_start(router, true);
    }

    fn kill_and_start(&mut self, router: usize, was_planned: bool) {
        let at = Instant::now();
        let _ = self.routers[router].process.child.kill();
        let _ = self.routers[router].process.child.wait();
        let mut config = self.configs[router].clone();
        config["known"] = self.log.known();
        let started = Instant::now();
        self.routers[router] = Router::start_with(&config);
        let address = self.terms[router].address;
        until("the restarted router to be ready", || Client::connect(address).is_ready());
        let ready_after = started.elapsed();
        assert!(ready_after < READY_WITHIN, "ready after {ready_after:?}");
        self.ended.push(Ended { router, at, was_planned });
    }
}
