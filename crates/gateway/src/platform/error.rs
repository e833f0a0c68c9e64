//! Errors of the platform's router.

use slatevalve_platform::config::ConfigError;
use slatevalve_site_config::FieldError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a router could not start or continue.
#[derive(Debug)]
pub enum PlatformError {
    /// A required environment variable is not set.
    Variable(&'static str),
    /// The configuration file cannot be read.
    Read(PathBuf, io::Error),
    /// The configuration is invalid.
    Config(PathBuf, ConfigError),
    /// The change log events in the configuration's field `known` are invalid.
    Known(PathBuf, FieldError),
    /// The address for clients cannot be bound.
    Listen(SocketAddr, io::Error),
    /// The poller failed, or a signal handler could not be installed.
    Loop(io::Error),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Variable(name) => write!(
                f,
                "environment variable {name} is not set; it must hold the path of the configuration file"
            ),
            PlatformError::Read(path, e) => write!(f, "cannot read {}: {e}", path.display()),
            PlatformError::Config(path, e) => write!(f, "invalid configuration {}: {e}", path.display()),
            PlatformError::Known(path, e) => {
                write!(f, "invalid configuration {}: known: {e}", path.display())
            }
            PlatformError::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            PlatformError::Loop(e) => write!(f, "event loop failed: {e}"),
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
