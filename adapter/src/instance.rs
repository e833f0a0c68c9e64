//! One running instance: a load balancer with the mapping between its ids and the names on the wire.

use crate::commands;
use crate::error::EventError;
use crate::events::{Decoder, WorkerLists};
use crate::requests::RequestTable;
use serde_json::{json, Value};
use slatevalve::{Balancer, Event, Micros, RequestId};
use slatevalve_site_config::object::{field, object, unsigned, JsonObject};
use slatevalve_site_config::{FieldError, Names, SiteConfig};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A load balancer with the mapping between its ids and the names on the wire.
pub(crate) struct Instance {
    balancer: Balancer,
    names: Names,
    requests: RequestTable,
}

/// What an event completes. It is removed after the load balancer handled the event, as the resulting actions
/// may still refer to the request.
enum Completed {
    /// An attempt and, if `last` is set, its request.
    Attempt {
        id: RequestId,
        last: bool,
    },
    Request(RequestId),
    Nothing,
}

impl From<&Event> for Completed {
    fn from(event: &Event) -> Self {
        match event {
            Event::Answer(answer) => Completed::Attempt { id: answer.id, last: answer.closed },
            Event::ClientDisconnected { id } => Completed::Request(*id),
            _ => Completed::Nothing,
        }
    }
}

impl Instance {
    /// Creates an instance from a `PowerOn` event.
    ///
    /// # Errors
    /// Identifies the first field that is missing or invalid.
    pub(crate) fn new(event: &JsonObject) -> Result<Self, FieldError> {
        let seed = unsigned(event, "random_seed")?;
        let site = SiteConfig::read(object(field(event, "settings")?, "settings")?)?;
        let balancer = Balancer::new(site.settings, seed);
        Ok(Instance { balancer, names: site.names, requests: RequestTable::default() })
    }

    /// Handles an event of the instance `name` and appends the resulting commands. A panic of the load
    /// balancer is reported with the command `Die`.
    ///
    /// # Errors
    /// Fails if the event cannot be decoded.
    pub(crate) fn handle(
        &mut self,
        now: Micros,
        name: &str,
        kind: &str,
        event: &JsonObject,
        lists: &WorkerLists,
        commands: &mut Vec<Value>,
    ) -> Result<(), EventError> {
        let mut decoder = Decoder { names: &self.names, requests: &mut self.requests, lists };
        let Some(event) = decoder.decode(kind, event)? else { return Ok(()) };
        let completed = Completed::from(&event);
        let mut actions = Vec::new();
        let handle = AssertUnwindSafe(|| self.balancer.handle(now, event, &mut actions));
        if catch_unwind(handle).is_err() {
            commands.push(json!({"m": "Die", "i": name, "words": format!("panic at {kind}")}));
            return Ok(());
        }
        for action in actions {
            commands.extend(commands::encode(name, action, &mut self.requests));
        }
        self.remove_completed(&completed);
        Ok(())
    }

    fn remove_completed(&mut self, completed: &Completed) {
        match *completed {
            Completed::Attempt { id, last } => {
                self.requests.attempt_completed(id);
                if last {
                    self.requests.completed(id);
                }
            }
            Completed::Request(id) => self.requests.completed(id),
            Completed::Nothing => {}
        }
    }
}
