use std::time::Duration;

use crate::{
    coin::{Coin, Purpose},
    endpoint::Load,
    truth::VersionIdx,
    workload::World,
};

/// The endpoints as known to one entry host of a baseline.
#[derive(Clone, Debug)]
pub(crate) struct View {
    endpoints: Vec<Known>,
}

#[derive(Clone, Debug)]
struct Known {
    versions: Vec<VersionIdx>,
    slots: usize,
    up: bool,
    reported: usize,
    /// Attempts sent since the last report.
    sent: usize,
}

impl View {
    pub(crate) fn new(world: &World) -> Self {
        let endpoints = world
            .pools
            .iter()
            .flat_map(|pool| {
                (0..pool.replicas).map(|_| Known {
                    versions: pool.versions.clone(),
                    slots: pool.slots,
                    up: true,
                    reported: 0,
                    sent: 0,
                })
            })
            .collect();
        Self { endpoints }
    }

    pub(crate) fn report(&mut self, endpoint: usize, load: Load) {
        let known = &mut self.endpoints[endpoint];
        known.reported = load.running + load.waiting;
        known.sent = 0;
    }

    pub(crate) fn set_up(&mut self, endpoint: usize, up: bool) {
        self.endpoints[endpoint].up = up;
    }

    /// Returns the less loaded of two random endpoints that serve the version; `None` if none does.
    pub(crate) fn pick(
        &mut self,
        coin: Coin,
        now: Duration,
        request: usize,
        version: Option<VersionIdx>,
    ) -> Option<usize> {
        let serving = (0..self.endpoints.len())
            .filter(|it| self.endpoints[*it].serves(version))
            .collect::<Vec<_>>();
        let moment = usize::try_from(now.as_micros()).unwrap_or(0);
        let draw = |number: usize| {
            let toss = coin.toss(Purpose::Choice, request, moment * 2 + number);
            serving.get(place(toss, serving.len())).copied()
        };
        let [one, other] = [draw(0)?, draw(1)?];
        let chosen = if self.endpoints[other].load() < self.endpoints[one].load() {
            other
        } else {
            one
        };
        self.endpoints[chosen].sent += 1;
        Some(chosen)
    }
}

impl Known {
    fn serves(&self, version: Option<VersionIdx>) -> bool {
        let right = match version {
            Some(version) => self.versions.contains(&version),
            None => self.versions.is_empty(),
        };
        self.up && right
    }

    fn load(&self) -> usize {
        (self.reported + self.sent) * 100 / self.slots
    }
}

/// Maps a number in `0.0..1.0` to an index of a list with `len` elements.
pub(crate) fn place(toss: f64, len: usize) -> usize {
    (1..len).take_while(|it| scale(*it, len) <= toss).count()
}

fn scale(part: usize, whole: usize) -> f64 {
    let [part, whole] = [part, whole].map(|it| f64::from(u32::try_from(it).unwrap_or(u32::MAX)));
    part / whole
}
