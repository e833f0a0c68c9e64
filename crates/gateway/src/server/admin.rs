//! The admin socket of a running gateway: a Unix domain socket for commands on plug-ins.
//!
//! Each line is one command as JSON; the reply is any number of progress lines, then one line with the
//! result. A connection runs one command at a time. The length of a line and the number of connections are
//! bounded, so that no peer can exhaust the event loop. Peers are trusted otherwise, as only the gateway's
//! own user can open the socket.

use crate::plugins::command::Command;
use serde_json::{json, Value};
use slatevalve_reactor::{Id, Reactor};
use std::collections::HashMap;
use std::io;
use std::path::Path;

/// Maximum length of a command line, in bytes.
const MAX_LINE: usize = 64 * 1024;
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 32;

/// Whether a reply ends its command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyKind {
    /// A command in progress stays in progress: the line reports its progress, or an error in the input.
    Progress,
    /// The last line of the command; the connection may send the next one.
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
    /// Received bytes of the next command's line.
    line: Vec<u8>,
    in_progress: bool,
}

/// The open connections of the admin socket.
pub(super) struct Admin {
    connections: HashMap<Id, Connection>,
}

impl Admin {
    /// Listens on a Unix domain socket.
    ///
    /// # Errors
    /// If the socket cannot be bound, or another process listens on it.
    pub(super) fn open(reactor: &mut Reactor, path: &Path) -> io::Result<Self> {
        reactor.listen_unix(path)?;
        Ok(Admin { connections: HashMap::new() })
    }

    /// Adds a connection. Beyond [`MAX_CONNECTIONS`] it receives an error and is closed.
    pub(super) fn accepted(&mut self, reactor: &mut Reactor, connection: Id) {
        if self.connections.len() >= MAX_CONNECTIONS {
            reactor.write(connection, b"{\"error\":\"too many are connected to the admin socket\"}\n");
            return reactor.close_gracefully(connection);
        }
        self.connections.insert(connection, Connection::default());
    }

    /// Whether a connection belongs to the admin socket.
    pub(super) fn owns(&self, connection: Id) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Removes a closed connection; returns `false` if it does not belong to the admin socket.
    pub(super) fn closed(&mut self, connection: Id) -> bool {
        self.connections.remove(&connection).is_some()
    }

    /// Buffers received bytes, and returns the command once its line is complete. A line that is not a
    /// command is answered with an error. A line that is too long, or bytes during a command in progress,
    /// also close the connection.
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

    /// Writes a reply; ignored if its connection has closed.
    pub(super) fn reply(&mut self, reactor: &mut Reactor, reply: &AdminReply) {
        if let Some(connection) = self.connections.get_mut(&reply.connection) {
            connection.in_progress &= reply.kind == ReplyKind::Progress;
            reactor.write(reply.connection, format!("{}\n", reply.body).as_bytes());
        }
    }
}
