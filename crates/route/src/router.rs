//! What a host believes, and where requests go by it.

mod arrival;
mod attempts;
mod denial;
mod ends;
mod evacuate;
mod expect;
mod flight;
mod place;
mod placement;
mod releases;
mod told;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::{EndpointId, ModelName, ServiceName, hash};
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::call::{Call, Ending};
use crate::config::{Access, Config};
use crate::directory::{Absence, Change};
use crate::endpoint::{Entry, Key};
use crate::pace::Pace;
use crate::rollout::Order;
use crate::sessions::Sessions;
use crate::{Budget, Directory, Print, Quarantine, Rollout, Settings};

pub use arrival::Arrival;
pub use denial::Denial;
pub use flight::Flight;
pub use placement::Placement;
pub use releases::Heard;

/// Added to the longest pause of a session: its caller measures the pause
/// from the answer's end, this host from what it last heard.
const SESSION_MARGIN: Duration = Duration::from_secs(1);

/// The part of an endpoint's places that are taken, at which it counts as crowded: a
/// release that is bad under load shows it beyond that.
const CROWDED: f64 = 0.6;

/// What a host believes, and where requests go by it.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    config: Option<Arc<Config>>,
    directory: Directory,
    budgets: HashMap<ServiceName, Budget>,
    rollouts: HashMap<ServiceName, Rollout>,
    /// The orders before those of the roll-outs, the newest first.
    former: HashMap<ServiceName, Vec<Order>>,
    sessions: Sessions,
    quarantine: Quarantine,
    /// Endpoints whose connections broke and that may have ended, for the driver to ask.
    doubted: Vec<Key>,
    paces: HashMap<(ServiceName, ModelName), Pace>,
    /// How long whole answers usually take to begin, by route.
    wholes: HashMap<Arc<str>, Duration>,
    /// When the listing in force was read.
    listed: Option<Duration>,
    /// Endpoints that were put to rest since the driver last asked.
    rested: Vec<(EndpointId, Ending)>,
    hosts: u32,
    rng: Pcg32,
}

impl Router {
    /// A router that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            config: None,
            directory: Directory::default(),
            budgets: HashMap::new(),
            rollouts: HashMap::new(),
            former: HashMap::new(),
            sessions: Sessions::default(),
            quarantine: Quarantine::default(),
            doubted: Vec::new(),
            paces: HashMap::new(),
            wholes: HashMap::new(),
            listed: None,
            rested: Vec::new(),
            hosts: 1,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Puts a configuration in force unless a newer one is, and says whether it did.
    ///
    /// A lagging reader can bring an old one after a new one was seen: a caller
    /// would then be refused a route or a key that it has been given already.
    pub fn configure(&mut self, config: Arc<Config>) -> bool {
        if self.version().is_some_and(|it| it >= config.version) {
            return false;
        }
        let warm_ups = config
            .services()
            .filter_map(|it| Some((it.name.clone(), it.warm_up?)));
        self.directory.set_warm_ups(warm_ups.collect());
        self.config = Some(config);
        true
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// The version in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|it| it.version)
    }

    /// The figures of the deployment.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes new figures.
    pub fn set_settings(&mut self, settings: Settings) {
        for budget in self.budgets.values_mut() {
            budget.tune(&settings);
        }
        self.settings = settings;
    }

    /// Takes a listing of endpoints.
    pub fn list(&mut self, now: Duration, entries: Vec<Entry>, absence: Absence) -> Change {
        self.listed = Some(now);
        self.directory.list(now, entries, absence)
    }

    /// Takes it that the store came back from an older copy.
    pub fn restored(&mut self, now: Duration) {
        self.directory.restored(now);
        self.quarantine.restored();
    }

    /// Says that the listing in force was still the store's at this time.
    pub fn confirm_listing(&mut self, at: Duration) {
        self.listed = self.listed.max(Some(at));
    }

    /// When the listing of endpoints was read that is in force.
    #[must_use]
    pub fn listed(&self) -> Option<Duration> {
        self.listed
    }

    /// Endpoints that were put to rest since the last call, and why.
    pub fn take_rested(&mut self) -> Vec<(EndpointId, Ending)> {
        std::mem::take(&mut self.rested)
    }

    /// Repeats that this host may still send, by service.
    #[must_use]
    pub fn budgets(&self, now: Duration) -> Vec<(ServiceName, f64)> {
        let left = |(name, it): (&ServiceName, &Budget)| (name.clone(), it.left(now, self.hosts));
        self.budgets.iter().map(left).collect()
    }

    /// The endpoints.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Takes the number of hosts that share budgets, this one included.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Takes in a request.
    ///
    /// # Errors
    /// Why it goes nowhere.
    pub fn admit(&mut self, now: Duration, arrival: Arrival<'_>) -> Result<Call, Denial> {
        let Arrival {
            host,
            path,
            body,
            key,
            patience,
            shape,
            id,
        } = arrival;
        let config = self.config.as_ref().ok_or(Denial::NotReady)?;
        let route = config.route(host, path).ok_or(Denial::NoRoute)?;
        let customer = match route.access {
            Access::Keyed if config.has_customers() => {
                let customer = key.and_then(|it| config.customer(it));
                Some(customer.ok_or(Denial::UnknownKey)?.clone())
            }
            _ => None,
        };
        let number = match &shape.session {
            Some(session) => hash::of(session.as_str()),
            None => hash::of(id),
        };
        let service = route
            .service(hash::unit(number))
            .ok_or(Denial::NoRoute)?
            .clone();
        let patience = patience.unwrap_or(route.timeout).min(route.timeout);
        let route = route.clone();
        let print = Print::of(path, customer.as_ref().map(|it| &it.name), body);
        if let Some(retry_after) = self.quarantine.holds(now, print) {
            return Err(Denial::Quarantined { print, retry_after });
        }
        let mut call = Call::new(route, customer, service, shape, print, now, now + patience);
        call.lane = self.lane(now, &call, number);
        self.budget(&call.service).request(now);
        Ok(call)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut Budget {
        let settings = &self.settings;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(settings))
    }
}
