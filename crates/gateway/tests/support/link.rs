//! A link between two peers that can be cut.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A proxy before a server, whose connections can be cut.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Starts a proxy that forwards to `target`.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let link = Link { address, is_cut: Arc::default(), streams: Arc::default() };
        let (is_cut, streams) = (link.is_cut.clone(), link.streams.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if is_cut.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(server) = TcpStream::connect(target) else { continue };
                streams.lock().unwrap().extend([client.try_clone().unwrap(), server.try_clone().unwrap()]);
                let (from, to) = (client.try_clone().unwrap(), server.try_clone().unwrap());
                thread::spawn(move || copy(from, to));
                thread::spawn(move || copy(server, client));
            }
        });
        link
    }

    /// Closes all connections and refuses further ones, or accepts them again.
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        if is_cut {
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = std::io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Both);
}
