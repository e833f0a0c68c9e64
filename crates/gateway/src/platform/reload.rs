//! Reload of the configuration on SIGHUP.

use super::{startup, Router};
use crate::clock::after;
use slatevalve::Micros;
use tracing::{error, info};

/// Number of retries if the file is invalid: it may be only partly written.
const RELOAD_RETRIES: u32 = 20;
/// Time between two retries.
const RELOAD_RETRY_INTERVAL: Micros = Micros(100_000);

/// A scheduled retry of a reload.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReloadRetry {
    /// Number of retries left after this one.
    retries_after: u32,
    pub(super) at: Micros,
}

impl Router {
    /// Reads the configuration again and applies the address of the change log. An invalid file changes
    /// nothing; reading it is retried [`RELOAD_RETRIES`] times.
    pub(super) fn reload_on_signal(&mut self, now: Micros) {
        self.reload(now, RELOAD_RETRIES);
    }

    /// Retries a reload once it is due.
    pub(super) fn retry_reload_if_due(&mut self, now: Micros) {
        if let Some(retry) = self.reload_retry.filter(|retry| retry.at <= now) {
            self.reload(now, retry.retries_after);
        }
    }

    fn reload(&mut self, now: Micros, retries: u32) {
        self.reload_retry = None;
        match startup::load(&self.file) {
            Ok(config) => {
                info!(changelog = %config.changelog, "configuration read again");
                self.change_log.set_address(now, config.changelog, &mut self.log_outputs);
                self.advance_log(now);
            }
            Err(error) => {
                // Only the first and the last failure are logged.
                if retries == RELOAD_RETRIES || retries == 0 {
                    error!(%error, "the configuration was not taken; the previous one stays in effect");
                }
                self.reload_retry = retries.checked_sub(1).map(|retries_after| ReloadRetry {
                    retries_after,
                    at: after(now, RELOAD_RETRY_INTERVAL),
                });
            }
        }
    }
}
