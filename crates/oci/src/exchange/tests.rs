use super::*;

fn url(text: &str) -> Url {
    Url::parse(text).unwrap()
}

fn exchange(policy: Policy) -> Exchange {
    let credentials = Some(Credentials { user: "u".into(), password: "p".into() });
    Exchange::new(0, policy, credentials, 1, RegistryRequest::get(url("http://r:5000/v2/a/blobs/x")))
}

fn head(status: u16, headers: &[(&str, &str)]) -> Head {
    let headers = headers.iter().map(|(n, v)| (n.to_string(), v.as_bytes().to_vec())).collect();
    Head { status, headers, ..Head::default() }
}

fn sent(exchange: &mut Exchange, now_us: i64) -> (String, u16, String) {
    match exchange.next(now_us) {
        Ok(Next::Send(r)) => (r.host, r.port, String::from_utf8(r.bytes).unwrap()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn waits_grow_keep_to_what_the_registry_asks_and_end() {
    let policy =
        Policy { initial_backoff_us: 100, max_backoff_us: 1_000_000, max_attempts: 4, ..Policy::default() };
    let mut e = exchange(policy);
    sent(&mut e, 0);
    assert_eq!(e.head(0, &head(503, &[("Retry-After", "1")])), Ok(HeadOutcome::Consumed));
    assert_eq!(e.next(10), Ok(Next::Wait(1_000_000)));
    sent(&mut e, 1_000_000);
    e.attempt_failed(1_000_000, AttemptFailure::ConnectionClosed).unwrap();
    let Ok(Next::Wait(at)) = e.next(1_000_000) else { panic!() };
    assert!((1_000_100..=1_000_200).contains(&at), "{at}");
    sent(&mut e, at);
    // An absurd wish is kept to our longest.
    e.head(at, &head(429, &[("Retry-After", "99999999999999")])).unwrap();
    assert_eq!(e.next(at), Ok(Next::Wait(at + 1_000_000)));
    sent(&mut e, at + 1_000_000);
    assert_eq!(
        e.attempt_failed(at + 1_000_000, AttemptFailure::Stalled),
        Err(ExchangeError::AttemptsExhausted(AttemptFailure::Stalled))
    );
}

#[test]
fn the_password_goes_to_the_token_service_and_the_token_to_the_registry_only() {
    let mut e = exchange(Policy { hosts: vec!["cdn:80".into(), "auth:80".into()], ..Policy::default() });
    assert!(!sent(&mut e, 0).2.contains("Authorization"));
    let ask = r#"Bearer realm="http://auth/token",service="r""#;
    e.head(0, &head(401, &[("WWW-Authenticate", ask)])).unwrap();
    assert_eq!(e.ended(), Ok(EndOutcome::Resend));
    let (host, _, text) = sent(&mut e, 0);
    assert!(host == "auth" && text.contains("Authorization: Basic"), "{text}");
    e.head(0, &head(200, &[])).unwrap();
    assert_eq!(e.body(0, br#"{"token":"T"}"#), Ok(false));
    e.ended().unwrap();
    assert!(sent(&mut e, 0).2.contains("Authorization: Bearer T"));
    e.head(0, &head(307, &[("Location", "http://cdn/x")])).unwrap();
    e.ended().unwrap();
    let (host, _, text) = sent(&mut e, 0);
    assert!(host == "cdn" && !text.contains("Authorization"), "{text}");
    // A token that is refused at once is not fetched for ever.
    e.head(0, &head(401, &[("WWW-Authenticate", ask)])).unwrap_err();
}

#[test]
fn redirects_elsewhere_and_round_and_round_end() {
    let mut e = exchange(Policy::default());
    sent(&mut e, 0);
    let to = |place: &str| head(302, &[("Location", place)]);
    let elsewhere = e.head(0, &to("http://169.254.169.254/secrets"));
    assert_eq!(elsewhere, Err(ExchangeError::AddressNotAllowed("http://169.254.169.254:80".into())));
    assert!(matches!(e.head(0, &to("file:///etc/passwd")), Err(ExchangeError::AddressNotAllowed(_))));
    let mut e = exchange(Policy::default());
    for _ in 0..5 {
        sent(&mut e, 0);
        e.head(0, &to("/v2/a/blobs/y")).unwrap();
        e.ended().unwrap();
    }
    sent(&mut e, 0);
    assert_eq!(e.head(0, &to("/v2/a/blobs/y")), Err(ExchangeError::InvalidRedirect));
    let mut e = exchange(Policy::default());
    sent(&mut e, 0);
    let spy = r#"Bearer realm="http://spy/token""#;
    let asked = e.head(0, &head(401, &[("WWW-Authenticate", spy)]));
    assert_eq!(asked, Err(ExchangeError::AddressNotAllowed("http://spy:80".into())));
}

#[test]
fn a_clock_that_jumps_ends_it_or_lets_it_go_on_and_nothing_else() {
    let mut e = exchange(Policy { job_timeout_us: 1_000, ..Policy::default() });
    sent(&mut e, 0);
    e.attempt_failed(-5_000_000, AttemptFailure::ConnectionClosed).unwrap();
    assert!(matches!(e.next(-5_000_000), Ok(Next::Wait(_))));
    assert_eq!(
        e.next(i64::MAX),
        Err(ExchangeError::DeadlineExceeded(Some(AttemptFailure::ConnectionClosed)))
    );
}
