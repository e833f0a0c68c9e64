//! The order in which the input of client connections is read, so that clients which send at full speed delay
//! neither workers nor other clients.
//!
//! Input is read in turns: one bounded read of one connection, whose messages are handled before the next
//! turn. The turns of an iteration end once they took [`TURNS_PER_ITERATION`]; what is left waits in the
//! kernel until the next one, and other events are handled in between. Every second turn is for a connection whose
//! input took little time lately and was read to its end by its last turn, as a usual client's is. Half of the
//! remaining time is for new connections, in the order of arrival: one without history must neither
//! wait for all others nor, by connecting again and again, overtake them. The other half is for the rest, those
//! with a backlog last, but with one turn in [`TURNS_PER_BACKLOGGED`] in any case. Among established ones, the connection whose input took the least time to handle lately comes first (max-min fairness,
//! as in fair queueing: Demers, Keshav and Shenker, SIGCOMM 1989).

use slatevalve::Micros;
use slatevalve_reactor::Id;
use std::collections::{BTreeSet, HashMap};

/// Time for the turns of one iteration.
const TURNS_PER_ITERATION: Micros = Micros(5_000);
/// Bytes read in one turn: a few tens of usual messages.
const TURN_BYTES: usize = 4 * 1024;
/// Bytes read in the first turn of a connection: a usual message.
const FIRST_TURN_BYTES: usize = 256;
/// A connection has a backlog if this many bytes were read without an end or are unread: more than the largest
/// message of the platform's clients.
const BACKLOG_BYTES: usize = 24 * 1024;
/// Age from which on the client of unread input may have left before it is handled. Platforms count an attempt
/// as sent for nobody if it begins 0.1 s after the client left.
const STALE_AGE: Micros = Micros(50_000);
/// A peer cannot have been kept from writing by the receive window while fewer bytes than this were unread. If
/// stale input is shorter, its connection keeps the turn until all is read, so that a cancellation behind a call
/// is seen before the call is sent.
const WINDOW_MIN_BYTES: usize = 32 * 1024;
/// Recent use above which the use of a connection is not light.
const LIGHT_USE_MAX: Micros = Micros(20_000);
/// Number of turns of which one is for a connection with a backlog.
const TURNS_PER_BACKLOGGED: u32 = 8;
/// Recent use is counted over the current period and the one before it.
const USE_PERIOD: Micros = Micros(1_000_000);
/// Limit of the time counted for one turn: a pause of the process within it is not the client's doing.
const TURN_TIME_MAX: Micros = Micros(2_500);

/// Permission to read from a connection once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Turn {
    /// The connection.
    pub(crate) connection: Id,
    /// Number of bytes to read.
    pub(crate) max_bytes: usize,
    /// Upper bound of the time for which the input has been waiting.
    pub(crate) age: Micros,
    /// Bytes read since the input was last read to its end.
    bytes_before: usize,
    /// Whether the peer may have been kept from writing, so that the end of the input proves nothing.
    maybe_blocked: bool,
    /// Whether the input of the connection took little time lately.
    is_light: bool,
}

impl Turn {
    /// Whether the input is so old that its client may have left since.
    pub(crate) fn is_stale(&self) -> bool {
        self.age >= STALE_AGE
    }

    /// Whether the client may have left, or cancelled what it sent, behind the input of this turn: it has been
    /// waiting, and it does not end soon after the `bytes` read and the `unread` ones behind them.
    pub(crate) fn client_may_have_left(&self, bytes: usize, unread: usize) -> bool {
        let is_short = self.bytes_before + bytes + unread < WINDOW_MIN_BYTES;
        let is_end_near = is_short && (self.is_light || unread == 0);
        self.is_stale() && (self.maybe_blocked || !is_end_near)
    }

    /// Whether the connection keeps the turn until its input is read.
    fn is_kept(&self, bytes: usize, unread: usize) -> bool {
        self.is_stale() && unread > 0 && !self.client_may_have_left(bytes, unread)
    }
}

/// What was read in a turn.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TurnRead {
    /// Number of bytes; fewer than [`Turn::max_bytes`] mean that no more input is available.
    pub(crate) bytes: usize,
    /// Number of bytes that are left unread.
    pub(crate) unread: usize,
}

/// Time that the input of a connection took to handle lately.
#[derive(Clone, Copy, Debug, Default)]
struct RecentUse {
    /// Number of the current period.
    period: i64,
    current: Micros,
    previous: Micros,
}

impl RecentUse {
    fn add(&mut self, now: Micros, time: Micros) {
        *self = self.as_of(now);
        self.current.0 += time.0;
    }

    fn total(self, now: Micros) -> Micros {
        let RecentUse { current, previous, .. } = self.as_of(now);
        Micros(current.0 + previous.0)
    }

    /// The counts as of `now`, with ended periods shifted out.
    fn as_of(self, now: Micros) -> Self {
        let period = now.0 / USE_PERIOD.0;
        match period - self.period {
            ..=0 => self,
            1 => RecentUse { period, current: Micros(0), previous: self.current },
            _ => RecentUse { period, ..RecentUse::default() },
        }
    }
}

/// What a waiting connection has shown so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    /// It had no turn yet.
    New,
    /// Its input took little time lately, and its last turn read all of it.
    Light,
    Other,
    /// Much more input than a usual client's was found.
    Backlogged,
}

/// Position of a waiting connection within its class, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// Recent use; 0 in classes where only the order counts.
    recent_use: Micros,
    /// Position in the order of arrival.
    order: u64,
    connection: Id,
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Readiness {
    /// No input is known to be available.
    Idle,
    /// Waits for a turn.
    Waiting(Class, Place),
    /// Gets no turn until the client has read what was written to it.
    Suspended,
}

/// The waiting connections of each class.
#[derive(Debug, Default)]
struct Waiting {
    new: BTreeSet<Place>,
    light: BTreeSet<Place>,
    other: BTreeSet<Place>,
    backlogged: BTreeSet<Place>,
}

impl Waiting {
    fn class(&mut self, class: Class) -> &mut BTreeSet<Place> {
        match class {
            Class::New => &mut self.new,
            Class::Light => &mut self.light,
            Class::Other => &mut self.other,
            Class::Backlogged => &mut self.backlogged,
        }
    }

    fn iter(&self) -> impl Iterator<Item = Id> + '_ {
        let classes = [&self.new, &self.light, &self.other, &self.backlogged];
        classes.into_iter().flatten().map(|place| place.connection)
    }

    /// The connection whose input took the least time lately; one with a backlog only if there is no other.
    fn least_used(&self) -> Option<Id> {
        let without_backlog = self.light.first().into_iter().chain(self.other.first()).min();
        without_backlog.or(self.backlogged.first()).map(|place| place.connection)
    }
}

#[derive(Debug)]
struct Client {
    readiness: Readiness,
    recent_use: RecentUse,
    /// Whether it had a turn.
    is_established: bool,
    /// Since when unread input may have been waiting; `None` if there is none.
    unread_since: Option<Micros>,
    /// Bytes read since the input was last read to its end.
    bytes_since_drained: usize,
    /// Whether much more input than a usual client's was found.
    has_backlog: bool,
    /// The iteration in which so much had been read to the end that the peer may have more to write.
    maybe_blocked_in: Option<u64>,
}

impl Client {
    fn class(&self, now: Micros) -> Class {
        let is_light = self.bytes_since_drained == 0 && self.recent_use.total(now) <= LIGHT_USE_MAX;
        match (self.is_established, self.has_backlog) {
            (false, _) => Class::New,
            (true, true) => Class::Backlogged,
            (true, false) if is_light => Class::Light,
            (true, false) => Class::Other,
        }
    }
}

/// Client connections and the order of their turns.
#[derive(Debug, Default)]
pub(crate) struct InputQueue {
    clients: HashMap<Id, Client>,
    waiting: Waiting,
    next_order: u64,
    iteration: u64,
    /// Time of turns of new connections less that of others whose use is not light, within the time of one
    /// iteration.
    balance: i64,
    /// Whether the next turn is for a connection of light use.
    prefers_light: bool,
    /// Number of turns since one was for a connection with a backlog.
    turns_since_backlogged: u32,
    /// Time of the turns of this iteration.
    time_used: Micros,
    /// The connection that keeps the turn until its input is read.
    continued: Option<Id>,
}

impl InputQueue {
    /// Adds a new connection.
    pub(crate) fn add(&mut self, connection: Id) {
        let client = Client {
            readiness: Readiness::Idle,
            recent_use: RecentUse::default(),
            is_established: false,
            unread_since: None,
            bytes_since_drained: 0,
            has_backlog: false,
            maybe_blocked_in: None,
        };
        self.clients.insert(connection, client);
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&mut self, connection: Id) {
        self.dequeue(connection);
        self.clients.remove(&connection);
    }

    /// Begins an iteration of the loop, before its input is reported.
    pub(crate) fn begin_iteration(&mut self) {
        self.iteration += 1;
        self.time_used = Micros(0);
    }

    /// Records that input is available on a connection, and may have been since `since`.
    pub(crate) fn mark_readable(&mut self, connection: Id, since: Micros) {
        let Some(client) = self.clients.get_mut(&connection) else { return };
        // If nothing came with the poll after the input had ended, the peer was not kept from writing.
        if client.maybe_blocked_in.is_some_and(|iteration| iteration + 1 < self.iteration) {
            client.maybe_blocked_in = None;
            client.unread_since = None;
        }
        client.unread_since.get_or_insert(since);
        if client.readiness == Readiness::Idle {
            self.enqueue(connection, since);
        }
    }

    /// Adds a connection to the end of its class.
    fn enqueue(&mut self, connection: Id, now: Micros) {
        let Some(client) = self.clients.get_mut(&connection) else { return };
        let class = client.class(now);
        let recent_use = match class {
            Class::New | Class::Backlogged => Micros(0),
            Class::Light | Class::Other => client.recent_use.total(now),
        };
        let place = Place { recent_use, order: self.next_order, connection };
        self.next_order += 1;
        client.readiness = Readiness::Waiting(class, place);
        self.waiting.class(class).insert(place);
    }

    /// Removes a connection from its class; it no longer waits.
    fn dequeue(&mut self, connection: Id) {
        let Some(client) = self.clients.get_mut(&connection) else { return };
        if let Readiness::Waiting(class, place) = client.readiness {
            self.waiting.class(class).remove(&place);
            client.readiness = Readiness::Idle;
        }
        self.continued = self.continued.filter(|id| *id != connection);
    }

    /// Whether a connection waits for a turn.
    pub(crate) fn has_waiting(&self) -> bool {
        self.waiting.iter().next().is_some()
    }

    /// The connections that wait for a turn.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = Id> + '_ {
        self.waiting.iter()
    }

    /// The waiting connections whose clients may have left behind the unread input.
    pub(crate) fn stale(&self, now: Micros) -> Vec<Id> {
        let is_stale = |id: &Id| {
            let since = self.clients.get(id).and_then(|client| client.unread_since);
            since.is_some_and(|since| now.0 - since.0 >= STALE_AGE.0 / 2)
        };
        self.waiting.iter().filter(is_stale).collect()
    }

    /// The next turn, if a connection waits for one and the time of this iteration is not used up.
    pub(crate) fn next_turn(&mut self, now: Micros) -> Option<Turn> {
        if self.time_used >= TURNS_PER_ITERATION {
            return None;
        }
        let connection = match self.continued.take() {
            Some(connection) => connection,
            None => self.select()?,
        };
        let client = self.clients.get(&connection)?;
        Some(Turn {
            connection,
            max_bytes: if client.is_established { TURN_BYTES } else { FIRST_TURN_BYTES },
            age: Micros(now.0 - client.unread_since.unwrap_or(now).0),
            bytes_before: client.bytes_since_drained,
            maybe_blocked: client.maybe_blocked_in.is_some(),
            is_light: client.recent_use.total(now) <= LIGHT_USE_MAX,
        })
    }

    fn select(&mut self) -> Option<Id> {
        let first = |places: &BTreeSet<Place>| places.first().map(|place| place.connection);
        let (new, light, backlogged) =
            (first(&self.waiting.new), first(&self.waiting.light), first(&self.waiting.backlogged));
        if self.turns_since_backlogged + 1 >= TURNS_PER_BACKLOGGED {
            self.turns_since_backlogged = 0;
            if backlogged.is_some() {
                return backlogged;
            }
        }
        self.turns_since_backlogged += 1;
        self.prefers_light = !self.prefers_light;
        if self.prefers_light && light.is_some() {
            return light;
        }
        match self.balance <= 0 {
            true => new.or_else(|| self.waiting.least_used()),
            false => self.waiting.least_used().or(new),
        }
    }

    /// Ends a turn that took `time`.
    pub(crate) fn end_turn(&mut self, now: Micros, turn: Turn, read: TurnRead, time: Micros) {
        let TurnRead { bytes, unread } = read;
        let time = time.min(TURN_TIME_MAX);
        self.time_used.0 += time.0;
        self.dequeue(turn.connection);
        let Some(client) = self.clients.get_mut(&turn.connection) else { return };
        let change = match (client.is_established, turn.bytes_before == 0 && turn.is_light) {
            (false, _) => time.0,
            (true, true) => 0,
            (true, false) => -time.0,
        };
        self.balance = (self.balance + change).clamp(-TURNS_PER_ITERATION.0, TURNS_PER_ITERATION.0);
        client.is_established = true;
        client.recent_use.add(now, time);
        client.bytes_since_drained += bytes;
        client.has_backlog = client.bytes_since_drained + unread >= BACKLOG_BYTES;
        if bytes >= turn.max_bytes {
            self.enqueue(turn.connection, now);
            self.continued = turn.is_kept(bytes, unread).then_some(turn.connection);
            return;
        }
        client.has_backlog = false;
        let bytes_to_end = std::mem::take(&mut client.bytes_since_drained);
        if bytes_to_end < WINDOW_MIN_BYTES && client.maybe_blocked_in.is_none() {
            client.unread_since = None;
        } else {
            client.maybe_blocked_in = Some(self.iteration);
        }
    }

    /// Gives a connection no turns until [`InputQueue::resume`].
    pub(crate) fn suspend(&mut self, connection: Id) {
        self.dequeue(connection);
        if let Some(client) = self.clients.get_mut(&connection) {
            client.readiness = Readiness::Suspended;
        }
    }

    /// Ends a suspension; the connection waits for a turn once input is reported.
    pub(crate) fn resume(&mut self, connection: Id) {
        let client = self.clients.get_mut(&connection);
        if let Some(client) = client.filter(|client| client.readiness == Readiness::Suspended) {
            client.readiness = Readiness::Idle;
        }
    }
}

#[cfg(test)]
mod tests;
