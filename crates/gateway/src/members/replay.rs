//! A recorded source: each piece of news as a line of JSON with its time, written by a gateway that runs and played again by
//! one that is tried out.

use super::{News, Source};
use serde::{Deserialize, Serialize};
use slatevalve::Micros;
use slatevalve_reactor::{Reactor, ReactorEvent};
use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

#[derive(Serialize, Deserialize)]
struct Line {
    /// Microseconds since the first line.
    at_us: i64,
    news: News,
}

/// Writes news to a file.
pub struct Recorder {
    file: File,
    first: Option<Micros>,
}

impl Recorder {
    /// A recorder to a file that is written anew.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
        Ok(Recorder { file, first: None })
    }

    /// Notes a piece of news.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn note(&mut self, now: Micros, news: &News) -> io::Result<()> {
        let first = *self.first.get_or_insert(now);
        let line = Line { at_us: now.0 - first.0, news: news.clone() };
        writeln!(self.file, "{}", serde_json::to_string(&line).map_err(io::Error::other)?)
    }
}

/// Plays a recorded file.
pub struct ReplaySource {
    began: Option<Micros>,
    lines: VecDeque<Line>,
    news: Vec<News>,
}

impl ReplaySource {
    /// Reads a file.
    ///
    /// # Errors
    /// With the line that is none.
    pub fn open(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let lines = text.lines().enumerate().map(|(n, line)| {
            serde_json::from_str(line).map_err(|e| io::Error::other(format!("line {}: {e}", n + 1)))
        });
        Ok(ReplaySource { began: None, lines: lines.collect::<io::Result<_>>()?, news: Vec::new() })
    }
}

impl Source for ReplaySource {
    fn handle_event(&mut self, _: Micros, _: &mut Reactor, _: &ReactorEvent) -> bool {
        false
    }

    fn advance(&mut self, now: Micros, _: &mut Reactor) {
        let began = *self.began.get_or_insert(now);
        while self.lines.front().is_some_and(|l| began.0.saturating_add(l.at_us) <= now.0) {
            self.news.extend(self.lines.pop_front().map(|l| l.news));
        }
    }

    fn next_wake(&self, now: Micros) -> Micros {
        let began = self.began.unwrap_or(now);
        let due = self.lines.front().map_or(i64::MAX, |l| began.0.saturating_add(l.at_us));
        Micros(due.max(now.0))
    }

    fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    fn leave(&mut self, _: Micros, _: &mut Reactor) {}

    fn has_left(&self) -> bool {
        true
    }
}
