//! The shell's part in membership: opening the source that the settings name, and carrying its news to the pool and the
//! engine, in order, so that a drain is the module's before anything else of its batch.

use super::{GatewayError, GatewayServer};
use crate::members::{News, Recorder, RegistrySource, ReplaySource, Source};
use crate::settings::{MemberSource, Site, WorkerLine};
use slatevalve::{Listing, Micros, Scope, WorkerEntry, WorkerId, WorkerState};
use slatevalve_engine::worker_id;
use slatevalve_registry::{RouterRecord, WorkerRecord};
use std::collections::BTreeMap;
use tracing::{info, warn};

type Opened = (Option<Box<dyn Source>>, Option<Recorder>);

pub(super) fn open(site: &Site, up_since_unix_ms: i64) -> Result<Opened, GatewayError> {
    Ok(match &site.members {
        None => (None, None),
        Some(MemberSource::Replay(path)) => {
            let source = ReplaySource::open(path).map_err(|e| GatewayError::Record(path.clone(), e))?;
            (Some(Box::new(source)), None)
        }
        Some(MemberSource::Registry(settings)) => {
            let recorder = settings
                .record
                .as_ref()
                .map(|path| Recorder::open(path).map_err(|e| GatewayError::Record(path.clone(), e)));
            let record = RouterRecord { zone: site.zone.clone(), up_since_unix_ms };
            let routers = site.engine.module.routers;
            let source = RegistrySource::new((**settings).clone(), &site.name, &record, routers);
            (Some(Box::new(source)), recorder.transpose()?)
        }
    })
}

impl GatewayServer {
    /// Carries out what the source has told.
    pub(super) fn take_news(&mut self, now: Micros) {
        let news = self.source.as_mut().map(|s| s.take_news()).unwrap_or_default();
        for news in news {
            if let Some(Err(error)) = self.recorder.as_mut().map(|r| r.note(now, &news)) {
                warn!(%error, "the list of workers is not recorded any more");
                self.recorder = None;
            }
            match news {
                News::Full(workers) => self.take_records(Scope::Full, &workers),
                News::Remembered(workers) => self.take_records(Scope::Remembered, &workers),
                News::Changes(changes) => self.take_changes(now, changes),
                News::Refused => {
                    let listing = Listing { scope: Scope::Refused, entries: Vec::new() };
                    self.engine.listed(now, listing, &mut self.to_engine);
                }
                News::Routers(routers) => self.engine.routers(now, routers, &mut self.to_engine),
            }
        }
        self.drain_outputs(now);
    }

    /// The line of a worker; none where another worker has its id.
    fn line(&mut self, name: &str, record: &WorkerRecord) -> Option<WorkerLine> {
        let mut line = WorkerLine::of(name, record, &mut self.site.named, &self.clock);
        let known = self.names.entry(line.entry.id).or_insert_with(|| name.into());
        if known != name {
            warn!(name, other = known.as_str(), "a worker has the same id as another one; it is not used");
            return None;
        }
        if let (Some(said), Some(ours)) = (record.up_since_unix_ms, line.entry.up_since) {
            line.entry.up_since = Some(self.starts.of(self.clock.now(), line.entry.id, said, ours));
        }
        Some(line)
    }

    fn take_records(&mut self, scope: Scope, workers: &BTreeMap<String, WorkerRecord>) {
        self.names.retain(|_, name| workers.contains_key(name));
        let names = &self.names;
        self.starts.keep(|id| names.contains_key(id));
        let lines: Vec<WorkerLine> = workers.iter().filter_map(|(n, r)| self.line(n, r)).collect();
        info!(workers = lines.len(), ?scope, "the list of workers");
        self.take_list(scope, &lines);
    }

    fn take_changes(&mut self, now: Micros, changes: Vec<(String, Option<WorkerRecord>)>) {
        let mut entries = Vec::new();
        let mut held_back = Vec::new();
        for (name, record) in changes {
            match record {
                Some(record) => {
                    let Some(line) = self.line(&name, &record) else { continue };
                    info!(worker = name, state = ?line.entry.state, "worker");
                    let moved = self.pool.list(&mut self.reactor, line.entry.id, &name, line.address);
                    held_back.extend(
                        (moved || line.entry.state == WorkerState::Draining).then_some(line.entry.id),
                    );
                    self.listed.insert(line.entry.id);
                    entries.push(line.entry);
                }
                None => {
                    let gone = self.gone(&name);
                    held_back.extend(gone.as_ref().map(|g| g.id));
                    entries.extend(gone);
                }
            }
        }
        let listing = Listing { scope: Scope::Changes, entries };
        self.engine.listed(now, listing, &mut self.to_engine);
        self.cancel_unsent(now, held_back);
    }

    fn gone(&mut self, name: &str) -> Option<WorkerEntry> {
        let id: WorkerId = worker_id(name);
        if self.names.get(&id).is_none_or(|n| n != name) {
            return None;
        }
        self.names.remove(&id);
        info!(worker = name, "worker is gone");
        self.pool.unlist(&mut self.reactor, id);
        self.listed.remove(&id);
        Some(WorkerEntry { id, state: WorkerState::Gone, ..WorkerEntry::default() })
    }
}
