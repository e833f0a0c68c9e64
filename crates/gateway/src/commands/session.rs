//! A command's session with the key-value registry: a client on an event loop of its own, one request after the other. Used
//! by the commands `members` and `settings`.

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
/// Timeout of one request at one member.
const REQUEST_TIMEOUT_US: i64 = 2_000_000;
/// The longest wait of the event loop.
const POLL_INTERVAL_MAX_US: i64 = 100_000;
/// Bound on the time until a change is received, as of a gateway.
const DRAIN_WITHIN_US: i64 = 12_000_000;
/// Time to live of a lease, where one is granted.
const LEASE_TTL_S: i64 = 10;
/// The largest number of bytes buffered for writing.
const BUFFERED_BYTES_MAX: usize = 1 << 24;

pub(super) type Res<T> = Result<T, Box<dyn Error>>;

#[derive(Args)]
pub(super) struct RegistryArguments {
    /// A member of the registry, HOST:PORT; may be given several times
    #[arg(long)]
    pub(super) registry: Vec<String>,
    /// What the keys begin with, as `(members (prefix ...))` has it
    #[arg(long, default_value = "/slatevalve/")]
    pub(super) prefix: String,
    #[command(flatten)]
    pub(super) login: LoginArguments,
}

/// A client with its event loop.
pub(super) struct Session {
    pub(super) link: Link,
    reactor: Reactor,
    pub(super) clock: Clock,
    pub(super) prefix: String,
}

/// Resolves the addresses of endpoints `HOST:PORT`, the first one of each.
pub(super) fn resolve(endpoints: &[String]) -> Res<Vec<SocketAddr>> {
    let resolve_one = |endpoint: &String| -> Res<SocketAddr> {
        let mut addresses = endpoint.to_socket_addrs().map_err(|error| format!("{endpoint}: {error}"))?;
        Ok(addresses.next().ok_or_else(|| format!("{endpoint} has no address"))?)
    };
    endpoints.iter().map(resolve_one).collect()
}

impl Session {
    /// Creates a session with the registry that the arguments name.
    pub(super) fn new(arguments: RegistryArguments, follow: WatchScope) -> Res<Self> {
        let RegistryArguments { registry: endpoints, prefix, login } = arguments;
        if endpoints.is_empty() {
            return Err("which registry? --registry HOST:PORT".into());
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
        let reactor = Reactor::new(BUFFERED_BYTES_MAX)?;
        Ok(Session { link: Link::new(settings, addresses), reactor, clock: Clock::start(), prefix })
    }

    /// Runs one iteration of the event loop; returns the client's events.
    pub(super) fn poll(&mut self) -> Res<Vec<ClientEvent>> {
        let now_us = self.clock.now().0;
        self.link.advance(now_us, &mut self.reactor);
        let wait_us = (self.link.next_wake(now_us) - now_us).clamp(0, POLL_INTERVAL_MAX_US) as u64;
        let mut events = Vec::new();
        self.reactor.poll(Some(Duration::from_micros(wait_us)), &mut events)?;
        let now_us = self.clock.now().0;
        for event in &events {
            self.link.handle_event(now_us, &mut self.reactor, event);
        }
        Ok(self.link.take_events())
    }

    /// Polls until `step` returns a result. After [`COMMAND_TIMEOUT_US`] the last failure is the error.
    pub(super) fn poll_until<T>(
        &mut self,
        mut step: impl FnMut(&Self, Vec<ClientEvent>) -> Option<Res<T>>,
    ) -> Res<T> {
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
    ) -> Res<T> {
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
