//! Encodes actions of the load balancer as commands of the simulator's wire protocol.

use crate::requests::RequestTable;
use serde_json::{json, Value};
use slatevalve::{Action, Micros};

/// Converts a time to the wire's unit: milliseconds with fractions.
fn millis(time: Micros) -> f64 {
    time.0 as f64 / 1000.0
}

/// Encodes an action of `instance` and records in `requests` the attempts sent and requests completed.
/// Returns `None` if the action concerns a request that has been removed.
pub(crate) fn encode(instance: &str, action: Action, requests: &mut RequestTable) -> Option<Value> {
    Some(match action {
        // The simulator's lists do not expire, and it sends at once.
        Action::Send { id, worker, timeout, process: _, send_before: _ } => {
            let name = requests.name(id)?;
            let mut command = json!({"m": "Deliver", "i": instance, "id": name, "worker": worker.0});
            if let Some(timeout) = timeout {
                command["within"] = json!(millis(timeout));
            }
            requests.attempt_sent(id);
            command
        }
        Action::Refuse { id, retry_after } => {
            let mut command = json!({"m": "Shed", "i": instance, "id": requests.name(id)?});
            if let Some(delay) = retry_after {
                command["retry_in"] = json!(millis(delay));
            }
            requests.completed(id);
            command
        }
        Action::Fail { id } => {
            let command = json!({"m": "DropRequest", "i": instance, "id": requests.name(id)?});
            requests.completed(id);
            command
        }
        Action::Cancel { id, attempt } => {
            json!({"m": "Recall", "i": instance, "id": requests.name(id)?, "try": attempt})
        }
        Action::Load { worker, function, copies } => {
            json!({"m": "Mount", "i": instance, "worker": worker.0, "app": function.0, "copies": copies})
        }
        Action::Drop { worker, function } => {
            json!({"m": "PutAway", "i": instance, "worker": worker.0, "app": function.0})
        }
        Action::Probe { worker } => json!({"m": "SoundOut", "i": instance, "worker": worker.0}),
        Action::Subscribe => json!({"m": "Tail", "i": instance, "on": true}),
        Action::Wake { at, token } => {
            json!({"m": "Remind", "i": instance, "when": millis(at), "key_back": token})
        }
    })
}
