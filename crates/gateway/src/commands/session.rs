//! A command's session with the key-value registry: a client on a loop of its own, one question after the other. Used by the
//! commands about members and about settings.

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
use std::net::ToSocketAddrs;
use std::time::Duration;

/// A command that was not answered by then is given up.
pub(super) const WITHIN_US: i64 = 10_000_000;

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

/// See the module's documentation.
pub(super) struct Session {
    pub(super) link: Link,
    reactor: Reactor,
    pub(super) clock: Clock,
    pub(super) prefix: String,
}

impl Session {
    /// A session with the registry that the arguments name.
    pub(super) fn new(arguments: RegistryArguments, follow: WatchScope) -> Res<Self> {
        let RegistryArguments { registry: endpoints, prefix, login } = arguments;
        if endpoints.is_empty() {
            return Err("which registry? --registry HOST:PORT".into());
        }
        let login = login.read()?.map(|(name, password)| Login { name, password });
        let mut addresses = Vec::new();
        for endpoint in &endpoints {
            let found = endpoint.to_socket_addrs().map_err(|e| format!("{endpoint}: {e}"))?.next();
            addresses.push(found.ok_or_else(|| format!("{endpoint} has no address"))?);
        }
        let settings = ClientSettings {
            endpoints,
            relays: 0,
            prefix: prefix.clone(),
            login,
            follow,
            own: None,
            watch_state: WatchSettings::default(),
            registration: RegistrationSettings { ttl_s: 10 },
            pace: Limits::default(),
            askers: 1,
            drain_within_us: 12_000_000,
            timeout_us: 2_000_000,
            seed: u64::from(std::process::id()),
        };
        let reactor = Reactor::new(1 << 24)?;
        Ok(Session { link: Link::new(settings, addresses), reactor, clock: Clock::start(), prefix })
    }

    /// One turn; gives what was heard.
    pub(super) fn poll(&mut self) -> Res<Vec<ClientEvent>> {
        let now = self.clock.now().0;
        self.link.advance(now, &mut self.reactor);
        let wait = (self.link.next_wake(now) - now).clamp(0, 100_000) as u64;
        let mut happened = Vec::new();
        self.reactor.poll(Some(Duration::from_micros(wait)), &mut happened)?;
        let now = self.clock.now().0;
        for event in &happened {
            self.link.handle_event(now, &mut self.reactor, event);
        }
        Ok(self.link.take_events())
    }

    /// Turns until `found` finds what is waited for; what failed last is the error where nothing comes.
    pub(super) fn until<T>(&mut self, mut found: impl FnMut(&Self, ClientEvent) -> Option<Res<T>>) -> Res<T> {
        let until = self.clock.now().0 + WITHIN_US;
        let mut failed = "the registry does not answer".to_string();
        while self.clock.now().0 < until {
            for heard in self.poll()? {
                if let ClientEvent::Failed(words) = &heard {
                    failed.clone_from(words);
                }
                if let Some(end) = found(self, heard) {
                    return end;
                }
            }
        }
        Err(failed.into())
    }

    /// Asks, and waits for the answer.
    pub(super) fn ask<T: serde::de::DeserializeOwned>(
        &mut self,
        path: &'static str,
        body: &impl serde::Serialize,
    ) -> Res<T> {
        let ticket = self.link.client_mut().ask(path, body);
        let body = self.until(|_, heard| match heard {
            ClientEvent::Answered(t, answer) if t == ticket => Some(answer.map_err(Into::into)),
            _ => None,
        })?;
        Ok(serde_json::from_slice(&body)?)
    }
}
