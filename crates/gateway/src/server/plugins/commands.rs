//! Commands of the admin socket, and the results of the background worker that runs them.

use super::{run_name, PluginHost};
use crate::plugins::background::{BackgroundEvent, Requester};
use crate::plugins::command::{Command, CommandError};
use crate::server::admin::{AdminReply, ReplyKind};
use serde_json::{json, Value};
use slatevalve::Micros;
use slatevalve_engine::Engine;
use slatevalve_reactor::Id;
use tracing::{error, info, warn};

/// Counts of pulls since the gateway started.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PullStatistics {
    done: u64,
    failed: u64,
    bytes: u64,
    /// Requests to the registry.
    requests: u64,
}

impl PullStatistics {
    /// Counts and logs a pull that ended.
    fn record(&mut self, name: &str, version: &str, outcome: &Result<Value, CommandError>) {
        match outcome {
            Ok(pulled) => {
                let count = |field: &str| pulled[field].as_u64().unwrap_or(0);
                self.done += 1;
                self.bytes += count("bytes");
                self.requests += count("requests");
                info!(name, version, bytes = count("bytes"), "pulled");
            }
            Err(error) => {
                self.failed += 1;
                warn!(name, version, %error, "pull failed");
            }
        }
    }

    fn to_json(self) -> Value {
        json!({"done": self.done, "failed": self.failed, "bytes": self.bytes, "requests": self.requests})
    }
}

impl PluginHost {
    /// Processes the events of the background worker since the last call; returns the replies for the admin
    /// socket, in order.
    pub(in crate::server) fn take_results(&mut self, now: Micros, engine: &Engine) -> Vec<AdminReply> {
        let mut replies = Vec::new();
        for result in self.background.drain_events() {
            match result {
                BackgroundEvent::Progress(Requester::Admin(connection), done, total) => {
                    let body = json!({"progress": [done, total]});
                    replies.push(AdminReply { connection, body, kind: ReplyKind::Progress });
                }
                BackgroundEvent::Progress(..) => {}
                BackgroundEvent::Ended { requester, command, outcome, catalogue } => {
                    match catalogue {
                        Some(Ok(catalogue)) => self.replace_catalogue(now, engine, *catalogue),
                        Some(Err(error)) => {
                            error!(%error, "plug-in catalogue unreadable; the previous one stays in use")
                        }
                        None => {}
                    }
                    replies.extend(self.complete(now, requester, &command, outcome));
                }
            }
        }
        replies
    }

    /// Passes the result of a task to its requester; returns a reply if that is a connection to the admin
    /// socket.
    fn complete(
        &mut self,
        now: Micros,
        requester: Requester,
        command: &Command,
        outcome: Result<Value, CommandError>,
    ) -> Option<AdminReply> {
        if let Command::Pull { name, version } = command {
            self.pulls.record(name, version, &outcome);
        }
        match requester {
            Requester::Admin(connection) => {
                let body = match outcome {
                    Ok(value) => json!({"done": value}),
                    Err(error) => json!({"error": error.to_string()}),
                };
                return Some(AdminReply { connection, body, kind: ReplyKind::Final });
            }
            Requester::Calls => self.pull_queue.ended(now.0, outcome.is_ok()),
            Requester::Rollout => match outcome {
                Ok(moved) => {
                    info!(name = %moved["name"], version = %moved["version"], "the alias points back");
                }
                Err(error) => warn!(%error, "alias not moved back"),
            },
            Requester::Signal => info!("plug-ins read again"),
            Requester::Scrub => {
                if let Command::Quarantine { reference, reason } = command {
                    error!(version = reference, reason, "in quarantine: content does not match its digest");
                }
                self.repair(now);
            }
        }
        None
    }

    /// Runs a command of the admin socket. Returns the reply if no disk access is needed; otherwise
    /// [`PluginHost::take_results`] returns it once the background worker has executed the command.
    pub(in crate::server) fn command(
        &mut self,
        engine: &Engine,
        connection: Id,
        command: Command,
    ) -> Option<AdminReply> {
        let body = match command {
            Command::Status => json!({"done": self.status(engine)}),
            Command::Pull { .. } if self.settings.registry.is_none() => {
                json!({"error": CommandError::NoRegistry.to_string()})
            }
            command => {
                if matches!(command, Command::Pull { .. }) {
                    self.pull_queue.clear_failures();
                }
                if self.submit(Requester::Admin(connection), command) {
                    return None;
                }
                json!({"error": "too much waits to be done; try again"})
            }
        };
        Some(AdminReply { connection, body, kind: ReplyKind::Final })
    }

    fn status(&self, engine: &Engine) -> Value {
        let moves: Vec<Value> = self
            .rollouts
            .iter()
            .map(|(name, active)| {
                let (loaded, needed) = active.rollout.copies();
                let serving = engine.loaded_replicas(&run_name(name, &active.new.digest));
                json!({"name": name, "from": active.old.version, "to": active.new.version,
                    "copies": loaded, "needed": needed, "standing": serving,
                    "ordered": active.load_requests.len()})
            })
            .collect();
        let barred = self.catalogue.barred();
        let barred: Vec<Value> =
            barred.map(|(digest, reason)| json!({"digest": digest, "reason": reason.to_string()})).collect();
        json!({"moves": moves, "barred": barred, "pulls": self.pulls.to_json(), "open": self.calls.len()})
    }
}
