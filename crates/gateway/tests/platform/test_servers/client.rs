//! A client of the platform, which speaks MessagePack-RPC on one connection.

use crate::support::MAX_WAIT;
use rmp::encode;
use slatevalve_platform::frame::Scanner;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The outcome of a call for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Served(Vec<u8>),
    Error(String),
    /// The connection was closed before an answer.
    Closed,
}

/// A client with one connection; call numbers count up from 1.
pub(crate) struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    number: u32,
}

/// Encodes a request.
pub(crate) fn request(number: u32, class: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    encode::write_array_len(&mut out, 4).unwrap();
    encode::write_uint(&mut out, 0).unwrap();
    encode::write_uint(&mut out, u64::from(number)).unwrap();
    encode::write_str(&mut out, class).unwrap();
    encode::write_array_len(&mut out, if class == "check" { 1 } else { 2 }).unwrap();
    encode::write_map_len(&mut out, fields.len() as u32).unwrap();
    for (name, value) in fields {
        encode::write_str(&mut out, name).unwrap();
        encode::write_str(&mut out, value).unwrap();
    }
    if class != "check" {
        encode::write_bin(&mut out, body).unwrap();
    }
    out
}

/// Encodes the cancellation of a request.
pub(crate) fn interrupt(number: u32) -> Vec<u8> {
    let mut out = Vec::new();
    encode::write_array_len(&mut out, 3).unwrap();
    encode::write_uint(&mut out, 2).unwrap();
    encode::write_str(&mut out, "interrupt").unwrap();
    encode::write_array_len(&mut out, 1).unwrap();
    encode::write_uint(&mut out, u64::from(number)).unwrap();
    out
}

impl Client {
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        Client::on(stream)
    }

    /// A client on an established connection.
    pub(crate) fn on(stream: TcpStream) -> Self {
        Client { stream, buffer: Vec::new(), number: 0 }
    }

    /// Encodes the next call, with a timeout of 2.5 s; `tag` becomes its request id.
    pub(crate) fn bytes(&mut self, class: &str, function: u64, tag: u64) -> Vec<u8> {
        self.bytes_for(class, function, tag, 2500)
    }

    fn bytes_for(&mut self, class: &str, function: u64, tag: u64, ms: u64) -> Vec<u8> {
        self.number += 1;
        let (id, function, ms) = (format!("{tag:016x}"), format!("{function:016x}"), ms.to_string());
        let mut fields = vec![("req", &*id), ("timeout", &*ms), ("subject", &*function)];
        if class == "booking" {
            fields.push(("opkey", &*id));
        }
        request(self.number, class, &fields, format!("body-{tag}").as_bytes())
    }

    /// Sends a call with a timeout of 2.5 s and returns its number.
    pub(crate) fn send(&mut self, class: &str, function: u64, tag: u64) -> u32 {
        self.send_for(class, function, tag, 2500)
    }

    /// Sends a call with a timeout in milliseconds and returns its number.
    pub(crate) fn send_for(&mut self, class: &str, function: u64, tag: u64, ms: u64) -> u32 {
        let bytes = self.bytes_for(class, function, tag, ms);
        // The write may fail, as a router that shuts down may close the connection at any time.
        let _ = self.stream.write_all(&bytes);
        self.number
    }

    /// Cancels a call.
    pub(crate) fn interrupt(&mut self, number: u32) {
        // The write may fail, as a router that shuts down may close the connection at any time.
        let _ = self.stream.write_all(&interrupt(number));
    }

    /// Sends a call and its cancellation in one write.
    pub(crate) fn send_and_interrupt(&mut self, class: &str, function: u64, tag: u64) {
        let mut bytes = self.bytes(class, function, tag);
        bytes.extend(interrupt(self.number));
        self.stream.write_all(&bytes).unwrap();
    }

    /// Resets the connection and opens a new one in its place.
    pub(crate) fn reset(&mut self) {
        let replacement = TcpStream::connect(self.stream.peer_addr().unwrap()).unwrap();
        let stream = std::mem::replace(&mut self.stream, replacement);
        let socket = socket2::Socket::from(stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// The next answer if it has arrived. The socket must be nonblocking.
    pub(crate) fn answer_now(&mut self) -> Option<Outcome> {
        self.numbered_answer_now().map(|(_, end)| end)
    }

    /// Like [`Client::answer_now`], with the number of the answered call (0 for a closed connection).
    pub(crate) fn numbered_answer_now(&mut self) -> Option<(u32, Outcome)> {
        let mut bytes = [0; 4096];
        let is_closed = loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => break true,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(error) => break error.kind() != std::io::ErrorKind::WouldBlock,
            }
        };
        let is_complete =
            Scanner::default().scan(&self.buffer).expect("a valid MessagePack message").is_some();
        match is_complete {
            true => Some(self.answer()),
            false => is_closed.then_some((0, Outcome::Closed)),
        }
    }

    /// Sends a call and waits for its answer.
    pub(crate) fn call(&mut self, class: &str, function: u64, tag: u64) -> Outcome {
        let number = self.send(class, function, tag);
        let (answered, outcome) = self.answer();
        assert!(outcome == Outcome::Closed || answered == number);
        outcome
    }

    /// Sends the readiness check and returns its result.
    pub(crate) fn is_ready(&mut self) -> bool {
        self.number += 1;
        self.stream.write_all(&request(self.number, "check", &[], b"")).unwrap();
        matches!(self.frame().as_deref(), Some([.., 0xc3, 0x80]))
    }

    /// Waits for the next complete message; `None` once the connection is closed.
    fn frame(&mut self) -> Option<Vec<u8>> {
        let mut bytes = [0; 4096];
        loop {
            if let Some(length) = Scanner::default().scan(&self.buffer).expect("a valid MessagePack message")
            {
                return Some(self.buffer.drain(..length).collect());
            }
            match self.stream.read(&mut bytes) {
                Ok(n) if n > 0 => self.buffer.extend_from_slice(&bytes[..n]),
                _ => return None,
            }
        }
    }

    /// Waits for the next answer; returns the number of its call (0 for a closed connection) and the outcome.
    pub(crate) fn answer(&mut self) -> (u32, Outcome) {
        let Some(frame) = self.frame() else { return (0, Outcome::Closed) };
        let mut rest = frame.as_slice();
        rmp::decode::read_array_len(&mut rest).unwrap();
        assert_eq!(rmp::decode::read_int::<u8, _>(&mut rest).unwrap(), 1);
        let number = rmp::decode::read_int(&mut rest).unwrap();
        if rest[0] == 0xc0 {
            rest = &rest[1..];
            rmp::decode::read_array_len(&mut rest).unwrap();
            let length = rmp::decode::read_bin_len(&mut rest).unwrap() as usize;
            return (number, Outcome::Served(rest[..length].to_vec()));
        }
        rmp::decode::read_array_len(&mut rest).unwrap();
        let (code, _) = rmp::decode::read_str_from_slice(rest).unwrap();
        (number, Outcome::Error(code.to_string()))
    }
}
