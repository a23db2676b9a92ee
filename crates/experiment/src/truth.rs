//! The ground truth about each version's quality, which routers can't see.

mod answer;
mod confidence;
mod skill;
mod version;

use std::time::Duration;

pub(crate) use answer::Answer;
pub(crate) use confidence::Confidence;
pub(crate) use skill::Skill;
pub(crate) use version::{VersionIdx, VersionTruth};

use crate::{
    arrival::Arrival,
    coin::{Coin, Purpose},
    scenario::{Fault, Manner, Scenario},
    workload::World,
};

/// The quality of each version over the course of a scenario.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Truth<'a> {
    pub(crate) world: &'a World,
    pub(crate) scenario: &'a Scenario,
    pub(crate) coin: Coin,
}

/// The effect of the active faults on a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Damage {
    /// The share of responses that are bad because of the fault.
    pub(crate) share: f64,
    pub(crate) manner: Manner,
}

impl Truth<'_> {
    /// Returns the response of `version` to a request that starts to run at `now`.
    pub(crate) fn answer(&self, arrival: &Arrival, version: VersionIdx, now: Duration) -> Answer {
        let (request, other) = (arrival.idx, version.idx());
        let damage = self.damage(version, now);
        let faulted = self.coin.toss(Purpose::Fault, request, other) < damage.share;
        let skill = self.world.version(version).skill(arrival.class);
        let able = self.coin.toss(Purpose::Good, request, other) < skill.at(arrival.hard);
        let good = able && !faulted;
        let looks_good = good || (faulted && damage.manner == Manner::Confident);
        let draw = self.coin.toss(Purpose::Confidence, request, other);
        Answer {
            good,
            confidence: self
                .world
                .version(version)
                .confidence
                .quantile(looks_good, draw),
            harmed: able && faulted,
            error: faulted && damage.manner == Manner::Error,
        }
    }

    /// Returns the effect of the faults that are active at `now` on `version`.
    pub(crate) fn damage(&self, version: VersionIdx, now: Duration) -> Damage {
        let mut damage = Damage {
            share: 0.0,
            manner: Manner::Plain,
        };
        for event in self.scenario.active(now) {
            match event.fault {
                Fault::Bad {
                    version: bad,
                    share,
                    manner,
                } if bad == version => damage = Damage { share, manner },
                Fault::Drift {
                    version: drifting,
                    loss,
                } if drifting == version => {
                    let passed = now.saturating_sub(event.at).as_secs_f64();
                    let length = event.until.saturating_sub(event.at).as_secs_f64();
                    damage.share = loss * passed / length;
                }
                _ => {}
            }
        }
        damage
    }
}
