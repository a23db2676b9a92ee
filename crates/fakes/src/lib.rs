//! Stand-ins of the platform, of model engines and of plain services, for tests, demos and
//! measurements on one host.
//!
//! Each stand-in records the work it executed; tests and tools compare these records with the
//! responses that callers got. The protocols are those of `docs/PROTOCOLS.md`; settings and
//! faults are in `docs/operate/stand-ins.md`.

mod call;
mod control;
mod engine;
mod host_list;
mod lagged;
mod mark;
mod objects;
mod plain_service;
mod rating;
mod response;
mod rng;
mod running;
mod server;
mod settings;
mod slots;
mod stand_in;
mod table;

pub use call::Call;
pub use engine::{Engine, Execution, ExecutionState};
pub use host_list::{Host, HostList};
pub use mark::Mark;
pub use objects::Objects;
pub use plain_service::{PlainService, ServiceExecution};
pub use rating::Rating;
pub use response::Response;
pub use running::RunningStandIns;
pub use settings::{
    EngineSettings, GroundTruth, HostListSettings, PlainServiceSettings, RatingSettings, Settings,
    StoreSettings,
};
pub use stand_in::StandIn;
pub use table::Table;
