//! Maps the requests of one instance between their names on the wire and their ids in the load balancer.

use slatevalve::RequestId;
use std::collections::HashMap;

/// A request that is not completed or has attempts in flight.
struct OpenRequest {
    name: String,
    /// Number of attempts in flight.
    attempts: usize,
    /// Whether the request has its final answer or its client disconnected.
    completed: bool,
}

/// The open requests of one instance.
pub(crate) struct RequestTable {
    ids: HashMap<String, RequestId>,
    open: HashMap<RequestId, OpenRequest>,
    next_id: u64,
}

impl Default for RequestTable {
    fn default() -> Self {
        RequestTable { ids: HashMap::new(), open: HashMap::new(), next_id: 1 }
    }
}

impl RequestTable {
    /// The id that the next [`RequestTable::insert`] assigns.
    pub(crate) fn next_id(&self) -> RequestId {
        RequestId(self.next_id)
    }

    /// Adds a request under the next id.
    pub(crate) fn insert(&mut self, name: String) {
        let id = self.next_id();
        self.next_id += 1;
        self.ids.insert(name.clone(), id);
        self.open.insert(id, OpenRequest { name, attempts: 0, completed: false });
    }

    /// The id of an open request.
    pub(crate) fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// The name of an open request.
    pub(crate) fn name(&self, id: RequestId) -> Option<&str> {
        self.open.get(&id).map(|request| request.name.as_str())
    }

    /// Records that an attempt was sent.
    pub(crate) fn attempt_sent(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.attempts += 1;
        }
    }

    /// Records that an attempt ended; removes the request if it is completed and this was its last attempt.
    pub(crate) fn attempt_completed(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.attempts = request.attempts.saturating_sub(1);
            self.remove_if_finished(id);
        }
    }

    /// Records that a request has its final answer or its client disconnected; it is removed once no attempt
    /// is in flight.
    pub(crate) fn completed(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.completed = true;
            self.remove_if_finished(id);
        }
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |request: &OpenRequest| request.completed && request.attempts == 0;
        if self.open.get(&id).is_some_and(is_finished) {
            if let Some(request) = self.open.remove(&id) {
                self.ids.remove(&request.name);
            }
        }
    }
}
