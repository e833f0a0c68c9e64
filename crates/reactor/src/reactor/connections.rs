//! Connections: connecting, reading and writing.

use super::Reactor;
use crate::connection::{ClosePhase, Connection, Intake};
use crate::event::{Id, ReactorEvent};
use crate::registry::Source;
use crate::write_buffer::is_transient;
use polling::Event;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Instant;

/// Limit of reads from a connection whose write failed, before its end is reported.
const READS_BEFORE_CLOSE_MAX: usize = 16;

/// Result of writing the scheduled connections.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Flush {
    /// All scheduled connections were written as far as the kernel accepted.
    Complete,
    /// The time limit passed before that.
    TimedOut,
}

impl Reactor {
    /// Opens a TCP connection; [`ReactorEvent::Connected`] or [`ReactorEvent::Closed`] reports the result.
    ///
    /// # Errors
    /// If no socket is available or the address is unreachable.
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
        self.registry.register(Source::Connection(Connection::opening(socket)), Event::all)
    }

    /// Buffers bytes, which are written at the beginning of the next poll: one write of many buffered
    /// messages costs little more than the write of a single one. A connection whose buffer would exceed the
    /// limit or whose write fails is closed, and that poll reports it. Unknown ids are ignored.
    pub fn write(&mut self, id: Id, bytes: &[u8]) {
        let max_buffered = self.max_buffered;
        let Some(connection) = self.registry.connection_mut(id) else { return };
        if connection.is_lingering() || connection.write_failed {
            return;
        }
        if connection.output.pending() + bytes.len() > max_buffered {
            return self.close_and_report(id);
        }
        connection.output.push(bytes);
        if connection.connected && !connection.watches_writes && !bytes.is_empty() {
            self.schedule_write(id);
        }
    }

    /// Discards the buffered bytes from position `from` up to but excluding `to`, if none of them has been
    /// written. Positions count from the first byte written on the connection, like [`Reactor::written`];
    /// those of later bytes decrease. Returns whether the bytes were discarded; a range is never discarded in
    /// part.
    #[must_use]
    pub fn discard_unsent(&mut self, id: Id, from: u64, to: u64) -> bool {
        self.registry.connection_mut(id).is_some_and(|c| c.output.discard(from..to))
    }

    /// Whether a connection is established and has neither unread bytes nor an unread end of stream. Only
    /// such a connection can safely be reused for another request.
    #[must_use]
    pub fn is_reusable(&self, id: Id) -> bool {
        let Some(connection) = self.registry.connection(id) else { return false };
        let peeked = connection.stream.peek(&mut [MaybeUninit::uninit()]);
        connection.connected && matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Number of bytes buffered for a connection; 0 for an unknown one.
    #[must_use]
    pub fn pending(&self, id: Id) -> usize {
        self.registry.connection(id).map_or(0, |c| c.output.pending())
    }

    /// Whether bytes are buffered for any connection.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.registry.connections().any(|c| c.output.pending() > 0)
    }

    /// Number of bytes buffered for all connections.
    #[must_use]
    pub fn unwritten_bytes(&self) -> usize {
        self.registry.connections().map(|c| c.output.pending()).sum()
    }

    /// Total number of bytes that the kernel accepted on a connection; 0 for an unknown one.
    #[must_use]
    pub fn written(&self, id: Id) -> u64 {
        self.registry.connection(id).map_or(0, |c| c.output.written())
    }

    fn schedule_write(&mut self, id: Id) {
        if let Some(connection) = self.registry.connection_mut(id) {
            if !std::mem::replace(&mut connection.write_scheduled, true) {
                self.scheduled_writes.push(id);
            }
        }
    }

    /// Writes the scheduled connections in the order in which they were scheduled. Once `until` has passed,
    /// the remaining ones stay scheduled.
    pub(super) fn flush(&mut self, until: Option<Instant>, out: &mut Vec<ReactorEvent>) -> Flush {
        let scheduled = std::mem::take(&mut self.scheduled_writes);
        for (index, id) in scheduled.iter().copied().enumerate() {
            if until.is_some_and(|until| Instant::now() >= until) {
                self.scheduled_writes.extend_from_slice(&scheduled[index..]);
                return Flush::TimedOut;
            }
            if let Some(connection) = self.registry.connection_mut(id) {
                connection.write_scheduled = false;
                self.write_pending(id, out);
            }
        }
        Flush::Complete
    }

    /// Writes as many buffered bytes as the kernel accepts, and polls for writability while some are left.
    fn write_pending(&mut self, id: Id, out: &mut Vec<ReactorEvent>) {
        let Some(connection) = self.registry.connection_mut(id) else { return };
        if connection.output.pending() > 0 {
            if connection.output.write_to(&mut connection.stream).is_err() {
                return self.read_then_close(id);
            }
            if connection.output.pending() == 0 {
                if connection.close_phase == ClosePhase::Flushing {
                    return self.half_close(id);
                }
                if connection.watches_writes {
                    out.push(ReactorEvent::Drained(id));
                }
            }
        }
        if connection.watches_writes != connection.needs_writability() {
            self.update_interest(id);
        }
    }

    /// Handles writability: completes a connection attempt, and schedules the buffered bytes.
    pub(super) fn handle_writable(&mut self, id: Id, out: &mut Vec<ReactorEvent>) {
        let Some(connection) = self.registry.connection_mut(id) else { return };
        if !connection.connected {
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => {}
                Ok(None) => return,
                _ => return self.close_and_report(id),
            }
            connection.connected = true;
            out.push(ReactorEvent::Connected(id));
        }
        // Not written immediately: they may be discarded in response to another event of this poll.
        self.schedule_write(id);
    }

    /// Handles readability: reports the result of one read.
    pub(super) fn handle_readable(&mut self, id: Id, out: &mut Vec<ReactorEvent>) {
        let Some(connection) = self.registry.connection_mut(id) else { return };
        if !connection.connected {
            return;
        }
        match connection.close_phase {
            ClosePhase::Open => {}
            ClosePhase::Flushing => return,
            ClosePhase::Lingering { remaining } => return self.read_lingering(id, remaining),
        }
        match connection.intake {
            Intake::Eager => self.read_eagerly(id, out),
            Intake::OnDemand => out.push(ReactorEvent::Readable(id)),
            Intake::Paused => {}
        }
    }

    fn read_eagerly(&mut self, id: Id, out: &mut Vec<ReactorEvent>) {
        if self.readable_bytes == 0 {
            self.first_skipped.get_or_insert(id.0);
            return;
        }
        let Some(connection) = self.registry.connection_mut(id) else { return };
        let limit = self.readable_bytes.min(self.read_buffer.len());
        match connection.stream.read(&mut self.read_buffer[..limit]) {
            Ok(0) => self.close_and_report(id),
            Ok(count) => {
                self.readable_bytes -= count;
                out.push(ReactorEvent::Received(id, self.read_buffer[..count].to_vec()));
            }
            Err(e) if is_transient(&e) => {}
            Err(_) => self.close_and_report(id),
        }
    }

    /// Closes a connection whose write failed, after reporting the bytes that its peer had sent. If it is read
    /// on demand, it ends once its owner has read them.
    fn read_then_close(&mut self, id: Id) {
        if self.defer_close_until_read(id) {
            return;
        }
        for _ in 0..READS_BEFORE_CLOSE_MAX {
            let Some(connection) = self.registry.connection_mut(id) else { return };
            if connection.close_phase != ClosePhase::Open {
                break;
            }
            match connection.stream.read(&mut self.read_buffer) {
                Ok(count) if count > 0 => {
                    let bytes = self.read_buffer[..count].to_vec();
                    self.deferred_events.push(ReactorEvent::Received(id, bytes));
                }
                _ => break,
            }
        }
        self.close_and_report(id);
    }

    /// Sets the poll interest of a connection: readability unless it is flushing, and writability as needed.
    pub(super) fn update_interest(&mut self, id: Id) {
        let Some(connection) = self.registry.connection_mut(id) else { return };
        connection.watches_writes = connection.needs_writability();
        let readable = connection.needs_readability();
        let interest = Event::new(id.0, readable, connection.watches_writes);
        self.registry.set_interest(id, interest);
    }
}
