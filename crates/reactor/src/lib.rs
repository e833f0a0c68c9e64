//! The one loop: readiness, sockets, bounded write buffers and signals.
//!
//! It guards against everything a socket may do to a single-threaded program: a peer that reads slowly (writes
//! are buffered up to a limit, then the connection is closed), one that never finishes connecting (the caller
//! closes it by its own timer), one that floods (each turn reads a bounded amount). The gateway and the stand-ins
//! call it; it knows no protocol and decides nothing. Connection numbers are never used twice, so news of a
//! closed connection can never be taken for that of a later one.
//!
//! Three things hold whatever comes between two lines. Bytes leave at the beginning of a turn and never while its news are
//! being gathered, so that what a turn brings can still take them back ([`Reactor::discard_unsent`]). What a peer said before its
//! end is told before that end, also where the end shows itself in a failing write. A connection that is closed from here in
//! order is half-closed and read out first, as a close over unread bytes makes the kernel destroy what the peer has not read.
#![warn(missing_docs)]

use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::collections::{HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// Bytes read from one connection in one turn, so that a flood from one peer leaves turns to the others.
const READ_AT_ONCE: usize = 64 * 1024;
/// Connections accepted from one listener in one turn.
const ACCEPT_AT_ONCE: usize = 64;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Reads of a connection that broke while it was written to, before its end is told.
const READS_AT_END: usize = 16;
/// A connection closed in order is read out for so long, and for so many bytes, at most.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 1024 * 1024;
/// A connection that is to be closed once all is written is closed without it after this: its peer may never read.
const FINISH: Duration = Duration::from_secs(5);
/// Connections read out at a time; beyond, the one that is read out for longest is closed.
pub const MAX_LINGERING: usize = 16;

/// A listener, connection or signal source; never used twice within one loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(usize);

/// What happened on the loop.
#[derive(Debug)]
pub enum ReactorEvent {
    /// A peer connected to a listener.
    Accepted {
        /// The listener.
        listener: Id,
        /// The new connection.
        connection: Id,
        /// Its peer; none on a Unix socket.
        peer: Option<SocketAddr>,
    },
    /// An outgoing connection stands; bytes may be written.
    Connected(Id),
    /// Bytes came.
    Received(Id, Vec<u8>),
    /// All that was buffered has been written.
    Drained(Id),
    /// The connection ended; its id is void. For an outgoing one that never stood, `connected` is false.
    Closed {
        /// Which connection.
        id: Id,
        /// Whether it ever stood.
        connected: bool,
        /// Bytes handed to the kernel over its life.
        written: u64,
    },
    /// A [`Waker`] was used, once or more since the last turn.
    Woken,
    /// A signal asked for with [`Reactor::signal`] came.
    Signal(i32),
    /// Accepting failed, most likely for want of descriptors; the listener rests until [`Reactor::resume`].
    AcceptFailed {
        /// The listener.
        listener: Id,
        /// Why.
        error: io::Error,
    },
}

struct Connection {
    stream: Socket,
    connected: bool,
    /// Bytes not yet taken by the kernel, from `start` on.
    buffer: Vec<u8>,
    start: usize,
    written: u64,
    /// Whether the poller watches for writability.
    watching_writes: bool,
    paused: bool,
    /// To be closed as soon as all is written; nothing more is read from it.
    finishing: bool,
    /// Noted to be written at the next turn.
    unflushed: bool,
    /// Over for its owner and half-closed; so many bytes are still read and thrown away.
    reading_out: Option<usize>,
}

enum Source {
    Listener(Socket),
    Connection(Connection),
    Signal(UnixStream, i32),
    Waker(UnixStream),
}

impl Source {
    fn is_read_out(&self) -> bool {
        matches!(self, Source::Connection(c) if c.reading_out.is_some())
    }
}

/// Wakes a loop from another thread.
#[derive(Debug)]
pub struct Waker(UnixStream);

impl Waker {
    /// The loop's next turn tells [`ReactorEvent::Woken`]. A loop that is gone, or was woken already, takes nothing.
    pub fn wake(&self) {
        // A full pipe means that it was woken many times already.
        let _ = (&self.0).write(&[0]);
    }
}

/// The loop's sockets and signals; [`Reactor::poll`] waits for the next happenings.
pub struct Reactor {
    poller: Poller,
    events: Events,
    sources: HashMap<usize, Source>,
    next: usize,
    scratch: Vec<u8>,
    max_buffered: usize,
    /// Ends noticed while writing, told at the next turn.
    ended: Vec<ReactorEvent>,
    /// Connections with bytes that the kernel has not been offered yet.
    unflushed: Vec<Id>,
    /// Connections that are read out, since when; the earliest first.
    lingering: VecDeque<(Id, Instant)>,
    most_lingering: usize,
    /// Connections to be closed once all is written, since when; the earliest first. Some are written and gone already.
    finishing: VecDeque<(Id, Instant)>,
}

impl Reactor {
    /// A loop whose connections buffer at most `max_buffered` bytes each; one that would go beyond is closed.
    ///
    /// # Errors
    /// When the kernel gives no poller.
    pub fn new(max_buffered: usize) -> io::Result<Self> {
        Ok(Reactor {
            poller: Poller::new()?,
            events: Events::new(),
            sources: HashMap::new(),
            next: 0,
            scratch: vec![0; READ_AT_ONCE],
            max_buffered,
            ended: Vec::new(),
            unflushed: Vec::new(),
            lingering: VecDeque::new(),
            most_lingering: MAX_LINGERING,
            finishing: VecDeque::new(),
        })
    }

    fn watch(&mut self, source: Source, interest: fn(usize) -> Event) -> io::Result<Id> {
        let id = self.next;
        self.next += 1;
        // SAFETY: every source is taken out of the poller in `remove` before it is dropped, and all of them
        // before the poller in `drop`.
        unsafe {
            match &source {
                Source::Listener(l) => self.poller.add_with_mode(l, interest(id), PollMode::Level)?,
                Source::Connection(c) => {
                    self.poller.add_with_mode(&c.stream, interest(id), PollMode::Level)?
                }
                Source::Signal(s, _) | Source::Waker(s) => {
                    self.poller.add_with_mode(s, interest(id), PollMode::Level)?
                }
            }
        }
        self.sources.insert(id, source);
        Ok(Id(id))
    }

    /// Listens on an address; port 0 lets the kernel choose. Returns the address that was bound.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(Id, SocketAddr)> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let bound = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok((self.watch(Source::Listener(socket), Event::readable)?, bound))
    }

    /// Listens on a Unix socket that only its owner may open (mode 0600). A file that an earlier process left there is
    /// replaced; one that somebody listens on is not.
    ///
    /// # Errors
    /// When the path cannot be bound, or somebody listens there.
    pub fn listen_unix(&mut self, path: &Path) -> io::Result<Id> {
        match UnixStream::connect(path) {
            Ok(_) => return Err(io::ErrorKind::AddrInUse.into()),
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => std::fs::remove_file(path)?,
            Err(_) => {}
        }
        let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
        socket.bind(&SockAddr::unix(path)?)?;
        // Nobody can connect before `listen`, so there is no moment at which others may.
        std::fs::set_permissions(path, std::os::unix::fs::PermissionsExt::from_mode(0o600))?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        self.watch(Source::Listener(socket), Event::readable)
    }

    /// A handle by which another thread wakes this loop.
    ///
    /// # Errors
    /// When the kernel gives no pair of sockets.
    pub fn waker(&mut self) -> io::Result<Waker> {
        let (read, write) = UnixStream::pair()?;
        read.set_nonblocking(true)?;
        write.set_nonblocking(true)?;
        self.watch(Source::Waker(read), Event::readable)?;
        Ok(Waker(write))
    }

    /// Begins a connection; [`ReactorEvent::Connected`] or [`ReactorEvent::Closed`] tells how that ended.
    ///
    /// # Errors
    /// When no socket is to be had or the address cannot be reached at all.
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<Id> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        self.watch(Source::Connection(Connection::new(socket, false)), Event::all)
    }

    /// Turns a signal (SIGTERM, SIGHUP ...) into a [`ReactorEvent::Signal`].
    ///
    /// # Errors
    /// When the signal cannot be caught.
    pub fn signal(&mut self, signal: i32) -> io::Result<()> {
        let (read, write) = UnixStream::pair()?;
        read.set_nonblocking(true)?;
        write.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(signal, write)?;
        self.watch(Source::Signal(read, signal), Event::readable)?;
        Ok(())
    }

    /// Takes bytes to be written. They go to the kernel together with all else for that connection when the next
    /// turn begins, as one write for many answers costs little more than one for each. A connection whose buffer
    /// is full or that breaks is closed, which that turn tells. Unknown connections take nothing.
    pub fn write(&mut self, id: Id, bytes: &[u8]) {
        let max_buffered = self.max_buffered;
        let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return };
        if c.reading_out.is_some() {
            return;
        }
        if c.pending() + bytes.len() > max_buffered {
            return self.end(id);
        }
        c.buffer.extend_from_slice(bytes);
        if c.connected && !c.watching_writes && !bytes.is_empty() {
            self.note_unflushed(id);
        }
    }

    fn note_unflushed(&mut self, id: Id) {
        if let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) {
            if !std::mem::replace(&mut c.unflushed, true) {
                self.unflushed.push(id);
            }
        }
    }

    /// Takes back bytes that were handed in and of which the kernel has none yet: those from the `from`th to before the
    /// `to`th of the connection's life, counted as [`Reactor::written`] does. What was handed in behind them moves up. Gives
    /// whether it did; it does all or nothing.
    pub fn discard_unsent(&mut self, id: Id, from: u64, to: u64) -> bool {
        let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return false };
        let offered = c.written + c.pending() as u64;
        if from < c.written || from > to || to > offered {
            return false;
        }
        let at = |n: u64| c.start + (n - c.written) as usize;
        c.buffer.drain(at(from)..at(to));
        true
    }

    /// Whether a connection stands and nothing has come on it that was not told yet, its end included.
    pub fn is_quiet(&self, id: Id) -> bool {
        let Some(Source::Connection(c)) = self.sources.get(&id.0) else { return false };
        let peeked = c.stream.peek(&mut [MaybeUninit::uninit()]);
        c.connected && matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Hands the kernel what was written in the turn before.
    /// Gives whether all was offered to the kernel.
    fn flush(&mut self, until: Option<Instant>, out: &mut Vec<ReactorEvent>) -> bool {
        let all = std::mem::take(&mut self.unflushed);
        for (at, id) in all.iter().copied().enumerate() {
            if until.is_some_and(|until| Instant::now() >= until) {
                self.unflushed.extend_from_slice(&all[at..]);
                return false;
            }
            if let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) {
                c.unflushed = false;
                self.write_pending(id, out);
            }
        }
        true
    }

    /// Bytes that wait to be written to a connection.
    pub fn pending(&self, id: Id) -> usize {
        match self.sources.get(&id.0) {
            Some(Source::Connection(c)) => c.pending(),
            _ => 0,
        }
    }

    /// Whether anything waits to be written anywhere.
    pub fn has_pending(&self) -> bool {
        self.sources.values().any(|s| matches!(s, Source::Connection(c) if c.pending() > 0))
    }

    /// Bytes of a connection that the kernel has taken so far; 0 for one that is gone.
    pub fn written(&self, id: Id) -> u64 {
        match self.sources.get(&id.0) {
            Some(Source::Connection(c)) => c.written,
            _ => 0,
        }
    }

    /// Stops or resumes reading from a connection, for back-pressure.
    pub fn pause(&mut self, id: Id, paused: bool) {
        if let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) {
            if c.paused != paused {
                c.paused = paused;
                self.set_interest(id);
            }
        }
    }

    /// Closes a connection once all that was buffered is written, or after a bounded time without it; what it still sends is
    /// read and thrown away, for a bounded time, so that the peer can read its answers to the end. The end is told as
    /// [`ReactorEvent::Closed`] at the next turn.
    pub fn finish(&mut self, id: Id) {
        let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return };
        if c.reading_out.is_some() || c.finishing {
            return;
        }
        if c.pending() == 0 {
            return self.half_close(id);
        }
        c.finishing = true;
        self.finishing.push_back((id, Instant::now()));
        self.pause(id, true);
    }

    fn is_finishing(&self, id: Id) -> bool {
        matches!(self.sources.get(&id.0), Some(Source::Connection(c)) if c.finishing)
    }

    /// How many connections may be read out at a time; [`MAX_LINGERING`] if nothing is said.
    pub fn set_max_lingering(&mut self, most: usize) {
        self.most_lingering = most;
    }

    /// Connections that are being read out.
    pub fn lingering(&self) -> usize {
        self.lingering.len()
    }

    /// Tells the owner of the end and the peer that nothing more comes; then it is read out.
    fn half_close(&mut self, id: Id) {
        let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return };
        if !c.connected || c.stream.shutdown(Shutdown::Write).is_err() {
            return self.end(id);
        }
        self.ended.push(ReactorEvent::Closed { id, connected: true, written: c.written });
        (c.reading_out, c.finishing, c.paused) = (Some(LINGER_BYTES), false, false);
        self.set_interest(id);
        self.lingering.push_back((id, Instant::now()));
        while self.lingering.len() > self.most_lingering {
            self.lingering.pop_front().into_iter().for_each(|(id, _)| drop(self.remove(id)));
        }
    }

    /// Reads on where the owner has no part any more.
    fn read_out(&mut self, id: Id, left: usize) {
        let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return };
        match c.stream.read(&mut self.scratch) {
            Ok(n) if n > 0 && n < left => c.reading_out = Some(left - n),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            _ => drop(self.remove(id)),
        }
    }

    /// Closes a connection or listener at once; nothing more is told of it.
    pub fn close(&mut self, id: Id) {
        self.remove(id);
    }

    /// Lets a listener that could not accept try again.
    pub fn resume(&mut self, listener: Id) {
        if let Some(Source::Listener(l)) = self.sources.get(&listener.0) {
            let _ = self.poller.modify_with_mode(l, Event::readable(listener.0), PollMode::Level);
        }
    }

    /// Waits at most `timeout` (`None`: for ever) and appends what happened.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn poll(&mut self, timeout: Option<Duration>, out: &mut Vec<ReactorEvent>) -> io::Result<()> {
        self.poll_until(timeout, None, out)
    }

    /// The same, but writes only as long as a time has not come, and then looks without waiting: what is left can be taken back.
    /// The time is looked at before each connection, as the process may stand still between two.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn poll_until(
        &mut self,
        timeout: Option<Duration>,
        until: Option<Instant>,
        out: &mut Vec<ReactorEvent>,
    ) -> io::Result<()> {
        let before = out.len();
        if !self.flush(until, out) {
            return self.look(Some(Duration::ZERO), out);
        }
        let timeout = if out.len() == before { timeout } else { Some(Duration::ZERO) };
        self.look(timeout, out)
    }

    /// The same, but writes nothing: what was handed in can still be taken back by what this look brings. For a loop that
    /// stood still between deciding and writing.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn look(&mut self, timeout: Option<Duration>, out: &mut Vec<ReactorEvent>) -> io::Result<()> {
        while self.lingering.front().is_some_and(|l| l.1.elapsed() >= LINGER) {
            self.lingering.pop_front().into_iter().for_each(|(id, _)| drop(self.remove(id)));
        }
        // Those that were written have gone on; of the others the earliest is due first.
        while let Some((id, since)) = self.finishing.front().copied() {
            let waits = self.is_finishing(id);
            if waits && since.elapsed() < FINISH {
                break;
            }
            self.finishing.pop_front();
            if waits {
                self.end(id);
            }
        }
        let bounded = [(&self.lingering, LINGER), (&self.finishing, FINISH)];
        let due =
            bounded.iter().filter_map(|(all, most)| Some(most.saturating_sub(all.front()?.1.elapsed())));
        let timeout = if self.ended.is_empty() { timeout } else { Some(Duration::ZERO) };
        let timeout = due.chain(timeout).min();
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        out.append(&mut self.ended);
        let ready: Vec<Event> = self.events.iter().collect();
        for event in ready {
            self.ready(event, out);
        }
        out.append(&mut self.ended);
        Ok(())
    }

    fn ready(&mut self, event: Event, out: &mut Vec<ReactorEvent>) {
        let id = Id(event.key);
        match self.sources.get_mut(&event.key) {
            Some(Source::Listener(_)) => self.accept(id, out),
            Some(Source::Signal(stream, signal)) => {
                let mut bytes = [0; 64];
                while matches!(stream.read(&mut bytes), Ok(n) if n > 0) {}
                out.push(ReactorEvent::Signal(*signal));
            }
            Some(Source::Waker(stream)) => {
                let mut bytes = [0; 64];
                while matches!(stream.read(&mut bytes), Ok(n) if n > 0) {}
                out.push(ReactorEvent::Woken);
            }
            Some(Source::Connection(_)) => {
                if event.writable || event.is_err() == Some(true) {
                    self.writable(id, out);
                }
                if event.readable {
                    self.readable(id, out);
                }
            }
            None => {}
        }
    }

    /// Accepts what waits at a listener, as far as it can, and closes it. What came between is told in `out`.
    pub fn close_listener(&mut self, listener: Id, out: &mut Vec<ReactorEvent>) {
        for _ in 0..BACKLOG as usize / ACCEPT_AT_ONCE {
            let before = out.len();
            self.accept(listener, out);
            if out.len() == before {
                break;
            }
        }
        self.close(listener);
    }

    fn accept(&mut self, listener: Id, out: &mut Vec<ReactorEvent>) {
        for _ in 0..ACCEPT_AT_ONCE {
            let Some(Source::Listener(l)) = self.sources.get(&listener.0) else { return };
            match l.accept() {
                Ok((stream, peer)) => {
                    // Unix sockets know no such delay and say so.
                    let _ = stream.set_tcp_nodelay(true);
                    if stream.set_nonblocking(true).is_err() {
                        continue;
                    }
                    let source = Source::Connection(Connection::new(stream, true));
                    if let Ok(connection) = self.watch(source, Event::readable) {
                        out.push(ReactorEvent::Accepted { listener, connection, peer: peer.as_socket() });
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // Level-triggered, it would be told again at once and for ever: it rests.
                    let _ = self.poller.modify_with_mode(l, Event::none(listener.0), PollMode::Level);
                    out.push(ReactorEvent::AcceptFailed { listener, error });
                    return;
                }
            }
        }
    }

    fn writable(&mut self, id: Id, out: &mut Vec<ReactorEvent>) {
        let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return };
        if !c.connected {
            match c.stream.take_error() {
                Ok(None) if c.stream.peer_addr().is_ok() => {}
                Ok(None) => return,
                _ => return self.end(id),
            }
            c.connected = true;
            out.push(ReactorEvent::Connected(id));
        }
        // Not at once: this turn may also bring what takes the bytes back.
        self.note_unflushed(id);
    }

    /// Offers the kernel what waits, and watches for writability while something is left.
    fn write_pending(&mut self, id: Id, out: &mut Vec<ReactorEvent>) {
        let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return };
        if c.pending() > 0 {
            match write_some(&mut c.stream, &c.buffer[c.start..]) {
                Ok(n) => {
                    c.written += n as u64;
                    c.start += n;
                }
                Err(_) => return self.end_after_reading(id),
            }
            if c.pending() == 0 {
                c.buffer.clear();
                c.start = 0;
                if c.finishing {
                    return self.half_close(id);
                }
                if c.watching_writes {
                    out.push(ReactorEvent::Drained(id));
                }
            } else if c.start > READ_AT_ONCE {
                c.buffer.drain(..c.start);
                c.start = 0;
            }
        }
        self.interest(id);
    }

    fn readable(&mut self, id: Id, out: &mut Vec<ReactorEvent>) {
        let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return };
        if !c.connected || c.paused {
            return;
        }
        if let Some(left) = c.reading_out {
            return self.read_out(id, left);
        }
        match c.stream.read(&mut self.scratch) {
            Ok(0) => self.end(id),
            Ok(n) => out.push(ReactorEvent::Received(id, self.scratch[..n].to_vec())),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            Err(_) => self.end(id),
        }
    }

    /// Watches for writability just while something waits to be written.
    fn interest(&mut self, id: Id) {
        let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return };
        if c.watching_writes != (!c.connected || c.pending() > 0) {
            self.set_interest(id);
        }
    }

    fn set_interest(&mut self, id: Id) {
        let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return };
        c.watching_writes = !c.connected || c.pending() > 0;
        let event = Event::new(id.0, !c.paused, c.watching_writes);
        let _ = self.poller.modify_with_mode(&c.stream, event, PollMode::Level);
    }

    /// Writing failed: what the peer said before is told first.
    fn end_after_reading(&mut self, id: Id) {
        for _ in 0..READS_AT_END {
            let Some(Source::Connection(c)) = self.sources.get_mut(&id.0) else { return };
            if c.paused || c.reading_out.is_some() {
                break;
            }
            match c.stream.read(&mut self.scratch) {
                Ok(n) if n > 0 => self.ended.push(ReactorEvent::Received(id, self.scratch[..n].to_vec())),
                _ => break,
            }
        }
        self.end(id);
    }

    fn end(&mut self, id: Id) {
        if let Some(Source::Connection(c)) = self.remove(id).filter(|s| !s.is_read_out()) {
            self.ended.push(ReactorEvent::Closed { id, connected: c.connected, written: c.written });
        }
    }

    fn remove(&mut self, id: Id) -> Option<Source> {
        let source = self.sources.remove(&id.0)?;
        if source.is_read_out() {
            self.lingering.retain(|l| l.0 != id);
        }
        let _ = match &source {
            Source::Listener(l) => self.poller.delete(l),
            Source::Connection(c) => self.poller.delete(&c.stream),
            Source::Signal(s, _) | Source::Waker(s) => self.poller.delete(s),
        };
        Some(source)
    }
}

impl Drop for Reactor {
    fn drop(&mut self) {
        let ids: Vec<usize> = self.sources.keys().copied().collect();
        ids.into_iter().for_each(|id| drop(self.remove(Id(id))));
    }
}

impl Connection {
    fn new(stream: Socket, connected: bool) -> Self {
        Connection {
            stream,
            connected,
            buffer: Vec::new(),
            start: 0,
            written: 0,
            watching_writes: !connected,
            paused: false,
            finishing: false,
            unflushed: false,
            reading_out: None,
        }
    }

    fn pending(&self) -> usize {
        self.buffer.len() - self.start
    }
}

/// Writes what the kernel takes now; 0 where it takes nothing.
fn write_some(stream: &mut Socket, bytes: &[u8]) -> io::Result<usize> {
    match stream.write(bytes) {
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Ok(0),
        other => other,
    }
}
