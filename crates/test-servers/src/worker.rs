//! The stand-in worker's process: sockets around a [`Service`], and its faults.

use crate::entry::Entry;
use crate::faults::{Fault, FaultKind, Faults};
use crate::overtaken::Overtaken;
use crate::service::{CallBody, Service, ServicePlan, Taken};
use crate::tap::{unix_micros, Tap};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_trace_checker::trace::Seen;
use slatevalve_worker_protocol::{
    Call, Limits, LoadReport, MessageReader, ParsedRequest, Reply, Side, WorkerRequest,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// All that a stand-in worker is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerPlan {
    /// Its name.
    pub name: String,
    /// Where it listens; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// Its size and speed.
    pub service: ServicePlan,
    /// What goes wrong, and when.
    pub faults: Vec<Fault>,
    /// Where it records what it sees.
    pub trace: Option<PathBuf>,
    /// Whether it starts cold: a successor or a restart, not one that stood before the day began.
    pub cold: bool,
    /// Seed of its chances.
    pub seed: u64,
    /// Where it registers itself, if it does.
    pub register: Option<RegisterPlan>,
    /// Calls by settings documents that were overtaken for longer than this, in microseconds, are turned away.
    #[serde(default)]
    pub refuse_overtaken_us: Option<i64>,
}

/// How a stand-in worker registers itself. On SIGUSR1 it drains; on SIGTERM it drains, ends what it has, gives its lease
/// back and leaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegisterPlan {
    /// Members of the registry.
    pub endpoints: Vec<SocketAddr>,
    /// What its key begins with.
    pub prefix: String,
    /// Seconds that its entry lives without it.
    pub ttl_s: i64,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// How long it waits for its calls' ends when it leaves, in microseconds.
    pub leave_within_us: i64,
}

impl Default for RegisterPlan {
    fn default() -> Self {
        RegisterPlan {
            endpoints: Vec::new(),
            prefix: "/slatevalve/".into(),
            ttl_s: 5,
            zone: "default".into(),
            cell: 0,
            leave_within_us: 2_000_000,
        }
    }
}

impl Default for WorkerPlan {
    fn default() -> Self {
        WorkerPlan {
            name: "worker".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service: ServicePlan::default(),
            faults: Vec::new(),
            refuse_overtaken_us: None,
            trace: None,
            cold: false,
            seed: 1,
            register: None,
        }
    }
}

/// A call that runs or waits.
struct Running {
    connection: Id,
    gateway: String,
    call: Call,
    name: String,
    queue_depth: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A call's work is done.
    Done(u64),
    /// Bytes are to be written to a connection.
    Write(u64),
    /// A load is done; waiting calls may begin.
    Loaded,
}

struct Worker {
    reactor: Reactor,
    tap: Tap,
    service: Service,
    faults: Faults,
    overtaken: Overtaken,
    random: Pcg64Mcg,
    connections: HashMap<Id, MessageReader>,
    running: BTreeMap<u64, Running>,
    writes: HashMap<u64, (Id, Vec<u8>)>,
    due: BTreeSet<(i64, Due)>,
    reports: VecDeque<(i64, LoadReport)>,
    next: u64,
    /// Its own entry in the registry.
    entry: Option<Entry>,
}

/// Runs a stand-in worker until SIGTERM or a fault ends it. `ready` is told the address that was bound.
///
/// # Errors
/// When its socket or its trace cannot be opened, or its poller fails.
pub fn run_worker(plan: WorkerPlan, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let mut reactor = Reactor::new(16 * 1024 * 1024)?;
    reactor.signal(libc::SIGTERM)?;
    reactor.signal(libc::SIGUSR1)?;
    let (_, address) = reactor.listen(plan.listen)?;
    let mut tap = Tap::open(&plan.name, plan.trace.as_deref())?;
    let now = unix_micros();
    let service = Service::new(plan.service, now, plan.cold);
    tap.saw_at(now, started(service.plan(), !plan.cold));
    ready(address);
    let mut worker = Worker {
        reactor,
        tap,
        service,
        overtaken: Overtaken::new(plan.refuse_overtaken_us),
        faults: Faults::new(plan.faults),
        random: Pcg64Mcg::seed_from_u64(plan.seed),
        connections: HashMap::new(),
        running: BTreeMap::new(),
        writes: HashMap::new(),
        due: BTreeSet::new(),
        reports: VecDeque::new(),
        next: 0,
        entry: plan.register.map(|register| Entry::new(&plan.name, address, register, plan.seed)),
    };
    worker.run()
}

fn started(plan: &ServicePlan, first: bool) -> Seen {
    Seen::Started {
        start_capacity: plan.start_capacity,
        slow_start_us: plan.warm_us,
        concurrency: plan.lanes as f64,
        first,
    }
}

impl Worker {
    fn run(&mut self) -> io::Result<()> {
        let mut happened = Vec::new();
        loop {
            let now = unix_micros();
            let entry = self.entry.as_ref().map(|e| e.next_wake(now));
            let next = [self.due.first().map(|d| d.0), self.faults.next_us(now), entry];
            let next = next.into_iter().flatten().min();
            let wait = next.map_or(1_000_000, |at| (at - now).clamp(0, 1_000_000));
            self.reactor.poll(Some(Duration::from_micros(wait as u64)), &mut happened)?;
            let now = unix_micros();
            self.act_faults(now);
            if let Some(entry) = &mut self.entry {
                entry.advance(now, &mut self.reactor);
                if entry.has_left(now, self.running.is_empty()) {
                    return Ok(());
                }
            }
            for event in happened.drain(..) {
                if self.entry.as_mut().is_some_and(|e| e.handle_event(now, &mut self.reactor, &event)) {
                    continue;
                }
                match event {
                    ReactorEvent::Signal(signal) => match &mut self.entry {
                        Some(entry) => entry.drain(now, signal == libc::SIGTERM),
                        None => return Ok(()),
                    },
                    ReactorEvent::Accepted { connection, .. } => self.accepted(connection),
                    ReactorEvent::Received(id, bytes) => self.received(id, &bytes),
                    ReactorEvent::Closed { id, .. } => self.gone(id),
                    _ => {}
                }
            }
            self.fire();
            for function in self.service.take_fetched() {
                self.tap.saw(Seen::Fetched { function });
            }
        }
    }

    /// Faults that act by themselves.
    fn act_faults(&mut self, now: i64) {
        if self.faults.comes(now, &FaultKind::Die) {
            exit(137);
        }
        if let Some(micros) = self.faults.pause_us(now) {
            std::thread::sleep(Duration::from_micros(micros as u64));
        }
        if self.faults.comes(now, &FaultKind::RestartCold) {
            self.service.restart(now);
            let plan = self.service.plan().clone();
            self.tap.saw(started(&plan, false));
        }
        if self.faults.comes(now, &FaultKind::Flush) {
            self.service.flush();
        }
    }

    fn slow(&self, now: i64) -> f64 {
        let factor = |k: &FaultKind| if let FaultKind::Slow { factor } = k { Some(*factor) } else { None };
        self.faults.now(now, factor).unwrap_or(1.0)
    }

    fn slow_loads(&self, now: i64) -> f64 {
        let factor =
            |k: &FaultKind| if let FaultKind::SlowLoads { factor } = k { Some(*factor) } else { None };
        self.faults.now(now, factor).unwrap_or(1.0)
    }

    fn accepted(&mut self, id: Id) {
        if self.faults.acts(unix_micros(), &FaultKind::RefuseConnections) {
            return self.reactor.close(id);
        }
        self.connections.insert(id, MessageReader::new(Side::Request, Limits::default()));
    }

    fn received(&mut self, id: Id, bytes: &[u8]) {
        let Some(reader) = self.connections.get_mut(&id) else { return };
        match reader.feed(bytes) {
            Ok(None) => {}
            Ok(Some(message)) => match ParsedRequest::read(message) {
                Ok(asked) => self.asked(id, asked),
                Err(e) => self.reply(id, &Reply::BadRequest(e.to_string()), None),
            },
            Err(_) => {
                self.reactor.close(id);
                self.gone(id);
            }
        }
    }

    /// The gateway closed a connection: a call that waits is withdrawn, one that runs goes on.
    fn gone(&mut self, id: Id) {
        self.connections.remove(&id);
        let waiting: Vec<u64> = self.running.iter().filter(|r| r.1.connection == id).map(|r| *r.0).collect();
        for number in waiting {
            if self.service.withdraw(number) {
                self.running.remove(&number);
            }
        }
    }

    fn report(&mut self) -> LoadReport {
        let now = unix_micros();
        let util = self.service.running() as f64 / self.service.plan().lanes.max(1) as f64;
        let report = LoadReport {
            queue: Some(self.service.queue() as f64),
            inflight: Some(self.service.running() as f64),
            util: Some(util.min(1.0)),
        };
        let by = |k: &FaultKind| if let FaultKind::OldReports { by_us } = k { Some(*by_us) } else { None };
        self.reports.push_back((now, report));
        let age = self.faults.now(now, by).unwrap_or(0);
        while self.reports.len() > 1 && self.reports[1].0 <= now - age {
            self.reports.pop_front();
        }
        if self.reports.len() > 10_000 {
            self.reports.pop_front();
        }
        self.reports.front().map_or(report, |r| r.1)
    }

    fn reply(&mut self, id: Id, reply: &Reply, queue_depth: Option<u64>) {
        let report = self.report();
        self.reactor.write(id, &reply.encode(Some(report), queue_depth));
    }

    fn asked(&mut self, id: Id, asked: ParsedRequest) {
        let now = unix_micros();
        let gateway = asked.gateway.unwrap_or_default();
        match asked.order {
            WorkerRequest::Infer(call) => self.infer(id, gateway, call),
            // A worker whose calls hang hangs as a whole.
            _ if self.faults.acts(now, &FaultKind::Hang) => {}
            WorkerRequest::Ready => self.reply(id, &Reply::Ready, None),
            WorkerRequest::Count { function } => {
                self.tap.saw(Seen::LoadRequested { function: function.clone(), copies: 0, gateway });
                self.reply(id, &Reply::Copies(self.service.stands(&function, now)), None);
            }
            WorkerRequest::Load { function, copies } => {
                self.tap.saw(Seen::LoadRequested { function: function.clone(), copies, gateway });
                let load = self.slow_loads(now);
                match self.service.order(&function, copies, now, load) {
                    None => self.reply(id, &Reply::NoRoom, None),
                    Some(ready) => {
                        let (report, copies) = (self.report(), Reply::Copies(copies));
                        self.write_at(ready, id, copies.encode(Some(report), None));
                        self.due.insert((ready, Due::Loaded));
                    }
                }
            }
            WorkerRequest::Unload { function } => {
                self.service.unload(&function);
                self.reply(id, &Reply::Copies(0), None);
            }
        }
    }

    fn write_at(&mut self, at: i64, id: Id, bytes: Vec<u8>) {
        self.next += 1;
        self.writes.insert(self.next, (id, bytes));
        self.due.insert((at, Due::Write(self.next)));
    }

    fn infer(&mut self, id: Id, gateway: String, call: Call) {
        let now = unix_micros();
        let body = CallBody::read(&call.payload);
        let name = body.call.unwrap_or_else(|| format!("{gateway}/{}", call.request_id));
        let work_us = body.work_us.unwrap_or(self.service.plan().work_us);
        self.tap.saw_at(
            now,
            Seen::Received {
                call: name.clone(),
                class: call.class.clone(),
                key: call.key.as_deref().map(key_text),
                gateway: gateway.clone(),
                attempt: call.attempt,
                work_us,
                settings: call.settings.clone(),
            },
        );
        if self.overtaken.is_overtaken(now, &call.settings) {
            return self.turn_away(id, gateway, &call, name, Reply::Full);
        }
        let class_fault = |want: fn(&FaultKind) -> Option<&String>| {
            self.faults.now(now, |k| want(k).filter(|class| **class == call.class).map(|_| ())).is_some()
        };
        let refused =
            class_fault(|k| if let FaultKind::RefuseClass { class } = k { Some(class) } else { None });
        let fails = class_fault(|k| if let FaultKind::FailClass { class } = k { Some(class) } else { None });
        if refused || self.faults.acts(now, &FaultKind::Drain) {
            return self.turn_away(id, gateway, &call, name, Reply::Full);
        }
        if fails {
            return self.reply(id, &Reply::Failed("this class fails".into()), None);
        }
        let (slow, load) = (self.slow(now), self.slow_loads(now));
        let queue_depth = self.service.queue_depth(&call.function);
        self.next += 1;
        let number = self.next;
        match self.service.take(number, &call.function, work_us, now, slow, load) {
            Taken::Full => return self.turn_away(id, gateway, &call, name, Reply::Full),
            Taken::Miss => return self.turn_away(id, gateway, &call, name, Reply::Miss),
            Taken::Until(at) => {
                self.due.insert((at, Due::Done(number)));
            }
            Taken::Waiting => {
                let at = self.service.next_ready(now);
                self.due.extend(at.map(|at| (at, Due::Loaded)));
            }
        }
        self.running.insert(number, Running { connection: id, gateway, call, name, queue_depth });
    }

    fn turn_away(&mut self, id: Id, gateway: String, call: &Call, name: String, reply: Reply) {
        self.tap.saw(Seen::NeverRan { call: name, gateway, attempt: call.attempt });
        let queue_depth = self.service.queue_depth(&call.function);
        self.reply(id, &reply, Some(queue_depth));
    }

    fn fire(&mut self) {
        let now = unix_micros();
        while let Some((_, due)) = self.due.first().filter(|d| d.0 <= now).copied() {
            self.due.pop_first();
            match due {
                Due::Write(number) => {
                    if let Some((id, bytes)) = self.writes.remove(&number) {
                        self.reactor.write(id, &bytes);
                    }
                }
                Due::Done(number) => self.done(number),
                Due::Loaded => {}
            }
        }
        let slow = self.slow(now);
        while let Some((number, end)) = self.service.begin(now, slow) {
            self.due.insert((end, Due::Done(number)));
        }
    }

    /// A call's work is done: its effect happens, and its answer goes as the faults let it.
    fn done(&mut self, number: u64) {
        let now = unix_micros();
        self.service.ended();
        let Some(run) = self.running.remove(&number) else { return };
        let (name, key) = (run.name.clone(), run.call.key.as_deref().map(key_text));
        self.tap.saw_at(now, Seen::Ran { call: name.clone(), class: run.call.class.clone(), key });
        let payload = format!("ran {name} for {}", run.gateway).into_bytes();
        // A function of a version is known by name and digest; what runs is what its copy here is.
        let digest = run.call.function.split_once('@').map(|(_, digest)| digest.to_string());
        let ran = match self.faults.acts(now, &FaultKind::CorruptCopies) {
            true => Some(format!("sha256:{}", "0".repeat(64))),
            false => digest.or(Some("1".into())),
        };
        let served = Reply::Served { payload, ran };
        let report = self.report();
        let bytes = served.encode(Some(report), Some(run.queue_depth));
        let part = |k: &FaultKind| if let FaultKind::LoseAnswers { part } = k { Some(*part) } else { None };
        let late = |k: &FaultKind| if let FaultKind::Late { by_us } = k { Some(*by_us) } else { None };
        if self.faults.comes(now, &FaultKind::DieAfterAccept) {
            exit(137);
        }
        if self.faults.comes(now, &FaultKind::DieMidAnswer) {
            self.reactor.write(run.connection, &bytes[..bytes.len() / 2]);
            exit(137);
        }
        if self.faults.acts(now, &FaultKind::Hang) {
            return;
        }
        if self.faults.now(now, part).is_some_and(|part| self.random.random_bool(part.clamp(0.0, 1.0))) {
            self.reactor.close(run.connection);
            return self.gone(run.connection);
        }
        if self.faults.acts(now, &FaultKind::Garbage) {
            return self.reactor.write(run.connection, b"\x00\xffnot HTTP at all\r\n\r\n");
        }
        if self.faults.acts(now, &FaultKind::Bare503) {
            return self.reactor.write(run.connection, b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        }
        match self.faults.now(now, late) {
            Some(by) => self.write_at(now + by, run.connection, bytes),
            None => self.reactor.write(run.connection, &bytes),
        }
    }
}

/// A key as the client stated it: the gateway marks stated keys with `k:`.
fn key_text(key: &[u8]) -> String {
    let text = String::from_utf8_lossy(key).into_owned();
    text.strip_prefix("k:").map(str::to_string).unwrap_or(text)
}
