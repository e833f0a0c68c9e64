//! Messages of clients that send at full speed: small, invalid or cancelled ones, under ever new names.

use crate::test_servers::{interrupt, request};

/// Bytes generated at a time.
const BATCH: usize = 16 * 1024;
/// The protocol's limit of open calls on one connection.
const MAX_OPEN: u32 = 32;

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Readiness checks.
    Checks,
    /// Calls with a timeout that is not a number.
    InvalidTimeouts,
    /// Calls of a class that does not exist.
    UnknownClasses,
    /// Calls of ever new functions, each followed by its cancellation.
    CancelledCalls,
    /// As many open calls of ever new functions as allowed, then the cancellation of all.
    CancelledSeries,
    /// Calls of one function, each followed by its cancellation.
    CancelledCallsOfOneFunction,
    /// Cancellations of calls that were never sent.
    Cancellations,
    /// Notifications of an unknown method.
    Notifications,
    /// Calls with as many short unknown fields as fit into a message.
    ManyFields,
    /// Arrays nested too deeply; the router closes the connection.
    DeepNesting,
    /// More open calls than allowed; the router closes the connection.
    TooManyOpen,
    /// Two requests under one number; the router closes the connection.
    RepeatedNumbers,
}

impl Kind {
    pub(crate) const ALL: [Kind; 12] = [
        Kind::Checks,
        Kind::InvalidTimeouts,
        Kind::UnknownClasses,
        Kind::CancelledCalls,
        Kind::CancelledSeries,
        Kind::CancelledCallsOfOneFunction,
        Kind::Cancellations,
        Kind::Notifications,
        Kind::ManyFields,
        Kind::DeepNesting,
        Kind::TooManyOpen,
        Kind::RepeatedNumbers,
    ];
}

/// Generates the messages of one connection.
pub(crate) struct Messages {
    kind: Kind,
    number: u32,
    /// Distinguishes the ids and functions of this connection from those of others.
    next_id: u64,
}

impl Messages {
    pub(crate) fn new(kind: Kind, connection: u64) -> Self {
        Messages { kind, number: 0, next_id: 0xbad0_0000_0000_0000 | connection << 28 }
    }

    /// The next messages, about [`BATCH`] bytes of them.
    pub(crate) fn batch(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        while bytes.len() < BATCH {
            self.append(&mut bytes);
        }
        bytes
    }

    fn append(&mut self, out: &mut Vec<u8>) {
        match self.kind {
            Kind::Checks => {
                self.number += 1;
                out.extend(request(self.number, "check", &[], b""));
            }
            Kind::InvalidTimeouts => out.extend(self.call("quote", "-1", None)),
            Kind::UnknownClasses => out.extend(self.call("nobody", "500", None)),
            Kind::CancelledCalls => {
                out.extend(self.call("quote", "500", None));
                out.extend(interrupt(self.number));
            }
            Kind::CancelledSeries => {
                let first = self.number + 1;
                (0..MAX_OPEN).for_each(|_| out.extend(self.call("quote", "500", None)));
                (first..first + MAX_OPEN).for_each(|number| out.extend(interrupt(number)));
            }
            Kind::CancelledCallsOfOneFunction => {
                out.extend(self.call("quote", "500", Some(1)));
                out.extend(interrupt(self.number));
            }
            Kind::Cancellations => out.extend(interrupt(1)),
            Kind::Notifications => out.extend([0x93, 2, 0xa1, b'x', 0x90]),
            Kind::ManyFields => out.extend(self.many_fields()),
            Kind::DeepNesting => out.extend([0x94, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91]),
            Kind::TooManyOpen => out.extend(self.call("quote", "500", Some(1))),
            Kind::RepeatedNumbers => {
                out.extend(self.call("quote", "500", Some(1)));
                self.number -= 1;
            }
        }
    }

    /// A call of a new function, or of the given one.
    fn call(&mut self, class: &str, timeout: &str, function: Option<u64>) -> Vec<u8> {
        self.number += 1;
        self.next_id += 1;
        let id = format!("{:016x}", self.next_id);
        let function = format!("{:016x}", function.unwrap_or(self.next_id));
        request(self.number, class, &[("req", &id), ("timeout", timeout), ("subject", &function)], b"")
    }

    fn many_fields(&mut self) -> Vec<u8> {
        self.number += 1;
        request(self.number, "quote", &[("", ""); 8_000], b"")
    }
}
