//! A command's session with the key-value registry: a client with its own event loop that sends one request
//! at a time. Used by the commands `members` and `settings`.

use super::login::LoginArguments;
use crate::clock::Clock;
use clap::Args;
use slatevalve_pacing::Limits;
use slatevalve_reactor::Reactor;
use slatevalve_registry::{
    ClientEvent, ClientSettings, Login, RegistrationSettings, WatchScope, WatchSettings,
};
use slatevalve_registry_transport::Link;
use std::error::Error;
use std::net::{SocketAddr, ToSocketAddrs};
use std::time::Duration;

/// How long a command waits for a response.
const COMMAND_TIMEOUT_US: i64 = 10_000_000;
/// Timeout of a request to one member of the registry.
const REQUEST_TIMEOUT_US: i64 = 2_000_000;
/// Maximum wait of the event loop.
const MAX_POLL_INTERVAL_US: i64 = 100_000;
/// Bound on the time until a change is received; the same as the default of a gateway.
const DRAIN_WITHIN_US: i64 = 12_000_000;
/// Time to live of a lease if one is granted, in seconds.
const LEASE_TTL_S: i64 = 10;
/// Maximum number of bytes buffered for writing.
const MAX_BUFFERED_BYTES: usize = 1 << 24;

pub(super) type SessionResult<T> = Result<T, Box<dyn Error>>;

#[derive(Args)]
pub(super) struct RegistryArguments {
    /// A member of the registry, HOST:PORT; may be given several times
    #[arg(long)]
    pub(super) registry: Vec<String>,
    /// Prefix of the keys, as in `(members (prefix ...))`
    #[arg(long, default_value = "/slatevalve/")]
    pub(super) prefix: String,
    #[command(flatten)]
    pub(super) login: LoginArguments,
}

/// A registry client with its event loop.
pub(super) struct Session {
    pub(super) link: Link,
    reactor: Reactor,
    pub(super) clock: Clock,
    pub(super) prefix: String,
}

/// Resolves endpoints `HOST:PORT` to the first address of each.
pub(super) fn resolve(endpoints: &[String]) -> SessionResult<Vec<SocketAddr>> {
    let resolve_one = |endpoint: &String| -> SessionResult<SocketAddr> {
        let mut addresses = endpoint.to_socket_addrs().map_err(|error| format!("{endpoint}: {error}"))?;
        Ok(addresses.next().ok_or_else(|| format!("{endpoint} resolves to no address"))?)
    };
    endpoints.iter().map(resolve_one).collect()
}

impl Session {
    /// Creates a session with the registry in the arguments.
    pub(super) fn new(arguments: RegistryArguments, follow: WatchScope) -> SessionResult<Self> {
        let RegistryArguments { registry: endpoints, prefix, login } = arguments;
        if endpoints.is_empty() {
            return Err("no registry given: use --registry HOST:PORT".into());
        }
        let login = login.read()?.map(|(name, password)| Login { name, password });
        let addresses = resolve(&endpoints)?;
        let settings = ClientSettings {
            endpoints,
            relays: 0,
            prefix: prefix.clone(),
            login,
            follow,
            own: None,
            watch_state: WatchSettings::default(),
            registration: RegistrationSettings { ttl_s: LEASE_TTL_S },
            pace: Limits::default(),
            clients: 1,
            drain_within_us: DRAIN_WITHIN_US,
            timeout_us: REQUEST_TIMEOUT_US,
            seed: u64::from(std::process::id()),
        };
        let reactor = Reactor::new(MAX_BUFFERED_BYTES)?;
        Ok(Session { link: Link::new(settings, addresses), reactor, clock: Clock::start(), prefix })
    }

    /// Runs one iteration of the event loop; returns the client's events.
    pub(super) fn poll(&mut self) -> SessionResult<Vec<ClientEvent>> {
        let now_us = self.clock.now().0;
        self.link.advance(now_us, &mut self.reactor);
        let wait_us = (self.link.next_wake(now_us) - now_us).clamp(0, MAX_POLL_INTERVAL_US) as u64;
        let mut events = Vec::new();
        self.reactor.poll(Some(Duration::from_micros(wait_us)), &mut events)?;
        let now_us = self.clock.now().0;
        for event in &events {
            self.link.handle_event(now_us, &mut self.reactor, event);
        }
        Ok(self.link.take_events())
    }

    /// Polls until `step` returns a result. After [`COMMAND_TIMEOUT_US`] the last failure is returned as the
    /// error.
    pub(super) fn poll_until<T>(
        &mut self,
        mut step: impl FnMut(&Self, Vec<ClientEvent>) -> Option<SessionResult<T>>,
    ) -> SessionResult<T> {
        let deadline_us = self.clock.now().0 + COMMAND_TIMEOUT_US;
        let mut last_failure = "the registry does not answer".to_string();
        while self.clock.now().0 < deadline_us {
            let events = self.poll()?;
            for event in &events {
                if let ClientEvent::Failed(reason) = event {
                    last_failure.clone_from(reason);
                }
            }
            if let Some(result) = step(self, events) {
                return result;
            }
        }
        Err(last_failure.into())
    }

    /// Sends a request and waits for its response.
    pub(super) fn request<T: serde::de::DeserializeOwned>(
        &mut self,
        path: &'static str,
        body: &impl serde::Serialize,
    ) -> SessionResult<T> {
        let ticket = self.link.client_mut().send_request(path, body);
        let body = self.poll_until(|_, events| {
            events.into_iter().find_map(|event| match event {
                ClientEvent::Answered(answered, response) if answered == ticket => {
                    Some(response.map_err(Into::into))
                }
                _ => None,
            })
        })?;
        Ok(serde_json::from_slice(&body)?)
    }
}
