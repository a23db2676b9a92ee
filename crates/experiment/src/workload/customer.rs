/// A customer of a workload.
#[derive(Clone, Debug)]
pub(crate) struct Customer {
    pub(crate) name: &'static str,
    /// The customer's relative share of the traffic, and its weight in fair sharing.
    pub(crate) weight: u32,
}

impl Customer {
    pub(crate) const fn new(name: &'static str, weight: u32) -> Self {
        Self { name, weight }
    }
}
