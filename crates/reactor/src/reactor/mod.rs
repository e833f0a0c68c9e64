//! The reactor: polls sources for readiness and dispatches it to them.

mod connections;
mod graceful_close;
mod listeners;
mod on_demand;
mod signals;

pub use graceful_close::{MAX_FLUSHING, MAX_LINGERING};
pub use listeners::AcceptQueue;

use crate::event::{Id, ReactorEvent};
use crate::registry::{Registry, Source};
use crate::signal::read_to_empty;
use connections::Flush;
use graceful_close::GracefulClose;
use polling::Event;
use std::io;
use std::time::{Duration, Instant};

/// Limit of bytes read from one connection per poll, so that one peer cannot starve the others.
const READ_BYTES_PER_POLL: usize = 64 * 1024;
/// Limit of bytes read from all connections per poll, which bounds the memory for input.
const TOTAL_READ_BYTES_PER_POLL: usize = 1024 * 1024;

/// The event loop's sockets and signals; [`Reactor::poll`] waits for their next events.
pub struct Reactor {
    registry: Registry,
    read_buffer: Vec<u8>,
    /// Limit of bytes buffered for writing on one connection.
    max_buffered: usize,
    /// Events that occurred outside a poll or while writing; reported by the next poll.
    deferred_events: Vec<ReactorEvent>,
    /// Connections with bytes to be written at the beginning of the next poll.
    scheduled_writes: Vec<Id>,
    closing: GracefulClose,
    /// Number of bytes that may still be read in the current poll.
    readable_bytes: usize,
    /// The first source that was not read in the last poll because the limit of bytes was reached; the next
    /// poll begins with it.
    first_skipped: Option<usize>,
}

impl Reactor {
    /// Creates a reactor. A connection that would have more than `max_buffered` bytes buffered for writing is
    /// closed.
    ///
    /// # Errors
    /// If no poller can be created.
    pub fn new(max_buffered: usize) -> io::Result<Self> {
        Ok(Reactor {
            registry: Registry::new()?,
            read_buffer: vec![0; READ_BYTES_PER_POLL],
            max_buffered,
            deferred_events: Vec::new(),
            scheduled_writes: Vec::new(),
            closing: GracefulClose::default(),
            readable_bytes: 0,
            first_skipped: None,
        })
    }

    /// Writes the buffered bytes, waits for events for at most `timeout` (`None`: without limit) and appends
    /// them to `out`.
    ///
    /// # Errors
    /// If the poller fails.
    pub fn poll(&mut self, timeout: Option<Duration>, out: &mut Vec<ReactorEvent>) -> io::Result<()> {
        self.poll_until(timeout, None, out)
    }

    /// Same as [`Reactor::poll`], but stops writing once `until` has passed and then polls without waiting.
    /// Bytes not written by then can still be discarded. The clock is read before each write, because the
    /// process may be paused between two writes.
    ///
    /// # Errors
    /// If the poller fails.
    pub fn poll_until(
        &mut self,
        timeout: Option<Duration>,
        until: Option<Instant>,
        out: &mut Vec<ReactorEvent>,
    ) -> io::Result<()> {
        let before = out.len();
        if self.flush(until, out) == Flush::TimedOut {
            return self.poll_without_writing(Some(Duration::ZERO), out);
        }
        let timeout = if out.len() == before { timeout } else { Some(Duration::ZERO) };
        self.poll_without_writing(timeout, out)
    }

    /// Same as [`Reactor::poll`], but writes nothing, so that buffered bytes can still be discarded in
    /// response to the events. Used by a loop whose process was paused between making a decision and writing
    /// it.
    ///
    /// # Errors
    /// If the poller fails.
    pub fn poll_without_writing(
        &mut self,
        timeout: Option<Duration>,
        out: &mut Vec<ReactorEvent>,
    ) -> io::Result<()> {
        self.expire_closing();
        let timeout = if self.deferred_events.is_empty() { timeout } else { Some(Duration::ZERO) };
        let timeout = self.closing.next_timeout().into_iter().chain(timeout).min();
        let mut ready = self.registry.wait(timeout)?;
        out.append(&mut self.deferred_events);
        self.readable_bytes = TOTAL_READ_BYTES_PER_POLL;
        if let Some(first) = self.first_skipped.take() {
            let position = ready.iter().position(|event| event.key == first).unwrap_or(0);
            ready.rotate_left(position);
        }
        for event in ready {
            self.dispatch(event, out);
        }
        out.append(&mut self.deferred_events);
        Ok(())
    }

    fn dispatch(&mut self, event: Event, out: &mut Vec<ReactorEvent>) {
        let id = Id(event.key);
        match self.registry.get_mut(id) {
            Some(Source::Listener(_)) => self.accept(id, out),
            Some(Source::Signal(pipe)) => {
                read_to_empty(&mut pipe.stream);
                out.push(ReactorEvent::Signal(pipe.signal));
            }
            Some(Source::Waker(stream)) => {
                read_to_empty(stream);
                out.push(ReactorEvent::Woken);
            }
            Some(Source::Connection(_)) => {
                if event.writable || event.is_err() == Some(true) {
                    self.handle_writable(id, out);
                }
                if event.readable {
                    self.handle_readable(id, out);
                }
            }
            None => {}
        }
    }

    /// Closes a connection or listener immediately, without an event. Unwritten bytes are discarded.
    pub fn close(&mut self, id: Id) {
        self.remove(id);
    }

    /// Closes a connection immediately. The next poll reports it, unless its end was reported when lingering
    /// began.
    fn close_and_report(&mut self, id: Id) {
        if let Some(Source::Connection(connection)) = self.remove(id) {
            if !connection.is_lingering() {
                let (connected, written) = (connection.connected, connection.output.written());
                self.deferred_events.push(ReactorEvent::Closed { id, connected, written });
            }
        }
    }

    fn remove(&mut self, id: Id) -> Option<Source> {
        let source = self.registry.remove(id)?;
        if matches!(&source, Source::Connection(c) if c.is_lingering()) {
            self.closing.forget_lingering(id);
        }
        Some(source)
    }
}
