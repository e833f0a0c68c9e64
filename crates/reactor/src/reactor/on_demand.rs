//! Reading at the owner's pace: a poll only reports that a connection has input, and the owner decides when and
//! how much of it is read. What is not read stays with the kernel and the peer, which slows the peer down.

use super::Reactor;
use crate::connection::{ClosePhase, Connection, Intake};
use crate::event::{Id, ReactorEvent, ReadOutcome};
use crate::write_buffer::is_transient;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::ioctl_fionread;
use std::io::Read;

impl Reactor {
    /// Has the input of a connection reported by [`ReactorEvent::Readable`] from now on, and read by
    /// [`Reactor::read`] only.
    pub fn read_on_demand(&mut self, id: Id) {
        self.set_intake(id, Intake::OnDemand);
    }

    /// Stops polling a connection for input, until [`Reactor::read_on_demand`].
    pub fn pause_reading(&mut self, id: Id) {
        self.set_intake(id, Intake::Paused);
    }

    fn set_intake(&mut self, id: Id, intake: Intake) {
        let Some(connection) = self.registry.connection_mut(id) else { return };
        let before = connection.needs_readability();
        connection.intake = intake;
        if connection.needs_readability() != before {
            self.update_interest(id);
        }
    }

    /// Reads at most `max` bytes from a connection, by a single read of at most 64 KiB.
    pub fn read(&mut self, id: Id, max: usize) -> ReadOutcome {
        let limit = max.min(self.read_buffer.len());
        let connection = self.registry.connection_mut(id);
        let Some(connection) = connection.filter(|c| c.connected && c.close_phase == ClosePhase::Open) else {
            return ReadOutcome::Blocked;
        };
        match connection.stream.read(&mut self.read_buffer[..limit]) {
            Ok(count) if count > 0 => ReadOutcome::Received(self.read_buffer[..count].to_vec()),
            Err(e) if is_transient(&e) && !connection.write_failed => ReadOutcome::Blocked,
            _ => {
                let written = connection.output.written();
                self.close(id);
                ReadOutcome::Ended { written }
            }
        }
    }

    /// Number of bytes that the kernel has received on a connection and that are not read; 0 if the system does
    /// not tell.
    #[must_use]
    pub fn unread(&self, id: Id) -> usize {
        let unread = self.registry.connection(id).and_then(|c| ioctl_fionread(&c.stream).ok());
        unread.map_or(0, |bytes| bytes as usize)
    }

    /// Those of the given connections whose peers have closed or reset them, also if input is left to be read
    /// before that. If the system does not tell, none.
    #[must_use]
    pub fn closed_by_peers(&self, ids: &[Id]) -> Vec<Id> {
        let connections: Vec<(Id, &Connection)> =
            ids.iter().filter_map(|id| Some((*id, self.registry.connection(*id)?))).collect();
        let mut polled: Vec<PollFd<'_>> = connections
            .iter()
            .map(|(_, connection)| PollFd::new(&connection.stream, PollFlags::RDHUP))
            .collect();
        if poll(&mut polled, Some(&Timespec::default())).is_err() {
            return Vec::new();
        }
        let is_closed = |polled: &PollFd<'_>| polled.revents().contains(PollFlags::RDHUP);
        let results = connections.iter().zip(&polled);
        results.filter(|(_, polled)| is_closed(polled)).map(|((id, _), _)| *id).collect()
    }

    /// Prepares a connection whose write failed to end once its owner has read its input. Returns false if it
    /// is not read on demand.
    pub(super) fn defer_close_until_read(&mut self, id: Id) -> bool {
        let connection = self.registry.connection_mut(id);
        let Some(connection) =
            connection.filter(|c| c.intake != Intake::Eager && c.close_phase == ClosePhase::Open)
        else {
            return false;
        };
        connection.write_failed = true;
        connection.output.clear();
        connection.intake = Intake::OnDemand;
        self.update_interest(id);
        self.deferred_events.push(ReactorEvent::Readable(id));
        true
    }
}
