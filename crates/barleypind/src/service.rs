//! The services of the process. They are found by name in the [`kernel::Registry`] and
//! communicate by typed messages.

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
