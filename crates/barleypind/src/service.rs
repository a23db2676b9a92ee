//! The services of the process. Each is found by its name in the
//! [`kernel::Registry`]; what one tells another is a typed message.

pub(crate) mod configure;
pub(crate) mod decide;
pub(crate) mod drain;
pub(crate) mod endpoints;
pub(crate) mod fleet;
pub(crate) mod ledger;
pub(crate) mod notices;
pub(crate) mod rate;
pub(crate) mod rollout;
pub(crate) mod table;
pub(crate) mod watch;
