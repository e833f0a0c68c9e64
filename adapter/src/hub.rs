//! Dispatches batches of events to the instances of this process.

use crate::error::{BatchError, EventError};
use crate::events::WorkerLists;
use crate::instance::Instance;
use serde_json::{json, Value};
use slatevalve::Micros;
use slatevalve_site_config::object::{array, field, object, text, time, unsigned, JsonObject};
use std::collections::HashMap;

/// All instances of this process and the numbered worker lists that they share.
#[derive(Default)]
pub(crate) struct Hub {
    instances: HashMap<String, Instance>,
    lists: WorkerLists,
}

impl Hub {
    /// Handles one batch and returns the reply, a line of JSON.
    ///
    /// # Errors
    /// Identifies the first field or event that cannot be decoded.
    pub(crate) fn handle_batch(&mut self, line: &str) -> Result<String, BatchError> {
        let value: Value = serde_json::from_str(line).map_err(BatchError::Json)?;
        let batch = object(&value, "batch").map_err(BatchError::Number)?;
        let number = unsigned(batch, "batch").map_err(BatchError::Number)?;
        let field_error = |error| BatchError::Field { batch: number, error };
        let now = time(batch, "at_time").map_err(field_error)?;
        field(batch, "arrivals").map_err(field_error)?;
        let mut commands = Vec::new();
        for (index, value) in array(batch, "arrivals").map_err(field_error)?.iter().enumerate() {
            let event_error = |kind: Option<&str>, error| BatchError::Event {
                batch: number,
                index,
                kind: kind.map(Into::into),
                error,
            };
            let event = object(value, "arrivals").map_err(|e| event_error(None, e.into()))?;
            let kind = text(event, "m").map_err(|e| event_error(None, e.into()))?;
            self.handle_event(now, kind, event, &mut commands).map_err(|e| event_error(Some(kind), e))?;
        }
        Ok(json!({"batch": number, "cmds": commands}).to_string())
    }

    fn handle_event(
        &mut self,
        now: Micros,
        kind: &str,
        event: &JsonObject,
        commands: &mut Vec<Value>,
    ) -> Result<(), EventError> {
        if kind == "Ledger" {
            field(event, "elements")?;
            self.lists.insert(unsigned(event, "page")?, array(event, "elements")?.to_vec());
            return Ok(());
        }
        let name = text(event, "i")?;
        match kind {
            "PowerOn" => {
                self.instances.insert(name.into(), Instance::new(event)?);
            }
            "Exit" => {
                self.instances.remove(name);
                // A stopped instance must not act any more: its commands in this batch are discarded.
                commands.retain(|command| command["i"] != name);
            }
            _ => {
                let instance = self.instances.get_mut(name);
                let instance = instance.ok_or_else(|| EventError::UnknownInstance(name.into()))?;
                instance.handle(now, name, kind, event, &self.lists, commands)?;
            }
        }
        Ok(())
    }
}
