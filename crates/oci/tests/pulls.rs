//! Pulls and pushes against the registry's own side, over a wire in memory that does what registries and networks do
//! wrong. Time is an argument: nothing here waits.

use serde_json::json;
use slatevalve_blobs::{BlobError, BlobStore, MemoryFiles};
use slatevalve_http::{Limits, MessageDecoder, MessageEvent, MessageReader, Side};
use slatevalve_oci::*;
use slatevalve_plugins::{check_manifest, ClassRights, Digest, SigningSecret};
use std::sync::Arc;

const RANGE: u64 = 1_000;

/// What the wire does to one answer.
#[derive(Clone, Debug)]
enum Fault {
    /// Ends after so many bytes.
    Cut(usize),
    /// Brings nothing.
    Stall,
    /// Other bytes than promised, at the end of the body.
    Flip,
    /// A body without end.
    Endless,
    /// Another answer.
    Instead(String),
    /// No connection.
    NoConnection,
}

/// The wire: which fault befalls the nth request, counted from 0, and what was asked.
struct WorkerProtocol<'a> {
    registry: &'a mut Registry<MemoryFiles>,
    faults: &'a dyn Fn(usize, &str) -> Option<Fault>,
    asked: Vec<String>,
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
    Registry::open(BlobStore::new(MemoryFiles::default()), Access::Open, "t").unwrap()
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

impl<'a> WorkerProtocol<'a> {
    fn new(
        registry: &'a mut Registry<MemoryFiles>,
        faults: &'a dyn Fn(usize, &str) -> Option<Fault>,
    ) -> Self {
        WorkerProtocol { registry, faults, asked: Vec::new(), now_us: 0 }
    }

    fn drive<J: Job>(&mut self, job: &mut J) -> Result<(), J::Error> {
        for _ in 0..10_000 {
            match job.next(self.now_us)? {
                Next::Done => return Ok(()),
                Next::Wait(at) => self.now_us = at,
                Next::Receive(_) => panic!("an answer is under way though none is"),
                Next::Send(request) => self.exchange(job, request)?,
            }
        }
        panic!("no end: {:?}", self.asked.iter().rev().take(5).collect::<Vec<_>>())
    }

    fn exchange<J: Job>(&mut self, job: &mut J, request: Request) -> Result<(), J::Error> {
        let message =
            MessageReader::new(Side::Request, Limits::default()).feed(&request.bytes).unwrap().unwrap();
        let line = format!("{} {}", message.head.method, message.head.target);
        let fault = (self.faults)(self.asked.len(), &line);
        self.asked.push(line);
        if let Some(Fault::NoConnection) = fault {
            return job.attempt_failed(self.now_us, AttemptFailure::Connect);
        }
        let mut bytes = match &fault {
            Some(Fault::Instead(answer)) => answer.clone().into_bytes(),
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
                let Next::Receive(at) = job.next(self.now_us)? else { panic!("it does not wait") };
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
                let whole = response_event == MessageEvent::End;
                job.response_event(self.now_us, response_event)?;
                // A job that wants something else leaves the connection, whatever else it would bring.
                if whole || !job.is_receiving() {
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
    WorkerProtocol::new(registry, faults).drive(&mut push)?;
    Ok(push.result().unwrap())
}

/// Pulls fare 1; gives what was asked as well.
fn pull_into(
    registry: &mut Registry<MemoryFiles>,
    store: &mut BlobStore<MemoryFiles>,
    settings: PullSettings,
    faults: Faults<'_>,
) -> (Result<Pulled, PullError>, Vec<String>) {
    let mut job = PullJob { pull: Pull::new(0, settings, "fare", "1").unwrap(), store };
    let mut wire = WorkerProtocol::new(registry, faults);
    let done = wire.drive(&mut job);
    (done.map(|()| job.pull.result().unwrap()), wire.asked)
}

fn pull(faults: Faults<'_>) -> Result<Pulled, PullError> {
    pull_into(&mut pushed(), &mut BlobStore::new(MemoryFiles::default()), settings(), faults).0
}

fn is_whole(store: &mut BlobStore<MemoryFiles>) -> bool {
    let package = package();
    let mut here = |content: &Arc<[u8]>| store.read(&Digest::of(content)).is_ok_and(|r| r[..] == content[..]);
    package.layers.iter().all(&mut here) && here(&package.config)
}

#[test]
fn a_push_and_a_pull_bring_the_same_content_in_parts_and_nothing_is_sent_twice() {
    let mut registry = registry();
    let first = push(&mut registry, &package(), &|_, _| None).unwrap();
    let again = push(&mut registry, &package(), &|_, _| None).unwrap();
    assert_eq!((first.present_bytes, again.bytes, again.present_bytes), (0, 0, first.bytes));
    let mut store = BlobStore::new(MemoryFiles::default());
    let (done, asked) = pull_into(&mut registry, &mut store, settings(), &|_, _| None);
    let done = done.unwrap();
    assert!(is_whole(&mut store));
    assert_eq!(
        (done.digest, done.bytes, done.present_bytes),
        (Digest::of(&package().config), first.bytes, 0)
    );
    // 2,500 bytes are three ranges of 1,000; an empty layer is asked for not at all.
    let large = Digest::of(&[b'a'; 2_500]).to_string();
    assert_eq!(asked.iter().filter(|a| a.contains(&large)).count(), 3, "{asked:?}");
    let (done, asked) = pull_into(&mut registry, &mut store, settings(), &|_, _| None);
    assert_eq!(
        (done.unwrap().bytes, asked.len()),
        (0, 2),
        "only the manifest and the signatures were asked for"
    );
}

#[test]
fn whichever_request_fails_once_and_however_the_pull_ends_whole() {
    let retried = |fault: &Fault| !matches!(fault, Fault::Flip | Fault::Endless);
    let busy = "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n";
    let many = "HTTP/1.1 429 Slow\r\nContent-Length: 3\r\n\r\nnow";
    let range = "HTTP/1.1 206 P\r\nContent-Range: bytes 7-9/2500\r\nContent-Length: 3\r\n\r\nabc";
    let faults = [
        Fault::Cut(10),
        Fault::Cut(300),
        Fault::Stall,
        Fault::NoConnection,
        Fault::Instead(busy.into()),
        Fault::Instead(many.into()),
        Fault::Instead(range.into()),
        Fault::Flip,
        Fault::Endless,
    ];
    let mut registry = pushed();
    let mut store = BlobStore::new(MemoryFiles::default());
    let requests = pull_into(&mut registry, &mut store, settings(), &|_, _| None).1;
    for fault in &faults {
        for at in 0..requests.len() {
            // A manifest or list by name has no digest to be found wrong by; what it names has.
            if !retried(fault) && !requests[at].contains("/blobs/") {
                continue;
            }
            if matches!(fault, Fault::Instead(a) if a.contains("206")) && !requests[at].contains("/blobs/") {
                continue;
            }
            let mut store = BlobStore::new(MemoryFiles::default());
            let befall = |n: usize, _: &str| (n == at).then(|| fault.clone());
            let (done, asked) = pull_into(&mut registry, &mut store, settings(), &befall);
            assert!(done.is_ok() && is_whole(&mut store), "{fault:?} at {}: {done:?}", requests[at]);
            assert!(asked.len() <= requests.len() + 4, "{fault:?}: {asked:?}");
        }
    }
}

#[test]
fn a_registry_that_serves_other_bytes_again_and_again_is_refused_by_name_and_leaves_nothing() {
    let large = Digest::of(&[b'a'; 2_500]);
    for fault in [Fault::Flip, Fault::Endless] {
        let mut store = BlobStore::new(MemoryFiles::default());
        let befall = |_: usize, line: &str| line.contains(&large.hex()).then(|| fault.clone());
        let (done, asked) = pull_into(&mut pushed(), &mut store, settings(), &befall);
        let error = done.unwrap_err();
        assert_eq!(error.corrupt_digest(), Some(large), "{error}");
        assert!(!store.contains(&large) && asked.len() < 12, "{asked:?}");
    }
}

#[test]
fn a_registry_that_stalls_or_is_busy_for_ever_is_given_up_within_its_tries_and_time() {
    for fault in [
        Fault::Stall,
        Fault::NoConnection,
        Fault::Cut(0),
        Fault::Instead("HTTP/1.1 503 Busy\r\nRetry-After: 99999\r\nContent-Length: 0\r\n\r\n".into()),
    ] {
        let error = pull(&|n, _| (n > 1).then(|| fault.clone())).unwrap_err();
        assert!(
            matches!(error, PullError::Exchange(ExchangeError::AttemptsExhausted(_))),
            "{fault:?}: {error}"
        );
    }
    // One that drips brings something new with each try, and still ends with the time for it all.
    let drip = |n: usize, _: &str| (n > 1).then_some(Fault::Cut(700));
    let mut slow = settings();
    (slow.policy.initial_backoff_us, slow.policy.job_timeout_us) = (2_000_000, 3_000_000);
    let mut store = BlobStore::new(MemoryFiles::default());
    let error = pull_into(&mut pushed(), &mut store, slow, &drip).0.unwrap_err();
    assert!(matches!(error, PullError::Exchange(ExchangeError::DeadlineExceeded(_))), "{error}");
    // A byte or so for each connection is nothing new.
    let byte = |n: usize, _: &str| {
        let answer = "HTTP/1.1 206 P\r\nContent-Length: 1000\r\nContent-Range: bytes 0-999/2500\r\n\r\na";
        (n > 1).then(|| Fault::Instead(answer.into()))
    };
    let mut store = BlobStore::new(MemoryFiles::default());
    let (done, asked) = pull_into(&mut pushed(), &mut store, settings(), &byte);
    assert!(matches!(done, Err(PullError::Exchange(ExchangeError::AttemptsExhausted(_)))), "{done:?}");
    assert!(asked.len() < 12, "{asked:?}");
}

#[test]
fn what_the_registry_says_no_to_or_what_is_no_plug_in_names_what_it_was() {
    let instead =
        |status: &str| Some(Fault::Instead(format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")));
    assert!(matches!(pull(&|_, _| instead("404")), Err(PullError::Rejected(what, 404)) if what == "fare:1"));
    assert!(matches!(
        pull(&|n, _| if n == 2 { instead("403") } else { None }),
        Err(PullError::Rejected(_, 403))
    ));
    let mut small = settings();
    small.max_size = 100;
    let mut store = BlobStore::new(MemoryFiles::default());
    let found = pull_into(&mut pushed(), &mut store, small, &|_, _| None).0;
    assert!(matches!(found, Err(PullError::TooLarge(_))));
    let mut rights = settings();
    rights.rights.as_mut().unwrap().effects = [("quote".to_string(), "unsafe".to_string())].into();
    assert!(pull_into(&mut pushed(), &mut store, rights, &|_, _| None).0.is_ok(), "it claims no effect");
    let mut none = settings();
    none.rights = Some(ClassRights::default());
    let found = pull_into(&mut pushed(), &mut BlobStore::new(MemoryFiles::default()), none, &|_, _| None).0;
    assert!(matches!(found, Err(PullError::Manifest(_))));
    for (name, reference) in [("Fare", "1"), ("fare", "a/b"), ("../x", "1")] {
        assert!(matches!(Pull::new(0, settings(), name, reference), Err(PullError::Name(_))));
    }
    // A tag that means another version than it says.
    let image = pack(&package().manifest, &package().config).unwrap();
    let mislabelled = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        image.bytes.len(),
        String::from_utf8(image.bytes).unwrap()
    );
    let mut store = BlobStore::new(MemoryFiles::default());
    let pull = Pull::new(0, settings(), "fare", "2").unwrap();
    let mut job = PullJob { pull, store: &mut store };
    let befall = |n: usize, _: &str| (n == 0).then(|| Fault::Instead(mislabelled.clone()));
    let error = WorkerProtocol::new(&mut pushed(), &befall).drive(&mut job).unwrap_err();
    assert!(matches!(error, PullError::OtherVersion { .. }), "{error}");
}

#[test]
fn the_power_cut_at_each_step_of_a_pull_leaves_it_to_be_resumed_and_nothing_half_there() {
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
                assert!(store.read(&digest).is_ok(), "step {until}: a blob is not whole");
            }
            let again = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
            assert!(is_whole(&mut store));
            resumed += u64::from(again.bytes < whole.bytes);
        }
    }
    assert!(resumed > steps as u64, "what came was used: {resumed} of {}", steps * 3);
}

#[test]
fn a_full_disk_ends_the_pull_with_its_reason_and_the_next_one_goes_on() {
    let mut registry = pushed();
    let mut store = BlobStore::new(MemoryFiles { full: true, ..MemoryFiles::default() });
    let full = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0;
    assert!(
        matches!(full, Err(PullError::Store(BlobError::Disk(e))) if e.kind() == std::io::ErrorKind::StorageFull)
    );
    store.files().full = false;
    let done = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
    assert!(done.present_bytes > 0 && is_whole(&mut store));
}

#[test]
fn a_part_that_rotted_on_the_disk_is_found_and_pulled_anew() {
    let mut registry = pushed();
    let mut store = BlobStore::new(MemoryFiles::default());
    let large = Digest::of(&[b'a'; 2_500]);
    let mut partial = store.open_partial(large, 2_500).unwrap();
    store.append(&mut partial, &[b'z'; 1_200]).unwrap();
    pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
    assert!(is_whole(&mut store));
    store.files().corrupt(&format!("blobs/sha256/{}", large.hex()));
    pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
    assert!(is_whole(&mut store));
}

#[test]
fn a_push_survives_each_request_failing_once_and_a_killed_one_leaves_no_version() {
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
            assert!(is_whole(&mut store) && pulled.signatures == signed.signatures, "{fault:?} at {at}");
        }
        let mut registry = registry();
        let killed = push(&mut registry, &signed, &|n, _| (n >= at).then_some(Fault::NoConnection));
        assert!(killed.is_err());
        let mut store = BlobStore::new(MemoryFiles::default());
        let found = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0;
        assert!(found.is_ok() == is_whole(&mut store), "a version is half there: {found:?}");
    }
}

#[test]
fn names_and_passwords_are_asked_for_and_a_token_that_runs_out_is_had_again() {
    let credentials = Credentials { user: "u".into(), password: "p".into() };
    let wrong = Credentials { user: "u".into(), password: "q".into() };
    for access in
        [Access::Basic(credentials.clone()), Access::Token(credentials.clone(), "http://r:5000".into())]
    {
        let by_token = matches!(access, Access::Token(..));
        let mut registry = Registry::open(BlobStore::new(MemoryFiles::default()), access, "secret").unwrap();
        let policy = Policy::default;
        let mut push =
            Push::new(0, location(), Some(credentials.clone()), policy(), 1, 600, &package()).unwrap();
        WorkerProtocol::new(&mut registry, &|_, _| None).drive(&mut push).unwrap();
        for (shown, good) in [(Some(credentials.clone()), true), (Some(wrong.clone()), false), (None, false)]
        {
            let settings = PullSettings { credentials: shown, ..settings() };
            let mut store = BlobStore::new(MemoryFiles::default());
            // In the middle the registry forgets the token that it gave.
            let forget = "HTTP/1.1 401 X\r\nWWW-Authenticate: Bearer realm=\"http://r:5000/token\"\r\n\
                Content-Length: 0\r\n\r\n";
            let befall = |n: usize, _: &str| (by_token && n == 5).then(|| Fault::Instead(forget.into()));
            let (done, asked) = pull_into(&mut registry, &mut store, settings, &befall);
            let tokens = asked.iter().filter(|a| a.contains("/token")).count();
            match good {
                true => assert!(done.is_ok() && tokens == 2 * usize::from(by_token), "{done:?}, {asked:?}"),
                false => {
                    let refused = Err(ExchangeError::Unauthorized);
                    let done = done.map(drop).map_err(|e| match e {
                        PullError::Exchange(e) => e,
                        other => panic!("{other}"),
                    });
                    assert!(done == refused && asked.len() <= 3, "{asked:?}");
                }
            }
        }
    }
}

#[test]
fn signatures_come_with_the_pull_and_strangers_entries_are_passed_over() {
    let mut registry = registry();
    let mut signed = package();
    let secret = SigningSecret::from_random([3; 32]);
    signed.signatures = vec![secret.sign("anna", &Digest::of(&signed.config))];
    push(&mut registry, &signed, &|_, _| None).unwrap();
    let mut store = BlobStore::new(MemoryFiles::default());
    let pulled = pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.unwrap();
    assert_eq!(pulled.signatures, signed.signatures);
    let stranger = r#"{"schemaVersion":2,"manifests":[{"mediaType":"a/b","digest":"sha256:0000000000000000000000000000000000000000000000000000000000000000","size":1,"artifactType":"a/b"}]}"#;
    let index = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{stranger}", stranger.len());
    let befall = |_: usize, line: &str| line.contains("referrers").then(|| Fault::Instead(index.clone()));
    let pulled = pull_into(&mut registry, &mut store, settings(), &befall).0.unwrap();
    assert!(pulled.signatures.is_empty());
}

#[test]
fn collecting_keeps_what_tags_need_and_a_restart_forgets_open_uploads_only() {
    let mut registry = pushed();
    let ask = |registry: &mut Registry<MemoryFiles>, text: &str| {
        let message =
            MessageReader::new(Side::Request, Limits::default()).feed(text.as_bytes()).unwrap().unwrap();
        String::from_utf8_lossy(&registry.answer(&message)).into_owned()
    };
    let begun = ask(&mut registry, "POST /v2/fare/blobs/uploads/ HTTP/1.1\r\n\r\n");
    assert!(begun.starts_with("HTTP/1.1 202") && begun.contains("Location: /v2/fare/blobs/uploads/upload-"));
    let listed = ask(&mut registry, "GET /v2/fare/tags/list?n=1 HTTP/1.1\r\n\r\n");
    assert!(listed.contains(r#""tags":["1"]"#) && !listed.contains("Link:"), "{listed}");
    let stray = ask(&mut registry, "POST /v2/fare/blobs/uploads/?digest=sha256:2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae HTTP/1.1\r\nContent-Length: 3\r\n\r\nfoo");
    assert!(stray.starts_with("HTTP/1.1 201"), "{stray}");
    assert_eq!(registry.collect().unwrap(), 1);
    let mut store = BlobStore::new(MemoryFiles::default());
    assert!(pull_into(&mut registry, &mut store, settings(), &|_, _| None).0.is_ok());
    let gone = ask(&mut registry, "DELETE /v2/fare/manifests/1 HTTP/1.1\r\n\r\n");
    assert!(gone.starts_with("HTTP/1.1 202"));
    assert!(registry.collect().unwrap() >= 4);
    for (request, status) in [
        ("GET /v2/FARE/tags/list HTTP/1.1\r\n\r\n", 404),
        ("GET /v2/fare/blobs/sha512:00 HTTP/1.1\r\n\r\n", 404),
        ("PUT /v2/fare/manifests/x HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 400),
        ("BREW /v2/fare/manifests/x HTTP/1.1\r\n\r\n", 405),
        ("GET /../etc HTTP/1.1\r\n\r\n", 404),
        ("PUT /v2/fare/blobs/uploads/upload-9?digest=x HTTP/1.1\r\n\r\n", 404),
    ] {
        let answer = ask(&mut registry, request);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{request}: {answer}");
    }
}
