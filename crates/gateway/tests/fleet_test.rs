//! Small fleet tests: several processes of the program, faults between them, and the expected results. Bounds
//! are counts and orders of events; the times in them are wide, so that a busy machine changes no result. The
//! tests run one at a time.

mod support;

use serde_json::Value;
use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Output};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Held by the running test.
static RUNNING: Mutex<()> = Mutex::new(());

const SITE: &str = r#"(settings (class "quote" (effect safe) (aim-ms 400) (deadline-ms 1500))
    (route "calls/+" (class "quote") (function "{2}")))"#;

/// Waits until no other test of this file runs.
fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a script, with `SITE` in it replaced by [`SITE`].
fn run_script(script: &str, arguments: &[&str]) -> Output {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("script.scm");
    fs::write(&file, script.replace("SITE", SITE)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatevalve"));
    command.args(["--log-level", "warn", "fleet-test"]).arg(&file).args(arguments).output().unwrap()
}

/// Runs a script whose expectations must all be met, and returns the report.
fn successful_report(script: &str) -> Value {
    let output = run_script(script, &["--json"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let printed: Value = serde_json::from_str(&text).unwrap_or_else(|e| {
        panic!("{e}: {text}{}", String::from_utf8_lossy(&output.stderr));
    });
    let report = printed["report"].clone();
    assert!(output.status.success(), "{}", report["findings"]);
    report
}

fn requests(report: &Value, link: &str, path: &str) -> u64 {
    report["links"][link]["requests"][path].as_u64().unwrap_or(0)
}

#[test]
fn routers_started_together_all_receive_a_drain_with_one_watch_each() {
    let _running = run_alone();
    let report = successful_report(
        r#"(name "together") (seconds 4)
        (registry "kv" (entries 20)) (link "net" (to "kv"))
        (routers "r" (count 8) (by "net") SITE)
        (event (at-s 2) (drain "w-3"))
        (expect (listed-within-s 3) (drains-within-ms 1500))"#,
    );
    assert_eq!(report["drains"][0][2].as_array().unwrap().len(), 8);
    assert_eq!(requests(&report, "net", "watch"), 8);
    assert_eq!(requests(&report, "net", "put"), 8);
}

#[test]
fn a_drain_while_a_link_drops_answers_is_received_after_a_new_watch() {
    let _running = run_alone();
    // From 1 to 4 s requests reach the service but its answers are dropped. The connections stay open, so
    // that the routers have to notice the silence by themselves.
    let report = successful_report(
        r#"(name "deaf") (seconds 8)
        (registry "kv" (entries 20)) (link "net" (to "kv"))
        (routers "r" (count 4) (by "net") (members (timeout-ms 500) (look-ms 300)) SITE)
        (fault (at-s 1) (for-s 3) (link "net") (drop answers))
        (event (at-s 2) (drain "w-3"))
        (expect (drains-within-ms 5500))"#,
    );
    assert_eq!(report["drains"][0][2].as_array().unwrap().len(), 4);
    assert!(requests(&report, "net", "watch") >= 8, "{}", report["links"]["net"]["requests"]);
}

#[test]
fn restarted_routers_start_from_their_stored_lists_and_fetch_only_the_changes() {
    let _running = run_alone();
    let report = successful_report(
        r#"(name "restart") (seconds 6)
        (registry "kv" (entries 400)) (link "net" (to "kv"))
        (routers "r" (count 4) (by "net") (remember yes) SITE)
        (event (at-s 2) (kill "r"))
        (event (at-s 2.5) (drain "w-3"))
        (event (at-s 3) (start "r"))
        (expect (listed-within-s 2.5))"#,
    );
    // A list of 400 workers takes some 70 kB; each router fetched it once.
    let bytes = report["links"]["net"]["bytes"].as_u64().unwrap();
    assert!((4 * 40_000..8 * 60_000).contains(&bytes), "{bytes} bytes");
    let second: Vec<&Value> =
        report["routers"].as_array().unwrap().iter().filter(|r| r["killed"] == false).collect();
    assert_eq!(second.len(), 4);
    assert!(second.iter().all(|r| r["first_list_us"].as_i64() <= r["listed_us"].as_i64()));
}

#[test]
fn no_drain_is_missed_after_a_registry_stall_at_startup_or_a_paused_router() {
    let _running = run_alone();
    let report = successful_report(
        r#"(name "late") (seconds 9)
        (registry "kv" (entries 20)) (link "net" (to "kv"))
        (routers "r" (count 4) (by "net") (members (timeout-ms 500)) SITE)
        (fault (at-s 0) (for-s 2) (registry "kv") (kind stall))
        (event (at-s 5) (pause "r" (part 0.5)))
        (event (at-s 5.5) (drain "w-3"))
        (event (at-s 6.5) (go-on "r"))
        (expect (listed-within-s 5))"#,
    );
    for router in report["routers"].as_array().unwrap() {
        let received_drain = router["drains"].as_array().unwrap().iter().any(|d| d[0] == "w-3");
        assert!(received_drain, "{router}");
    }
}

#[test]
fn no_drain_is_missed_after_a_relay_is_killed_and_another_paused_and_routers_fall_back_to_the_registry() {
    let _running = run_alone();
    let report = successful_report(
        r#"(name "relays") (seconds 9)
        (registry "kv" (entries 20)) (link "direct" (to "kv"))
        (relays "a" (count 1) (by "kv")) (relays "b" (count 1) (by "kv"))
        (routers "r" (count 6) (by "direct") (relays "a" "b") (members (timeout-ms 1000) (look-ms 300)) SITE)
        (event (at-s 2) (kill "a"))
        (event (at-s 3) (drain "w-1"))
        (event (at-s 4) (pause "b"))
        (event (at-s 5) (drain "w-2"))
        (expect (listed-within-s 2) (drains-within-ms 3500))"#,
    );
    let receivers: Vec<usize> =
        report["drains"].as_array().unwrap().iter().map(|d| d[2].as_array().unwrap().len()).collect();
    assert_eq!(receivers, [6, 6]);
    // No router contacted the registry directly while a relay was available, and none fetched the list again.
    let paused_us = report["start_us"].as_i64().unwrap() + 4_000_000;
    let buckets = report["links"]["direct"]["buckets"].as_array().unwrap();
    assert!(buckets.iter().all(|b| b["at_us"].as_i64().unwrap() >= paused_us - 100_000), "{buckets:?}");
    assert_eq!(requests(&report, "direct", "watch"), 6);
}

#[test]
fn routers_leave_a_relay_that_lost_its_registry_before_they_miss_a_drain() {
    let _running = run_alone();
    let report = successful_report(
        r#"(name "lost") (seconds 8)
        (registry "kv" (entries 20)) (link "direct" (to "kv")) (link "up" (to "kv"))
        (relays "a" (count 1) (by "up"))
        (routers "r" (count 4) (by "direct") (relays "a") SITE)
        (fault (at-s 1.5) (for-s 9) (link "up") (drop answers))
        (event (at-s 5.5) (drain "w-1"))
        (expect (listed-within-s 2) (drains-within-ms 2000))"#,
    );
    assert_eq!(report["drains"][0][2].as_array().unwrap().len(), 4);
    assert_eq!(requests(&report, "direct", "watch"), 4);
}

#[test]
fn a_failed_expectation_exits_with_1_and_an_invalid_script_with_2() {
    let _running = run_alone();
    let output = run_script(
        r#"(name "never") (seconds 2)
        (registry "kv" (entries 5)) (link "net" (to "kv"))
        (fault (at-s 0) (for-s 9) (link "net") (drop questions))
        (routers "r" (count 2) (by "net") SITE)
        (expect (listed-within-s 1))"#,
        &[],
    );
    assert_eq!(output.status.code(), Some(1), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(String::from_utf8_lossy(&output.stdout).contains("2 of 2 router runs do not"));
    let invalid = run_script("(name \"x\") (seconds 1)\n(registry \"kv\")\n(link \"net\" (to \"vk\"))", &[]);
    let error = String::from_utf8_lossy(&invalid.stderr).into_owned();
    assert_eq!(invalid.status.code(), Some(2));
    assert!(
        error.contains("script.scm:3: (to") && error.contains("group vk is not defined before"),
        "{error}"
    );
}

#[test]
fn a_fleet_test_that_is_killed_leaves_no_process_behind() {
    let _running = run_alone();
    let directory = tempfile::tempdir().unwrap();
    let (file, keep) = (directory.path().join("script.scm"), directory.path().join("kept"));
    let script = r#"(name "cut") (seconds 60) (registry "kv") (routers "r" (count 1) (by "kv") SITE)"#;
    fs::write(&file, script.replace("SITE", SITE)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatevalve"));
    let mut child = command.arg("fleet-test").arg(&file).arg("--keep").arg(&keep).spawn().unwrap();
    let deadline = Instant::now() + Duration::from_secs(20);
    let address = loop {
        assert!(Instant::now() < deadline, "no router was started within 20 s");
        let settings = fs::read_to_string(keep.join("now/r-0.scm")).unwrap_or_default();
        let found = settings.split("(registry \"").nth(1).and_then(|rest| rest.split('"').next());
        if let Some(address) = found {
            break address.parse::<SocketAddr>().unwrap();
        }
        sleep(Duration::from_millis(20));
    };
    assert!(TcpStream::connect(address).is_ok());
    child.kill().unwrap();
    child.wait().unwrap();
    while TcpStream::connect(address).is_ok() {
        assert!(Instant::now() < deadline, "the registry at {address} outlived its fleet test");
        sleep(Duration::from_millis(20));
    }
}

/// Operators' scripts call the commands by their earlier names.
#[test]
fn the_earlier_names_of_the_commands_still_work_and_are_not_listed() {
    let help = String::from_utf8(support::command(&["--help"]).stdout).unwrap();
    for (earlier, name) in [("badday", "chaos-test"), ("rehearsal", "fleet-test")] {
        let output = support::command(&[earlier, "--help"]);
        assert!(output.status.success(), "{earlier}");
        assert_eq!(output.stdout, support::command(&[name, "--help"]).stdout);
        let listed = |command: &str| help.lines().any(|l| l.split_whitespace().next() == Some(command));
        assert!(listed(name) && !listed(earlier), "{help}");
    }
}
