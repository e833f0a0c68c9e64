//! Handling of the registry's responses and errors.

use super::error::RequestError;
use super::request::{CallerRequest, Request};
use super::settings::{ClientEvent, Outputs};
use super::stream::STATUS_OK;
use super::Client;
use crate::members::RelayRecord;
use crate::registration::{LeaseStep, Registration};
use crate::watch_state::{Change, WatchFault};
use crate::wire::*;
use serde::de::DeserializeOwned;

/// The response could not be parsed, or lacks a required field.
struct MalformedResponse;

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, MalformedResponse> {
    serde_json::from_slice(body).map_err(|_| MalformedResponse)
}

impl Client {
    /// Handles a complete response. The lines of an active watch are handled separately, as they arrive.
    pub(super) fn handle_response(
        &mut self,
        request: Request,
        status: u16,
        body: &[u8],
        out: &mut Outputs<'_>,
    ) {
        if status != STATUS_OK {
            return self.handle_error(request, status, body, out);
        }
        if self.is_outdated_list(&request, body) {
            return self.endpoint_failed("it holds less than was told already", out);
        }
        self.poll_schedule.succeeded();
        if self.handle_success(&request, body, out).is_err() {
            self.endpoint_failed("its response is malformed", out);
        }
    }

    fn handle_error(&mut self, request: Request, status: u16, body: &[u8], out: &mut Outputs<'_>) {
        let ErrorBody { message, code } = serde_json::from_slice(body).unwrap_or_default();
        let error = RequestError::Rejected { status, message };
        match (request, code) {
            (Request::Login, _) => self.endpoint_failed(&error.to_string(), out),
            // The token expired: the request is repeated after a new login. A caller's request is queued
            // again for that.
            (request, code::UNAUTHENTICATED) => {
                self.token = None;
                if let Request::Caller(request) = request {
                    self.caller_requests.push_front(request);
                }
            }
            (Request::Caller(CallerRequest { ticket, .. }), _) => {
                out.events.push(ClientEvent::request_failed(ticket, error));
            }
            (Request::List(_), code::OUT_OF_RANGE) => {
                self.watch_state.list_compacted(out.now_us);
                self.report_faults(out.events);
            }
            (Request::Lease(_), code::NOT_FOUND) => self.lease_lost(out.events),
            _ => self.endpoint_failed(&error.to_string(), out),
        }
    }

    /// Handles an error that the registry sent instead of a response of the watch.
    pub(super) fn handle_watch_error(&mut self, error: &ErrorBody, out: &mut Outputs<'_>) {
        match error.code {
            code::UNAUTHENTICATED => self.token = None,
            _ => self.endpoint_failed(&error.message, out),
        }
    }

    /// Returns whether the first page of a list is older than the reported revision while an endpoint that
    /// was not tried yet may be more recent. Once all endpoints returned older lists, the registry was
    /// restored, and the list is accepted.
    fn is_outdated_list(&mut self, request: &Request, body: &[u8]) -> bool {
        let Request::List(list) = request else { return false };
        if !list.start_key.is_empty() {
            return false;
        }
        let Ok(page) = parse::<PlainResponse>(body) else { return false };
        let outdated = page.header.revision < self.watch_state.revision()
            && self.outdated_lists + 1 < self.endpoints.count();
        self.outdated_lists = if outdated { self.outdated_lists + 1 } else { 0 };
        outdated
    }

    pub(super) fn handle_watch_response(&mut self, response: WatchResponse, out: &mut Outputs<'_>) {
        self.poll_schedule.succeeded();
        self.is_watching |= response.created;
        let changes = self.watch_state.handle_watch(out.now_us, response);
        self.report_changes(changes, out.events);
    }

    fn handle_success(
        &mut self,
        request: &Request,
        body: &[u8],
        out: &mut Outputs<'_>,
    ) -> Result<(), MalformedResponse> {
        match request {
            Request::Watch => {}
            Request::Login => self.handle_login(body)?,
            Request::List(_) => {
                let changes = self.watch_state.handle_list(out.now_us, parse(body)?);
                self.report_changes(changes, out.events);
            }
            Request::LivenessCheck => {
                self.watch_state.handle_liveness_check(out.now_us, &parse(body)?);
                self.report_faults(out.events);
            }
            Request::CountRouters => {
                let count = parse::<RangeResponse>(body)?.count;
                self.router_poll.handle_direct_routers(usize::try_from(count).unwrap_or(0));
            }
            Request::ListRelays { direct_routers } => self.handle_relays(*direct_routers, body, out)?,
            Request::Lease(step) => self.handle_lease_response(*step, body, out)?,
            Request::Caller(CallerRequest { ticket, .. }) => {
                out.events.push(ClientEvent::Answered(*ticket, Ok(body.to_vec())));
            }
        }
        Ok(())
    }

    fn handle_login(&mut self, body: &[u8]) -> Result<(), MalformedResponse> {
        let token = parse::<AuthResponse>(body)?.token;
        // The token is sent as a header value, so it must not contain spaces or control characters.
        let is_valid = !token.is_empty() && token.bytes().all(|b| b.is_ascii_graphic());
        self.token = is_valid.then_some(token);
        self.token.is_some().then_some(()).ok_or(MalformedResponse)
    }

    /// Adds the routers registered at relays to those registered directly, and reports the sum if it changed.
    fn handle_relays(
        &mut self,
        direct_routers: usize,
        body: &[u8],
        out: &mut Outputs<'_>,
    ) -> Result<(), MalformedResponse> {
        let relays = parse::<RangeResponse>(body)?.kvs;
        let routers_of = |kv: &KeyValue| parse::<RelayRecord>(&kv.value.0).map_or(0, |record| record.routers);
        let routers = relays.iter().map(routers_of).fold(direct_routers, usize::saturating_add);
        let window_us = self.poll_schedule.window_us();
        let changed = self.router_poll.counted(out.now_us, routers, window_us);
        out.events.extend(changed.map(ClientEvent::Routers));
        Ok(())
    }

    fn handle_lease_response(
        &mut self,
        step: LeaseStep,
        body: &[u8],
        out: &mut Outputs<'_>,
    ) -> Result<(), MalformedResponse> {
        match step {
            LeaseStep::Grant(_) => {
                let granted: LeaseResponse = parse(body)?;
                if let Some(registration) = &mut self.registration {
                    registration.granted(granted.id);
                }
            }
            LeaseStep::Announce(_) => {
                parse::<PlainResponse>(body)?;
                self.registration.iter_mut().for_each(Registration::announced);
                if !std::mem::replace(&mut self.is_registered, true) {
                    out.events.push(ClientEvent::Registered);
                }
            }
            LeaseStep::KeepAlive(_) => {
                let response = parse::<Streamed<LeaseResponse>>(body)?.result.ok_or(MalformedResponse)?;
                self.handle_keep_alive(&response, out);
            }
        }
        Ok(())
    }

    fn handle_keep_alive(&mut self, response: &LeaseResponse, out: &mut Outputs<'_>) {
        if self.follows_keys() {
            let served_as_check = self.watch_state.handle_header(out.now_us, &response.header);
            self.liveness_check_pending = !served_as_check && self.watch_state.liveness_check_due(out.now_us);
            if served_as_check {
                self.update_intervals();
            }
            self.report_faults(out.events);
        }
        let lease_expired = self
            .registration
            .as_mut()
            .is_some_and(|registration| !registration.keep_alive_answered(response.ttl));
        if lease_expired {
            self.lease_lost(out.events);
        }
    }

    fn report_changes(&mut self, changes: Vec<Change>, events: &mut Vec<ClientEvent>) {
        if !changes.is_empty() {
            events.push(ClientEvent::Changes(changes));
        }
        self.report_faults(events);
    }

    fn report_faults(&mut self, events: &mut Vec<ClientEvent>) {
        for fault in self.watch_state.take_faults() {
            if fault == WatchFault::Restored {
                // Leases granted before the restore do not exist any more.
                self.reset_registration();
            }
            events.push(ClientEvent::WatchFault(fault));
        }
    }
}
