//! Execution of the engine's outputs that concern workers, and reporting of completed requests to the engine.

use super::requests::OutgoingRequest;
use super::{Pool, Purpose, RequestEnd};
use slatevalve::{FunctionId, Micros, Outcome, WorkerId};
use slatevalve_engine::{AttemptEnd, AttemptRef, Engine, Output, ProbeEnd, RunBody};
use slatevalve_reactor::Reactor;
use slatevalve_worker_protocol::{Call, WorkerRequest};
use tracing::debug;

const MICROS_PER_MILLISECOND: i64 = 1_000;

impl Pool {
    /// Executes an engine output that concerns workers; returns any other output. `classes` are the class
    /// names in the order of their ids. Outputs that the engine produces as a result are appended to `out`.
    pub(crate) fn execute(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        engine: &mut Engine,
        output: Output,
        classes: &[String],
        out: &mut Vec<Output>,
    ) -> Option<Output> {
        let end = match output {
            Output::Send { attempt, worker, limits, body, time_remaining } => {
                let request = self.attempt_request(now, worker, attempt, &body, time_remaining, classes);
                let request = OutgoingRequest { limits, ..request };
                self.submit(now, reactor, request)
            }
            Output::Load { worker, function, name, copies } => {
                let request = self.load_request(now, worker, function, &name, copies);
                self.submit(now, reactor, request)
            }
            Output::Unload { worker, name } => {
                let message = WorkerRequest::Unload { function: name.to_string() };
                self.submit(now, reactor, OutgoingRequest::to_any(worker, Purpose::Unload, message))
            }
            Output::Probe(worker) => {
                let message = WorkerRequest::Ready;
                self.submit(now, reactor, OutgoingRequest::to_any(worker, Purpose::Probe, message))
            }
            Output::Cancel(attempt) => {
                self.end_attempt(now, reactor, engine, attempt, Outcome::Cancelled, out);
                None
            }
            Output::Expire(attempt) => {
                self.end_attempt(now, reactor, engine, attempt, Outcome::TimedOut, out);
                None
            }
            Output::CancelUnsent(attempt) => self.cancel_attempt_if_unsent(now, reactor, attempt),
            other => return Some(other),
        };
        if let Some(end) = end {
            self.report_completion(now, end, engine, out);
        }
        None
    }

    /// Builds the request of an attempt. Its request id is the client's own if the client provided one.
    fn attempt_request(
        &self,
        now: Micros,
        worker: WorkerId,
        attempt: AttemptRef,
        body: &RunBody,
        time_remaining: Micros,
        classes: &[String],
    ) -> OutgoingRequest {
        debug!(
            now_us = now.0,
            worker = self.name(worker),
            request_id = attempt.request.0,
            attempt = attempt.attempt,
            time_left_us = time_remaining.0,
            "attempt submitted"
        );
        let client_id = body.request_id.as_deref();
        let own_id = || format!("{}{}", self.request_id_prefix, attempt.request.0);
        let call = Call {
            function: body.function.to_string(),
            version: None,
            payload: body.payload.to_vec(),
            key: body.key.as_ref().map(|k| k.to_vec()),
            request_id: client_id.map_or_else(own_id, String::from),
            attempt: attempt.attempt,
            time_remaining_ms: (time_remaining.0 / MICROS_PER_MILLISECOND).max(0) as u64,
            class: classes.get(body.class.0).cloned().unwrap_or_default(),
            settings: self.document_versions.clone(),
        };
        OutgoingRequest::to_any(worker, Purpose::Attempt(attempt), WorkerRequest::Infer(call))
    }

    /// Builds a request to have `copies` replicas loaded; for 0, a request to count the loaded replicas.
    fn load_request(
        &self,
        now: Micros,
        worker: WorkerId,
        function: FunctionId,
        name: &str,
        copies: u32,
    ) -> OutgoingRequest {
        debug!(
            now_us = now.0,
            worker = self.name(worker),
            function = name,
            replicas = copies,
            "load submitted"
        );
        let message = match copies {
            0 => WorkerRequest::Count { function: name.to_string() },
            _ => WorkerRequest::Load { function: name.to_string(), copies },
        };
        OutgoingRequest::to_any(worker, Purpose::Load(function), message)
    }

    fn end_attempt(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        engine: &mut Engine,
        attempt: AttemptRef,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        match self.cancel_attempt(now, reactor, attempt, outcome) {
            Some(end) => self.report_completion(now, end, engine, out),
            // The attempt was never submitted, or it has already completed, in which case the engine ignores
            // this.
            None => engine.attempt_completed(now, attempt, AttemptEnd::without_payload(outcome), out),
        }
    }

    /// Reports a completed request to the engine.
    pub(crate) fn report_completion(
        &self,
        now: Micros,
        end: RequestEnd,
        engine: &mut Engine,
        out: &mut Vec<Output>,
    ) {
        let RequestEnd { worker, purpose, latency, process, reply } = end;
        debug!(
            now_us = now.0,
            worker = self.name(worker),
            ?purpose,
            outcome = ?reply.outcome,
            latency_us = latency.0,
            process_since_us = process.map(|process| process.since.0),
            may_be_new_process = process.map(|process| process.may_be_new),
            queue_depth = reply.queue_depth,
            replicas = reply.copies,
            report = ?reply.report,
            "request completed"
        );
        match purpose {
            Purpose::Attempt(attempt) => {
                let end = AttemptEnd {
                    outcome: reply.outcome,
                    payload: reply.payload.into(),
                    ran: reply.ran.map(Into::into),
                    queue_depth: reply.queue_depth,
                    load_failed: reply.load_failed,
                    report: reply.report,
                    process,
                };
                engine.attempt_completed(now, attempt, end, out);
            }
            Purpose::Probe => {
                let (outcome, report) = (reply.outcome, reply.report);
                let end = ProbeEnd { outcome, latency, report, process };
                engine.probe_completed(now, worker, end, out);
            }
            Purpose::Load(function) => {
                engine.load_completed(now, worker, function, reply.outcome, reply.copies, latency, out);
            }
            Purpose::Unload => {}
        }
    }
}
