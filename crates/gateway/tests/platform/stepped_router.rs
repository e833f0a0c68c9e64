//! A router that runs in the test process one event-loop iteration at a time, and workers whose sockets the
//! test reads and writes directly.

use crate::test_servers::*;
use serde_json::{json, Value};
use slatevalve_gateway::clock::Clock;
use slatevalve_gateway::platform::Router as PlatformRouter;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A listening worker whose connections the test accepts, reads and writes directly.
pub(crate) struct RawWorker {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

impl RawWorker {
    pub(crate) fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        RawWorker { listener, address }
    }
}

/// A router in the test process; each [`SteppedRouter::poll`] runs one iteration of its event loop.
pub(crate) struct SteppedRouter {
    pub router: PlatformRouter,
    _directory: tempfile::TempDir,
}

/// A configuration without probes and load requests (calls load their functions), so that workers receive
/// only calls.
pub(crate) fn config_without_probes(log: &ChangeLog, change: impl FnOnce(&mut Value)) -> Value {
    let mut config = config(log);
    config["settings"]["family_info"] = json!({"if_cold": "load", "may_order": false, "linger_idle": 8000.0});
    config["settings"]["limits"]["probes"] = false.into();
    change(&mut config);
    config
}

impl SteppedRouter {
    pub(crate) fn new(config: Value) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        SteppedRouter { router: PlatformRouter::new(file, Clock::start()).unwrap(), _directory: directory }
    }

    pub(crate) fn poll(&mut self) {
        assert!(!self.router.poll(Duration::from_millis(10)).unwrap(), "the router stopped");
    }

    pub(crate) fn poll_times(&mut self, count: usize) {
        (0..count).for_each(|_| self.poll());
    }

    pub(crate) fn until<T>(
        &mut self,
        what: &str,
        mut find: impl FnMut(&mut PlatformRouter) -> Option<T>,
    ) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = find(&mut self.router) {
                return found;
            }
            assert!(start.elapsed() < Duration::from_secs(20), "timed out waiting for {what}");
            self.poll();
        }
    }

    pub(crate) fn client(&mut self) -> Client {
        let client = Client::connect(self.router.address());
        self.until("the router to accept the client", |r| (r.sizes()[0] > 0).then_some(()));
        client
    }

    /// Runs until the router's long poll is pending at the change log.
    pub(crate) fn until_polling(&mut self, log: &ChangeLog) {
        self.until("a pending poll at the change log", |_| (log.pending_polls() == 1).then_some(()));
    }

    pub(crate) fn accept(&mut self, worker: &RawWorker) -> WorkerConnection {
        self.accept_any(std::slice::from_ref(worker)).1
    }

    /// Accepts the next connection to any of the workers; returns the worker's index with it.
    pub(crate) fn accept_any(&mut self, workers: &[RawWorker]) -> (usize, WorkerConnection) {
        let (index, stream) = self.until("a connection to a worker", |_| {
            workers.iter().enumerate().find_map(|(n, w)| Some((n, w.listener.accept().ok()?.0)))
        });
        stream.set_nonblocking(true).unwrap();
        (index, WorkerConnection { stream, text: String::new() })
    }

    /// Runs until the call with tag `last` has arrived on the connection; returns the ids of all calls that
    /// arrived on it.
    pub(crate) fn calls_until(&mut self, peer: &mut WorkerConnection, last: u64) -> Vec<String> {
        let last = format!("{last:016x}");
        self.until("the call to reach the worker", |_| peer.calls().contains(&last).then_some(()));
        peer.calls()
    }

    pub(crate) fn answer(&mut self, client: &mut Client) -> Outcome {
        client.stream.set_nonblocking(true).unwrap();
        let end = self.until("an answer to the client", |_| client.answer_now());
        client.stream.set_nonblocking(false).unwrap();
        end
    }

    /// Serves one call and returns its connection, which stays open.
    pub(crate) fn serve(&mut self, client: &mut Client, worker: &RawWorker, tag: u64) -> WorkerConnection {
        client.send("charge", 1, tag);
        let mut peer = self.accept(worker);
        self.calls_until(&mut peer, tag);
        peer.reply(tag, "ACK");
        assert_eq!(self.answer(client), Outcome::Served(vec![]));
        peer
    }
}

/// A worker's end of a connection from the router, with the text received on it.
pub(crate) struct WorkerConnection {
    pub stream: TcpStream,
    pub text: String,
}

impl WorkerConnection {
    /// Reads what has arrived and returns the ids of all calls received so far.
    pub(crate) fn calls(&mut self) -> Vec<String> {
        let mut bytes = [0; 4096];
        while let Ok(n) = self.stream.read(&mut bytes) {
            if n == 0 {
                break;
            }
            self.text.push_str(std::str::from_utf8(&bytes[..n]).unwrap());
        }
        let lines = self.text.split("\r\n").filter_map(|l| l.strip_prefix("exec "));
        lines.map(|l| l[..16].to_string()).collect()
    }

    pub(crate) fn reply(&mut self, tag: u64, status: &str) {
        self.stream.write_all(format!("{tag:016x} {status} - 0\r\n\r\n").as_bytes()).unwrap();
    }
}

/// The request id of a call with this tag.
pub(crate) fn id(tag: u64) -> String {
    format!("{tag:016x}")
}
