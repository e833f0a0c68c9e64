//! Errors that end the process.

use slatevalve_site_config::FieldError;
use std::error::Error;
use std::{fmt, io};

/// Why the process ends.
#[derive(Debug)]
pub(crate) enum AdapterError {
    /// The standard input cannot be read.
    Input(io::Error),
    /// The standard output cannot be written.
    Output(io::Error),
    /// A batch cannot be read.
    Batch(BatchError),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Input(e) => write!(f, "input: {e}"),
            AdapterError::Output(e) => write!(f, "output: {e}"),
            AdapterError::Batch(e) => e.fmt(f),
        }
    }
}

impl Error for AdapterError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            AdapterError::Input(e) | AdapterError::Output(e) => Some(e),
            AdapterError::Batch(e) => e.source(),
        }
    }
}

impl From<BatchError> for AdapterError {
    fn from(e: BatchError) -> Self {
        AdapterError::Batch(e)
    }
}

/// Why a batch cannot be read.
#[derive(Debug)]
pub(crate) enum BatchError {
    /// It is not JSON.
    Json(serde_json::Error),
    /// Its number cannot be read.
    Number(FieldError),
    /// Another of its own fields cannot be read.
    Field {
        /// The number of the batch.
        batch: u64,
        /// The field's error.
        error: FieldError,
    },
    /// An event cannot be read.
    Event {
        /// The number of the batch.
        batch: u64,
        /// The event's index in the batch, from 0.
        index: usize,
        /// The event's kind, where it could be read.
        kind: Option<String>,
        /// The event's error.
        error: EventError,
    },
}

impl fmt::Display for BatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BatchError::Json(e) => write!(f, "batch: not JSON: {e}"),
            BatchError::Number(e) => write!(f, "batch: {e}"),
            BatchError::Field { batch, error } => write!(f, "batch {batch}: {error}"),
            BatchError::Event { batch, index, kind: None, error } => {
                write!(f, "batch {batch}: event {index}: {error}")
            }
            BatchError::Event { batch, index, kind: Some(kind), error } => {
                write!(f, "batch {batch}: event {index} ({kind}): {error}")
            }
        }
    }
}

impl Error for BatchError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            BatchError::Json(e) => Some(e),
            BatchError::Number(e) | BatchError::Field { error: e, .. } => Some(e),
            BatchError::Event { error, .. } => Some(error),
        }
    }
}

/// Why an event cannot be handled.
#[derive(Debug)]
pub(crate) enum EventError {
    /// A field is missing or invalid.
    Field(FieldError),
    /// The event names a worker list that was not sent.
    UnknownPage(u64),
    /// The event names an instance that is not running.
    UnknownInstance(String),
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::Field(e) => e.fmt(f),
            EventError::UnknownPage(page) => write!(f, "field 'page': no list {page} was given"),
            EventError::UnknownInstance(instance) => {
                write!(f, "field 'i': no instance '{instance}' is running")
            }
        }
    }
}

impl Error for EventError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            EventError::Field(e) => Some(e),
            EventError::UnknownPage(_) | EventError::UnknownInstance(_) => None,
        }
    }
}

impl From<FieldError> for EventError {
    fn from(e: FieldError) -> Self {
        EventError::Field(e)
    }
}
