//! Errors of a chaos test.

use crate::plugins::folder::FolderError;
use slatevalve_sexpr::FormError;
use slatevalve_trace_checker::trace::TraceError;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a chaos test could not be run.
#[derive(Debug)]
pub enum ChaosTestError {
    /// The script, or the settings that it contains, are invalid.
    Settings(FormError),
    /// The script's mix of calls names a class that its settings do not define.
    UnknownClass(String),
    /// The processes were not running by second 0 of the script.
    StartTooSlow,
    /// The output directory contains files.
    NotEmpty(PathBuf),
    /// A process could not be started, or a file could not be read or written.
    Io(io::Error),
    /// The plug-in folder of the run could not be written.
    Plugins(FolderError),
    /// A trace file contains an invalid line.
    Trace {
        /// Path of the trace file.
        file: PathBuf,
        /// The line and why it is invalid.
        source: TraceError,
    },
}

impl fmt::Display for ChaosTestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChaosTestError::Settings(error) => error.fmt(f),
            ChaosTestError::UnknownClass(class) => {
                write!(f, "the mix names class {class}, which the settings do not define")
            }
            ChaosTestError::StartTooSlow => {
                f.write_str("the processes were not running by second 0 of the script")
            }
            ChaosTestError::NotEmpty(directory) => {
                write!(f, "output directory {} is not empty", directory.display())
            }
            ChaosTestError::Io(error) => error.fmt(f),
            ChaosTestError::Plugins(error) => error.fmt(f),
            ChaosTestError::Trace { file, source } => write!(f, "{}: {source}", file.display()),
        }
    }
}

impl Error for ChaosTestError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ChaosTestError::Settings(error) => Some(error),
            ChaosTestError::Io(error) => Some(error),
            ChaosTestError::Plugins(error) => Some(error),
            ChaosTestError::Trace { source, .. } => Some(source),
            ChaosTestError::UnknownClass(_) | ChaosTestError::StartTooSlow | ChaosTestError::NotEmpty(_) => {
                None
            }
        }
    }
}

impl From<FormError> for ChaosTestError {
    fn from(error: FormError) -> Self {
        ChaosTestError::Settings(error)
    }
}

impl From<FolderError> for ChaosTestError {
    fn from(error: FolderError) -> Self {
        ChaosTestError::Plugins(error)
    }
}

impl From<io::Error> for ChaosTestError {
    fn from(error: io::Error) -> Self {
        ChaosTestError::Io(error)
    }
}
