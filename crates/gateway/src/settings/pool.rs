//! The `pool` form: connections to workers.

use super::forms::{sub_form, whole, FormResult};
use slatevalve::Micros;
use slatevalve_sexpr::{Fields, Form};

/// Default maximum size of the body of a worker's response, in bytes.
const DEFAULT_MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Settings of the connections to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Time after which a connection that is not established counts as failed.
    pub connect_timeout: Micros,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
    /// Maximum number of connections to one worker.
    pub max_connections_per_worker: usize,
    /// Maximum number of connections to all workers; beyond it, requests share connections if the protocol
    /// allows it.
    pub max_connections: usize,
    /// Time after which an unanswered probe has timed out.
    pub probe_timeout: Micros,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            connect_timeout: Micros(250_000),
            idle_timeout: Micros(15_000_000),
            max_connections_per_worker: 1_024,
            max_connections: usize::MAX,
            probe_timeout: Micros(1_000_000),
        }
    }
}

/// The form `(pool ...)`.
pub(super) struct PoolForm {
    pub(super) settings: PoolSettings,
    /// Maximum size of the body of a worker's response, in bytes.
    pub(super) max_response: usize,
}

impl PoolForm {
    pub(super) fn read(top: &mut Fields<'_>) -> FormResult<Self> {
        let mut pool =
            PoolForm { settings: PoolSettings::default(), max_response: DEFAULT_MAX_RESPONSE_BYTES };
        let Some(mut form) = sub_form(top, "pool")? else { return Ok(pool) };
        let settings = &mut pool.settings;
        settings.connect_timeout = form.or("connect-timeout-ms", settings.connect_timeout, Form::millis)?;
        settings.idle_timeout = form.or("idle-ms", settings.idle_timeout, Form::millis)?;
        settings.max_connections_per_worker =
            whole(&mut form, "most", settings.max_connections_per_worker, 65_536)?;
        settings.probe_timeout = form.or("probe-timeout-ms", settings.probe_timeout, Form::millis)?;
        pool.max_response = whole(&mut form, "max-response", pool.max_response, 1 << 30)?;
        form.finish()?;
        Ok(pool)
    }
}
