//! The two simulated workloads: customers, request classes, versions and replica pools.

mod association;
mod class;
mod customer;
mod kivuli;
mod pool;
mod world;

use derive_more::Display;
use serde::Serialize;

pub(crate) use class::{Call, Class, ClassIdx, Priority, Range};
pub(crate) use customer::Customer;
pub(crate) use pool::Pool;
pub(crate) use world::World;

use crate::Error;

/// A simulated workload.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Workload {
    /// Film restoration: era tags, catalogue entries, long dossiers and calls of the plain service
    /// `bench`.
    #[display("kivuli")]
    Kivuli,
    /// Salt mine tours: itineraries, visitors' chats, summaries, gate scans and seat holds.
    #[display("association")]
    Association,
}

impl Workload {
    /// All workloads, in the order in which they are run.
    pub const ALL: [Self; 2] = [Self::Kivuli, Self::Association];

    /// Returns the workload with this name.
    ///
    /// # Errors
    ///
    /// Returns an error if no workload has the name.
    pub fn named(name: &str) -> Result<Self, Error> {
        Self::ALL
            .into_iter()
            .find(|it| it.to_string() == name)
            .ok_or_else(|| Error::UnknownWorkload(name.to_owned()))
    }

    pub(crate) fn world(self) -> World {
        match self {
            Self::Kivuli => kivuli::world(),
            Self::Association => association::world(),
        }
    }
}
