//! A worker of the line protocol that answers calls by a script.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a worker does about a call.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// A word and a body.
    Say(&'static str, Vec<u8>),
    /// The same after so many milliseconds.
    Later(u64, &'static str, Vec<u8>),
    /// These bytes behind the call's id.
    Raw(Vec<u8>),
    /// Part of an answer, and the connection ends.
    Cut,
    /// The connection ends without a byte.
    Close,
    /// Nothing.
    Silence,
}

/// A call as a worker read it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub id: String,
    pub fields: String,
    pub body: Vec<u8>,
    /// Whether its function had been ordered here since all copies went.
    pub loaded: bool,
}

type Script = Arc<dyn Fn(&Seen, usize) -> Act + Send + Sync>;

/// A worker that answers probes and orders well and calls as a test says.
#[derive(Clone)]
pub(crate) struct Worker {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    orders: Arc<Mutex<usize>>,
    loaded: Arc<Mutex<HashSet<String>>>,
}

impl Worker {
    pub(crate) fn start(script: impl Fn(&Seen, usize) -> Act + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Worker {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            orders: Arc::default(),
            loaded: Arc::default(),
        };
        let (this, script): (Worker, Script) = (worker.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, script) = (this.clone(), script.clone());
                thread::spawn(move || this.serve(stream, script));
            }
        });
        worker
    }

    pub(crate) fn calls(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// All its copies go.
    pub(crate) fn forget(&self) {
        self.loaded.lock().unwrap().clear();
    }

    pub(crate) fn orders(&self) -> usize {
        *self.orders.lock().unwrap()
    }

    fn serve(&self, stream: TcpStream, script: Script) -> Option<()> {
        let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        while reader.read_line(&mut line).ok()? > 0 {
            let words: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
            line.clear();
            match words[0].as_str() {
                "exec" => {
                    let mut body = vec![0; words[3].parse::<usize>().ok()? + 2];
                    reader.read_exact(&mut body).ok()?;
                    assert_eq!(body.split_off(body.len() - 2), b"\r\n");
                    let loaded = self.loaded.lock().unwrap().contains(&thing(&words[2]));
                    let seen = Seen { id: words[1].clone(), fields: words[2].clone(), body, loaded };
                    let number = {
                        let mut all = self.seen.lock().unwrap();
                        all.push(seen.clone());
                        all.len() - 1
                    };
                    let writer = writer.clone();
                    let say = move |id: &str, word: &str, body: &[u8]| {
                        let mut bytes = format!("{id} {word} - {}\r\n", body.len()).into_bytes();
                        bytes.extend_from_slice(body);
                        bytes.extend_from_slice(b"\r\n");
                        let _ = writer.lock().unwrap().write_all(&bytes);
                    };
                    match script(&seen, number) {
                        Act::Say(word, body) => say(&seen.id, word, &body),
                        Act::Later(ms, word, body) => drop(thread::spawn(move || {
                            thread::sleep(Duration::from_millis(ms));
                            say(&seen.id, word, &body);
                        })),
                        Act::Raw(bytes) => {
                            let all = [seen.id.as_bytes(), &bytes].concat();
                            reader.get_mut().write_all(&all).ok()?;
                        }
                        Act::Cut => {
                            reader
                                .get_mut()
                                .write_all(format!("{} ACK - 9\r\nhal", seen.id).as_bytes())
                                .ok()?;
                            return None;
                        }
                        Act::Close => return None,
                        Act::Silence => {}
                    }
                }
                "load" | "health" => {
                    let ready = format!("{} READY report=queue:0 0\r\n\r\n", words[1]);
                    writer.lock().unwrap().write_all(ready.as_bytes()).ok()?;
                }
                "ensure" => {
                    *self.orders.lock().unwrap() += 1;
                    self.loaded.lock().unwrap().insert(thing(&words[2]));
                    let stands = format!("{} ACK copies=1 0\r\n\r\n", words[1]);
                    writer.lock().unwrap().write_all(stands.as_bytes()).ok()?;
                }
                "drop" | "release" => {}
                other => panic!("a worker was sent {other}"),
            }
        }
        Some(())
    }
}

fn thing(fields: &str) -> String {
    fields.split(',').find_map(|f| f.strip_prefix("thing=")).expect("a function").into()
}

/// A worker that serves every call at once.
pub(crate) fn good() -> Worker {
    Worker::start(|_, _| Act::Say("ACK", b"done".to_vec()))
}
