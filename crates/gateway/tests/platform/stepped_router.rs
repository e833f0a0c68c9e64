//! A router that runs in the test's process and is stepped one loop iteration at a time, and workers whose bytes the test reads
//! and writes itself.

use crate::test_servers::*;
use serde_json::{json, Value};
use slatevalve_gateway::clock::Clock;
use slatevalve_gateway::platform::Router as Loop;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A worker whose every byte the test reads and writes itself.
pub(crate) struct Bare {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

impl Bare {
    pub(crate) fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Bare { listener, address }
    }
}

pub(crate) struct Stepped {
    pub router: Loop,
    _directory: tempfile::TempDir,
}

/// Calls load by themselves and nobody is probed, so that only calls reach a worker.
pub(crate) fn plain(log: &ChangeLog, change: impl FnOnce(&mut Value)) -> Value {
    let mut config = config(log);
    config["settings"]["family_info"] = json!({"if_cold": "load", "may_order": false, "linger_idle": 8000.0});
    config["settings"]["limits"]["probes"] = false.into();
    change(&mut config);
    config
}

impl Stepped {
    pub(crate) fn new(config: Value) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        Stepped { router: Loop::new(file, Clock::start()).unwrap(), _directory: directory }
    }

    pub(crate) fn poll(&mut self) {
        assert!(!self.router.poll(Duration::from_millis(10)).unwrap(), "it goes on");
    }

    pub(crate) fn turns(&mut self, count: usize) {
        (0..count).for_each(|_| self.poll());
    }

    pub(crate) fn until<T>(&mut self, what: &str, mut find: impl FnMut(&mut Loop) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = find(&mut self.router) {
                return found;
            }
            assert!(start.elapsed() < Duration::from_secs(20), "in vain: {what}");
            self.poll();
        }
    }

    pub(crate) fn client(&mut self) -> Client {
        let client = Client::connect(self.router.address());
        self.until("the client to be known", |r| (r.sizes()[0] > 0).then_some(()));
        client
    }

    /// Its question for news waits at the log.
    pub(crate) fn until_it_follows(&mut self, log: &ChangeLog) {
        self.until("the log to be asked", |_| (log.waiting() == 1).then_some(()));
    }

    pub(crate) fn accept(&mut self, worker: &Bare) -> Peer {
        self.accept_any(std::slice::from_ref(worker)).1
    }

    /// The next connection to one of the workers, and which.
    pub(crate) fn accept_any(&mut self, workers: &[Bare]) -> (usize, Peer) {
        let (at, stream) = self.until("a connection", |_| {
            workers.iter().enumerate().find_map(|(n, w)| Some((n, w.listener.accept().ok()?.0)))
        });
        stream.set_nonblocking(true).unwrap();
        (at, Peer { stream, text: String::new() })
    }

    /// The ids of all calls that came to a worker once `last` did.
    pub(crate) fn calls_until(&mut self, peer: &mut Peer, last: u64) -> Vec<String> {
        let last = format!("{last:016x}");
        self.until("the call", |_| peer.calls().contains(&last).then_some(()));
        peer.calls()
    }

    pub(crate) fn answer(&mut self, client: &mut Client) -> End {
        client.stream.set_nonblocking(true).unwrap();
        let end = self.until("an answer", |_| client.answer_now());
        client.stream.set_nonblocking(false).unwrap();
        end
    }

    /// A call that is served on a connection that stays.
    pub(crate) fn serve(&mut self, client: &mut Client, worker: &Bare, tag: u64) -> Peer {
        client.send("charge", 1, tag);
        let mut peer = self.accept(worker);
        self.calls_until(&mut peer, tag);
        peer.say(tag, "ACK");
        assert_eq!(self.answer(client), End::Served(vec![]));
        peer
    }
}

pub(crate) struct Peer {
    pub stream: TcpStream,
    pub text: String,
}

impl Peer {
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

    pub(crate) fn say(&mut self, tag: u64, word: &str) {
        self.stream.write_all(format!("{tag:016x} {word} - 0\r\n\r\n").as_bytes()).unwrap();
    }
}

pub(crate) fn id(tag: u64) -> String {
    format!("{tag:016x}")
}
