//! The router under test, as a child process.

use super::{ChangeLog, Client};
use crate::support::{until, Process};
use serde_json::{json, Value};
use std::path::PathBuf;

/// A running router with its configuration file and log.
pub(crate) struct Router {
    pub process: Process,
    directory: tempfile::TempDir,
}

/// A configuration that follows the log, with one class for each effect.
pub(crate) fn config(log: &ChangeLog) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim": 1000.0, "deadline": 3000.0, "effect": effect, "group": "cell",
            "key_ttl": 6000.0, "points": 1.0, "late_value": 0.1})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "changelog": log.address.to_string(), "known": log.snapshot(),
        "settings": {
            "categories": [class("quote", "pure"), class("booking", "token"), class("charge", "side_effect")],
            "zones": ["a"], "my_zone": "a", "machine_types": ["duo"], "instances": 1, "step": 2.0,
            "family_info": {"if_cold": "miss", "may_order": true, "linger_idle": 8000.0, "load_wait": 10000.0},
            "limits": {"cancel": true, "probes": true, "max_attempts": 3, "second_copies": true,
                "connect_timeout": 250.0, "conn_idle": 15000.0, "streams_per_conn": 32},
            "rules": {"answer_slack": 8.0, "drain_grace": 250.0}, "telemetry": {"via": "probe"}}})
}

impl Router {
    pub(crate) fn start(log: &ChangeLog) -> Self {
        Router::start_with(&config(log))
    }

    pub(crate) fn start_with(config: &Value) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let path = directory.path().join("log");
        let process = Process::start_in(&["platform"], &[("EDGE_CONFIG", &file)], Some(&path));
        Router { process, directory }
    }

    pub(crate) fn file(&self) -> PathBuf {
        self.directory.path().join("config.json")
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.directory.path().join("log")).unwrap_or_default()
    }

    /// Stops the router with SIGTERM and returns the table sizes that it logs on exit.
    pub(crate) fn stop(mut self) -> Vec<usize> {
        self.process.signal("TERM");
        assert_eq!(self.process.wait(), Some(0));
        let log = self.log();
        let sizes = log
            .split("sizes=[")
            .nth(1)
            .expect("the router logs its table sizes on exit")
            .split(']')
            .next()
            .unwrap();
        sizes.split(", ").map(|n| n.parse().unwrap()).collect()
    }
}

/// Waits until the router's readiness check succeeds.
pub(crate) fn wait_until_ready(router: &Router) {
    until("the router to be ready", || Client::connect(router.process.address).is_ready());
}
