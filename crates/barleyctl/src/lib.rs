//! The operators' command line. It reads and changes the configuration through
//! any entry host, by the protocol of docs/PROTOCOLS.md, and waits until a
//! change is in force on every host that isn't suspect.
//!
//! It is a library so that tests can run commands in-process. The commands are
//! documented in docs/reference/barleyctl.md.

mod cli;
mod client;
mod command;
mod console;
mod error;
mod exit;
mod output;
mod roster;
mod session;
mod wait;

use std::ffi::OsString;

use async_std::task::block_on;

pub use cli::command;
pub use console::Console;
pub use exit::Exit;

/// Runs the command line `args`, whose first item is the program's name.
pub fn run(args: impl IntoIterator<Item = OsString>, console: &mut Console<'_>) -> Exit {
    let matches = match cli::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(err) if err.use_stderr() => {
            console.print_err(&err.to_string());
            return Exit::Usage;
        }
        Err(help) => {
            console.print(&help.to_string());
            return Exit::Success;
        }
    };
    match block_on(command::run(&matches, console)) {
        Ok(()) => Exit::Success,
        Err(report) => {
            output::print_failure(console, output::Format::from_matches(&matches), &report);
            report.current_context().exit()
        }
    }
}
