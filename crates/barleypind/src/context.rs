//! The services that calls and operators' requests use.

use std::sync::{Arc, Mutex};

use clients::{HostList, Ratings, Table};

use crate::backlog::Backlog;
use crate::gauges::Strangers;
use crate::host::Host;
use crate::service::decide::Decide;
use crate::service::endpoints::Endpoints;
use crate::service::ledger::Books;
use crate::verdicts::Verdicts;

/// Handles of this process's services and of the platform's.
pub(crate) struct Context {
    pub(crate) host: Arc<Host>,
    pub(crate) decide: Arc<Decide>,
    pub(crate) books: Arc<Books>,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) engine: engine::Client,
    pub(crate) link: link::Link,
    pub(crate) strangers: Strangers,
    pub(crate) verdicts: Verdicts,
    pub(crate) backlog: Mutex<Backlog>,
    pub(crate) table: Table,
    pub(crate) ratings: Ratings,
    pub(crate) list: HostList,
}
