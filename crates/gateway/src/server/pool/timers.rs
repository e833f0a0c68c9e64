//! Timers of the pool: connect and idle timeouts of connections, timeouts of requests.

use super::connections::FailureOutcomes;
use super::requests::{without_payload, RequestKey};
use super::{Pool, RequestEnd};
use slatevalve::{Micros, Outcome};
use slatevalve_reactor::{Id, Reactor};

/// The subject of a timer. Timers are not removed when a deadline changes; a timer that fires while its
/// subject has no deadline or a later one is ignored.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// The connect or idle timeout of a connection.
    Connection(Id),
    /// The timeout of a request.
    Request(RequestKey),
    /// The time before which a request must begin to be written.
    Unsent(RequestKey),
}

/// The time `duration` after `now`, saturating.
pub(super) fn after(now: Micros, duration: Micros) -> Micros {
    Micros(now.0.saturating_add(duration.0))
}

fn has_expired(deadline: Option<Micros>, now: Micros) -> bool {
    deadline.is_some_and(|at| at <= now)
}

impl Pool {
    /// When [`Pool::advance`] is due next.
    pub(crate) fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Handles the timers that have expired by `now`; returns the requests that end as a result.
    pub(crate) fn advance(&mut self, now: Micros, reactor: &mut Reactor) -> Vec<RequestEnd> {
        let mut ends = Vec::new();
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Connection(id) => ends.extend(self.expire_connection(now, reactor, id)),
                Timer::Request(key) => ends.extend(self.expire_request(now, reactor, key)),
                Timer::Unsent(key) => ends.extend(self.expire_unsent(now, reactor, key)),
            }
        }
        ends
    }

    /// Sets a timer for a connection's current deadline.
    pub(super) fn set_connection_timer(&mut self, id: Id) {
        if let Some(at) = self.connections.get(&id).and_then(|c| c.deadline) {
            self.timers.set(at, Timer::Connection(id));
        }
    }

    fn expire_connection(&mut self, now: Micros, reactor: &mut Reactor, id: Id) -> Vec<RequestEnd> {
        let Some(connection) = self.connections.get(&id).filter(|c| has_expired(c.deadline, now)) else {
            return Vec::new();
        };
        let outcome = if connection.is_connected() { Outcome::TimedOut } else { Outcome::ConnectFailed };
        let outcomes = FailureOutcomes { sent: outcome, unsent: outcome };
        let ends = self.complete_all(now, id, reactor.written(id), outcomes);
        self.close_connection(reactor, id);
        ends
    }

    fn expire_unsent(&mut self, now: Micros, reactor: &mut Reactor, key: RequestKey) -> Option<RequestEnd> {
        let end = self.discard_unsent(now, reactor, key);
        self.release(now, reactor, key.connection);
        end
    }

    fn expire_request(&mut self, now: Micros, reactor: &mut Reactor, key: RequestKey) -> Option<RequestEnd> {
        let connection = self.connections.get(&key.connection)?;
        connection.requests.get(&key.tag).filter(|r| has_expired(r.deadline, now))?;
        let end = self.complete(now, key.connection, key.tag, without_payload(Outcome::TimedOut));
        self.close_when_empty(reactor, key.connection);
        end
    }
}
