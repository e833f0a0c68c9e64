//! One of the client's two connections: what it was opened or asked for, and how far its answer is. Called by [`crate::Client`].

use crate::registration::Step;
use crate::watch_state::ListRequest;
use slatevalve_http::{Limits, PartReader, Side};

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Watch,
    Login,
    List(ListRequest),
    Look,
    /// How many routers registered themselves; then, with that number, what relays say of theirs.
    Count,
    Relays(usize),
    Step(Step),
    Asked {
        ticket: u64,
        path: &'static str,
        body: Vec<u8>,
    },
}

/// How far a connection is.
#[derive(Debug)]
pub(crate) enum Link {
    Closed,
    /// Not connected yet: what goes out then.
    Opening(Purpose),
    Idle,
    Busy(Purpose),
}

/// One of the two connections.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) link: Link,
    pub(crate) reader: PartReader,
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
    /// When it was opened, or the request went out.
    pub(crate) since_us: i64,
    /// The peer closes it after this answer.
    pub(crate) last: bool,
    /// The peer's word on when to come again, in microseconds.
    pub(crate) again_us: Option<i64>,
}

impl Connection {
    pub(crate) fn new() -> Self {
        let limits = Limits { body: usize::MAX, ..Limits::default() };
        let reader = PartReader::new(Side::Response, limits);
        let (status, body, again_us) = (0, Vec::new(), None);
        Connection { link: Link::Closed, reader, status, body, since_us: 0, last: false, again_us }
    }

    pub(crate) fn purpose(&self) -> Option<&Purpose> {
        match &self.link {
            Link::Opening(p) | Link::Busy(p) => Some(p),
            Link::Closed | Link::Idle => None,
        }
    }
}
