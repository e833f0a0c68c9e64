//! The calls of a test worker: admission, completion, and the response with the active faults applied.

use super::faults::FaultKind;
use super::service::{Admission, Slowdown, SubmittedCall};
use super::{TimerEvent, Worker, CRASH_EXIT_CODE};
use crate::call_body::CallBody;
use crate::clock::unix_micros;
use rand::RngExt;
use slatevalve_reactor::Id;
use slatevalve_trace_checker::trace::TraceEvent;
use slatevalve_worker_protocol::{Call, Reply};
use std::process::exit;

/// Bytes that are not HTTP.
const GARBAGE: &[u8] = b"\x00\xffnot HTTP at all\r\n\r\n";
/// A response without the headers of the worker protocol.
const PLAIN_503: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
/// The version that is reported for a function whose name contains no digest.
const UNVERSIONED: &str = "1";
/// The prefix of keys that a client stated, as opposed to keys that a gateway generated.
const CLIENT_KEY_PREFIX: &str = "k:";

/// A running or waiting call.
pub(super) struct AcceptedCall {
    pub(super) connection: Id,
    gateway: String,
    call: Call,
    /// The name of the call in the trace.
    name: String,
    /// The queue depth of the function at the arrival of the call.
    queue_depth: u64,
}

impl Worker {
    pub(super) fn handle_call(&mut self, connection: Id, gateway: String, call: Call) {
        let now = unix_micros();
        let body = CallBody::read(&call.payload);
        let name = body.call.unwrap_or_else(|| format!("{gateway}/{}", call.request_id));
        let work_us = body.work_us.unwrap_or(self.service.plan().work_us);
        self.record_received(now, &gateway, &call, &name, work_us);
        let queue_depth = self.service.queue_depth(&call.function);
        let accepted = AcceptedCall { connection, gateway, call, name, queue_depth };
        let is_superseded = self.superseded.record(now, &accepted.call.settings);
        if is_superseded || self.faults.is_refusing(now, &accepted.call.class) {
            return self.refuse(accepted, &Reply::Full);
        }
        if self.faults.is_failing(now, &accepted.call.class) {
            return self.reply(connection, &Reply::Failed("this class fails".into()), None);
        }
        self.submit(now, work_us, accepted);
    }

    fn record_received(&mut self, now: i64, gateway: &str, call: &Call, name: &str, work_us: i64) {
        let received = TraceEvent::Received {
            call: name.into(),
            class: call.class.clone(),
            key: call.key.as_deref().map(client_key),
            gateway: gateway.into(),
            attempt: call.attempt,
            work_us,
            settings: call.settings.clone(),
        };
        self.trace.record_at(now, received);
    }

    fn submit(&mut self, now: i64, work_us: i64, accepted: AcceptedCall) {
        let slowdown = Slowdown { work: self.faults.work_factor(now), load: self.faults.load_factor(now) };
        let number = self.next_number();
        let submitted = SubmittedCall { number, function: &accepted.call.function, work_us };
        match self.service.submit(&submitted, now, slowdown) {
            Admission::Full => return self.refuse(accepted, &Reply::Full),
            Admission::Miss => return self.refuse(accepted, &Reply::Miss),
            Admission::RunsUntil(at_us) => {
                self.timers.insert((at_us, TimerEvent::Completed(number)));
            }
            Admission::Queued => {
                let ready_us = self.service.next_ready_us(now);
                self.timers.extend(ready_us.map(|at_us| (at_us, TimerEvent::Loaded)));
            }
        }
        self.calls.insert(number, accepted);
    }

    /// Sends a reply that states that the call did not run and will not run.
    fn refuse(&mut self, refused: AcceptedCall, reply: &Reply) {
        let AcceptedCall { connection, gateway, call, name, .. } = refused;
        self.trace.record(TraceEvent::NeverRan { call: name, gateway, attempt: call.attempt });
        let queue_depth = self.service.queue_depth(&call.function);
        self.reply(connection, reply, Some(queue_depth));
    }

    /// Completes a call: records its effect, then sends the response with the active faults applied.
    pub(super) fn complete_call(&mut self, number: u64) {
        let now = unix_micros();
        self.service.complete();
        let Some(completed) = self.calls.remove(&number) else { return };
        let AcceptedCall { connection, gateway, call, name, queue_depth } = completed;
        let key = call.key.as_deref().map(client_key);
        self.trace.record_at(now, TraceEvent::Ran { call: name.clone(), class: call.class.clone(), key });
        let payload = format!("ran {name} for {gateway}").into_bytes();
        let served = Reply::Served { payload, ran: Some(self.executed_version(now, &call.function)) };
        let report = self.load_report();
        self.respond(now, connection, served.encode(Some(report), Some(queue_depth)));
    }

    /// The version of the function that runs: the digest in its name, or a wrong digest while a fault
    /// corrupts the copies.
    fn executed_version(&self, now: i64, function: &str) -> String {
        if self.faults.is_active(now, &FaultKind::CorruptCopies) {
            return format!("sha256:{}", "0".repeat(64));
        }
        function.split_once('@').map_or(UNVERSIONED, |(_, digest)| digest).to_string()
    }

    /// Sends a response. Of several active faults the first in the order below applies.
    fn respond(&mut self, now: i64, connection: Id, bytes: Vec<u8>) {
        if self.faults.occurs(now, &FaultKind::DieAfterAccept) {
            exit(CRASH_EXIT_CODE);
        }
        if self.faults.occurs(now, &FaultKind::DieMidAnswer) {
            self.reactor.write(connection, &bytes[..bytes.len() / 2]);
            exit(CRASH_EXIT_CODE);
        }
        if self.faults.is_active(now, &FaultKind::Hang) {
            return;
        }
        let lost_share = self.faults.lost_share(now);
        if lost_share.is_some_and(|share| self.random.random_bool(share.clamp(0.0, 1.0))) {
            self.reactor.close(connection);
            return self.disconnect(connection);
        }
        if self.faults.is_active(now, &FaultKind::Garbage) {
            return self.reactor.write(connection, GARBAGE);
        }
        if self.faults.is_active(now, &FaultKind::Bare503) {
            return self.reactor.write(connection, PLAIN_503);
        }
        match self.faults.response_delay_us(now) {
            Some(delay_us) => self.write_at(now + delay_us, connection, bytes),
            None => self.reactor.write(connection, &bytes),
        }
    }
}

/// The key as the client stated it, without the gateway's prefix.
fn client_key(key: &[u8]) -> String {
    let text = String::from_utf8_lossy(key).into_owned();
    text.strip_prefix(CLIENT_KEY_PREFIX).map(str::to_string).unwrap_or(text)
}
