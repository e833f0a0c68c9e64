//! Tests of the catalogue and of rollouts through their public interface.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use slatevalve_plugins::*;

fn manifest(version: &str) -> (Manifest, Digest) {
    let layer = LayerRef { digest: Digest::of(version.as_bytes()), size: version.len() as u64 };
    let manifest = Manifest {
        name: "fare".into(),
        version: version.into(),
        tenant: None,
        class: "quote".into(),
        effect: None,
        concurrency: 1,
        memory_mb: 0.0,
        load_ms: 0.0,
        engine: None,
        layers: vec![layer],
    };
    let digest = Digest::of(&serde_json::to_vec(&manifest).unwrap());
    (manifest, digest)
}

fn catalogue_with(versions: &[&str]) -> Catalogue {
    let mut catalogue = Catalogue::default();
    for version in versions {
        let (manifest, digest) = manifest(version);
        catalogue.publish(manifest, digest).unwrap();
        catalogue.complete("fare", version).unwrap();
    }
    catalogue
}

fn resolve(catalogue: &Catalogue, reference: &str) -> Result<String, CatalogueError> {
    catalogue.resolve(&reference.parse().unwrap()).map(|r| r.version)
}

#[test]
fn the_four_forms_of_a_reference_resolve_to_their_version() {
    let mut c = catalogue_with(&["1", "2"]);
    c.move_alias("fare", CURRENT, "1", None, "anna", 5).unwrap();
    c.move_alias("fare", CURRENT, "2", None, "anna", 6).unwrap();
    let digest = manifest("1").1;
    for (reference, version) in
        [("fare", "2"), ("fare@previous", "1"), ("fare@1", "1"), (&format!("fare@{digest}"), "1")]
    {
        assert_eq!(resolve(&c, reference), Ok(version.to_string()), "{reference}");
    }
    assert!(matches!(resolve(&c, "fare@3"), Err(CatalogueError::UnknownVersion(_))));
    assert!(matches!(resolve(&c, "trip"), Err(CatalogueError::UnknownFunction(_))));
}

#[test]
fn an_alias_does_not_move_to_a_missing_incomplete_or_quarantined_version() {
    let mut c = catalogue_with(&["1"]);
    c.move_alias("fare", CURRENT, "1", None, "anna", 0).unwrap();
    let (manifest, digest) = manifest("2");
    assert!(matches!(
        c.move_alias("fare", CURRENT, "2", None, "b", 0),
        Err(CatalogueError::UnknownVersion(_))
    ));
    c.publish(manifest, digest).unwrap();
    assert!(matches!(c.move_alias("fare", CURRENT, "2", None, "b", 0), Err(CatalogueError::Partial(_))));
    c.complete("fare", "2").unwrap();
    c.quarantine(digest, "layer 1 does not match", 0);
    assert!(matches!(c.move_alias("fare", CURRENT, "2", None, "b", 0), Err(CatalogueError::Quarantined(_))));
    assert_eq!(resolve(&c, "fare"), Ok("1".into()));
    c.complete("fare", "2").unwrap();
    assert!(
        c.move_alias("fare", CURRENT, "2", None, "b", 0).is_ok(),
        "a verified pull did not end the quarantine"
    );
}

#[test]
fn of_two_concurrent_moves_of_an_alias_the_second_fails() {
    let mut c = catalogue_with(&["1", "2", "3"]);
    let seen = c.move_alias("fare", CURRENT, "1", Some(0), "anna", 0).unwrap();
    c.move_alias("fare", CURRENT, "2", Some(seen), "anna", 0).unwrap();
    assert_eq!(c.move_alias("fare", CURRENT, "3", Some(seen), "bert", 0), Err(CatalogueError::Stale(2)));
    assert_eq!(resolve(&c, "fare"), Ok("2".into()));
}

#[test]
fn history_keeps_its_order_when_the_clock_jumps_and_survives_a_restart() {
    let mut c = catalogue_with(&["1", "2"]);
    for (n, at) in [9_000, -5, 100].into_iter().enumerate() {
        c.move_alias("fare", CURRENT, if n % 2 == 0 { "1" } else { "2" }, None, "anna", at).unwrap();
    }
    let c: Catalogue = serde_json::from_str(&serde_json::to_string(&c).unwrap()).unwrap();
    let moves = c.history("fare", CURRENT).unwrap();
    assert_eq!(
        moves.iter().map(|m| (m.revision, m.at_ms)).collect::<Vec<_>>(),
        [(1, 9_000), (2, -5), (3, 100)]
    );
    assert_eq!(
        (moves[2].from.as_deref(), moves[2].to.as_str(), moves[2].who.as_str()),
        (Some("2"), "1", "anna")
    );
}

#[test]
fn a_version_is_immutable_and_shares_no_name_with_an_alias() {
    let mut c = catalogue_with(&["1"]);
    let (mut other, _) = manifest("1");
    other.concurrency = 9;
    assert!(matches!(c.publish(other, Digest::of(b"other")), Err(CatalogueError::VersionTaken(_))));
    c.move_alias("fare", "night", "1", None, "anna", 0).unwrap();
    let (night, digest) = manifest("night");
    assert!(matches!(c.publish(night, digest), Err(CatalogueError::NameTaken(_))));
    assert!(matches!(c.move_alias("fare", "1", "1", None, "anna", 0), Err(CatalogueError::NameTaken(_))));
}

#[test]
fn a_deleted_version_keeps_its_content_while_a_call_is_open() {
    let mut c = catalogue_with(&["1", "2"]);
    let digest = manifest("1").1;
    c.move_alias("fare", "night", "1", None, "anna", 0).unwrap();
    assert_eq!(c.delete("fare", "1"), Err(CatalogueError::InUse("night".into())));
    c.move_alias("fare", "night", "2", None, "anna", 0).unwrap();
    c.call_opened(digest);
    c.delete("fare", "1").unwrap();
    assert!(resolve(&c, "fare@1").is_err());
    assert!(c.reachable().contains(&digest) && c.reachable().contains(&Digest::of(b"1")));
    c.call_closed(digest);
    assert!(!c.reachable().contains(&digest) && c.reachable().contains(&Digest::of(b"2")));
}

fn ended(side: Side, served: bool, late: bool) -> Observation {
    Observation::CallEnded { side, served, late }
}

#[test]
fn the_fraction_of_calls_grows_with_the_loaded_copies_and_never_exceeds_them() {
    let mut r = Rollout::new(RolloutSettings::default(), 0, 4);
    assert_eq!((r.load_request(), r.side(0.0)), (RolloutRequest::Copies(2), Side::Old));
    r.observe(0, Observation::LoadRequested);
    r.observe(0, Observation::LoadRequested);
    assert_eq!(r.load_request(), RolloutRequest::Nothing, "more than two load requests were open");
    r.observe(200_000, Observation::CopyLoaded);
    assert_eq!((r.state(), r.side(0.05), r.side(0.2)), (RolloutState::Moving(0.1), Side::New, Side::Old));
    let mut now = 200_000;
    for _ in 0..40 {
        now += 100_000;
        (0..5).for_each(|_| r.observe(now, ended(Side::New, true, false)));
    }
    assert_eq!(r.state(), RolloutState::Moving(0.25), "the fraction is not that of one loaded copy of four");
    for _ in 0..3 {
        r.observe(now, Observation::CopyLoaded);
    }
    let mut end = None;
    while end.is_none() && now < 20_000_000 {
        now += 500_000;
        end = r.advance(now);
    }
    assert_eq!((end, r.side(0.99)), (Some(RolloutOutcome::Completed), Side::New));
}

#[test]
fn a_new_version_that_fails_or_is_late_is_rolled_back_once() {
    for (served, late) in [(false, false), (true, true)] {
        let mut r = Rollout::new(RolloutSettings::default(), 0, 1);
        r.observe(0, Observation::CopyLoaded);
        (0..200).for_each(|_| r.observe(1, ended(Side::Old, true, false)));
        (0..40).for_each(|_| r.observe(1, ended(Side::New, served, late)));
        assert!(matches!(r.state(), RolloutState::Ended(RolloutOutcome::RolledBack(_))));
        assert_eq!((r.side(0.0), r.load_request()), (Side::Old, RolloutRequest::Nothing));
        assert!(matches!(
            (r.advance(9_000_000), r.advance(9_000_001)),
            (Some(RolloutOutcome::RolledBack(_)), None)
        ));
    }
}

#[test]
fn overload_that_affects_both_versions_causes_no_rollback() {
    let mut r = Rollout::new(RolloutSettings::default(), 0, 1);
    r.observe(0, Observation::CopyLoaded);
    for n in 0..400 {
        r.observe(1, ended(Side::Old, n % 2 == 0, n % 3 == 0));
        r.observe(1, ended(Side::New, n % 2 == 0, n % 3 == 0));
    }
    assert!(matches!(r.state(), RolloutState::Moving(_)), "{:?}", r.state());
}

#[test]
fn a_rollout_stalls_while_calls_of_the_new_version_hang_and_continues_without_calls() {
    for hangs in [true, false] {
        let mut r = Rollout::new(RolloutSettings::default(), 0, 1);
        r.observe(0, Observation::CopyLoaded);
        if hangs {
            r.observe(1, Observation::CallStarted(Side::New));
        }
        let end = (1..100).find_map(|n| r.advance(n * 500_000));
        assert_eq!(end, if hangs { None } else { Some(RolloutOutcome::Completed) });
        assert_eq!(r.side(0.2), if hangs { Side::Old } else { Side::New });
    }
}

#[test]
fn a_rollout_stalls_after_failed_calls_too_few_to_compare() {
    let mut r = Rollout::new(RolloutSettings::default(), 0, 1);
    r.observe(0, Observation::CopyLoaded);
    r.observe(1, ended(Side::New, false, false));
    assert_eq!((1..100).find_map(|n| r.advance(n * 500_000)), None);
    assert_eq!(r.state(), RolloutState::Moving(0.1));
}

#[test]
fn a_rollout_without_a_loaded_copy_times_out_and_corrupt_content_ends_it_at_once() {
    let mut r = Rollout::new(RolloutSettings::default(), 0, 2);
    r.observe(0, Observation::LoadRequested);
    r.observe(1, Observation::LoadFailed);
    assert_eq!(r.load_request(), RolloutRequest::Copies(2));
    assert!(matches!(r.advance(30_000_000), Some(RolloutOutcome::RolledBack(_))));
    let mut r = Rollout::new(RolloutSettings::default(), 0, 2);
    r.observe(0, Observation::CopyLoaded);
    r.observe(0, Observation::Corrupt);
    assert_eq!(r.side(0.0), Side::Old);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(21), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// For any observations and any clock steps: the fraction shrinks only by the rollback, it never exceeds
    /// the fraction of loaded copies, open load requests stay within their limit, and an outcome is final.
    #[test]
    fn a_rollout_keeps_its_invariants(
        steps in prop::collection::vec((0u8..8, -300_000i64..900_000), 1..300),
    ) {
        let settings = RolloutSettings::default();
        let mut r = Rollout::new(settings, 0, 3);
        let (mut now, mut requested, mut fraction, mut outcome) = (0, 0usize, 0.0, None);
        for (kind, elapsed) in steps {
            now += elapsed;
            if let RolloutRequest::Copies(copies) = r.load_request() {
                prop_assert!(requested + copies <= settings.max_load_requests);
            }
            match kind {
                0 if r.load_request() != RolloutRequest::Nothing => {
                    r.observe(now, Observation::LoadRequested);
                    requested += 1;
                }
                1 if requested > 0 => { r.observe(now, Observation::CopyLoaded); requested -= 1; }
                2 if requested > 0 => { r.observe(now, Observation::LoadFailed); requested -= 1; }
                3 | 4 => r.observe(now, ended(Side::New, true, false)),
                5 => r.observe(now, ended(Side::New, false, false)),
                6 => r.observe(now, ended(Side::Old, true, false)),
                _ => { r.advance(now); }
            }
            let (loaded, needed) = r.copies();
            match r.state() {
                RolloutState::Preparing => prop_assert_eq!(fraction, 0.0),
                RolloutState::Moving(p) => {
                    prop_assert!(p >= fraction && p <= (loaded as f64 / needed as f64).min(1.0));
                    fraction = p;
                }
                RolloutState::Ended(end) => prop_assert_eq!(*outcome.get_or_insert(end), end),
            }
            prop_assert!(outcome.is_none() || matches!(r.state(), RolloutState::Ended(_)));
        }
    }
}
