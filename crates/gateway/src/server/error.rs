//! Errors of the gateway server.

use crate::plugins::folder::FolderError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a gateway could not start or had to stop.
#[derive(Debug)]
pub enum GatewayError {
    /// The public listener could not be opened.
    Listen(SocketAddr, io::Error),
    /// The admin socket could not be opened.
    Admin(PathBuf, io::Error),
    /// A file cannot be read or written: a recording of the worker list, or the file with this process's
    /// identity in the registry.
    Record(PathBuf, io::Error),
    /// No identifier of this process could be drawn.
    Identity(io::Error),
    /// The plug-in folder cannot be read.
    Plugins(FolderError),
    /// The poller or a signal handler failed.
    Loop(io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewayError::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            GatewayError::Admin(path, e) => write!(f, "cannot open the admin socket {}: {e}", path.display()),
            GatewayError::Record(path, e) => write!(f, "{}: {e}", path.display()),
            GatewayError::Identity(e) => write!(f, "cannot draw an identifier of this process: {e}"),
            GatewayError::Plugins(e) => write!(f, "plug-ins: {e}"),
            GatewayError::Loop(e) => write!(f, "event loop failed: {e}"),
        }
    }
}

impl Error for GatewayError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            GatewayError::Listen(_, e) | GatewayError::Admin(_, e) | GatewayError::Record(_, e) => Some(e),
            GatewayError::Identity(e) | GatewayError::Loop(e) => Some(e),
            GatewayError::Plugins(e) => Some(e),
        }
    }
}
