//! The operators' command line.

use std::process::ExitCode;

use barleyctl::{Console, run};

fn main() -> ExitCode {
    let mut console = Console {
        input: &mut std::io::stdin(),
        out: &mut std::io::stdout(),
        err: &mut std::io::stderr(),
    };
    run(std::env::args_os(), &mut console).into()
}
