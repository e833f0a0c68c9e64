//! The relay's event loop: the registry's client and the routers' connections on one reactor.

mod server;

use crate::relay::Limits;
use server::RelayServer;
use slatevalve_registry::ClientSettings;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// The settings of [`run_relay`].
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// The name, different from other relays'.
    pub name: String,
    /// The address to listen on; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// Settings of the registry's client; its own entry is filled in.
    pub client: ClientSettings,
    /// Addresses of the registry's members, in the order of the client's endpoints.
    pub addresses: Vec<SocketAddr>,
    /// Limits of the relay.
    pub limits: Limits,
}

/// Why a relay ended.
#[derive(Debug)]
pub enum RelayError {
    /// Listening on the address failed.
    Listen(SocketAddr, io::Error),
    /// The event loop failed.
    Loop(io::Error),
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RelayError::Listen(address, error) => write!(f, "{address}: {error}"),
            RelayError::Loop(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for RelayError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            RelayError::Listen(_, error) | RelayError::Loop(error) => Some(error),
        }
    }
}

/// Runs a relay until SIGTERM or SIGINT; calls `ready` with the address that it listens on.
///
/// # Errors
/// When a socket cannot be opened, or the event loop fails.
pub fn run_relay(plan: RelaySettings, ready: impl FnOnce(SocketAddr)) -> Result<(), RelayError> {
    let (mut server, address) = RelayServer::start(plan)?;
    ready(address);
    server.run().map_err(RelayError::Loop)
}
