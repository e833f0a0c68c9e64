//! The registry as a source: the client on the loop's sockets, what it follows as news, the number of routers by the
//! census, and what the next process is to begin with.

use super::{News, Source};
use crate::remembered_file::RememberedFile;
use slatevalve::Micros;
use slatevalve_reactor::{Reactor, ReactorEvent};
use slatevalve_registry::{
    ClientEvent, ClientSettings, Freshness, LoadedSnapshot, MemberChange, Members, RouterCount,
    RouterCountSettings, RouterRecord, WorkerRecord,
};
use slatevalve_registry_transport::Link;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tracing::{error, info, warn};

/// The `members` form.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Of the client; its own entry is filled in by the source.
    pub client: ClientSettings,
    /// The endpoints' addresses, in the client's order.
    pub addresses: Vec<SocketAddr>,
    /// Of the census.
    pub census: RouterCountSettings,
    /// The file that the next process begins with.
    pub remember: Option<PathBuf>,
    /// The file that news are recorded in.
    pub record: Option<PathBuf>,
}

/// See the module's documentation.
pub struct RegistrySource {
    link: Link,
    members: Members,
    census: RouterCount,
    /// Routers that the registry lists, once it was asked.
    listed: Option<usize>,
    news: Vec<News>,
    /// The module was told the whole list since it was last told that nothing is heard.
    told_full: bool,
    told_refused: bool,
    remembered_file: Option<RememberedFile>,
    leaving: Option<u64>,
    left: bool,
}

impl RegistrySource {
    /// A source that registers this router under a name. `routers` are believed in before anything is heard.
    pub fn new(settings: MemberSettings, name: &str, record: &RouterRecord, routers: usize) -> Self {
        let mut client = settings.client;
        let value = serde_json::to_vec(record).unwrap_or_default();
        client.own = Some((slatevalve_registry::router_key(&client.prefix, name), value));
        let members = Members::new(&client.prefix);
        let mut source = RegistrySource {
            link: Link::new(client, settings.addresses),
            members,
            census: RouterCount::new(settings.census, routers),
            listed: None,
            news: Vec::new(),
            told_full: false,
            told_refused: false,
            remembered_file: None,
            leaving: None,
            left: false,
        };
        if let Some(path) = settings.remember {
            source.remember(&path, settings.census);
            source.remembered_file = Some(RememberedFile::open(path, "list"));
        }
        source
    }

    /// Begins with what an earlier process kept, until the registry is heard.
    fn remember(&mut self, path: &Path, census: RouterCountSettings) {
        let kept = match fs::read(path) {
            Ok(kept) => kept,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return,
            Err(error) => {
                return warn!(path = %path.display(), %error, "the last list of workers is not read")
            }
        };
        match self.link.client_mut().watch_state_mut().load_snapshot(&kept) {
            Ok(LoadedSnapshot { changes, clients: routers }) => {
                // So many there were, all the more where all start again together.
                if routers > self.census.routers() {
                    self.census = RouterCount::new(census, routers);
                    self.link.client_mut().askers(routers);
                    self.news.push(News::Routers(routers));
                }
                let (_, errors) = self.members.apply(changes);
                errors.iter().for_each(|error| warn!(%error, "a record is not taken"));
                info!(workers = self.members.workers().len(), "the last list of workers, from the disk");
                self.news.push(News::Remembered(self.members.workers().clone()));
            }
            Err(error) => warn!(path = %path.display(), %error, "the last list of workers is not read"),
        }
    }

    fn workers(&self) -> BTreeMap<String, WorkerRecord> {
        self.members.workers().clone()
    }

    /// Makes news of what the client heard.
    fn digest(&mut self, now: Micros) {
        let mut changed = false;
        for heard in self.link.take_events() {
            match heard {
                ClientEvent::Changes(changes) => {
                    let (told, errors) = self.members.apply(changes);
                    errors
                        .iter()
                        .for_each(|error| warn!(%error, "a record is not taken; what was known stays"));
                    changed = true;
                    if self.told_full {
                        let changes = told.into_iter().filter_map(|change| match change {
                            MemberChange::Worker(name, record) => Some((name, Some(record))),
                            MemberChange::WorkerRemoved(name) => Some((name, None)),
                            MemberChange::Routers(_) => None,
                        });
                        let changes: Vec<_> = changes.collect();
                        if !changes.is_empty() {
                            self.news.push(News::Changes(changes));
                        }
                    }
                }
                ClientEvent::WatchFault(trouble) => {
                    warn!(?trouble, "registry: the list is compared anew, or the watch begun again")
                }
                ClientEvent::Failed(words) => warn!("registry: {words}"),
                ClientEvent::Registered => info!("registered"),
                ClientEvent::Routers(count) => self.listed = Some(count),
                ClientEvent::LeaseLost => warn!("registry: our lease was lost; it is had anew"),
                ClientEvent::Answered(ticket, _) => self.left |= self.leaving == Some(ticket),
            }
        }
        let view = self.link.client().watch_state().freshness(now.0);
        match view {
            Freshness::Current if !self.told_full => {
                (self.told_full, self.told_refused) = (true, false);
                self.news.push(News::Full(self.workers()));
            }
            // Also at a start without a list of any kind: the module asks nothing of a list that it has not.
            Freshness::Stale if !self.told_refused => {
                (self.told_full, self.told_refused) = (false, true);
                error!("nothing is heard of the registry; the workers that were known are used on");
                self.news.push(News::Refused);
            }
            _ => {}
        }
        let counted = self.listed.and_then(|count| self.census.listed(now.0, count, view));
        if let Some(routers) = counted {
            info!(routers, "routers");
            self.link.client_mut().askers(routers);
            self.news.push(News::Routers(routers));
        }
        if changed || counted.is_some() {
            let kept = self.link.client().watch_state().to_snapshot(self.census.routers());
            if let Some(file) = &self.remembered_file {
                file.write(kept);
            }
        }
    }
}

impl Source for RegistrySource {
    fn handle_event(&mut self, now: Micros, reactor: &mut Reactor, event: &ReactorEvent) -> bool {
        let mine = self.link.handle_event(now.0, reactor, event);
        if mine {
            self.digest(now);
        }
        mine
    }

    fn advance(&mut self, now: Micros, reactor: &mut Reactor) {
        self.link.advance(now.0, reactor);
        self.digest(now);
    }

    fn next_wake(&self, now: Micros) -> Micros {
        let watch_state = self.link.client().watch_state();
        let mut due = self.link.next_wake(now.0);
        for at in
            [watch_state.stale_at_us().filter(|_| self.told_full), self.census.due_us()].into_iter().flatten()
        {
            due = due.min(at);
        }
        Micros(due.max(now.0))
    }

    fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    fn leave(&mut self, now: Micros, reactor: &mut Reactor) {
        self.leaving = self.link.client_mut().leave();
        self.left = self.leaving.is_none();
        self.link.advance(now.0, reactor);
    }

    fn has_left(&self) -> bool {
        self.left
    }
}
