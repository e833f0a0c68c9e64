//! Runs a [`Job`] against a plug-in registry: one connection, kept open between requests, on an event loop of
//! its own. Called by the `plugin` commands and by a running gateway's background worker, never by the
//! gateway's own event loop.

use crate::clock::Clock;
use slatevalve_http::{Limits, MessageDecoder, MessageEvent, Side};
use slatevalve_oci::{AttemptFailure, Job, Next, Request};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use std::fmt;
use std::io;
use std::net::ToSocketAddrs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Capacity of the write buffer in bytes: a part of a push with its head must fit.
const MAX_BUFFERED: usize = 16 * 1024 * 1024;
/// Maximum wait for events in microseconds, so that the stop flag is checked regularly.
const MAX_WAIT_US: i64 = 100_000;

/// Why a job did not complete.
#[derive(Debug)]
pub enum LinkError<E> {
    /// The job failed.
    Job(E),
    /// The event loop failed.
    Loop(io::Error),
    /// The stop flag was set.
    Stopped,
}

impl<E: fmt::Display> fmt::Display for LinkError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Job(e) => e.fmt(f),
            LinkError::Loop(e) => write!(f, "event loop of the registry connection failed: {e}"),
            LinkError::Stopped => {
                f.write_str("stopped; received content is kept, and the next attempt resumes after it")
            }
        }
    }
}

impl<E: std::error::Error + 'static> std::error::Error for LinkError<E> {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LinkError::Job(e) => Some(e),
            LinkError::Loop(e) => Some(e),
            LinkError::Stopped => None,
        }
    }
}

struct Connection {
    id: Id,
    host: String,
    port: u16,
    connected: bool,
    reader: MessageDecoder,
    /// Whether a response is expected or not yet complete.
    busy: bool,
    /// Whether the peer closes the connection after this response.
    closing: bool,
    /// A request to be sent once the connection is established.
    unsent: Vec<u8>,
}

impl Connection {
    /// Whether `request` can be sent on this connection.
    fn can_carry(&self, request: &Request) -> bool {
        self.host == request.host && self.port == request.port && !self.busy && !self.closing
    }
}

struct Link<'a, J> {
    job: &'a mut J,
    clock: &'a Clock,
    reactor: Reactor,
    connection: Option<Connection>,
}

/// Runs a job until it is done, fails or `stop` is set. `progress` is called with the bytes done, and the
/// total.
///
/// # Errors
/// If the job or the event loop fails, or the job was stopped.
pub fn drive<J: Job>(
    job: &mut J,
    clock: &Clock,
    stop: &AtomicBool,
    mut progress: impl FnMut((u64, u64)),
) -> Result<(), LinkError<J::Error>> {
    let reactor = Reactor::new(MAX_BUFFERED).map_err(LinkError::Loop)?;
    let mut link = Link { job, clock, reactor, connection: None };
    let mut events = Vec::new();
    loop {
        if stop.load(Ordering::Relaxed) {
            return Err(LinkError::Stopped);
        }
        let now = clock.now().0;
        let until = match link.job.next(now).map_err(LinkError::Job)? {
            Next::Done => return Ok(()),
            Next::Send(request) => {
                link.send(request)?;
                continue;
            }
            Next::Wait(at) => at,
            Next::Receive(at) if now >= at => {
                link.stalled(now)?;
                continue;
            }
            Next::Receive(at) => at,
        };
        let wait = until.saturating_sub(now).clamp(0, MAX_WAIT_US) as u64;
        link.reactor.poll(Some(Duration::from_micros(wait)), &mut events).map_err(LinkError::Loop)?;
        for event in events.drain(..) {
            link.handle_event(event).map_err(LinkError::Job)?;
        }
        progress(link.job.progress());
    }
}

impl<J: Job> Link<'_, J> {
    fn now(&self) -> i64 {
        self.clock.now().0
    }

    fn close(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.reactor.close(connection.id);
        }
    }

    fn send(&mut self, request: Request) -> Result<(), LinkError<J::Error>> {
        let is_usable = |connection: &Connection| connection.can_carry(&request);
        if !self.connection.as_ref().is_some_and(is_usable) {
            self.close();
            // Resolved for each connection, as the address of a registry may change while a gateway runs.
            let address = (request.host.as_str(), request.port)
                .to_socket_addrs()
                .ok()
                .and_then(|mut found| found.next());
            let Some(id) = address.and_then(|address| self.reactor.connect(address).ok()) else {
                let now = self.now();
                return self.job.attempt_failed(now, AttemptFailure::Connect).map_err(LinkError::Job);
            };
            // The job limits the size of bodies.
            let limits = Limits { body: usize::MAX, ..Limits::default() };
            self.connection = Some(Connection {
                id,
                host: request.host,
                port: request.port,
                connected: false,
                reader: MessageDecoder::new(Side::Response, limits),
                busy: false,
                closing: false,
                unsent: Vec::new(),
            });
        }
        if let Some(connection) = &mut self.connection {
            connection.busy = true;
            if request.bodiless {
                connection.reader.expect_no_body();
            }
            match connection.connected {
                true => self.reactor.write(connection.id, &request.bytes),
                false => connection.unsent = request.bytes,
            }
        }
        Ok(())
    }

    fn stalled(&mut self, now: i64) -> Result<(), LinkError<J::Error>> {
        let connected = self.connection.as_ref().is_some_and(|open| open.connected);
        self.close();
        let failure = if connected { AttemptFailure::Stalled } else { AttemptFailure::Connect };
        self.job.attempt_failed(now, failure).map_err(LinkError::Job)
    }

    fn handle_event(&mut self, event: ReactorEvent) -> Result<(), J::Error> {
        let now = self.now();
        let Some(connection) = &mut self.connection else { return Ok(()) };
        match event {
            ReactorEvent::Connected(id) if id == connection.id => {
                connection.connected = true;
                let bytes = std::mem::take(&mut connection.unsent);
                self.reactor.write(id, &bytes);
                Ok(())
            }
            ReactorEvent::Received(id, bytes) if id == connection.id => self.received(now, &bytes),
            ReactorEvent::Closed { id, connected, .. } if id == connection.id => {
                let busy = connection.busy;
                let ended = connection.reader.end();
                self.connection = None;
                match (busy, ended) {
                    (false, _) => Ok(()),
                    (true, Ok(true)) => self.job.response_event(now, MessageEvent::End),
                    (true, _) if connected => self.job.attempt_failed(now, AttemptFailure::ConnectionClosed),
                    (true, _) => self.job.attempt_failed(now, AttemptFailure::Connect),
                }
            }
            _ => Ok(()),
        }
    }

    fn received(&mut self, now: i64, bytes: &[u8]) -> Result<(), J::Error> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        let mut parts = Vec::new();
        let fed = connection.reader.feed(bytes, &mut parts);
        for response_event in parts {
            let Some(connection) = self.connection.as_mut().filter(|open| open.busy) else { break };
            match &response_event {
                MessageEvent::Head(head) => connection.closing = head.closes_connection,
                MessageEvent::End => connection.busy = false,
                MessageEvent::Body(_) => {}
            }
            let whole = response_event == MessageEvent::End;
            self.job.response_event(now, response_event)?;
            // The job does not need the rest of this response; closing the connection discards it.
            if !whole && !self.job.is_receiving() {
                self.close();
                return Ok(());
            }
        }
        if fed.is_err() {
            let busy = self.connection.as_ref().is_some_and(|open| open.busy);
            self.close();
            if busy {
                return self.job.attempt_failed(now, AttemptFailure::MalformedResponse);
            }
        }
        Ok(())
    }
}
