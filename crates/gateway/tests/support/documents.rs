//! Settings documents in a dedicated registry, and the `settings` commands that manage them.

use super::*;
use serde_json::Value;
use std::process::Output;

pub(crate) const COMMON: &str = r#"
(class "quote" (effect safe) (aim-ms 1000) (deadline-ms 5000))
(route "quote/+" (class "quote") (function "{2}"))
(route "charge/+" (class "charge") (function "{2}"))
"#;
pub(crate) const UNSAFE: &str = r#"(class "charge" (effect unsafe) (aim-ms 1000) (deadline-ms 5000))"#;

pub(crate) struct Documents {
    pub registry: Process,
    pub directory: tempfile::TempDir,
    /// Value of `in-doubt` in each document: what routers do that cannot renew their lease.
    pub expiry_policy: &'static str,
    /// Names and addresses of the workers in each document.
    pub workers: Vec<(String, SocketAddr)>,
}

impl Documents {
    pub(crate) fn start(expiry_policy: &'static str) -> Self {
        let (registry, directory) = (Process::start(&["kv"], None), tempfile::tempdir().unwrap());
        Documents { registry, directory, expiry_policy, workers: Vec::new() }
    }

    pub(crate) fn registry_address(&self) -> String {
        self.registry.address.to_string()
    }

    /// The text of a document with these forms, the common ones and the workers.
    pub(crate) fn text(&self, forms: &str) -> String {
        let workers = self.workers.iter().map(|(n, a)| format!("(worker \"{n}\" (address \"{a}\"))"));
        let agreement = format!("(agreement (right-ms 600) (in-doubt {}))", self.expiry_policy);
        format!("{forms}{COMMON}{}{agreement}", workers.collect::<String>())
    }

    /// Writes such a document to a file in the fleet's directory.
    pub(crate) fn file(&self, name: &str, forms: &str) -> PathBuf {
        let path = self.directory.path().join(name);
        std::fs::write(&path, self.text(forms)).unwrap();
        path
    }

    fn arguments(&self, more: &[&str]) -> Vec<String> {
        let address = self.registry_address();
        let first = ["settings", "--json", "--registry", &address];
        first.iter().chain(more).map(ToString::to_string).collect()
    }

    pub(crate) fn output(&self, more: &[&str]) -> Output {
        let all = self.arguments(more);
        command(&all.iter().map(String::as_str).collect::<Vec<_>>())
    }

    /// Runs a command and returns its exit code and its JSON output; `Null` if it printed no JSON.
    pub(crate) fn settings(&self, more: &[&str]) -> (Option<i32>, Value) {
        let output = self.output(more);
        (output.status.code(), serde_json::from_slice(&output.stdout).unwrap_or(Value::Null))
    }

    /// Starts a command without waiting for it to exit.
    pub(crate) fn spawn(&self, more: &[&str]) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_slatevalve"));
        command.args(self.arguments(more)).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        command.spawn().unwrap()
    }

    pub(crate) fn status(&self) -> Value {
        self.settings(&["status"]).1
    }

    pub(crate) fn publish(&self, forms: &str, wait_s: &str) -> (Option<i32>, Value) {
        let file = self.file("document.scm", forms);
        self.settings(&["publish", file.to_str().unwrap(), "--why", "test", "--wait-s", wait_s])
    }
}
