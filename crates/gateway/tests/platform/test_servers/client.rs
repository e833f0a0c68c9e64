//! A client of the platform: MessagePack-RPC on one connection.

use crate::support::PATIENCE;
use rmp::encode;
use slatevalve_platform::frame::Scanner;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How a call ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Served(Vec<u8>),
    Error(String),
    /// The connection ended.
    Closed,
}

/// A client on one connection.
pub(crate) struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    number: u32,
}

/// The bytes of one request.
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

fn interrupt(number: u32) -> Vec<u8> {
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
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client::on(stream)
    }

    /// One on a connection that stands.
    pub(crate) fn on(stream: TcpStream) -> Self {
        Client { stream, buffer: Vec::new(), number: 0 }
    }

    /// The bytes of the next call; its id is made of `tag`.
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

    /// Sends a call and gives its number.
    pub(crate) fn send(&mut self, class: &str, function: u64, tag: u64) -> u32 {
        self.send_for(class, function, tag, 2500)
    }

    /// The same; the client waits for so many milliseconds.
    pub(crate) fn send_for(&mut self, class: &str, function: u64, tag: u64, ms: u64) -> u32 {
        let bytes = self.bytes_for(class, function, tag, ms);
        // A router that closes may do so at any time.
        let _ = self.stream.write_all(&bytes);
        self.number
    }

    /// Says that it no longer waits for a call.
    pub(crate) fn interrupt(&mut self, number: u32) {
        // A router that closes may do so at any time.
        let _ = self.stream.write_all(&interrupt(number));
    }

    /// A call and its taking back in one write.
    pub(crate) fn send_and_interrupt(&mut self, class: &str, function: u64, tag: u64) {
        let mut bytes = self.bytes(class, function, tag);
        bytes.extend(interrupt(self.number));
        self.stream.write_all(&bytes).unwrap();
    }

    /// Ends the connection with a reset.
    pub(crate) fn reset(&mut self) {
        let ended = TcpStream::connect(self.stream.peer_addr().unwrap()).unwrap();
        let stream = std::mem::replace(&mut self.stream, ended);
        let socket = socket2::Socket::from(stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// The next answer if it is there; the socket does not block.
    pub(crate) fn answer_now(&mut self) -> Option<End> {
        self.numbered_answer_now().map(|(_, end)| end)
    }

    /// The same with the number of its call.
    pub(crate) fn numbered_answer_now(&mut self) -> Option<(u32, End)> {
        let mut bytes = [0; 4096];
        let has_ended = loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => break true,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(error) => break error.kind() != std::io::ErrorKind::WouldBlock,
            }
        };
        let whole = Scanner::default().scan(&self.buffer).expect("a message").is_some();
        match whole {
            true => Some(self.answer()),
            false => has_ended.then_some((0, End::Closed)),
        }
    }

    pub(crate) fn call(&mut self, class: &str, function: u64, tag: u64) -> End {
        let number = self.send(class, function, tag);
        let (answered, end) = self.answer();
        assert!(end == End::Closed || answered == number);
        end
    }

    pub(crate) fn is_ready(&mut self) -> bool {
        self.number += 1;
        self.stream.write_all(&request(self.number, "check", &[], b"")).unwrap();
        matches!(self.frame().as_deref(), Some([.., 0xc3, 0x80]))
    }

    fn frame(&mut self) -> Option<Vec<u8>> {
        let mut bytes = [0; 4096];
        loop {
            if let Some(length) = Scanner::default().scan(&self.buffer).expect("a message") {
                return Some(self.buffer.drain(..length).collect());
            }
            match self.stream.read(&mut bytes) {
                Ok(n) if n > 0 => self.buffer.extend_from_slice(&bytes[..n]),
                _ => return None,
            }
        }
    }

    /// The next answer.
    pub(crate) fn answer(&mut self) -> (u32, End) {
        let Some(frame) = self.frame() else { return (0, End::Closed) };
        let mut rest = frame.as_slice();
        rmp::decode::read_array_len(&mut rest).unwrap();
        assert_eq!(rmp::decode::read_int::<u8, _>(&mut rest).unwrap(), 1);
        let number = rmp::decode::read_int(&mut rest).unwrap();
        if rest[0] == 0xc0 {
            rest = &rest[1..];
            rmp::decode::read_array_len(&mut rest).unwrap();
            let length = rmp::decode::read_bin_len(&mut rest).unwrap() as usize;
            return (number, End::Served(rest[..length].to_vec()));
        }
        rmp::decode::read_array_len(&mut rest).unwrap();
        let (word, _) = rmp::decode::read_str_from_slice(rest).unwrap();
        (number, End::Error(word.to_string()))
    }
}
