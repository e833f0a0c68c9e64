//! Errors of the platform's router.

use slatevalve_platform::config::ConfigError;
use slatevalve_site_config::FieldError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a router could not start or go on.
#[derive(Debug)]
pub enum PlatformError {
    /// An environment variable is not set.
    Variable(&'static str),
    /// The configuration file cannot be read.
    Read(PathBuf, io::Error),
    /// The configuration is invalid.
    Config(PathBuf, ConfigError),
    /// The configuration's first events of the change log are invalid.
    Known(PathBuf, FieldError),
    /// The listener could not be opened.
    Listen(SocketAddr, io::Error),
    /// The poller or a signal failed.
    Loop(io::Error),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Variable(name) => write!(f, "{name} is not set; it names the configuration"),
            PlatformError::Read(path, e) => write!(f, "{}: {e}", path.display()),
            PlatformError::Config(path, e) => write!(f, "{}: {e}", path.display()),
            PlatformError::Known(path, e) => write!(f, "{}: known: {e}", path.display()),
            PlatformError::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            PlatformError::Loop(e) => write!(f, "the loop failed: {e}"),
        }
    }
}

impl Error for PlatformError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            PlatformError::Variable(_) => None,
            PlatformError::Read(_, e) | PlatformError::Listen(_, e) | PlatformError::Loop(e) => Some(e),
            PlatformError::Config(_, e) => Some(e),
            PlatformError::Known(_, e) => Some(e),
        }
    }
}
