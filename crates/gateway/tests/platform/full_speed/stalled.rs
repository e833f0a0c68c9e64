//! Hundreds of clients that stop within a large request, send it slowly, keep as many large calls open as
//! allowed, or do not read their answers: the router keeps its limit of memory and serves usual clients.

use super::usual_clients::send_usual_calls;
use super::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Instant;

/// The largest body that clients may send.
const LARGEST_BODY: usize = 16 * 1024;
/// The protocol's limit of open calls on one connection.
const MAX_OPEN: u32 = 32;
/// Time between two pieces of a slow client, and the number of pieces: together less than the router's time
/// limit for a message.
const PIECE_INTERVAL: Duration = Duration::from_millis(20);
const PIECES: usize = 80;

/// A call with the largest body.
fn large_call(client: usize, number: u32) -> Vec<u8> {
    let id = format!("{:016x}", (0xbad0_0000 + client as u64) << 8 | u64::from(number));
    let fields = [("req", id.as_str()), ("timeout", "2500"), ("subject", "0000000000000001")];
    request(number, "quote", &fields, &vec![b'x'; LARGEST_BODY])
}

fn connect_all(address: SocketAddr) -> Vec<TcpStream> {
    (0..MANY_CLIENTS).map(|_| TcpStream::connect(address).unwrap()).collect()
}

/// Runs hundreds of stalling clients beside usual ones and checks the router's memory and the usual calls.
fn check_beside(worker: SocketAddr, stall: impl FnOnce(SocketAddr) + Send + 'static) {
    let _crowd = one_crowd_at_a_time();
    let router = start_router(worker);
    let address = router.process.address;
    let stalling = thread::spawn(move || stall(address));
    let usual = send_usual_calls(address, LENGTH);
    stalling.join().unwrap();
    let peak = router.process.peak_memory_mb().unwrap();
    println!("peak {peak} MB, {usual:?}");
    assert!(peak < MEMORY_LIMIT_MB as f64, "{peak} MB");
    assert!(usual.are_served(), "{usual:?}");
}

/// Guards against a process past its memory limit with hundreds of clients that stop half way through a large
/// request (report 9fde00).
#[test]
fn memory_is_bounded_with_hundreds_of_clients_that_stop_within_a_large_request() {
    check_beside(FleetWorker::start(Behaviour::GOOD, 1).address, |address| {
        let mut clients = connect_all(address);
        for (number, client) in clients.iter_mut().enumerate() {
            let mut call = large_call(number, 1);
            call.truncate(call.len() - 1);
            // Smaller requests before it, all read at once with it.
            let mut bytes: Vec<u8> = (1..=30).flat_map(|check| request(check, "check", &[], b"")).collect();
            bytes.extend(request(31, "quote", &[], &vec![b'x'; LARGEST_BODY]));
            bytes.extend(call);
            let _ = client.write_all(&bytes);
        }
        thread::sleep(LENGTH);
    });
}

/// Guards against a process past its memory limit with hundreds of clients that send large requests in small
/// pieces (report 9fde00).
#[test]
fn memory_is_bounded_with_hundreds_of_clients_that_write_slowly() {
    check_beside(FleetWorker::start(Behaviour::GOOD, 1).address, |address| {
        let mut clients = connect_all(address);
        let calls: Vec<Vec<u8>> = (0..clients.len()).map(|number| large_call(number, 1)).collect();
        let start = Instant::now();
        for piece in 0..PIECES {
            for (client, call) in clients.iter_mut().zip(&calls) {
                let length = call.len() / PIECES;
                let _ = client.write_all(&call[piece * length..(piece + 1) * length]);
            }
            thread::sleep((start + PIECE_INTERVAL * piece as u32).saturating_duration_since(Instant::now()));
        }
    });
}

/// Guards against a process past its memory limit with hundreds of clients that each have as many large calls
/// open as allowed, at a worker that answers none (report 9fde00).
#[test]
fn memory_is_bounded_with_hundreds_of_clients_that_keep_large_calls_open() {
    let worker = Worker::start(|call, _| match call.body.len() == LARGEST_BODY {
        true => Action::Silence,
        false => Action::Reply("ACK", b"done".to_vec()),
    });
    check_beside(worker.address, |address| {
        let mut clients = connect_all(address);
        clients.iter().for_each(|client| client.set_nonblocking(true).unwrap());
        let start = Instant::now();
        let mut sent = vec![0; clients.len()];
        let mut unsent = vec![Vec::new(); clients.len()];
        while start.elapsed() < LENGTH {
            for (index, client) in clients.iter_mut().enumerate() {
                if unsent[index].is_empty() && sent[index] < MAX_OPEN {
                    sent[index] += 1;
                    unsent[index] = large_call(index, sent[index]);
                }
                let written = client.write(&unsent[index]).unwrap_or(0);
                unsent[index].drain(..written);
            }
        }
    });
}

/// Guards against a process past its memory limit with hundreds of clients that do not read the large answers
/// to their calls (report 9fde00).
#[test]
fn memory_is_bounded_with_hundreds_of_clients_that_do_not_read_large_answers() {
    check_beside(FleetWorker::start(Behaviour::GOOD, 1).address, |address| {
        let mut clients = connect_all(address);
        for client in &clients {
            let socket = socket2::SockRef::from(client);
            socket.set_recv_buffer_size(4_096).unwrap();
            client.set_nonblocking(true).unwrap();
        }
        let start = Instant::now();
        let mut sent = vec![0; clients.len()];
        let mut unsent = vec![Vec::new(); clients.len()];
        while start.elapsed() < LENGTH {
            for (index, client) in clients.iter_mut().enumerate() {
                if unsent[index].is_empty() {
                    sent[index] += 1;
                    unsent[index] = large_call(index, sent[index]);
                }
                let written = client.write(&unsent[index]).unwrap_or(0);
                unsent[index].drain(..written);
            }
        }
    });
}
