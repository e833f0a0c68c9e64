//! SIGHUP: reload of the configuration.

use super::{startup, Router};
use crate::clock::after;
use slatevalve::Micros;
use tracing::{error, info};

/// Retries of a reload whose file is invalid: it may be half written.
const RELOAD_RETRIES: u32 = 20;
/// Time between these.
const RELOAD_RETRY_INTERVAL: Micros = Micros(100_000);

/// A reload that is to be tried again.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReloadRetry {
    /// Further retries after this one.
    retries_after: u32,
    pub(super) at: Micros,
}

impl Router {
    /// Reads the configuration again; the address of its change log applies from now on. A file that is invalid changes
    /// nothing, and is read again for a while.
    pub(super) fn reload_on_signal(&mut self, now: Micros) {
        self.reload(now, RELOAD_RETRIES);
    }

    /// Tries a reload again once it is due.
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
                self.watch_state.set_address(now, config.changelog, &mut self.log_outputs);
                self.advance_log(now);
            }
            Err(error) => {
                // Logged by the first attempt and by the last.
                if retries == RELOAD_RETRIES || retries == 0 {
                    error!(%error, "the configuration was not taken; all stays as it was");
                }
                self.reload_retry = retries.checked_sub(1).map(|retries_after| ReloadRetry {
                    retries_after,
                    at: after(now, RELOAD_RETRY_INTERVAL),
                });
            }
        }
    }
}
