//! Registration of signals and wakers.

use super::Reactor;
use crate::registry::Source;
use crate::signal::{SignalPipe, Waker};
use polling::Event;
use std::io;

impl Reactor {
    /// Creates a handle with which another thread can wake this reactor.
    ///
    /// # Errors
    /// If no socket pair can be created.
    pub fn waker(&mut self) -> io::Result<Waker> {
        let (waker, stream) = Waker::new()?;
        self.registry.register(Source::Waker(stream), Event::readable)?;
        Ok(waker)
    }

    /// Reports a signal (SIGTERM, SIGHUP ...) as [`ReactorEvent::Signal`](crate::ReactorEvent::Signal) from
    /// now on.
    ///
    /// # Errors
    /// If the signal cannot be caught.
    pub fn signal(&mut self, signal: i32) -> io::Result<()> {
        let pipe = SignalPipe::register(signal)?;
        self.registry.register(Source::Signal(pipe), Event::readable)?;
        Ok(())
    }
}
