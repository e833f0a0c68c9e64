//! One run: workers, a change log, routers, clients, and random faults from a seed.

use super::clients::{run_client, Call, ClientSettings};
use super::intruders::{self, intrude};
use crate::support::until;
use crate::test_servers::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_secs(6);
const CLIENTS_PER_ROUTER: u64 = 3;
/// SIGKILL follows SIGTERM after the longest deadline, capped at `MAX_COUNTED_DEADLINE`, plus this time.
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Upper bound of the time from the start of a restarted router until it is ready.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// Distinguishes the draws of intruders from those of faults.
const INTRUDERS_STREAM: u64 = 0x1u64 << 48;
/// Distinguishes the draws of series of signals.
const SIGNALS_STREAM: u64 = 0x2u64 << 48;
/// How long each SIGSTOP of a series lasts.
const SERIES_STOP: Duration = Duration::from_millis(20);
/// Memory that the configuration allows a router.
const MEMORY_LIMIT_MB: f64 = 64.0;
/// Factor on the rate of calls during a load spike.
const SPIKE_FACTOR: u64 = 8;

/// A fault or operation injected into a run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Drains the last worker that is not draining yet.
    Drain,
    Hang(Duration),
    ResetConnections,
    Log(Service, Duration),
    /// Moves the change log to a new address and reloads the routers' configuration.
    MoveLog,
    /// SIGSTOP and, after this time, SIGCONT.
    Stop(Duration),
    /// SIGTERM, SIGKILL at its earliest, and a new start.
    Restart,
    /// SIGKILL and a new start.
    Kill,
    LoadSpike(Duration),
    /// Some SIGHUP in quick succession, and as many SIGSTOP with SIGCONT.
    Series(u32),
}

/// A worker that was drained, and when the log published that.
pub(super) struct Drained {
    pub worker: usize,
    pub published_at: Instant,
}

/// An interval in which the log did not answer promptly, or the moment at which it was moved.
pub(super) struct LogOutage {
    pub began_at: Instant,
    pub ended_at: Instant,
    pub is_move: bool,
}

/// The exit of a router's process.
pub(super) struct RouterExit {
    pub router: usize,
    pub at: Instant,
    /// Whether SIGTERM preceded the kill.
    pub was_planned: bool,
}

/// The records of a run.
pub(super) struct RunRecord {
    pub calls: Vec<Call>,
    /// The commands that each worker received.
    pub received: Vec<Vec<Received>>,
    pub drained: Vec<Drained>,
    pub log_outages: Vec<LogOutage>,
    pub router_exits: Vec<RouterExit>,
    /// Peak memory of each router process that passed its limit.
    pub memory_over_limit_mb: Vec<f64>,
    /// Seed, deadline, faults and intruders of the run, for the report.
    pub script: String,
}

struct Running {
    routers: Vec<Router>,
    configs: Vec<Value>,
    client_settings: Vec<Arc<ClientSettings>>,
    workers: Vec<FleetWorker>,
    log: ChangeLog,
    timeout: Duration,
    drained: Vec<Drained>,
    log_outages: Vec<LogOutage>,
    router_exits: Vec<RouterExit>,
    memory_over_limit_mb: Vec<f64>,
}

pub(super) fn play(seed: u64) -> RunRecord {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let timeout = Duration::from_millis([300, 600, 1_200, 2_400][random.random_range(0..4)]);
    let mut running = start(&mut random, timeout, seed);
    let mut faults = draw_faults(&mut random);
    faults.extend(draw_series(&mut Pcg64Mcg::seed_from_u64(seed | SIGNALS_STREAM)));
    faults.sort_by_key(|(at, _)| *at);
    let mut intruder_random = Pcg64Mcg::seed_from_u64(seed | INTRUDERS_STREAM);
    let intrusions = intruders::draw(&mut intruder_random);
    let clients: Vec<_> = running
        .client_settings
        .iter()
        .flat_map(|client_settings| (0..CLIENTS_PER_ROUTER).map(|number| (client_settings.clone(), number)))
        .map(|(client_settings, number)| {
            let seed = seed << 16 | (client_settings.router as u64) << 8 | number;
            thread::spawn(move || run_client(&client_settings, seed))
        })
        .collect();
    let start = Instant::now();
    let intruders: Vec<_> = intrusions
        .iter()
        .copied()
        .map(|(at, intrusion)| {
            let router = intruder_random.random_range(0..running.client_settings.len());
            let settings = running.client_settings[router].clone();
            let mut random = Pcg64Mcg::seed_from_u64(intruder_random.next_u64());
            thread::spawn(move || {
                thread::sleep((start + at).saturating_duration_since(Instant::now()));
                intrude(intrusion, &settings, &mut random)
            })
        })
        .collect();
    for (at, fault) in &faults {
        thread::sleep((start + *at).saturating_duration_since(Instant::now()));
        running.inject(&mut random, *fault);
    }
    thread::sleep((start + LENGTH).saturating_duration_since(Instant::now()));
    running
        .client_settings
        .iter()
        .for_each(|client_settings| client_settings.has_ended.store(true, Ordering::SeqCst));
    let calls = clients.into_iter().chain(intruders).flat_map(|client| client.join().unwrap()).collect();
    (0..running.routers.len()).for_each(|router| running.check_memory(router));
    let Running { workers, drained, log_outages, router_exits, memory_over_limit_mb, .. } = running;
    let received = workers.iter().map(FleetWorker::received).collect();
    let script = format!("seed {seed}, deadline {timeout:?}, {faults:?}, {intrusions:?}");
    RunRecord { calls, received, drained, log_outages, router_exits, memory_over_limit_mb, script }
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
        client_settings: Vec::new(),
        workers,
        log,
        timeout,
        drained: Vec::new(),
        log_outages: Vec::new(),
        router_exits: Vec::new(),
        memory_over_limit_mb: Vec::new(),
    };
    let rate = random.random_range(5..30);
    for number in 0..random.random_range(1..3) {
        running.add_router(number, rate);
    }
    running
}

/// Three to seven random faults, ordered by time; some start at the same time.
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

/// A series of signals, in a third of the runs.
fn draw_series(random: &mut Pcg64Mcg) -> Option<(Duration, Fault)> {
    let at = Duration::from_millis(random.random_range(500..4_500));
    let signals = random.random_range(2..6);
    (random.random_range(0..3) == 0).then_some((at, Fault::Series(signals)))
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
        7 => Fault::MoveLog,
        // Shorter than the tolerance for late answers: a router cannot answer while it is stopped.
        8 => Fault::Stop(time / 2),
        9 => Fault::Restart,
        10 => Fault::Kill,
        _ => Fault::LoadSpike(time),
    }
}

impl Running {
    fn add_router(&mut self, number: usize, rate: u64) {
        let mut config = config(&self.log);
        for class in 0..3 {
            config["settings"]["categories"][class]["deadline"] = json!(self.timeout.as_millis() as u64);
        }
        let router = Router::start_with(&config);
        wait_until_ready(&router);
        let address = router.process.address;
        // A restarted router listens at the same address.
        config["listen"] = json!(address.to_string());
        let (rate, has_ended) = (AtomicU64::new(rate), AtomicBool::new(false));
        self.client_settings.push(Arc::new(ClientSettings {
            router: number,
            address,
            timeout: self.timeout,
            rate,
            has_ended,
        }));
        self.routers.push(router);
        self.configs.push(config);
    }

    fn inject(&mut self, random: &mut Pcg64Mcg, fault: Fault) {
        let router = random.random_range(0..self.routers.len());
        match fault {
            Fault::Drain => self.drain(),
            Fault::Hang(time) => {
                // Only the first worker hangs. It never drains, so at draining workers the recorded time is
                // always the arrival.
                self.workers[0].set_hanging(true);
                thread::sleep(time);
                self.workers[0].set_hanging(false);
            }
            Fault::ResetConnections => self.workers[0].reset_connections(),
            Fault::Log(service, time) => self.disturb_log(service, time),
            Fault::MoveLog => self.move_log(),
            Fault::Stop(time) => {
                self.routers[router].process.signal("STOP");
                thread::sleep(time);
                self.routers[router].process.signal("CONT");
            }
            Fault::Restart => self.restart(router),
            Fault::Series(signals) => self.signal_in_series(router, signals),
            Fault::Kill => self.kill_and_start(router, false),
            Fault::LoadSpike(time) => {
                let client_settings = self.client_settings[router].clone();
                let rate = client_settings
                    .rate
                    .swap(client_settings.rate.load(Ordering::SeqCst) * SPIKE_FACTOR, Ordering::SeqCst);
                thread::sleep(time);
                client_settings.rate.store(rate, Ordering::SeqCst);
            }
        }
    }

    /// Sends signals that neither end the router nor change its configuration.
    fn signal_in_series(&self, router: usize, signals: u32) {
        for _ in 0..signals {
            self.routers[router].process.signal("HUP");
            self.routers[router].process.signal("STOP");
            thread::sleep(SERIES_STOP);
            self.routers[router].process.signal("CONT");
        }
    }

    /// Records the peak memory of a router's process if it is over the limit.
    fn check_memory(&mut self, router: usize) {
        let peak = self.routers[router].process.peak_memory_mb();
        self.memory_over_limit_mb.extend(peak.filter(|peak| *peak > MEMORY_LIMIT_MB));
    }

    fn drain(&mut self) {
        let worker = self.workers.len() - 1 - self.drained.len();
        if worker < 2 {
            return;
        }
        self.workers[worker].drain();
        let published_at = Instant::now();
        self.log.publish(&[(&format!("s-{worker}"), self.workers[worker].address, "leaving")]);
        self.drained.push(Drained { worker, published_at });
    }

    /// Changes how the log responds for a time; a worker drains halfway through it.
    fn disturb_log(&mut self, service: Service, time: Duration) {
        let began_at = Instant::now();
        self.log.set_service(service);
        thread::sleep(time / 2);
        self.drain();
        thread::sleep(time / 2);
        self.log.set_service(Service::Prompt);
        self.log_outages.push(LogOutage { began_at, ended_at: Instant::now(), is_move: false });
    }

    fn move_log(&mut self) {
        let began_at = Instant::now();
        self.log = self.log.at_new_address();
        for (router, config) in self.routers.iter().zip(&mut self.configs) {
            config["changelog"] = json!(self.log.address.to_string());
            std::fs::write(router.file(), config.to_string()).unwrap();
            router.process.signal("HUP");
        }
        self.log_outages.push(LogOutage { began_at, ended_at: began_at, is_move: true });
    }

    fn restart(&mut self, router: usize) {
        let signaled_at = Instant::now();
        self.routers[router].process.signal("TERM");
        thread::sleep(
            (signaled_at + self.timeout.min(MAX_COUNTED_DEADLINE) + KILL_DELAY)
                .saturating_duration_since(signaled_at),
        );
        self.kill_and_start(router, true);
    }

    fn kill_and_start(&mut self, router: usize, was_planned: bool) {
        self.check_memory(router);
        let at = Instant::now();
        let _ = self.routers[router].process.child.kill();
        let _ = self.routers[router].process.child.wait();
        let mut config = self.configs[router].clone();
        config["known"] = self.log.snapshot();
        let started = Instant::now();
        self.routers[router] = Router::start_with(&config);
        let address = self.client_settings[router].address;
        until("the restarted router to be ready", || Client::connect(address).is_ready());
        let ready_after = started.elapsed();
        assert!(ready_after < READY_WITHIN, "ready after {ready_after:?}");
        self.router_exits.push(RouterExit { router, at, was_planned });
    }
}
