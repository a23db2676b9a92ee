//! Calls, attempts and forwarding in the simulation.

use std::fmt::Write as _;
use std::time::Duration;

use kernel::{Incarnation, RequestId};
use ledger::{End, Event, ForwardResult, Via};

use super::{Call, Execution, NETWORK_DELAY, Reply, RunState, Scheduled, World};

/// Timeout of a forwarded call.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    /// Delivers a call to a host.
    pub(crate) fn call(&mut self, call: Call) {
        let host = call.host;
        let arrival = call.arrival.clone();
        self.calls.insert(arrival.request.to_string(), call);
        let to = self.hosts[host].incarnation;
        if self.hosts[host].is_gone() {
            return self.end(&arrival.request, Reply::Lost);
        }
        self.feed(to, Event::Arrive(arrival));
    }

    pub(super) fn forward(&mut self, idx: usize, request: &RequestId, home: Incarnation) {
        self.log(
            idx,
            format_args!("forwards {request} to {}", self.name(home)),
        );
        let me = self.hosts[idx].incarnation;
        self.schedule(
            FORWARD_TIMEOUT,
            Scheduled::ForwardTimeout(request.to_string()),
        );
        let Some(to) = self.find(home).filter(|_| self.connected(me, home)) else {
            return;
        };
        let origin = &self.calls[request.as_str()];
        let mut arrival = origin.arrival.clone();
        arrival.request = RequestId::from(format!("{request}@{}", self.hosts[to].name));
        arrival.via = Via::Peer;
        let call = Call {
            arrival: arrival.clone(),
            host: to,
            relays: Some(request.to_string()),
            permitted: None,
            result: None,
        };
        self.calls.insert(arrival.request.to_string(), call);
        self.schedule(
            NETWORK_DELAY,
            Scheduled::Event(home, Event::Arrive(arrival)),
        );
    }

    pub(super) fn forward_failed(&mut self, request: &str) {
        if self.calls[request].result.is_none() {
            self.forwarded(request, ForwardResult::Failed);
        }
    }

    pub(super) fn forwarded(&mut self, request: &str, end: ForwardResult) {
        let to = self.hosts[self.calls[request].host].incarnation;
        let request = RequestId::from(request);
        self.feed(to, Event::Forwarded { request, end });
    }

    pub(super) fn end(&mut self, request: &RequestId, reply: Reply) {
        let Some(call) = self.calls.get_mut(request.as_str()) else {
            return;
        };
        if call.result.is_some() {
            return;
        }
        if reply == Reply::Lost {
            let _ = writeln!(self.trace, "nobody answers {request}");
        }
        call.result = Some((self.now, reply.clone()));
        self.ended.push(request.to_string());
        let (host, relays) = (call.host, call.relays.clone());
        let Some(origin) = relays else {
            return;
        };
        let (from, to) = (host, self.calls[&origin].host);
        let cut =
            self.disconnected.contains(&(from, to)) || self.disconnected.contains(&(to, from));
        if cut || reply == Reply::Lost || self.hosts[to].is_gone() {
            return;
        }
        self.forwarded(&origin, ForwardResult::Relayed);
        self.end(&RequestId::from(origin), reply);
    }

    /// Sends an attempt of a permitted call, which the service executes.
    pub(crate) fn send(&mut self, request: &str) {
        let call = &self.calls[request];
        assert!(call.permitted.is_some(), "{request} isn't permitted");
        let idx = call.host;
        if self.hosts[idx].run_state != RunState::Running {
            return;
        }
        let key = call.identity();
        let to = self.hosts[idx].incarnation;
        self.feed(
            to,
            Event::AttemptSending {
                request: request.into(),
            },
        );
        self.executions.push(Execution {
            request: request.to_owned(),
            key,
        });
    }

    /// Sends an attempt of a permitted call, which the service refuses without executing it.
    pub(crate) fn refuse_attempt(&mut self, request: &str) {
        let to = self.hosts[self.calls[request].host].incarnation;
        let request = RequestId::from(request);
        self.feed(
            to,
            Event::AttemptSending {
                request: request.clone(),
            },
        );
        self.feed(to, Event::AttemptNotRun { request });
    }

    pub(crate) fn finish(&mut self, request: &str, end: End) {
        let to = self.hosts[self.calls[request].host].incarnation;
        let request = RequestId::from(request);
        self.feed(to, Event::Finished { request, end });
    }

    pub(crate) fn cancel(&mut self, request: &str) {
        let to = self.hosts[self.calls[request].host].incarnation;
        let request = RequestId::from(request);
        self.feed(to, Event::Cancelled { request });
    }
}
