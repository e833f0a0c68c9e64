//! Errors that terminate the process.

use slatevalve_site_config::FieldError;
use std::error::Error;
use std::{fmt, io};

/// An error that terminates the process.
#[derive(Debug)]
pub(crate) enum AdapterError {
    /// The standard input cannot be read.
    Input(io::Error),
    /// The standard output cannot be written.
    Output(io::Error),
    /// A batch cannot be decoded.
    Batch(BatchError),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Input(e) => write!(f, "cannot read batches from the standard input: {e}"),
            AdapterError::Output(e) => write!(f, "cannot write replies to the standard output: {e}"),
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

/// Why a batch cannot be decoded.
#[derive(Debug)]
pub(crate) enum BatchError {
    /// The line is not JSON.
    Json(serde_json::Error),
    /// The number of the batch is missing or invalid.
    Number(FieldError),
    /// Another field of the batch itself is missing or invalid.
    Field { batch: u64, error: FieldError },
    /// An event of the batch cannot be handled.
    Event {
        batch: u64,
        /// Index of the event in the batch, from 0.
        index: usize,
        /// `None` if the field that names the kind is missing or invalid.
        kind: Option<String>,
        error: EventError,
    },
}

impl fmt::Display for BatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BatchError::Json(e) => write!(f, "batch: the line is not valid JSON: {e}"),
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
    /// The event refers to a worker list that no earlier event contained.
    UnknownPage(u64),
    /// The event is addressed to an instance that is not running.
    UnknownInstance(String),
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::Field(e) => e.fmt(f),
            EventError::UnknownPage(page) => write!(f, "field 'page': worker list {page} was not received"),
            EventError::UnknownInstance(instance) => {
                write!(f, "field 'i': instance '{instance}' is not running")
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
