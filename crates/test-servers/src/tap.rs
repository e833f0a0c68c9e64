//! Where a stand-in writes what it saw: a file of trace lines, or nothing. Each line is written whole and at once,
//! so that a process that is killed has told all that it saw but perhaps its last line.

use slatevalve_trace_checker::trace::{write, Line, Seen};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds of the Unix clock, the time of all taps.
pub fn unix_micros() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_micros()).unwrap_or(i64::MAX)
}

/// A tap under a name.
#[derive(Debug)]
pub struct Tap {
    who: String,
    file: Option<File>,
}

impl Tap {
    /// A tap that appends to a file; without a path nothing is recorded.
    ///
    /// # Errors
    /// When the file cannot be opened.
    pub fn open(who: &str, path: Option<&Path>) -> io::Result<Self> {
        let file = path.map(|p| OpenOptions::new().create(true).append(true).open(p)).transpose()?;
        Ok(Tap { who: who.into(), file })
    }

    /// Records one thing that passed.
    pub fn saw(&mut self, seen: Seen) {
        let at_us = unix_micros();
        self.saw_at(at_us, seen);
    }

    /// Records one thing that passed at a time.
    pub fn saw_at(&mut self, at_us: i64, seen: Seen) {
        if let Some(file) = &mut self.file {
            let line = Line { at_us, who: self.who.clone(), seen };
            let _ = file.write_all((write(&line) + "\n").as_bytes());
        }
    }
}
