//! Child processes of the program. Each is started with a bounded wait for its ready line, ended by the id it was started
//! with, and reaped; where the parent is killed they end by themselves.

use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

/// A child must say that it is ready within this.
const READY_WITHIN: Duration = Duration::from_secs(20);
/// Set for each child: it is to end with whoever started it.
const WITH_PARENT: &str = "SLATEVALVE_ENDS_WITH_PARENT";

/// Has this process killed when the one that started it ends, where that one asked for it by starting it as a [`Process`].
/// To be called first in `main`.
pub fn end_with_parent() {
    if std::env::var_os(WITH_PARENT).is_some() {
        // Without it an orphan only lives until it is ended by hand.
        let _ = set_parent_process_death_signal(Some(Signal::KILL));
    }
}

/// A running child; killed and reaped when dropped.
pub struct Process {
    child: Child,
    first_line: Receiver<io::Result<String>>,
    started: Instant,
    /// Where it listens, once it is ready.
    pub address: SocketAddr,
}

impl Process {
    /// Starts a child and does not wait; see [`Process::ready`].
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn spawn(mut command: Command) -> io::Result<Self> {
        command.env(WITH_PARENT, "1");
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let stdout = child.stdout.take();
        let (send, first_line) = mpsc::channel();
        std::thread::spawn(move || {
            let mut lines = BufReader::new(stdout?).lines();
            let _ = send.send(lines.next()?);
            // Whatever else it prints is read, so that it never waits for us.
            lines.for_each(drop);
            Some(())
        });
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(Process { child, first_line, started: Instant::now(), address })
    }

    /// Waits until it says where it listens.
    ///
    /// # Errors
    /// When it does not in time, or says something else.
    pub fn ready(&mut self) -> io::Result<()> {
        let left = READY_WITHIN.saturating_sub(self.started.elapsed());
        let line = self
            .first_line
            .recv_timeout(left)
            .map_err(|_| io::Error::other("a child did not get ready"))??;
        let address = line.strip_prefix("ready ").and_then(|a| a.parse().ok());
        self.address = address.ok_or_else(|| io::Error::other(format!("a child said: {line}")))?;
        Ok(())
    }

    /// Starts a child and waits until it is ready.
    ///
    /// # Errors
    /// See [`Process::spawn`] and [`Process::ready`].
    pub fn start(command: Command) -> io::Result<Self> {
        let mut process = Process::spawn(command)?;
        process.ready()?;
        Ok(process)
    }

    /// Sends it a signal; one that has ended already is passed by.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to stop and waits for that; gives whether it did by itself and without an error.
    pub fn stop(&mut self, within: Duration) -> bool {
        self.signal(Signal::TERM);
        let until = Instant::now() + within;
        while Instant::now() < until {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => std::thread::sleep(Duration::from_millis(10)),
                Err(_) => break,
            }
        }
        self.kill();
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
