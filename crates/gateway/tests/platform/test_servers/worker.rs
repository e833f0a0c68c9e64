//! A worker of the platform's line protocol whose responses to calls are scripted.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a scripted worker responds to a call.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Answers with a status and a body.
    Reply(&'static str, Vec<u8>),
    /// Answers after a delay in milliseconds.
    Later(u64, &'static str, Vec<u8>),
    /// Sends the call's id followed by these bytes.
    Raw(Vec<u8>),
    /// Sends part of an answer and closes the connection.
    Truncate,
    /// Closes the connection without sending a byte.
    Close,
    /// Sends nothing and keeps the connection open.
    Silence,
}

/// A call as the worker received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedCall {
    pub id: String,
    pub fields: String,
    pub body: Vec<u8>,
    /// Whether the call's function had been loaded here since the last [`Worker::unload_all`].
    pub loaded: bool,
}

type Script = Arc<dyn Fn(&ReceivedCall, usize) -> Action + Send + Sync>;

/// A worker that answers probes and load requests successfully, and calls by a script.
#[derive(Clone)]
pub(crate) struct Worker {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedCall>>>,
    load_requests: Arc<Mutex<usize>>,
    loaded: Arc<Mutex<HashSet<String>>>,
}

impl Worker {
    pub(crate) fn start(script: impl Fn(&ReceivedCall, usize) -> Action + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Worker {
            address: listener.local_addr().unwrap(),
            received: Arc::default(),
            load_requests: Arc::default(),
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

    pub(crate) fn calls(&self) -> Vec<ReceivedCall> {
        self.received.lock().unwrap().clone()
    }

    /// Drops all loaded copies.
    pub(crate) fn unload_all(&self) {
        self.loaded.lock().unwrap().clear();
    }

    pub(crate) fn load_requests(&self) -> usize {
        *self.load_requests.lock().unwrap()
    }

    fn serve(&self, stream: TcpStream, script: Script) -> Option<()> {
        let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        while reader.read_line(&mut line).ok()? > 0 {
            let tokens: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
            line.clear();
            match tokens[0].as_str() {
                "exec" => {
                    let mut body = vec![0; tokens[3].parse::<usize>().ok()? + 2];
                    reader.read_exact(&mut body).ok()?;
                    assert_eq!(body.split_off(body.len() - 2), b"\r\n");
                    let loaded = self.loaded.lock().unwrap().contains(&function_of(&tokens[2]));
                    let call =
                        ReceivedCall { id: tokens[1].clone(), fields: tokens[2].clone(), body, loaded };
                    let number = {
                        let mut all = self.received.lock().unwrap();
                        all.push(call.clone());
                        all.len() - 1
                    };
                    let writer = writer.clone();
                    let reply = move |id: &str, status: &str, body: &[u8]| {
                        let mut bytes = format!("{id} {status} - {}\r\n", body.len()).into_bytes();
                        bytes.extend_from_slice(body);
                        bytes.extend_from_slice(b"\r\n");
                        let _ = writer.lock().unwrap().write_all(&bytes);
                    };
                    match script(&call, number) {
                        Action::Reply(status, body) => reply(&call.id, status, &body),
                        Action::Later(ms, status, body) => drop(thread::spawn(move || {
                            thread::sleep(Duration::from_millis(ms));
                            reply(&call.id, status, &body);
                        })),
                        Action::Raw(bytes) => {
                            let all = [call.id.as_bytes(), &bytes].concat();
                            reader.get_mut().write_all(&all).ok()?;
                        }
                        Action::Truncate => {
                            reader
                                .get_mut()
                                .write_all(format!("{} ACK - 9\r\nhal", call.id).as_bytes())
                                .ok()?;
                            return None;
                        }
                        Action::Close => return None,
                        Action::Silence => {}
                    }
                }
                "load" | "health" => {
                    let ready = format!("{} READY report=queue:0 0\r\n\r\n", tokens[1]);
                    writer.lock().unwrap().write_all(ready.as_bytes()).ok()?;
                }
                "ensure" => {
                    *self.load_requests.lock().unwrap() += 1;
                    self.loaded.lock().unwrap().insert(function_of(&tokens[2]));
                    let loaded = format!("{} ACK copies=1 0\r\n\r\n", tokens[1]);
                    writer.lock().unwrap().write_all(loaded.as_bytes()).ok()?;
                }
                "drop" | "release" => {}
                other => panic!("the worker received an unknown command {other:?}"),
            }
        }
        Some(())
    }
}

/// The function named by a command's field `thing`.
fn function_of(fields: &str) -> String {
    fields.split(',').find_map(|f| f.strip_prefix("thing=")).expect("the command has a field `thing`").into()
}

/// A worker that serves every call immediately.
pub(crate) fn serving_worker() -> Worker {
    Worker::start(|_, _| Action::Reply("ACK", b"done".to_vec()))
}
