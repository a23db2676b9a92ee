//! The users' two workloads: who asks what, how often, and what answers it.

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

/// One of the users' two workloads.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Workload {
    /// Film restorers: era tags, catalogue entries, long dossiers, the bench portal.
    #[display("kivuli")]
    Kivuli,
    /// Salt mine tours: itineraries, visitors' chats, summaries, gates and seats.
    #[display("association")]
    Association,
}

impl Workload {
    /// Both workloads.
    pub const ALL: [Self; 2] = [Self::Kivuli, Self::Association];

    /// The workload of this name.
    ///
    /// # Errors
    /// No workload has the name.
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
