//! The start of a server's event loop.

use slatevalve_reactor::Reactor;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// An address of loopback whose port the kernel chooses.
pub(crate) const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Opens a reactor with a listener and handlers for the given signals; returns it with the listening address. At most
/// `max_buffered` bytes wait on one connection.
pub(crate) fn listening_reactor(
    listen: SocketAddr,
    max_buffered: usize,
    signals: &[i32],
) -> io::Result<(Reactor, SocketAddr)> {
    let mut reactor = Reactor::new(max_buffered)?;
    for signal in signals {
        reactor.signal(*signal)?;
    }
    let (_, address) = reactor.listen(listen)?;
    Ok((reactor, address))
}
