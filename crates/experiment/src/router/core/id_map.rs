use decide::{endpoint, key, policy::Priority as CorePriority, refusal::Reason};
use kernel::{HostName, Incarnation, ServiceName, VersionId};

use crate::{
    ground_truth::VersionIdx,
    workload::{ClassIdx, Priority, World},
};

/// Maps the indices of the simulation to the names and keys of the core.
#[derive(Clone, Debug)]
pub(super) struct IdMap {
    pub(super) hosts: Vec<HostName>,
    pub(super) endpoints: Vec<EndpointSpec>,
    pub(super) data_centres: usize,
    profiles: Vec<Option<key::Profile>>,
    classes: Vec<key::Class>,
}

/// The constant properties of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointSpec {
    pub(super) name: HostName,
    pub(super) role: endpoint::Role,
    pub(super) data_centre: usize,
    pub(super) slots: usize,
}

impl IdMap {
    pub(super) fn new(world: &World) -> Self {
        let mut models = 0;
        let profiles = world.classes.iter().map(|it| {
            it.is_model().then(|| {
                models += 1;
                key::Profile::at(models - 1)
            })
        });
        Self {
            hosts: (0..world.hosts)
                .map(|it| HostName::from(format!("entry-{it}")))
                .collect(),
            endpoints: endpoints(world),
            data_centres: world.data_centres,
            profiles: profiles.collect(),
            classes: world
                .classes
                .iter()
                .map(|it| key::Class::named(it.name))
                .collect(),
        }
    }

    /// Returns the profile of a class; `None` for calls of the plain service.
    pub(super) fn profile(&self, class: ClassIdx) -> Option<key::Profile> {
        self.profiles[class.idx()]
    }

    pub(super) fn class(&self, class: ClassIdx) -> key::Class {
        self.classes[class.idx()]
    }

    /// Returns the endpoint with this ID, in any incarnation.
    pub(super) fn endpoint(&self, id: endpoint::Id) -> Option<usize> {
        self.endpoints
            .iter()
            .position(|it| endpoint::Id::new(&it.name, Incarnation::default()).host == id.host)
    }
}

/// Returns the version of a key. The policy lists the versions in the order of [`VersionIdx`].
pub(super) fn version(key: key::Version) -> VersionIdx {
    VersionIdx::ALL[key.index()]
}

pub(super) fn version_key(version: VersionIdx) -> key::Version {
    key::Version::at(version.idx())
}

pub(super) fn version_id(version: VersionIdx) -> VersionId {
    VersionId::from(version.name())
}

pub(super) fn priority(priority: CorePriority) -> Priority {
    match priority {
        CorePriority::Urgent => Priority::Urgent,
        CorePriority::Interactive => Priority::Interactive,
        CorePriority::Batch => Priority::Batch,
    }
}

/// Returns the name of a reason, as in responses to callers.
pub(super) fn reason(reason: Reason) -> &'static str {
    match reason {
        Reason::UnknownProfile => "unknown_profile",
        Reason::UnknownService => "unknown_service",
        Reason::NotAllowed => "not_allowed",
        Reason::RateLimited => "rate_limited",
        Reason::ConcurrencyLimited => "concurrency_limited",
        Reason::Overloaded => "overloaded",
        Reason::Deadline => "deadline",
        Reason::NoVersion => "no_version",
        Reason::NoEndpoint => "no_endpoint",
        Reason::CostCap => "cost_cap",
        Reason::UpstreamFailed => "upstream_failed",
        Reason::AnswerCut => "answer_cut",
        Reason::NotReady => "not_ready",
    }
}

fn endpoints(world: &World) -> Vec<EndpointSpec> {
    let pools = world.pools.iter();
    pools
        .flat_map(|it| (0..it.replicas).map(move |replica| (it, replica)))
        .enumerate()
        .map(|(idx, (it, replica))| EndpointSpec {
            name: HostName::from(format!("{}-{replica}", it.name)),
            role: role(world, &it.versions),
            data_centre: idx % world.data_centres,
            slots: it.slots,
        })
        .collect()
}

fn role(world: &World, versions: &[VersionIdx]) -> endpoint::Role {
    if versions.is_empty() {
        return endpoint::Role::Service(ServiceName::from(world.service));
    }
    endpoint::Role::Engine(versions.iter().copied().map(version_id).collect())
}
