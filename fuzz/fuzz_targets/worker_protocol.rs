//! Feeds arbitrary bytes to both sides of the worker protocol: nothing panics, and no body exceeds its limit.
#![no_main]

use libfuzzer_sys::fuzz_target;
use slatevalve_worker_protocol::{reply, Call, Limits, MessageReader, ParsedRequest, Side, WorkerRequest};

fuzz_target!(|pieces: Vec<Vec<u8>>| {
    let limits = Limits { head: 512, body: 1_024 };
    for side in [Side::Request, Side::Response] {
        let mut reader = MessageReader::new(side, limits);
        for piece in &pieces {
            match reader.feed(piece) {
                Ok(Some(message)) => {
                    assert!(message.body.len() <= limits.body);
                    match side {
                        Side::Request => drop(ParsedRequest::read(message)),
                        Side::Response => drop(reply::read(&WorkerRequest::Infer(Call::default()), message)),
                    }
                }
                Ok(None) => {}
                Err(_) => break,
            }
        }
        let _ = reader.end();
    }
});
