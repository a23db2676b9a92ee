//! Comparison of the responses to callers with the stand-ins' records.
//!
//! Executions and good responses are judged by what the endpoints recorded or marked, not by what
//! hosts report: a response counts if its text is the complete output of one attempt of the
//! caller's own call. Billing records are those that the hosts wrote to the table.

mod allowed_versions;
mod billing_record;
mod kind_row;
mod sessions;
mod site_records;
mod tally;

pub use allowed_versions::AllowedVersions;
pub use billing_record::BillingRecord;
pub use kind_row::{KindRow, rows_by_kind};
pub use sessions::Sessions;
pub use site_records::{SiteRecords, Withdrawal};
pub use tally::Tally;
