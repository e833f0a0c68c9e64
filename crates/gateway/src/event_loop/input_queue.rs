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
use std::collections::HashMap;

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
            0 => self,
            1 => RecentUse { period, current: Micros(0), previous: self.current },
            _ => RecentUse { period, ..RecentUse::default() },
        }
    }
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Readiness {
    /// No input is known to be available.
    Idle,
    /// Waits for a turn.
    Waiting {
        /// Position in the order of arrival.
        order: u64,
    },
    /// Gets no turn until the client has read what was written to it.
    Suspended,
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

/// Client connections and the order of their turns.
#[derive(Debug, Default)]
pub(crate) struct InputQueue {
    clients: HashMap<Id, Client>,
    /// Connections that wait for a turn.
    waiting: Vec<Id>,
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
        if self.clients.remove(&connection).is_some() {
            self.waiting.retain(|id| *id != connection);
            self.continued = self.continued.filter(|id| *id != connection);
        }
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
            client.readiness = Readiness::Waiting { order: self.next_order };
            self.next_order += 1;
            self.waiting.push(connection);
        }
    }

    /// Whether a connection waits for a turn.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The connections that wait for a turn.
    pub(crate) fn waiting(&self) -> &[Id] {
        &self.waiting
    }

    /// The waiting connections whose clients may have left behind the unread input.
    pub(crate) fn stale(&self, now: Micros) -> Vec<Id> {
        let is_stale = |id: &&Id| {
            let since = self.clients.get(id).and_then(|client| client.unread_since);
            since.is_some_and(|since| now.0 - since.0 >= STALE_AGE.0 / 2)
        };
        self.waiting.iter().filter(is_stale).copied().collect()
    }

    /// The next turn, if a connection waits for one and the time of this iteration is not used up.
    pub(crate) fn next_turn(&mut self, now: Micros) -> Option<Turn> {
        if self.time_used >= TURNS_PER_ITERATION {
            return None;
        }
        let connection = match self.continued.take() {
            Some(connection) => connection,
            None => self.select(now)?,
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

    fn select(&mut self, now: Micros) -> Option<Id> {
        if self.turns_since_backlogged + 1 >= TURNS_PER_BACKLOGGED {
            self.turns_since_backlogged = 0;
            if let Some(connection) = self.first_backlogged() {
                return Some(connection);
            }
        }
        self.turns_since_backlogged += 1;
        self.prefers_light = !self.prefers_light;
        if let Some(light) = self.prefers_light.then(|| self.first_light(now)).flatten() {
            return Some(light);
        }
        match self.balance <= 0 {
            true => self.first_new().or_else(|| self.least_used(now)),
            false => self.least_used(now).or_else(|| self.first_new()),
        }
    }

    /// The established connection whose input took the least time lately, of those of light use whose last turn
    /// read all of their input.
    fn first_light(&self, now: Micros) -> Option<Id> {
        let is_light = |client: &Client| {
            client.is_established
                && client.bytes_since_drained == 0
                && client.recent_use.total(now) <= LIGHT_USE_MAX
        };
        let light = self.waiting_clients().filter(|(_, client, _)| is_light(client));
        light.min_by_key(|(_, client, order)| (client.recent_use.total(now), *order)).map(|(id, _, _)| id)
    }

    /// The new connection that has been waiting for the longest time.
    fn first_new(&self) -> Option<Id> {
        let new = self.waiting_clients().filter(|(_, client, _)| !client.is_established);
        new.min_by_key(|(_, _, order)| *order).map(|(id, _, _)| id)
    }

    /// The established connection whose input took the least time lately, of those without a backlog if there
    /// is one.
    fn least_used(&self, now: Micros) -> Option<Id> {
        let established = self.waiting_clients().filter(|(_, client, _)| client.is_established);
        let least = established
            .min_by_key(|(_, client, order)| (client.has_backlog, client.recent_use.total(now), *order));
        least.map(|(id, _, _)| id)
    }

    /// The connection with a backlog that has been waiting for the longest time.
    fn first_backlogged(&self) -> Option<Id> {
        let backlogged = self.waiting_clients().filter(|(_, client, _)| client.has_backlog);
        backlogged.min_by_key(|(_, _, order)| *order).map(|(id, _, _)| id)
    }

    fn waiting_clients(&self) -> impl Iterator<Item = (Id, &Client, u64)> {
        self.waiting.iter().filter_map(|id| {
            let client = self.clients.get(id)?;
            match client.readiness {
                Readiness::Waiting { order } => Some((*id, client, order)),
                Readiness::Idle | Readiness::Suspended => None,
            }
        })
    }

    /// Ends a turn that took `time`.
    pub(crate) fn end_turn(&mut self, now: Micros, turn: Turn, read: TurnRead, time: Micros) {
        let TurnRead { bytes, unread } = read;
        let time = time.min(TURN_TIME_MAX);
        self.time_used.0 += time.0;
        let order = self.next_order;
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
            client.readiness = Readiness::Waiting { order };
            self.next_order += 1;
            self.continued = turn.is_kept(bytes, unread).then_some(turn.connection);
            return;
        }
        client.readiness = Readiness::Idle;
        client.has_backlog = false;
        let bytes_to_end = std::mem::take(&mut client.bytes_since_drained);
        if bytes_to_end < WINDOW_MIN_BYTES && client.maybe_blocked_in.is_none() {
            client.unread_since = None;
        } else {
            client.maybe_blocked_in = Some(self.iteration);
        }
        self.waiting.retain(|id| *id != turn.connection);
    }

    /// Gives a connection no turns until [`InputQueue::resume`].
    pub(crate) fn suspend(&mut self, connection: Id) {
        if let Some(client) = self.clients.get_mut(&connection) {
            client.readiness = Readiness::Suspended;
            self.continued = self.continued.filter(|id| *id != connection);
            self.waiting.retain(|id| *id != connection);
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
