//! The plan of the test OCI registry, passed to it as JSON.

use crate::listen::ANY_PORT;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What happens to a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RegistryFaultKind {
    /// The connection is closed after this many bytes of it.
    Cut(usize),
    /// It is not sent.
    Stall,
    /// One bit of its last byte is inverted.
    Flip,
    /// It is a body without an end.
    Endless,
    /// It is a redirect to this location.
    Redirect(String),
    /// It has this status, and `Retry-After: 0`.
    Status(u16),
    /// It is delayed by this many milliseconds.
    Late(u64),
}

/// A fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryFault {
    /// The fault affects requests whose `METHOD TARGET` contains this text.
    pub on: String,
    /// The number of affected requests; 0 for all.
    pub times: u64,
    /// What happens to the responses.
    pub kind: RegistryFaultKind,
}

/// The plan of a registry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct RegistryPlan {
    /// The listening address; with port 0 the kernel chooses one.
    pub listen: SocketAddr,
    /// The folder of its content.
    pub folder: PathBuf,
    /// Name and password; none for a registry without authentication.
    pub user: Option<(String, String)>,
    /// Whether it requires a token, which is issued for name and password.
    pub tokens: bool,
    /// The token: a text that cannot be guessed.
    pub token: String,
    /// Its faults.
    pub faults: Vec<RegistryFault>,
    /// The file for its trace: a JSON object a line for each request.
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
            faults: Vec::new(),
            trace: None,
        }
    }
}
