//! A link: a TCP proxy in a process of its own that emulates the network between two processes. Scheduled
//! faults delay, limit, drop, reset or refuse traffic, some of them in one direction only; the link counts
//! the traffic.

mod pipe;
mod plan;

pub use plan::{Direction, LinkFault, LinkFaultKind, LinkPlan};

use crate::counters::{now_us, TrafficCounters};
use pipe::{Condition, Pipe};
use plan::Flow;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slatevalve_http::{Limits, MessageDecoder, MessageEvent, Side};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The write buffer limit of a connection, in bytes; a connection that exceeds it is closed.
const MAX_BUFFERED: usize = 64 * 1024 * 1024;
/// The signals that end the process: SIGTERM and SIGINT.
const STOP_SIGNALS: [i32; 2] = [15, 2];
/// The longest time between two checks for due faults, in microseconds.
const MAX_WAIT_US: i64 = 50_000;

/// An accepted connection with its connection to the service.
struct ProxiedConnection {
    upstream: Id,
    to_service: Pipe,
    from_service: Pipe,
    request_reader: MessageDecoder,
    /// The last path segment of the current request.
    path: String,
}

struct Link {
    plan: LinkPlan,
    reactor: Reactor,
    /// Keyed by the accepted connection.
    connections: HashMap<Id, ProxiedConnection>,
    /// The accepted connection of each connection to the service.
    accepted_by_upstream: HashMap<Id, Id>,
    counters: TrafficCounters,
    random: Pcg64Mcg,
    /// For each fault of the plan, whether it has reset the connections. Other faults leave it false.
    is_reset: Vec<bool>,
}

/// Runs a link until SIGTERM or SIGINT; `ready` is called with the listening address.
///
/// # Errors
/// When a socket or the file of the counters cannot be opened, or that file cannot be written.
pub fn run_link(plan: LinkPlan, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let mut reactor = Reactor::new(MAX_BUFFERED)?;
    for signal in STOP_SIGNALS {
        reactor.signal(signal)?;
    }
    let (_, address) = reactor.listen(plan.listen)?;
    let mut link = Link {
        reactor,
        connections: HashMap::new(),
        accepted_by_upstream: HashMap::new(),
        counters: TrafficCounters::create(plan.counters.as_deref())?,
        random: Pcg64Mcg::seed_from_u64(plan.seed),
        is_reset: vec![false; plan.faults.len()],
        plan,
    };
    ready(address);
    let mut events = Vec::new();
    loop {
        let wait_us = (link.next_due_us() - now_us()).clamp(0, MAX_WAIT_US);
        link.reactor.poll(Some(Duration::from_micros(wait_us as u64)), &mut events)?;
        for event in events.drain(..) {
            if matches!(event, ReactorEvent::Signal(_)) {
                return link.counters.flush();
            }
            link.handle_event(event)?;
        }
        link.advance()?;
    }
}

impl Link {
    fn next_due_us(&self) -> i64 {
        let connections = self.connections.values();
        let pipes = connections.flat_map(|connection| [&connection.to_service, &connection.from_service]);
        pipes.filter_map(Pipe::next_due_us).min().unwrap_or(i64::MAX)
    }

    fn is_refusing(&self, now_us: i64) -> bool {
        let mut active = self.plan.faults.iter().filter(|fault| fault.is_active(now_us));
        active.any(|fault| fault.kind == LinkFaultKind::Refuse)
    }

    fn handle_event(&mut self, event: ReactorEvent) -> io::Result<()> {
        let now = now_us();
        match event {
            ReactorEvent::Accepted { connection, .. } if self.is_refusing(now) => {
                self.reactor.close(connection);
            }
            ReactorEvent::Accepted { connection, .. } => self.connect_upstream(now, connection)?,
            ReactorEvent::Received(id, bytes) => self.forward(now, id, bytes)?,
            ReactorEvent::Closed { id, .. } => {
                let accepted = self.accepted_by_upstream.get(&id).copied().unwrap_or(id);
                self.close(accepted);
            }
            ReactorEvent::AcceptFailed { listener, .. } => self.reactor.resume_accepting(listener),
            ReactorEvent::Connected(_)
            | ReactorEvent::Drained(_)
            | ReactorEvent::Readable(_)
            | ReactorEvent::Signal(_)
            | ReactorEvent::Woken => {}
        }
        Ok(())
    }

    fn connect_upstream(&mut self, now: i64, accepted: Id) -> io::Result<()> {
        self.counters.bucket(now)?.connections += 1;
        let Ok(upstream) = self.reactor.connect(self.plan.to) else {
            self.reactor.close(accepted);
            return Ok(());
        };
        let limits = Limits { body: usize::MAX, ..Limits::default() };
        let connection = ProxiedConnection {
            upstream,
            to_service: Pipe::default(),
            from_service: Pipe::default(),
            request_reader: MessageDecoder::new(Side::Request, limits),
            path: String::new(),
        };
        self.connections.insert(accepted, connection);
        self.accepted_by_upstream.insert(upstream, accepted);
        Ok(())
    }

    /// Counts received bytes and queues them for the other side.
    fn forward(&mut self, now: i64, id: Id, bytes: Vec<u8>) -> io::Result<()> {
        let (accepted, flow) = match self.accepted_by_upstream.get(&id) {
            Some(accepted) => (*accepted, Flow::FromService),
            None => (id, Flow::ToService),
        };
        let Some(connection) = self.connections.get_mut(&accepted) else { return Ok(()) };
        let bucket = self.counters.bucket(now)?;
        match flow {
            Flow::ToService => {
                bucket.bytes_to_service += bytes.len() as u64;
                connection.read_requests(&bytes, |path| bucket.count_request(path));
            }
            Flow::FromService => bucket.bytes_from_service += bytes.len() as u64,
        }
        let condition = Condition::new(&self.plan.faults, now, flow);
        let jitter_share = if condition.jitter_us > 0 { self.random.random_range(0.0..1.0) } else { 0.0 };
        connection.pipe(flow).push(now, bytes, condition, jitter_share);
        Ok(())
    }

    fn close(&mut self, accepted: Id) {
        if let Some(connection) = self.connections.remove(&accepted) {
            self.accepted_by_upstream.remove(&connection.upstream);
            self.reactor.close(connection.upstream);
            self.reactor.close(accepted);
        }
    }

    /// Applies resets and writes all bytes that are due.
    fn advance(&mut self) -> io::Result<()> {
        let now = now_us();
        self.apply_resets(now);
        for (accepted, connection) in &mut self.connections {
            while let Some(bytes) = connection.to_service.pop_due(now) {
                self.reactor.write(connection.upstream, &bytes);
            }
            while let Some(bytes) = connection.from_service.pop_due(now) {
                self.reactor.write(*accepted, &bytes);
            }
        }
        self.counters.bucket(now).map(drop)
    }

    fn apply_resets(&mut self, now: i64) {
        for index in 0..self.plan.faults.len() {
            let fault = &self.plan.faults[index];
            if fault.kind == LinkFaultKind::Reset && now >= fault.from_us && !self.is_reset[index] {
                self.is_reset[index] = true;
                let accepted: Vec<Id> = self.connections.keys().copied().collect();
                accepted.into_iter().for_each(|id| self.close(id));
            }
        }
    }
}

impl ProxiedConnection {
    fn pipe(&mut self, flow: Flow) -> &mut Pipe {
        match flow {
            Flow::ToService => &mut self.to_service,
            Flow::FromService => &mut self.from_service,
        }
    }

    /// Calls `count` with the last path segment of each request that ends in these bytes. Bytes that are not
    /// HTTP are forwarded but not counted as requests.
    fn read_requests(&mut self, bytes: &[u8], mut count: impl FnMut(&str)) {
        let mut parts = Vec::new();
        let _ = self.request_reader.feed(bytes, &mut parts);
        for part in parts {
            match part {
                MessageEvent::Head(head) => {
                    self.path = head.target.rsplit('/').next().unwrap_or_default().to_string();
                }
                MessageEvent::End => count(&self.path),
                MessageEvent::Body(_) => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
