//! The registry's client without I/O: what the follower, the registration and the caller want, as HTTP messages on two
//! connections, and what comes back. One connection is the watch's, whose answer never ends; the other has one short request
//! at a time. The gateway's shell, the stand-in worker and the commands open sockets as it says.
//!
//! It guards against members that accept and never answer (each request has a time; the watch is checked by looks), that
//! fail (the next one is asked, see [`Endpoints`]), and tokens that end (a login, and what was refused goes out again); and
//! the registry against hundreds of askers: [`PollSchedule`] says when each question goes out, a keep-alive serves as a look where
//! nothing changed, and routers are counted, not heard of one by one.

use crate::connection::{Connection, Link, Purpose};
use crate::counting::Counting;
use crate::endpoints::Endpoints;
use crate::members::{RelayRecord, RELAYS, ROUTERS, WORKERS};
use crate::registration::{Registration, RegistrationSettings, Step};
use crate::watch_state::{Change, NextRequest, WatchFault, WatchSettings, WatchState};
use crate::wire::*;
use serde::de::DeserializeOwned;
use serde::Serialize;
use slatevalve_http::Part;
use slatevalve_pacing::{Limits as PaceLimits, PollSchedule};
use std::collections::VecDeque;

/// Bytes of one answer, or of one line of a watch's.
const MAX_ANSWER: usize = 16 * 1024 * 1024;
/// The parts of what the registry takes that all askers' looks, and all their audits, may bring.
const LOOK_PART: f64 = 0.045;
const AUDIT_PART: f64 = 0.002;
/// Audits are never further apart.
const LONGEST_AUDIT_US: i64 = 600_000_000;

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchScope {
    /// Nothing.
    Nothing,
    /// Workers by list and watch; routers are only counted, so that what they cost does not grow with their square.
    Workers,
    /// Every key below the prefix.
    All,
}

/// Who we are towards the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Login {
    /// The user.
    pub name: String,
    /// The password.
    pub password: String,
}

/// What a client is told at its start. Times in microseconds.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// `HOST:PORT` of each member; relays before the registry's own.
    pub endpoints: Vec<String>,
    /// So many of the endpoints are relays.
    pub relays: usize,
    /// Prefix of all keys that are followed; ends with `/`.
    pub prefix: String,
    /// Who we are, where the registry wants to know.
    pub login: Option<Login>,
    /// What is followed.
    pub follow: WatchScope,
    /// This process's own key and its value, where it registers itself.
    pub own: Option<(String, Vec<u8>)>,
    /// Of the follower.
    pub watch_state: WatchSettings,
    /// Of the registration.
    pub registration: RegistrationSettings,
    /// What the registry takes, and the longest wait.
    pub pace: PaceLimits,
    /// How many ask the registry as this one does, as far as is known at the start.
    pub askers: usize,
    /// A change is heard within this at a registry that answers, also where the watch went silent with its connection open.
    pub drain_within_us: i64,
    /// A short request, and the beginning of a watch, are answered within this.
    pub timeout_us: i64,
    /// Seed of what is drawn; this asker's own, see [`slatevalve_pacing::seed_of`].
    pub seed: u64,
}

/// One of the two connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Channel {
    /// The watch's.
    Watch,
    /// That of short requests.
    Short,
}

/// What the owner of the sockets is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Do {
    /// Connect to this endpoint, by its place in the settings.
    Open(Channel, usize),
    /// Write.
    Write(Channel, Vec<u8>),
    /// Close; nothing of it is told any more.
    Close(Channel),
}

/// What the client's owner hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// Changes, in order; those of one revision together.
    Changes(Vec<Change>),
    /// Something went wrong with the following.
    WatchFault(WatchFault),
    /// A member failed; the next one is asked.
    Failed(String),
    /// Our own entry stands.
    Registered,
    /// Our own lease was lost; it is had anew.
    LeaseLost,
    /// So many routers are listed.
    Routers(usize),
    /// An answer to [`Client::ask`]: its ticket, and the body or the error.
    Answered(u64, Result<Vec<u8>, String>),
}

/// See the module's documentation.
pub struct Client {
    settings: ClientSettings,
    watch_state: WatchState,
    registration: Option<Registration>,
    endpoints: Endpoints,
    pace: PollSchedule,
    begun: bool,
    /// Nothing is asked before; short requests not before the second.
    not_before_us: i64,
    short_not_before_us: i64,
    /// Our own entry, and the count of routers, come after all first lists.
    register_from_us: i64,
    counting: Counting,
    /// A keep-alive did not serve as the look that is due.
    look_owed: bool,
    /// Answers in a row that knew less than was told already.
    older: usize,
    token: Option<String>,
    watch: Connection,
    short: Connection,
    /// The watch has said that it began.
    watching: bool,
    asked: VecDeque<(u64, &'static str, Vec<u8>)>,
    next_ticket: u64,
    registered: bool,
    leaving: bool,
}

impl Client {
    /// A client that has heard nothing.
    pub fn new(settings: ClientSettings) -> Self {
        let count = settings.endpoints.len();
        let endpoints = Endpoints::new(count, settings.relays, settings.seed);
        let free = u32::try_from(endpoints.count() - 1).unwrap_or(u32::MAX);
        let limits = PaceLimits { free, ..settings.pace };
        Client {
            watch_state: WatchState::new(settings.watch_state),
            registration: settings.own.is_some().then(|| Registration::new(settings.registration)),
            endpoints,
            pace: PollSchedule::new(limits, settings.askers, settings.seed),
            begun: false,
            not_before_us: 0,
            short_not_before_us: 0,
            register_from_us: 0,
            counting: Counting::new(),
            look_owed: false,
            older: 0,
            settings,
            token: None,
            watch: Connection::new(),
            short: Connection::new(),
            watching: false,
            asked: VecDeque::new(),
            next_ticket: 0,
            registered: false,
            leaving: false,
        }
    }

    /// What is followed.
    pub fn watch_state(&self) -> &WatchState {
        &self.watch_state
    }

    /// The same, to give it what an earlier process kept.
    pub fn watch_state_mut(&mut self) -> &mut WatchState {
        &mut self.watch_state
    }

    /// So many ask the registry as this one does.
    pub fn askers(&mut self, askers: usize) {
        self.settings.askers = askers;
        self.pace.askers(askers);
    }

    /// The longest time until a change is heard at a registry that answers, where the watch went silent with its connection
    /// open: until the next look, its time, and one more for what may be on its way.
    pub fn drain_bound_us(&self) -> i64 {
        self.settings.drain_within_us
    }

    /// Sends a request of the caller's once; gives its ticket. It is not sent again where its end is unknown.
    pub fn ask(&mut self, path: &'static str, body: &impl Serialize) -> u64 {
        self.next_ticket += 1;
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.asked.push_back((self.next_ticket, path, body));
        self.next_ticket
    }

    /// Changes this process's own value, such as to say that it drains; written at once under the lease that stands.
    pub fn announce(&mut self, value: Vec<u8>) {
        if let Some((_, own)) = &mut self.settings.own {
            *own = value;
        }
        if let Some(registration) = &mut self.registration {
            if let Some(lease) = registration.lease() {
                registration.granted(lease);
            }
        }
    }

    /// An orderly end: the lease is given back, and with it the entry. Gives the ticket of that, if there is a lease.
    pub fn leave(&mut self) -> Option<u64> {
        let lease = self.registration.take()?.lease()?;
        self.leaving = true;
        Some(self.ask(REVOKE, &LeaseRequest { id: lease, ttl: 0 }))
    }

    fn connection(&mut self, channel: Channel) -> &mut Connection {
        match channel {
            Channel::Watch => &mut self.watch,
            Channel::Short => &mut self.short,
        }
    }

    /// When [`Client::advance`] is due by itself.
    pub fn next_wake(&self, now_us: i64) -> i64 {
        let mut due = now_us.saturating_add(1_000_000);
        for connection in [&self.watch, &self.short] {
            let waits = connection.purpose().is_some_and(|p| *p != Purpose::Watch || !self.watching);
            if waits {
                due = due.min(connection.since_us.saturating_add(self.settings.timeout_us));
            }
        }
        if !self.begun {
            return now_us;
        }
        if self.not_before_us > now_us {
            return due.min(self.not_before_us);
        }
        if self.wants_watch() || self.short_is_free(now_us) && self.wants_short(now_us) {
            return now_us;
        }
        if self.short_not_before_us > now_us {
            return due.min(self.short_not_before_us);
        }
        let of_lease = self.registration.as_ref().and_then(Registration::due_us);
        let later =
            [self.register_from_us, self.counting.due_us()].map(|at| Some(at).filter(|at| *at > now_us));
        let times = [self.watch_state.look_due_us(), of_lease, self.endpoints.home_us(), later[0], later[1]];
        times.into_iter().flatten().fold(due, i64::min).max(now_us)
    }

    /// The first moment: when the first question goes out is drawn, and with it when our own entry is written.
    fn begin(&mut self, now_us: i64) {
        self.begun = true;
        self.not_before_us = now_us.saturating_add(self.pace.first());
        let follows = self.settings.follow != WatchScope::Nothing;
        let later = if follows { now_us.saturating_add(self.pace.later()) } else { self.not_before_us };
        self.register_from_us = later;
        self.counting.not_before(later);
        self.pace_looks();
    }

    /// How far apart looks and audits are among so many askers.
    fn pace_looks(&mut self) {
        let WatchSettings { look_us, behind_us, audit_us, .. } = self.settings.watch_state;
        let most = self.settings.drain_within_us - self.settings.timeout_us - behind_us;
        let look = self.pace.every(look_us, most, LOOK_PART);
        let audit = self.pace.every(audit_us, LONGEST_AUDIT_US, AUDIT_PART);
        // As few askers as ever look as often as ever, and hear of silence as soon.
        let answer_us = if look > look_us { self.settings.timeout_us } else { 0 };
        self.watch_state.pace(look, audit, answer_us);
    }

    /// Lets time pass: what took too long is given up, and what is wanted goes out.
    pub fn advance(&mut self, now_us: i64, out: &mut Vec<Do>, heard: &mut Vec<ClientEvent>) {
        if !self.begun {
            self.begin(now_us);
        }
        for channel in [Channel::Watch, Channel::Short] {
            let (timeout, watching) = (self.settings.timeout_us, self.watching);
            let connection = self.connection(channel);
            let waits = connection.purpose().is_some_and(|p| *p != Purpose::Watch || !watching);
            if waits && now_us.saturating_sub(connection.since_us) >= timeout {
                self.gone(now_us, channel, "it does not answer", out, heard);
            }
        }
        if now_us < self.not_before_us {
            return;
        }
        if self.endpoints.home_us().is_some_and(|at| now_us >= at)
            && !matches!(self.short.link, Link::Busy(_))
        {
            self.endpoints.go_home();
            self.leave_member(out);
        }
        // A list that begins anew ends the watch that stood.
        if matches!(self.watch.link, Link::Busy(_)) && matches!(self.watch_state.want(), NextRequest::List(_))
        {
            self.close(Channel::Watch, out);
        }
        if self.short_is_free(now_us) {
            if let Some(purpose) = self.wanted(now_us) {
                self.send(now_us, Channel::Short, purpose, out);
            }
        }
        if self.wants_watch() {
            self.send(now_us, Channel::Watch, Purpose::Watch, out);
        }
    }

    fn short_is_free(&self, now_us: i64) -> bool {
        matches!(self.short.link, Link::Closed | Link::Idle) && now_us >= self.short_not_before_us
    }

    fn needs_login(&self) -> bool {
        self.settings.login.is_some() && self.token.is_none()
    }

    /// Whether a watch is to be begun and could be.
    fn wants_watch(&self) -> bool {
        let free = matches!(self.watch.link, Link::Closed | Link::Idle);
        free && self.follows()
            && !self.needs_login()
            && matches!(self.watch_state.want(), NextRequest::Watch(_))
    }

    fn follows(&self) -> bool {
        self.settings.follow != WatchScope::Nothing
    }

    /// The step of our own entry that is due; the first ones not among everybody's first lists.
    fn step(&self, now_us: i64) -> Option<Step> {
        self.registration.as_ref()?.step(now_us).filter(|_| now_us >= self.register_from_us)
    }

    fn wants_count(&self, now_us: i64) -> bool {
        self.settings.follow == WatchScope::Workers && !self.leaving && now_us >= self.counting.due_us()
    }

    /// Whether [`Client::wanted`] would give something.
    fn wants_short(&self, now_us: i64) -> bool {
        let list = !self.leaving && matches!(self.watch_state.want(), NextRequest::List(_));
        let follow = self.follows() && (list || self.watch_state.liveness_check_due(now_us));
        let more = self.step(now_us).is_some() || self.wants_count(now_us) || self.counting.wants_relays();
        self.needs_login() || !self.asked.is_empty() || follow || more
    }

    /// The next short request. A list comes before our own entry: what is sent to a worker that drains is worse than
    /// being counted late.
    fn wanted(&mut self, now_us: i64) -> Option<Purpose> {
        if self.needs_login() {
            return Some(Purpose::Login);
        }
        if let Some((ticket, path, body)) = self.asked.pop_front() {
            return Some(Purpose::Asked { ticket, path, body });
        }
        if self.follows() && !self.leaving {
            if let NextRequest::List(ask) = self.watch_state.want() {
                return Some(Purpose::List(ask));
            }
        }
        // How many ask says how far all else is to be spread.
        if let Some(direct) = self.counting.take_direct() {
            return Some(Purpose::Relays(direct));
        }
        if self.wants_count(now_us) {
            return Some(Purpose::Count);
        }
        if let Some(step) = self.step(now_us) {
            return Some(Purpose::Step(step));
        }
        if !self.follows() || !self.watch_state.liveness_check_due(now_us) {
            return None;
        }
        // The answer to a keep-alive tells the registry's revision, and with it mostly all that a look would.
        let lease = self.registration.as_ref().and_then(Registration::standing);
        let owed = std::mem::take(&mut self.look_owed) || self.watch_state.must_look();
        Some(lease.filter(|_| !owed).map_or(Purpose::Look, |id| Purpose::Step(Step::KeepAlive(id))))
    }

    fn send(&mut self, now_us: i64, channel: Channel, purpose: Purpose, out: &mut Vec<Do>) {
        let endpoint = self.endpoints.current();
        let connection = self.connection(channel);
        connection.since_us = now_us;
        if matches!(connection.link, Link::Closed) {
            *connection = Connection { link: Link::Opening(purpose), since_us: now_us, ..Connection::new() };
            out.push(Do::Open(channel, endpoint));
            return;
        }
        let bytes = self.encode(&purpose);
        match &purpose {
            Purpose::Look => {
                self.pace_looks();
                self.watch_state.looked(now_us);
            }
            Purpose::Count => self.counting.asked(now_us),
            Purpose::Step(_) => self.registration.iter_mut().for_each(|r| r.sent(now_us)),
            Purpose::Watch => self.watching = false,
            _ => {}
        }
        let connection = self.connection(channel);
        connection.body.clear();
        connection.link = Link::Busy(purpose);
        out.push(Do::Write(channel, bytes));
    }

    fn encode(&self, purpose: &Purpose) -> Vec<u8> {
        let (key, range_end) = self.range();
        let json = |value: &dyn erased::Json| value.json();
        let (path, body) = match purpose {
            Purpose::Watch => {
                let start_revision = match self.watch_state.want() {
                    NextRequest::Watch(revision) => revision,
                    _ => 0,
                };
                let create =
                    WatchCreate { key, range_end, start_revision, progress_notify: true, fragment: true };
                (WATCH, json(&WatchRequest { create_request: Some(create) }))
            }
            Purpose::Login => {
                let login = self.settings.login.clone();
                let ask =
                    login.map(|l| AuthRequest { name: l.name, password: l.password }).unwrap_or_default();
                (AUTHENTICATE, json(&ask))
            }
            Purpose::List(ask) => {
                let key = if ask.from.is_empty() { key } else { Bytes(ask.from.clone()) };
                let (limit, revision) = (ask.limit, ask.revision);
                (RANGE, json(&RangeRequest { key, range_end, limit, revision, ..Default::default() }))
            }
            Purpose::Look => (RANGE, json(&RangeRequest::changed_last(key, range_end))),
            Purpose::Count => {
                let (key, range_end) = self.below(ROUTERS);
                (RANGE, json(&RangeRequest { key, range_end, count_only: true, ..Default::default() }))
            }
            Purpose::Relays(_) => {
                let (key, range_end) = self.below(RELAYS);
                (RANGE, json(&RangeRequest { key, range_end, ..Default::default() }))
            }
            Purpose::Step(Step::Grant(ttl)) => (GRANT, json(&LeaseRequest { ttl: *ttl, id: 0 })),
            Purpose::Step(Step::KeepAlive(id)) => (KEEP_ALIVE, json(&LeaseRequest { ttl: 0, id: *id })),
            Purpose::Step(Step::Announce(lease)) => {
                let (key, value) = self.settings.own.clone().unwrap_or_default();
                (PUT, json(&PutRequest { key: Bytes::of(&key), value: Bytes(value), lease: *lease }))
            }
            Purpose::Asked { path, body, .. } => (*path, body.clone()),
        };
        let host = self.settings.endpoints.get(self.endpoints.current()).map_or("", String::as_str);
        let token = self.token.as_ref().map(|t| format!("Authorization: {t}\r\n")).unwrap_or_default();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{token}Content-Length: {}\r\n\r\n",
            body.len()
        );
        [head.into_bytes(), body].concat()
    }

    /// The range that is followed.
    fn range(&self) -> (Bytes, Bytes) {
        self.below(if self.settings.follow == WatchScope::Workers { WORKERS } else { "" })
    }

    fn below(&self, kind: &str) -> (Bytes, Bytes) {
        let prefix = format!("{}{kind}", self.settings.prefix).into_bytes();
        let end = prefix_end(&prefix);
        (Bytes(prefix), Bytes(end))
    }

    fn close(&mut self, channel: Channel, out: &mut Vec<Do>) {
        let connection = self.connection(channel);
        if !matches!(connection.link, Link::Closed) {
            *connection = Connection::new();
            out.push(Do::Close(channel));
        }
        if channel == Channel::Watch {
            self.watching = false;
        }
    }

    /// The member is given up: both connections end, and the next one is asked.
    fn failed(&mut self, now_us: i64, words: &str, out: &mut Vec<Do>, heard: &mut Vec<ClientEvent>) {
        let endpoint = self.settings.endpoints.get(self.endpoints.current()).cloned().unwrap_or_default();
        heard.push(ClientEvent::Failed(format!("{endpoint}: {words}")));
        self.endpoints.failed(now_us);
        self.not_before_us = now_us.saturating_add(self.pace.failed(None));
        self.counting.not_before(now_us.saturating_add(self.pace.later()));
        if let Some(Purpose::Asked { ticket, .. }) = self.short.purpose() {
            heard.push(ClientEvent::Answered(
                *ticket,
                Err(format!("{endpoint}: {words}; it may have been done")),
            ));
        }
        self.leave_member(out);
    }

    /// A connection, or an answer on it, is gone. What has nothing to do with the list ends no watch that stands: where a
    /// member has too much to do, all that its askers lose with the watch would come on top.
    fn gone(
        &mut self,
        now_us: i64,
        channel: Channel,
        words: &str,
        out: &mut Vec<Do>,
        heard: &mut Vec<ClientEvent>,
    ) {
        let aside = matches!(
            self.connection(channel).purpose(),
            Some(Purpose::Count | Purpose::Relays(_) | Purpose::Step(Step::Grant(_) | Step::Announce(_)))
        );
        if !aside || !self.watching {
            return self.failed(now_us, words, out, heard);
        }
        heard.push(ClientEvent::Failed(format!("{words} (not a question of the list)")));
        self.close(channel, out);
        self.short_not_before_us = now_us.saturating_add(self.pace.failed(None));
    }

    fn leave_member(&mut self, out: &mut Vec<Do>) {
        self.close(Channel::Watch, out);
        self.close(Channel::Short, out);
        self.watch_state.broke();
    }

    /// The member has too much to do and says when to come again: what stands stays, as a new connection would cost it more.
    fn turned_away(&mut self, now_us: i64, purpose: &Purpose, again_us: i64) {
        let at = now_us.saturating_add(self.pace.failed(Some(again_us)));
        match purpose {
            Purpose::Watch => self.not_before_us = at,
            _ => self.short_not_before_us = at,
        }
    }

    /// Whether a list is of an earlier state than what was told already, and another member may know more. Where none does,
    /// the registry was set back, and the list is taken.
    fn is_older(&mut self, purpose: &Purpose, body: &[u8]) -> bool {
        let Purpose::List(ask) = purpose else { return false };
        let Some(page) = read::<PlainResponse>(body).filter(|_| ask.from.is_empty()) else { return false };
        let older =
            page.header.revision < self.watch_state.revision() && self.older + 1 < self.endpoints.count();
        self.older = if older { self.older + 1 } else { 0 };
        older
    }

    /// A connection stands.
    pub fn connected(&mut self, now_us: i64, channel: Channel, out: &mut Vec<Do>) {
        let connection = self.connection(channel);
        if let Link::Opening(purpose) = std::mem::replace(&mut connection.link, Link::Idle) {
            self.send(now_us, channel, purpose, out);
        }
    }

    /// A connection ended, or never stood.
    pub fn closed(&mut self, now_us: i64, channel: Channel, out: &mut Vec<Do>, heard: &mut Vec<ClientEvent>) {
        let connection = self.connection(channel);
        let link = std::mem::replace(&mut connection.link, Link::Closed);
        match link {
            Link::Closed | Link::Idle => {}
            Link::Opening(purpose) | Link::Busy(purpose) => {
                // Put back, so that whoever asked hears of it.
                connection.link = Link::Busy(purpose);
                self.gone(now_us, channel, "the connection ended", out, heard);
            }
        }
    }

    /// Bytes came.
    pub fn received(
        &mut self,
        now_us: i64,
        channel: Channel,
        bytes: &[u8],
        out: &mut Vec<Do>,
        heard: &mut Vec<ClientEvent>,
    ) {
        let mut parts = Vec::new();
        let connection = self.connection(channel);
        if connection.purpose().is_none() {
            // Nothing was asked: whatever this answers, it is nobody's.
            return self.close(channel, out);
        }
        let fed = connection.reader.feed(bytes, &mut parts);
        for part in parts {
            if self.connection(channel).purpose().is_none() {
                return;
            }
            self.part(now_us, channel, part, out, heard);
        }
        if fed.is_err() && self.connection(channel).purpose().is_some() {
            self.failed(now_us, "it does not answer in HTTP", out, heard);
        }
    }

    fn part(
        &mut self,
        now_us: i64,
        channel: Channel,
        part: Part,
        out: &mut Vec<Do>,
        heard: &mut Vec<ClientEvent>,
    ) {
        let connection = self.connection(channel);
        match part {
            Part::Head(head) => {
                (connection.status, connection.last) = (head.status, head.last);
                let busy = matches!(head.status, 429 | 503);
                let after = head.header("Retry-After").filter(|_| busy).and_then(|s| s.trim().parse().ok());
                connection.again_us = after.map(|s: u32| i64::from(s) * 1_000_000);
            }
            Part::Body(piece) => {
                connection.body.extend_from_slice(&piece);
                if connection.body.len() > MAX_ANSWER {
                    return self.failed(now_us, "its answer is too long", out, heard);
                }
                if channel == Channel::Watch && connection.status == 200 {
                    self.watch_lines(now_us, out, heard);
                }
            }
            Part::End => {
                let (body, last) = (std::mem::take(&mut connection.body), connection.last);
                let (status, link) = (connection.status, std::mem::replace(&mut connection.link, Link::Idle));
                let again_us = connection.again_us.take();
                if last {
                    self.close(channel, out);
                }
                if let (Link::Busy(purpose), Some(again_us)) = (&link, again_us) {
                    let words = format!("{status}: it has too much to do");
                    heard.push(match purpose {
                        Purpose::Asked { ticket, .. } => ClientEvent::Answered(*ticket, Err(words)),
                        _ => ClientEvent::Failed(words),
                    });
                    return self.turned_away(now_us, purpose, again_us);
                }
                match link {
                    Link::Busy(Purpose::Watch) if status == 200 => {
                        // A watch that ended without a word of why.
                        self.watching = false;
                        self.watch_state.broke();
                    }
                    Link::Busy(purpose) => self.answered(now_us, purpose, status, &body, out, heard),
                    _ => {}
                }
            }
        }
    }

    /// Whole lines of the watch's answer.
    fn watch_lines(&mut self, now_us: i64, out: &mut Vec<Do>, heard: &mut Vec<ClientEvent>) {
        while let Some(end) = self.watch.body.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.watch.body.drain(..=end).collect();
            if line.trim_ascii().is_empty() {
                continue;
            }
            match serde_json::from_slice::<Streamed<WatchResponse>>(&line) {
                Ok(Streamed { result: Some(answer), .. }) => {
                    self.pace.good();
                    self.watching |= answer.created;
                    let ended = answer.canceled;
                    let changes = self.watch_state.watched(now_us, answer);
                    if !changes.is_empty() {
                        heard.push(ClientEvent::Changes(changes));
                    }
                    self.troubles(heard);
                    if ended {
                        return self.close(Channel::Watch, out);
                    }
                }
                Ok(Streamed { error: Some(error), .. }) => {
                    self.close(Channel::Watch, out);
                    self.watch_state.broke();
                    return self.refused(now_us, &error, out, heard);
                }
                Ok(_) | Err(_) => {
                    return self.failed(now_us, "a line of its watch makes no sense", out, heard)
                }
            }
        }
    }

    fn troubles(&mut self, heard: &mut Vec<ClientEvent>) {
        for trouble in self.watch_state.take_faults() {
            // Leases of another life of the registry are none.
            if trouble == WatchFault::Restored {
                self.registration.iter_mut().for_each(Registration::lost);
            }
            heard.push(ClientEvent::WatchFault(trouble));
        }
    }

    /// An error that is not the request's own.
    fn refused(&mut self, now_us: i64, error: &ErrorBody, out: &mut Vec<Do>, heard: &mut Vec<ClientEvent>) {
        match error.code {
            code::UNAUTHENTICATED => self.token = None,
            _ => self.failed(now_us, &error.message, out, heard),
        }
    }

    fn answered(
        &mut self,
        now_us: i64,
        purpose: Purpose,
        status: u16,
        body: &[u8],
        out: &mut Vec<Do>,
        heard: &mut Vec<ClientEvent>,
    ) {
        if status == 200 {
            if self.is_older(&purpose, body) {
                return self.failed(now_us, "it holds less than was told already", out, heard);
            }
            self.pace.good();
            if self.understood(now_us, &purpose, body, heard).is_none() {
                self.failed(now_us, "its answer makes no sense", out, heard);
            }
            return;
        }
        let error: ErrorBody = serde_json::from_slice(body).unwrap_or_default();
        let told = || format!("{status}: {}", error.message);
        match (&purpose, error.code) {
            // A token that ended: a login, and the same again.
            (Purpose::Login, _) => self.failed(now_us, &told(), out, heard),
            (_, code::UNAUTHENTICATED) => {
                self.token = None;
                if let Purpose::Asked { ticket, path, body } = purpose {
                    self.asked.push_front((ticket, path, body));
                }
            }
            (Purpose::Asked { ticket, .. }, _) => heard.push(ClientEvent::Answered(*ticket, Err(told()))),
            (Purpose::List(_), code::OUT_OF_RANGE) => {
                self.watch_state.list_compacted(now_us);
                self.troubles(heard);
            }
            (Purpose::Step(_), code::NOT_FOUND) => self.lease_lost(heard),
            _ => self.failed(now_us, &told(), out, heard),
        }
    }

    fn lease_lost(&mut self, heard: &mut Vec<ClientEvent>) {
        self.registration.iter_mut().for_each(Registration::lost);
        if std::mem::take(&mut self.registered) {
            heard.push(ClientEvent::LeaseLost);
        }
    }

    /// A good answer; none where it is no answer to what was asked.
    fn understood(
        &mut self,
        now_us: i64,
        purpose: &Purpose,
        body: &[u8],
        heard: &mut Vec<ClientEvent>,
    ) -> Option<()> {
        match purpose {
            Purpose::Watch => {}
            Purpose::Login => {
                let token = read::<AuthResponse>(body)?.token;
                // It becomes a header.
                let good = !token.is_empty() && token.bytes().all(|b| b.is_ascii_graphic());
                self.token = good.then_some(token);
                self.token.as_ref()?;
            }
            Purpose::List(_) => {
                let changes = self.watch_state.listed(now_us, read(body)?);
                if !changes.is_empty() {
                    heard.push(ClientEvent::Changes(changes));
                }
                self.troubles(heard);
            }
            Purpose::Look => {
                let seen: RangeResponse = read(body)?;
                self.watch_state.seen(now_us, &seen.header, seen.count, seen.kvs.first());
                self.troubles(heard);
            }
            Purpose::Count => {
                self.counting.direct(usize::try_from(read::<RangeResponse>(body)?.count).unwrap_or(0));
            }
            Purpose::Relays(direct) => {
                let relays = read::<RangeResponse>(body)?.kvs.into_iter();
                let of_relay = |kv: KeyValue| read::<RelayRecord>(&kv.value.0).map_or(0, |r| r.routers);
                let count = relays.map(of_relay).fold(*direct, usize::saturating_add);
                let window_us = self.pace.window_us();
                heard.extend(self.counting.counted(now_us, count, window_us).map(ClientEvent::Routers));
            }
            Purpose::Step(Step::Grant(_)) => {
                let granted: LeaseResponse = read(body)?;
                self.registration.iter_mut().for_each(|r| r.granted(granted.id));
            }
            Purpose::Step(Step::Announce(_)) => {
                read::<PlainResponse>(body)?;
                self.registration.iter_mut().for_each(Registration::announced);
                if !std::mem::replace(&mut self.registered, true) {
                    heard.push(ClientEvent::Registered);
                }
            }
            Purpose::Step(Step::KeepAlive(_)) => {
                let kept = read::<Streamed<LeaseResponse>>(body)?.result?;
                if self.follows() {
                    let told = self.watch_state.answered(now_us, &kept.header);
                    self.look_owed = !told && self.watch_state.liveness_check_due(now_us);
                    if told {
                        self.pace_looks();
                    }
                    self.troubles(heard);
                }
                if self.registration.as_mut().is_some_and(|r| !r.kept(kept.ttl)) {
                    self.lease_lost(heard);
                }
            }
            Purpose::Asked { ticket, .. } => heard.push(ClientEvent::Answered(*ticket, Ok(body.to_vec()))),
        }
        Some(())
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

/// Requests of different types as one thing that becomes JSON.
mod erased {
    pub(super) trait Json {
        fn json(&self) -> Vec<u8>;
    }

    impl<T: serde::Serialize> Json for T {
        fn json(&self) -> Vec<u8> {
            serde_json::to_vec(self).unwrap_or_default()
        }
    }
}
