//! Signals and wake-ups from other threads, both delivered as bytes on a socket pair.

use signal_hook::low_level::{pipe, unregister};
use signal_hook::SigId;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;

/// Wakes a reactor from another thread.
#[derive(Debug)]
pub struct Waker(UnixStream);

impl Waker {
    /// Creates a waker, and the stream that becomes readable when it is used.
    pub(crate) fn new() -> io::Result<(Waker, UnixStream)> {
        let (read, write) = nonblocking_pair()?;
        Ok((Waker(write), read))
    }

    /// Makes the reactor's next poll return [`ReactorEvent::Woken`](crate::ReactorEvent::Woken). Has no
    /// effect if the reactor has been dropped.
    pub fn wake(&self) {
        // If the socket buffer is full, earlier wake-ups are still pending, and another byte is not needed.
        let _ = (&self.0).write(&[0]);
    }
}

/// The read end of a registered signal; dropping it removes the registration.
pub(crate) struct SignalPipe {
    pub(crate) stream: UnixStream,
    pub(crate) signal: i32,
    registration: SigId,
}

impl SignalPipe {
    /// Makes the stream readable whenever the signal is delivered.
    pub(crate) fn register(signal: i32) -> io::Result<Self> {
        let (stream, write) = nonblocking_pair()?;
        let registration = pipe::register(signal, write)?;
        Ok(SignalPipe { stream, signal, registration })
    }
}

impl Drop for SignalPipe {
    fn drop(&mut self) {
        unregister(self.registration);
    }
}

/// Discards all bytes on the stream: all signal deliveries or wake-ups so far are reported as one event.
pub(crate) fn read_to_empty(stream: &mut UnixStream) {
    let mut bytes = [0; 64];
    while matches!(stream.read(&mut bytes), Ok(count) if count > 0) {}
}

fn nonblocking_pair() -> io::Result<(UnixStream, UnixStream)> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    write.set_nonblocking(true)?;
    Ok((read, write))
}
