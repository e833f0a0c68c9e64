//! The admin socket: a Unix socket of mode 0600 on which an operator of this machine changes plug-ins while the gateway
//! runs. One command a line, as JSON; lines of progress, then one answer. A connection has one command at work.
//!
//! It guards the loop against a peer that sends a line without end or more than it may; whoever can open the socket is
//! trusted beyond that, as it is the gateway's own user.

use crate::plugins::command::Command;
use serde_json::{json, Value};
use slatevalve_reactor::{Id, Reactor};
use std::collections::HashMap;
use std::io;
use std::path::Path;

/// Bytes of a line.
const MAX_LINE: usize = 64 * 1024;
/// Connections at a time.
const MAX_CONNECTIONS: usize = 32;

#[derive(Default)]
struct Connection {
    line: Vec<u8>,
    at_work: bool,
}

/// See the module's documentation.
pub(super) struct Admin {
    connections: HashMap<Id, Connection>,
}

impl Admin {
    /// Listens at a path.
    pub(super) fn open(reactor: &mut Reactor, path: &Path) -> io::Result<Self> {
        reactor.listen_unix(path)?;
        Ok(Admin { connections: HashMap::new() })
    }

    /// Somebody connected; beyond the limit it is told so and closed.
    pub(super) fn accepted(&mut self, reactor: &mut Reactor, id: Id) {
        if self.connections.len() >= MAX_CONNECTIONS {
            reactor.write(id, b"{\"error\":\"too many are connected to the admin socket\"}\n");
            return reactor.finish(id);
        }
        self.connections.insert(id, Connection::default());
    }

    /// Whether a connection is one of these.
    pub(super) fn knows(&self, id: Id) -> bool {
        self.connections.contains_key(&id)
    }

    /// A connection ended; whether it was one of these.
    pub(super) fn closed(&mut self, id: Id) -> bool {
        self.connections.remove(&id).is_some()
    }

    /// Bytes came: the command, once its line is whole. What is no command is answered here.
    pub(super) fn received(&mut self, reactor: &mut Reactor, id: Id, bytes: &[u8]) -> Option<Command> {
        let connection = self.connections.get_mut(&id)?;
        connection.line.extend_from_slice(bytes);
        let end = connection.line.iter().position(|b| *b == b'\n');
        let problem = match end {
            _ if connection.at_work => "a command of this connection is at work",
            None if connection.line.len() <= MAX_LINE => return None,
            None => "the line is too long",
            Some(end) => {
                let line: Vec<u8> = connection.line.drain(..=end).collect();
                match serde_json::from_slice(&line) {
                    Ok(command) => {
                        connection.at_work = true;
                        return Some(command);
                    }
                    Err(e) => {
                        let words = format!("not a command: {e}");
                        self.answer(reactor, id, &json!({ "error": words }), false);
                        return None;
                    }
                }
            }
        };
        self.answer(reactor, id, &json!({ "error": problem }), true);
        reactor.finish(id);
        None
    }

    /// Writes an answer, or progress where more of the same follows.
    pub(super) fn answer(&mut self, reactor: &mut Reactor, id: Id, answer: &Value, more: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.at_work &= more;
            reactor.write(id, format!("{answer}\n").as_bytes());
        }
    }
}
