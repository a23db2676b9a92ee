//! The services of the process. Each is found by its name in the
//! [`kernel::Registry`]; what one tells another is a typed message.

pub(crate) mod decide;
pub(crate) mod ledger;
