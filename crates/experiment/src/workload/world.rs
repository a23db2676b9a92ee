use super::{Class, ClassIdx, Customer, Pool};
use crate::ground_truth::{VersionIdx, VersionSpec};

/// The customers, classes, versions, pools and hosts of a workload.
#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) customers: Vec<Customer>,
    pub(crate) classes: Vec<Class>,
    /// Indexed by [`VersionIdx`].
    pub(crate) versions: Vec<VersionSpec>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) service: &'static str,
    pub(crate) hosts: usize,
    pub(crate) data_centres: usize,
}

impl World {
    /// The versions that are active before any roll-out, from the cheapest to the strongest.
    pub(crate) const ACTIVE: [VersionIdx; 3] =
        [VersionIdx::SMALL, VersionIdx::MEDIUM, VersionIdx::LARGE];

    pub(crate) fn version(&self, version: VersionIdx) -> &VersionSpec {
        &self.versions[version.idx()]
    }

    pub(crate) fn class(&self, class: ClassIdx) -> &Class {
        &self.classes[class.idx()]
    }

    /// Returns each class with its index.
    pub(crate) fn classes(&self) -> impl Iterator<Item = (ClassIdx, &Class)> {
        (0u8..).map(ClassIdx).zip(&self.classes)
    }

    /// Returns the customer's share of the total traffic, `0.0..=1.0`.
    pub(crate) fn share(&self, customer: usize) -> f64 {
        let whole = self.customers.iter().map(|it| it.weight).sum::<u32>();
        f64::from(self.customers[customer].weight) / f64::from(whole)
    }
}
