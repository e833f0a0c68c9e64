//! The `pool` form: connections to workers.

use super::forms::{sub_form, whole, Res};
use slatevalve::Micros;
use slatevalve_sexpr::{Fields, Form};

/// The default largest body of a worker's response, in bytes.
const DEFAULT_MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Connections to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// A connection that is not established after this time has failed.
    pub connect_timeout: Micros,
    /// An idle connection is closed after this time.
    pub idle_timeout: Micros,
    /// The maximum of connections to one worker.
    pub max_connections_per_worker: usize,
    /// The maximum of connections to all workers; beyond it, requests share connections where the protocol allows it.
    pub max_connections: usize,
    /// A probe without an answer after this time has timed out.
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
    /// The largest body of a worker's response, in bytes.
    pub(super) max_response: usize,
}

impl PoolForm {
    pub(super) fn read(top: &mut Fields<'_>) -> Res<Self> {
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
