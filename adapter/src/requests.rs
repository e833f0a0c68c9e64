//! The requests of one instance: their names on the wire and their ids in the load balancer.

use slatevalve::RequestId;
use std::collections::HashMap;

/// A request, kept while it or one of its attempts is open.
struct OpenRequest {
    name: String,
    /// Attempts that were sent and have not ended.
    attempts: usize,
    /// Whether the request has its final answer or lost its client.
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
    /// The id that [`RequestTable::insert`] gives next.
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

    /// Notes that an attempt was sent.
    pub(crate) fn attempt_sent(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.attempts += 1;
        }
    }

    /// Notes that an attempt ended.
    pub(crate) fn attempt_completed(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.attempts = request.attempts.saturating_sub(1);
            self.remove_if_over(id);
        }
    }

    /// Notes that a request has its final answer or lost its client.
    pub(crate) fn completed(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.completed = true;
            self.remove_if_over(id);
        }
    }

    fn remove_if_over(&mut self, id: RequestId) {
        let is_over = |request: &OpenRequest| request.completed && request.attempts == 0;
        if self.open.get(&id).is_some_and(is_over) {
            if let Some(request) = self.open.remove(&id) {
                self.ids.remove(&request.name);
            }
        }
    }
}
