//! The relay's event loop, which runs the registry's client and the routers' connections on one reactor.

mod server;

use crate::relay::Limits;
use server::RelayServer;
use slatevalve_registry::ClientSettings;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Settings of [`run_relay`].
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// The relay's name, unique among the relays of a site; part of its key in the registry.
    pub name: String,
    /// A random number, different in each process.
    pub instance: u64,
    /// The address to listen on; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// Settings of the registry's client; [`run_relay`] sets `own` to the relay's entry.
    pub client: ClientSettings,
    /// Addresses of the registry's members, in the order of `client.endpoints`.
    pub addresses: Vec<SocketAddr>,
    /// Limits on connections, history and waiting watches.
    pub limits: Limits,
}

/// Why a relay failed.
#[derive(Debug)]
pub enum RelayError {
    /// Listening on this address failed.
    Listen(SocketAddr, io::Error),
    /// The event loop could not be set up, or failed.
    Loop(io::Error),
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RelayError::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            RelayError::Loop(error) => write!(f, "event loop failed: {error}"),
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

/// Runs a relay until SIGTERM or SIGINT. Once it listens, calls `ready` with its address.
///
/// # Errors
/// When a socket cannot be opened, or the event loop fails.
pub fn run_relay(settings: RelaySettings, ready: impl FnOnce(SocketAddr)) -> Result<(), RelayError> {
    let (mut server, address) = RelayServer::start(settings)?;
    ready(address);
    server.run().map_err(RelayError::Loop)
}
