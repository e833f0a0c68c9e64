//! The evaluation of results against the expectations of a script.

use super::*;

const SCRIPT: &str = r#"
(name "t") (seconds 4)
(registry "kv")
(link "net" (to "kv"))
(routers "r" (count 2) (by "net"))
(expect (listed-within-s 1) (drains-within-ms 250) (requests-in-200ms "net" (most 10))
  (connections-in-200ms "net" (most 5)) (steady-requests-per-second "net" (from-s 2) (most 3)))
"#;

fn router(name: &str, listed_us: i64, drain_us: i64) -> RouterRun {
    RouterRun {
        name: name.into(),
        ended_us: 4_000_000,
        listed_us: Some(listed_us),
        drains: vec![DrainNotice { worker: "w".into(), at_us: drain_us }],
        ..RouterRun::default()
    }
}

fn bucket(at_us: i64, connections: u64, requests: u64) -> Bucket {
    Bucket { at_us, connections, requests: [("range".to_string(), requests)].into(), ..Bucket::default() }
}

fn report(routers: Vec<RouterRun>, buckets: Vec<Bucket>, crashed: Vec<String>) -> Report {
    let script = Script::parse("t", SCRIPT).unwrap();
    let traffic = [("net".to_string(), buckets)].into();
    let drain_commands = vec![DrainCommand { worker: "w".into(), succeeded_us: Some(2_000_000) }];
    Report::new(&script, Results { seed: 1, start_us: 0, routers, traffic, drain_commands, crashed })
}

#[test]
fn results_within_every_bound_meet_the_expectations() {
    let routers = vec![router("r-0", 900_000, 2_200_000), router("r-1", 10, 2_000_001)];
    let report = report(routers, vec![bucket(0, 3, 5), bucket(100_000, 2, 5), bucket(200_000, 2, 5)], vec![]);
    assert_eq!(report.unmet, []);
    assert_eq!(report.links["net"].peak.requests, 10);
}

#[test]
fn each_exceeded_bound_is_reported_alone() {
    let good = || vec![router("r-0", 900_000, 2_200_000)];
    let unmet = |report: Report| report.unmet.iter().map(|unmet| unmet.expected.clone()).collect::<Vec<_>>();
    let late = unmet(report(vec![router("r-0", 1_100_000, 2_200_000)], vec![], vec![]));
    assert!(late.len() == 1 && late[0].contains("receives its first list within"), "{late:?}");
    let late_drain = unmet(report(vec![router("r-0", 900_000, 2_300_000)], vec![], vec![]));
    assert!(late_drain.len() == 1 && late_drain[0].contains("drain of w"), "{late_drain:?}");
    let request_peak = unmet(report(good(), vec![bucket(0, 1, 6), bucket(100_000, 1, 5)], vec![]));
    assert!(
        request_peak.len() == 1 && request_peak[0].contains("requests on net in any"),
        "{request_peak:?}"
    );
    let connection_peak = unmet(report(good(), vec![bucket(0, 6, 0)], vec![]));
    assert!(connection_peak.len() == 1 && connection_peak[0].contains("connections"), "{connection_peak:?}");
    let request_rate = unmet(report(good(), (20..40).map(|n| bucket(n * 100_000, 0, 4)).collect(), vec![]));
    assert!(request_rate.len() == 1 && request_rate[0].contains("per second"), "{request_rate:?}");
    let crash = unmet(report(good(), vec![], vec!["r-0".into()]));
    assert!(crash.len() == 1 && crash[0].contains("runs until"), "{crash:?}");
}

#[test]
fn a_paused_router_is_excluded_from_the_drain_check() {
    let mut paused = router("r-0", 900_000, 3_900_000);
    paused.pauses = vec![PausePeriod { from_us: 1_900_000, to_us: 3_000_000 }];
    let report = report(vec![paused, router("r-1", 10, 2_000_001)], vec![], vec![]);
    assert_eq!(report.drains[0].learned_after_ms.len(), 1);
    assert!(report.is_good());
}
