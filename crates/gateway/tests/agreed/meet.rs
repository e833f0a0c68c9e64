//! The settings that follow from one document or from the meet of two, without a running router.

use super::support::documents::{COMMON, UNSAFE};
use super::KEYED;
use slatevalve::{ClassId, Effect, Group, Micros, WorkerState};
use slatevalve_config_versioning::{Document, LeaseExpiryPolicy};
use slatevalve_gateway::clock::Clock;
use slatevalve_gateway::settings::{Site, VersionedSettings};

/// A router's reading of documents, without a router.
struct SettingsReader(VersionedSettings);

impl SettingsReader {
    fn new() -> Self {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("own.scm");
        std::fs::write(
            &file,
            "(gateway (name \"g\")) (mqtt (listen \"127.0.0.1:0\")) (agreed (registry \"127.0.0.1:1\"))",
        )
        .unwrap();
        SettingsReader(VersionedSettings::read(&file).unwrap().unwrap().1)
    }

    fn site(&mut self, texts: &[&str], open: &[usize]) -> Site {
        let document = |(n, text): (usize, &&str)| {
            let (text, digest, who, why) =
                (format!("{text}{COMMON}"), String::new(), String::new(), String::new());
            let (number, expiry_policy, lease_us) = (n as u64 + 1, LeaseExpiryPolicy::GoOn, 1);
            Document { number, parent: 0, digest, text, who, why, expiry_policy, lease_us }
        };
        let documents: Vec<_> = texts.iter().enumerate().map(document).collect();
        let open = open.iter().map(|c| ClassId(*c)).collect();
        let clock = Clock::start();
        self.0.site(&documents.iter().collect::<Vec<_>>(), &open, &clock).unwrap()
    }
}

/// The place of the class of charges, its effect, and the effect of every place of that name.
fn charge(site: &Site) -> (usize, Effect, Vec<Effect>) {
    let place = site.front.routes.find("charge/visa").unwrap().class.0;
    let effect = |at: usize| site.engine.balancer.classes[at].effect;
    let named = site.classes.iter().enumerate().filter(|(_, name)| *name == "charge");
    (place, effect(place), named.map(|(at, _)| effect(at)).collect())
}

#[test]
fn a_class_gets_another_place_only_where_open_calls_would_be_loosened() {
    let keyed = Effect::IdempotentWithKey { group: Group::All, memory: Micros(9_000_000) };
    let mut reader = SettingsReader::new();
    let (first, effect, _) = charge(&reader.site(&[UNSAFE], &[]));
    assert_eq!(effect, Effect::NonIdempotent);
    // Nothing is open: it becomes looser in its place, and stricter in the meet and after it.
    assert_eq!(charge(&reader.site(&[KEYED], &[])), (first, keyed, vec![keyed]));
    assert_eq!(
        charge(&reader.site(&[KEYED, UNSAFE], &[first])),
        (first, Effect::NonIdempotent, vec![Effect::NonIdempotent])
    );
    assert_eq!(charge(&reader.site(&[UNSAFE], &[first])).0, first);
    // Calls are open: what is looser is for those that come.
    let site = reader.site(&[KEYED], &[first]);
    let (second, effect, all) = charge(&site);
    assert!(second != first && effect == keyed && all.contains(&Effect::NonIdempotent) && all.len() == 2);
    assert_eq!(site.engine.key_spaces[first], site.engine.key_spaces[second], "the keys are the same");
    assert_ne!(
        site.engine.key_spaces[first],
        site.engine.key_spaces[site.front.routes.find("quote/x").unwrap().class.0]
    );
    // Open calls of the earlier place become stricter with the class, never looser.
    let shorter = KEYED.replace("9000", "4000");
    let (third, _, _) = charge(&reader.site(&[&shorter], &[first, second]));
    assert_eq!(third, second);
    let all = charge(&reader.site(&[UNSAFE], &[first, second])).2;
    assert_eq!(all, vec![Effect::NonIdempotent; 2]);
    // A place that nobody has calls in is used again: places do not grow with the number of changes.
    for _ in 0..50 {
        let at = charge(&reader.site(&[UNSAFE], &[])).0;
        let site = reader.site(&[KEYED], &[at]);
        assert!(site.classes.len() <= 4, "{:?}", site.classes);
    }
}

#[test]
fn the_rules_of_two_documents_are_the_strictest_of_both() {
    let one = format!("{UNSAFE}(limits (max-attempts 2)) (rules (drain-grace-ms 300)) (worker \"w\" (address \"127.0.0.1:1\") (cell 1))
        (loading (ration (window-ms 1000) (free 5) (share 0.5)))");
    let two = format!("{KEYED}(limits (max-attempts 5)) (rules (drain-grace-ms 200)) (worker \"w\" (address \"127.0.0.1:1\") (cell 2))
        (worker \"new\" (address \"127.0.0.1:2\")) (loading (ration (window-ms 2000) (free 9) (share 0.1)))");
    let site = SettingsReader::new().site(&[&one, &two], &[]);
    let balancer = &site.engine.balancer;
    assert_eq!((balancer.limits.max_attempts, balancer.rules.drain_grace.0), (2, 200_000));
    let loading = &balancer.loading;
    assert_eq!(
        (loading.load_quota_window.0, loading.load_quota_free, loading.load_quota_share),
        (2_000_000, 5.0, 0.1)
    );
    let states: Vec<_> = site.workers.iter().map(|w| w.entry.state).collect();
    assert_eq!(states, [WorkerState::Draining; 2], "where one is and whether the other is there is in doubt");
    let after = SettingsReader::new().site(&[&two], &[]);
    assert!(after.workers.iter().all(|w| w.entry.state == WorkerState::Ready));
}
