//! MQTT clients that publish at full speed beside a usual one, whose calls are answered in time.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

const CLIENTS: usize = 8;
const CALLS: u16 = 20;
const INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a usual call must be answered: the deadline of its class.
const ANSWERED_WITHIN: Duration = Duration::from_secs(5);

/// What a client publishes.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// Calls of ever new functions.
    NewFunctions,
    /// Publishes to a topic without a route.
    NoRoute,
    /// Pings.
    Pings,
}

/// A packet of MQTT 3.1.1 with a body shorter than 128 bytes.
fn packet(first: u8, body: &[u8]) -> Vec<u8> {
    let length = u8::try_from(body.len()).unwrap();
    [&[first, length], body].concat()
}

fn text(text: &str) -> Vec<u8> {
    let length = u16::try_from(text.len()).unwrap();
    [&length.to_be_bytes()[..], text.as_bytes()].concat()
}

fn connect_packet(id: &str) -> Vec<u8> {
    packet(0x10, &[text("MQTT"), vec![4, 2, 0, 60], text(id)].concat())
}

fn batch(kind: Kind, next: &mut u64) -> Vec<u8> {
    let message = |_| {
        *next += 1;
        match kind {
            Kind::NewFunctions => packet(0x30, &[text(&format!("quote/f{next}")), b"x".to_vec()].concat()),
            Kind::NoRoute => packet(0x30, &[text("nowhere"), b"x".to_vec()].concat()),
            Kind::Pings => packet(0xc0, b""),
        }
    };
    (0..400).flat_map(message).collect()
}

/// Publishes until `has_ended`, and connects again when it is disconnected.
fn publish_at_full_speed(address: SocketAddr, kind: Kind, number: usize, has_ended: &AtomicBool) {
    let mut next = (number as u64) << 32;
    while !has_ended.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let timeout = Some(Duration::from_millis(5));
        stream.set_read_timeout(timeout).unwrap();
        stream.set_write_timeout(timeout).unwrap();
        let mut unsent = connect_packet(&format!("busy-{number}"));
        while !has_ended.load(Ordering::SeqCst) {
            if unsent.is_empty() {
                unsent = batch(kind, &mut next);
            }
            match stream.write(&unsent) {
                Ok(written) => drop(unsent.drain(..written)),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
            stream.set_nonblocking(true).unwrap();
            let _ = stream.read(&mut [0; 64 * 1024]);
            stream.set_nonblocking(false).unwrap();
        }
    }
}

/// Guards against usual MQTT calls answered late while others publish at full speed (related path of report
/// 9fde00).
#[test]
fn usual_calls_are_answered_in_time_beside_clients_that_publish_at_full_speed() {
    for kind in [Kind::NewFunctions, Kind::NoRoute, Kind::Pings] {
        let workers = [Worker::start(|_, _| served("done")), Worker::start(|_, _| served("done"))];
        let gateway = Gateway::start(SITE, &[("w1", workers[0].address, ""), ("w2", workers[1].address, "")]);
        let address = gateway.address();
        let mut usual = Client::connect(address, "usual", false);
        assert_eq!(usual.call("quote/fare", 1, None, "first").outcome, "served");
        let has_ended = Arc::new(AtomicBool::new(false));
        let busy: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let has_ended = has_ended.clone();
                thread::spawn(move || publish_at_full_speed(address, kind, number, &has_ended))
            })
            .collect();
        thread::sleep(INTERVAL * 5);
        let mut longest = Duration::ZERO;
        for number in 0..CALLS {
            let sent_at = Instant::now();
            usual.call("quote/fare", 2 + number, None, &format!("call-{number}"));
            longest = longest.max(sent_at.elapsed());
            thread::sleep(INTERVAL);
        }
        has_ended.store(true, Ordering::SeqCst);
        busy.into_iter().for_each(|client| client.join().unwrap());
        println!("{kind:?}: longest wait {longest:?}");
        assert!(longest < ANSWERED_WITHIN, "{kind:?}: {longest:?}");
    }
}
