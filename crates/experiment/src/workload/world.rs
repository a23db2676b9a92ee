use super::{Class, ClassIdx, Customer, Pool};
use crate::truth::{VersionIdx, VersionTruth};

/// A workload's customers, classes, versions and pools.
#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) customers: Vec<Customer>,
    pub(crate) classes: Vec<Class>,
    /// By [`VersionIdx`].
    pub(crate) versions: Vec<VersionTruth>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) service: &'static str,
    pub(crate) hosts: usize,
    pub(crate) data_centres: usize,
}

impl World {
    /// The versions that profiles list before any roll-out.
    pub(crate) const ACTIVE: [VersionIdx; 3] =
        [VersionIdx::SMALL, VersionIdx::MEDIUM, VersionIdx::LARGE];

    pub(crate) fn version(&self, version: VersionIdx) -> &VersionTruth {
        &self.versions[version.idx()]
    }

    pub(crate) fn class(&self, class: ClassIdx) -> &Class {
        &self.classes[class.idx()]
    }

    /// Each class with its index.
    pub(crate) fn classes(&self) -> impl Iterator<Item = (ClassIdx, &Class)> {
        (0u8..).map(ClassIdx).zip(&self.classes)
    }

    /// A customer's part of the whole traffic.
    pub(crate) fn share(&self, customer: usize) -> f64 {
        let whole = self.customers.iter().map(|it| it.weight).sum::<u32>();
        f64::from(self.customers[customer].weight) / f64::from(whole)
    }
}
