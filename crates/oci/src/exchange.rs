//! Sends one request at a time to a registry until its response is complete: tokens, redirects, retries and
//! backoff. [`crate::Pull`] and [`crate::Push`] send all their requests through it.
//!
//! It protects the registry from retries that come too fast (exponential backoff with seeded jitter;
//! `Retry-After` is respected), the gateway from a registry that never finishes (stalls, redirects, attempts
//! and the whole job are bounded), and the credentials: they are sent to the registry's own address and its
//! token service, never along with a redirect to another address.

mod error;
mod policy;
mod request;

pub use error::{AttemptFailure, ExchangeError};
pub use policy::Policy;
pub use request::Request;

pub(crate) use request::{RegistryRequest, IMAGE_MANIFEST_TYPE};

use crate::challenge::{read_token, Challenge, Credentials};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use request::authority;
use slatevalve_http::Head;
use url::Url;

/// Limit, in bytes, of a token service's response, and of a discarded body that is read to its end so that
/// the connection can be used again.
const MAX_CONSUMED_BODY: usize = 64 * 1024;
/// The backoff doubles at most this often, so that the shift does not overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 30;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// The next step for the driver of a job. Times are microseconds of the driver's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send this request and pass its response to [`crate::Job::response_event`].
    Send(Request),
    /// Call [`crate::Job::next`] again at this time.
    Wait(i64),
    /// A response is outstanding; the attempt fails as stalled when no bytes arrive by this time.
    Receive(i64),
    /// The job is complete.
    Done,
}

/// Who handles a response, known from its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadOutcome {
    /// The response to the caller's request.
    ForCaller,
    /// Handled by the exchange (token, redirect, challenge, retry), which discards or parses the body.
    Consumed,
}

/// What follows the end of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndOutcome {
    /// The caller's response is complete.
    Complete,
    /// The exchange sends the request again by itself.
    Resend,
}

enum State {
    /// The request is sent by the next [`Exchange::next`].
    Ready,
    /// The request is sent again from this time on.
    Backoff(i64),
    /// A response is outstanding. `since_us` is the time of its last bytes, or of sending the request.
    Receiving { since_us: i64, phase: ResponsePhase },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ResponsePhase {
    AwaitingHead,
    /// The body of the caller's response.
    CallerBody,
    /// A body to be discarded before the request is sent again.
    DiscardedBody,
    /// The body of a token service's response.
    TokenBody,
}

/// A sequence of requests to one registry that share credentials, attempts and a deadline.
pub(crate) struct Exchange {
    policy: Policy,
    credentials: Option<Credentials>,
    /// `HOST:PORT` of the registry.
    origin: String,
    request: RegistryRequest,
    /// The request's URL after redirects.
    target: Url,
    redirects: u32,
    state: State,
    /// Consecutive failed attempts without progress.
    failed_attempts: u32,
    deadline_us: i64,
    last_failure: Option<AttemptFailure>,
    random: Pcg64Mcg,
    token: Option<String>,
    /// Whether the registry requested basic authentication.
    basic: bool,
    /// URL of the token to be fetched before the request is sent again.
    token_url: Option<Url>,
    /// Body of the token service's response, or the discarded body, as far as received.
    consumed_body: Vec<u8>,
    /// Whether the registry accepted a request since its last challenge; true before the first one.
    accepted: bool,
}

impl Exchange {
    /// An exchange whose deadline is [`Policy::job_timeout_us`] from now; `seed` is that of the backoff's
    /// jitter.
    pub(crate) fn new(
        now_us: i64,
        policy: Policy,
        credentials: Option<Credentials>,
        seed: u64,
        request: RegistryRequest,
    ) -> Self {
        Exchange {
            deadline_us: now_us.saturating_add(policy.job_timeout_us),
            policy,
            credentials,
            origin: authority(&request.url),
            target: request.url.clone(),
            request,
            redirects: 0,
            state: State::Ready,
            failed_attempts: 0,
            last_failure: None,
            random: Pcg64Mcg::seed_from_u64(seed),
            token: None,
            basic: false,
            token_url: None,
            consumed_body: Vec::new(),
            accepted: true,
        }
    }

    /// Starts a new request; the token and the count of failed attempts are kept.
    pub(crate) fn start(&mut self, request: RegistryRequest) {
        self.replace(request);
        self.redirects = 0;
        self.state = State::Ready;
    }

    /// Replaces the request of the next attempt, for example to request another range; a backoff is kept.
    pub(crate) fn replace(&mut self, request: RegistryRequest) {
        self.target = request.url.clone();
        self.request = request;
    }

    /// Resets the count of failed attempts after the job progressed.
    pub(crate) fn progress(&mut self) {
        self.failed_attempts = 0;
    }

    /// The next step for the driver.
    ///
    /// # Errors
    /// [`ExchangeError::DeadlineExceeded`] after the deadline.
    pub(crate) fn next(&mut self, now_us: i64) -> Result<Next, ExchangeError> {
        if now_us >= self.deadline_us {
            return Err(ExchangeError::DeadlineExceeded(self.last_failure));
        }
        match self.state {
            State::Backoff(until_us) if now_us < until_us => Ok(Next::Wait(until_us.min(self.deadline_us))),
            State::Backoff(_) | State::Ready => {
                self.enter(now_us, ResponsePhase::AwaitingHead);
                Ok(Next::Send(self.encode()))
            }
            State::Receiving { since_us, .. } => {
                let stalled_us = since_us.saturating_add(self.policy.stall_timeout_us);
                Ok(Next::Receive(stalled_us.min(self.deadline_us)))
            }
        }
    }

    /// Whether a response is outstanding or being read.
    pub(crate) fn is_receiving(&self) -> bool {
        matches!(self.state, State::Receiving { .. })
    }

    /// The token request if one is due, else the caller's request to its current target.
    fn encode(&self) -> Request {
        if let Some(url) = &self.token_url {
            // The token service authenticates the user by name and password.
            let authorization = self.credentials.as_ref().map(Credentials::basic);
            return RegistryRequest::get(url.clone()).encode(authorization.as_deref());
        }
        let request = RegistryRequest { url: self.target.clone(), ..self.request.clone() };
        request.encode(self.authorization().as_deref())
    }

    /// The `Authorization` header of the caller's request; none outside the registry's own address.
    fn authorization(&self) -> Option<String> {
        if authority(&self.target) != self.origin {
            return None;
        }
        match &self.token {
            Some(token) => Some(format!("Bearer {token}")),
            None => self.credentials.as_ref().filter(|_| self.basic).map(Credentials::basic),
        }
    }

    fn enter(&mut self, now_us: i64, phase: ResponsePhase) {
        self.state = State::Receiving { since_us: now_us, phase };
    }

    /// Handles the head of a response.
    pub(crate) fn head(&mut self, now_us: i64, head: &Head) -> Result<HeadOutcome, ExchangeError> {
        self.consumed_body.clear();
        if self.token_url.is_some() {
            return self.token_head(now_us, head);
        }
        match head.status {
            401 => self.handle_challenge(head)?,
            // Redirects are followed for GET and HEAD only, not for requests that change something. An upload
            // is sent to the `Location` of its session.
            301 | 302 | 303 | 307 | 308 if matches!(self.request.method, "GET" | "HEAD") => {
                self.follow_redirect(head)?;
            }
            status if is_retryable(status) => return self.handle_retryable(now_us, head),
            _ => {
                self.accepted = true;
                self.enter(now_us, ResponsePhase::CallerBody);
                return Ok(HeadOutcome::ForCaller);
            }
        }
        self.enter(now_us, ResponsePhase::DiscardedBody);
        Ok(HeadOutcome::Consumed)
    }

    fn token_head(&mut self, now_us: i64, head: &Head) -> Result<HeadOutcome, ExchangeError> {
        self.enter(now_us, ResponsePhase::TokenBody);
        match head.status {
            200 => Ok(HeadOutcome::Consumed),
            401 | 403 => Err(ExchangeError::Unauthorized),
            status if is_retryable(status) => self.handle_retryable(now_us, head),
            _ => Err(ExchangeError::Token),
        }
    }

    fn handle_challenge(&mut self, head: &Head) -> Result<(), ExchangeError> {
        // No request was accepted since the last challenge, so the registry rejects the credentials or token
        // sent for it.
        if !self.accepted {
            return Err(ExchangeError::Unauthorized);
        }
        let challenge = find_challenge(head).ok_or(ExchangeError::Unauthorized)?;
        self.accepted = false;
        match challenge {
            Challenge::Basic if self.credentials.is_none() => return Err(ExchangeError::Unauthorized),
            Challenge::Basic => self.basic = true,
            Challenge::Bearer { .. } => {
                let url = challenge.token_url().ok_or(ExchangeError::Token)?;
                // The password is sent to this address, so the operator must have allowed it.
                self.check_allowed(&url)?;
                self.token = None;
                self.token_url = Some(url);
            }
        }
        self.reset_target();
        Ok(())
    }

    /// Goes back to the registry's own URL, as its next redirect may point to another address.
    fn reset_target(&mut self) {
        self.target = self.request.url.clone();
        self.redirects = 0;
    }

    fn check_allowed(&self, url: &Url) -> Result<(), ExchangeError> {
        let address = authority(url);
        match url.scheme() == "http" && (address == self.origin || self.policy.hosts.contains(&address)) {
            true => Ok(()),
            false => Err(ExchangeError::AddressNotAllowed(format!("{}://{address}", url.scheme()))),
        }
    }

    fn follow_redirect(&mut self, head: &Head) -> Result<(), ExchangeError> {
        self.redirects += 1;
        if self.redirects > self.policy.max_redirects {
            return Err(ExchangeError::InvalidRedirect);
        }
        let target = head.header("Location").and_then(|location| self.target.join(location).ok());
        let target = target.ok_or(ExchangeError::InvalidRedirect)?;
        self.check_allowed(&target)?;
        self.target = target;
        Ok(())
    }

    /// Schedules a retry after the backoff, or after `Retry-After` if that is longer, up to the policy's
    /// limit.
    fn handle_retryable(&mut self, now_us: i64, head: &Head) -> Result<HeadOutcome, ExchangeError> {
        let seconds = head.header("Retry-After").and_then(|value| value.parse::<i64>().ok());
        let retry_after_us = seconds.map_or(0, |seconds| seconds.saturating_mul(MICROS_PER_SECOND));
        self.schedule_retry(now_us, AttemptFailure::Busy(head.status), retry_after_us)?;
        Ok(HeadOutcome::Consumed)
    }

    /// Handles a chunk of a response's body; returns whether it belongs to the caller's response.
    pub(crate) fn body(&mut self, now_us: i64, chunk: &[u8]) -> Result<bool, ExchangeError> {
        let State::Receiving { phase, .. } = self.state else { return Ok(false) };
        self.enter(now_us, phase);
        if matches!(phase, ResponsePhase::TokenBody | ResponsePhase::DiscardedBody) {
            self.consumed_body.extend_from_slice(chunk);
        }
        if self.consumed_body.len() > MAX_CONSUMED_BODY {
            match phase {
                ResponsePhase::TokenBody => return Err(ExchangeError::Token),
                // The rest is not read: the driver finds that no response is outstanding and closes the
                // connection.
                ResponsePhase::DiscardedBody => self.state = State::Ready,
                ResponsePhase::AwaitingHead | ResponsePhase::CallerBody => {}
            }
        }
        Ok(phase == ResponsePhase::CallerBody)
    }

    /// Handles the end of a response.
    pub(crate) fn ended(&mut self) -> Result<EndOutcome, ExchangeError> {
        let State::Receiving { phase, .. } = self.state else { return Ok(EndOutcome::Resend) };
        match phase {
            ResponsePhase::CallerBody => return Ok(EndOutcome::Complete),
            ResponsePhase::TokenBody => {
                self.token = Some(read_token(&self.consumed_body).ok_or(ExchangeError::Token)?);
                self.token_url = None;
            }
            ResponsePhase::AwaitingHead | ResponsePhase::DiscardedBody => {}
        }
        self.state = State::Ready;
        Ok(EndOutcome::Resend)
    }

    /// Handles a failed attempt by scheduling the next one after a backoff.
    ///
    /// # Errors
    /// [`ExchangeError::AttemptsExhausted`] when it was the last attempt.
    pub(crate) fn attempt_failed(
        &mut self,
        now_us: i64,
        failure: AttemptFailure,
    ) -> Result<(), ExchangeError> {
        // The head of the response made the attempt fail already, and its retry is scheduled.
        if matches!(self.state, State::Backoff(_)) {
            return Ok(());
        }
        self.schedule_retry(now_us, failure, 0)
    }

    fn schedule_retry(
        &mut self,
        now_us: i64,
        failure: AttemptFailure,
        min_us: i64,
    ) -> Result<(), ExchangeError> {
        self.last_failure = Some(failure);
        self.failed_attempts += 1;
        if self.failed_attempts >= self.policy.max_attempts {
            return Err(ExchangeError::AttemptsExhausted(failure));
        }
        let doublings = (self.failed_attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
        let doubled = self.policy.initial_backoff_us.saturating_mul(1 << doublings);
        let longest = self.policy.max_backoff_us;
        // Jitter from half to the whole backoff, so that gateways that failed together do not retry together.
        let backoff = (doubled.min(longest) as f64 * self.random.random_range(0.5..1.0)) as i64;
        self.state = State::Backoff(now_us.saturating_add(backoff.max(min_us.min(longest))));
        self.reset_target();
        Ok(())
    }
}

/// The first challenge with a supported scheme.
fn find_challenge(head: &Head) -> Option<Challenge> {
    head.headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("www-authenticate"))
        .filter_map(|(_, value)| std::str::from_utf8(value).ok())
        .find_map(Challenge::parse)
}

fn is_retryable(status: u16) -> bool {
    matches!(status, 429 | 500 | 502 | 503 | 504)
}

#[cfg(test)]
mod tests;
