//! Turns of the MQTT clients: reading and handling their input.

use super::GatewayServer;
use crate::clock::elapsed;
use crate::event_loop::ClientRead;
use slatevalve::Micros;
use slatevalve_mqtt::LinkId;
use tracing::warn;

impl GatewayServer {
    /// Closes clients that do not read, if all of them together have too many bytes waiting.
    pub(super) fn close_slow_clients(&mut self, now: Micros) {
        for link in self.clients.begin_iteration(&mut self.reactor) {
            warn!(link = link.0, "closed a client that does not read its answers");
            self.client_left(now, link);
        }
    }

    /// Handles the input of clients until all is read or the time for it is used up.
    pub(super) fn serve_clients(&mut self, now: Micros) {
        if !self.clients.has_input() {
            return;
        }
        let mut began = self.clock.now();
        while let Some(ClientRead { link, input, turn, read }) =
            self.clients.read_next(now, &mut self.reactor)
        {
            self.input_age = turn.age;
            self.handle_client_input(now, link, input);
            let ended = self.clock.now();
            self.clients.end_turn(now, turn, read, elapsed(began, ended));
            began = ended;
        }
    }

    /// Handles bytes of a client, or the end of its connection.
    fn handle_client_input(&mut self, now: Micros, link: LinkId, input: Option<Vec<u8>>) {
        match input {
            Some(bytes) => {
                self.front.received(now, link, &bytes, &mut self.front_outputs);
                self.drain_outputs(now);
            }
            None => self.client_left(now, link),
        }
    }

    fn client_left(&mut self, now: Micros, link: LinkId) {
        self.front.closed(now, link, &mut self.front_outputs);
        self.drain_outputs(now);
    }
}
