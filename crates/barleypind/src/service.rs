//! The services of the process. Some are found in the [`kernel::Registry`] and get typed messages;
//! the decider and the ledger are called through handles.

pub(crate) mod configure;
pub(crate) mod decide;
pub(crate) mod decider_effects;
pub(crate) mod drain;
pub(crate) mod endpoints;
pub(crate) mod fleet;
pub(crate) mod ledger;
pub(crate) mod rate;
pub(crate) mod rollout;
pub(crate) mod table;
pub(crate) mod watch;
