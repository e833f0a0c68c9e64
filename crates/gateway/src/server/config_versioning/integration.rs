//! Config versioning in the event loop: the start from documents, suspension of calls without a lease,
//! changes of settings.

use super::ConfigVersioning;
use crate::clock::Clock;
use crate::server::{GatewayError, GatewayServer, MAX_BUFFERED_BYTES};
use crate::settings::{DocumentRegistrySettings, Site, VersionedSettings};
use slatevalve::{Micros, Scope};
use slatevalve_config_versioning::SendPermission;
use slatevalve_reactor::Reactor;
use tracing::{info, warn};

impl GatewayServer {
    /// Creates a gateway whose settings come from documents; blocks until they have been read.
    ///
    /// # Errors
    /// As [`GatewayServer::new`], and if the incarnation file cannot be used.
    pub fn versioned(
        settings: DocumentRegistrySettings,
        versioned: VersionedSettings,
        clock: Clock,
    ) -> Result<Self, GatewayError> {
        let incarnation_file = settings.incarnation_file.clone().unwrap_or_default();
        let mut config_versioning = ConfigVersioning::new(settings, versioned)
            .map_err(|e| GatewayError::Record(incarnation_file, e))?;
        let mut reactor = Reactor::new(MAX_BUFFERED_BYTES).map_err(GatewayError::Loop)?;
        let site = config_versioning.first_site(&clock, &mut reactor).map_err(GatewayError::Loop)?;
        let mut server = GatewayServer::with_reactor(site, None, clock, reactor)?;
        server.config_versioning = Some(config_versioning);
        Ok(server)
    }

    /// Applies the current permission to send, before an iteration writes. Without a valid lease, cancels
    /// requests that may no longer be sent and of which no byte has been written.
    pub(in crate::server) fn apply_send_permission(&mut self) {
        let now = self.clock.now();
        let Some(config_versioning) = &mut self.config_versioning else { return };
        let permission = config_versioning.current_permission(now);
        if permission == std::mem::replace(&mut config_versioning.send_permission, permission) {
            return;
        }
        self.engine.suspend_non_idempotent(permission != SendPermission::All);
        if permission == SendPermission::All {
            info!("lease on the settings acquired: all calls are sent");
            return;
        }
        warn!("no valid lease on the settings: keyed and unsafe calls are not sent");
        let engine = &self.engine;
        let cancelled = self
            .pool
            .cancel_unsent_where(now, &mut self.reactor, |attempt| engine.is_suspended(attempt.request));
        for end in cancelled {
            self.report_completion(now, end);
        }
        self.drain_outputs(now);
    }

    /// Advances config versioning in a loop iteration and applies new settings if there are any.
    pub(in crate::server) fn advance_config_versioning(&mut self, now: Micros) {
        let Some(config_versioning) = &mut self.config_versioning else { return };
        let open_classes = || self.engine.open_classes();
        if let Some(site) = config_versioning.advance(now, &mut self.reactor, open_classes, &self.clock) {
            self.apply_settings(site);
        }
    }

    /// Replaces the settings, except for those that are only read at the start and for the number of routers,
    /// which has its own source.
    fn apply_settings(&mut self, mut site: Site) {
        self.front.set_routes(site.front.routes.clone(), site.front.documents.clone());
        self.pool.set_document_versions(&site.documents);
        self.engine.update_settings(site.engine.clone());
        site.listen = self.site.listen;
        let workers = self.source.is_none().then(|| site.workers.clone());
        if self.source.is_some() {
            site.name_tables = std::mem::take(&mut self.site.name_tables);
        }
        self.site = site;
        if let Some(workers) = workers {
            self.apply_worker_list(Scope::Full, &workers);
        }
    }
}
