//! The platform's change log, which routers follow by HTTP long polls.

use crate::support::until;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a change log responds to polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// Answers as soon as there is a new event.
    Prompt,
    /// Delays each answer by this time.
    Late(Duration),
    /// Closes new connections on accept, and open ones instead of their next answer.
    Refusing,
    /// Keeps connections open and answers nothing.
    Silent,
}

/// A change log and its counters; clones share the events.
#[derive(Clone)]
pub(crate) struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<Value>>, Condvar)>,
    service: Arc<Mutex<Service>>,
    /// Total size of all complete answers.
    sent_bytes: Arc<AtomicUsize>,
    /// Number of next answers that are truncated.
    truncated: Arc<Mutex<usize>>,
    /// Polls that were read, and answers that were written completely.
    polls: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
}

fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    member_of_cell(id, address, phase, 0)
}

/// A list entry of a worker in the given cell.
pub(crate) fn member_of_cell(id: &str, address: SocketAddr, phase: &str, cell: u64) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "duo", "cell": cell,
        "phase": phase, "size": 4, "up_since_ms": 0})
}

impl ChangeLog {
    /// Starts a log whose first event is the complete list of these workers, all active.
    pub(crate) fn start(workers: &[(&str, SocketAddr)]) -> Self {
        let members: Vec<Value> = workers.iter().map(|(id, a)| member(id, *a, "active")).collect();
        ChangeLog::start_with(members)
    }

    /// Like [`ChangeLog::start`], with list entries instead of workers.
    pub(crate) fn start_with(members: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let first = json!({"seq": 1, "fleet": {"revision": 1, "complete": true, "members": members}});
        let log = ChangeLog {
            address: listener.local_addr().unwrap(),
            events: Arc::new((Mutex::new(vec![first]), Condvar::new())),
            service: Arc::new(Mutex::new(Service::Prompt)),
            sent_bytes: Arc::default(),
            truncated: Arc::default(),
            polls: Arc::default(),
            answered: Arc::default(),
        };
        log.listen(listener);
        log
    }

    /// Serves the same events at another address as well.
    pub(crate) fn at_new_address(&self) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let log = ChangeLog { address: listener.local_addr().unwrap(), ..self.clone() };
        log.listen(listener);
        log
    }

    fn listen(&self, listener: TcpListener) {
        let this = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
    }

    /// Waits until an answer may be written; `None` if the connection must be closed instead.
    fn wait_for_service(&self) -> Option<()> {
        loop {
            let service = *self.service.lock().unwrap();
            match service {
                Service::Prompt => return Some(()),
                Service::Late(delay) => {
                    thread::sleep(delay);
                    return Some(());
                }
                Service::Refusing => return None,
                Service::Silent => thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        if *self.service.lock().unwrap() == Service::Refusing {
            return None;
        }
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let (mut line, mut target) = (String::new(), String::new());
            while line != "\r\n" {
                line.clear();
                if reader.read_line(&mut line).ok()? == 0 {
                    return None;
                }
                if let Some(rest) = line.strip_prefix("GET ") {
                    target = rest.to_string();
                }
            }
            let number = |name: &str| -> usize {
                let rest =
                    target.split(name).nth(1).expect("a poll has the parameters `since` and `timeout`");
                rest.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap()
            };
            self.polls.fetch_add(1, Ordering::SeqCst);
            let (since, wait) = (number("since="), Duration::from_millis(number("timeout=") as u64));
            let (events, changed) = &*self.events;
            let all =
                changed.wait_timeout_while(events.lock().unwrap(), wait, |e| e.len() <= since).unwrap().0;
            let body = json!({"seq": all.len(), "results": all.get(since..).unwrap_or_default()}).to_string();
            drop(all);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            self.wait_for_service()?;
            let mut truncated = self.truncated.lock().unwrap();
            if *truncated > 0 {
                *truncated -= 1;
                stream.write_all(&answer.as_bytes()[..answer.len() - 20]).ok()?;
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return None;
            }
            drop(truncated);
            stream.write_all(answer.as_bytes()).ok()?;
            self.sent_bytes.fetch_add(answer.len(), Ordering::SeqCst);
            self.answered.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Changes how the log responds from now on.
    pub(crate) fn set_service(&self, service: Service) {
        *self.service.lock().unwrap() = service;
    }

    /// Begins an outage while a poll of the router is pending; returns when it began.
    pub(crate) fn begin_outage(&self, service: Service) -> Instant {
        until("the router to poll the log", || self.pending_polls() > 0);
        self.set_service(service);
        Instant::now()
    }

    /// Total size of all complete answers so far.
    pub(crate) fn sent_bytes(&self) -> usize {
        self.sent_bytes.load(Ordering::SeqCst)
    }

    /// Number of answers that were written completely.
    pub(crate) fn answers(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Number of polls that are waiting for an event.
    pub(crate) fn pending_polls(&self) -> usize {
        self.polls.load(Ordering::SeqCst).saturating_sub(self.answers())
    }

    /// Publishes an event with new states of workers.
    pub(crate) fn publish(&self, changes: &[(&str, SocketAddr, &str)]) {
        self.publish_members(changes.iter().map(|(id, a, phase)| member(id, *a, phase)).collect());
    }

    /// Publishes an event with these list entries.
    pub(crate) fn publish_members(&self, members: Vec<Value>) {
        let (events, changed) = &*self.events;
        let mut all = events.lock().unwrap();
        let seq = all.len() + 1;
        all.push(json!({"seq": seq, "fleet": {"revision": seq, "complete": false, "members": members}}));
        changed.notify_all();
    }

    /// Publishes an event while a poll is pending and waits until an answer has been written completely.
    pub(crate) fn publish_and_wait(&self, changes: &[(&str, SocketAddr, &str)]) {
        let answers = self.answers();
        self.publish(changes);
        until("the event to be written to the router's socket", || self.answers() > answers);
    }

    /// Truncates the next `times` answers and closes their connections.
    pub(crate) fn truncate_next(&self, times: usize) {
        *self.truncated.lock().unwrap() = times;
    }

    /// All events so far, in the form of the configuration's field `known`.
    pub(crate) fn snapshot(&self) -> Value {
        let all = self.events.0.lock().unwrap();
        json!({"seq": all.len(), "results": *all})
    }
}
