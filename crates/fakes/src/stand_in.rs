//! The enumeration of all kinds of stand-ins.

use crate::call::Call;
use crate::engine::Engine;
use crate::host_list::HostList;
use crate::objects::Objects;
use crate::plain_service::PlainService;
use crate::rating::Rating;
use crate::response::Response;
use crate::table::Table;

/// A stand-in of any kind.
#[derive(derive_more::From)]
pub enum StandIn {
    /// The table service.
    Table(Table),
    /// The object store.
    Objects(Objects),
    /// The host list.
    HostList(HostList),
    /// A model engine.
    Engine(Engine),
    /// An endpoint of a plain service.
    PlainService(Box<PlainService>),
    /// The rating service.
    Rating(Rating),
}

impl StandIn {
    /// Handles one call.
    pub async fn handle(&self, call: &Call) -> Response {
        match self {
            Self::Table(it) => it.handle(call).await,
            Self::Objects(it) => it.handle(call).await,
            Self::HostList(it) => it.handle(call).await,
            Self::Engine(it) => it.handle(call).await,
            Self::PlainService(it) => it.handle(call).await,
            Self::Rating(it) => it.handle(call),
        }
    }
}
