//! Simulates callers: arrivals, caller timeouts and delivered responses.

use std::time::Duration;

use super::Sim;
use crate::{
    arrival::Arrival,
    attempt::{AttemptKey, State},
    keyed_rng::Purpose,
    record::{PinStatus, RequestStatus},
    router::{Input, pick_index},
};

/// Number of callers of each customer. Each chooses its entry host independently.
const CALLERS_PER_CUSTOMER: usize = 8;

/// Time after which a caller chooses an entry host anew.
const HOST_CHOICE_PERIOD: Duration = Duration::from_mins(1);

impl Sim<'_> {
    pub(super) fn arrive(&mut self, idx: usize) {
        let arrivals = self.arrivals;
        let arrival = &arrivals[idx];
        let Some(host) = self.host(arrival) else {
            return self.close(idx, RequestStatus::Failed("no_host"));
        };
        let pin = arrival.session.and_then(|it| self.pins[it]);
        self.records[idx].host = host;
        if pin.is_some() {
            self.records[idx].pin_status = PinStatus::Pinned;
        }
        self.handle_input(host, &Input::Arrive { arrival, pin });
    }

    pub(super) fn caller_timeout(&mut self, idx: usize) {
        let record = &self.records[idx];
        if record.status != RequestStatus::Pending || record.first_token.is_some() {
            return;
        }
        let host = record.host;
        self.close(idx, RequestStatus::Failed("caller_gave_up"));
        self.handle_input(host, &Input::Cancelled { request: idx });
    }

    pub(super) fn deliver(&mut self, idx: usize, attempt: AttemptKey) {
        let Some(it) = self.attempts.get(&attempt) else {
            return self.close(idx, RequestStatus::Failed("delivered_unknown_attempt"));
        };
        let State::Done { response, .. } = it.state else {
            return self.close(idx, RequestStatus::Failed("delivered_unfinished_attempt"));
        };
        let version = it.version;
        self.close(idx, RequestStatus::Delivered(version.zip(response)));
        if let (Some(session), Some(version)) = (self.arrivals[idx].session, version) {
            let pin = self.pins[session].replace(version);
            let kept =
                pin.is_none_or(|it| it == version || !self.configuration.accepts_requests(it));
            if !kept {
                self.records[idx].pin_status = PinStatus::Moved;
            }
        }
    }

    /// Ends a request, unless it has already ended.
    pub(super) fn close(&mut self, idx: usize, status: RequestStatus) {
        let record = &mut self.records[idx];
        if record.status != RequestStatus::Pending {
            return;
        }
        record.status = status;
        record.ended_at = self.now;
        if record.delivered() {
            record.first_token.get_or_insert(self.now);
        }
        self.pending -= 1;
        self.attempts
            .retain(|_, it| it.request != idx || !matches!(it.state, State::Done { .. }));
    }

    /// Returns the entry host that the caller uses at this time; `None` if all hosts are down.
    fn host(&self, arrival: &Arrival) -> Option<usize> {
        let caller = arrival.customer * CALLERS_PER_CUSTOMER + arrival.idx % CALLERS_PER_CUSTOMER;
        let period =
            usize::try_from(self.now.as_secs() / HOST_CHOICE_PERIOD.as_secs()).unwrap_or(0);
        let draw = self.truth.keyed_rng.draw(Purpose::Host, caller, period);
        let up = (0..self.hosts_up.len()).filter(|it| self.hosts_up[*it]);
        let up = up.collect::<Vec<_>>();
        up.get(pick_index(draw, up.len())).copied()
    }
}
