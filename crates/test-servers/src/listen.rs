//! The start of a server's event loop.

use slatevalve_reactor::Reactor;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// A loopback address whose port the kernel selects.
pub(crate) const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Opens a reactor with a listener and handlers for the given signals; returns it with the listening address.
/// `max_buffered` limits the write buffer of a connection, in bytes.
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
