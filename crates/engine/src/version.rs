//! The version of a function that a call was accepted for.

use std::sync::Arc;

/// The version that the name in a call referred to when the call was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Name of the version.
    pub name: Arc<str>,
    /// Digest of its content. Every worker that runs it must report this digest.
    pub digest: Arc<str>,
    /// Name under which the balancer and the workers know it; one function for each digest.
    pub function: Arc<str>,
}
