//! The errors of a chaos test.

use crate::plugins::folder::FolderError;
use slatevalve_sexpr::FormError;
use slatevalve_trace_checker::trace::TraceError;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// The reason why a chaos test could not be run.
#[derive(Debug)]
pub enum ChaosTestError {
    /// The script or the settings in it have an error.
    Settings(FormError),
    /// The script's mix of calls names a class that the settings lack.
    UnknownClass(String),
    /// The processes did not start by the script's time 0.
    StartTooSlow,
    /// The directory for the output is not empty.
    NotEmpty(PathBuf),
    /// A process or a file failed.
    Io(io::Error),
    /// The folder of plug-ins failed.
    Plugins(FolderError),
    /// A file is not a trace.
    Trace {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: TraceError,
    },
}

impl fmt::Display for ChaosTestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChaosTestError::Settings(error) => error.fmt(f),
            ChaosTestError::UnknownClass(class) => {
                write!(f, "the mix names no class of the settings: {class}")
            }
            ChaosTestError::StartTooSlow => f.write_str("the processes took too long to start"),
            ChaosTestError::NotEmpty(directory) => write!(f, "{} is not empty", directory.display()),
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
