//! The errors of a fleet test.

use slatevalve_sexpr::FormError;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// The reason why a fleet test could not be run.
#[derive(Debug)]
pub enum FleetTestError {
    /// The script could not be parsed.
    Script(FormError),
    /// A process could not be started, or a file could not be read or written.
    Io {
        /// The name of the process or the kind of file.
        subject: String,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The services were not ready by second 0 of the script.
    StartTooSlow,
    /// A router was passed to the code that starts services.
    NotAService(String),
    /// The output directory has content, which the run would mix with its own.
    NotEmpty(PathBuf),
}

impl fmt::Display for FleetTestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetTestError::Script(error) => error.fmt(f),
            FleetTestError::Io { subject, source } => write!(f, "{subject}: {source}"),
            FleetTestError::StartTooSlow => {
                f.write_str("the services were not ready by second 0 of the test: the machine is too slow")
            }
            FleetTestError::NotAService(name) => {
                write!(f, "{name} is a router and cannot be started as a service")
            }
            FleetTestError::NotEmpty(path) => write!(f, "output directory {} is not empty", path.display()),
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

/// Adds the process or file that an I/O error concerns.
pub(crate) trait IoContext<T> {
    fn context(self, subject: &str) -> Result<T, FleetTestError>;
}

impl<T> IoContext<T> for io::Result<T> {
    fn context(self, subject: &str) -> Result<T, FleetTestError> {
        self.map_err(|source| FleetTestError::Io { subject: subject.into(), source })
    }
}
