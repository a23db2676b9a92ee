//! The enumeration of all kinds of stand-ins.

use crate::answer::Answer;
use crate::call::Call;
use crate::engine::Engine;
use crate::hosts::Hosts;
use crate::objects::Objects;
use crate::plain::Plain;
use crate::rating::Rating;
use crate::table::Table;

/// A stand-in of any kind.
#[derive(derive_more::From)]
pub enum StandIn {
    /// The table service.
    Table(Table),
    /// The object store.
    Objects(Objects),
    /// The host list.
    Hosts(Hosts),
    /// A model engine.
    Engine(Engine),
    /// An endpoint of a plain service.
    Plain(Box<Plain>),
    /// The rating service.
    Rating(Rating),
}

impl StandIn {
    /// Handles one call.
    pub async fn answer(&self, call: &Call) -> Answer {
        match self {
            Self::Table(it) => it.answer(call).await,
            Self::Objects(it) => it.answer(call).await,
            Self::Hosts(it) => it.answer(call).await,
            Self::Engine(it) => it.answer(call).await,
            Self::Plain(it) => it.answer(call).await,
            Self::Rating(it) => it.answer(call),
        }
    }
}
