//! The services that calls and operators' requests use.

use std::sync::{Arc, Mutex};

use clients::{HostList, Ratings, Table};

use crate::backlog::Backlog;
use crate::gauges::LinkRejections;
use crate::host::Host;
use crate::service::decide::DeciderHandle;
use crate::service::endpoints::Endpoints;
use crate::service::ledger::LedgerHandle;
use crate::verdicts::Verdicts;

/// Handles of this process's services and of the platform's.
pub(crate) struct Context {
    pub(crate) host: Arc<Host>,
    pub(crate) decider: Arc<DeciderHandle>,
    pub(crate) ledger_handle: Arc<LedgerHandle>,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) engine: engine::Client,
    pub(crate) link: link::Link,
    pub(crate) link_rejections: LinkRejections,
    pub(crate) verdicts: Verdicts,
    pub(crate) backlog: Mutex<Backlog>,
    pub(crate) table: Table,
    pub(crate) ratings: Ratings,
    pub(crate) host_list: HostList,
}
