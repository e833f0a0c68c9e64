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

fn next_request(exchange: &mut Exchange, now_us: i64) -> (String, u16, String) {
    match exchange.next(now_us) {
        Ok(Next::Send(r)) => (r.host, r.port, String::from_utf8(r.bytes).unwrap()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn backoffs_grow_respect_retry_after_and_end_after_the_last_attempt() {
    let policy =
        Policy { initial_backoff_us: 100, max_backoff_us: 1_000_000, max_attempts: 4, ..Policy::default() };
    let mut e = exchange(policy);
    next_request(&mut e, 0);
    assert_eq!(e.head(0, &head(503, &[("Retry-After", "1")])), Ok(HeadOutcome::Consumed));
    assert_eq!(e.next(10), Ok(Next::Wait(1_000_000)));
    next_request(&mut e, 1_000_000);
    e.attempt_failed(1_000_000, AttemptFailure::ConnectionClosed).unwrap();
    let Ok(Next::Wait(at)) = e.next(1_000_000) else { panic!() };
    assert!((1_000_100..=1_000_200).contains(&at), "{at}");
    next_request(&mut e, at);
    // A very long Retry-After is limited to the maximum backoff.
    e.head(at, &head(429, &[("Retry-After", "99999999999999")])).unwrap();
    assert_eq!(e.next(at), Ok(Next::Wait(at + 1_000_000)));
    next_request(&mut e, at + 1_000_000);
    assert_eq!(
        e.attempt_failed(at + 1_000_000, AttemptFailure::Stalled),
        Err(ExchangeError::AttemptsExhausted(AttemptFailure::Stalled))
    );
}

#[test]
fn the_password_goes_to_the_token_service_and_the_token_to_the_registry_only() {
    let mut e = exchange(Policy { hosts: vec!["cdn:80".into(), "auth:80".into()], ..Policy::default() });
    assert!(!next_request(&mut e, 0).2.contains("Authorization"));
    let challenge = r#"Bearer realm="http://auth/token",service="r""#;
    e.head(0, &head(401, &[("WWW-Authenticate", challenge)])).unwrap();
    assert_eq!(e.ended(), Ok(EndOutcome::Resend));
    let (host, _, text) = next_request(&mut e, 0);
    assert!(host == "auth" && text.contains("Authorization: Basic"), "{text}");
    e.head(0, &head(200, &[])).unwrap();
    assert_eq!(e.body(0, br#"{"token":"T"}"#), Ok(false));
    e.ended().unwrap();
    assert!(next_request(&mut e, 0).2.contains("Authorization: Bearer T"));
    e.head(0, &head(307, &[("Location", "http://cdn/x")])).unwrap();
    e.ended().unwrap();
    let (host, _, text) = next_request(&mut e, 0);
    assert!(host == "cdn" && !text.contains("Authorization"), "{text}");
    // A token that is rejected at once is not fetched again.
    e.head(0, &head(401, &[("WWW-Authenticate", challenge)])).unwrap_err();
}

#[test]
fn redirects_to_addresses_that_are_not_allowed_and_endless_redirects_fail() {
    let mut e = exchange(Policy::default());
    next_request(&mut e, 0);
    let redirect_to = |location: &str| head(302, &[("Location", location)]);
    let redirected = e.head(0, &redirect_to("http://169.254.169.254/secrets"));
    assert_eq!(redirected, Err(ExchangeError::AddressNotAllowed("http://169.254.169.254:80".into())));
    assert!(matches!(
        e.head(0, &redirect_to("file:///etc/passwd")),
        Err(ExchangeError::AddressNotAllowed(_))
    ));
    let mut e = exchange(Policy::default());
    for _ in 0..5 {
        next_request(&mut e, 0);
        e.head(0, &redirect_to("/v2/a/blobs/y")).unwrap();
        e.ended().unwrap();
    }
    next_request(&mut e, 0);
    assert_eq!(e.head(0, &redirect_to("/v2/a/blobs/y")), Err(ExchangeError::InvalidRedirect));
    let mut e = exchange(Policy::default());
    next_request(&mut e, 0);
    let challenge = r#"Bearer realm="http://spy/token""#;
    let challenged = e.head(0, &head(401, &[("WWW-Authenticate", challenge)]));
    assert_eq!(challenged, Err(ExchangeError::AddressNotAllowed("http://spy:80".into())));
}

#[test]
fn a_clock_jump_at_most_exceeds_the_deadline() {
    let mut e = exchange(Policy { job_timeout_us: 1_000, ..Policy::default() });
    next_request(&mut e, 0);
    e.attempt_failed(-5_000_000, AttemptFailure::ConnectionClosed).unwrap();
    assert!(matches!(e.next(-5_000_000), Ok(Next::Wait(_))));
    assert_eq!(
        e.next(i64::MAX),
        Err(ExchangeError::DeadlineExceeded(Some(AttemptFailure::ConnectionClosed)))
    );
}
