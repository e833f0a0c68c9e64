//! Compatibility of operators' files and tools, checked against fixed literals.
//!
//! Settings files, commands on the admin socket, tools that parse its answers, and recorded worker lists
//! outlive a version of the program. Each literal must be read, and where the program writes it written,
//! exactly as given here, whatever the identifiers in the code are called. A failing test means that
//! operators' files or tools would break: fix the code, not the literal. `docs/operators/*.md` describes the
//! forms and fields.

mod support;

use slatevalve::{Micros, WorkerState};
use slatevalve_gateway::clock::Clock;
use slatevalve_gateway::members::{MembershipEvent, Recorder, ReplaySource, Source};
use slatevalve_gateway::plugins::command::Command as PluginCommand;
use slatevalve_gateway::settings::{MemberSource, NameTables, SharedSettings, Site, VersionedSettings};
use slatevalve_plugins::Signature;
use slatevalve_reactor::Reactor;
use slatevalve_registry::{MemberState, WorkerRecord};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use support::{command, Gateway, MAX_WAIT};

/// The forms that settings documents may contain as well, with every field. The numbers differ, so that a
/// value that is read into the wrong field is noticed.
const SHARED: &str = r#"
(class "quote" (effect safe) (aim-ms 801) (deadline-ms 3001) (worth 2.5) (late-worth 0.25) (aim-stretch 0.5))
(class "booking" (effect keyed (group cell) (window-ms 6002)) (aim-ms 1502) (deadline-ms 3002))
(class "change" (effect keyed (group zone) (window-ms 6003)) (aim-ms 1503) (deadline-ms 3003))
(class "note" (effect keyed (group all) (window-ms 6004)) (aim-ms 1504) (deadline-ms 3004))
(class "charge" (effect unsafe) (aim-ms 1205) (deadline-ms 3005) (remember-ms 600005))
(tenant "north" (per-second 40.5) (plugin-classes "quote" "charge"))
(tenant "south")
(route "calls/+/quote/+" (class "quote") (tenant "{2}") (function "{4}"))
(route "calls/+/booking/+/+" (class "booking") (tenant "{2}") (function "{4}") (key "{5}"))
(function "fare" (lanes 6) (work-ms 7) (load-ms 708) (memory-mb 409.5))
(function "*" (lanes 2) (load-ms 702))
(worker "node-1" (address "127.0.0.1:9001") (zone "hall-a") (cell 11) (kind "small") (state ready) (weight 1.5) (up-since-unix-ms 1700000000000))
(worker "node-2" (address "127.0.0.1:9002") (zone "hall-b") (cell 12) (kind "large") (state draining))
(worker "node-3" (address "127.0.0.1:9003") (state gone))
(loading (on-request yes) (orders no) (keep-ms 8013) (order-timeout-ms 10014)
  (ration (window-ms 15015) (free 16) (share 0.17)) (kind "small" (memory-mb 1018)) (kind "large" (memory-mb 1019)))
(limits (cancel no) (probes no) (second-copies no) (max-attempts 20))
(rules (answer-slack-ms 21) (drain-grace-ms 222) (start-capacity 0.23) (warm-within-ms 20024) (fall-multiple 2.5) (fall-window-ms 1026))
(pool (connect-timeout-ms 227) (idle-ms 15028) (most 1029) (probe-timeout-ms 1030) (max-response 1048531))
(keys (most 1000032) (result-bytes 1048533) (forgotten-for 34))
"#;

/// Forms that only a router's own file may contain.
const OWN: &str = r#"
(gateway (name "gw-1") (zone "hall-a") (routers 41) (seed 42) (answer-margin-ms 43) (max-open 20044) (max-functions 65545) (stop-within-ms 5046))
(mqtt (listen "127.0.0.1:1883") (max-packet 1048551) (receive-maximum 252) (topic-aliases 53) (session-expiry-ms 600054)
  (max-sessions 10055) (session-quota 4056) (connect-timeout-ms 5057) (keep-alive-s 258))
"#;

const BRIDGE: &str = r#"
(bridge (broker "127.0.0.1:1884") (client-id "gw-1") (group "gateways") (sole-member yes) (receive-maximum 161)
  (max-packet 1048562) (session-expiry-s 3663) (keep-alive-s 64) (back-off-ms 165) (longest-back-off-ms 10066) (connect-timeout-ms 5067))
"#;

/// `DIR` is a placeholder for a directory that contains the password file.
const PLUGINS: &str = r#"
(plugins (folder "DIR/plugins") (unlisted yes) (plain-switch no) (admin "DIR/admin.sock") (scrub-mb-per-s 7.5)
  (rollout (orders-at-once 71) (first-part 0.72) (step-ms 73) (judged-after 74) (more-failures 0.75) (more-late 0.76) (give-up-ms 77))
  (signatures (key "release" "6kpsY+KcUgq+9VB7Ey7F+ZVHdq6+vnuSQh7qaRRG0iw="))
  (registry "http://127.0.0.1:5000/site/rules" (user "reader") (password-file "DIR/password") (stall-ms 81) (first-wait-ms 82)
    (longest-wait-ms 8083) (tries 84) (within-ms 85086) (hosts "a.example" "b.example") (range-kb 86) (most-mb 87) (on-call yes)))
"#;

const MEMBERS: &str = r#"
(members (registry "127.0.0.1:2379" "127.0.0.1:2380") (relays "127.0.0.1:2381") (prefix "/site/") (user "reader") (password-file "DIR/password")
  (look-ms 91) (silence-ms 1592) (ttl-s 93) (timeout-ms 594) (service-per-second 95.5) (drain-within-ms 12096)
  (least-routers 97) (fewer-routers-after-ms 98099) (remember "DIR/remember.json") (record "DIR/record.jsonl"))
"#;

struct Files(tempfile::TempDir);

impl Files {
    fn new() -> Self {
        let files = Files(tempfile::tempdir().unwrap());
        files.write("password", "secret\n");
        files
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.path().join(name);
        std::fs::write(&path, self.expand(text)).unwrap();
        path.to_str().unwrap().into()
    }

    fn expand(&self, text: &str) -> String {
        text.replace("DIR", self.0.path().to_str().unwrap())
    }

    fn site(&self, text: &str) -> Site {
        Site::parse("site.scm", &self.expand(text), &Clock::start(), NameTables::default()).unwrap()
    }

    /// The standard output of a command that is given a settings file with this text; the command must
    /// succeed.
    fn check(&self, arguments: &[&str], text: &str) -> String {
        let file = self.write("site.scm", text);
        let output = command(&[arguments, &[&file]].concat());
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8(output.stdout).unwrap()
    }
}

/// The shared forms without the workers, which a file with `members` may not list.
fn without_workers() -> String {
    SHARED.lines().filter(|line| !line.starts_with("(worker ")).collect::<Vec<_>>().join("\n")
}

#[test]
fn check_prints_the_same_output_for_a_file_with_every_form_and_field() {
    let files = Files::new();
    let text = format!("{OWN}{SHARED}{BRIDGE}{PLUGINS}");
    let json = files.check(&["check", "--json"], &text);
    assert_eq!(json, "{\"classes\":5,\"name\":\"gw-1\",\"routes\":2,\"tenants\":2,\"workers\":3}\n");
    assert_eq!(files.check(&["check"], &text), "gw-1: 5 classes, 2 routes, 2 tenants, 3 workers\n");
    let members = format!("{OWN}{}{BRIDGE}{PLUGINS}{MEMBERS}", without_workers());
    assert!(files.check(&["check", "--json"], &members).contains("\"workers\":0"));
}

#[test]
fn an_unknown_field_is_rejected_in_every_form() {
    let files = Files::new();
    let whole = format!("{OWN}{SHARED}{BRIDGE}{PLUGINS}");
    let forms = [
        "(gateway ",
        "(mqtt ",
        "(class \"quote\" ",
        "(tenant \"north\" ",
        "(route \"calls/+/quote/+\" ",
        "(function \"fare\" ",
        "(worker \"node-1\" ",
        "(loading ",
        "(ration ",
        "(kind \"small\" ",
        "(limits ",
        "(rules ",
        "(pool ",
        "(keys ",
        "(bridge ",
        "(plugins ",
        "(rollout ",
        "(registry \"http://127.0.0.1:5000/site/rules\" ",
    ];
    for form in forms {
        let text = files.expand(&whole.replacen(form, &format!("{form}(no-such-field 1) "), 1));
        let error = Site::parse("site.scm", &text, &Clock::start(), NameTables::default()).unwrap_err();
        assert!(error.to_string().contains("no-such-field"), "{form}: {error}");
    }
}

#[test]
fn the_fields_of_gateway_mqtt_and_bridge_are_read_into_their_settings() {
    let site = Files::new().site(&format!("{OWN}{SHARED}{BRIDGE}"));
    assert_eq!(
        (site.name.as_str(), site.zone.as_str(), site.stop_timeout),
        ("gw-1", "hall-a", Micros(5_046_000))
    );
    let engine = &site.engine;
    assert_eq!((engine.balancer.routers, engine.seed, engine.answer_margin), (41, 42, Micros(43_000)));
    assert_eq!((engine.max_open_calls, engine.max_function_names), (20_044, 65_545));
    let front = &site.front;
    assert_eq!(site.listen.to_string(), "127.0.0.1:1883");
    assert_eq!((front.max_packet, front.receive_maximum, front.topic_alias_maximum), (1_048_551, 252, 53));
    assert_eq!((front.max_session_expiry, front.max_sessions), (Micros(600_054_000), 10_055));
    assert_eq!(
        (front.session_quota, front.connect_timeout, front.max_keep_alive),
        (4_056, Micros(5_057_000), 258)
    );
    let (broker, bridge) = site.bridge.unwrap();
    assert_eq!(broker.to_string(), "127.0.0.1:1884");
    assert_eq!((bridge.client_id.as_str(), bridge.group.as_deref()), ("gw-1", Some("gateways")));
    assert_eq!((bridge.receive_maximum, bridge.max_packet), (161, 1_048_562));
    assert_eq!((bridge.session_expiry_s, bridge.keep_alive_s), (3_663, 64));
    assert_eq!(bridge.backoff, (Micros(165_000), Micros(10_066_000)));
    assert_eq!(bridge.connect_timeout, Micros(5_067_000));
}

#[test]
fn the_fields_of_the_shared_forms_are_read_into_their_settings() {
    let site = Files::new().site(&format!("{OWN}{SHARED}"));
    let (balancer, quote) = (&site.engine.balancer, &site.engine.balancer.classes[0]);
    assert_eq!((quote.latency_objective, quote.deadline), (Micros(801_000), Micros(3_001_000)));
    assert_eq!((quote.priority_weight, quote.late_value, quote.objective_stretch), (2.5, 0.25, 0.5));
    let effects: Vec<&String> = site.rights.effects.values().collect();
    assert_eq!(effects, ["keyed", "keyed", "unsafe", "keyed", "safe"]);
    assert_eq!(site.engine.classes[4].retention, Micros(600_005_000));
    assert_eq!((balancer.tenants[0].quota_per_s, site.rights.tenants["north"].len()), (40.5, 2));
    let fare = &site.engine.functions["fare"];
    assert_eq!((fare.concurrency, fare.work, fare.memory_mb), (6, Some(Micros(7_000)), 409.5));
    assert_eq!(fare.load_time, Some(Micros(708_000)));
    assert_eq!(site.engine.other_functions.concurrency, 2);
    let states: Vec<WorkerState> = site.workers.iter().map(|w| w.entry.state).collect();
    assert_eq!(states, [WorkerState::Ready, WorkerState::Draining, WorkerState::Gone]);
    let node = &site.workers[0].entry;
    assert_eq!((node.cell.0, node.weight, node.up_since.is_some()), (11, 1.5, true));
    let loading = &balancer.loading;
    assert_eq!((loading.on_request, loading.load_requests), (true, false));
    assert_eq!((loading.idle_retention, loading.load_timeout), (Micros(8_013_000), Micros(10_014_000)));
    assert_eq!(loading.load_quota_window, Micros(15_015_000));
    assert_eq!((loading.load_quota_free, loading.load_quota_share), (16.0, 0.17));
    assert_eq!(loading.kind_memory_mb, [1_018.0, 1_019.0]);
    let limits = &balancer.limits;
    assert_eq!(
        (limits.cancel, limits.probes, limits.hedged_requests, limits.max_attempts),
        (false, false, false, 20)
    );
    let rules = &balancer.rules;
    assert_eq!((rules.answer_slack, rules.drain_grace), (Micros(21_000), Micros(222_000)));
    assert_eq!((rules.start_capacity, rules.warm_up_time), (0.23, Micros(20_024_000)));
    assert_eq!((rules.overload_multiple, rules.overload_window), (2.5, Micros(1_026_000)));
    assert_eq!((site.pool.connect_timeout, site.pool.idle_timeout), (Micros(227_000), Micros(15_028_000)));
    assert_eq!((site.pool.max_connections_per_worker, site.pool.probe_timeout), (1_029, Micros(1_030_000)));
    assert_eq!(site.max_response, 1_048_531);
    let keys = site.engine.duplicates.as_ref().unwrap();
    assert_eq!((keys.keys, keys.result_bytes, keys.forgotten_for), (1_000_032, 1_048_533, 34));
}

#[test]
fn the_fields_of_plugins_are_read_into_their_settings() {
    let files = Files::new();
    let plugins = files.site(&format!("{OWN}{SHARED}{PLUGINS}")).plugins.unwrap();
    assert_eq!(plugins.folder, Path::new(&files.expand("DIR/plugins")));
    assert_eq!(plugins.admin.as_deref(), Some(Path::new(&files.expand("DIR/admin.sock"))));
    assert_eq!((plugins.unlisted, plugins.pull_on_call, plugins.scrub_per_s), (true, true, 7_500_000));
    assert!(plugins.admission_policy.keys.is_some());
    let rollout = plugins.rollout.unwrap();
    assert_eq!((rollout.max_load_requests, rollout.initial_fraction, rollout.step_us), (71, 0.72, 73_000));
    assert_eq!((rollout.min_calls, rollout.failure_tolerance, rollout.lateness_tolerance), (74, 0.75, 0.76));
    assert_eq!(rollout.first_copy_timeout_us, 77_000);
    let pull = plugins.registry.unwrap();
    let login = pull.credentials.unwrap();
    assert_eq!((login.user.as_str(), login.password.as_str()), ("reader", "secret"));
    let policy = pull.policy;
    assert_eq!(
        (policy.stall_timeout_us, policy.initial_backoff_us, policy.max_backoff_us),
        (81_000, 82_000, 8_083_000)
    );
    assert_eq!((policy.max_attempts, policy.job_timeout_us), (84, 85_086_000));
    assert_eq!(policy.hosts, ["a.example", "b.example"]);
    assert_eq!((pull.range, pull.max_size), (86 * 1_024, 87_000_000));
}

#[test]
fn the_fields_of_members_are_read_into_their_settings() {
    let files = Files::new();
    let shared = without_workers();
    let site = files.site(&format!("{OWN}{shared}{MEMBERS}"));
    let Some(MemberSource::Registry(members)) = site.members else { panic!("{:?}", site.members) };
    assert_eq!(members.addresses.len(), 3);
    assert_eq!(members.remember.as_deref(), Some(Path::new(&files.expand("DIR/remember.json"))));
    assert_eq!(members.record.as_deref(), Some(Path::new(&files.expand("DIR/record.jsonl"))));
    assert_eq!((members.router_count.min_routers, members.router_count.hold_us), (97, 98_099_000));
    let client = &members.client;
    assert_eq!((client.prefix.as_str(), client.relays, client.clients), ("/site/", 1, 41));
    let login = client.login.as_ref().unwrap();
    assert_eq!((login.name.as_str(), login.password.as_str()), ("reader", "secret"));
    assert_eq!(
        (client.watch_state.liveness_interval_us, client.watch_state.stale_after_us),
        (91_000, 1_592_000)
    );
    assert_eq!((client.registration.ttl_s, client.timeout_us), (93, 594_000));
    assert_eq!((client.pace.per_second, client.drain_within_us), (95.5, 12_096_000));
    let replay = files.site(&format!("{OWN}{shared}(members (replay \"news.jsonl\"))"));
    assert!(matches!(replay.members, Some(MemberSource::Replay(p)) if p == Path::new("news.jsonl")));
}

#[test]
fn a_document_and_the_router_file_that_refers_to_its_registry_are_read() {
    let files = Files::new();
    let document = format!("{SHARED}(agreement (in-doubt give-up) (right-ms 701) (clock-error-ppm 702))");
    let printed = files.check(&["settings", "--json", "check"], &document);
    assert!(printed.starts_with("{\"classes\":5,\"digest\":\""), "{printed}");
    let read = SharedSettings::parse("document", &document, &Clock::start()).unwrap();
    assert_eq!((read.lease, read.clock_error_ppm), (Micros(701_000), 702));
    assert_eq!(read.expiry_policy, slatevalve_config_versioning::LeaseExpiryPolicy::GiveUp);
    let own = r#"(agreed (registry "127.0.0.1:2379") (prefix "/site/") (user "reader") (password-file "DIR/password") (timeout-ms 594)
        (look-ms 91) (silence-ms 1592) (lives "DIR/lives") (remember "DIR/last"))"#;
    let file = files.write("own.scm", &format!("{OWN}{own}"));
    let (agreed, _) = VersionedSettings::read(Path::new(&file)).unwrap().unwrap();
    assert_eq!((agreed.name.as_str(), agreed.prefix.as_str()), ("gw-1", "/site/"));
    assert_eq!(agreed.incarnation_file.as_deref(), Some(Path::new(&files.expand("DIR/lives"))));
    assert_eq!(agreed.remembered_file.as_deref(), Some(Path::new(&files.expand("DIR/last"))));
}

/// Each command of the admin socket and its JSON line.
fn commands() -> [(PluginCommand, &'static str); 12] {
    let text = |t: &str| t.to_string();
    let (name, version) = (text("fare"), text("1"));
    let signature = Signature::read("release", &format!("{}==", "A".repeat(86))).unwrap();
    let alias = |expect| PluginCommand::Alias {
        name: text("fare"),
        alias: text("current"),
        version: text("1"),
        expect,
        who: text("anna"),
    };
    [
        (PluginCommand::List, r#"{"do":"list"}"#),
        (PluginCommand::Show { name: name.clone() }, r#"{"do":"show","name":"fare"}"#),
        (
            alias(Some(3)),
            r#"{"do":"alias","name":"fare","alias":"current","version":"1","expect":3,"who":"anna"}"#,
        ),
        (
            PluginCommand::History { name: name.clone(), alias: text("current") },
            r#"{"do":"history","name":"fare","alias":"current"}"#,
        ),
        (PluginCommand::Verify, r#"{"do":"verify"}"#),
        (
            PluginCommand::Quarantine { reference: text("fare@1"), reason: text("recalled") },
            r#"{"do":"quarantine","reference":"fare@1","reason":"recalled"}"#,
        ),
        (
            PluginCommand::Delete { name: name.clone(), version: version.clone() },
            r#"{"do":"delete","name":"fare","version":"1"}"#,
        ),
        (PluginCommand::Gc, r#"{"do":"gc"}"#),
        (
            PluginCommand::Pull { name: name.clone(), version: version.clone() },
            r#"{"do":"pull","name":"fare","version":"1"}"#,
        ),
        (
            PluginCommand::Sign { name, version, signature },
            r#"{"do":"sign","name":"fare","version":"1","signature":{"key":"release","value":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=="}}"#,
        ),
        (PluginCommand::Reload, r#"{"do":"reload"}"#),
        (PluginCommand::Status, r#"{"do":"status"}"#),
    ]
}

#[test]
fn every_command_of_the_admin_socket_keeps_its_json() {
    for (command, literal) in commands() {
        assert_eq!(serde_json::to_string(&command).unwrap(), literal);
        assert_eq!(serde_json::from_str::<PluginCommand>(literal).unwrap(), command);
    }
}

/// A catalogue as stored in the plug-in folder.
const CATALOGUE: &str = r#"{"functions":{"fare":{"versions":{
"1":{"digest":"sha256:87eb5fe88de13a013598546a62f38a2f9a0105db51e883f114e83d7d685e575c","manifest":{"name":"fare","version":"1","class":"quote","layers":[]},"state":"whole","signatures":[{"key":"release","value":"AAAA"}]},
"2":{"digest":"sha256:0202020202020202020202020202020202020202020202020202020202020202","manifest":{"name":"fare","version":"2","class":"quote","layers":[]},"state":"whole"},
"3":{"digest":"sha256:0303030303030303030303030303030303030303030303030303030303030303","manifest":{"name":"fare","version":"3","class":"quote","layers":[]},"state":"partial"}},
"aliases":{"current":{"version":"1","revision":1,"history":[{"revision":1,"at_ms":5,"who":"anna","from":null,"to":"1"}]}}}},
"quarantined":{"sha256:0202020202020202020202020202020202020202020202020202020202020202":{"reason":"recalled","at_ms":70,"held":true}}}"#;

/// Digest and manifest of version 1, the only one whose manifest is in the blob store.
const ONE: (&str, &str) = (
    "87eb5fe88de13a013598546a62f38a2f9a0105db51e883f114e83d7d685e575c",
    r#"{"name":"fare","version":"1","class":"quote","layers":[]}"#,
);

/// Lines sent to the admin socket, each with the answer line.
const ANSWERS: [(&str, &str); 12] = [
    (r#"{"do":"list"}"#, r#"{"done":[{"current":"1","name":"fare","quarantined":1,"versions":3}]}"#),
    (
        r#"{"do":"show","name":"fare"}"#,
        r#"{"done":{"aliases":[{"alias":"current","revision":1,"version":"1"}],"name":"fare","versions":[{"aliases":["current"],"digest":"sha256:87eb5fe88de13a013598546a62f38a2f9a0105db51e883f114e83d7d685e575c","open":0,"quarantine":null,"signed_by":["release"],"state":"whole","version":"1"},{"aliases":[],"digest":"sha256:0202020202020202020202020202020202020202020202020202020202020202","open":0,"quarantine":{"at_ms":70,"held":true,"reason":"recalled"},"signed_by":[],"state":"whole","version":"2"},{"aliases":[],"digest":"sha256:0303030303030303030303030303030303030303030303030303030303030303","open":0,"quarantine":null,"signed_by":[],"state":"partial","version":"3"}]}}"#,
    ),
    (
        r#"{"do":"history","name":"fare","alias":"current"}"#,
        r#"{"done":[{"at_ms":5,"from":null,"revision":1,"to":"1","who":"anna"}]}"#,
    ),
    (
        r#"{"do":"alias","name":"fare","alias":"night","version":"1","expect":0,"who":"anna"}"#,
        r#"{"done":{"alias":"night","name":"fare","revision":1,"version":"1"}}"#,
    ),
    (
        r#"{"do":"alias","name":"fare","alias":"night","version":"1","expect":0,"who":"bert"}"#,
        r#"{"error":"somebody else moved this alias in between; it is at revision 1"}"#,
    ),
    (r#"{"do":"delete","name":"fare","version":"3"}"#, r#"{"done":{"deleted":"3","name":"fare"}}"#),
    (
        r#"{"do":"status"}"#,
        r#"{"done":{"barred":[],"moves":[],"open":0,"pulls":{"bytes":0,"done":0,"failed":0,"requests":0}}}"#,
    ),
    (
        r#"{"do":"quarantine","reference":"fare@1","reason":"recalled too"}"#,
        r#"{"done":{"digest":"sha256:87eb5fe88de13a013598546a62f38a2f9a0105db51e883f114e83d7d685e575c","reason":"recalled too"}}"#,
    ),
    (
        r#"{"do":"pull","name":"fare","version":"9"}"#,
        r#"{"error":"no registry is known: give --registry URL, or (registry ...) in the settings"}"#,
    ),
    (
        r#"{"do":"nothing"}"#,
        r#"{"error":"not a command: unknown variant `nothing`, expected one of `list`, `show`, `alias`, `history`, `verify`, `quarantine`, `delete`, `gc`, `pull`, `sign`, `reload`, `status` at line 1 column 15"}"#,
    ),
    (r#"{"do":"gc"}"#, r#"{"done":{"removed":0}}"#),
    (
        r#"{"do":"sign","name":"fare","version":"1","signature":{"key":"other","value":"BBBB"}}"#,
        r#"{"done":{"key":"other","name":"fare","version":"1"}}"#,
    ),
];

#[test]
fn the_answers_of_the_admin_socket_keep_their_bytes() {
    let files = Files::new();
    std::fs::create_dir_all(files.0.path().join("plugins/documents")).unwrap();
    std::fs::create_dir_all(files.0.path().join("plugins/blobs/sha256")).unwrap();
    files.write("plugins/documents/catalogue.json", CATALOGUE);
    let (digest, manifest) = ONE;
    files.write(&format!("plugins/blobs/sha256/{digest}"), manifest);
    let site = r#"(class "quote" (effect safe) (aim-ms 1000) (deadline-ms 4000))
        (route "quote/+" (class "quote") (function "{2}"))
        (plugins (folder "DIR/plugins") (admin "DIR/admin.sock") (scrub-mb-per-s 0))"#;
    let gateway = Gateway::start(&files.expand(site), &[]);
    let mut socket = UnixStream::connect(files.0.path().join("admin.sock")).unwrap();
    socket.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let mut answers = BufReader::new(socket.try_clone().unwrap());
    let (mut received, mut expected) = (String::new(), String::new());
    for (request, answer) in ANSWERS {
        writeln!(socket, "{request}").unwrap();
        answers.read_line(&mut received).unwrap();
        expected += &format!("{answer}\n");
    }
    assert_eq!(received, expected);
    drop(gateway);
}

fn membership_events() -> Vec<MembershipEvent> {
    let minimal = WorkerRecord {
        address: "127.0.0.1:9001".parse().unwrap(),
        zone: "default".into(),
        kind: "default".into(),
        cell: 0,
        weight: 1.0,
        state: MemberState::Ready,
        up_since_unix_ms: None,
    };
    let complete = WorkerRecord {
        zone: "hall-a".into(),
        kind: "small".into(),
        cell: 3,
        weight: 1.5,
        state: MemberState::Draining,
        up_since_unix_ms: Some(1_700_000_000_000.0),
        ..minimal.clone()
    };
    vec![
        MembershipEvent::Full(
            [("n1".to_string(), minimal.clone()), ("n2".to_string(), complete.clone())].into(),
        ),
        MembershipEvent::Remembered([("n1".to_string(), minimal)].into()),
        MembershipEvent::Changes(vec![("n2".into(), Some(complete)), ("n1".into(), None)]),
        MembershipEvent::Refused,
        MembershipEvent::Routers(3),
    ]
}

const RECORDED: &str = r#"{"at_us":0,"news":{"full":{"n1":{"address":"127.0.0.1:9001","zone":"default","kind":"default","cell":0,"weight":1.0,"state":"ready"},"n2":{"address":"127.0.0.1:9001","zone":"hall-a","kind":"small","cell":3,"weight":1.5,"state":"draining","up-since-unix-ms":1700000000000.0}}}}
{"at_us":250,"news":{"remembered":{"n1":{"address":"127.0.0.1:9001","zone":"default","kind":"default","cell":0,"weight":1.0,"state":"ready"}}}}
{"at_us":500,"news":{"changes":[["n2",{"address":"127.0.0.1:9001","zone":"hall-a","kind":"small","cell":3,"weight":1.5,"state":"draining","up-since-unix-ms":1700000000000.0}],["n1",null]]}}
{"at_us":750,"news":"refused"}
{"at_us":1000,"news":{"routers":3}}
"#;

#[test]
fn a_recorded_list_of_workers_keeps_its_bytes() {
    let files = Files::new();
    let path = files.0.path().join("record.jsonl");
    let mut recorder = Recorder::open(&path).unwrap();
    for (n, event) in membership_events().iter().enumerate() {
        recorder.record(Micros(7 + 250 * n as i64), event).unwrap();
    }
    assert_eq!(std::fs::read_to_string(path).unwrap(), RECORDED);
}

#[test]
fn a_recorded_list_of_workers_is_replayed_at_its_times() {
    let files = Files::new();
    let file = files.write("record.jsonl", RECORDED);
    let mut source = ReplaySource::open(Path::new(&file)).unwrap();
    let mut reactor = Reactor::new(1_024).unwrap();
    source.advance(Micros(90), &mut reactor);
    assert_eq!(source.take_membership_events(), membership_events()[..1]);
    source.advance(Micros(90 + 4 * 250), &mut reactor);
    assert_eq!(source.take_membership_events(), membership_events()[1..]);
}
