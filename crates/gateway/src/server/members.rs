//! Membership in the event loop: opens the source that the settings name, and applies its events to the pool
//! and the engine. The order of events is kept, so that the balancer handles the drains of a batch before its
//! other changes.

use super::{GatewayError, GatewayServer};
use crate::members::{MemberSettings, MembershipEvent, Recorder, RegistrySource, ReplaySource, Source};
use crate::settings::{ListedWorker, MemberSource, Site};
use slatevalve::{Listing, Micros, Scope, WorkerEntry, WorkerId, WorkerState};
use slatevalve_engine::worker_id;
use slatevalve_registry::{RouterRecord, WorkerRecord};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use tracing::{info, warn};

/// The source of members and the recorder of its events, as far as the settings name them.
type Opened = (Option<Box<dyn Source>>, Option<Recorder>);

/// Opens the source that the settings name. `up_since_unix_ms` is the start of this process in milliseconds
/// of the Unix clock.
pub(super) fn open(site: &Site, up_since_unix_ms: i64) -> Result<Opened, GatewayError> {
    match &site.members {
        None => Ok((None, None)),
        Some(MemberSource::Replay(path)) => {
            let source = ReplaySource::open(path).map_err(record_error(path))?;
            Ok((Some(Box::new(source)), None))
        }
        Some(MemberSource::Registry(settings)) => {
            let recorder = open_recorder(settings)?;
            let record = RouterRecord { zone: site.zone.clone(), up_since_unix_ms };
            let routers = site.engine.balancer.routers;
            let source = RegistrySource::new((**settings).clone(), &site.name, &record, routers);
            Ok((Some(Box::new(source)), recorder))
        }
    }
}

fn open_recorder(settings: &MemberSettings) -> Result<Option<Recorder>, GatewayError> {
    let open = |path: &PathBuf| Recorder::open(path).map_err(record_error(path));
    settings.record.as_ref().map(open).transpose()
}

/// Converts an I/O error of the file of recorded events.
fn record_error(path: &Path) -> impl FnOnce(std::io::Error) -> GatewayError + use<'_> {
    |error| GatewayError::Record(path.to_path_buf(), error)
}

impl GatewayServer {
    /// Takes, records and applies the pending events of the source.
    pub(super) fn take_membership_events(&mut self, now: Micros) {
        let events = self.source.as_mut().map(|source| source.take_membership_events()).unwrap_or_default();
        for event in events {
            self.record_event(now, &event);
            match event {
                MembershipEvent::Full(workers) => self.apply_list(Scope::Full, &workers),
                MembershipEvent::Remembered(workers) => self.apply_list(Scope::Remembered, &workers),
                MembershipEvent::Changes(changes) => self.apply_changes(now, changes),
                MembershipEvent::Refused => {
                    let listing = Listing { scope: Scope::Refused, entries: Vec::new() };
                    self.engine.workers_listed(now, listing, &mut self.engine_outputs);
                }
                MembershipEvent::Routers(routers) => {
                    self.engine.router_count_changed(now, routers, &mut self.engine_outputs)
                }
            }
        }
        self.drain_outputs(now);
    }

    fn record_event(&mut self, now: Micros, event: &MembershipEvent) {
        let Some(recorder) = &mut self.recorder else { return };
        if let Err(error) = recorder.record(now, event) {
            warn!(%error, "recording of membership events failed and has stopped");
            self.recorder = None;
        }
    }

    /// Converts a worker's record; returns `None` if another worker has the same id, which is derived from
    /// the name.
    fn listed_worker(&mut self, name: &str, record: &WorkerRecord) -> Option<ListedWorker> {
        let mut listed = ListedWorker::from_record(name, record, &mut self.site.name_tables, &self.clock);
        let worker = listed.entry.id;
        let known = self.names.entry(worker).or_insert_with(|| name.into());
        if known != name {
            warn!(
                name,
                other = known.as_str(),
                "this worker is not used because its id is the same as that of another worker"
            );
            return None;
        }
        if let (Some(reported), Some(converted)) = (record.up_since_unix_ms, listed.entry.up_since) {
            let start = self.start_times.resolve(self.clock.now(), worker, reported, converted);
            listed.entry.up_since = Some(start);
        }
        Some(listed)
    }

    fn apply_list(&mut self, scope: Scope, workers: &BTreeMap<String, WorkerRecord>) {
        self.names.retain(|_, name| workers.contains_key(name));
        let names = &self.names;
        self.start_times.retain(|worker| names.contains_key(worker));
        let listed: Vec<ListedWorker> =
            workers.iter().filter_map(|(name, record)| self.listed_worker(name, record)).collect();
        info!(workers = listed.len(), ?scope, "the list of workers");
        self.apply_worker_list(scope, &listed);
    }

    /// Applies changed workers, and cancels the unsent requests to workers that drain, were removed or have a
    /// new address.
    fn apply_changes(&mut self, now: Micros, changes: Vec<(String, Option<WorkerRecord>)>) {
        let (mut entries, mut to_cancel) = (Vec::new(), Vec::new());
        for (name, record) in changes {
            match record {
                Some(record) => {
                    let Some(listed) = self.listed_worker(&name, &record) else { continue };
                    if self.list_worker(&name, &listed) {
                        to_cancel.push(listed.entry.id);
                    }
                    entries.push(listed.entry);
                }
                None => {
                    let Some(removed) = self.unlist_worker(&name) else { continue };
                    to_cancel.push(removed.id);
                    entries.push(removed);
                }
            }
        }
        let listing = Listing { scope: Scope::Changes, entries };
        self.engine.workers_listed(now, listing, &mut self.engine_outputs);
        self.cancel_unsent(now, to_cancel);
    }

    /// Adds or updates a worker in the pool; returns whether it drains or has a new address.
    fn list_worker(&mut self, name: &str, line: &ListedWorker) -> bool {
        let worker = line.entry.id;
        info!(worker = name, state = ?line.entry.state, "worker");
        let moved = self.pool.list(&mut self.reactor, worker, name, line.address);
        self.workers_listed.insert(worker);
        moved || line.entry.state == WorkerState::Draining
    }

    /// Removes a worker from the pool; returns the entry that reports it to the engine as gone, or `None` for
    /// an unknown worker.
    fn unlist_worker(&mut self, name: &str) -> Option<WorkerEntry> {
        let id: WorkerId = worker_id(name);
        if self.names.get(&id).is_none_or(|known| known != name) {
            return None;
        }
        self.names.remove(&id);
        info!(worker = name, "worker is gone");
        self.pool.unlist(&mut self.reactor, id);
        self.workers_listed.remove(&id);
        Some(WorkerEntry { id, state: WorkerState::Gone, ..WorkerEntry::default() })
    }
}
