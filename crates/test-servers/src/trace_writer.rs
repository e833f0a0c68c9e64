//! Writes trace lines to a file. Each line is one `write_all` call without buffering, so that the trace of a
//! killed process lacks at most the last event.

use crate::clock::unix_micros;
use slatevalve_trace_checker::trace::{write, Line, TraceEvent};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// The trace file of one process.
#[derive(Debug)]
pub struct TraceWriter {
    /// The name of the process in the trace.
    process_name: String,
    file: Option<File>,
}

impl TraceWriter {
    /// Opens a file to append to; without a path nothing is recorded.
    ///
    /// # Errors
    /// When the file cannot be opened.
    pub fn open(process_name: &str, path: Option<&Path>) -> io::Result<Self> {
        let file = path.map(|path| OpenOptions::new().create(true).append(true).open(path)).transpose()?;
        Ok(TraceWriter { process_name: process_name.into(), file })
    }

    /// Records an event with the current time.
    pub fn record(&mut self, event: TraceEvent) {
        self.record_at(unix_micros(), event);
    }

    /// Records an event with a time, in microseconds of the Unix clock.
    pub fn record_at(&mut self, at_us: i64, event: TraceEvent) {
        if let Some(file) = &mut self.file {
            let line = Line { at_us, who: self.process_name.clone(), event };
            // A full disk must not end a test server; the trace checker reports events that are absent.
            let _ = file.write_all((write(&line) + "\n").as_bytes());
        }
    }
}
