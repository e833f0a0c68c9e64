//! Execution of the outputs of front end and engine.

use super::Router;
use slatevalve::Micros;
use slatevalve_engine::{Answer, Call, Output, Reason, Ticket};
use slatevalve_platform::front::FrontOutput;
use tracing::debug;

impl Router {
    /// Executes pending outputs until none is left; executing an output may produce others.
    pub(super) fn drain_outputs(&mut self, now: Micros) {
        while !(self.to_front.is_empty() && self.to_engine.is_empty()) {
            for output in std::mem::take(&mut self.to_front) {
                self.execute_front(now, output);
            }
            for output in std::mem::take(&mut self.to_engine) {
                self.execute(now, output);
            }
        }
    }

    fn execute_front(&mut self, now: Micros, output: FrontOutput) {
        match output {
            FrontOutput::Write(link, bytes) => self.clients.write(&mut self.reactor, link, &bytes),
            FrontOutput::Finish(link) => self.clients.close_gracefully(&mut self.reactor, link),
            FrontOutput::Call(call) => self.submit_call(now, *call),
            FrontOutput::ClientDisconnected(ticket) => {
                debug!(now = now.0, ticket = ticket.0, "client disconnected");
                self.engine.client_disconnected(now, ticket, &mut self.to_engine);
            }
            FrontOutput::Rejected(link, reason) => {
                debug!(now = now.0, link = link.0, ?reason, "rejected");
                self.rejections.record(link, reason);
            }
        }
    }

    fn submit_call(&mut self, now: Micros, mut call: Call) {
        call.age = self.input.age;
        debug!(
            now = now.0,
            ticket = call.ticket.0,
            request_id = call.request_id.as_deref(),
            class = call.class.0,
            function = &*call.function,
            budget_us = call.budget.0,
            read_delay_us = call.age.0,
            client_may_have_left = self.input.client_may_have_left,
            "call"
        );
        if self.input.client_may_have_left {
            return self.engine.refuse_unsubmitted(
                now,
                call.ticket,
                Reason::ClientMayHaveLeft,
                &mut self.to_engine,
            );
        }
        self.engine.call(now, call, &mut self.to_engine);
    }

    fn execute(&mut self, now: Micros, output: Output) {
        // Of the outputs that the pool does not handle, only answers occur here: the change log sends the
        // worker list unrequested, and this router stores neither versions nor keys.
        if let Some(Output::Answer(ticket, answer)) = self.worker_side().execute(now, output) {
            self.answer(now, ticket, &answer);
        }
    }

    fn answer(&mut self, now: Micros, ticket: Ticket, answer: &Answer) {
        debug!(
            now = now.0,
            ticket = ticket.0,
            outcome = answer.verdict.as_str(),
            reason = ?answer.verdict.reason(),
            attempts = answer.attempts,
            "answer"
        );
        self.front.answer(now, ticket, answer, &mut self.to_front);
    }
}
