//! Pulls and pushes against the server's side of the protocol, over a network in memory that injects faults
//! of registries and networks. Time is simulated: no test sleeps.

use serde_json::json;
use slatevalve_blobs::{BlobError, BlobStore, MemoryFiles};
use slatevalve_http::{Limits, MessageDecoder, MessageEvent, MessageReader, Side};
use slatevalve_oci::*;
use slatevalve_plugins::{check_manifest, ClassRights, Digest, SigningSecret};
use std::sync::Arc;

const RANGE: u64 = 1_000;

/// A fault injected into one response.
#[derive(Clone, Debug)]
enum Fault {
    /// The connection is closed after this many bytes.
    Cut(usize),
    /// No bytes arrive until the stall timeout.
    Stall,
    /// A bit of the response's last byte is flipped.
    Flip,
    /// The body is far longer than the content and has no length.
    Endless,
    /// Another response is sent.
    Replace(String),
    /// No connection is established.
    NoConnection,
}

/// A simulated connection to a registry.
struct FaultyNetwork<'a> {
    registry: &'a mut Registry<MemoryFiles>,
    /// Returns the fault for a request, by its number from 0 on and its "METHOD TARGET".
    faults: &'a dyn Fn(usize, &str) -> Option<Fault>,
    /// "METHOD TARGET" of each request.
    requests: Vec<String>,
    now_us: i64,
}

fn package() -> Package {
    package_of(&[&[b'a'; 2_500], b"a small layer", b""])
}

fn package_of(layers: &[&[u8]]) -> Package {
    let named: Vec<_> = layers.iter().map(|l| json!({"digest": Digest::of(l), "size": l.len()})).collect();
    let config = json!({"name": "fare", "version": "1", "class": "quote", "layers": named}).to_string();
    let (manifest, _) = check_manifest("fare", config.as_bytes(), Some(&rights())).unwrap();
    let layers = layers.iter().map(|l| Arc::from(*l)).collect();
    Package { manifest, config: config.into_bytes().into(), layers, signatures: Vec::new() }
}

fn rights() -> ClassRights {
    ClassRights { effects: [("quote".to_string(), "safe".to_string())].into(), ..ClassRights::default() }
}

fn registry() -> Registry<MemoryFiles> {
    Registry::open(BlobStore::new(MemoryFiles::default()), Access::Open, "t", 1).unwrap()
}

fn location() -> Location {
    Location::parse("http://r:5000").unwrap()
}

fn settings() -> PullSettings {
    PullSettings {
        location: location(),
        credentials: None,
        policy: Policy::default(),
        range: RANGE,
        max_size: 1 << 20,
        rights: Some(rights()),
        seed: 1,
    }
}

impl<'a> FaultyNetwork<'a> {
    fn new(
        registry: &'a mut Registry<MemoryFiles>,
        faults: &'a dyn Fn(usize, &str) -> Option<Fault>,
    ) -> Self {
        FaultyNetwork { registry, faults, requests: Vec::new(), now_us: 0 }
    }

    fn drive<J: Job>(&mut self, job: &mut J) -> Result<(), J::Error> {
        for _ in 0..10_000 {
            match job.next(self.now_us)? {
                Next::Done => return Ok(()),
                Next::Wait(at) => self.now_us = at,
                Next::Receive(_) => panic!("the job waits for a response though no request is open"),
                Next::Send(request) => self.exchange(job, request)?,
            }
        }
        panic!(
            "the job does not end; its last requests: {:?}",
            self.requests.iter().rev().take(5).collect::<Vec<_>>()
        )
    }

    fn exchange<J: Job>(&mut self, job: &mut J, request: Request) -> Result<(), J::Error> {
        let message =
            MessageReader::new(Side::Request, Limits::default()).feed(&request.bytes).unwrap().unwrap();
        let line = format!("{} {}", message.head.method, message.head.target);
        let fault = (self.faults)(self.requests.len(), &line);
        self.requests.push(line);
        if let Some(Fault::NoConnection) = fault {
            return job.attempt_failed(self.now_us, AttemptFailure::Connect);
        }
        let mut bytes = match &fault {
            Some(Fault::Replace(response)) => response.clone().into_bytes(),
            _ => self.registry.answer(&message),
        };
        let mut cut = None;
        match fault {
            Some(Fault::Cut(at)) => {
                bytes.truncate(at);
                cut = Some(AttemptFailure::ConnectionClosed);
            }
            Some(Fault::Stall) => {
                bytes.clear();
                let Next::Receive(at) = job.next(self.now_us)? else {
                    panic!("the job does not wait for the response")
                };
                self.now_us = at;
                cut = Some(AttemptFailure::Stalled);
            }
            Some(Fault::Flip) => bytes.last_mut().into_iter().for_each(|b| *b ^= 1),
            Some(Fault::Endless) => {
                bytes = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
                bytes.extend(vec![b'x'; 100_000]);
                cut = Some(AttemptFailure::ConnectionClosed);
            }
            _ => {}
        }
        let mut reader =
            MessageDecoder::new(Side::Response, Limits { body: usize::MAX, ..Limits::default() });
        if request.bodiless {
            reader.expect_no_body();
        }
        for piece in bytes.chunks(700) {
            let mut parts = Vec::new();
            reader.feed(piece, &mut parts).unwrap();
            for response_event in parts {
                let is_end = response_event == MessageEvent::End;
                job.response_event(self.now_us, response_event)?;
                // A job that needs no more of the response closes the connection.
                if is_end || !job.is_receiving() {
                    return Ok(());
                }
            }
        }
        job.attempt_failed(self.now_us, cut.unwrap_or(AttemptFailure::ConnectionClosed))
    }
}

fn pushed() -> Registry<MemoryFiles> {
    let mut registry = registry();
    push(&mut registry, &package(), &|_, _| None).unwrap();
    registry
}

type Faults<'a> = &'a dyn Fn(usize, &str) -> Option<Fault>;

fn push(
    registry: &mut Registry<MemoryFiles>,
    package: &Package,
    faults: Faults<'_>,
) -> Result<Pushed, PushError> {
    let mut push = Push::new(0, location(), None, Policy::default(), 1, 600, package)?;
    FaultyNetwork::new(registry, faults).drive(&mut push)?;
    Ok(push.result().unwrap())
}

/// Pulls version 1 of the plug-in `fare`; also returns "METHOD TARGET" of each request.
fn pull_into(
    registry: &mut Registry<MemoryFiles>,
    store: &mut BlobStore<MemoryFiles>,
    settings: PullSettings,
    faults: Faults<'_>,
) -> (Result<Pulled, PullError>, Vec<String>) {
    let mut job = PullJob { pull: Pull::new(0, settings, "fare", "1").unwrap(), store };
    let mut network = FaultyNetwork::new(registry, faults);
    let done = network.drive(&mut job);
    (done.map(|()| job.pull.result().unwrap()), network.requests)
}

fn pull(faults: Faults<'_>) -> Result<Pulled, PullError> {
    pull_into(&mut pushed(), &mut BlobStore::new(MemoryFiles::default()), settings(), faults).0
}

fn is_complete(store: &mut BlobStore<MemoryFiles>) -> bool {
    let package = package();
    let mut is_stored =
        |content: &Arc<[u8]>| store.read(&Digest::of(content)).is_ok_and(|r| r[..] == content[..]);
    package.layers.iter().all(&mut is_stored) && is_stored(&package.config)
}

#[test]
fn a_push_and_a_pull_transfer_the_content_in_ranges_and_only_once() {
    let mut registry = registry();
    let first = push(&mut registry, &package(), &|_, _| None).unwrap();
    let again = push(&mut registry, &package(), &|_, _| None).unwrap();
    assert_eq!((first.present_bytes, again.bytes, again.present_bytes), (0, 0, first.bytes));
    let mut store = BlobStore::new(MemoryFiles::default());
    let (done, sent) = pull_into(&mut registry, &mut store, settings(), &|_, _| None);
    let done = done.unwrap();
    assert!(is_complete(&mut store));
    assert_eq!(
        (done.digest, done.bytes, done.present_bytes),
        (Digest::of(&package().config), first.bytes, 0)
    );
    // 2,500 bytes are three ranges of 1,000; an empty layer is not requested.
    let large = Digest::of(&[b'a'; 2_500]).to_string();
    assert_eq!(sent.iter().filter(|a| a.contains(&large)).count(), 3, "{sent:?}");
    let (done, sent) = pull_into(&mut registry, &mut store, settings(), &|_, _| None);
    assert_eq!(
        (done.unwrap().bytes, sent.len()),
        (0, 2),
        "only the manifest and the signatures are requested"
    );
}

#[test]
fn a_pull_completes_after_any_fault_of_any_one_request() {
    let is_retried = |fault: &Fault| !matches!(fault, Fault::Flip | Fault::Endless);
    let busy = "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n";
    let many = "HTTP/1.1 429 Slow\r\nContent-Length: 3\r\n\r\nnow";
    let range = "HTTP/1.1 206 P\r\nContent-Range: bytes 7-9/2500\r\nContent-Length: 3\r\n\r\nabc";
    let faults = [
        Fault::Cut(10),
        Fault::Cut(300),
        Fault::Stall,
        Fault::NoConnection,
        Fault::Replace(busy.into()),
        Fault::Replace(many.into()),
        Fault::Replace(range.into()),
        Fault::Flip,
        Fault::Endless,
    ];
    let mut registry = pushed();
    let mut store = BlobStore::new(MemoryFiles::default());
    let requests = pull_into(&mut registry, &mut store, settings(), &|_, _| None).1;
    for fault in &faults {
        for at in 0..requests.len() {
            // A manifest by tag and a list have no digest to detect corruption by; the blobs have.
            if !is_retried(fault) && !requests[at].contains("/blobs/") {
                continue;
            }
            if matches!(fault, Fault::Replace(a) if a.contains("206")) && !requests[at].contains("/blobs/") {
                continue;
            }
            let mut store = BlobStore::new(MemoryFiles::default());
            let inject = |n: usize, _: &str| (n == at).then(|| fault.clone());
            let (done, sent) = pull_into(&mut registry, &mut store, settings(), &inject);
            assert!(done.is_ok() && is_complete(&mut store), "{fault:?} at {}: {done:?}", requests[at]);
            assert!(sent.len() <= requests.len() + 4, "{fault:?}: {sent:?}");
        }
    }
}

#[test]
fn repeatedly_corrupt_content_fails_the_pull_with_its_digest_and_is_not_stored() {
    let large = Digest::of(&[b'a'; 2_500]);
    for fault in [Fault::Flip, Fault::Endless] {
        let mut store = BlobStore::new(MemoryFiles::default());
        let inject = |_: usize, line: &str| line.contains(&large.hex()).then(|| fault.clone());
        let (done, sent) = pull_into(&mut pushed(), &mut store, settings(), &inject);
        let error = done.unwrap_err();
        assert_eq!(error.corrupt_digest(), Some(large), "{error}");
        assert!(!store.contains(&large) && sent.len() < 12, "{sent:?}");
    }
}

#[test]
fn a_registry_that_always_stalls_or_is_busy_fails_the_pull_within_its_attempts_and_deadline() {
    for fault in [
        Fault::Stall,
        Fault::NoConnection,
        Fault::Cut(0),
        Fault::Replace("HTTP/1.1 503 Busy\r\nRetry-After: 99999\r\nContent-Length: 0\r\n\r\n".into()),
    ] {
        let error = pull(&|n, _| (n > 1).then(|| fault.clone())).unwrap_err();
        assert!(
            matches!(error, PullError::Exchange(ExchangeError::AttemptsExhausted(_))),
            "{fault:?}: {error}"
        );
    }
    // Each attempt makes a little progress, and the pull still ends at its deadline.
    let slow_progress = |n: usize, _: &str| (n > 1).then_some(Fault::Cut(700));
    let mut slow = settings();
    (slow.policy.initial_backoff_us, slow.policy.job_timeout_us) = (2_000_000, 3_000_000);
    let mut store = BlobStore::new(MemoryFiles::default());
    let error = pull_into(&mut pushed(), &mut store, slow, &slow_progress).0.unwrap_err();
    assert!(matches!(error, PullError::Exchange(ExchangeError::DeadlineExceeded(_))), "{error}");
    // A single byte per connection does not count as progress.
    let single_byte = |n: usize, _: &str| {
        let response = "HTTP/1.1 206 P\r\nContent-Length: 1000\r\nContent-Range: bytes 0-999/2500\r\n\r\na";
        (n > 1).then(|| Fault::Replace(response.into()))
    };
    let mut store = BlobStore::new(MemoryFiles::default());
    let (done, sent) = pull_into(&mut pushed(), &mut store, settings(), &single_byte);
    assert!(matches!(done, Err(PullError::Exchange(ExchangeError::AttemptsExhausted(_)))), "{done:?}");
    assert!(sent.len() < 12, "{sent:?}");
}

#[test]
fn rejected_requests_and_invalid_plugins_fail_with_a_specific_error() {
    let replace_with =
        |status: &str| Some(Fault::Replace(format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")));
    assert!(
        matches!(pull(&|_, _| replace_with("404")), Err(PullError::Rejected(what, 404)) if what == "fare:1")
    );
    assert!(matches!(
        pull(&|n, _| if n == 2 { replace_with("403") } else { None }),
        Err(PullError::Rejected(_, 403))
    ));
    let mut small = settings();
    small.max_size = 100;
    let mut store = BlobStore::new(MemoryFiles::default());
    let found = pull_into(&mut pushed(), &mut store, small, &|_, _| None).0;
    assert!(matches!(found, Err(PullError::TooLarge(_))));
    let mut rights = settings();
    rights.rights.as_mut().unwrap().effects = [("quote".to_string(), "unsafe".to_string())].into();
    assert!(
        pull_into(&mut pushed(), &mut store, rights, &|_, _| None).0.is_ok(),
        "the manifest claims no effect, so that of the class does not matter"
    );
    let mut none = settings();
    none.rights = Some(ClassRights::default());
    let found = pull_into(&mut pushed(), &mut BlobStore::new(MemoryFiles::default()), none, &|_, _| None).0;
    assert!(matches!(found, Err(PullError::Manifest(_))));
    for (name, reference) in [("Fare", "1"), ("fare", "a/b"), ("../x", "1")] {
        assert!(matches!(Pull::new(0, settings(), name, reference), Err(PullError::Name(_))));
    }
    // The tag points to the manifest of another version.
    let image = pack(&package().manifest, &package().config).unwrap();
    let mislabelled = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        image.bytes.len(),
        String::from_utf8(image.bytes).unwrap()
    );
    let mut store = BlobStore::new(MemoryFiles::default());
    let pull = Pull::new(0, settings(), "fare", "2").unwrap();
    let mut job = PullJob { pull, store: &mut store };
    let inject = |n: usize, _: &str| (n == 0).then(|| Fault::Replace(mislabelled.clone()));
    let error = FaultyNetwork::new(&mut pushed(), &inject).drive(&mut job).unwrap_err();
    assert!(matches!(error, PullError::OtherVersion { .. }), "{error}");
}

#[test]
fn a_power_failure_at_any_step_of_a_pull_leaves_no_corrupt_blob_and_the_pull_resumes() {
    let mut registry = pushed();
    let mut store = BlobStore::new(MemoryFiles::default());
    let whole = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
    let steps = store.files().steps;
    let mut resumed = 0;
    for until in 0..steps {
        for keep in [0, 300, 10_000] {
            let mut store =
                BlobStore::new(MemoryFiles { power_fails_after: Some(until), ..MemoryFiles::default() });
            let cut = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0;
            assert!(matches!(cut, Err(PullError::Store(BlobError::Disk(_)))), "step {until}: {cut:?}");
            let mut store = BlobStore::new(store.files().clone().after_power_failure(keep));
            for digest in store.digests().unwrap() {
                assert!(store.read(&digest).is_ok(), "step {until}: a blob is corrupt");
            }
            let again = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
            assert!(is_complete(&mut store));
            resumed += u64::from(again.bytes < whole.bytes);
        }
    }
    assert!(resumed > steps as u64, "only {resumed} of {} pulls resumed from the stored content", steps * 3);
}

#[test]
fn a_full_disk_fails_the_pull_with_storage_full_and_the_next_pull_resumes() {
    let mut registry = pushed();
    let mut store = BlobStore::new(MemoryFiles { full: true, ..MemoryFiles::default() });
    let full = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0;
    assert!(
        matches!(full, Err(PullError::Store(BlobError::Disk(e))) if e.kind() == std::io::ErrorKind::StorageFull)
    );
    store.files().full = false;
    let done = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
    assert!(done.present_bytes > 0 && is_complete(&mut store));
}

#[test]
fn corrupt_partial_and_stored_content_is_detected_and_pulled_again() {
    let mut registry = pushed();
    let mut store = BlobStore::new(MemoryFiles::default());
    let large = Digest::of(&[b'a'; 2_500]);
    let mut partial = store.open_partial(large, 2_500).unwrap();
    store.append(&mut partial, &[b'z'; 1_200]).unwrap();
    pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
    assert!(is_complete(&mut store));
    store.files().corrupt(&format!("blobs/sha256/{}", large.hex()));
    pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
    assert!(is_complete(&mut store));
}

#[test]
fn a_push_completes_after_a_fault_of_any_one_request_and_an_interrupted_push_leaves_no_incomplete_version() {
    let mut signed = package();
    let secret = SigningSecret::from_random([3; 32]);
    signed.signatures.push(secret.sign("anna", &Digest::of(&signed.config)));
    let counted = std::cell::Cell::new(0);
    push(&mut registry(), &signed, &|n, _| {
        counted.set(n + 1);
        None
    })
    .unwrap();
    let requests = counted.get();
    assert!(requests > 12);
    for at in 0..requests {
        for fault in [Fault::Cut(5), Fault::Stall, Fault::NoConnection] {
            let mut registry = registry();
            push(&mut registry, &signed, &|n, _| (n == at).then(|| fault.clone())).unwrap();
            let mut store = BlobStore::new(MemoryFiles::default());
            let pulled = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
            assert!(is_complete(&mut store) && pulled.signatures == signed.signatures, "{fault:?} at {at}");
        }
        let mut registry = registry();
        let interrupted = push(&mut registry, &signed, &|n, _| (n >= at).then_some(Fault::NoConnection));
        assert!(interrupted.is_err());
        let mut store = BlobStore::new(MemoryFiles::default());
        let found = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0;
        assert!(
            found.is_ok() == is_complete(&mut store),
            "the registry has an incomplete version: {found:?}"
        );
    }
}

#[test]
fn credentials_are_required_and_an_expired_token_is_replaced() {
    let credentials = Credentials { user: "u".into(), password: "p".into() };
    let wrong = Credentials { user: "u".into(), password: "q".into() };
    for access in
        [Access::Basic(credentials.clone()), Access::Token(credentials.clone(), "http://r:5000".into())]
    {
        let by_token = matches!(access, Access::Token(..));
        let mut registry =
            Registry::open(BlobStore::new(MemoryFiles::default()), access, "secret", 1).unwrap();
        let policy = Policy::default;
        let mut push =
            Push::new(0, location(), Some(credentials.clone()), policy(), 1, 600, &package()).unwrap();
        FaultyNetwork::new(&mut registry, &|_, _| None).drive(&mut push).unwrap();
        for (given, is_valid) in
            [(Some(credentials.clone()), true), (Some(wrong.clone()), false), (None, false)]
        {
            let settings = PullSettings { credentials: given, ..settings() };
            let mut store = BlobStore::new(MemoryFiles::default());
            // One request fails as if the registry's token had expired.
            let expired = "HTTP/1.1 401 X\r\nWWW-Authenticate: Bearer realm=\"http://r:5000/token\"\r\n\
                Content-Length: 0\r\n\r\n";
            let inject = |n: usize, _: &str| (by_token && n == 5).then(|| Fault::Replace(expired.into()));
            let (done, sent) = pull_into(&mut registry, &mut store, settings, &inject);
            let tokens = sent.iter().filter(|a| a.contains("/token")).count();
            match is_valid {
                true => assert!(done.is_ok() && tokens == 2 * usize::from(by_token), "{done:?}, {sent:?}"),
                false => {
                    let rejected = Err(ExchangeError::Unauthorized);
                    let done = done.map(drop).map_err(|e| match e {
                        PullError::Exchange(e) => e,
                        other => panic!("{other}"),
                    });
                    assert!(done == rejected && sent.len() <= 3, "{sent:?}");
                }
            }
        }
    }
}

#[test]
fn signatures_are_pulled_and_other_referrers_are_skipped() {
    let mut registry = registry();
    let mut signed = package();
    let secret = SigningSecret::from_random([3; 32]);
    signed.signatures = vec![secret.sign("anna", &Digest::of(&signed.config))];
    push(&mut registry, &signed, &|_, _| None).unwrap();
    let mut store = BlobStore::new(MemoryFiles::default());
    let pulled = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
    assert_eq!(pulled.signatures, signed.signatures);
    let other_referrer = r#"{"schemaVersion":2,"manifests":[{"mediaType":"a/b","digest":"sha256:0000000000000000000000000000000000000000000000000000000000000000","size":1,"artifactType":"a/b"}]}"#;
    let index =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{other_referrer}", other_referrer.len());
    let inject = |_: usize, line: &str| line.contains("referrers").then(|| Fault::Replace(index.clone()));
    let pulled = pull_into(&mut registry, &mut store, settings(), &inject).0.unwrap();
    assert!(pulled.signatures.is_empty());
}

/// Sends a request as text and returns the registry's response as text.
fn send(registry: &mut Registry<MemoryFiles>, text: &str) -> String {
    let message =
        MessageReader::new(Side::Request, Limits::default()).feed(text.as_bytes()).unwrap().unwrap();
    String::from_utf8_lossy(&registry.answer(&message)).into_owned()
}

/// Guards against a push from before a restart that appends its chunks to the upload of another one.
#[test]
fn an_upload_session_of_an_earlier_process_is_unknown_after_a_restart() {
    let open = |instance| {
        Registry::open(BlobStore::new(MemoryFiles::default()), Access::Open, "t", instance).unwrap()
    };
    let start = |registry: &mut Registry<MemoryFiles>| {
        let opened = send(registry, "POST /v2/fare/blobs/uploads/ HTTP/1.1\r\n\r\n");
        let location = opened.lines().find_map(|line| line.strip_prefix("Location: "));
        location.expect("the response names the upload session").to_string()
    };
    let (earlier, mut restarted) = (start(&mut open(1)), open(2));
    let other = start(&mut restarted);
    let append = |location: &str| format!("PATCH {location} HTTP/1.1\r\nContent-Length: 3\r\n\r\nfoo");
    assert!(send(&mut restarted, &append(&earlier)).starts_with("HTTP/1.1 404"));
    assert!(
        send(&mut restarted, &append(&other)).contains("Range: 0-2"),
        "the other push has its 3 bytes only"
    );
}

#[test]
fn garbage_collection_keeps_tagged_content_and_invalid_requests_are_rejected() {
    let mut registry = pushed();
    let opened = send(&mut registry, "POST /v2/fare/blobs/uploads/ HTTP/1.1\r\n\r\n");
    assert!(
        opened.starts_with("HTTP/1.1 202") && opened.contains("Location: /v2/fare/blobs/uploads/upload-")
    );
    let listed = send(&mut registry, "GET /v2/fare/tags/list?n=1 HTTP/1.1\r\n\r\n");
    assert!(listed.contains(r#""tags":["1"]"#) && !listed.contains("Link:"), "{listed}");
    let unreferenced = send(&mut registry, "POST /v2/fare/blobs/uploads/?digest=sha256:2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae HTTP/1.1\r\nContent-Length: 3\r\n\r\nfoo");
    assert!(unreferenced.starts_with("HTTP/1.1 201"), "{unreferenced}");
    assert_eq!(registry.collect().unwrap(), 1);
    let mut store = BlobStore::new(MemoryFiles::default());
    assert!(pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.is_ok());
    let deleted = send(&mut registry, "DELETE /v2/fare/manifests/1 HTTP/1.1\r\n\r\n");
    assert!(deleted.starts_with("HTTP/1.1 202"));
    assert!(registry.collect().unwrap() >= 4);
    for (request, status) in [
        ("GET /v2/FARE/tags/list HTTP/1.1\r\n\r\n", 404),
        ("GET /v2/fare/blobs/sha512:00 HTTP/1.1\r\n\r\n", 404),
        ("PUT /v2/fare/manifests/x HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 400),
        ("BREW /v2/fare/manifests/x HTTP/1.1\r\n\r\n", 405),
        ("GET /../etc HTTP/1.1\r\n\r\n", 404),
        ("PUT /v2/fare/blobs/uploads/upload-9?digest=x HTTP/1.1\r\n\r\n", 404),
    ] {
        let response = send(&mut registry, request);
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{request}: {response}");
    }
}
