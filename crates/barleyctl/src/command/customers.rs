//! Commands that only `customers` has.

use clap::ArgMatches;
use config::Customer;
use error_stack::Report;

use super::entries;
use crate::console::Console;
use crate::error::Error;

/// Prints the hash by which the configuration identifies a bearer key.
pub(super) fn hash(matches: &ArgMatches, console: &mut Console<'_>) -> Result<(), Report<Error>> {
    let (path, text) = entries::read_input(matches, console)?;
    let key = text.trim();
    if key.is_empty() {
        let fault = format!("{path} holds no key: expected one line of text");
        return Err(Error::Input(fault).into());
    }
    console.print(&format!("{}\n", Customer::hash(key.as_bytes())));
    Ok(())
}
