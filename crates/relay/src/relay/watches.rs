//! The routers' watches: their start, the events sent on them, and their end.

use super::requests::{parse, Rejection};
use super::{Peer, Relay, RelayAction};
use slatevalve_registry::serve::{chunk, is_in_range, watch_line, WATCH_END, WATCH_HEAD};
use slatevalve_registry::wire::{prefix_end, Header, WatchCreate, WatchEvent, WatchRequest, WatchResponse};
use slatevalve_registry::WORKERS;
use std::collections::BTreeMap;

/// Maximum number of events in one line of the response to a watch.
const EVENTS_PER_LINE_MAX: usize = 100;

/// A watch of a range of keys.
pub(super) struct Watch {
    key: Vec<u8>,
    end: Vec<u8>,
    /// Set while the cache has not reached the revision from which the watch starts.
    pending: Option<PendingStart>,
}

impl Watch {
    fn is_active(&self) -> bool {
        self.pending.is_none()
    }
}

/// The start of a watch that waits for the cache to catch up.
#[derive(Clone, Copy)]
struct PendingStart {
    /// The revision after which events are requested.
    after_revision: i64,
    /// When the watch is rejected.
    deadline_us: i64,
}

/// Why all watches end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchEnd {
    /// Events can no longer be sent in order; routers list again.
    Compacted,
    /// The relay has lost its registry; routers change to another endpoint.
    Unavailable,
}

impl Relay {
    /// Starts a watch, or lets it wait if the cache has not reached its revision. Rejects watches of keys
    /// other than workers.
    pub(super) fn handle_watch_request(
        &mut self,
        now_us: i64,
        peer: Peer,
        body: &[u8],
        actions: &mut Vec<RelayAction>,
    ) {
        let create = parse::<WatchRequest>(body).ok().and_then(|request| request.create_request);
        let Some(WatchCreate { key, range_end, start_revision, .. }) = create else {
            return actions.push(RelayAction::Finish(peer));
        };
        let followed = format!("{}{WORKERS}", self.prefix).into_bytes();
        if !is_in_range(&key.0, &followed, &prefix_end(&followed)) {
            let rejection = Rejection::unimplemented("a relay watches workers only");
            return actions.push(rejection.to_action(peer));
        }
        let revision = self.cache.revision();
        let after_revision = if start_revision > 0 { start_revision - 1 } else { revision };
        let deadline_us = now_us.saturating_add(self.limits.hold_us);
        let pending = (after_revision > revision).then_some(PendingStart { after_revision, deadline_us });
        if let Some(connection) = self.connections.get_mut(&peer) {
            connection.watch = Some(Watch { key: key.0, end: range_end.0, pending });
        }
        if pending.is_none() {
            self.start_watch(peer, after_revision, actions);
        }
    }

    /// Starts the waiting watches whose revision the cache has reached, and rejects those past their
    /// deadline.
    pub(super) fn advance_pending_watches(&mut self, now_us: i64, actions: &mut Vec<RelayAction>) {
        let pending_of = |(peer, connection): (&Peer, &super::Connection)| {
            Some((*peer, connection.watch.as_ref()?.pending?))
        };
        let pending: Vec<(Peer, PendingStart)> = self.connections.iter().filter_map(pending_of).collect();
        for (peer, start) in pending {
            if start.after_revision <= self.cache.revision() {
                self.start_watch(peer, start.after_revision, actions);
            } else if now_us >= start.deadline_us {
                actions.push(Rejection::unavailable("this relay is behind").to_action(peer));
                self.remove_watch(peer);
            }
        }
    }

    fn remove_watch(&mut self, peer: Peer) {
        if let Some(connection) = self.connections.get_mut(&peer) {
            connection.watch = None;
        }
    }

    /// Starts a watch after a revision that the cache has reached, or cancels it if the history since then
    /// was discarded.
    fn start_watch(&mut self, peer: Peer, after_revision: i64, actions: &mut Vec<RelayAction>) {
        let Some(watch) = self.connections.get_mut(&peer).and_then(|connection| connection.watch.as_mut())
        else {
            return;
        };
        watch.pending = None;
        let header = self.cache.header();
        let mut bytes = WATCH_HEAD.to_vec();
        bytes.extend(encode(WatchResponse {
            header: header.clone(),
            created: true,
            ..WatchResponse::default()
        }));
        match self.cache.events_after(after_revision, &watch.key, &watch.end) {
            Some(events) => bytes.extend(encode_events(&header, &events)),
            None => {
                bytes.extend(encode_compacted(header, self.cache.oldest()));
                self.remove_watch(peer);
            }
        }
        actions.push(RelayAction::Write(peer, bytes));
    }

    /// Sends events on all active watches. Watches of the same range share one encoding.
    pub(super) fn send_events(&mut self, events: &[WatchEvent], actions: &mut Vec<RelayAction>) {
        let header = self.cache.header();
        let mut encoded: BTreeMap<(&[u8], &[u8]), Vec<u8>> = BTreeMap::new();
        for (peer, connection) in &self.connections {
            let Some(watch) = connection.watch.as_ref().filter(|watch| watch.is_active()) else { continue };
            let bytes = encoded.entry((&watch.key, &watch.end)).or_insert_with(|| {
                let in_range =
                    events.iter().filter(|event| is_in_range(&event.kv.key.0, &watch.key, &watch.end));
                encode_events(&header, &in_range.cloned().collect::<Vec<_>>())
            });
            if !bytes.is_empty() {
                actions.push(RelayAction::Write(*peer, bytes.clone()));
            }
        }
    }

    /// Ends all watches and closes their connections. After a compaction, active watches first receive a
    /// cancellation with the compacted revision.
    pub(super) fn end_watches(&mut self, end: WatchEnd, actions: &mut Vec<RelayAction>) {
        let (header, oldest) = (self.cache.header(), self.cache.oldest());
        for (peer, connection) in &mut self.connections {
            let Some(watch) = connection.watch.take() else { continue };
            if end == WatchEnd::Compacted && watch.is_active() {
                actions.push(RelayAction::Write(*peer, encode_compacted(header.clone(), oldest)));
            }
            actions.push(RelayAction::Finish(*peer));
        }
    }
}

fn encode(response: WatchResponse) -> Vec<u8> {
    chunk(&watch_line(response))
}

/// Encodes the cancellation of a watch whose history was discarded, and the end of its response.
fn encode_compacted(header: Header, oldest: i64) -> Vec<u8> {
    let compact_revision = oldest + 1;
    let response = WatchResponse { header, canceled: true, compact_revision, ..WatchResponse::default() };
    [&encode(response), WATCH_END].concat()
}

/// Encodes events as lines, one for each revision; a line of too many events is split into fragments.
fn encode_events(header: &Header, events: &[WatchEvent]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for of_revision in events.chunk_by(|one, next| one.kv.mod_revision == next.kv.mod_revision) {
        let fragments = of_revision.len().div_ceil(EVENTS_PER_LINE_MAX);
        for (index, part) in of_revision.chunks(EVENTS_PER_LINE_MAX).enumerate() {
            bytes.extend(encode(WatchResponse {
                header: header.clone(),
                events: part.to_vec(),
                fragment: index + 1 < fragments,
                ..WatchResponse::default()
            }));
        }
    }
    bytes
}
