//! Connects the load balancer to the operators' simulator. The adapter translates the simulator's wire
//! protocol and makes no decisions of its own.
//!
//! The protocol has one JSON object per line: batches of events on the standard input, and for each batch one
//! reply with commands on the standard output. The process exits with an error at the first line that cannot
//! be decoded.
#![forbid(unsafe_code)]

mod commands;
mod error;
mod events;
mod hub;
mod instance;
mod requests;

use error::AdapterError;
use hub::Hub;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic of the load balancer is reported on the wire; the default message would only duplicate it.
    std::panic::set_hook(Box::new(|_| {}));
    match run(io::stdin().lock(), io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        // The reader of the replies has closed the pipe, so the error is not reported.
        Err(AdapterError::Output(_)) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("slatevalve-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to each batch of `input` until its end.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut hub = Hub::default();
    for line in input.lines() {
        let line = line.map_err(AdapterError::Input)?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = hub.handle_batch(&line)?;
        writeln!(output, "{reply}").and_then(|()| output.flush()).map_err(AdapterError::Output)?;
    }
    Ok(())
}
