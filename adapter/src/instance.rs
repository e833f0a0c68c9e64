//! One running instance: a load balancer with the names and requests that it knows by ids.

use crate::commands;
use crate::error::EventError;
use crate::events::{Decoder, WorkerLists};
use crate::requests::RequestTable;
use serde_json::{json, Value};
use slatevalve::{Balancer, Event, Micros, RequestId};
use slatevalve_site_config::object::{field, object, unsigned, JsonObject};
use slatevalve_site_config::{FieldError, Names, SiteConfig};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// One running instance.
pub(crate) struct Instance {
    balancer: Balancer,
    names: Names,
    requests: RequestTable,
}

/// What an event ends. It is applied after the load balancer handled the event, as its actions still name the request.
enum Ended {
    /// An attempt and, where `last` is set, its request.
    Attempt {
        id: RequestId,
        last: bool,
    },
    Request(RequestId),
    Nothing,
}

impl From<&Event> for Ended {
    fn from(event: &Event) -> Self {
        match event {
            Event::Answer(answer) => Ended::Attempt { id: answer.id, last: answer.closed },
            Event::ClientDisconnected { id } => Ended::Request(*id),
            _ => Ended::Nothing,
        }
    }
}

impl Instance {
    /// An instance as the event `PowerOn` describes it.
    ///
    /// # Errors
    /// Names the first field that is missing or invalid.
    pub(crate) fn new(event: &JsonObject) -> Result<Self, FieldError> {
        let seed = unsigned(event, "random_seed")?;
        let site = SiteConfig::read(object(field(event, "settings")?, "settings")?)?;
        let balancer = Balancer::new(site.settings, seed);
        Ok(Instance { balancer, names: site.names, requests: RequestTable::default() })
    }

    /// Handles an event of the instance `name` and appends the commands that follow from it. A panic of the load balancer
    /// becomes the command `Die`.
    ///
    /// # Errors
    /// Where the event cannot be read.
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
        let ended = Ended::from(&event);
        let mut actions = Vec::new();
        let handle = AssertUnwindSafe(|| self.balancer.handle(now, event, &mut actions));
        if catch_unwind(handle).is_err() {
            commands.push(json!({"m": "Die", "i": name, "words": format!("panic at {kind}")}));
            return Ok(());
        }
        for action in actions {
            commands.extend(commands::encode(name, action, &mut self.requests));
        }
        self.end(&ended);
        Ok(())
    }

    fn end(&mut self, ended: &Ended) {
        match *ended {
            Ended::Attempt { id, last } => {
                self.requests.attempt_completed(id);
                if last {
                    self.requests.completed(id);
                }
            }
            Ended::Request(id) => self.requests.completed(id),
            Ended::Nothing => {}
        }
    }
}
