//! The router: a host's state and its routing decisions.

mod admission;
mod attempts;
mod denial;
mod exclusion;
mod exits;
mod explain;
mod explanation;
mod in_flight;
mod incoming;
mod latency;
mod leniency;
mod memory;
mod permits;
mod place;
mod placement;
mod prefill_terms;
mod reach;
mod relays;
mod reports;
mod rollouts;
mod score;
mod speeds;
mod urgency;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::{EndpointId, ModelName, ServiceName, hash};
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::admission::Admission;
use crate::call::{Call, Ending, part_fingerprints};
use crate::config::{Config, RouteAccess};
use crate::directory::{Absence, Change};
use crate::endpoint::{Entry, Key};
use crate::prefill::PrefillEstimator;
use crate::reach::{Monitor, State};
use crate::rollout;
use crate::sessions::Sessions;
use crate::{
    Directory, Fingerprint, HostCount, LoadPolicy, ModelChoice, Quarantine, Relay, RetryBudget,
    Rollout, Settings,
};

pub use denial::Denial;
pub use exclusion::Exclusion;
pub use explanation::{Assignment, Candidate, Excluded, Explanation, Prospect};
pub use in_flight::InFlight;
pub use incoming::IncomingRequest;
pub use leniency::Leniency;
pub use placement::Placement;
pub use rollouts::RolloutChanges;
pub use score::Score;

/// Added to the session gap: callers measure the gap from the end of a response, which may be
/// later than the last activity recorded here.
const SESSION_GAP_MARGIN: Duration = Duration::from_secs(1);

/// The utilization from which an endpoint counts as crowded. Responses of crowded
/// endpoints are also counted separately, to detect a release that fails only under load.
const CROWDED_UTILIZATION: f64 = 0.6;

/// A host's state and its routing decisions.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    config: Option<Arc<Config>>,
    directory: Directory,
    budgets: HashMap<ServiceName, RetryBudget>,
    rollouts: HashMap<ServiceName, Rollout>,
    /// The store's records of roll-outs when this host started, and when they were read.
    rollout_records: HashMap<ServiceName, (Duration, rollout::Record)>,
    sessions: Sessions,
    quarantine: Quarantine,
    admission: Admission,
    /// Endpoints whose connections broke since the last [`Self::take_probe_candidates`]. The caller
    /// probes whether their processes have exited.
    probe_candidates: Vec<Key>,
    prefill_estimators: HashMap<(ServiceName, ModelName), PrefillEstimator>,
    /// Moving average of the time to the first byte, by route, for routes that choose no model.
    first_byte_times: HashMap<Arc<str>, Duration>,
    /// The time at which the current listing was last read or confirmed.
    listing_time: Option<Duration>,
    /// Endpoints that were ejected since the last [`Self::take_ejected`], except unreachable ones.
    ejected: Vec<(EndpointId, Ending)>,
    reach: Monitor,
    /// Some of the other hosts that reach endpoints.
    relays: Vec<Relay>,
    /// `None` until this host knows the others.
    host_count: Option<HostCount>,
    rng: Pcg32,
}

impl Router {
    /// Creates a router without a configuration or endpoints.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            config: None,
            directory: Directory::default(),
            budgets: HashMap::new(),
            rollouts: HashMap::new(),
            rollout_records: HashMap::new(),
            sessions: Sessions::default(),
            quarantine: Quarantine::default(),
            admission: Admission::default(),
            probe_candidates: Vec::new(),
            prefill_estimators: HashMap::new(),
            first_byte_times: HashMap::new(),
            listing_time: None,
            ejected: Vec::new(),
            reach: Monitor::default(),
            relays: Vec::new(),
            host_count: None,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Applies a configuration and returns whether it is newer than the current one.
    ///
    /// Older versions are ignored: one that arrives late could remove routes or keys that
    /// callers already use.
    pub fn configure(&mut self, config: Arc<Config>) -> bool {
        if self.version().is_some_and(|it| it >= config.version) {
            return false;
        }
        let warm_ups = config
            .services()
            .filter_map(|it| Some((it.name.clone(), it.warm_up?)));
        self.directory.set_warm_ups(warm_ups.collect());
        self.admission
            .retain_services(|it| config.service(it).is_some());
        self.config = Some(config);
        true
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the version of the current configuration.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|it| it.version)
    }

    /// Returns the deployment's settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the settings; retry budgets keep their counts.
    pub fn set_settings(&mut self, settings: Settings) {
        for budget in self.budgets.values_mut() {
            budget.apply_settings(&settings);
        }
        self.settings = settings;
    }

    /// Applies a complete listing of endpoints that was read at `read_at`, and returns what
    /// changed.
    pub fn update_listing(
        &mut self,
        read_at: Duration,
        entries: Vec<Entry>,
        absence: Absence,
    ) -> Change {
        self.listing_time = Some(read_at);
        self.directory.apply_listing(read_at, entries, absence)
    }

    /// Applies the changes of the listing of endpoints that was read at `read_at`, and returns
    /// what changed here.
    pub fn update_endpoints(
        &mut self,
        read_at: Duration,
        changed: &[Entry],
        gone: &[EndpointId],
        absence: Absence,
    ) -> Change {
        self.listing_time = Some(read_at);
        self.directory
            .apply_changes(read_at, changed, gone, absence)
    }

    /// Records that the store was restored from an older copy.
    pub fn store_restored(&mut self, now: Duration) {
        self.directory.store_restored(now, self.settings.heartbeat);
        self.quarantine.store_restored();
    }

    /// Records that the current listing still matched the store at the time `at`.
    pub fn confirm_listing(&mut self, at: Duration) {
        self.listing_time = self.listing_time.max(Some(at));
    }

    /// Returns when the current listing was last read or confirmed.
    #[must_use]
    pub fn listing_time(&self) -> Option<Duration> {
        self.listing_time
    }

    /// Returns the endpoints that were ejected for failed responses, broken connections or
    /// timeouts since the last call, each with the ending that caused it. Ejections of
    /// unreachable endpoints aren't included.
    pub fn take_ejected(&mut self) -> Vec<(EndpointId, Ending)> {
        std::mem::take(&mut self.ejected)
    }

    /// Returns how many retries this host's budgets still allow, by service; see
    /// [`RetryBudget::remaining`].
    #[must_use]
    pub fn budgets(&self, now: Duration) -> Vec<(ServiceName, f64)> {
        let retries_left = |(name, it): (&ServiceName, &RetryBudget)| {
            (name.clone(), it.remaining(now, self.budget_hosts()))
        };
        self.budgets.iter().map(retries_left).collect()
    }

    /// Returns how load is handled at a service: as the settings ask for, and as contended if its
    /// endpoints report the pace of their machines.
    #[must_use]
    pub fn load_policy(&self, service: &ServiceName) -> LoadPolicy {
        if self.directory.is_uneven(service) {
            LoadPolicy::Contended
        } else {
            self.settings.load_policy
        }
    }

    /// Returns the known endpoints.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Sets the number of hosts. They share the slack of retry budgets; the live ones share
    /// connection limits and the filling of endpoints. Roll-outs that start later also depend on
    /// the live ones.
    pub fn set_host_count(&mut self, host_count: HostCount) {
        self.host_count = Some(host_count);
    }

    /// Returns the number of live hosts that are known, including this one.
    fn live_hosts(&self) -> u32 {
        self.host_count.map_or(1, |it| it.live.max(1))
    }

    /// Returns the number of hosts that share the slack of retry budgets; `None` until this host
    /// knows them.
    fn budget_hosts(&self) -> Option<u32> {
        self.host_count.map(HostCount::sharing)
    }

    /// Admits a request: selects its route, customer, service and release.
    ///
    /// # Errors
    /// Returns the reason if the request is denied.
    pub fn admit(&mut self, now: Duration, incoming: IncomingRequest<'_>) -> Result<Call, Denial> {
        let relayed = incoming.relayed;
        let mut call = self.resolve(now, incoming)?;
        match relayed {
            // The host that received it from the caller has counted it.
            Some(relayed) => call.continue_relayed(relayed),
            None => self.budget(&call.service).record_request(now),
        }
        Ok(call)
    }

    /// Selects the route, customer, service and release of a request, or the reason to deny it.
    fn resolve(&self, now: Duration, incoming: IncomingRequest<'_>) -> Result<Call, Denial> {
        let IncomingRequest {
            host,
            path,
            body,
            key,
            timeout,
            profile,
            model_choice,
            id,
            relayed,
        } = incoming;
        let config = self.config.as_ref().ok_or(Denial::NotReady)?;
        if let Some(relayed) = relayed {
            if self.reach() == State::CutOff {
                return Err(Denial::Unreachable);
            }
            if config.version < relayed.version {
                return Err(Denial::NotReady);
            }
        }
        let route = config.route(host, path).ok_or(Denial::NoRoute)?;
        let customer = match route.access {
            RouteAccess::Keyed => {
                let customer = key.and_then(|it| config.customer(it));
                Some(customer.ok_or(Denial::UnknownKey)?.clone())
            }
            RouteAccess::Public => None,
        };
        // A request must not run on a model that its caller didn't ask for.
        if !route.models.is_empty() && model_choice == ModelChoice::Caller {
            return Err(Denial::NamedModel);
        }
        let number = match &profile.session {
            Some(session) => hash::of(session.as_str()),
            None => hash::of(id),
        };
        let service = route
            .service(hash::unit(number))
            .ok_or(Denial::NoRoute)?
            .clone();
        let timeout = timeout.unwrap_or(route.timeout).min(route.timeout);
        let route = route.clone();
        let fingerprint = Fingerprint::of(path, customer.as_ref().map(|it| &it.name), body);
        let parts = part_fingerprints(&profile.parts);
        let all = [fingerprint].into_iter().chain(parts.iter().copied());
        if let Some((fingerprint, retry_after)) = self.quarantine.find(now, all) {
            return Err(Denial::Quarantined {
                fingerprint,
                retry_after,
            });
        }
        let mut call = Call::new(
            route,
            customer,
            service,
            profile,
            fingerprint,
            now,
            now + timeout,
        );
        call.parts = parts;
        call.assignment = self.assign_release(now, &call, number);
        Ok(call)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let settings = &self.settings;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(settings))
    }
}
