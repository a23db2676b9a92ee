//! The command `completions`.

use clap::ArgMatches;
use clap_complete::Shell;

use crate::cli::{self, arg};
use crate::console::Console;

/// Prints the completion script for a shell.
pub(super) fn run(matches: &ArgMatches, console: &mut Console<'_>) {
    let shell = *matches
        .get_one::<Shell>(arg::SHELL)
        .expect("the shell is a required argument");
    let mut command = cli::command();
    let name = command.get_name().to_owned();
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut command, name, &mut text);
    console.print(&String::from_utf8_lossy(&text));
}
