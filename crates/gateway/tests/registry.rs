//! Plug-ins from a registry over real sockets: pulls by a running gateway, the registry's misbehaviours, the admin socket,
//! signatures, and content that rots while the gateway runs.

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

/// A registry, the folder that a publisher works in, and the folder of a gateway.
struct Yard {
    directory: tempfile::TempDir,
    registry: Option<Process>,
    address: String,
}

impl Yard {
    fn new(faults: Value) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let mut yard = Yard { directory, registry: None, address: String::new() };
        yard.start_registry("127.0.0.1:0", faults);
        yard
    }

    fn start_registry(&mut self, listen: &str, faults: Value) {
        let plan = json!({"folder": self.path("registry"), "listen": listen, "faults": faults,
            "trace": self.path("asked.jsonl")});
        let registry = Process::start(&["registry", "--plan", &plan.to_string()], None);
        self.address = format!("http://{}/coop", registry.address);
        self.registry = Some(registry);
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// Requests that the registry had, each "METHOD TARGET".
    fn asked(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.path("asked.jsonl")).unwrap_or_default();
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

    /// A command on the publisher's folder.
    fn publisher(&self, arguments: &[&str]) -> Result<String, String> {
        let folder = self.path("publisher");
        self.plugin(
            &[&["--folder", folder.to_str().unwrap(), "--registry", &self.address], arguments].concat(),
        )
    }

    /// A command by the gateway's admin socket.
    fn admin(&self, arguments: &[&str]) -> Result<String, String> {
        let socket = self.path("admin.sock");
        self.plugin(&[&["--socket", socket.to_str().unwrap()], arguments].concat())
    }

    /// Takes a version into the publisher's folder; gives its digest and its layer's.
    fn push(&self, version: &str, class: &str, more: Value) -> (String, Digest) {
        let content = format!("rules {version} ").repeat(2_000);
        let digest = Digest::of(content.as_bytes());
        let (manifest, layer) = (self.path("manifest.json"), self.path("layer"));
        std::fs::write(&layer, &content).unwrap();
        let mut value = json!({"name": "fare", "version": version, "class": class, "lanes": 64,
            "layers": [{"digest": digest, "size": content.len()}]});
        more.as_object().into_iter().flatten().for_each(|(k, v)| value[k] = v.clone());
        std::fs::write(&manifest, value.to_string()).unwrap();
        let said = self.publisher(&["push", manifest.to_str().unwrap(), layer.to_str().unwrap()]).unwrap();
        let said: Value = serde_json::from_str(&said).unwrap();
        (said["digest"].as_str().unwrap().to_string(), digest)
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

fn honest() -> Worker {
    Worker::start(|call, _| {
        let digest = call.function.split_once('@').map(|(_, digest)| digest.to_string());
        Action::Answer(Reply::Served { payload: call.function.as_bytes().to_vec(), ran: digest })
    })
}

fn flip(path: &Path) {
    let mut content = std::fs::read(path).unwrap();
    content[0] ^= 1;
    std::fs::write(path, content).unwrap();
}

#[test]
fn a_version_goes_from_a_publisher_through_a_registry_to_calls_that_name_it() {
    let mut yard = Yard::new(json!([]));
    let (one, layer) = yard.publish("1");
    let worker = honest();
    let gateway = yard.gateway(&worker, "", "");
    let pulled = yard.admin(&["pull", "fare", "1"]).unwrap();
    assert!(pulled.contains(&one), "{pulled}");
    yard.admin(&["alias", "fare", "current", "1", "--who", "anna"]).unwrap();
    let mut client = Client::connect(gateway.address(), "a", false);
    let heard = client.call("quote/fare", 1, None, "q1");
    assert_eq!((heard.outcome.as_str(), heard.ran.as_ref()), ("served", Some(&one)));
    // 26 KB in parts of 4 KB; what is here is not asked for again.
    let of_layer =
        |asked: &[String]| asked.iter().filter(|a| a.starts_with("GET") && a.contains(&layer.hex())).count();
    let before = of_layer(&yard.asked());
    assert!(before >= 4, "{:?}", yard.asked());
    yard.admin(&["pull", "fare", "1"]).unwrap();
    assert_eq!(of_layer(&yard.asked()), before);
    // Started anew with the registry down, it serves what it holds.
    drop(gateway);
    yard.registry = None;
    let gateway = yard.gateway(&worker, "", "");
    let mut client = Client::connect(gateway.address(), "a", false);
    assert_eq!(client.call("quote/fare", 1, None, "q2").outcome, "served");
    let down = yard.admin(&["pull", "fare", "2"]).unwrap_err();
    assert!(down.contains("cannot be reached"), "{down}");
    assert_eq!(client.call("quote/fare", 2, None, "q3").outcome, "served");
}

#[test]
fn what_a_registry_does_wrong_costs_its_pull_and_no_call() {
    let on = |text: &str, times: u64, kind: Value| json!({"on": text, "times": times, "kind": kind});
    // The content of version 2, whose digest is the same each time.
    let two = Digest::of("rules 2 ".repeat(2_000).as_bytes()).hex();
    let elsewhere = "http://127.0.0.1:1/x";
    let cases = [
        ("flip", on(&two, 0, json!("flip")), Some("does not match its digest")),
        ("endless", on(&two, 0, json!("endless")), Some("longer than promised")),
        ("stall", on("GET /v2/coop/fare/blobs", 0, json!("stall")), Some("nothing came for too long")),
        ("cut", on("GET /v2/coop/fare/blobs", 0, json!({"cut": 100})), Some("the connection ended")),
        ("redirect", on("GET /v2/coop/fare/blobs", 0, json!({"redirect": elsewhere})), Some("does not name")),
        ("429", on("manifests", 0, json!({"status": 429})), Some("429")),
        ("503", on("manifests", 0, json!({"status": 503})), Some("503")),
        ("404", on("manifests", 0, json!({"status": 404})), Some("404")),
        ("once busy", on("manifests", 2, json!({"status": 503})), None),
        ("once cut", on("GET /v2/coop/fare/blobs", 1, json!({"cut": 900})), None),
        ("once flipped", on("GET /v2/coop/fare/blobs", 1, json!("flip")), None),
        ("once stalled", on("referrers", 1, json!("stall")), None),
    ];
    let worker = honest();
    for (what, fault, refused) in cases {
        let mut yard = Yard::new(json!([]));
        yard.publish("1");
        yard.publish("2");
        let gateway = yard.gateway(&worker, "", "");
        yard.admin(&["pull", "fare", "1"]).unwrap();
        yard.admin(&["alias", "fare", "current", "1"]).unwrap();
        // The same registry, from now on with its fault.
        let address = yard.registry.take().unwrap().address.to_string();
        yard.start_registry(&address, json!([fault]));
        let mut client = Client::connect(gateway.address(), "a", false);
        let pulled = yard.admin(&["pull", "fare", "2"]);
        match refused {
            Some(words) => {
                let error = pulled.unwrap_err();
                assert!(error.contains(words), "{what}: {error}");
                assert!(
                    yard.admin(&["alias", "fare", "current", "2"]).is_err(),
                    "{what}: half there and moved to"
                );
                let heard = client.call("quote/fare@2", 1, None, "q2");
                assert_eq!(heard.outcome, "refused", "{what}: {heard:?}");
            }
            None => {
                pulled.unwrap_or_else(|e| panic!("{what}: {e}"));
                yard.admin(&["alias", "fare", "current", "2"]).unwrap();
            }
        }
        if ["flip", "endless"].contains(&what) {
            let shown = yard.admin(&["show", "fare"]).unwrap();
            assert!(shown.contains("\"quarantine\":{"), "{shown}");
        }
        assert_eq!(client.call("quote/fare", 2, None, "q1").outcome, "served", "{what}");
    }
}

#[test]
fn a_gateway_killed_within_a_pull_goes_on_from_what_came() {
    let mut yard = Yard::new(json!([]));
    let (_, layer) = yard.publish("1");
    let address = yard.registry.take().unwrap().address.to_string();
    yard.start_registry(&address, json!([{"on": layer.hex(), "times": 0, "kind": {"late": 100}}]));
    let worker = honest();
    let gateway = yard.gateway(&worker, "", "");
    let mut stream = UnixStream::connect(yard.path("admin.sock")).unwrap();
    stream.write_all(b"{\"do\":\"pull\",\"name\":\"fare\",\"version\":\"1\"}\n").unwrap();
    let partial = yard.path("folder").join("partial").join(layer.hex());
    until("a part to come", || partial.metadata().is_ok_and(|m| m.len() > 0));
    // Dropped is killed: by SIGKILL, without an orderly stop.
    drop(gateway);
    assert!(!yard.blob(&layer).exists());
    let _gateway = yard.gateway(&worker, "", "");
    let pulled: Value = serde_json::from_str(&yard.admin(&["pull", "fare", "1"]).unwrap()).unwrap();
    assert!(pulled["had"].as_u64().unwrap() >= 4_096, "{pulled}");
    assert!(yard.admin(&["verify"]).is_ok());
}

#[test]
fn content_that_rots_while_the_gateway_runs_is_found_refused_and_had_again() {
    let yard = Yard::new(json!([]));
    let (_, layer) = yard.publish("1");
    let worker = honest();
    let gateway = yard.gateway(&worker, "", "(scrub-mb-per-s 1000)");
    yard.admin(&["pull", "fare", "1"]).unwrap();
    yard.admin(&["alias", "fare", "current", "1"]).unwrap();
    flip(&yard.blob(&layer));
    until("the rot to be found", || gateway.log().contains("in quarantine"));
    until("a clean pull to lift it", || {
        gateway.log().contains("pulled name=\"fare\"") && yard.blob(&layer).exists()
    });
    let mut client = Client::connect(gateway.address(), "a", false);
    let mut number = 0;
    while client.call("quote/fare", number + 1, None, &format!("q{number}")).outcome != "served" {
        number += 1;
        assert!(number < 200, "{}", gateway.log());
    }
    // What an operator takes out of use is not had again by itself.
    yard.admin(&["quarantine", "fare@1", "--reason", "wrong fares"]).unwrap();
    let heard = client.call("quote/fare", 300, None, "q300");
    assert!(heard.outcome == "refused" && heard.reason.unwrap().contains("quarantine"));
    flip(&yard.blob(&layer));
    let asked = yard.asked().len();
    assert!(client.call("quote/fare", 301, None, "q301").outcome == "refused" && yard.asked().len() == asked);
    yard.admin(&["pull", "fare", "1"]).unwrap();
    assert_eq!(client.call("quote/fare", 302, None, "q302").outcome, "served");
}

#[test]
fn a_version_that_calls_name_and_is_not_here_is_pulled_once_for_those_that_follow() {
    let yard = Yard::new(json!([]));
    yard.publish("1");
    let (two, _) = yard.publish("2");
    let worker = honest();
    let gateway = yard.gateway(&worker, "(on-call yes)", "");
    yard.admin(&["pull", "fare", "1"]).unwrap();
    let mut client = Client::connect(gateway.address(), "a", false);
    let mut number = 0;
    let heard = loop {
        number += 1;
        let heard = client.call("quote/fare@2", number, None, &format!("q{number}"));
        if heard.outcome == "served" {
            break heard;
        }
        assert!(number < 2_000, "{}", gateway.log());
    };
    assert_eq!(heard.ran, Some(two));
    let manifests = |version: &str| {
        yard.asked().iter().filter(|a| **a == format!("GET /v2/coop/fare/manifests/{version}")).count()
    };
    assert_eq!(manifests("2"), 1);
    // Names that are nowhere, and functions that nobody pulled, do not bring the registry a request for each call.
    for n in 0..50 {
        client.call("quote/fare@9", 3_000 + n, None, &format!("r{n}"));
        client.call("quote/stranger@9", 4_000 + n, None, &format!("s{n}"));
    }
    assert!(manifests("9") < 10 && !yard.asked().iter().any(|a| a.contains("stranger")));
}

#[test]
fn only_signed_versions_run_where_keys_are_listed_and_a_key_struck_off_counts_at_once() {
    let yard = Yard::new(json!([]));
    let key = yard.path("anna.key");
    let made = yard.plugin(&["keygen", key.to_str().unwrap()]).unwrap();
    assert_eq!(std::fs::metadata(&key).unwrap().permissions().mode() & 0o777, 0o600);
    assert!(yard.plugin(&["keygen", key.to_str().unwrap()]).is_err(), "a key was written over");
    let made: Value = serde_json::from_str(&made).unwrap();
    let keys = format!("(signatures (key \"anna\" {}))", made["public"]);
    yard.publish("1");
    yard.push("2", "quote", json!({}));
    yard.publisher(&["sign", "fare", "2", "--key", key.to_str().unwrap(), "--id", "anna"]).unwrap();
    yard.publisher(&["publish", "fare", "2"]).unwrap();
    let worker = honest();
    let gateway = yard.gateway(&worker, "", &keys);
    for version in ["1", "2"] {
        yard.admin(&["pull", "fare", version]).unwrap();
    }
    let unsigned = yard.admin(&["alias", "fare", "current", "1"]).map(drop);
    yard.admin(&["alias", "fare", "current", "2"]).unwrap();
    let mut client = Client::connect(gateway.address(), "a", false);
    let heard = client.call("quote/fare@1", 1, None, "q1");
    assert!(heard.outcome == "refused" && heard.reason.unwrap().contains("unsigned"), "{unsigned:?}");
    assert_eq!(client.call("quote/fare", 2, None, "q2").outcome, "served");
    assert!(yard.admin(&["status"]).unwrap().contains("no key of the list has signed version 1"));
    // The key list is read again with the settings.
    let other = yard.path("other.key");
    let other: Value =
        serde_json::from_str(&yard.plugin(&["keygen", other.to_str().unwrap()]).unwrap()).unwrap();
    let text = std::fs::read_to_string(gateway.file()).unwrap();
    let changed = text.replace(&made["public"].to_string(), &other["public"].to_string());
    std::fs::write(gateway.file(), changed).unwrap();
    gateway.process.signal("HUP");
    until("the key list to be read", || gateway.log().contains("worker list read again"));
    assert_eq!(client.call("quote/fare", 3, None, "q3").outcome, "refused");
}

#[test]
fn a_class_that_a_tenants_plug_in_may_not_claim_is_refused_at_push_pull_and_in_service() {
    let yard = Yard::new(json!([]));
    let tenants = "(tenant \"north\" (plugin-classes \"quote\"))";
    let site = SITE.replace("(function", "(tenant \"north\") (function");
    let settings = format!("(gateway)(mqtt (listen \"127.0.0.1:0\")){site}{tenants}");
    let file = yard.path("check.scm");
    std::fs::write(&file, settings).unwrap();
    yard.push("1", "charge", json!({"tenant": "north"}));
    yard.publisher(&["publish", "fare", "1"]).unwrap();
    let words = "tenant north may not use class charge";
    let manifest = yard.path("manifest.json");
    let refused = yard.publisher(&["push", manifest.to_str().unwrap(), "--settings", file.to_str().unwrap()]);
    assert!(refused.unwrap_err().contains(words));
    let worker = honest();
    let site = yard.site("", "").replace("(function", "(tenant \"north\") (function") + tenants;
    let gateway = Gateway::start(&site, &[("w", worker.address, "")]);
    assert!(yard.admin(&["pull", "fare", "1"]).unwrap_err().contains(words));
    // Taken in by hand, past the check, it does not run all the same.
    let (folder, layer) = (yard.path("folder"), yard.path("layer"));
    let by_hand =
        ["--folder", folder.to_str().unwrap(), "--socket", yard.path("admin.sock").to_str().unwrap()]
            .map(str::to_string);
    let by_hand: Vec<&str> = by_hand.iter().map(String::as_str).collect();
    yard.plugin(&[&by_hand[..], &["push", manifest.to_str().unwrap(), layer.to_str().unwrap()]].concat())
        .unwrap();
    let mut client = Client::connect(gateway.address(), "a", false);
    let heard = client.call("charge/fare@1", 1, Some("k"), "c");
    assert_eq!((heard.outcome.as_str(), worker.calls()), ("refused", 0), "{heard:?}");
}

#[test]
fn a_deleted_version_keeps_its_content_while_a_call_is_open() {
    let yard = Yard::new(json!([]));
    let (_, layer) = yard.publish("1");
    yard.publish("2");
    let worker = Worker::start(|call, _| {
        let digest = call.function.split_once('@').map(|(_, digest)| digest.to_string());
        Action::Later(1_500, Reply::Served { payload: Vec::new(), ran: digest })
    });
    let gateway = yard.gateway(&worker, "", "");
    for version in ["1", "2"] {
        yard.admin(&["pull", "fare", version]).unwrap();
    }
    yard.admin(&["alias", "fare", "current", "2"]).unwrap();
    let mut client = Client::connect(gateway.address(), "a", false);
    client.publish("quote/fare@1", 1, None, "q1", false);
    until("the call to reach the worker", || worker.calls() == 1);
    yard.admin(&["delete", "fare", "1"]).unwrap();
    yard.admin(&["gc"]).unwrap();
    assert!(yard.blob(&layer).exists(), "an open call's content went");
    assert_eq!(client.answer_or(|| gateway.log()).outcome, "served");
    assert_eq!(client.call("quote/fare@1", 2, None, "q2").outcome, "refused");
    yard.admin(&["gc"]).unwrap();
    assert!(!yard.blob(&layer).exists());
}

#[test]
fn the_admin_socket_is_its_owners_alone_answers_nonsense_and_lets_one_of_two_operators_win() {
    let yard = Yard::new(json!([]));
    for version in ["1", "2", "3"] {
        yard.publish(version);
    }
    let worker = honest();
    let gateway = yard.gateway(&worker, "", "");
    let socket = yard.path("admin.sock");
    assert_eq!(std::fs::metadata(&socket).unwrap().permissions().mode() & 0o777, 0o600);
    for version in ["1", "2", "3"] {
        yard.admin(&["pull", "fare", version]).unwrap();
    }
    yard.admin(&["alias", "fare", "current", "1", "--expect", "0"]).unwrap();
    let both = ["2", "3"].map(|v| yard.admin(&["alias", "fare", "current", v, "--expect", "1"]));
    assert!(both[0].is_ok() && both[1].as_ref().unwrap_err().contains("somebody else moved this alias"));
    let say = |bytes: &[u8]| {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.write_all(bytes).unwrap();
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        line
    };
    assert!(say(b"{\"do\":\"dance\"}\n").contains("not a command"));
    assert!(say(b"\xff\x00\n").contains("not a command"));
    assert!(say(&[b'x'; 70_000]).contains("too long"));
    assert!(say(b"{\"do\":\"show\",\"name\":\"nobody\"}\n").contains("there is no plug-in nobody"));
    // A second gateway does not take the socket from the first; one that died leaves it to be taken.
    let site = format!("(gateway (name \"h\"))\n(mqtt (listen \"127.0.0.1:0\"))\n{}", yard.site("", ""));
    let file = yard.path("second.scm");
    std::fs::write(&file, &site).unwrap();
    let second = command(&["run", file.to_str().unwrap()]);
    assert!(String::from_utf8_lossy(&second.stderr).contains("admin socket"));
    drop(gateway);
    assert!(yard.admin(&["list"]).is_err());
    let _again = yard.gateway(&worker, "", "");
    assert!(yard.admin(&["list"]).unwrap().contains("fare"));
}

#[test]
fn a_registry_that_asks_who_we_are_gives_only_to_those_it_knows() {
    let yard = Yard::new(json!([]));
    let (folder, publisher) = (yard.path("private"), yard.path("publisher"));
    let (good, bad) = (yard.path("good"), yard.path("bad"));
    std::fs::write(&good, "sesame\n").unwrap();
    std::fs::write(&bad, "guess\n").unwrap();
    yard.push("1", "quote", json!({}));
    for tokens in [false, true] {
        let mut arguments = vec!["registry", "--folder", folder.to_str().unwrap(), "--user", "coop"];
        arguments.extend(["--password-file", good.to_str().unwrap()]);
        arguments.extend(tokens.then_some("--tokens"));
        let registry = Process::start(&arguments, None);
        let address = format!("http://{}", registry.address);
        let ask = |file: Option<&Path>, what: &[&str]| {
            let mut all = vec!["--folder", publisher.to_str().unwrap(), "--registry", &address];
            all.extend(file.iter().flat_map(|f| ["--user", "coop", "--password-file", f.to_str().unwrap()]));
            yard.plugin(&[&all, what].concat())
        };
        ask(Some(&good), &["publish", "fare", "1"]).unwrap();
        ask(Some(&good), &["pull", "fare", "1"]).unwrap();
        for wrong in [Some(bad.as_path()), None] {
            let error = ask(wrong, &["pull", "fare", "1"]).unwrap_err();
            assert!(error.contains("does not take these credentials"), "{error}");
        }
    }
}
