//! Reload of the settings file, and worker lists that replace the current one as a whole.

use super::GatewayServer;
use crate::settings::{Site, WorkerLine};
use slatevalve::{Listing, Micros, Scope, WorkerId, WorkerState};
use slatevalve_sexpr::FormError;
use std::collections::BTreeSet;
use tracing::{error, info};

impl GatewayServer {
    /// SIGHUP: reads the plug-in catalogue and the settings file's worker list again. A file with an error changes nothing.
    pub(super) fn reload(&mut self) {
        if let Some(plugins) = &self.plugins {
            plugins.reload();
        }
        let Some(path) = &self.settings_file else { return };
        let read: Result<Site, FormError> = Site::load(path, &self.clock, self.site.named.clone());
        match read {
            Ok(site) => self.apply_reloaded(site),
            Err(error) => error!(%error, "settings file rejected; worker list unchanged"),
        }
    }

    fn apply_reloaded(&mut self, site: Site) {
        info!(workers = site.workers.len(), "worker list read again");
        if let (Some(plugins), Some(settings)) = (&mut self.plugins, site.plugins) {
            plugins.set_admission_policy(settings.admission_policy);
        }
        self.site.named = site.named;
        self.site.workers = site.workers.clone();
        if self.source.is_none() {
            self.apply_worker_list(Scope::Full, &site.workers);
        }
    }

    /// Applies a complete worker list. Workers that it no longer names are gone.
    pub(super) fn apply_worker_list(&mut self, scope: Scope, workers: &[WorkerLine]) {
        let now = self.clock.now();
        let mut named = BTreeSet::new();
        let mut not_accepting = Vec::new();
        for line in workers.iter().filter(|line| line.entry.state != WorkerState::Gone) {
            let worker = line.entry.id;
            let moved = self.pool.list(&mut self.reactor, worker, &line.name, line.address);
            if moved || line.entry.state == WorkerState::Draining {
                not_accepting.push(worker);
            }
            named.insert(worker);
        }
        for worker in std::mem::take(&mut self.workers_listed).difference(&named) {
            info!(worker = self.pool.name(*worker), "worker is gone");
            self.pool.unlist(&mut self.reactor, *worker);
            not_accepting.push(*worker);
        }
        self.workers_listed = named;
        let entries = workers.iter().map(|line| line.entry.clone()).collect();
        let listing = Listing { scope, entries };
        self.engine.workers_listed(now, listing, &mut self.to_engine);
        self.cancel_unsent(now, not_accepting);
        self.drain_outputs(now);
    }

    /// Cancels unsent requests to workers that take no new ones; the engine knows of their state already.
    pub(super) fn cancel_unsent(&mut self, now: Micros, workers: Vec<WorkerId>) {
        self.worker_side().cancel_unsent(now, workers);
    }
}
