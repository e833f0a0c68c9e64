//! Requests of the gateway to a worker: encoded by the gateway, parsed by the test worker.

mod encode;
mod parse;

use crate::TensorError;
use std::error::Error;
use std::fmt;

/// A call of a function, as it is sent to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Call {
    /// Name of the function.
    pub function: String,
    /// Requested version; `None` for the worker's current version.
    pub version: Option<String>,
    /// Payload, opaque to the gateway.
    pub payload: Vec<u8>,
    /// Idempotency key, by which workers drop duplicates; only for classes with side effects.
    pub key: Option<Vec<u8>>,
    /// The gateway's id of the call.
    pub request_id: String,
    /// Number of the attempt, from 0.
    pub attempt: usize,
    /// Milliseconds until the client's deadline.
    pub time_remaining_ms: u64,
    /// Name of the class.
    pub class: String,
    /// Versions of the settings documents under which the call is sent: none without settings documents,
    /// usually one, and two during a change of settings.
    pub settings: Vec<u64>,
}

/// A request to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerRequest {
    /// Run a call.
    Infer(Call),
    /// Load replicas of a function.
    Load {
        /// Name of the function.
        function: String,
        /// Target number of loaded replicas, including those already loaded.
        copies: u32,
    },
    /// Report the number of loaded replicas of a function.
    Count {
        /// Name of the function.
        function: String,
    },
    /// Unload the idle replicas of a function.
    Unload {
        /// Name of the function.
        function: String,
    },
    /// Health check.
    Ready,
}

impl WorkerRequest {
    /// Drops the payload of a call, which is not needed once the request is encoded.
    pub fn discard_payload(&mut self) {
        if let WorkerRequest::Infer(call) = self {
            call.payload = Vec::new();
        }
    }
}

/// Why a message is not a request of this profile. The worker responds with 400 or 404, without
/// [`NOT_EXECUTED`].
///
/// [`NOT_EXECUTED`]: crate::headers::NOT_EXECUTED
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The method and path, separated by a space, are unknown.
    Unknown(String),
    /// The header with this name is missing or malformed.
    Header(&'static str),
    /// The body does not contain a valid payload.
    Tensor(TensorError),
    /// The JSON body lacks a required member.
    Body,
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestError::Unknown(target) => write!(f, "no such method and path: {target}"),
            RequestError::Header(name) => write!(f, "header {name} is missing or malformed"),
            RequestError::Tensor(error) => error.fmt(f),
            RequestError::Body => f.write_str("the JSON body is malformed"),
        }
    }
}

impl Error for RequestError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            RequestError::Tensor(error) => Some(error),
            RequestError::Unknown(_) | RequestError::Header(_) | RequestError::Body => None,
        }
    }
}

impl From<TensorError> for RequestError {
    fn from(error: TensorError) -> Self {
        RequestError::Tensor(error)
    }
}

/// A request as a worker receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedRequest {
    /// The decoded request.
    pub request: WorkerRequest,
    /// Name of the gateway that sent it; `None` without the header [`GATEWAY`](crate::headers::GATEWAY).
    pub gateway: Option<String>,
}
