//! Tests of the ledger on a virtual clock.

mod lease;
mod pairs;
mod scripts;
mod sim;
