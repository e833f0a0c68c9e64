//! The change log's connection, and the application of its events to the worker list.

use super::Router;
use crate::clock::after;
use slatevalve::{Micros, WorkerId, WorkerState};
use slatevalve_platform::changes::{Change, ChangeLogOutput, ContactEvent, LIST_LEASE};
use slatevalve_reactor::ReactorEvent;
use std::collections::{BTreeSet, HashSet};
use tracing::{debug, info, warn};

/// Limit of invalid messages of the change log that are logged individually.
const MAX_INVALID_MESSAGES_LOGGED: u64 = 20;

/// Workers for which a change requires more than recording the new state.
#[derive(Default)]
struct AffectedWorkers {
    removed: Vec<WorkerId>,
    /// Workers whose unsent requests are cancelled: draining, moved to another address, replaced or removed.
    not_accepting: Vec<WorkerId>,
}

impl Router {
    /// Handles an event of the change log's connection.
    pub(super) fn handle_log_event(&mut self, now: Micros, event: ReactorEvent) {
        let (outputs, read_delay) = (&mut self.log_outputs, self.read_delay);
        match event {
            ReactorEvent::Connected(_) => self.change_log.connected(now, outputs),
            ReactorEvent::Received(_, bytes) => self.change_log.received(now, read_delay, &bytes, outputs),
            ReactorEvent::Closed { .. } => {
                self.log_connection = None;
                self.change_log.closed(now, outputs);
            }
            _ => {}
        }
        self.drain_log_outputs(now);
    }

    /// Runs the expired timers of the change log client.
    pub(super) fn advance_log(&mut self, now: Micros) {
        self.change_log.advance(now, &mut self.log_outputs);
        self.drain_log_outputs(now);
    }

    /// Executes the outputs of the change log client until none is left, then the outputs that the changes
    /// produced.
    fn drain_log_outputs(&mut self, now: Micros) {
        while !self.log_outputs.is_empty() {
            for output in std::mem::take(&mut self.log_outputs) {
                self.execute_log_output(now, output);
            }
        }
        self.drain_outputs(now);
    }

    fn execute_log_output(&mut self, now: Micros, output: ChangeLogOutput) {
        match output {
            ChangeLogOutput::Connect(address) => match self.reactor.connect(address) {
                Ok(id) => self.log_connection = Some(id),
                Err(_) => self.change_log.closed(now, &mut self.log_outputs),
            },
            ChangeLogOutput::Write(bytes) => {
                if let Some(id) = self.log_connection {
                    self.reactor.write(id, &bytes);
                }
            }
            ChangeLogOutput::Close => {
                if let Some(id) = self.log_connection.take() {
                    self.reactor.close(id);
                }
            }
            ChangeLogOutput::Change(change) => self.apply_change(now, change),
            ChangeLogOutput::Malformed(error) => {
                self.invalid_log_messages += 1;
                if self.invalid_log_messages <= MAX_INVALID_MESSAGES_LOGGED {
                    warn!(%error, "invalid response, or line of one, from the change log");
                }
            }
            ChangeLogOutput::Contact(event) => self.handle_contact(now, event),
        }
    }

    /// Renews the lease on the worker list: it was confirmed to be complete as of `as_of`, and may be used for
    /// `lease` from `now`.
    pub(super) fn confirm_list(&mut self, now: Micros, as_of: Micros, lease: Micros) {
        if std::mem::take(&mut self.list_expiry_handled) {
            info!(now = now.0, seq = self.change_log.seq(), "the worker list is current again");
        }
        self.list_expires_at = after(now, lease);
        self.engine.worker_list_confirmed(now, as_of, lease, &mut self.to_engine);
    }

    /// Ends the lease on the worker list, which may be out of date. Unsent requests that were assigned by it
    /// are cancelled; the engine assigns them again after the next answer of the log or after probing
    /// workers.
    fn expire_list(&mut self, now: Micros) {
        debug!(
            now = now.0,
            seq = self.change_log.seq(),
            "answer of the change log was read late; the worker list may be out of date"
        );
        self.list_expires_at = now;
        self.engine.worker_list_expired(now, &mut self.to_engine);
        self.worker_side().cancel_all_unsent(now);
    }

    /// When the lease on the worker list expires, unless it already has.
    pub(super) fn next_list_expiry(&self) -> Option<Micros> {
        (!self.list_expiry_handled).then_some(self.list_expires_at)
    }

    /// Handles the end of the lease on the worker list, once per expiry: logs it, and cancels the unsent
    /// requests, which the engine then assigns by what workers say themselves.
    pub(super) fn handle_list_expiry(&mut self, now: Micros) {
        if now >= self.list_expires_at && !std::mem::replace(&mut self.list_expiry_handled, true) {
            warn!(
                now = now.0,
                seq = self.change_log.seq(),
                "the worker list is out of date; workers are probed before new calls are sent to them"
            );
            self.worker_side().cancel_all_unsent(now);
            self.drain_outputs(now);
        }
    }

    fn handle_contact(&mut self, now: Micros, event: ContactEvent) {
        let seq = self.change_log.seq();
        match event {
            ContactEvent::Confirmed { age } => {
                let as_of = Micros(now.0.saturating_sub(age.0));
                self.confirm_list(now, as_of, Micros(LIST_LEASE.0.saturating_sub(age.0)));
            }
            ContactEvent::Outdated => self.expire_list(now),
            ContactEvent::Lost { failure, silent_for } => {
                self.list_outages += 1;
                let silent_us = silent_for.map(|time| time.0);
                warn!(now = now.0, seq, ?failure, silent_us, "the change log cannot be reached");
            }
            ContactEvent::Restored { failures, outage } => {
                info!(now = now.0, seq, failures, outage_us = outage.0, "the change log answers again");
            }
        }
    }

    /// Applies an event of the change log to pool and engine.
    pub(super) fn apply_change(&mut self, now: Micros, change: Change) {
        let AffectedWorkers { removed, not_accepting } = self.update_workers(&change);
        self.list_members += change.lines.len();
        debug!(now = now.0, seq = self.change_log.seq(), ?change, "change");
        // The engine is updated first: it reassigns the cancelled requests, and must know about the drain by
        // then.
        self.engine.workers_listed(now, change.listing(), &mut self.to_engine);
        self.worker_side().cancel_unsent(now, not_accepting);
        for worker in removed {
            self.pool.unlist(&mut self.reactor, worker);
        }
    }

    /// Updates the worker table and the addresses in the pool.
    fn update_workers(&mut self, change: &Change) -> AffectedWorkers {
        let mut affected = AffectedWorkers::default();
        let mut removed: BTreeSet<WorkerId> = BTreeSet::new();
        if change.complete {
            let listed: HashSet<WorkerId> = change.lines.iter().map(|line| line.entry.id).collect();
            removed.extend(self.workers.keys().filter(|worker| !listed.contains(worker)));
        }
        for line in &change.lines {
            let worker = line.entry.id;
            let (state, address) = match (line.entry.state, line.address) {
                (WorkerState::Gone, _) | (_, None) => {
                    removed.insert(worker);
                    continue;
                }
                (state, Some(address)) => (state, address),
            };
            // Removed and added again by one event: unsent requests were meant for the previous instance.
            let replaced = removed.remove(&worker);
            let moved = self.pool.list(&mut self.reactor, worker, &line.name, address);
            self.workers.insert(worker, state);
            if state == WorkerState::Draining || moved || replaced {
                affected.not_accepting.push(worker);
            }
        }
        for worker in &removed {
            self.workers.remove(worker);
            affected.not_accepting.push(*worker);
        }
        affected.removed.extend(removed);
        affected
    }
}
