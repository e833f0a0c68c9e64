//! The test worker: an event loop around a [`Service`], with the worker protocol and scripted faults.

mod calls;
mod faults;
mod plan;
mod registration;
mod service;
mod superseded;

pub use faults::{Fault, FaultKind};
pub use plan::{RegisterPlan, WorkerPlan};
pub use service::ServicePlan;

use crate::clock::unix_micros;
use crate::listen::listening_reactor;
use crate::trace_writer::TraceWriter;
use calls::AcceptedCall;
use faults::Faults;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use registration::{AfterDrain, Registration};
use service::Service;
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_trace_checker::trace::TraceEvent;
use slatevalve_worker_protocol::{
    Limits, LoadReport, MessageReader, ParsedRequest, Reply, Side, WorkerRequest,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::process::exit;
use std::thread;
use std::time::Duration;
use superseded::SupersededDocuments;

/// The write buffer limit of a connection, in bytes.
const MAX_BUFFERED: usize = 16 * 1024 * 1024;
/// The longest wait of the event loop, in microseconds.
const MAX_WAIT_US: i64 = 1_000_000;
/// The number of past load reports that are kept to simulate outdated reports.
const MAX_REPORTS: usize = 10_000;
/// The exit code after a scripted crash, as after SIGKILL.
const CRASH_EXIT_CODE: i32 = 137;

/// A timer event. Events that are due at the same time are handled in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TimerEvent {
    /// The call with this number completes.
    Completed(u64),
    /// The pending write with this number is due.
    Write(u64),
    /// A load ends; waiting calls may start.
    Loaded,
}

/// Bytes that are written to a connection at a later time.
struct PendingWrite {
    connection: Id,
    bytes: Vec<u8>,
}

struct TimedReport {
    at_us: i64,
    report: LoadReport,
}

struct Worker {
    reactor: Reactor,
    trace: TraceWriter,
    service: Service,
    faults: Faults,
    superseded: SupersededDocuments,
    random: Pcg64Mcg,
    connections: HashMap<Id, MessageReader>,
    /// Running and waiting calls, by number.
    calls: BTreeMap<u64, AcceptedCall>,
    writes: HashMap<u64, PendingWrite>,
    timers: BTreeSet<(i64, TimerEvent)>,
    /// Load reports of the recent past, oldest first.
    reports: VecDeque<TimedReport>,
    /// The last assigned number; calls and pending writes share the sequence.
    last_number: u64,
    registration: Option<Registration>,
}

/// Runs a worker until a signal or a fault ends it; `ready` is called with the listening address.
///
/// # Errors
/// When the socket or the trace cannot be opened, or the poller fails.
pub fn run_worker(plan: WorkerPlan, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let signals = [libc::SIGTERM, libc::SIGUSR1];
    let (reactor, address) = listening_reactor(plan.listen, MAX_BUFFERED, &signals)?;
    let mut trace = TraceWriter::open(&plan.name, plan.trace.as_deref())?;
    let now = unix_micros();
    let service = Service::new(plan.service, now, plan.is_restart);
    trace.record_at(now, start_event(service.plan(), !plan.is_restart));
    ready(address);
    let mut worker = Worker {
        reactor,
        trace,
        service,
        superseded: SupersededDocuments::new(plan.refuse_superseded_us),
        faults: Faults::new(plan.faults),
        random: Pcg64Mcg::seed_from_u64(plan.seed),
        connections: HashMap::new(),
        calls: BTreeMap::new(),
        writes: HashMap::new(),
        timers: BTreeSet::new(),
        reports: VecDeque::new(),
        last_number: 0,
        registration: plan
            .register
            .map(|register| Registration::new(&plan.name, address, register, plan.seed)),
    };
    worker.run()
}

fn start_event(plan: &ServicePlan, is_first_start: bool) -> TraceEvent {
    TraceEvent::Started {
        start_capacity: plan.start_capacity,
        slow_start_us: plan.slow_start_us,
        concurrency: plan.concurrency as f64,
        first: is_first_start,
    }
}

impl Worker {
    fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        loop {
            let wait = self.wait(unix_micros());
            self.reactor.poll(Some(wait), &mut events)?;
            let now = unix_micros();
            self.apply_faults(now);
            if let Some(registration) = &mut self.registration {
                registration.advance(now, &mut self.reactor);
                if registration.is_deregistered(now, self.calls.is_empty()) {
                    return Ok(());
                }
            }
            for event in events.drain(..) {
                if self.handle_event(now, event).is_break() {
                    return Ok(());
                }
            }
            self.run_timers();
            for function in self.service.take_fetched() {
                self.trace.record(TraceEvent::Fetched { function });
            }
        }
    }

    /// The time until the next timer, fault or action of the registration.
    fn wait(&self, now: i64) -> Duration {
        let timer = self.timers.first().map(|(at_us, _)| *at_us);
        let registration = self.registration.as_ref().map(|registration| registration.next_wake(now));
        let next = [timer, self.faults.next_start_us(now), registration].into_iter().flatten().min();
        let wait_us = next.map_or(MAX_WAIT_US, |at_us| (at_us - now).clamp(0, MAX_WAIT_US));
        Duration::from_micros(wait_us as u64)
    }

    /// Handles an event; breaks on a signal that ends the worker at once.
    fn handle_event(&mut self, now: i64, event: ReactorEvent) -> ControlFlow<()> {
        if let Some(registration) = &mut self.registration {
            if registration.handle_event(now, &mut self.reactor, &event) {
                return ControlFlow::Continue(());
            }
        }
        match event {
            ReactorEvent::Signal(signal) => match &mut self.registration {
                Some(registration) if signal == libc::SIGTERM => {
                    registration.drain(now, AfterDrain::Deregister);
                }
                Some(registration) => registration.drain(now, AfterDrain::Stay),
                None => return ControlFlow::Break(()),
            },
            ReactorEvent::Accepted { connection, .. } => self.accept(connection),
            ReactorEvent::Received(id, bytes) => self.receive(id, &bytes),
            ReactorEvent::Closed { id, .. } => self.disconnect(id),
            _ => {}
        }
        ControlFlow::Continue(())
    }

    /// Applies the faults that do not depend on a request.
    fn apply_faults(&mut self, now: i64) {
        if self.faults.occurs(now, &FaultKind::Die) {
            exit(CRASH_EXIT_CODE);
        }
        if let Some(pause_us) = self.faults.take_pause_us(now) {
            thread::sleep(Duration::from_micros(pause_us as u64));
        }
        if self.faults.occurs(now, &FaultKind::RestartCold) {
            self.service.restart(now);
            self.trace.record(start_event(self.service.plan(), false));
        }
        if self.faults.occurs(now, &FaultKind::Flush) {
            self.service.flush();
        }
    }

    fn accept(&mut self, id: Id) {
        if self.faults.is_active(unix_micros(), &FaultKind::RefuseConnections) {
            return self.reactor.close(id);
        }
        self.connections.insert(id, MessageReader::new(Side::Request, Limits::default()));
    }

    fn receive(&mut self, id: Id, bytes: &[u8]) {
        let Some(reader) = self.connections.get_mut(&id) else { return };
        match reader.feed(bytes) {
            Ok(None) => {}
            Ok(Some(message)) => match ParsedRequest::read(message) {
                Ok(request) => self.handle_request(id, request),
                Err(error) => self.reply(id, &Reply::BadRequest(error.to_string()), None),
            },
            Err(_) => {
                self.reactor.close(id);
                self.disconnect(id);
            }
        }
    }

    /// Cancels the waiting calls of a closed connection. Running calls continue, and their effects happen.
    fn disconnect(&mut self, id: Id) {
        self.connections.remove(&id);
        let service = &mut self.service;
        self.calls.retain(|number, call| call.connection != id || !service.cancel(*number));
    }

    fn handle_request(&mut self, id: Id, request: ParsedRequest) {
        let now = unix_micros();
        let gateway = request.gateway.unwrap_or_default();
        match request.request {
            WorkerRequest::Infer(call) => self.handle_call(id, gateway, call),
            // The fault applies to other requests too; for calls that ran, `respond` applies it.
            _ if self.faults.is_active(now, &FaultKind::Hang) => {}
            WorkerRequest::Ready => self.reply(id, &Reply::Ready, None),
            WorkerRequest::Count { function } => {
                self.trace.record(TraceEvent::LoadRequested {
                    function: function.clone(),
                    copies: 0,
                    gateway,
                });
                self.reply(id, &Reply::Copies(self.service.loaded_copies(&function, now)), None);
            }
            WorkerRequest::Load { function, copies } => self.load(id, gateway, &function, copies, now),
            WorkerRequest::Unload { function } => {
                self.service.unload(&function);
                self.reply(id, &Reply::Copies(0), None);
            }
        }
    }

    /// Loads copies; the response is written at the end of the load.
    fn load(&mut self, id: Id, gateway: String, function: &str, copies: u32, now: i64) {
        self.trace.record(TraceEvent::LoadRequested { function: function.into(), copies, gateway });
        let load_factor = self.faults.load_factor(now);
        match self.service.load(function, copies, now, load_factor) {
            None => self.reply(id, &Reply::NoRoom, None),
            Some(ready_us) => {
                let report = self.load_report();
                self.write_at(ready_us, id, Reply::Copies(copies).encode(Some(report), None));
                self.timers.insert((ready_us, TimerEvent::Loaded));
            }
        }
    }

    /// Returns the load report for the next response: the current one, or an outdated one while a fault
    /// requires it.
    fn load_report(&mut self) -> LoadReport {
        let now = unix_micros();
        let utilization = self.service.running() as f64 / self.service.plan().concurrency.max(1) as f64;
        let report = LoadReport {
            queue: Some(self.service.queue_len() as f64),
            inflight: Some(self.service.running() as f64),
            util: Some(utilization.min(1.0)),
        };
        self.reports.push_back(TimedReport { at_us: now, report });
        let newest_us = now - self.faults.report_age_us(now);
        while self.reports.get(1).is_some_and(|next| next.at_us <= newest_us) {
            self.reports.pop_front();
        }
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reports.front().map_or(report, |timed| timed.report)
    }

    fn reply(&mut self, id: Id, reply: &Reply, queue_depth: Option<u64>) {
        let report = self.load_report();
        self.reactor.write(id, &reply.encode(Some(report), queue_depth));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn write_at(&mut self, at_us: i64, connection: Id, bytes: Vec<u8>) {
        let number = self.next_number();
        self.writes.insert(number, PendingWrite { connection, bytes });
        self.timers.insert((at_us, TimerEvent::Write(number)));
    }

    /// Handles the timer events that are due, then starts waiting calls.
    fn run_timers(&mut self) {
        let now = unix_micros();
        while let Some((_, event)) = self.timers.first().filter(|(at_us, _)| *at_us <= now).copied() {
            self.timers.pop_first();
            match event {
                TimerEvent::Write(number) => {
                    if let Some(write) = self.writes.remove(&number) {
                        self.reactor.write(write.connection, &write.bytes);
                    }
                }
                TimerEvent::Completed(number) => self.complete_call(number),
                TimerEvent::Loaded => {}
            }
        }
        let work_factor = self.faults.work_factor(now);
        while let Some((number, completion_us)) = self.service.start_next(now, work_factor) {
            self.timers.insert((completion_us, TimerEvent::Completed(number)));
        }
    }
}
