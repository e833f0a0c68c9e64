//! Clients that send at full speed, some hundreds of them at once, on a few threads.

use super::messages::{Kind, Messages};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const MAX_THREADS: usize = 4;

/// Whether the clients read what they are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reading {
    All,
    Nothing,
}

/// Running clients; they end when this is dropped.
pub(crate) struct Crowd {
    has_ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts clients that send messages of `kind`, each on a connection of its own, and connect again when
    /// they are disconnected.
    pub(crate) fn start(address: SocketAddr, kind: Kind, reading: Reading, clients: usize) -> Self {
        let has_ended = Arc::new(AtomicBool::new(false));
        let threads = clients.min(MAX_THREADS);
        let run = |thread: usize| {
            let has_ended = has_ended.clone();
            let numbers: Vec<usize> = (thread..clients).step_by(threads).collect();
            thread::spawn(move || {
                let mut senders: Vec<Sender> =
                    numbers.into_iter().map(|number| Sender::new(address, kind, reading, number)).collect();
                while !has_ended.load(Ordering::SeqCst) {
                    let progressing = senders.iter_mut().filter_map(|sender| sender.advance().then_some(()));
                    if progressing.count() == 0 {
                        thread::sleep(Duration::from_millis(1));
                    }
                }
            })
        };
        let threads = (0..threads).map(run).collect();
        Crowd { has_ended, threads }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// One client.
struct Sender {
    address: SocketAddr,
    kind: Kind,
    reading: Reading,
    /// Number of the next connection, unique among all connections of a crowd.
    next_connection: u64,
    connection: Option<(TcpStream, Messages)>,
    unsent: Vec<u8>,
}

impl Sender {
    fn new(address: SocketAddr, kind: Kind, reading: Reading, number: usize) -> Self {
        let next_connection = (number as u64) << 20;
        Sender { address, kind, reading, next_connection, connection: None, unsent: Vec::new() }
    }

    /// Writes and reads what is possible without waiting; returns whether anything was.
    fn advance(&mut self) -> bool {
        if self.connection.is_none() {
            let Ok(stream) = TcpStream::connect(self.address) else { return false };
            stream.set_nonblocking(true).unwrap();
            self.next_connection += 1;
            self.unsent.clear();
            self.connection = Some((stream, Messages::new(self.kind, self.next_connection)));
        }
        match self.exchange() {
            Ok(has_progress) => has_progress,
            Err(_) => {
                self.connection = None;
                true
            }
        }
    }

    fn exchange(&mut self) -> std::io::Result<bool> {
        let Some((stream, messages)) = &mut self.connection else { return Ok(false) };
        if self.unsent.is_empty() {
            self.unsent = messages.batch();
        }
        let written = or_zero(stream.write(&self.unsent))?;
        self.unsent.drain(..written);
        if self.reading == Reading::Nothing {
            return Ok(written > 0);
        }
        let mut bytes = [0; 64 * 1024];
        match stream.read(&mut bytes) {
            Ok(0) => Err(ErrorKind::ConnectionAborted.into()),
            other => Ok(or_zero(other)? + written > 0),
        }
    }
}

/// The number of bytes transferred, 0 if the operation would block.
fn or_zero(result: std::io::Result<usize>) -> std::io::Result<usize> {
    match result {
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
        other => other,
    }
}
