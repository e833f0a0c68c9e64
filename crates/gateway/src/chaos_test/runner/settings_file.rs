//! Generates the settings files of the gateways.

use super::processes::{Gateway, Worker};
use super::Runner;

impl Runner<'_> {
    /// The content of a gateway's settings file, with the current states of the workers.
    pub(super) fn settings_file(&self, index: usize) -> String {
        let mut text = self.gateway_forms(index, &self.gateways[index]);
        if let Some(fields) = &self.script.plugins {
            let folder = self.plugin_folder();
            text.push_str(&format!("(plugins (folder {folder:?}) (unlisted yes) {fields})\n"));
        }
        for entry in &self.script.load.mix {
            text.push_str(&self.route_form(&entry.class));
        }
        for (index, worker) in self.workers.iter().enumerate() {
            text.push_str(&self.worker_form(index, worker));
        }
        text
    }

    fn gateway_forms(&self, index: usize, gateway: &Gateway) -> String {
        format!(
            "(gateway (name \"{}\") (zone \"{}\") (routers {}) (seed {}))\n(mqtt (listen \"{}\") (receive-maximum 65535))\n{}\n",
            gateway.name,
            self.zone(index),
            self.script.gateways,
            (self.seed * 100 + index as u64) % 1_000_000,
            gateway.address,
            self.script.settings
        )
    }

    fn route_form(&self, class: &str) -> String {
        let tenant = if self.tenants.is_empty() { "" } else { " (tenant \"{4}\")" };
        format!("(route \"calls/{class}/+/+\" (class \"{class}\") (function \"{{3}}\"){tenant})\n")
    }

    fn worker_form(&self, index: usize, worker: &Worker) -> String {
        let restart = worker.restarted_ms.map(|ms| format!(" (up-since-unix-ms {ms})")).unwrap_or_default();
        format!(
            "(worker \"worker-{index}\" (address \"{}\") (zone \"{}\") (cell {}) (state {}){restart})\n",
            worker.address,
            self.zone(index),
            self.cell(index),
            worker.state.as_str()
        )
    }

    /// The zone of a worker or a gateway.
    pub(super) fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.script.fleet.zones)
    }

    /// The cell of a worker.
    pub(super) fn cell(&self, index: usize) -> u64 {
        (index * self.script.fleet.cells / self.script.fleet.workers) as u64
    }
}
