//! Settings derived from one document or from the meet of two, without a running router.

use super::support::documents::{COMMON, UNSAFE};
use super::KEYED;
use slatevalve::{ClassId, Effect, Group, Micros, WorkerState};
use slatevalve_config_versioning::{Document, LeaseExpiryPolicy};
use slatevalve_gateway::clock::Clock;
use slatevalve_gateway::settings::{Site, VersionedSettings};

/// Derives settings from documents as a router does.
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

/// The index of the class that charges are routed to, its effect, and the effects of all classes of that
/// name.
fn charge_class(site: &Site) -> (usize, Effect, Vec<Effect>) {
    let index = site.front.routes.find("charge/visa").unwrap().class.0;
    let effect = |at: usize| site.engine.balancer.classes[at].effect;
    let named = site.classes.iter().enumerate().filter(|(_, name)| *name == "charge");
    (index, effect(index), named.map(|(at, _)| effect(at)).collect())
}

#[test]
fn a_class_gets_a_new_index_only_if_its_rules_become_less_strict_for_open_calls() {
    let keyed = Effect::IdempotentWithKey { group: Group::All, memory: Micros(9_000_000) };
    let mut reader = SettingsReader::new();
    let (first, effect, _) = charge_class(&reader.site(&[UNSAFE], &[]));
    assert_eq!(effect, Effect::NonIdempotent);
    // Without open calls the class keeps its index when it becomes less strict, as it does when it becomes
    // stricter in the meet and after it.
    assert_eq!(charge_class(&reader.site(&[KEYED], &[])), (first, keyed, vec![keyed]));
    assert_eq!(
        charge_class(&reader.site(&[KEYED, UNSAFE], &[first])),
        (first, Effect::NonIdempotent, vec![Effect::NonIdempotent])
    );
    assert_eq!(charge_class(&reader.site(&[UNSAFE], &[first])).0, first);
    // With open calls the less strict rules apply only to new calls.
    let site = reader.site(&[KEYED], &[first]);
    let (second, effect, all) = charge_class(&site);
    assert!(second != first && effect == keyed && all.contains(&Effect::NonIdempotent) && all.len() == 2);
    assert_eq!(
        site.engine.key_spaces[first], site.engine.key_spaces[second],
        "both indexes share a key space"
    );
    assert_ne!(
        site.engine.key_spaces[first],
        site.engine.key_spaces[site.front.routes.find("quote/x").unwrap().class.0]
    );
    // Open calls of the earlier index get stricter rules with the class, never less strict ones.
    let shorter = KEYED.replace("9000", "4000");
    let (third, _, _) = charge_class(&reader.site(&[&shorter], &[first, second]));
    assert_eq!(third, second);
    let all = charge_class(&reader.site(&[UNSAFE], &[first, second])).2;
    assert_eq!(all, vec![Effect::NonIdempotent; 2]);
    // An index without open calls is reused, so that the number of classes does not grow with the number of
    // changes.
    for _ in 0..50 {
        let at = charge_class(&reader.site(&[UNSAFE], &[])).0;
        let site = reader.site(&[KEYED], &[at]);
        assert!(site.classes.len() <= 4, "{:?}", site.classes);
    }
}

#[test]
fn settings_of_two_documents_have_the_stricter_rule_of_each() {
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
    assert_eq!(
        states,
        [WorkerState::Draining; 2],
        "the documents differ on the cell of one worker and the existence of the other"
    );
    let after = SettingsReader::new().site(&[&two], &[]);
    assert!(after.workers.iter().all(|w| w.entry.state == WorkerState::Ready));
}
