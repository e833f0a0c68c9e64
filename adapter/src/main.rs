//! Carries the bench's wire to the decision module and back, and decides nothing.
#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic of the module is told on the wire; its own words would only repeat that.
    std::panic::set_hook(Box::new(|_| {}));
    let stdin = io::stdin();
    let mut out = io::BufWriter::new(io::stdout().lock());
    let mut hub = wire::Hub::default();
    for line in stdin.lock().lines() {
        let reply = match line.map_err(|e| format!("input: {e}")) {
            Ok(text) if text.trim().is_empty() => continue,
            Ok(text) => hub.batch(&text),
            Err(e) => Err(e),
        };
        match reply {
            Ok(reply) => {
                if writeln!(out, "{reply}").and_then(|()| out.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(e) => {
                eprintln!("slatevalve-adapter: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
