//! The calls of a history: how often each was started and answered.

use slatevalve::ClassId;
use slatevalve_engine::{Answer, Call, Ticket, Verdict};
use slatevalve_mqtt::{Route, Routes, Template, TopicFilter};
use std::collections::BTreeMap;

/// Largest number of calls of one history.
const MAX_CALLS: usize = 40;
/// The topic of all calls.
pub(crate) const TOPIC: &str = "quote/fare";
/// Packets to exchange until everything that is owed must have arrived.
pub(crate) const MAX_REST: usize = 10_000;

/// The routes of front and bridge.
pub(crate) fn routes() -> Routes {
    let route = Route {
        filter: TopicFilter::parse("quote/+").unwrap(),
        class: ClassId(0),
        tenant: None,
        function: Template::parse("{2}").unwrap(),
        key: None,
    };
    Routes { routes: vec![route], ..Routes::default() }
}

/// Counts by payload, as each call has a payload of its own.
#[derive(Default)]
pub(crate) struct Calls {
    published: usize,
    open: Vec<Call>,
    started: BTreeMap<Vec<u8>, usize>,
    /// Answers without retransmissions.
    answers: BTreeMap<Vec<u8>, usize>,
}

impl Calls {
    /// Whether the history has as many calls as it may have.
    pub(crate) fn is_full(&self) -> bool {
        self.published >= MAX_CALLS
    }

    /// The payload of the next call to publish.
    pub(crate) fn next_payload(&mut self) -> Vec<u8> {
        self.published += 1;
        (self.published - 1).to_string().into_bytes()
    }

    /// Records a call that the gateway starts.
    pub(crate) fn start(&mut self, call: Call) {
        *self.started.entry(call.payload.to_vec()).or_default() += 1;
        self.open.push(call);
    }

    pub(crate) fn has_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Ends an open call, if there is one. Its answer has its payload, so that each answer tells which call it
    /// is for.
    pub(crate) fn end(&mut self, index: usize) -> Option<(Ticket, Answer)> {
        if self.open.is_empty() {
            return None;
        }
        let Call { ticket, payload, .. } = self.open.remove(index % self.open.len());
        let verdict = Verdict::Served { payload, ran: None };
        Some((ticket, Answer { verdict, attempts: 1, recorded: false, version: None }))
    }

    /// Records an answer. One that `may_be_known` does not count if the peer has received it before.
    pub(crate) fn answered(&mut self, payload: &[u8], may_be_known: bool) {
        let answers = self.answers.entry(payload.to_vec()).or_default();
        if *answers == 0 || !may_be_known {
            *answers += 1;
        }
    }

    /// Checks that each call was started once and answered once.
    pub(crate) fn assert_complete(&self) {
        let expected: BTreeMap<Vec<u8>, usize> =
            (0..self.published).map(|number| (number.to_string().into_bytes(), 1)).collect();
        assert_eq!(self.started, expected, "calls started");
        assert_eq!(self.answers, expected, "answers");
    }
}
