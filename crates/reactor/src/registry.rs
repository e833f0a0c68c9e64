//! The poller and the sources registered with it.

use crate::connection::{Connection, Intake};
use crate::event::Id;
use crate::signal::SignalPipe;
use polling::{Event, Events, PollMode, Poller};
use socket2::Socket;
use std::collections::HashMap;
use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// A listening socket.
pub(crate) struct Listener {
    pub(crate) socket: Socket,
    /// How accepted connections are read.
    pub(crate) intake: Intake,
}

/// A source of events.
pub(crate) enum Source {
    Listener(Listener),
    Connection(Connection),
    Signal(SignalPipe),
    Waker(UnixStream),
}

impl AsFd for Source {
    fn as_fd(&self) -> BorrowedFd<'_> {
        match self {
            Source::Listener(listener) => listener.socket.as_fd(),
            Source::Connection(connection) => connection.stream.as_fd(),
            Source::Signal(pipe) => pipe.stream.as_fd(),
            Source::Waker(stream) => stream.as_fd(),
        }
    }
}

/// Owns all sources, each of which is registered with the poller while it is stored here.
pub(crate) struct Registry {
    poller: Poller,
    events: Events,
    sources: HashMap<usize, Source>,
    next_id: usize,
}

impl Registry {
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Registry { poller: Poller::new()?, events: Events::new(), sources: HashMap::new(), next_id: 0 })
    }

    /// Registers a source under a new id.
    pub(crate) fn register(&mut self, source: Source, interest: fn(usize) -> Event) -> io::Result<Id> {
        let id = self.next_id;
        self.next_id += 1;
        // SAFETY: `remove` takes every source out of the poller before it is dropped, and `drop` removes all
        // of them before the poller is dropped.
        unsafe { self.poller.add_with_mode(&source.as_fd(), interest(id), PollMode::Level)? };
        self.sources.insert(id, source);
        Ok(Id(id))
    }

    pub(crate) fn remove(&mut self, id: Id) -> Option<Source> {
        let source = self.sources.remove(&id.0)?;
        // Fails only for a source that is not registered.
        let _ = self.poller.delete(&source);
        Some(source)
    }

    pub(crate) fn get_mut(&mut self, id: Id) -> Option<&mut Source> {
        self.sources.get_mut(&id.0)
    }

    pub(crate) fn connection(&self, id: Id) -> Option<&Connection> {
        match self.sources.get(&id.0)? {
            Source::Connection(connection) => Some(connection),
            _ => None,
        }
    }

    pub(crate) fn connection_mut(&mut self, id: Id) -> Option<&mut Connection> {
        match self.sources.get_mut(&id.0)? {
            Source::Connection(connection) => Some(connection),
            _ => None,
        }
    }

    pub(crate) fn connections(&self) -> impl Iterator<Item = &Connection> {
        self.sources.values().filter_map(|source| match source {
            Source::Connection(connection) => Some(connection),
            _ => None,
        })
    }

    pub(crate) fn listener(&self, id: Id) -> Option<&Listener> {
        match self.sources.get(&id.0)? {
            Source::Listener(listener) => Some(listener),
            _ => None,
        }
    }

    pub(crate) fn listener_mut(&mut self, id: Id) -> Option<&mut Listener> {
        match self.sources.get_mut(&id.0)? {
            Source::Listener(listener) => Some(listener),
            _ => None,
        }
    }

    /// Changes the readiness that a source is polled for. A failure results in missing events and cannot be
    /// handled here.
    pub(crate) fn set_interest(&self, id: Id, interest: Event) {
        if let Some(source) = self.sources.get(&id.0) {
            let _ = self.poller.modify_with_mode(source, interest, PollMode::Level);
        }
    }

    /// Waits for readiness for at most `timeout` (`None`: without limit). Returns no events if a signal
    /// handler interrupts the wait.
    pub(crate) fn wait(&mut self, timeout: Option<Duration>) -> io::Result<Vec<Event>> {
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        Ok(self.events.iter().collect())
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        for (_, source) in self.sources.drain() {
            let _ = self.poller.delete(&source);
        }
    }
}
