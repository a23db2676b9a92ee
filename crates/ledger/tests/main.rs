//! Tests of the ledger on a virtual clock.

mod pairs;
mod scripts;
mod sim;
