//! Parsing of replies: a line `ID STATUS FIELDS LENGTH`, then a body of `LENGTH` bytes and a line end.

use slatevalve::{Outcome, Report};
use slatevalve_worker_protocol::reply::ParsedReply;
use slatevalve_worker_protocol::MalformedReply;

/// Limit of a reply's first line, in bytes: id, status, fields and length.
pub(super) const MAX_LINE: usize = 1024;
/// Limit of a reply's body, in bytes. Request bodies have at most 16 KiB.
const MAX_BODY: usize = 256 * 1024;

/// Determines how a reply is interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// Execution of a function; the reply carries its result.
    Call,
    /// A load, count or probe request.
    Control,
}

/// One reply, borrowed from the receive buffer.
pub(super) struct RawReply<'a> {
    /// The request id on the wire.
    pub id: &'a str,
    status: &'a str,
    fields: &'a str,
    body: &'a [u8],
    /// Size of the complete reply, in bytes, including line ends.
    pub length: usize,
}

impl<'a> RawReply<'a> {
    /// Parses the reply at the start of `bytes`; `None` while it is incomplete.
    ///
    /// # Errors
    /// As soon as the bytes are malformed or exceed a bound.
    pub(super) fn parse(bytes: &'a [u8]) -> Result<Option<Self>, MalformedReply> {
        let Some(line_end) = bytes.iter().take(MAX_LINE).position(|byte| *byte == b'\n') else {
            return if bytes.len() >= MAX_LINE { Err(MalformedReply) } else { Ok(None) };
        };
        let line = bytes.get(..line_end).and_then(|line| line.strip_suffix(b"\r")).ok_or(MalformedReply)?;
        let line = std::str::from_utf8(line).map_err(|_| MalformedReply)?;
        let mut parts = line.split(' ');
        let mut next_part = || parts.next().ok_or(MalformedReply);
        let (id, status, fields) = (next_part()?, next_part()?, next_part()?);
        let body_length = parse_body_length(next_part()?)?;
        if parts.next().is_some() {
            return Err(MalformedReply);
        }
        let body_start = line_end + 1;
        let length = body_start + body_length + 2;
        let Some(rest) = bytes.get(body_start..length) else { return Ok(None) };
        let (body, terminator) = rest.split_at(body_length);
        if terminator != b"\r\n" {
            return Err(MalformedReply);
        }
        Ok(Some(RawReply { id, status, fields, body, length }))
    }

    /// Converts the reply to the load balancer's terms; `None` for an unknown status. If
    /// `reports_queue_depth` is set, a missing queue depth counts as 0.
    pub(super) fn interpret(&self, kind: RequestKind, reports_queue_depth: bool) -> Option<ParsedReply> {
        let outcome = match self.status {
            "ACK" | "READY" => Outcome::Ok,
            "NOENT" => Outcome::Miss,
            "AGAIN" => Outcome::Full,
            "EIO" | "AILING" => Outcome::Error,
            "STALE" => Outcome::NotSent,
            _ => return None,
        };
        let is_call = kind == RequestKind::Call;
        let mut reply = ParsedReply {
            outcome,
            payload: if is_call && outcome == Outcome::Ok { self.body.to_vec() } else { Vec::new() },
            copies: 0,
            queue_depth: None,
            load_failed: false,
            ran: None,
            report: None,
        };
        let mut queue_depth = 0;
        let pairs = self.fields.split(',').filter(|_| self.fields != "-");
        for (name, value) in pairs.filter_map(|pair| pair.split_once('=')) {
            match name {
                "copies" => reply.copies = value.parse().unwrap_or(0),
                "queue_fn" => queue_depth = value.parse().unwrap_or(0),
                "report" => reply.report = Some(parse_report(value)),
                // The replica that the request needed could not be loaded.
                "remark" => reply.load_failed = value == "f",
                _ => {}
            }
        }
        let has_depth = is_call && reports_queue_depth && matches!(outcome, Outcome::Ok | Outcome::Full);
        reply.queue_depth = has_depth.then_some(queue_depth);
        Some(reply)
    }
}

fn parse_body_length(digits: &str) -> Result<usize, MalformedReply> {
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(MalformedReply);
    }
    digits.parse().ok().filter(|length| *length <= MAX_BODY).ok_or(MalformedReply)
}

/// Parses a load report such as `inflight:7;util:0.61`. Both the platform's and the simulator's names are
/// accepted.
fn parse_report(text: &str) -> Report {
    let mut report = Report::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = value.parse::<f64>().ok().filter(|number| number.is_finite());
        match name {
            "queue" | "backlog" => report.queue = value,
            "inflight" | "outstanding" => report.inflight = value,
            "util" | "utilization" => report.util = value,
            _ => {}
        }
    }
    report
}
