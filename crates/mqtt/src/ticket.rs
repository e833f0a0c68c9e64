//! Ids of calls and clients, unique among all fronts of one engine.

use slatevalve_engine::{ClientRef, Ticket};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of low bits of an id that hold the counter; the bits above hold the number of the front.
const COUNTER_BITS: u32 = 56;

/// Generates the ids of one front.
#[derive(Clone, Debug)]
pub struct TicketSource {
    front: u8,
    last: u64,
}

impl TicketSource {
    /// Creates the source of a front. Its number must be unique among the fronts of the engine.
    #[must_use]
    pub fn new(front: u8) -> Self {
        TicketSource { front, last: 0 }
    }

    /// The number of the front that a ticket belongs to.
    #[must_use]
    pub fn front_of(ticket: Ticket) -> u8 {
        (ticket.0 >> COUNTER_BITS) as u8
    }

    fn with_front(&self, counter: u64) -> u64 {
        (u64::from(self.front) << COUNTER_BITS) | counter
    }

    fn next_id(&mut self) -> u64 {
        self.last += 1;
        self.with_front(self.last)
    }

    /// A new ticket.
    pub(crate) fn ticket(&mut self) -> Ticket {
        Ticket(self.next_id())
    }

    /// A new client.
    pub(crate) fn client(&mut self) -> ClientRef {
        ClientRef(self.next_id())
    }

    /// The client id for a name, which is the same each time.
    pub(crate) fn client_named(&self, name: &str) -> ClientRef {
        // `DefaultHasher::new` uses fixed keys, so a name always has the same hash.
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        ClientRef(self.with_front(hasher.finish() >> (u64::BITS - COUNTER_BITS)))
    }
}
