use std::time::Duration;

use crate::{
    endpoint::Load,
    ground_truth::VersionIdx,
    keyed_rng::{KeyedRng, Purpose},
    workload::World,
};

/// The endpoints as known to one entry host of a baseline.
#[derive(Clone, Debug)]
pub(crate) struct LoadView {
    endpoints: Vec<EndpointView>,
}

#[derive(Clone, Debug)]
struct EndpointView {
    versions: Vec<VersionIdx>,
    slots: usize,
    up: bool,
    reported: usize,
    /// Attempts sent since the last report.
    sent: usize,
}

impl LoadView {
    pub(crate) fn new(world: &World) -> Self {
        let endpoints = world
            .pools
            .iter()
            .flat_map(|pool| {
                (0..pool.replicas).map(|_| EndpointView {
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
        let view = &mut self.endpoints[endpoint];
        view.reported = load.running + load.waiting;
        view.sent = 0;
    }

    pub(crate) fn set_up(&mut self, endpoint: usize, up: bool) {
        self.endpoints[endpoint].up = up;
    }

    /// Picks the less loaded of two endpoints that are up and serve the version (`None`: the plain
    /// service), and counts an attempt as sent to it. Returns `None` if there is no such endpoint.
    ///
    /// The two are drawn independently and may be the same.
    pub(crate) fn pick(
        &mut self,
        keyed_rng: KeyedRng,
        now: Duration,
        request: usize,
        version: Option<VersionIdx>,
    ) -> Option<usize> {
        let serving = (0..self.endpoints.len())
            .filter(|it| self.endpoints[*it].serves(version))
            .collect::<Vec<_>>();
        let moment = usize::try_from(now.as_micros()).unwrap_or(0);
        let candidate = |number: usize| {
            let draw = keyed_rng.draw(Purpose::Choice, request, moment * 2 + number);
            serving.get(pick_index(draw, serving.len())).copied()
        };
        let [one, other] = [candidate(0)?, candidate(1)?];
        let chosen = if self.endpoints[other].load() < self.endpoints[one].load() {
            other
        } else {
            one
        };
        self.endpoints[chosen].sent += 1;
        Some(chosen)
    }
}

impl EndpointView {
    fn serves(&self, version: Option<VersionIdx>) -> bool {
        let serves_version = match version {
            Some(version) => self.versions.contains(&version),
            None => self.versions.is_empty(),
        };
        self.up && serves_version
    }

    fn load(&self) -> usize {
        (self.reported + self.sent) * 100 / self.slots
    }
}

/// Maps a number in `0.0..1.0` to an index of a list with `len` elements.
pub(crate) fn pick_index(draw: f64, len: usize) -> usize {
    (1..len).take_while(|it| scale(*it, len) <= draw).count()
}

fn scale(part: usize, whole: usize) -> f64 {
    let [part, whole] = [part, whole].map(|it| f64::from(u32::try_from(it).unwrap_or(u32::MAX)));
    part / whole
}
