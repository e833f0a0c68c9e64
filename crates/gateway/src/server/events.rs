//! Dispatch of the reactor's events to the owner of the connection, looked up in this order: worker source,
//! config versioning, clients, bridge, admin socket, pool.

use super::{bridge, GatewayServer};
use crate::clock::before;
use signal_hook::consts::SIGHUP;
use slatevalve::Micros;
use slatevalve_reactor::{Id, ReactorEvent};
use std::io;
use tracing::error;

impl GatewayServer {
    /// Handles one event and executes the resulting outputs, so that the next event is handled with its
    /// effects in place.
    pub(super) fn handle_event(&mut self, now: Micros, event: ReactorEvent) {
        if self.source.as_mut().is_some_and(|source| source.handle_event(now, &mut self.reactor, &event)) {
            return self.take_membership_events(now);
        }
        if self
            .config_versioning
            .as_mut()
            .is_some_and(|config_versioning| config_versioning.handle_event(now, &mut self.reactor, &event))
        {
            return;
        }
        match event {
            ReactorEvent::Accepted { listener, connection, .. } => self.accepted(now, listener, connection),
            ReactorEvent::Readable(id) => self.clients.mark_readable(id, before(now, self.read_delay)),
            ReactorEvent::Received(id, bytes) => self.received(now, id, &bytes),
            ReactorEvent::Connected(id) => self.connected(now, id),
            ReactorEvent::Closed { id, connected, written } => self.closed(now, id, connected, written),
            ReactorEvent::Drained(_) => {}
            ReactorEvent::Woken => self.take_plugin_results(now),
            ReactorEvent::Signal(SIGHUP) => self.reload(),
            ReactorEvent::Signal(_) => self.stop(now),
            ReactorEvent::AcceptFailed { error, .. } => self.accept_failed(now, &error),
        }
        self.drain_outputs(now);
    }

    fn accepted(&mut self, now: Micros, listener: Id, connection: Id) {
        if listener != self.listener.id() {
            self.admin.iter_mut().for_each(|admin| admin.accepted(&mut self.reactor, connection));
            return;
        }
        let link = self.clients.add(connection);
        self.front.opened(now, link);
    }

    fn received(&mut self, now: Micros, id: Id, bytes: &[u8]) {
        if let Some(link) = bridge::by_connection(&mut self.bridge, id) {
            link.bridge.received(now, bytes, &mut self.bridge_outputs);
        } else if self.admin.as_ref().is_some_and(|admin| admin.owns(id)) {
            self.admin_received(id, bytes);
        } else {
            self.worker_side().received(now, id, bytes);
        }
    }

    fn connected(&mut self, now: Micros, id: Id) {
        match bridge::by_connection(&mut self.bridge, id) {
            Some(link) => link.bridge.connected(now, &mut self.bridge_outputs),
            None => self.worker_side().connected(now, id),
        }
    }

    fn closed(&mut self, now: Micros, id: Id, connected: bool, written: u64) {
        if let Some(link) = self.clients.remove(id) {
            self.front.closed(now, link, &mut self.front_outputs);
        } else if let Some(link) = bridge::by_connection(&mut self.bridge, id) {
            link.closed(now);
        } else if !self.admin.as_mut().is_some_and(|admin| admin.closed(id)) {
            self.worker_side().closed(now, id, connected, written);
        }
    }

    /// Pauses the public listener, whichever listener failed. The admin socket's listener stays paused: its
    /// clients belong to the gateway's own user and can connect again.
    fn accept_failed(&mut self, now: Micros, error: &io::Error) {
        error!(%error, "cannot accept connections; open ones are served");
        self.listener.pause(now);
    }

    /// Takes the results of the plug-ins' background thread and sends the replies to the admin socket.
    fn take_plugin_results(&mut self, now: Micros) {
        let Some(plugins) = &mut self.plugins else { return };
        for reply in plugins.take_results(now, &self.engine) {
            self.admin.iter_mut().for_each(|admin| admin.reply(&mut self.reactor, &reply));
        }
    }

    /// Handles bytes received on a connection of the admin socket.
    fn admin_received(&mut self, id: Id, bytes: &[u8]) {
        let (Some(admin), Some(plugins)) = (&mut self.admin, &mut self.plugins) else { return };
        let Some(command) = admin.received(&mut self.reactor, id, bytes) else { return };
        if let Some(reply) = plugins.command(&self.engine, id, command) {
            admin.reply(&mut self.reactor, &reply);
        }
    }
}
