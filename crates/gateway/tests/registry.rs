//! Plug-ins from a registry over real sockets: pulls by a running gateway, faults of the registry, the admin
//! socket, signatures, and content that is corrupted while the gateway runs.

mod support;

use serde_json::{json, Value};
use slatevalve_plugins::Digest;
use slatevalve_worker_protocol::Reply;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use support::*;

const SITE: &str = r#"
(class "quote" (effect safe) (aim-ms 1000) (deadline-ms 4000))
(class "charge" (effect unsafe) (aim-ms 1000) (deadline-ms 4000))
(route "quote/+" (class "quote") (function "{2}"))
(route "charge/+" (class "charge") (function "{2}"))
"#;

/// A registry, the plug-in folder of a publisher, and the plug-in folder of a gateway.
struct Environment {
    directory: tempfile::TempDir,
    registry: Option<Process>,
    address: String,
}

impl Environment {
    fn new(faults: Value) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let mut env = Environment { directory, registry: None, address: String::new() };
        env.start_registry("127.0.0.1:0", faults);
        env
    }

    fn start_registry(&mut self, listen: &str, faults: Value) {
        let plan = json!({"folder": self.path("registry"), "listen": listen, "faults": faults,
            "trace": self.path("requests.jsonl")});
        let registry = Process::start(&["registry", "--plan", &plan.to_string()], None);
        self.address = format!("http://{}/coop", registry.address);
        self.registry = Some(registry);
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// The requests that the registry received, each as "METHOD TARGET".
    fn requests(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.path("requests.jsonl")).unwrap_or_default();
        let line = |l: &str| serde_json::from_str::<Value>(l).unwrap()["asked"].as_str().unwrap().to_string();
        text.lines().map(line).collect()
    }

    fn plugin(&self, arguments: &[&str]) -> Result<String, String> {
        let output = command(&[&["plugin", "--json"], arguments].concat());
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
        match output.status.success() {
            true => Ok(text(&output.stdout)),
            false => Err(text(&output.stderr) + &text(&output.stdout)),
        }
    }

    /// Runs a command on the publisher's folder.
    fn publisher(&self, arguments: &[&str]) -> Result<String, String> {
        let folder = self.path("publisher");
        self.plugin(
            &[&["--folder", folder.to_str().unwrap(), "--registry", &self.address], arguments].concat(),
        )
    }

    /// Runs a command through the gateway's admin socket.
    fn admin(&self, arguments: &[&str]) -> Result<String, String> {
        let socket = self.path("admin.sock");
        self.plugin(&[&["--socket", socket.to_str().unwrap()], arguments].concat())
    }

    /// Adds a version to the publisher's folder; returns its digest and that of its layer.
    fn push(&self, version: &str, class: &str, more: Value) -> (String, Digest) {
        let content = format!("rules {version} ").repeat(2_000);
        let digest = Digest::of(content.as_bytes());
        let (manifest, layer) = (self.path("manifest.json"), self.path("layer"));
        std::fs::write(&layer, &content).unwrap();
        let mut value = json!({"name": "fare", "version": version, "class": class, "lanes": 64,
            "layers": [{"digest": digest, "size": content.len()}]});
        more.as_object().into_iter().flatten().for_each(|(k, v)| value[k] = v.clone());
        std::fs::write(&manifest, value.to_string()).unwrap();
        let output = self.publisher(&["push", manifest.to_str().unwrap(), layer.to_str().unwrap()]).unwrap();
        let output: Value = serde_json::from_str(&output).unwrap();
        (output["digest"].as_str().unwrap().to_string(), digest)
    }

    fn publish(&self, version: &str) -> (String, Digest) {
        let digests = self.push(version, "quote", json!({}));
        self.publisher(&["publish", "fare", version]).unwrap();
        digests
    }

    fn site(&self, of_registry: &str, more: &str) -> String {
        let (folder, admin) = (self.path("folder"), self.path("admin.sock"));
        format!(
            "{SITE}(plugins (folder {folder:?}) (admin {admin:?}) (rollout (step-ms 20)) {more}\n (registry \"{}\" \
             (stall-ms 300) (first-wait-ms 10) (tries 3) (range-kb 4) {of_registry}))",
            self.address
        )
    }

    fn gateway(&self, worker: &Worker, of_registry: &str, more: &str) -> Gateway {
        Gateway::start(&self.site(of_registry, more), &[("w", worker.address, "")])
    }

    fn blob(&self, digest: &Digest) -> PathBuf {
        self.path("folder").join("blobs/sha256").join(digest.hex())
    }
}

fn serving_worker() -> Worker {
    Worker::start(|call, _| {
        let digest = call.function.split_once('@').map(|(_, digest)| digest.to_string());
        Action::Answer(Reply::Served { payload: call.function.as_bytes().to_vec(), ran: digest })
    })
}

fn corrupt_file(path: &Path) {
    let mut content = std::fs::read(path).unwrap();
    content[0] ^= 1;
    std::fs::write(path, content).unwrap();
}

#[test]
fn a_published_version_is_pulled_and_serves_calls_also_while_the_registry_is_down() {
    let mut env = Environment::new(json!([]));
    let (one, layer) = env.publish("1");
    let worker = serving_worker();
    let gateway = env.gateway(&worker, "", "");
    let pulled = env.admin(&["pull", "fare", "1"]).unwrap();
    assert!(pulled.contains(&one), "{pulled}");
    env.admin(&["alias", "fare", "current", "1", "--who", "anna"]).unwrap();
    let mut client = Client::connect(gateway.address(), "a", false);
    let answer = client.call("quote/fare", 1, None, "q1");
    assert_eq!((answer.outcome.as_str(), answer.ran.as_ref()), ("served", Some(&one)));
    // The layer of 16 KB is pulled in ranges of 4 KB; stored content is not requested again.
    let layer_requests = |requests: &[String]| {
        requests.iter().filter(|a| a.starts_with("GET") && a.contains(&layer.hex())).count()
    };
    let before = layer_requests(&env.requests());
    assert!(before >= 4, "{:?}", env.requests());
    env.admin(&["pull", "fare", "1"]).unwrap();
    assert_eq!(layer_requests(&env.requests()), before);
    // A gateway restarted while the registry is down serves the versions in its folder.
    drop(gateway);
    env.registry = None;
    let gateway = env.gateway(&worker, "", "");
    let mut client = Client::connect(gateway.address(), "a", false);
    assert_eq!(client.call("quote/fare", 1, None, "q2").outcome, "served");
    let down = env.admin(&["pull", "fare", "2"]).unwrap_err();
    assert!(down.contains("cannot be reached"), "{down}");
    assert_eq!(client.call("quote/fare", 2, None, "q3").outcome, "served");
}

#[test]
fn faults_of_the_registry_fail_the_pull_and_no_call() {
    let on = |text: &str, times: u64, kind: Value| json!({"on": text, "times": times, "kind": kind});
    // The content of version 2, whose digest is the same each time.
    let two = Digest::of("rules 2 ".repeat(2_000).as_bytes()).hex();
    let other_address = "http://127.0.0.1:1/x";
    let cases = [
        ("flip", on(&two, 0, json!("flip")), Some("does not match its digest")),
        ("endless", on(&two, 0, json!("endless")), Some("longer than promised")),
        (
            "stall",
            on("GET /v2/coop/fare/blobs", 0, json!("stall")),
            Some("no bytes arrived within the stall timeout"),
        ),
        (
            "cut",
            on("GET /v2/coop/fare/blobs", 0, json!({"cut": 100})),
            Some("the connection was closed before the end"),
        ),
        (
            "redirect",
            on("GET /v2/coop/fare/blobs", 0, json!({"redirect": other_address})),
            Some("does not allow"),
        ),
        ("429", on("manifests", 0, json!({"status": 429})), Some("429")),
        ("503", on("manifests", 0, json!({"status": 503})), Some("503")),
        ("404", on("manifests", 0, json!({"status": 404})), Some("404")),
        ("once busy", on("manifests", 2, json!({"status": 503})), None),
        ("once cut", on("GET /v2/coop/fare/blobs", 1, json!({"cut": 900})), None),
        ("once flipped", on("GET /v2/coop/fare/blobs", 1, json!("flip")), None),
        ("once stalled", on("referrers", 1, json!("stall")), None),
    ];
    let worker = serving_worker();
    for (what, fault, expected_error) in cases {
        let mut env = Environment::new(json!([]));
        env.publish("1");
        env.publish("2");
        let gateway = env.gateway(&worker, "", "");
        env.admin(&["pull", "fare", "1"]).unwrap();
        env.admin(&["alias", "fare", "current", "1"]).unwrap();
        // Restarts the registry at the same address with the fault.
        let address = env.registry.take().unwrap().address.to_string();
        env.start_registry(&address, json!([fault]));
        let mut client = Client::connect(gateway.address(), "a", false);
        let pulled = env.admin(&["pull", "fare", "2"]);
        match expected_error {
            Some(text) => {
                let error = pulled.unwrap_err();
                assert!(error.contains(text), "{what}: {error}");
                assert!(
                    env.admin(&["alias", "fare", "current", "2"]).is_err(),
                    "{what}: the alias moved to an incomplete version"
                );
                let answer = client.call("quote/fare@2", 1, None, "q2");
                assert_eq!(answer.outcome, "refused", "{what}: {answer:?}");
            }
            None => {
                pulled.unwrap_or_else(|e| panic!("{what}: {e}"));
                env.admin(&["alias", "fare", "current", "2"]).unwrap();
            }
        }
        if ["flip", "endless"].contains(&what) {
            let shown = env.admin(&["show", "fare"]).unwrap();
            assert!(shown.contains("\"quarantine\":{"), "{shown}");
        }
        assert_eq!(client.call("quote/fare", 2, None, "q1").outcome, "served", "{what}");
    }
}

#[test]
fn a_gateway_killed_during_a_pull_resumes_it_from_the_stored_part() {
    let mut env = Environment::new(json!([]));
    let (_, layer) = env.publish("1");
    let address = env.registry.take().unwrap().address.to_string();
    env.start_registry(&address, json!([{"on": layer.hex(), "times": 0, "kind": {"late": 100}}]));
    let worker = serving_worker();
    let gateway = env.gateway(&worker, "", "");
    let mut stream = UnixStream::connect(env.path("admin.sock")).unwrap();
    stream.write_all(b"{\"do\":\"pull\",\"name\":\"fare\",\"version\":\"1\"}\n").unwrap();
    let partial = env.path("folder").join("partial").join(layer.hex());
    until("a part of the layer to be stored", || partial.metadata().is_ok_and(|m| m.len() > 0));
    // Dropping the gateway kills it by SIGKILL, without an orderly stop.
    drop(gateway);
    assert!(!env.blob(&layer).exists());
    let _gateway = env.gateway(&worker, "", "");
    let pulled: Value = serde_json::from_str(&env.admin(&["pull", "fare", "1"]).unwrap()).unwrap();
    assert!(pulled["had"].as_u64().unwrap() >= 4_096, "{pulled}");
    assert!(env.admin(&["verify"]).is_ok());
}

#[test]
fn content_corrupted_while_the_gateway_runs_is_detected_refused_and_pulled_again() {
    let env = Environment::new(json!([]));
    let (_, layer) = env.publish("1");
    let worker = serving_worker();
    let gateway = env.gateway(&worker, "", "(scrub-mb-per-s 1000)");
    env.admin(&["pull", "fare", "1"]).unwrap();
    env.admin(&["alias", "fare", "current", "1"]).unwrap();
    corrupt_file(&env.blob(&layer));
    until("the corruption to be detected", || gateway.log().contains("in quarantine"));
    until("a pull of correct content to end the quarantine", || {
        gateway.log().contains("pulled name=\"fare\"") && env.blob(&layer).exists()
    });
    let mut client = Client::connect(gateway.address(), "a", false);
    let mut number = 0;
    while client.call("quote/fare", number + 1, None, &format!("q{number}")).outcome != "served" {
        number += 1;
        assert!(number < 200, "{}", gateway.log());
    }
    // A version that an operator put into quarantine is not pulled again automatically.
    env.admin(&["quarantine", "fare@1", "--reason", "wrong fares"]).unwrap();
    let answer = client.call("quote/fare", 300, None, "q300");
    assert!(answer.outcome == "refused" && answer.reason.unwrap().contains("quarantine"));
    corrupt_file(&env.blob(&layer));
    let requests = env.requests().len();
    assert!(
        client.call("quote/fare", 301, None, "q301").outcome == "refused" && env.requests().len() == requests
    );
    env.admin(&["pull", "fare", "1"]).unwrap();
    assert_eq!(client.call("quote/fare", 302, None, "q302").outcome, "served");
}

#[test]
fn a_missing_version_that_calls_name_is_pulled_once_and_serves_later_calls() {
    let env = Environment::new(json!([]));
    env.publish("1");
    let (two, _) = env.publish("2");
    let worker = serving_worker();
    let gateway = env.gateway(&worker, "(on-call yes)", "");
    env.admin(&["pull", "fare", "1"]).unwrap();
    let mut client = Client::connect(gateway.address(), "a", false);
    let mut number = 0;
    let answer = loop {
        number += 1;
        let answer = client.call("quote/fare@2", number, None, &format!("q{number}"));
        if answer.outcome == "served" {
            break answer;
        }
        assert!(number < 2_000, "{}", gateway.log());
    };
    assert_eq!(answer.ran, Some(two));
    let manifests = |version: &str| {
        env.requests().iter().filter(|a| **a == format!("GET /v2/coop/fare/manifests/{version}")).count()
    };
    assert_eq!(manifests("2"), 1);
    // Calls of versions that do not exist, and of functions that were never pulled, do not each cause a
    // request to the registry.
    for n in 0..50 {
        client.call("quote/fare@9", 3_000 + n, None, &format!("r{n}"));
        client.call("quote/stranger@9", 4_000 + n, None, &format!("s{n}"));
    }
    assert!(manifests("9") < 10 && !env.requests().iter().any(|a| a.contains("stranger")));
}

#[test]
fn only_signed_versions_run_where_keys_are_listed_and_removing_a_key_applies_on_reload() {
    let env = Environment::new(json!([]));
    let key = env.path("anna.key");
    let made = env.plugin(&["keygen", key.to_str().unwrap()]).unwrap();
    assert_eq!(std::fs::metadata(&key).unwrap().permissions().mode() & 0o777, 0o600);
    assert!(env.plugin(&["keygen", key.to_str().unwrap()]).is_err(), "an existing key file was overwritten");
    let made: Value = serde_json::from_str(&made).unwrap();
    let keys = format!("(signatures (key \"anna\" {}))", made["public"]);
    env.publish("1");
    env.push("2", "quote", json!({}));
    env.publisher(&["sign", "fare", "2", "--key", key.to_str().unwrap(), "--id", "anna"]).unwrap();
    env.publisher(&["publish", "fare", "2"]).unwrap();
    let worker = serving_worker();
    let gateway = env.gateway(&worker, "", &keys);
    for version in ["1", "2"] {
        env.admin(&["pull", "fare", version]).unwrap();
    }
    let unsigned = env.admin(&["alias", "fare", "current", "1"]).map(drop);
    env.admin(&["alias", "fare", "current", "2"]).unwrap();
    let mut client = Client::connect(gateway.address(), "a", false);
    let answer = client.call("quote/fare@1", 1, None, "q1");
    assert!(answer.outcome == "refused" && answer.reason.unwrap().contains("unsigned"), "{unsigned:?}");
    assert_eq!(client.call("quote/fare", 2, None, "q2").outcome, "served");
    assert!(env.admin(&["status"]).unwrap().contains("no key of the list has signed version 1"));
    // A reload of the settings reloads the key list.
    let other = env.path("other.key");
    let other: Value =
        serde_json::from_str(&env.plugin(&["keygen", other.to_str().unwrap()]).unwrap()).unwrap();
    let text = std::fs::read_to_string(gateway.file()).unwrap();
    let changed = text.replace(&made["public"].to_string(), &other["public"].to_string());
    std::fs::write(gateway.file(), changed).unwrap();
    gateway.process.signal("HUP");
    until("the key list to be reloaded", || gateway.log().contains("worker list read again"));
    assert_eq!(client.call("quote/fare", 3, None, "q3").outcome, "refused");
}

#[test]
fn a_class_that_a_tenants_plugin_may_not_use_is_refused_at_push_at_pull_and_for_calls() {
    let env = Environment::new(json!([]));
    let tenants = "(tenant \"north\" (plugin-classes \"quote\"))";
    let site = SITE.replace("(function", "(tenant \"north\") (function");
    let settings = format!("(gateway)(mqtt (listen \"127.0.0.1:0\")){site}{tenants}");
    let file = env.path("check.scm");
    std::fs::write(&file, settings).unwrap();
    env.push("1", "charge", json!({"tenant": "north"}));
    env.publisher(&["publish", "fare", "1"]).unwrap();
    let text = "tenant north may not use class charge";
    let manifest = env.path("manifest.json");
    let refused = env.publisher(&["push", manifest.to_str().unwrap(), "--settings", file.to_str().unwrap()]);
    assert!(refused.unwrap_err().contains(text));
    let worker = serving_worker();
    let site = env.site("", "").replace("(function", "(tenant \"north\") (function") + tenants;
    let gateway = Gateway::start(&site, &[("w", worker.address, "")]);
    assert!(env.admin(&["pull", "fare", "1"]).unwrap_err().contains(text));
    // A push into the gateway's folder without --settings is not checked; the version still does not run.
    let (folder, layer) = (env.path("folder"), env.path("layer"));
    let direct = ["--folder", folder.to_str().unwrap(), "--socket", env.path("admin.sock").to_str().unwrap()]
        .map(str::to_string);
    let direct: Vec<&str> = direct.iter().map(String::as_str).collect();
    env.plugin(&[&direct[..], &["push", manifest.to_str().unwrap(), layer.to_str().unwrap()]].concat())
        .unwrap();
    let mut client = Client::connect(gateway.address(), "a", false);
    let answer = client.call("charge/fare@1", 1, Some("k"), "c");
    assert_eq!((answer.outcome.as_str(), worker.calls()), ("refused", 0), "{answer:?}");
}

#[test]
fn a_deleted_version_keeps_its_content_while_a_call_is_open() {
    let env = Environment::new(json!([]));
    let (_, layer) = env.publish("1");
    env.publish("2");
    let worker = Worker::start(|call, _| {
        let digest = call.function.split_once('@').map(|(_, digest)| digest.to_string());
        Action::Later(1_500, Reply::Served { payload: Vec::new(), ran: digest })
    });
    let gateway = env.gateway(&worker, "", "");
    for version in ["1", "2"] {
        env.admin(&["pull", "fare", version]).unwrap();
    }
    env.admin(&["alias", "fare", "current", "2"]).unwrap();
    let mut client = Client::connect(gateway.address(), "a", false);
    client.publish("quote/fare@1", 1, None, "q1", false);
    until("the call to reach the worker", || worker.calls() == 1);
    env.admin(&["delete", "fare", "1"]).unwrap();
    env.admin(&["gc"]).unwrap();
    assert!(env.blob(&layer).exists(), "the content was removed while a call was open");
    assert_eq!(client.answer_or(|| gateway.log()).outcome, "served");
    assert_eq!(client.call("quote/fare@1", 2, None, "q2").outcome, "refused");
    env.admin(&["gc"]).unwrap();
    assert!(!env.blob(&layer).exists());
}

#[test]
fn the_admin_socket_is_private_rejects_invalid_commands_and_detects_conflicting_alias_changes() {
    let env = Environment::new(json!([]));
    for version in ["1", "2", "3"] {
        env.publish(version);
    }
    let worker = serving_worker();
    let gateway = env.gateway(&worker, "", "");
    let socket = env.path("admin.sock");
    assert_eq!(std::fs::metadata(&socket).unwrap().permissions().mode() & 0o777, 0o600);
    for version in ["1", "2", "3"] {
        env.admin(&["pull", "fare", version]).unwrap();
    }
    env.admin(&["alias", "fare", "current", "1", "--expect", "0"]).unwrap();
    let both = ["2", "3"].map(|v| env.admin(&["alias", "fare", "current", v, "--expect", "1"]));
    assert!(both[0].is_ok() && both[1].as_ref().unwrap_err().contains("somebody else moved this alias"));
    let send = |bytes: &[u8]| {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.write_all(bytes).unwrap();
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        line
    };
    assert!(send(b"{\"do\":\"dance\"}\n").contains("not a command"));
    assert!(send(b"\xff\x00\n").contains("not a command"));
    assert!(send(&[b'x'; 70_000]).contains("too long"));
    assert!(send(b"{\"do\":\"show\",\"name\":\"nobody\"}\n").contains("there is no plug-in nobody"));
    // A second gateway does not replace the socket of a running one; the socket of a killed gateway is
    // replaced.
    let site = format!("(gateway (name \"h\"))\n(mqtt (listen \"127.0.0.1:0\"))\n{}", env.site("", ""));
    let file = env.path("second.scm");
    std::fs::write(&file, &site).unwrap();
    let second = command(&["run", file.to_str().unwrap()]);
    assert!(String::from_utf8_lossy(&second.stderr).contains("admin socket"));
    drop(gateway);
    assert!(env.admin(&["list"]).is_err());
    let _restarted = env.gateway(&worker, "", "");
    assert!(env.admin(&["list"]).unwrap().contains("fare"));
}

#[test]
fn a_registry_with_access_control_serves_only_valid_credentials() {
    let env = Environment::new(json!([]));
    let (folder, publisher) = (env.path("private"), env.path("publisher"));
    let (good, bad) = (env.path("good"), env.path("bad"));
    std::fs::write(&good, "sesame\n").unwrap();
    std::fs::write(&bad, "guess\n").unwrap();
    env.push("1", "quote", json!({}));
    for tokens in [false, true] {
        let mut arguments = vec!["registry", "--folder", folder.to_str().unwrap(), "--user", "coop"];
        arguments.extend(["--password-file", good.to_str().unwrap()]);
        arguments.extend(tokens.then_some("--tokens"));
        let registry = Process::start(&arguments, None);
        let address = format!("http://{}", registry.address);
        let run = |file: Option<&Path>, arguments: &[&str]| {
            let mut all = vec!["--folder", publisher.to_str().unwrap(), "--registry", &address];
            all.extend(file.iter().flat_map(|f| ["--user", "coop", "--password-file", f.to_str().unwrap()]));
            env.plugin(&[&all, arguments].concat())
        };
        run(Some(&good), &["publish", "fare", "1"]).unwrap();
        run(Some(&good), &["pull", "fare", "1"]).unwrap();
        for wrong in [Some(bad.as_path()), None] {
            let error = run(wrong, &["pull", "fare", "1"]).unwrap_err();
            assert!(error.contains("requires credentials or rejected the given ones"), "{error}");
        }
    }
}
