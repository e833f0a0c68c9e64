//! Clients of the platform: their connections, their requests and one answer to each.
//!
//! It guards the router against its clients, and the usual ones against the others: what cannot be used gets an error
//! and reaches nothing; what breaks the protocol loses its connection, with all that was open there; connections that
//! say nothing, stop within a message or are idle end by themselves, and make room where there is none. Nothing of a
//! client outlives its connection. Called by the gateway's loop; calls and answers are the engine's.
//!
//! Bounds: [`FrontSettings::connections`], 32 open requests and one message of 20 KiB on each.

use crate::after;
use crate::frame::{FrameError, Scanner};
use crate::message::{self, Asked, BadCall, Message};
use slatevalve::{ClassId, Effect, Micros};
use slatevalve_engine::{Answer, Call, ClientRef, Repeat, Ticket, Verdict};
use std::collections::{BTreeMap, HashMap};

/// Requests open on one connection, by the protocol.
const MOST_OPEN: usize = 32;
/// A connection has brought its first message by then, and each message that began is whole by then.
const FIRST_WITHIN: Micros = Micros(2_000_000);
/// A connection without an open request is closed after this; usual clients close theirs after 4 s.
const IDLE: Micros = Micros(5_500_000);
/// How often connections are looked at.
const SWEEP: Micros = Micros(250_000);
/// One that connected later than this ago may just be about to ask, and is the last to make room.
const JUST_NOW: Micros = Micros(100_000);

/// A client's connection; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What the front is told when it starts.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The classes' names and effects, in the order of their ids.
    pub classes: Vec<(String, Effect)>,
    /// Connections at a time.
    pub connections: usize,
}

/// What the loop is to do.
#[derive(Clone, Debug)]
pub enum FrontOutput {
    /// Write to a connection.
    Write(LinkId, Vec<u8>),
    /// Close a connection when all is written.
    Finish(LinkId),
    /// Hand a call to the engine.
    Call(Box<Call>),
    /// The client of a call left.
    Left(Ticket),
    /// Something could not be used, for the log.
    Unusable(LinkId, Unusable),
}

/// Why something that a client sent could not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// The bytes are no message.
    Frame(FrameError),
    /// A message is none of the protocol.
    NotAMessage,
    /// The call.
    Call(BadCall),
    /// The number is not above the one before on the connection.
    Number,
    /// A request with this id is open.
    OpenId,
    /// More requests are open than the protocol allows.
    TooManyOpen,
    /// No message came, or none came to its end.
    Silent,
    /// Room was needed.
    NoRoom,
}

#[derive(Default)]
struct Link {
    scanner: Scanner,
    buffer: Vec<u8>,
    open: BTreeMap<u32, Ticket>,
    last_number: u32,
    /// When it was opened, and when something last began or ended on it.
    opened: Micros,
    touched: Micros,
    /// Since when a message has been incomplete.
    begun: Option<Micros>,
    /// A whole message came.
    spoke: bool,
    /// Something was sent to it.
    answered: bool,
}

/// An open request.
struct Open {
    link: LinkId,
    number: u32,
    id: String,
}

/// See the module's documentation.
pub struct Front {
    settings: FrontSettings,
    links: BTreeMap<LinkId, Link>,
    open: HashMap<Ticket, Open>,
    /// The open requests' ids, over all connections.
    ids: HashMap<String, LinkId>,
    next_ticket: u64,
    next_sweep: Option<Micros>,
}

impl Front {
    /// A front without connections.
    pub fn new(settings: FrontSettings) -> Self {
        Front {
            settings,
            links: BTreeMap::new(),
            open: HashMap::new(),
            ids: HashMap::new(),
            next_ticket: 0,
            next_sweep: None,
        }
    }

    /// Connections, open requests and their ids, for tests of bounds.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.links.len(), self.open.len(), self.ids.len())
    }

    /// Requests without an answer.
    pub fn unanswered(&self) -> usize {
        self.open.len()
    }

    /// Connections on which a part of a message has come.
    pub fn incomplete(&self) -> usize {
        self.links.values().filter(|l| l.begun.is_some()).count()
    }

    /// A client connected.
    pub fn opened(&mut self, now: Micros, link: LinkId, out: &mut Vec<FrontOutput>) {
        self.links.insert(link, Link { opened: now, touched: now, ..Link::default() });
        self.next_sweep.get_or_insert(after(now, SWEEP));
        if self.links.len() > self.settings.connections {
            // First those that never said anything, then those that are idle for longest; the new one is the last.
            let unused = self.links.iter().filter(|(_, l)| l.open.is_empty());
            let place = |(id, l): &(&LinkId, &Link)| {
                let just_now = now.0 - l.opened.0 < JUST_NOW.0;
                (**id == link, just_now, l.spoke, l.touched)
            };
            if let Some(id) = unused.min_by_key(place).map(|(id, _)| *id) {
                self.end(id, Unusable::NoRoom, out);
            }
        }
    }

    /// A connection ended from the other side.
    pub fn closed(&mut self, link: LinkId, out: &mut Vec<FrontOutput>) {
        if let Some(link) = self.links.remove(&link) {
            self.leave(link, out);
        }
    }

    fn leave(&mut self, link: Link, out: &mut Vec<FrontOutput>) {
        for ticket in link.open.into_values() {
            self.forget(ticket);
            out.push(FrontOutput::Left(ticket));
        }
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Open> {
        let open = self.open.remove(&ticket)?;
        self.ids.remove(&open.id);
        Some(open)
    }

    /// Ends a connection from this side; what was open there has left.
    fn end(&mut self, id: LinkId, why: Unusable, out: &mut Vec<FrontOutput>) {
        if let Some(link) = self.links.remove(&id) {
            self.leave(link, out);
            out.push(FrontOutput::Unusable(id, why));
            out.push(FrontOutput::Finish(id));
        }
    }

    /// Bytes came; `ready` is what `check` is told.
    pub fn received(
        &mut self,
        now: Micros,
        id: LinkId,
        bytes: &[u8],
        ready: bool,
        out: &mut Vec<FrontOutput>,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let mut buffer = std::mem::take(&mut link.buffer);
        buffer.extend_from_slice(bytes);
        let mut start = 0;
        // A message may end the connection; what came behind it is then nobody's.
        while let Some(link) = self.links.get_mut(&id) {
            let rest = buffer.get(start..).unwrap_or_default();
            match link.scanner.scan(rest) {
                Ok(Some(length)) => {
                    let frame = rest.get(..length).unwrap_or_default();
                    link.spoke = true;
                    link.begun = None;
                    link.touched = now;
                    match message::read(frame) {
                        Ok(message) => self.message(id, message, ready, out),
                        Err(_) => self.end(id, Unusable::NotAMessage, out),
                    }
                    start += length;
                }
                Ok(None) => {
                    buffer.drain(..start);
                    if buffer.is_empty() {
                        // A connection that says little holds little.
                        buffer = Vec::new();
                    } else {
                        link.begun.get_or_insert(now);
                    }
                    link.buffer = buffer;
                    return;
                }
                Err(e) => return self.end(id, Unusable::Frame(e), out),
            }
        }
    }

    fn message(&mut self, id: LinkId, message: Message, ready: bool, out: &mut Vec<FrontOutput>) {
        match message {
            Message::Check { number } => {
                if self.numbered(id, number, out) {
                    self.write(id, message::checked(number, ready), out);
                }
            }
            Message::Call { number, asked } => {
                if self.numbered(id, number, out) {
                    self.call(id, number, asked, out);
                }
            }
            Message::Interrupt(numbers) => self.interrupt(id, &numbers, out),
            Message::Other => {}
        }
    }

    /// Numbers go up: one that does not was used before, and its answer could be taken for the other's.
    fn numbered(&mut self, id: LinkId, number: u32, out: &mut Vec<FrontOutput>) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        if number <= link.last_number {
            self.end(id, Unusable::Number, out);
            return false;
        }
        link.last_number = number;
        true
    }

    fn call(&mut self, id: LinkId, number: u32, asked: Result<Asked, BadCall>, out: &mut Vec<FrontOutput>) {
        let classes = &self.settings.classes;
        let usable = asked.and_then(|asked| {
            let class = classes.iter().position(|(name, _)| *name == asked.class).ok_or(BadCall::Class)?;
            match classes.get(class) {
                Some((_, Effect::Keyed { .. })) if asked.key.is_none() => Err(BadCall::Missing("opkey")),
                _ => Ok((asked, ClassId(class))),
            }
        });
        let (asked, class) = match usable {
            Ok(usable) => usable,
            Err(e) => {
                out.push(FrontOutput::Unusable(id, Unusable::Call(e)));
                return self.write(id, message::error(number, "Unusable"), out);
            }
        };
        match self.ids.get(&asked.id) {
            // Which of the two its answer would be to, nobody could tell.
            Some(other) if *other == id => return self.end(id, Unusable::OpenId, out),
            Some(_) => {
                out.push(FrontOutput::Unusable(id, Unusable::OpenId));
                return self.write(id, message::error(number, "Unusable"), out);
            }
            None => {}
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        if link.open.len() >= MOST_OPEN {
            return self.end(id, Unusable::TooManyOpen, out);
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        link.open.insert(number, ticket);
        self.ids.insert(asked.id.clone(), id);
        self.open.insert(ticket, Open { link: id, number, id: asked.id.clone() });
        out.push(FrontOutput::Call(Box::new(Call {
            ticket,
            client: ClientRef(id.0),
            class,
            tenant: None,
            function: asked.function.into(),
            version: Ok(None),
            traits: Some(asked.traits),
            key: asked.key.map(|key| key.into_bytes().into()),
            request_id: Some(asked.id.into()),
            payload: asked.body.into(),
            budget: asked.timeout,
            age: Micros(0),
            repeat: if asked.resent { Repeat::Marked { covered_since: None } } else { Repeat::Unmarked },
        })));
    }

    fn interrupt(&mut self, id: LinkId, numbers: &[u32], out: &mut Vec<FrontOutput>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let left: Vec<Ticket> = numbers.iter().filter_map(|n| link.open.remove(n)).collect();
        let useless = link.open.is_empty() && !link.answered;
        let any = !left.is_empty();
        for ticket in left {
            self.forget(ticket);
            out.push(FrontOutput::Left(ticket));
        }
        // One that only takes back what it asks is of no use to anybody.
        if any && useless {
            self.links.remove(&id);
            out.push(FrontOutput::Finish(id));
        }
    }

    fn write(&mut self, id: LinkId, bytes: Vec<u8>, out: &mut Vec<FrontOutput>) {
        self.links.get_mut(&id).into_iter().for_each(|l| l.answered = true);
        out.push(FrontOutput::Write(id, bytes));
    }

    /// The final answer to a call; one whose client left goes nowhere.
    pub fn answer(&mut self, now: Micros, ticket: Ticket, answer: &Answer, out: &mut Vec<FrontOutput>) {
        let Some(open) = self.forget(ticket) else { return };
        if let Some(link) = self.links.get_mut(&open.link) {
            link.open.remove(&open.number);
            link.touched = now;
        }
        let bytes = match &answer.verdict {
            Verdict::Served { payload, .. } => message::served(open.number, payload),
            Verdict::Refused(_) => message::error(open.number, "Throttled"),
            Verdict::Failed(_) => message::error(open.number, "Broken"),
        };
        self.write(open.link, bytes, out);
    }

    /// When [`Front::advance`] is due next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.next_sweep
    }

    /// Ends connections that say nothing, stop within a message or are idle.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<FrontOutput>) {
        if self.next_sweep.is_none_or(|at| at > now) {
            return;
        }
        let since = |t: Micros| now.0.saturating_sub(t.0);
        let over = |l: &Link| {
            let stuck = l.begun.is_some_and(|t| since(t) > FIRST_WITHIN.0);
            let silent = !l.spoke && since(l.opened) > FIRST_WITHIN.0;
            stuck || silent || (l.open.is_empty() && since(l.touched) > IDLE.0)
        };
        let ended: Vec<LinkId> = self.links.iter().filter(|(_, l)| over(l)).map(|(id, _)| *id).collect();
        for id in ended {
            self.end(id, Unusable::Silent, out);
        }
        self.next_sweep = (!self.links.is_empty()).then(|| after(now, SWEEP));
    }
}
