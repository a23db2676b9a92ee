/// A customer of a workload.
#[derive(Clone, Debug)]
pub(crate) struct Customer {
    pub(crate) name: &'static str,
    /// Its part of the traffic, relative to the others, and of a full pool.
    pub(crate) weight: u32,
}

impl Customer {
    pub(crate) const fn new(name: &'static str, weight: u32) -> Self {
        Self { name, weight }
    }
}
