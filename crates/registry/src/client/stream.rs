//! The byte streams of the client's connections: connecting, closing, and decoding responses and lines of the
//! watch.

use super::connection::ConnectionState;
use super::error::RequestError;
use super::request::{CallerRequest, Request};
use super::settings::{Channel, ClientEvent, Outputs, SocketAction};
use super::Client;
use crate::wire::{Streamed, WatchResponse};
use slatevalve_http::{Head, MessageEvent};

/// Maximum size of a response, or of a line of a watch, in bytes.
const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;
/// The HTTP status of a successful request.
pub(super) const STATUS_OK: u16 = 200;
/// HTTP statuses of an overloaded endpoint (RFC 6585, "Too Many Requests", and RFC 9110, "Service
/// Unavailable").
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

impl Client {
    /// Handles an established connection.
    pub fn connected(&mut self, now_us: i64, channel: Channel, actions: &mut Vec<SocketAction>) {
        let connection = self.connection_mut(channel);
        let previous = std::mem::replace(&mut connection.state, ConnectionState::Idle);
        if let ConnectionState::Connecting(request) = previous {
            self.send(now_us, channel, request, actions);
        }
    }

    /// Handles a connection that was closed or could not be established.
    pub fn closed(
        &mut self,
        now_us: i64,
        channel: Channel,
        actions: &mut Vec<SocketAction>,
        events: &mut Vec<ClientEvent>,
    ) {
        let connection = self.connection_mut(channel);
        match std::mem::replace(&mut connection.state, ConnectionState::Closed) {
            ConnectionState::Closed | ConnectionState::Idle => {}
            ConnectionState::Connecting(request) | ConnectionState::Busy(request) => {
                // `request_failed` reads the request from the connection.
                connection.state = ConnectionState::Busy(request);
                self.request_failed(
                    channel,
                    "the connection was closed",
                    &mut Outputs { now_us, actions, events },
                );
            }
        }
    }

    /// Handles received bytes.
    pub fn received(
        &mut self,
        now_us: i64,
        channel: Channel,
        bytes: &[u8],
        actions: &mut Vec<SocketAction>,
        events: &mut Vec<ClientEvent>,
    ) {
        let out = &mut Outputs { now_us, actions, events };
        let connection = self.connection_mut(channel);
        if connection.request().is_none() {
            // No request is in flight, so the bytes belong to no response.
            return self.close(channel, out.actions);
        }
        let mut parts = Vec::new();
        let fed = connection.reader.feed(bytes, &mut parts);
        for part in parts {
            if self.connection(channel).request().is_none() {
                return;
            }
            self.handle_part(channel, part, out);
        }
        if fed.is_err() && self.connection(channel).request().is_some() {
            self.endpoint_failed("its response is not valid HTTP", out);
        }
    }

    fn handle_part(&mut self, channel: Channel, part: MessageEvent, out: &mut Outputs<'_>) {
        match part {
            MessageEvent::Head(head) => self.handle_head(channel, &head),
            MessageEvent::Body(piece) => self.handle_body(channel, &piece, out),
            MessageEvent::End => self.handle_end(channel, out),
        }
    }

    fn handle_head(&mut self, channel: Channel, head: &Head) {
        let connection = self.connection_mut(channel);
        connection.status = head.status;
        connection.closes_after_response = head.closes_connection;
        let overloaded = matches!(head.status, STATUS_TOO_MANY_REQUESTS | STATUS_UNAVAILABLE);
        let retry_after = head.header("Retry-After").filter(|_| overloaded);
        let seconds = retry_after.and_then(|text| text.trim().parse::<u32>().ok());
        connection.retry_after_us = seconds.map(|seconds| i64::from(seconds) * 1_000_000);
    }

    fn handle_body(&mut self, channel: Channel, piece: &[u8], out: &mut Outputs<'_>) {
        let connection = self.connection_mut(channel);
        connection.body.extend_from_slice(piece);
        if connection.body.len() > RESPONSE_BYTES_MAX {
            return self.endpoint_failed("its response exceeds 16 MiB", out);
        }
        if channel == Channel::Watch && connection.status == STATUS_OK {
            self.handle_watch_lines(out);
        }
    }

    fn handle_end(&mut self, channel: Channel, out: &mut Outputs<'_>) {
        let connection = self.connection_mut(channel);
        let body = std::mem::take(&mut connection.body);
        let status = connection.status;
        let previous = std::mem::replace(&mut connection.state, ConnectionState::Idle);
        let retry_after_us = connection.retry_after_us.take();
        if connection.closes_after_response {
            self.close(channel, out.actions);
        }
        let ConnectionState::Busy(request) = previous else { return };
        if let Some(retry_after_us) = retry_after_us {
            return self.handle_overload(&request, status, retry_after_us, out);
        }
        if request == Request::Watch && status == STATUS_OK {
            // The response ended without a cancellation of the watch.
            self.is_watching = false;
            self.watch_state.connection_lost();
            return;
        }
        self.handle_response(request, status, &body, out);
    }

    /// Delays the next request by the time that an overloaded endpoint requested. The other connection is
    /// kept, because opening a new one would add to the load.
    fn handle_overload(
        &mut self,
        request: &Request,
        status: u16,
        retry_after_us: i64,
        out: &mut Outputs<'_>,
    ) {
        let error = RequestError::Overloaded { status };
        out.events.push(match request {
            Request::Caller(CallerRequest { ticket, .. }) => ClientEvent::request_failed(*ticket, error),
            _ => ClientEvent::Failed(error.to_string()),
        });
        let delay_us = self.poll_schedule.failed(Some(retry_after_us));
        let retry_at_us = out.now_us.saturating_add(delay_us);
        match request {
            Request::Watch => self.not_before_us = retry_at_us,
            _ => self.short_not_before_us = retry_at_us,
        }
    }

    /// Handles the complete lines of the watch's response; an incomplete one stays in the buffer.
    fn handle_watch_lines(&mut self, out: &mut Outputs<'_>) {
        while let Some(end) = self.watch.body.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.watch.body.drain(..=end).collect();
            if line.trim_ascii().is_empty() {
                continue;
            }
            match serde_json::from_slice::<Streamed<WatchResponse>>(&line) {
                Ok(Streamed { result: Some(response), .. }) => {
                    let canceled = response.canceled;
                    self.handle_watch_response(response, out);
                    if canceled {
                        return self.close(Channel::Watch, out.actions);
                    }
                }
                Ok(Streamed { error: Some(error), .. }) => {
                    self.close(Channel::Watch, out.actions);
                    self.watch_state.connection_lost();
                    return self.handle_watch_error(&error, out);
                }
                Ok(_) | Err(_) => return self.endpoint_failed("a line of its watch is malformed", out),
            }
        }
    }
}
