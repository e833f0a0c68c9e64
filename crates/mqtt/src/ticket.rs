//! Ids of calls and clients, distinct among all fronts of one engine.

use slatevalve_engine::{ClientRef, Ticket};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The bits below the number of the front in an id.
const COUNTER_BITS: u32 = 56;

/// The source of the ids of one front.
#[derive(Clone, Debug)]
pub struct TicketSource {
    front: u8,
    last: u64,
}

impl TicketSource {
    /// The source of the front with this number, which no other front of the engine may have.
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

    /// The client with this name, the same each time.
    pub(crate) fn client_named(&self, name: &str) -> ClientRef {
        // A hasher made by `new` has fixed keys, so that a name always gives the same hash.
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        ClientRef(self.with_front(hasher.finish() >> (u64::BITS - COUNTER_BITS)))
    }
}
