//! Turns of the clients: reading and handling their input, and closing the connections of those that have left.

use super::Router;
use crate::clock::elapsed;
use crate::event_loop::ClientRead;
use slatevalve::Micros;
use slatevalve_platform::front::LinkId;
use tracing::{debug, warn};

/// What is known of the input that is being handled.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InputState {
    /// Upper bound of the time for which it waited to be read.
    pub(super) age: Micros,
    /// Whether its client may have left or cancelled its calls behind it.
    pub(super) client_may_have_left: bool,
}

impl Router {
    /// Closes clients that do not read, if all of them together have too many bytes waiting.
    pub(super) fn close_slow_clients(&mut self, now: Micros) {
        for link in self.clients.begin_iteration(&mut self.reactor) {
            warn!(now = now.0, link = link.0, "closed a client that does not read its answers");
            self.client_left(now, link);
        }
    }

    /// Handles the input of clients until all is read or the time for it is used up.
    pub(super) fn serve_clients(&mut self, now: Micros) {
        for link in self.clients.close_departed(now, &mut self.reactor) {
            debug!(now = now.0, link = link.0, "client has closed its connection behind unread input");
            self.client_left(now, link);
        }
        if !self.clients.has_input() {
            return;
        }
        let mut began = self.clock.now();
        while let Some(ClientRead { link, input, turn, read }) =
            self.clients.read_next(now, &mut self.reactor)
        {
            let client_may_have_left = turn.client_may_have_left(read.bytes, read.unread);
            self.input = InputState { age: turn.age, client_may_have_left };
            self.serve_client(now, link, input);
            let ended = self.clock.now();
            self.clients.end_turn(now, turn, read, elapsed(began, ended));
            began = ended;
        }
    }

    /// Closes clients that are silent, but not those whose input waits to be read.
    pub(super) fn expire_silent_clients(&mut self, now: Micros) {
        if self.front.next_wake().is_some_and(|at| at <= now) {
            for link in self.clients.waiting() {
                self.front.restart_timeouts(now, link);
            }
        }
        self.front.advance(now, &mut self.to_front);
    }

    /// Handles bytes of a client, or the end of its connection.
    fn serve_client(&mut self, now: Micros, link: LinkId, input: Option<Vec<u8>>) {
        match input {
            Some(bytes) => {
                self.received_bytes.from_clients += bytes.len();
                let ready = self.is_ready();
                self.front.received(now, link, &bytes, ready, &mut self.to_front);
                self.drain_outputs(now);
            }
            None => {
                debug!(now = now.0, link = link.0, "client closed its connection");
                self.client_left(now, link);
            }
        }
    }

    /// Gives up the calls of a client that has left.
    fn client_left(&mut self, now: Micros, link: LinkId) {
        self.front.closed(link, &mut self.to_front);
        self.drain_outputs(now);
    }
}
