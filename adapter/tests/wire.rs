//! Runs the adapter's binary on transcripts of the simulator's wire protocol and checks its replies and
//! errors.

use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_slatevalve-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // An adapter that has stopped on an earlier line closes the pipe.
        if writeln!(input, "{line}").is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(n: u64, at: f64, arrivals: Vec<Value>) -> String {
    json!({"batch": n, "at_time": at, "arrivals": arrivals}).to_string()
}

fn replies(lines: &[String]) -> Vec<Vec<Value>> {
    let out = run(lines);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    let reply = |l: &str| serde_json::from_str::<Value>(l).expect("a reply is JSON");
    text.lines().map(|l| reply(l)["cmds"].as_array().expect("commands").clone()).collect()
}

fn power_on() -> Value {
    json!({"m": "PowerOn", "i": "router/1", "random_seed": 9, "settings": {
        "categories": [{"name": "look-up", "aim": 500.0, "deadline": 2000.0, "effect": "pure", "points": 1.0},
            {"name": "book", "aim": 500.0, "deadline": 2000.0, "effect": "side_effect"},
            {"name": "mark", "aim": 500.0, "deadline": 2000.0, "effect": "token", "group": "cell", "key_ttl": 900.0}],
        "zones": ["north", "south"], "my_zone": "south", "machine_types": ["small"], "instances": 2, "step": 2.0,
        "family_info": {"if_cold": "load", "may_order": true, "linger_idle": 8000.0, "brand_new": [1, 2]},
        "limits": {"cancel": true, "max_attempts": 3, "second_copies": true},
        "rules": {"answer_slack": 8.0}, "some_new_key": {"a": null}}})
}

fn ledger(page: u64, worker: u64) -> Value {
    let entry = json!({"worker": worker, "az": "north", "machine": "small", "cluster": 3, "health": "SERVING",
        "power_hint": 1.5, "colour": "blue"});
    json!({"m": "Ledger", "page": page, "elements": [entry]})
}

fn members(scope: &str, page: u64) -> Value {
    json!({"m": "Members", "i": "router/1", "scope": scope, "seq_no": 1, "page": page})
}

fn knock(id: &str) -> Value {
    json!({"m": "Knock", "i": "router/1", "id": id, "budget": 1500.0, "kind": "look-up", "app": 77, "at_once": 2})
}

fn commands_of_kind<'a>(commands: &'a [Value], name: &str) -> Vec<&'a Value> {
    commands.iter().filter(|c| c["m"] == name).collect()
}

#[test]
fn a_request_is_sent_once_and_completed_by_its_answer() {
    let answer = json!({"m": "Answer", "i": "router/1", "id": "abc", "worker": 5, "rc": "GOOD", "lag": 40.0,
        "try": 0, "no_more": true, "server_stats": {"backlog": 2, "other": 1}});
    let got = replies(&[
        batch(1, 10.0, vec![]),
        batch(2, 10.5, vec![power_on(), ledger(0, 5), members("remembered", 0), knock("abc")]),
        batch(3, 50.5, vec![answer.clone(), answer, json!({"m": "Vanished", "i": "router/1", "id": "abc"})]),
    ]);
    assert!(got[0].is_empty());
    let sent = commands_of_kind(&got[1], "Deliver");
    assert_eq!((sent.len(), &sent[0]["id"], &sent[0]["worker"]), (1, &json!("abc"), &json!(5)));
    assert!(commands_of_kind(&got[1], "Remind").iter().all(|c| c["when"].as_f64() > Some(10.5)));
    assert!(got[2].is_empty(), "commands for a completed request: {:?}", got[2]);
}

#[test]
fn a_reused_page_number_refers_to_its_latest_list() {
    let arrivals =
        vec![power_on(), ledger(0, 5), members("remembered", 0), ledger(0, 6), members("all", 0), knock("a")];
    let got = replies(&[batch(1, 10.0, arrivals)]);
    assert_eq!(commands_of_kind(&got[0], "Deliver")[0]["worker"], 6);
}

#[test]
fn an_instance_that_restarts_within_a_batch_starts_empty() {
    let stop = json!({"m": "Exit", "i": "router/1"});
    let arrivals = vec![
        power_on(),
        ledger(0, 5),
        members("remembered", 0),
        knock("old"),
        stop,
        power_on(),
        members("remembered", 0),
        knock("new"),
    ];
    let got = replies(&[batch(1, 10.0, arrivals)]);
    let ids: Vec<_> = commands_of_kind(&got[0], "Deliver").iter().map(|c| c["id"].clone()).collect();
    assert_eq!(ids, ["new"], "commands of the stopped instance were not discarded");
}

#[test]
fn every_outcome_is_decoded() {
    for rc in ["GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP", "MISS"] {
        let answer =
            json!({"m": "Answer", "i": "router/1", "id": "a", "worker": 5, "rc": rc, "lag": 4.0, "try": 0});
        let on = vec![power_on(), ledger(0, 5), members("remembered", 0), knock("a")];
        assert_eq!(replies(&[batch(1, 10.0, on), batch(2, 14.0, vec![answer])]).len(), 2, "{rc}");
    }
}

#[test]
fn unknown_events_and_events_of_unknown_requests_are_ignored() {
    let unknown = json!({"m": "SomethingNew", "i": "router/1", "x": 1});
    let late = json!({"m": "Answer", "i": "router/1", "id": "nobody", "worker": 5, "rc": "GOOD", "try": 0});
    let got = replies(&[batch(1, 10.0, vec![power_on(), unknown, late, members("refused", 9)])]);
    assert!(commands_of_kind(&got[0], "Deliver").is_empty());
}

/// Each malformed input must be reported by one line on the standard error that contains the given words.
#[test]
fn malformed_input_is_reported_in_one_line() {
    let on = || vec![power_on(), ledger(0, 5), members("remembered", 0)];
    let with = |v: Value| {
        let mut all = on();
        all.push(v);
        batch(7, 10.0, all)
    };
    let without = |name: &str| {
        let mut v = knock("a");
        v.as_object_mut().expect("an object").remove(name);
        with(v)
    };
    let cases = [
        ("{\"batch\":7,".to_string(), vec!["batch", "JSON"]),
        ("[1]".to_string(), vec!["batch", "object"]),
        (json!({"batch": 7, "arrivals": []}).to_string(), vec!["batch 7", "at_time"]),
        (json!({"batch": 7, "at_time": 1.0}).to_string(), vec!["batch 7", "arrivals"]),
        (without("id"), vec!["batch 7", "Knock", "id"]),
        (without("budget"), vec!["batch 7", "Knock", "budget"]),
        (without("kind"), vec!["batch 7", "Knock", "kind"]),
        (without("app"), vec!["batch 7", "Knock", "app"]),
        (without("i"), vec!["batch 7", "Knock", "'i'"]),
        (with(members("all", 9)), vec!["batch 7", "page"]),
        (with(members("odd", 0)), vec!["batch 7", "scope"]),
        (with(json!({"m": "Reminder", "i": "router/1", "key_back": "x"})), vec!["batch 7", "key_back"]),
        (with(json!({"m": "Probed", "i": "router/1", "worker": 5, "rc": "FINE"})), vec!["batch 7", "rc"]),
        (
            batch(7, 1.0, vec![json!({"m": "Reminder", "i": "router/8", "key_back": 1})]),
            vec!["batch 7", "router/8"],
        ),
    ];
    for (line, words) in cases {
        let out = run(std::slice::from_ref(&line));
        let message = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(!out.status.success(), "accepted: {line}");
        assert_eq!(message.lines().count(), 1, "{message}");
        for word in words {
            assert!(message.contains(word), "'{word}' is not in: {message}");
        }
    }
}
