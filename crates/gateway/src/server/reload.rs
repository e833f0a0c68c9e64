//! Reload of the settings file, and replacement of the worker list by a complete new one.

use super::GatewayServer;
use crate::settings::{ListedWorker, Site};
use slatevalve::{Listing, Micros, Scope, WorkerId, WorkerState};
use slatevalve_sexpr::FormError;
use std::collections::BTreeSet;
use tracing::{error, info};

impl GatewayServer {
    /// Handles SIGHUP: reloads the plug-in catalogue, and the worker list, signature keys and class rights of
    /// the settings file. A settings file with an error changes nothing.
    pub(super) fn reload(&mut self) {
        if let Some(plugins) = &self.plugins {
            plugins.reload();
        }
        let Some(path) = &self.settings_file else { return };
        let loaded: Result<Site, FormError> = Site::load(path, &self.clock, self.site.name_tables.clone());
        match loaded {
            Ok(site) => self.apply_reloaded(site),
            Err(error) => error!(%error, "settings file rejected; worker list unchanged"),
        }
    }

    fn apply_reloaded(&mut self, site: Site) {
        info!(workers = site.workers.len(), "worker list read again");
        if let (Some(plugins), Some(settings)) = (&mut self.plugins, site.plugins) {
            plugins.set_admission_policy(settings.admission_policy);
        }
        self.site.name_tables = site.name_tables;
        self.site.workers = site.workers.clone();
        if self.source.is_none() {
            self.apply_worker_list(Scope::Full, &site.workers);
        }
    }

    /// Applies a complete worker list. Workers that it no longer contains are gone.
    pub(super) fn apply_worker_list(&mut self, scope: Scope, workers: &[ListedWorker]) {
        let now = self.clock.now();
        let mut listed = BTreeSet::new();
        let mut not_accepting = Vec::new();
        for line in workers.iter().filter(|line| line.entry.state != WorkerState::Gone) {
            let worker = line.entry.id;
            let address_changed = self.pool.list(&mut self.reactor, worker, &line.name, line.address);
            if address_changed || line.entry.state == WorkerState::Draining {
                not_accepting.push(worker);
            }
            listed.insert(worker);
        }
        for worker in std::mem::take(&mut self.workers_listed).difference(&listed) {
            info!(worker = self.pool.name(*worker), "worker is gone");
            self.pool.unlist(&mut self.reactor, *worker);
            not_accepting.push(*worker);
        }
        self.workers_listed = listed;
        let entries = workers.iter().map(|line| line.entry.clone()).collect();
        let listing = Listing { scope, entries };
        self.engine.workers_listed(now, listing, &mut self.engine_outputs);
        self.cancel_unsent(now, not_accepting);
        self.drain_outputs(now);
    }

    /// Cancels unsent requests to workers that accept no new ones. The engine must have received their new
    /// state before.
    pub(super) fn cancel_unsent(&mut self, now: Micros, workers: Vec<WorkerId>) {
        self.worker_side().cancel_unsent(now, workers);
    }
}
