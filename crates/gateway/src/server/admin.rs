//! The admin socket of a running gateway: a Unix domain socket for commands on plug-ins.
//!
//! One command a line, as JSON; the answer is lines of progress, then one line with the result. A connection has one command
//! in progress. The length of a line and the number of connections are bounded, so that no peer can exhaust the event loop;
//! beyond that a peer is trusted, as only the gateway's own user can open the socket.

use crate::plugins::command::Command;
use serde_json::{json, Value};
use slatevalve_reactor::{Id, Reactor};
use std::collections::HashMap;
use std::io;
use std::path::Path;

/// Longest line of a command, in bytes.
const MAX_LINE: usize = 64 * 1024;
/// Open connections at a time.
const MAX_CONNECTIONS: usize = 32;

/// Whether a reply ends its command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyKind {
    /// More lines follow; a command in progress stays so.
    Progress,
    /// The command's last line.
    Final,
}

/// A line for a connection of the admin socket.
#[derive(Debug)]
pub(super) struct AdminReply {
    pub(super) connection: Id,
    pub(super) body: Value,
    pub(super) kind: ReplyKind,
}

#[derive(Default)]
struct Connection {
    /// Bytes of the next command's line that have come.
    line: Vec<u8>,
    in_progress: bool,
}

/// The open connections of the admin socket.
pub(super) struct Admin {
    connections: HashMap<Id, Connection>,
}

impl Admin {
    /// Listens at a path.
    ///
    /// # Errors
    /// When the socket cannot be bound, or another process listens there.
    pub(super) fn open(reactor: &mut Reactor, path: &Path) -> io::Result<Self> {
        reactor.listen_unix(path)?;
        Ok(Admin { connections: HashMap::new() })
    }

    /// Adds a connection; beyond [`MAX_CONNECTIONS`] it gets an error and is closed.
    pub(super) fn accepted(&mut self, reactor: &mut Reactor, connection: Id) {
        if self.connections.len() >= MAX_CONNECTIONS {
            reactor.write(connection, b"{\"error\":\"too many are connected to the admin socket\"}\n");
            return reactor.close_gracefully(connection);
        }
        self.connections.insert(connection, Connection::default());
    }

    /// Whether a connection is one of the admin socket.
    pub(super) fn owns(&self, connection: Id) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Forgets a connection that closed; `false` where it is not one of the admin socket.
    pub(super) fn closed(&mut self, connection: Id) -> bool {
        self.connections.remove(&connection).is_some()
    }

    /// Takes bytes, and returns the command once its line is complete. What is not a command gets an error; a line that is
    /// too long, or bytes while a command is in progress, also end the connection.
    pub(super) fn received(
        &mut self,
        reactor: &mut Reactor,
        connection: Id,
        bytes: &[u8],
    ) -> Option<Command> {
        let state = self.connections.get_mut(&connection)?;
        state.line.extend_from_slice(bytes);
        let end_of_line = state.line.iter().position(|byte| *byte == b'\n');
        let problem = match end_of_line {
            _ if state.in_progress => "a command of this connection is at work",
            None if state.line.len() <= MAX_LINE => return None,
            None => "the line is too long",
            Some(end) => {
                let line: Vec<u8> = state.line.drain(..=end).collect();
                return self.parse(reactor, connection, &line);
            }
        };
        let body = json!({ "error": problem });
        self.reply(reactor, &AdminReply { connection, body, kind: ReplyKind::Progress });
        reactor.close_gracefully(connection);
        None
    }

    fn parse(&mut self, reactor: &mut Reactor, connection: Id, line: &[u8]) -> Option<Command> {
        match serde_json::from_slice(line) {
            Ok(command) => {
                self.connections.get_mut(&connection)?.in_progress = true;
                Some(command)
            }
            Err(e) => {
                let body = json!({ "error": format!("not a command: {e}") });
                self.reply(reactor, &AdminReply { connection, body, kind: ReplyKind::Final });
                None
            }
        }
    }

    /// Writes a reply; does nothing once its connection has closed.
    pub(super) fn reply(&mut self, reactor: &mut Reactor, reply: &AdminReply) {
        if let Some(connection) = self.connections.get_mut(&reply.connection) {
            connection.in_progress &= reply.kind == ReplyKind::Progress;
            reactor.write(reply.connection, format!("{}\n", reply.body).as_bytes());
        }
    }
}
