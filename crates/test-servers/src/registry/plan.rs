//! The plan of the test OCI registry, passed to it as JSON.

use crate::listen::ANY_PORT;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The effect of a fault on the response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RegistryFaultKind {
    /// The connection is closed after this many bytes of the response.
    Cut(usize),
    /// The response is not sent.
    Stall,
    /// One bit of the last byte of the response is inverted.
    Flip,
    /// The response has a body that does not end.
    Endless,
    /// The response is a redirect to this location.
    Redirect(String),
    /// The response has this status and `Retry-After: 0`.
    Status(u16),
    /// The response is delayed by this many milliseconds.
    Late(u64),
}

/// A fault of the responses to certain requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryFault {
    /// A text that `METHOD TARGET` of the affected requests contains.
    pub on: String,
    /// The number of matching requests that are affected; 0 for all.
    pub times: u64,
    /// The effect of the fault.
    pub kind: RegistryFaultKind,
}

/// The plan of a registry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct RegistryPlan {
    /// The listening address; with port 0 the kernel selects one.
    pub listen: SocketAddr,
    /// The folder that stores blobs and manifests.
    pub folder: PathBuf,
    /// Name and password; none for a registry without authentication.
    pub user: Option<(String, String)>,
    /// Whether requests need a token, which is issued for name and password; otherwise they state name and
    /// password.
    pub tokens: bool,
    /// The token that is issued; must be hard to guess.
    pub token: String,
    /// Number of the process, which must differ from that of earlier ones; part of the ids of uploads.
    #[serde(skip)]
    pub instance: u64,
    /// The faults; the first that matches a request applies.
    pub faults: Vec<RegistryFault>,
    /// The trace file, with one JSON object a line for each request; none for no trace.
    pub trace: Option<PathBuf>,
}

impl Default for RegistryPlan {
    fn default() -> Self {
        RegistryPlan {
            listen: ANY_PORT,
            folder: PathBuf::from("registry"),
            user: None,
            tokens: false,
            token: String::new(),
            instance: 0,
            faults: Vec::new(),
            trace: None,
        }
    }
}
