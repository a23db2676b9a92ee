//! Reasons for which an endpoint gets no attempt of a request.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Leniency, Router};
use crate::call::Call;
use crate::directory::Endpoint;
use crate::endpoint::{Key, State};
use crate::evacuation::DataCentreAccess;
use crate::millis;
use crate::rollout::Rollout;

/// The reason for which an endpoint gets no attempt of a request. Of several reasons, the one that
/// holds for most other requests is given.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// The listing no longer contains it.
    #[display("unlisted")]
    Unlisted,
    /// It is shutting down.
    #[display("leaving")]
    Leaving,
    /// Operators have evacuated its data centre.
    #[display("evacuated")]
    Evacuated,
    /// It runs the other release of a roll-out.
    #[display("other release")]
    OtherRelease,
    /// Its release was found bad in an earlier roll-out.
    #[display("withdrawn release")]
    Withdrawn,
    /// It asked this host to send nothing.
    #[display("paused for {} ms", millis::whole(*left))]
    Paused {
        /// The remaining time.
        #[serde(rename = "left_ms", with = "crate::millis")]
        left: Duration,
    },
    /// It is cold, and this host has no share of its request rate, or has used it.
    #[display("cold, no share for {} ms", millis::whole(*left))]
    Cold {
        /// The remaining time.
        #[serde(rename = "left_ms", with = "crate::millis")]
        left: Duration,
    },
    /// It states a request rate, and this host has no share of it, or has used it.
    #[display("rate limited for {} ms", millis::whole(*left))]
    RateLimited {
        /// The remaining time.
        #[serde(rename = "left_ms", with = "crate::millis")]
        left: Duration,
    },
    /// It is ejected for failed responses or connections.
    #[display("ejected for {} ms", millis::whole(*left))]
    Ejected {
        /// The remaining time.
        #[serde(rename = "left_ms", with = "crate::millis")]
        left: Duration,
    },
    /// It refused an earlier attempt of the request.
    #[display("refused")]
    Refused,
    /// An earlier attempt of the request was sent to it.
    #[display("tried")]
    Tried,
    /// It exits if it refuses many requests, and this host's share of its slots is in use.
    #[display("brittle, no free share")]
    Brittle,
}

impl Exclusion {
    /// Returns the reason that lies in the endpoint's state or release.
    pub(super) fn of_endpoint(
        now: Duration,
        call: &Call,
        leniency: Leniency,
        rollout: Option<&Rollout>,
        it: &Endpoint,
    ) -> Option<Self> {
        if !it.takes_work() {
            return Some(Self::of_unavailable(it));
        }
        if let (Some(rollout), Some(side)) = (rollout, call.side())
            && let used = rollout.side_of(&it.entry.release)
            && used != Some(side)
        {
            return Some(used.map_or(Self::Withdrawn, |_| Self::OtherRelease));
        }
        if !it.wait(now).is_zero() {
            return Some(Self::of_waiting(now, it));
        }
        let left = it.health.ejection_left(now);
        let is_ejected = leniency == Leniency::Healthy && !left.is_zero();
        is_ejected.then_some(Self::Ejected { left })
    }

    /// Returns the reason that lies in an earlier attempt.
    ///
    /// An endpoint that refused the request is never tried again. It is probably still full, and a
    /// late duplicate of its refusal could be taken for the response to a second attempt, since
    /// all attempts have the same request ID. The request would then be reported as not run
    /// although the second attempt may be running.
    fn of_attempts(call: &Call, leniency: Leniency, key: Key) -> Option<Self> {
        if call.refused.contains(&key) {
            return Some(Self::Refused);
        }
        let is_tried = leniency < Leniency::Any && call.tried.contains(&key);
        is_tried.then_some(Self::Tried)
    }

    /// Returns why an endpoint takes no requests.
    fn of_unavailable(it: &Endpoint) -> Self {
        if !it.is_listed() {
            Self::Unlisted
        } else if it.is_leaving || it.entry.state != State::Ready {
            Self::Leaving
        } else {
            debug_assert_eq!(it.access, DataCentreAccess::Evacuated);
            Self::Evacuated
        }
    }

    /// Returns why this host must send an endpoint nothing for some time. The longest wait is
    /// given.
    fn of_waiting(now: Duration, it: &Endpoint) -> Self {
        let left = it.wait(now);
        if it.cold_start.wait(now) == left {
            Self::Cold { left }
        } else if it.rate_limit.wait(now) == left {
            Self::RateLimited { left }
        } else {
            Self::Paused { left }
        }
    }
}

impl Router {
    /// Returns why an endpoint gets no attempt of the request; `None` if it is a candidate.
    pub(super) fn exclusion(
        &self,
        now: Duration,
        call: &Call,
        leniency: Leniency,
        rollout: Option<&Rollout>,
        (key, it): (Key, &Endpoint),
    ) -> Option<Exclusion> {
        Exclusion::of_endpoint(now, call, leniency, rollout, it)
            .or_else(|| Exclusion::of_attempts(call, leniency, key))
            .or_else(|| (!self.directory.has_room(now, it)).then_some(Exclusion::Brittle))
    }
}
