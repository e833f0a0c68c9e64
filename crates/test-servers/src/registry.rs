//! The registry's process: sockets around [`slatevalve_oci::Registry`], and its faults. It serves plug-ins from a folder
//! for those that have no registry of their own, and misbehaves on request for the tests.

use crate::tap::unix_micros;
use serde::{Deserialize, Serialize};
use serde_json::json;
use slatevalve_blobs::{BlobStore, Disk};
use slatevalve_http::{Limits, Message, MessageReader, Side};
use slatevalve_oci::{Access, Credentials, Registry};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Bytes of a request: a part of a push.
const MAX_BODY: usize = 64 * 1024 * 1024;
/// What waits to be written to one connection: a blob.
const MAX_BUFFERED: usize = 1024 * 1024 * 1024;
/// Bytes that an endless body adds whenever all before was taken, and at most, so that it ends for a test that fails.
const ENDLESS_PIECE: usize = 64 * 1024;
const ENDLESS_MOST: usize = 256 * 1024 * 1024;

/// What goes wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RegistryFaultKind {
    /// The connection ends after so many bytes of it.
    Cut(usize),
    /// Nothing of it comes.
    Stall,
    /// Its last byte is another.
    Flip,
    /// Its body has no end.
    Endless,
    /// It is a redirect to this place.
    Redirect(String),
    /// It is this status, with `Retry-After: 0` for 429 and 503.
    Status(u16),
    /// It comes so many milliseconds late.
    Late(u64),
}

/// A fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryFault {
    /// Requests whose "METHOD TARGET" holds this text.
    pub on: String,
    /// How many of them it befalls; 0 for all.
    pub times: u64,
    /// What happens.
    pub kind: RegistryFaultKind,
}

/// All that the registry is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct RegistryPlan {
    /// Where it listens; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// Its folder.
    pub folder: PathBuf,
    /// Name and password, where it asks for them.
    pub user: Option<(String, String)>,
    /// Whether it asks for a token instead, to be had with them.
    pub tokens: bool,
    /// The token that it gives: a text that cannot be guessed.
    pub token: String,
    /// What goes wrong.
    pub faults: Vec<RegistryFault>,
    /// Where it notes each request, a JSON object a line.
    pub trace: Option<PathBuf>,
}

impl Default for RegistryPlan {
    fn default() -> Self {
        RegistryPlan {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            folder: PathBuf::from("registry"),
            user: None,
            tokens: false,
            token: String::new(),
            faults: Vec::new(),
            trace: None,
        }
    }
}

struct Peer {
    reader: MessageReader,
    /// Bytes that an endless body still sends.
    endless: usize,
}

struct Server {
    registry: Registry<Disk>,
    reactor: Reactor,
    peers: HashMap<Id, Peer>,
    faults: Vec<(RegistryFault, u64)>,
    trace: Option<File>,
    /// Answers that come late, by time and order.
    late: BTreeMap<(i64, u64), (Id, Vec<u8>)>,
    count: u64,
}

/// Runs a registry until it is killed or told to stop by SIGTERM or SIGINT; `ready` is told where it listens.
///
/// # Errors
/// When the folder or a socket cannot be had.
pub fn run_registry(plan: RegistryPlan, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let mut reactor = Reactor::new(MAX_BUFFERED)?;
    for signal in [libc::SIGTERM, libc::SIGINT] {
        reactor.signal(signal)?;
    }
    let (_, address) = reactor.listen(plan.listen)?;
    let credentials = plan.user.map(|(user, password)| Credentials { user, password });
    let access = match credentials {
        None => Access::Open,
        Some(credentials) if plan.tokens => Access::Token(credentials, format!("http://{address}")),
        Some(credentials) => Access::Basic(credentials),
    };
    let store = BlobStore::new(Disk::new(&plan.folder)?);
    let registry = Registry::open(store, access, &plan.token).map_err(io::Error::other)?;
    let trace = plan.trace.map(File::create).transpose()?;
    let faults = plan.faults.into_iter().map(|f| (f, 0)).collect();
    let (peers, late) = (HashMap::new(), BTreeMap::new());
    let mut server = Server { registry, reactor, peers, faults, trace, late, count: 0 };
    ready(address);
    let mut happened = Vec::new();
    loop {
        server.reactor.poll(Some(server.wait()), &mut happened)?;
        for event in happened.drain(..) {
            if let ReactorEvent::Signal(_) = event {
                return Ok(());
            }
            server.handle_event(event)?;
        }
        server.send_late();
        server.send_endless();
    }
}

impl Server {
    fn wait(&self) -> Duration {
        let due = self.late.keys().next().map(|(at, _)| at.saturating_sub(unix_micros()).max(0) as u64);
        let longest = if self.peers.values().any(|p| p.endless > 0) { 1_000 } else { 1_000_000 };
        Duration::from_micros(due.unwrap_or(longest).min(longest))
    }

    /// Endless bodies go on wherever all before was taken.
    fn send_endless(&mut self) {
        for (id, peer) in self.peers.iter_mut().filter(|(_, p)| p.endless > 0) {
            if self.reactor.pending(*id) == 0 {
                peer.endless = peer.endless.saturating_sub(ENDLESS_PIECE);
                self.reactor.write(*id, &[b'x'; ENDLESS_PIECE]);
            }
        }
    }

    fn send_late(&mut self) {
        while let Some(entry) = self.late.first_entry().filter(|e| e.key().0 <= unix_micros()) {
            let (id, bytes) = entry.remove();
            self.reactor.write(id, &bytes);
        }
    }

    fn handle_event(&mut self, event: ReactorEvent) -> io::Result<()> {
        match event {
            ReactorEvent::Accepted { connection, .. } => {
                let limits = Limits { body: MAX_BODY, ..Limits::default() };
                let reader = MessageReader::new(Side::Request, limits);
                self.peers.insert(connection, Peer { reader, endless: 0 });
            }
            ReactorEvent::Received(id, bytes) => match self.peers.get_mut(&id).map(|p| p.reader.feed(&bytes))
            {
                Some(Ok(Some(request))) => self.answer(id, &request)?,
                Some(Err(_)) => {
                    self.reactor.write(id, b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
                    self.reactor.finish(id);
                }
                Some(Ok(None)) | None => {}
            },
            ReactorEvent::Closed { id, .. } => {
                self.peers.remove(&id);
            }
            ReactorEvent::AcceptFailed { listener, .. } => self.reactor.resume(listener),
            ReactorEvent::Connected(_)
            | ReactorEvent::Drained(_)
            | ReactorEvent::Signal(_)
            | ReactorEvent::Woken => {}
        }
        Ok(())
    }

    fn answer(&mut self, id: Id, request: &Message) -> io::Result<()> {
        let line = format!("{} {}", request.head.method, request.head.target);
        let fault =
            self.faults.iter_mut().find(|(f, n)| line.contains(&f.on) && (f.times == 0 || *n < f.times));
        let fault = fault.map(|(fault, n)| {
            *n += 1;
            fault.kind.clone()
        });
        let mut bytes = self.registry.answer(request);
        if let Some(trace) = &mut self.trace {
            let status: u16 =
                bytes.get(9..12).and_then(|s| std::str::from_utf8(s).ok()?.parse().ok()).unwrap_or(0);
            writeln!(trace, "{}", json!({"asked": line, "status": status, "fault": fault.is_some()}))?;
        }
        match fault {
            None => {}
            Some(RegistryFaultKind::Stall) => return Ok(()),
            Some(RegistryFaultKind::Flip) => bytes.last_mut().into_iter().for_each(|b| *b ^= 1),
            Some(RegistryFaultKind::Cut(at)) => {
                bytes.truncate(at);
                self.reactor.write(id, &bytes);
                self.reactor.finish(id);
                return Ok(());
            }
            Some(RegistryFaultKind::Endless) => {
                bytes = b"HTTP/1.1 200 OK\r\n\r\nx".to_vec();
                self.peers.get_mut(&id).into_iter().for_each(|p| p.endless = ENDLESS_MOST);
            }
            Some(RegistryFaultKind::Redirect(place)) => {
                let head =
                    format!("HTTP/1.1 307 Elsewhere\r\nLocation: {place}\r\nContent-Length: 0\r\n\r\n");
                bytes = head.into_bytes();
            }
            Some(RegistryFaultKind::Status(status)) => {
                let head = format!("HTTP/1.1 {status} Fault\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n");
                bytes = head.into_bytes();
            }
            Some(RegistryFaultKind::Late(ms)) => {
                self.count += 1;
                let at = unix_micros().saturating_add(i64::try_from(ms).unwrap_or(0).saturating_mul(1_000));
                self.late.insert((at, self.count), (id, bytes));
                return Ok(());
            }
        }
        self.reactor.write(id, &bytes);
        Ok(())
    }
}
