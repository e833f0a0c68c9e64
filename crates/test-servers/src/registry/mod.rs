//! The OCI registry: an event loop around [`slatevalve_oci::Registry`] with scripted faults. Sites without an
//! OCI registry also use it to serve plug-ins from a folder.

mod plan;

pub use plan::{RegistryFault, RegistryFaultKind, RegistryPlan};

use crate::clock::unix_micros;
use crate::listen::listening_reactor;
use serde_json::json;
use slatevalve_blobs::{BlobStore, Disk};
use slatevalve_http::{Limits, Message, MessageReader, Side};
use slatevalve_oci::{Access, Credentials, Registry};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// The size limit of a request body, such as a chunk of a push, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;
/// The write buffer limit of a connection, in bytes; a response may contain a whole blob.
const MAX_BUFFERED: usize = 1024 * 1024 * 1024;
/// The number of bytes that are added to an endless body whenever the write buffer is empty.
const ENDLESS_PIECE: usize = 64 * 1024;
/// The size limit of an endless body, in bytes, so that it ends even where the client fails to stop reading.
const MAX_ENDLESS: usize = 256 * 1024 * 1024;
/// The longest wait of the event loop, in microseconds.
const MAX_WAIT_US: u64 = 1_000_000;
/// The same while an endless body is sent.
const ENDLESS_WAIT_US: u64 = 1_000;
const BAD_REQUEST: &[u8] = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
/// The position of the status in a response, after `HTTP/1.1 `.
const STATUS_POSITION: std::ops::Range<usize> = 9..12;

struct Peer {
    reader: MessageReader,
    /// The remaining bytes of an endless body; 0 without one.
    endless_remaining: usize,
}

struct CountedFault {
    fault: RegistryFault,
    /// The number of requests that the fault has affected.
    count: u64,
}

/// A response that is sent at a later time.
struct DelayedResponse {
    connection: Id,
    bytes: Vec<u8>,
}

/// The time of a delayed response, in microseconds of the Unix clock, and its number for the order at equal
/// times.
type DueTime = (i64, u64);

struct Server {
    registry: Registry<Disk>,
    reactor: Reactor,
    peers: HashMap<Id, Peer>,
    faults: Vec<CountedFault>,
    trace: Option<File>,
    delayed: BTreeMap<DueTime, DelayedResponse>,
    last_delayed: u64,
}

/// Runs a registry until SIGTERM or SIGINT; `ready` is called with the listening address.
///
/// # Errors
/// When the folder, the trace or a socket cannot be opened, the trace cannot be written, or the poller fails.
pub fn run_registry(plan: RegistryPlan, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let signals = [libc::SIGTERM, libc::SIGINT];
    let (reactor, address) = listening_reactor(plan.listen, MAX_BUFFERED, &signals)?;
    let credentials = plan.user.map(|(user, password)| Credentials { user, password });
    let access = match credentials {
        None => Access::Open,
        Some(credentials) if plan.tokens => Access::Token(credentials, format!("http://{address}")),
        Some(credentials) => Access::Basic(credentials),
    };
    let store = BlobStore::new(Disk::new(&plan.folder)?);
    let mut server = Server {
        registry: Registry::open(store, access, &plan.token, plan.instance).map_err(io::Error::other)?,
        reactor,
        peers: HashMap::new(),
        faults: plan.faults.into_iter().map(|fault| CountedFault { fault, count: 0 }).collect(),
        trace: plan.trace.map(File::create).transpose()?,
        delayed: BTreeMap::new(),
        last_delayed: 0,
    };
    ready(address);
    server.run()
}

impl Server {
    fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        loop {
            self.reactor.poll(Some(self.wait()), &mut events)?;
            for event in events.drain(..) {
                if let ReactorEvent::Signal(_) = event {
                    return Ok(());
                }
                self.handle_event(event)?;
            }
            self.send_delayed();
            self.send_endless();
        }
    }

    fn wait(&self) -> Duration {
        let is_endless = self.peers.values().any(|peer| peer.endless_remaining > 0);
        let longest_us = if is_endless { ENDLESS_WAIT_US } else { MAX_WAIT_US };
        let next = self.delayed.keys().next();
        let until_us = next.map(|(at_us, _)| at_us.saturating_sub(unix_micros()).max(0) as u64);
        Duration::from_micros(until_us.unwrap_or(longest_us).min(longest_us))
    }

    /// Continues endless bodies on the connections whose write buffer is empty.
    fn send_endless(&mut self) {
        for (id, peer) in self.peers.iter_mut().filter(|(_, peer)| peer.endless_remaining > 0) {
            if self.reactor.pending(*id) == 0 {
                peer.endless_remaining = peer.endless_remaining.saturating_sub(ENDLESS_PIECE);
                self.reactor.write(*id, &[b'x'; ENDLESS_PIECE]);
            }
        }
    }

    fn send_delayed(&mut self) {
        while let Some(entry) = self.delayed.first_entry().filter(|entry| entry.key().0 <= unix_micros()) {
            let DelayedResponse { connection, bytes } = entry.remove();
            self.reactor.write(connection, &bytes);
        }
    }

    fn handle_event(&mut self, event: ReactorEvent) -> io::Result<()> {
        match event {
            ReactorEvent::Accepted { connection, .. } => {
                let limits = Limits { body: MAX_BODY, ..Limits::default() };
                let reader = MessageReader::new(Side::Request, limits);
                self.peers.insert(connection, Peer { reader, endless_remaining: 0 });
            }
            ReactorEvent::Received(id, bytes) => self.receive(id, &bytes)?,
            ReactorEvent::Closed { id, .. } => drop(self.peers.remove(&id)),
            ReactorEvent::AcceptFailed { listener, .. } => self.reactor.resume_accepting(listener),
            _ => {}
        }
        Ok(())
    }

    fn receive(&mut self, id: Id, bytes: &[u8]) -> io::Result<()> {
        match self.peers.get_mut(&id).map(|peer| peer.reader.feed(bytes)) {
            Some(Ok(Some(request))) => self.handle_request(id, &request)?,
            Some(Err(_)) => {
                self.reactor.write(id, BAD_REQUEST);
                self.reactor.close_gracefully(id);
            }
            Some(Ok(None)) | None => {}
        }
        Ok(())
    }

    fn handle_request(&mut self, id: Id, request: &Message) -> io::Result<()> {
        let line = format!("{} {}", request.head.method, request.head.target);
        let fault = self.take_fault(&line);
        let response = self.registry.answer(request);
        self.record(&line, &response, fault.is_some())?;
        match fault {
            Some(fault) => self.send_faulty(id, response, fault),
            None => self.reactor.write(id, &response),
        }
        Ok(())
    }

    /// The first fault in the order of the plan that affects a request; counts the request for it.
    fn take_fault(&mut self, line: &str) -> Option<RegistryFaultKind> {
        let is_affecting = |counted: &&mut CountedFault| {
            let CountedFault { fault, count } = counted;
            line.contains(&fault.on) && (fault.times == 0 || *count < fault.times)
        };
        let counted = self.faults.iter_mut().find(is_affecting)?;
        counted.count += 1;
        Some(counted.fault.kind.clone())
    }

    /// Writes a trace line with the status that the response has without the fault.
    fn record(&mut self, line: &str, response: &[u8], is_faulty: bool) -> io::Result<()> {
        let Some(trace) = &mut self.trace else { return Ok(()) };
        let status = response.get(STATUS_POSITION).and_then(|digits| std::str::from_utf8(digits).ok());
        let status: u16 = status.and_then(|digits| digits.parse().ok()).unwrap_or(0);
        writeln!(trace, "{}", json!({"asked": line, "status": status, "fault": is_faulty}))
    }

    fn send_faulty(&mut self, id: Id, mut response: Vec<u8>, fault: RegistryFaultKind) {
        match fault {
            RegistryFaultKind::Stall => {}
            RegistryFaultKind::Flip => {
                if let Some(last) = response.last_mut() {
                    *last ^= 1;
                }
                self.reactor.write(id, &response);
            }
            RegistryFaultKind::Cut(length) => {
                response.truncate(length);
                self.reactor.write(id, &response);
                self.reactor.close_gracefully(id);
            }
            RegistryFaultKind::Endless => {
                if let Some(peer) = self.peers.get_mut(&id) {
                    peer.endless_remaining = MAX_ENDLESS;
                }
                self.reactor.write(id, b"HTTP/1.1 200 OK\r\n\r\nx");
            }
            RegistryFaultKind::Redirect(location) => {
                let head =
                    format!("HTTP/1.1 307 Elsewhere\r\nLocation: {location}\r\nContent-Length: 0\r\n\r\n");
                self.reactor.write(id, head.as_bytes());
            }
            RegistryFaultKind::Status(status) => {
                let head = format!("HTTP/1.1 {status} Fault\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n");
                self.reactor.write(id, head.as_bytes());
            }
            RegistryFaultKind::Late(delay_ms) => self.delay(id, response, delay_ms),
        }
    }

    fn delay(&mut self, connection: Id, bytes: Vec<u8>, delay_ms: u64) {
        let delay_us = i64::try_from(delay_ms).unwrap_or(0).saturating_mul(1_000);
        self.last_delayed += 1;
        let due = (unix_micros().saturating_add(delay_us), self.last_delayed);
        self.delayed.insert(due, DelayedResponse { connection, bytes });
    }
}
