//! What routers ask a relay, and what they are answered. No I/O: bytes by connection and times in, bytes out.

use crate::entries::Entries;
use crate::mirror::{Taken, WatchCache};
use serde::de::DeserializeOwned;
use serde::Serialize;
use slatevalve_http::{Message, MessageReader, Side};
use slatevalve_registry::serve::{answer, chunk, watch_line, within, WATCH_END, WATCH_HEAD};
use slatevalve_registry::wire::*;
use slatevalve_registry::{Freshness, WatchState, ROUTERS, WORKERS};
use std::collections::BTreeMap;

/// Events in one line of a watch's answer.
const FRAGMENT: usize = 100;
/// gRPC's word for what this service does not do.
const UNIMPLEMENTED: i64 = 12;
/// And for limits that are reached.
const EXHAUSTED: i64 = 8;

/// Limits of a [`Relay`]. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections at most.
    pub peers: usize,
    /// Events kept for routers that were away.
    pub events: usize,
    /// A router that knows more than this relay waits so long for it, and is then sent away.
    pub hold_us: i64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { peers: 8_192, events: 20_000, hold_us: 1_500_000 }
    }
}

/// A connection, by the shell's number.
pub type Peer = u64;

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Write.
    Write(Peer, Vec<u8>),
    /// Close once all is written.
    Finish(Peer),
    /// Tell the registry that so many routers are here.
    Announce(usize),
}

struct Watch {
    key: Vec<u8>,
    end: Vec<u8>,
    /// What it asked to go on from, while this relay does not know that much yet, and until when it waits.
    held: Option<(i64, i64)>,
}

struct Connected {
    reader: MessageReader,
    watch: Option<Watch>,
}

/// See the module's documentation.
pub struct Relay {
    limits: Limits,
    prefix: String,
    mirror: WatchCache,
    entries: Entries,
    peers: BTreeMap<Peer, Connected>,
    /// Whether what is held may be served.
    fit: bool,
    /// Routers of all, as the registry counts them, and those of this relay that it was told of.
    counted: usize,
    announced: usize,
    /// A whole list as it was answered last: hundreds ask for the same.
    list: Option<(RangeRequest, i64, Vec<u8>)>,
}

type Answer = Result<Vec<u8>, (u16, i64, &'static str)>;

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, (u16, i64, &'static str)> {
    serde_json::from_slice(body).map_err(|_| (400, 3, "the request makes no sense"))
}

fn json<T: Serialize>(answer: &T) -> Vec<u8> {
    serde_json::to_vec(answer).unwrap_or_default()
}

impl Relay {
    /// A relay of a name, for the keys below a prefix, that has nothing to serve yet.
    pub fn new(limits: Limits, name: &str, prefix: &str) -> Self {
        Relay {
            prefix: prefix.into(),
            mirror: WatchCache::new(limits.events),
            entries: Entries::new(name, limits.peers),
            peers: BTreeMap::new(),
            fit: false,
            counted: 0,
            announced: 0,
            list: None,
            limits,
        }
    }

    /// Whether it serves.
    pub fn is_fit(&self) -> bool {
        self.fit
    }

    /// The registry counts so many routers, those behind relays included.
    pub fn counted(&mut self, routers: usize) {
        self.counted = routers;
    }

    /// A router connected; whether there is room.
    pub fn opened(&mut self, peer: Peer) -> bool {
        if self.peers.len() >= self.limits.peers {
            return false;
        }
        let reader = MessageReader::new(Side::Request, slatevalve_http::Limits::default());
        self.peers.insert(peer, Connected { reader, watch: None });
        true
    }

    /// A connection is gone.
    pub fn closed(&mut self, peer: Peer) {
        self.peers.remove(&peer);
    }

    /// Bytes came.
    pub fn received(&mut self, now_us: i64, peer: Peer, bytes: &[u8], out: &mut Vec<Act>) {
        let Some(connected) = self.peers.get_mut(&peer) else { return };
        match connected.reader.feed(bytes) {
            Ok(None) => {}
            // On a connection whose answer goes on for ever nothing more can be asked.
            Ok(Some(_)) if connected.watch.is_some() => out.push(Act::Finish(peer)),
            Ok(Some(request)) => self.asked(now_us, peer, &request, out),
            Err(_) => out.push(Act::Finish(peer)),
        }
    }

    /// Takes what is followed; to be called whenever something was heard of the registry, and from time to time.
    pub fn followed(&mut self, now_us: i64, watch_state: &WatchState, out: &mut Vec<Act>) {
        let fit = watch_state.freshness(now_us) == Freshness::Current;
        if fit {
            match self.mirror.take(
                watch_state.cluster(),
                watch_state.confirmed_revision(),
                watch_state.entries(),
            ) {
                Taken::Nothing => {}
                Taken::Events(events) => self.tell(&events, out),
                Taken::Anew => self.end_watches(true, out),
            }
        } else if self.fit {
            self.end_watches(false, out);
        }
        self.fit = fit;
    }

    /// Lets time pass: entries that ended, and routers that waited for this relay to catch up.
    pub fn advance(&mut self, now_us: i64, out: &mut Vec<Act>) {
        self.entries.expire(now_us);
        let routers = self.entries.count();
        if routers != self.announced {
            self.announced = routers;
            out.push(Act::Announce(routers));
        }
        let held: Vec<(Peer, i64, i64)> = self
            .peers
            .iter()
            .filter_map(|(peer, c)| c.watch.as_ref()?.held.map(|(from, until)| (*peer, from, until)))
            .collect();
        for (peer, from, until) in held {
            if from <= self.mirror.revision() {
                self.begin(peer, from, out);
            } else if now_us >= until {
                self.refuse(peer, 503, code::UNAVAILABLE, "this relay is behind", out);
                self.peers.get_mut(&peer).into_iter().for_each(|c| c.watch = None);
            }
        }
    }

    fn refuse(&mut self, peer: Peer, status: u16, code: i64, words: &str, out: &mut Vec<Act>) {
        let body = json(&ErrorBody { message: words.into(), code });
        out.push(Act::Write(peer, answer(status, "", &body)));
    }

    fn asked(&mut self, now_us: i64, peer: Peer, request: &Message, out: &mut Vec<Act>) {
        if !self.fit {
            return self.refuse(
                peer,
                503,
                code::UNAVAILABLE,
                "this relay hears nothing of its registry",
                out,
            );
        }
        let (path, body) = (request.head.target.as_str(), request.body.as_slice());
        if path == WATCH {
            return self.watch(now_us, peer, body, out);
        }
        match self.carry_out(now_us, path, body) {
            Ok(body) => out.push(Act::Write(peer, answer(200, "", &body))),
            Err((status, code, words)) => self.refuse(peer, status, code, words, out),
        }
    }

    fn carry_out(&mut self, now_us: i64, path: &str, body: &[u8]) -> Answer {
        let header = self.mirror.header();
        match path {
            RANGE => self.range(parse(body)?),
            GRANT => {
                let granted = self.entries.grant(now_us, parse::<LeaseRequest>(body)?.ttl);
                let (id, ttl) = granted.ok_or((429, EXHAUSTED, "too many entries"))?;
                Ok(json(&LeaseResponse { header, id, ttl }))
            }
            PUT => {
                let ask: PutRequest = parse(body)?;
                if !ask.key.0.starts_with(format!("{}{ROUTERS}", self.prefix).as_bytes()) {
                    return Err((400, UNIMPLEMENTED, "a relay takes entries of routers only"));
                }
                match self.entries.put(ask.lease, &ask.key.0) {
                    true => Ok(json(&PlainResponse { header, ..PlainResponse::default() })),
                    false => Err((400, code::NOT_FOUND, "requested lease not found")),
                }
            }
            KEEP_ALIVE => {
                let id = parse::<LeaseRequest>(body)?.id;
                let ttl = self.entries.keep_alive(now_us, id);
                Ok(json(&Streamed { result: Some(LeaseResponse { header, id, ttl }), error: None }))
            }
            REVOKE => match self.entries.revoke(parse::<LeaseRequest>(body)?.id) {
                true => Ok(json(&PlainResponse { header, ..PlainResponse::default() })),
                false => Err((400, code::NOT_FOUND, "requested lease not found")),
            },
            STATUS => Ok(json(&PlainResponse { header, ..PlainResponse::default() })),
            // It asks nobody who they are; the registry asked the relay.
            AUTHENTICATE => Ok(json(&AuthResponse { header, token: "relay".into() })),
            _ => Err((400, UNIMPLEMENTED, "a relay serves the list, the watch and entries of routers")),
        }
    }

    fn range(&mut self, ask: RangeRequest) -> Answer {
        let key = String::from_utf8_lossy(&ask.key.0).into_owned();
        if key.strip_prefix(&self.prefix).is_some_and(|k| k.starts_with(ROUTERS)) {
            // Only their number is known here. Those that came since the registry counted are counted as well.
            let here = self.entries.count();
            let count = (self.counted + here.saturating_sub(self.announced)).max(here) as i64;
            return Ok(json(&RangeResponse {
                header: self.mirror.header(),
                count,
                ..RangeResponse::default()
            }));
        }
        let revision = self.mirror.revision();
        if let Some((asked, at, body)) = &self.list {
            if *asked == ask && *at == revision {
                return Ok(body.clone());
            }
        }
        let body = json(&self.mirror.range(&ask).map_err(|(code, words)| (400, code, words))?);
        if ask.limit != 1 {
            self.list = Some((ask, revision, body.clone()));
        }
        Ok(body)
    }

    fn watch(&mut self, now_us: i64, peer: Peer, body: &[u8], out: &mut Vec<Act>) {
        let create = parse::<WatchRequest>(body).ok().and_then(|w| w.create_request);
        let Some(WatchCreate { key, range_end, start_revision, .. }) = create else {
            return out.push(Act::Finish(peer));
        };
        let followed = format!("{}{WORKERS}", self.prefix).into_bytes();
        if !within(&key.0, &followed, &prefix_end(&followed)) {
            return self.refuse(peer, 400, UNIMPLEMENTED, "a relay watches workers only", out);
        }
        let revision = self.mirror.revision();
        let from = if start_revision > 0 { start_revision - 1 } else { revision };
        let held = (from > revision).then_some((from, now_us.saturating_add(self.limits.hold_us)));
        if let Some(connected) = self.peers.get_mut(&peer) {
            connected.watch = Some(Watch { key: key.0, end: range_end.0, held });
        }
        if held.is_none() {
            self.begin(peer, from, out);
        }
    }

    /// Begins a watch that goes on from a revision which is known here.
    fn begin(&mut self, peer: Peer, from: i64, out: &mut Vec<Act>) {
        let Some(watch) = self.peers.get_mut(&peer).and_then(|c| c.watch.as_mut()) else { return };
        watch.held = None;
        let header = self.mirror.header();
        let line = |answer: WatchResponse| chunk(&watch_line(answer));
        let mut bytes = WATCH_HEAD.to_vec();
        bytes.extend(line(WatchResponse {
            header: header.clone(),
            created: true,
            ..WatchResponse::default()
        }));
        match self.mirror.after(from, &watch.key, &watch.end) {
            Some(events) => bytes.extend(lines(&header, &events).concat()),
            None => {
                let compact_revision = self.mirror.oldest() + 1;
                bytes.extend(line(WatchResponse {
                    header,
                    canceled: true,
                    compact_revision,
                    ..WatchResponse::default()
                }));
                bytes.extend(WATCH_END);
                self.peers.get_mut(&peer).into_iter().for_each(|c| c.watch = None);
            }
        }
        out.push(Act::Write(peer, bytes));
    }

    /// Tells every watch that stands; each range's lines are made once.
    fn tell(&mut self, events: &[WatchEvent], out: &mut Vec<Act>) {
        let header = self.mirror.header();
        let mut made: BTreeMap<(&[u8], &[u8]), Vec<u8>> = BTreeMap::new();
        for (peer, connected) in &self.peers {
            let Some(watch) = connected.watch.as_ref().filter(|w| w.held.is_none()) else { continue };
            let bytes = made.entry((&watch.key, &watch.end)).or_insert_with(|| {
                let mine = events.iter().filter(|e| within(&e.kv.key.0, &watch.key, &watch.end));
                lines(&header, &mine.cloned().collect::<Vec<_>>()).concat()
            });
            if !bytes.is_empty() {
                out.push(Act::Write(*peer, bytes.clone()));
            }
        }
    }

    /// Ends every watch: with the word that history is gone, or by the end of the connection where nothing more is served.
    fn end_watches(&mut self, list_anew: bool, out: &mut Vec<Act>) {
        let (header, compact_revision) = (self.mirror.header(), self.mirror.oldest() + 1);
        for (peer, connected) in &mut self.peers {
            let Some(watch) = connected.watch.take() else { continue };
            if list_anew && watch.held.is_none() {
                let (header, canceled) = (header.clone(), true);
                let last = WatchResponse { header, canceled, compact_revision, ..WatchResponse::default() };
                out.push(Act::Write(*peer, [&chunk(&watch_line(last)), WATCH_END].concat()));
            }
            out.push(Act::Finish(*peer));
        }
    }
}

/// The lines that tell events: those of one revision together, in fragments where they are many.
fn lines(header: &Header, events: &[WatchEvent]) -> Vec<Vec<u8>> {
    let mut lines = Vec::new();
    for of_one in events.chunk_by(|a, b| a.kv.mod_revision == b.kv.mod_revision) {
        let count = of_one.len().div_ceil(FRAGMENT);
        for (n, part) in of_one.chunks(FRAGMENT).enumerate() {
            let (header, events, fragment) = (header.clone(), part.to_vec(), n + 1 < count);
            lines.push(chunk(&watch_line(WatchResponse {
                header,
                events,
                fragment,
                ..WatchResponse::default()
            })));
        }
    }
    lines
}
