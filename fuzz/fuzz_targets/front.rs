//! Feeds arbitrary bytes of one client to the MQTT front end: nothing panics, and all writes and closes
//! concern that client only.
#![no_main]

use libfuzzer_sys::fuzz_target;
use slatevalve::Micros;
use slatevalve_mqtt::{Front, FrontOutput, FrontSettings, LinkId};

fuzz_target!(|pieces: Vec<Vec<u8>>| {
    let mut front = Front::new(FrontSettings::default());
    let mut out = Vec::new();
    front.opened(Micros(1), LinkId(1));
    for (n, piece) in pieces.iter().enumerate() {
        let now = Micros(1 + n as i64 * 1_000);
        front.received(now, LinkId(1), piece, &mut out);
        front.advance(now, &mut out);
    }
    front.closed(Micros(1 << 40), LinkId(1), &mut out);
    for output in out {
        if let FrontOutput::Write(link, _) | FrontOutput::Finish(link) = output {
            assert_eq!(link, LinkId(1));
        }
    }
});
