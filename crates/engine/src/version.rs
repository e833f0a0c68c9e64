//! The version of a function for which a call was accepted.

use std::sync::Arc;

/// The version to which the function name of a call resolved when the call was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Name of the version, as sent to clients.
    pub name: Arc<str>,
    /// Digest of the version's content. A result is accepted only if the worker reports this digest.
    pub digest: Arc<str>,
    /// Function name used by the balancer and the workers; one for each digest.
    pub function: Arc<str>,
}
