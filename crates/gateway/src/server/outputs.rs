//! Execution of the outputs of front end, bridge and engine.

use super::{bridge, GatewayServer};
use slatevalve::Micros;
use slatevalve_engine::{Answer, Call, Output, Ticket};
use slatevalve_mqtt::FrontOutput;
use tracing::error;

impl GatewayServer {
    /// Executes pending outputs until none is left; executing an output may add further ones.
    pub(super) fn drain_outputs(&mut self, now: Micros) {
        while self.has_outputs() {
            for output in std::mem::take(&mut self.bridge_outputs) {
                let Some(link) = &mut self.bridge else { continue };
                if let Some(call) = link.execute(now, &mut self.reactor, output) {
                    self.submit_call(now, *call);
                }
            }
            for output in std::mem::take(&mut self.front_outputs) {
                self.execute_front(now, output);
            }
            for output in std::mem::take(&mut self.engine_outputs) {
                self.execute(now, output);
            }
        }
    }

    fn has_outputs(&self) -> bool {
        !(self.front_outputs.is_empty() && self.engine_outputs.is_empty() && self.bridge_outputs.is_empty())
    }

    fn execute_front(&mut self, now: Micros, output: FrontOutput) {
        match output {
            FrontOutput::Write(link, bytes) => self.clients.write(&mut self.reactor, link, &bytes),
            FrontOutput::Finish(link) => self.clients.close_gracefully(&mut self.reactor, link),
            FrontOutput::Call(call) => self.submit_call(now, *call),
            FrontOutput::ClientDisconnected(ticket) => {
                self.plugins.iter_mut().for_each(|plugins| plugins.call_withdrawn(now, ticket));
                self.engine.client_disconnected(now, ticket, &mut self.engine_outputs);
            }
        }
    }

    /// Resolves a call's function to the plug-in version that is current now, and passes the call to the
    /// engine.
    fn submit_call(&mut self, now: Micros, mut call: Call) {
        call.age = self.input_age;
        if let Some(plugins) = &mut self.plugins {
            plugins.resolve(now, &mut call);
        }
        self.engine.call(now, call, &mut self.engine_outputs);
    }

    fn execute(&mut self, now: Micros, output: Output) {
        match self.worker_side().execute(now, output) {
            Some(Output::VersionMismatch { worker, version, ran }) => {
                let worker = self.pool.name(worker);
                error!(worker, digest = %version.digest, ran = ran.as_deref().unwrap_or("none reported"),
                    "a worker ran other content than requested; its answer was not passed on");
            }
            Some(Output::Answer(ticket, answer)) => self.answer(now, ticket, &answer),
            Some(Output::Superseded(ticket)) => self.superseded(now, ticket),
            // The remaining outputs request a worker list; the source of the list sends changes unrequested.
            _ => {}
        }
    }

    /// Passes a call's final answer to the bridge or front end that the call came from.
    fn answer(&mut self, now: Micros, ticket: Ticket, answer: &Answer) {
        self.plugins.iter_mut().for_each(|plugins| plugins.call_answered(now, ticket, answer));
        match bridge::by_ticket(&mut self.bridge, ticket) {
            Some(link) => link.bridge.answer(now, ticket, answer, &mut self.bridge_outputs),
            None => self.front.answer(now, ticket, answer, &mut self.front_outputs),
        }
    }

    /// Drops a ticket because the same client repeated the call: the answer goes to the ticket of the repeat.
    fn superseded(&mut self, now: Micros, ticket: Ticket) {
        self.plugins.iter_mut().for_each(|plugins| plugins.call_withdrawn(now, ticket));
        match bridge::by_ticket(&mut self.bridge, ticket) {
            Some(link) => link.bridge.superseded(now, ticket, &mut self.bridge_outputs),
            None => self.front.superseded(ticket),
        }
    }
}
