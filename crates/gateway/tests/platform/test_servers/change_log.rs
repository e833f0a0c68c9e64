//! The platform's change log, served by HTTP long polls.

use crate::support::until;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// How a change log treats those who ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// Answers at once where there is news.
    Prompt,
    /// Each answer is written so much later.
    Late(Duration),
    /// Connections end as soon as they are accepted, and open ones at their next answer.
    Refusing,
    /// Connections stay open and get no answer.
    Silent,
}

/// A change log.
#[derive(Clone)]
pub(crate) struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<Value>>, Condvar)>,
    service: Arc<Mutex<Service>>,
    /// Bytes of all answers.
    sent_bytes: Arc<AtomicUsize>,
    /// Answers that break off in the middle before one is whole.
    breaks: Arc<Mutex<usize>>,
    /// Questions read, and answers written whole.
    asked: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
}

fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "duo", "cell": 0,
        "phase": phase, "size": 4, "up_since_ms": 0})
}

impl ChangeLog {
    /// One whose first event is the whole list of these workers.
    pub(crate) fn start(workers: &[(&str, SocketAddr)]) -> Self {
        let members: Vec<Value> = workers.iter().map(|(id, a)| member(id, *a, "active")).collect();
        ChangeLog::start_with(members)
    }

    /// The same from members as they stand in the list.
    pub(crate) fn start_with(members: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let first = json!({"seq": 1, "fleet": {"revision": 1, "complete": true, "members": members}});
        let log = ChangeLog {
            address: listener.local_addr().unwrap(),
            events: Arc::new((Mutex::new(vec![first]), Condvar::new())),
            service: Arc::new(Mutex::new(Service::Prompt)),
            sent_bytes: Arc::default(),
            breaks: Arc::default(),
            asked: Arc::default(),
            answered: Arc::default(),
        };
        log.listen(listener);
        log
    }

    /// The same log at another address.
    pub(crate) fn elsewhere(&self) -> Self {
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

    /// Waits until an answer may be written; `None` where its connection is to end instead.
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
            let figure = |name: &str| -> usize {
                let rest = target.split(name).nth(1).expect("the question has both");
                rest.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap()
            };
            self.asked.fetch_add(1, Ordering::SeqCst);
            let (since, wait) = (figure("since="), Duration::from_millis(figure("timeout=") as u64));
            let (events, told) = &*self.events;
            let all = told.wait_timeout_while(events.lock().unwrap(), wait, |e| e.len() <= since).unwrap().0;
            let body = json!({"seq": all.len(), "results": all.get(since..).unwrap_or_default()}).to_string();
            drop(all);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            self.wait_for_service()?;
            let mut breaks = self.breaks.lock().unwrap();
            if *breaks > 0 {
                *breaks -= 1;
                stream.write_all(&answer.as_bytes()[..answer.len() - 20]).ok()?;
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return None;
            }
            drop(breaks);
            stream.write_all(answer.as_bytes()).ok()?;
            self.sent_bytes.fetch_add(answer.len(), Ordering::SeqCst);
            self.answered.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Changes how it treats those who ask from now on.
    pub(crate) fn set_service(&self, service: Service) {
        *self.service.lock().unwrap() = service;
    }

    /// Bytes of all answers so far.
    pub(crate) fn sent_bytes(&self) -> usize {
        self.sent_bytes.load(Ordering::SeqCst)
    }

    /// Answers that were written whole.
    pub(crate) fn answers(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Questions that wait for news.
    pub(crate) fn waiting(&self) -> usize {
        self.asked.load(Ordering::SeqCst).saturating_sub(self.answers())
    }

    /// Tells of workers' new states.
    pub(crate) fn tell(&self, changes: &[(&str, SocketAddr, &str)]) {
        self.tell_members(changes.iter().map(|(id, a, phase)| member(id, *a, phase)).collect());
    }

    /// The same by members as they stand in the list.
    pub(crate) fn tell_members(&self, members: Vec<Value>) {
        let (events, told) = &*self.events;
        let mut all = events.lock().unwrap();
        let seq = all.len() + 1;
        all.push(json!({"seq": seq, "fleet": {"revision": seq, "complete": false, "members": members}}));
        told.notify_all();
    }

    /// The same to a follower whose question waits, until the answer has been written to it whole.
    pub(crate) fn tell_whole(&self, changes: &[(&str, SocketAddr, &str)]) {
        let told = self.answers();
        self.tell(changes);
        until("the news to be in the router's socket", || self.answers() > told);
    }

    /// The next answers break off in the middle.
    pub(crate) fn break_off(&self, times: usize) {
        *self.breaks.lock().unwrap() = times;
    }

    pub(crate) fn known(&self) -> Value {
        let all = self.events.0.lock().unwrap();
        json!({"seq": all.len(), "results": *all})
    }
}
