//! Child processes of our own binary: workers and gateways for the demo and the bad day. Each is started with a
//! bounded wait for its ready line, ended by the id it was started with, and reaped.

use rustix::process::{kill_process, Pid, Signal};
use slatevalve_standins::WorkerPlan;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A child must say that it is ready within this.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// A running child; killed and reaped when dropped.
pub(crate) struct Process {
    child: Child,
    /// Where it listens.
    pub(crate) address: SocketAddr,
}

impl Process {
    fn start(mut command: Command) -> io::Result<Self> {
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let stdout = child.stdout.take();
        let mut process = Process { child, address: SocketAddr::from(([127, 0, 0, 1], 0)) };
        let (send, receive) = mpsc::channel();
        std::thread::spawn(move || {
            let mut lines = BufReader::new(stdout?).lines();
            let _ = send.send(lines.next()?);
            // Whatever else it prints is read, so that it never waits for us.
            lines.for_each(drop);
            Some(())
        });
        let line = receive
            .recv_timeout(READY_WITHIN)
            .map_err(|_| io::Error::other("a child did not get ready"))??;
        let address = line.strip_prefix("ready ").and_then(|a| a.parse().ok());
        process.address = address.ok_or_else(|| io::Error::other(format!("a child said: {line}")))?;
        Ok(process)
    }

    /// A stand-in worker.
    pub(crate) fn worker(plan: &WorkerPlan) -> io::Result<Self> {
        let plan = serde_json::to_string(plan).map_err(io::Error::other)?;
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["worker", "--plan", &plan]);
        Process::start(command)
    }

    /// A gateway by its settings file; its log goes to `log`.
    pub(crate) fn gateway(settings: &Path, log: Stdio, level: &str) -> io::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["--log-level", level, "run"]).arg(settings).stderr(log);
        Process::start(command)
    }

    /// Sends it a signal; one that has ended already is passed by.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends it at once.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to stop and waits for that; gives whether it did by itself and without an error.
    pub(crate) fn stop(&mut self, within: Duration) -> bool {
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
