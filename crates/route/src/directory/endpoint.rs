//! State of an endpoint on this host.

use std::time::Duration;

use super::cold_start::ColdStart;
use super::pace_clock::PaceClock;
use super::speed::Speed;
use crate::Pace;
use crate::endpoint::{Entry, Load, State};
use crate::evacuation::DataCentreAccess;
use crate::health::Health;
use crate::rate_limit::RateLimit;

/// The time for which a load report is used. Requests last about as long.
pub(crate) const LOAD_REPORT_TTL: Duration = Duration::from_millis(1_500);

/// An endpoint and what this host knows about it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's entry in the listing.
    pub entry: Entry,
    /// Whether the endpoint announced that it is leaving, in a response or before the store was
    /// restored from an older copy. No listing resets this, because an outdated one may still show
    /// the endpoint as ready. After a restart it is a new `Endpoint`.
    pub(crate) is_leaving: bool,
    /// Whether its data centre may be used.
    pub(crate) access: DataCentreAccess,
    /// The rate that it states in its responses, and this host's part of it.
    pub(crate) rate_limit: RateLimit,
    /// Its cold-start state.
    pub(crate) cold_start: ColdStart,
    /// Until when it asked this host to send nothing. It is skipped even if no other endpoint is
    /// left, because it would only refuse.
    pub(crate) paused_until: Duration,
    /// Whether the listing still contains it.
    pub(crate) listed: Listed,
    /// Number of requests of this host in flight there.
    pub(crate) in_flight: u32,
    /// Estimated prefill time of those requests that have no response yet.
    pub(crate) pending_prefill: Duration,
    /// The tokens that those requests hold in its memory at most: prompts and output.
    pub(crate) memory_used: u64,
    /// The latest load report with the time of its arrival, and the number of requests sent since.
    pub(crate) load: Option<(Duration, Load)>,
    pub(crate) sent_since_load: u32,
    pub(crate) health: Health,
    /// The pace that its machine reports.
    pub(crate) pace_clock: PaceClock,
    /// Its speed as its streams show it.
    pub(super) speed: Speed,
}

/// Whether the listing contains an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listed {
    Yes,
    /// Not since this time.
    Missing(Duration),
}

impl Endpoint {
    pub(super) fn new(entry: Entry, access: DataCentreAccess) -> Self {
        Self {
            entry,
            is_leaving: false,
            access,
            rate_limit: RateLimit::default(),
            cold_start: ColdStart::default(),
            paused_until: Duration::ZERO,
            listed: Listed::Yes,
            in_flight: 0,
            pending_prefill: Duration::ZERO,
            memory_used: 0,
            load: None,
            sent_since_load: 0,
            health: Health::default(),
            pace_clock: PaceClock::default(),
            speed: Speed::default(),
        }
    }

    /// Returns whether new requests may be sent to it.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.is_ready() && self.access == DataCentreAccess::Open
    }

    pub(crate) fn is_listed(&self) -> bool {
        self.listed == Listed::Yes
    }

    /// Returns whether it would take new requests if its data centre were in use.
    pub(super) fn is_ready(&self) -> bool {
        self.is_listed() && self.entry.state == State::Ready && !self.is_leaving
    }

    /// Returns how long this host must send it nothing, because it refuses requests, is cold or
    /// states a request rate.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        let paused = self.paused_until.saturating_sub(now);
        let cold = self.cold_start.wait(now);
        paused.max(cold).max(self.rate_limit.wait(now))
    }

    /// Returns whether all hosts together may send it only few requests.
    pub(crate) fn is_rate_limited(&self, now: Duration) -> bool {
        self.cold_start.is_cold(now) || self.rate_limit.rate().is_some()
    }

    /// Returns the tokens that this host's requests in flight hold in its memory at most: their
    /// prompts and the output that callers expect. Zero for a new process of the endpoint.
    #[must_use]
    pub fn memory_used(&self) -> u64 {
        self.memory_used
    }

    /// Returns how many times longer work takes there than at a usual endpoint of its service: the
    /// factor that its streams show, multiplied by the reported pace while that is fresh. It is 1
    /// if nothing is known, and learned only under
    /// [`LoadPolicy::Contended`](crate::LoadPolicy::Contended).
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        let pace = self.pace_clock.pace(now);
        self.speed.factor(now) * pace.map_or(1.0, Pace::factor)
    }

    /// Returns [`Self::slowness`] if something is known about it.
    #[must_use]
    pub fn known_slowness(&self, now: Duration) -> Option<f64> {
        let is_known = self.speed.is_known() || self.pace_clock.pace(now).is_some();
        is_known.then(|| self.slowness(now))
    }

    pub(super) fn utilization(&self, now: Duration, typical_utilization: f64) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        let own = f64::from(self.in_flight);
        let reported = match self.load {
            Some((at, load)) if now.saturating_sub(at) < LOAD_REPORT_TTL => {
                load.requests() + f64::from(self.sent_since_load)
            }
            _ => typical_utilization * slots,
        };
        own.max(reported) / slots
    }
}
