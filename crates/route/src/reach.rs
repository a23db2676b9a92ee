//! Whether this host can open connections to endpoints at all.
//!
//! A host whose path to the endpoints is cut sees each endpoint fail by itself, and would try one
//! after the other for each request. The monitor compares what connections to different endpoints
//! show: see `docs/design/unreachable-endpoints.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::endpoint::Key;

/// Number of endpoints to which connections fail, without one that opens in between, after which
/// further endpoints are checked.
const MIN_SUSPICIOUS: usize = 2;
/// Number of endpoints to which connections fail, without one that opens in between, after which
/// this host counts as cut off.
const MIN_UNREACHABLE: usize = 4;
/// The time after which a failed connection no longer counts. The endpoint may have failed alone,
/// while responses arrived on connections that were open before.
const FAILURE_TTL: Duration = Duration::from_secs(2);

/// Whether connections to endpoints can be opened.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// A connection was opened recently, or too few were tried to tell.
    #[default]
    #[display("reachable")]
    Reachable,
    /// Connections to several endpoints failed, and none was opened since.
    #[display("cut off")]
    CutOff,
}

/// Decides from the results of connections whether this host is cut off from all endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct Monitor {
    /// Endpoints to which a connection failed since the last one that was opened, each with the
    /// time of its last failure.
    failed: BTreeMap<Key, Duration>,
    state: State,
}

impl Monitor {
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Records that a connection to an endpoint was opened.
    pub(crate) fn record_opened(&mut self) {
        self.failed.clear();
        self.state = State::Reachable;
    }

    /// Records that a connection to an endpoint couldn't be opened. `known` is the number of
    /// endpoints that take requests.
    pub(crate) fn record_failed(&mut self, now: Duration, endpoint: Key, known: usize) {
        self.failed
            .retain(|_, at| now.saturating_sub(*at) <= FAILURE_TTL);
        self.failed.insert(endpoint, now);
        if self.failed.len() >= MIN_UNREACHABLE.min(known) {
            self.state = State::CutOff;
        }
    }

    /// Returns how many connections to endpoints must be opened to learn whether this host is cut
    /// off, or still is; 0 if nothing indicates that.
    pub(crate) fn checks(&self) -> usize {
        match self.state {
            State::CutOff => MIN_SUSPICIOUS,
            State::Reachable if self.failed.len() >= MIN_SUSPICIOUS => MIN_UNREACHABLE,
            State::Reachable => 0,
        }
    }

    /// Returns whether a connection to the endpoint failed since the last one that was opened.
    pub(crate) fn has_failed(&self, endpoint: Key) -> bool {
        self.failed.contains_key(&endpoint)
    }
}
