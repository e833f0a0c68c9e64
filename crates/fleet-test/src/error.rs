//! The errors of a fleet test.

use slatevalve_sexpr::FormError;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// The reason why a fleet test could not be run.
#[derive(Debug)]
pub enum FleetTestError {
    /// The script has an error.
    Script(FormError),
    /// A process or a file failed.
    Io {
        /// The process or the file.
        subject: String,
        /// The cause.
        source: io::Error,
    },
    /// The processes did not start by the script's time 0.
    StartTooSlow,
    /// A router was to be started as a service.
    NotAService(String),
    /// The output directory is not empty.
    NotEmpty(PathBuf),
}

impl fmt::Display for FleetTestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetTestError::Script(error) => error.fmt(f),
            FleetTestError::Io { subject, source } => write!(f, "{subject}: {source}"),
            FleetTestError::StartTooSlow => {
                f.write_str("the machine is too slow: the services took too long to start")
            }
            FleetTestError::NotAService(name) => write!(f, "{name} is a router"),
            FleetTestError::NotEmpty(path) => write!(f, "{} is not empty", path.display()),
        }
    }
}

impl Error for FleetTestError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            FleetTestError::Script(error) => Some(error),
            FleetTestError::Io { source, .. } => Some(source),
            FleetTestError::StartTooSlow | FleetTestError::NotAService(_) | FleetTestError::NotEmpty(_) => {
                None
            }
        }
    }
}

impl From<FormError> for FleetTestError {
    fn from(error: FormError) -> Self {
        FleetTestError::Script(error)
    }
}

/// Names the process or file that an I/O error is about.
pub(crate) trait IoContext<T> {
    fn context(self, subject: &str) -> Result<T, FleetTestError>;
}

impl<T> IoContext<T> for io::Result<T> {
    fn context(self, subject: &str) -> Result<T, FleetTestError> {
        self.map_err(|source| FleetTestError::Io { subject: subject.into(), source })
    }
}
