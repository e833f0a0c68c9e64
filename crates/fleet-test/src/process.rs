//! Child processes of the program. The start of a child waits for its ready line, up to a timeout. A child is
//! killed and reaped when its [`Process`] is dropped, and killed by the kernel when its parent ends.

use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// The time that a child may take to print its ready line, from its start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The time between two checks of whether a child has ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The environment variable by which a child requests SIGKILL at the end of its parent.
const END_WITH_PARENT: &str = "SLATEVALVE_ENDS_WITH_PARENT";

/// Has the kernel kill this process when its parent ends, if it was started as a [`Process`]. Must be called
/// first in `main`.
pub fn end_with_parent() {
    if std::env::var_os(END_WITH_PARENT).is_some() {
        // Not fatal: on failure the process outlives its parent until it is stopped manually.
        let _ = set_parent_process_death_signal(Some(Signal::KILL));
    }
}

/// A running child, which is killed and reaped when dropped.
pub struct Process {
    child: Child,
    first_line: Receiver<io::Result<String>>,
    started: Instant,
    /// The listening address of the child; its port is 0 until the child is ready.
    pub address: SocketAddr,
}

impl Process {
    /// Starts a child without waiting; see [`Process::wait_ready`].
    ///
    /// # Errors
    /// When the child cannot be started.
    pub fn spawn(mut command: Command) -> io::Result<Self> {
        command.env(END_WITH_PARENT, "1");
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let (sender, first_line) = mpsc::channel();
        if let Some(stdout) = child.stdout.take() {
            // The thread ends when the child closes its end of the pipe, at its exit at the latest.
            thread::spawn(move || read_output(stdout, &sender));
        }
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(Process { child, first_line, started: Instant::now(), address })
    }

    /// Waits for the ready line, which states the listening address.
    ///
    /// # Errors
    /// When the first line does not arrive within `READY_TIMEOUT` or is not a ready line.
    pub fn wait_ready(&mut self) -> io::Result<()> {
        let remaining = READY_TIMEOUT.saturating_sub(self.started.elapsed());
        let line = self.first_line.recv_timeout(remaining).map_err(|_| {
            io::Error::other(format!(
                "no ready line: the process ended or took longer than {} s",
                READY_TIMEOUT.as_secs()
            ))
        })??;
        let address = line.strip_prefix("ready ").and_then(|address| address.parse().ok());
        self.address =
            address.ok_or_else(|| io::Error::other(format!("expected \"ready ADDRESS\", got {line:?}")))?;
        Ok(())
    }

    /// Starts a child and waits until it is ready.
    ///
    /// # Errors
    /// See [`Process::spawn`] and [`Process::wait_ready`].
    pub fn start(command: Command) -> io::Result<Self> {
        let mut process = Process::spawn(command)?;
        process.wait_ready()?;
        Ok(process)
    }

    /// Sends a signal; errors, such as for a child that has ended, are ignored.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the child has not ended; false also where its state cannot be read.
    #[must_use]
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGKILL and reaps the child.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM and waits for the child to end; kills it after `timeout`. Returns whether it ended in
    /// time with status 0.
    pub fn stop(&mut self, timeout: Duration) -> bool {
        self.signal(Signal::TERM);
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => thread::sleep(STOP_POLL_INTERVAL),
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

/// Sends the first line to the channel; reads and discards the rest, so that the child never blocks on a full
/// pipe.
fn read_output(stdout: ChildStdout, first_line: &Sender<io::Result<String>>) {
    let mut lines = BufReader::new(stdout).lines();
    if let Some(line) = lines.next() {
        let _ = first_line.send(line);
    }
    lines.for_each(drop);
}
