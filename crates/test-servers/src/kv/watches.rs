//! Watches on the test registry.

use super::plan::KvFaultKind;
use super::server::Server;
use slatevalve_reactor::Id;
use slatevalve_registry::serve;
use slatevalve_registry::wire::{Header, WatchCreate, WatchEvent, WatchRequest, WatchResponse};

/// The number of events in one fragment of a response.
const FRAGMENT_EVENTS: usize = 100;

/// The watch of a connection.
pub(super) struct Watch {
    create: WatchCreate,
    /// The first revision whose events were not sent yet.
    next_revision: i64,
}

impl Server {
    pub(super) fn start_watch(&mut self, id: Id, body: &[u8]) {
        let request = serde_json::from_slice::<WatchRequest>(body).ok();
        let Some(create) = request.and_then(|request| request.create_request) else {
            return self.reactor.close_gracefully(id);
        };
        self.reactor.write(id, serve::WATCH_HEAD);
        let next_revision =
            if create.start_revision > 0 { create.start_revision } else { self.store.revision() + 1 };
        let header = self.store.header();
        self.write_line(id, WatchResponse { header, created: true, ..WatchResponse::default() });
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.watch = Some(Watch { create, next_revision });
        }
    }

    /// Writes one line of a watch response as one chunk, or as two while a fault splits lines.
    fn write_line(&mut self, id: Id, response: WatchResponse) {
        let line = serve::watch_line(response);
        let first_length = if self.is_active(&KvFaultKind::Split) { line.len() / 2 } else { 0 };
        let (first, second) = line.split_at(first_length);
        for piece in [first, second].into_iter().filter(|piece| !piece.is_empty()) {
            self.reactor.write(id, &serve::chunk(piece));
        }
    }

    /// Sends the changes since the previous call to all watches.
    pub(super) fn send_watch_events(&mut self) {
        if self.is_active(&KvFaultKind::Stall) {
            return;
        }
        let is_losing = self.is_active(&KvFaultKind::Lose);
        let watching = self.peers.iter().filter(|(_, peer)| peer.watch.is_some());
        let ids: Vec<Id> = watching.map(|(id, _)| *id).collect();
        for id in ids {
            let Some(watch) = self.peers.get_mut(&id).and_then(|peer| peer.watch.take()) else { continue };
            let Watch { create, next_revision } = &watch;
            match self.store.changes(*next_revision, &create.key.0, &create.range_end.0) {
                Err(compact_revision) => self.cancel_watch(id, compact_revision),
                Ok(changes) => {
                    let header = self.store.header();
                    for (_, events) in changes.into_iter().filter(|_| !is_losing) {
                        self.send_events(id, &header, &events);
                    }
                    self.continue_watch(id, watch);
                }
            }
        }
    }

    /// Ends a watch whose next revision is compacted.
    fn cancel_watch(&mut self, id: Id, compact_revision: i64) {
        let header = self.store.header();
        let canceled = WatchResponse { header, canceled: true, compact_revision, ..WatchResponse::default() };
        self.write_line(id, canceled);
        self.reactor.write(id, serve::WATCH_END);
    }

    fn continue_watch(&mut self, id: Id, watch: Watch) {
        let next_revision = watch.next_revision.max(self.store.revision() + 1);
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.watch = Some(Watch { next_revision, ..watch });
        }
    }

    /// Sends the events of one revision in fragments.
    fn send_events(&mut self, id: Id, header: &Header, events: &[WatchEvent]) {
        let fragment_events = if self.is_active(&KvFaultKind::Split) { 1 } else { FRAGMENT_EVENTS };
        let times = if self.is_active(&KvFaultKind::Duplicate) { 2 } else { 1 };
        let fragments = events.len().div_ceil(fragment_events);
        for _ in 0..times {
            for (index, events) in events.chunks(fragment_events).enumerate() {
                let response = WatchResponse {
                    header: header.clone(),
                    events: events.to_vec(),
                    fragment: index + 1 < fragments,
                    ..WatchResponse::default()
                };
                self.write_line(id, response);
            }
        }
    }
}
