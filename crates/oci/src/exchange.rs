//! One request to a registry, through whatever it takes to get its answer: tokens, redirects, a registry that wants to be
//! left alone, connections that break. [`crate::Pull`] and [`crate::Push`] ask through it.
//!
//! It guards the registry against a gateway that asks again too fast (waits grow, with jitter from a seed, and
//! `Retry-After` is kept), the gateway against a registry that holds it for ever (stalls, redirects, tries and the whole
//! job are bounded), and the credentials: they go to the registry's own address and its token service, never along with a
//! redirect to elsewhere.

use crate::challenge::{read_token, Challenge, Credentials};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slatevalve_http::Head;
use std::fmt;
use url::Url;

/// Bytes of a token service's answer, and of one that is only read over so that its connection can be used again.
const MAX_TOKEN_ANSWER: usize = 64 * 1024;

/// How long a registry is waited for, and how often it is asked again. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// A connection that does not stand, or brings nothing, for so long is given up.
    pub stall_us: i64,
    /// The first wait before asking again; each further one doubles.
    pub first_wait_us: i64,
    /// The longest wait, also where the registry asks for a longer one.
    pub longest_wait_us: i64,
    /// Tries in a row that bring nothing new.
    pub tries: u32,
    /// Time for the whole job.
    pub within_us: i64,
    /// Redirects of one request.
    pub redirects: u32,
    /// `HOST:PORT` of further places that a registry may send to; its own address always counts.
    pub hosts: Vec<String>,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            stall_us: 10_000_000,
            first_wait_us: 200_000,
            longest_wait_us: 10_000_000,
            tries: 6,
            within_us: 600_000_000,
            redirects: 5,
            hosts: Vec::new(),
        }
    }
}

/// What is asked of a registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The method.
    pub method: &'static str,
    /// Where.
    pub url: Url,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Ask {
    pub(crate) fn get(url: Url) -> Self {
        Ask { method: "GET", url, headers: Vec::new(), body: Vec::new() }
    }
}

/// A request to be written to a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The host to connect to.
    pub host: String,
    /// Its port.
    pub port: u16,
    /// Whether the answer has no body whatever its head says (HEAD).
    pub bodiless: bool,
    /// The request.
    pub bytes: Vec<u8>,
}

/// What a job wants next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send this, and hand in what comes back.
    Send(Request),
    /// Ask again then.
    Wait(i64),
    /// An answer is under way; call it a stall when nothing comes by then.
    Receive(i64),
    /// It is done.
    Done,
}

/// How a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broke {
    /// It never stood.
    Connect,
    /// It ended within an answer.
    Cut,
    /// Nothing came for too long.
    Stalled,
    /// What came was no HTTP.
    Garbage,
    /// The answer's range is not the one that was asked for.
    Range,
    /// The registry said that it cannot answer now: 429, 500, 502, 503 or 504.
    Busy(u16),
}

impl fmt::Display for Broke {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broke::Connect => f.write_str("it cannot be reached"),
            Broke::Cut => f.write_str("the connection ended within an answer"),
            Broke::Stalled => f.write_str("nothing came for too long"),
            Broke::Garbage => f.write_str("it did not answer in HTTP"),
            Broke::Range => f.write_str("it sent another range than was asked for"),
            Broke::Busy(status) => write!(f, "it answered {status}"),
        }
    }
}

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// Too many tries in a row brought nothing; the last failed so.
    GaveUp(Broke),
    /// The time for the whole job is up; the last try failed so, if one failed.
    TimeUp(Option<Broke>),
    /// The registry wants to know who asks and takes nobody that we are.
    Unauthorized,
    /// It sends to a place that is not allowed.
    Elsewhere(String),
    /// It sends round and round.
    Redirects,
    /// The token service's answer is none.
    Token,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::GaveUp(broke) => write!(f, "given up: {broke}"),
            ExchangeError::TimeUp(None) => f.write_str("the time for it is up"),
            ExchangeError::TimeUp(Some(broke)) => write!(f, "the time for it is up: {broke}"),
            ExchangeError::Unauthorized => f.write_str("the registry does not take these credentials"),
            ExchangeError::Elsewhere(place) => {
                write!(f, "the registry sends to {place}, which (hosts ...) does not name")
            }
            ExchangeError::Redirects => f.write_str("the registry sends round and round"),
            ExchangeError::Token => f.write_str("the token service gave no token"),
        }
    }
}

impl std::error::Error for ExchangeError {}

/// What becomes of an answer whose head has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    /// It is the caller's.
    Yours,
    /// It was for the exchange; its body is read over or used by it.
    Mine,
}

/// What the end of an answer came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Over {
    /// The caller's answer is whole.
    Yours,
    /// The request goes out again by itself.
    Again,
}

enum State {
    /// To be sent.
    Ready,
    /// To be sent then.
    Waiting(i64),
    /// Sent; something came last then.
    Open { since_us: i64, what: Open },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Open {
    /// No head yet.
    Asked,
    /// The caller's body.
    Yours,
    /// A body to be read over, before the request goes out again.
    Ignored,
    /// A token service's answer.
    Token,
}

pub(crate) struct Exchange {
    policy: Policy,
    credentials: Option<Credentials>,
    /// The registry's own `HOST:PORT`.
    origin: String,
    ask: Ask,
    /// Where the request goes now, after redirects.
    target: Url,
    redirects: u32,
    state: State,
    tries: u32,
    until_us: i64,
    last: Option<Broke>,
    random: Pcg64Mcg,
    token: Option<String>,
    /// The registry took name and password itself.
    basic: bool,
    /// A token to be fetched before the request goes out again.
    fetch_token: Option<Url>,
    token_answer: Vec<u8>,
    /// What we showed was taken since it was last asked for.
    accepted: bool,
}

/// `HOST:PORT` of a URL.
fn place(url: &Url) -> String {
    format!("{}:{}", url.host_str().unwrap_or_default(), url.port_or_known_default().unwrap_or(80))
}

impl Exchange {
    pub(crate) fn new(
        now_us: i64,
        policy: Policy,
        credentials: Option<Credentials>,
        seed: u64,
        ask: Ask,
    ) -> Self {
        Exchange {
            until_us: now_us.saturating_add(policy.within_us),
            policy,
            credentials,
            origin: place(&ask.url),
            target: ask.url.clone(),
            ask,
            redirects: 0,
            state: State::Ready,
            tries: 0,
            last: None,
            random: Pcg64Mcg::seed_from_u64(seed),
            token: None,
            basic: false,
            fetch_token: None,
            token_answer: Vec::new(),
            accepted: true,
        }
    }

    /// Asks something new; what was learnt of the registry stays.
    pub(crate) fn ask(&mut self, ask: Ask) {
        self.target = ask.url.clone();
        self.ask = ask;
        self.redirects = 0;
        self.state = State::Ready;
    }

    /// Changes what goes out at the next try, such as the range that is still wanted; when, stays.
    pub(crate) fn amend(&mut self, ask: Ask) {
        self.target = ask.url.clone();
        self.ask = ask;
    }

    /// Something new came: tries count from here.
    pub(crate) fn progress(&mut self) {
        self.tries = 0;
    }

    /// What is to be done. `Err` once the time for the whole job is up.
    pub(crate) fn next(&mut self, now_us: i64) -> Result<Next, ExchangeError> {
        if now_us >= self.until_us {
            return Err(ExchangeError::TimeUp(self.last));
        }
        match self.state {
            State::Waiting(at) if now_us < at => Ok(Next::Wait(at.min(self.until_us))),
            State::Waiting(_) | State::Ready => {
                self.state = State::Open { since_us: now_us, what: Open::Asked };
                Ok(Next::Send(self.request()))
            }
            State::Open { since_us, .. } => {
                Ok(Next::Receive(since_us.saturating_add(self.policy.stall_us).min(self.until_us)))
            }
        }
    }

    /// Whether an answer is waited for or read.
    pub(crate) fn is_receiving(&self) -> bool {
        matches!(self.state, State::Open { .. })
    }

    fn request(&self) -> Request {
        let token = self.fetch_token.as_ref();
        let url = token.unwrap_or(&self.target);
        let method = if token.is_some() { "GET" } else { self.ask.method };
        let body: &[u8] = if token.is_some() { &[] } else { &self.ask.body };
        let mut head = format!("{method} {}", url.path());
        if let Some(query) = url.query() {
            head += &format!("?{query}");
        }
        let host = url.host_str().unwrap_or_default();
        let port = url.port().map(|p| format!(":{p}")).unwrap_or_default();
        head += &format!(" HTTP/1.1\r\nHost: {host}{port}\r\nUser-Agent: slatevalve\r\n");
        let own = place(url) == self.origin;
        let authorization = match (token, &self.credentials, &self.token) {
            // The token service is who the password is meant for.
            (Some(_), Some(credentials), _) => Some(credentials.basic()),
            (None, _, Some(token)) if own => Some(format!("Bearer {token}")),
            (None, Some(credentials), None) if own && self.basic => Some(credentials.basic()),
            _ => None,
        };
        if let Some(value) = authorization {
            head += &format!("Authorization: {value}\r\n");
        }
        if token.is_none() {
            self.ask.headers.iter().for_each(|(name, value)| head += &format!("{name}: {value}\r\n"));
            if !body.is_empty() || matches!(method, "POST" | "PUT" | "PATCH") {
                head += &format!("Content-Length: {}\r\n", body.len());
            }
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        let port = url.port_or_known_default().unwrap_or(80);
        Request { host: host.into(), port, bodiless: method == "HEAD", bytes }
    }

    fn touch(&mut self, now_us: i64, what: Open) {
        self.state = State::Open { since_us: now_us, what };
    }

    /// The head of an answer.
    pub(crate) fn head(&mut self, now_us: i64, head: &Head) -> Result<Heard, ExchangeError> {
        self.token_answer.clear();
        if self.fetch_token.is_some() {
            self.touch(now_us, Open::Token);
            return match head.status {
                200 => Ok(Heard::Mine),
                401 | 403 => Err(ExchangeError::Unauthorized),
                status if busy(status) => self.busy(now_us, head),
                _ => Err(ExchangeError::Token),
            };
        }
        match head.status {
            401 => {
                self.challenged(head)?;
                self.touch(now_us, Open::Ignored);
                Ok(Heard::Mine)
            }
            // An upload is sent where its own location said; a redirect of what changes something is not followed.
            301 | 302 | 303 | 307 | 308 if matches!(self.ask.method, "GET" | "HEAD") => {
                self.redirected(head)?;
                self.touch(now_us, Open::Ignored);
                Ok(Heard::Mine)
            }
            status if busy(status) => self.busy(now_us, head),
            _ => {
                self.accepted = true;
                self.touch(now_us, Open::Yours);
                Ok(Heard::Yours)
            }
        }
    }

    fn challenged(&mut self, head: &Head) -> Result<(), ExchangeError> {
        // What we showed was refused though nothing that it was good for came in between.
        if !self.accepted {
            return Err(ExchangeError::Unauthorized);
        }
        let values = head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("www-authenticate"));
        let texts = values.filter_map(|(_, v)| std::str::from_utf8(v).ok());
        let challenge = texts.filter_map(Challenge::parse).next().ok_or(ExchangeError::Unauthorized)?;
        self.accepted = false;
        match challenge {
            Challenge::Basic if self.credentials.is_none() => return Err(ExchangeError::Unauthorized),
            Challenge::Basic => self.basic = true,
            Challenge::Bearer { .. } => {
                let url = challenge.token_url().ok_or(ExchangeError::Token)?;
                // The password goes there: it must be a place that the operator knows.
                self.allowed(&url)?;
                self.token = None;
                self.fetch_token = Some(url);
            }
        }
        // From the registry again, as a place that a redirect led to may be another one next time.
        self.target = self.ask.url.clone();
        self.redirects = 0;
        Ok(())
    }

    fn allowed(&self, url: &Url) -> Result<(), ExchangeError> {
        let place = place(url);
        match url.scheme() == "http" && (place == self.origin || self.policy.hosts.contains(&place)) {
            true => Ok(()),
            false => Err(ExchangeError::Elsewhere(format!("{}://{place}", url.scheme()))),
        }
    }

    fn redirected(&mut self, head: &Head) -> Result<(), ExchangeError> {
        self.redirects += 1;
        if self.redirects > self.policy.redirects {
            return Err(ExchangeError::Redirects);
        }
        let to = head.header("Location").and_then(|l| self.target.join(l).ok());
        let to = to.ok_or(ExchangeError::Redirects)?;
        self.allowed(&to)?;
        self.target = to;
        Ok(())
    }

    /// The registry cannot answer now; its wish for a pause is kept, within our longest.
    fn busy(&mut self, now_us: i64, head: &Head) -> Result<Heard, ExchangeError> {
        let seconds = head.header("Retry-After").and_then(|v| v.parse::<i64>().ok());
        self.failed(now_us, Broke::Busy(head.status), seconds.map_or(0, |s| s.saturating_mul(1_000_000)))?;
        Ok(Heard::Mine)
    }

    /// A piece of an answer's body; whether it is the caller's.
    pub(crate) fn piece(&mut self, now_us: i64, piece: &[u8]) -> Result<bool, ExchangeError> {
        let State::Open { what, .. } = self.state else { return Ok(false) };
        self.touch(now_us, what);
        if matches!(what, Open::Token | Open::Ignored) {
            self.token_answer.extend_from_slice(piece);
        }
        if self.token_answer.len() > MAX_TOKEN_ANSWER {
            match what {
                Open::Token => return Err(ExchangeError::Token),
                // Not read to its end: whoever drives this sees that the request is to go out and leaves the connection.
                Open::Ignored => self.state = State::Ready,
                Open::Asked | Open::Yours => {}
            }
        }
        Ok(what == Open::Yours)
    }

    /// An answer is whole.
    pub(crate) fn ended(&mut self) -> Result<Over, ExchangeError> {
        let State::Open { what, .. } = self.state else { return Ok(Over::Again) };
        match what {
            Open::Yours => return Ok(Over::Yours),
            Open::Token => {
                self.token = Some(read_token(&self.token_answer).ok_or(ExchangeError::Token)?);
                self.fetch_token = None;
            }
            Open::Asked | Open::Ignored => {}
        }
        self.state = State::Ready;
        Ok(Over::Again)
    }

    /// A try failed: the next one waits.
    ///
    /// # Errors
    /// When it was the last.
    pub(crate) fn broke(&mut self, now_us: i64, broke: Broke) -> Result<(), ExchangeError> {
        // Its end was settled when the head came.
        if matches!(self.state, State::Waiting(_)) {
            return Ok(());
        }
        self.failed(now_us, broke, 0)
    }

    fn failed(&mut self, now_us: i64, broke: Broke, at_least_us: i64) -> Result<(), ExchangeError> {
        self.last = Some(broke);
        self.tries += 1;
        if self.tries >= self.policy.tries {
            return Err(ExchangeError::GaveUp(broke));
        }
        let doubled = self.policy.first_wait_us.saturating_mul(1 << (self.tries - 1).min(30));
        let longest = self.policy.longest_wait_us;
        // From half to all of it: gateways that failed together do not come back together.
        let wait = (doubled.min(longest) as f64 * self.random.random_range(0.5..1.0)) as i64;
        self.state = State::Waiting(now_us.saturating_add(wait.max(at_least_us.min(longest))));
        self.target = self.ask.url.clone();
        self.redirects = 0;
        Ok(())
    }
}

fn busy(status: u16) -> bool {
    matches!(status, 429 | 500 | 502 | 503 | 504)
}

#[cfg(test)]
mod tests;
