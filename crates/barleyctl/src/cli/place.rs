//! Definition of the command `place`.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

use super::{arg, value, verb};

/// Returns the definition of the command.
pub(super) fn command() -> Command {
    Command::new(verb::PLACE)
        .about("Explains where relaying hosts would send a request now, without sending it")
        .arg(
            Arg::new(arg::TARGET)
                .value_name("TARGET")
                .required(true)
                .value_parser(value::request_target)
                .help("The host name and path of the request, like `shop.example/chat/x`"),
        )
        .arg(
            Arg::new(arg::CUSTOMER_KEY_FILE)
                .long(arg::CUSTOMER_KEY_FILE)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The file that holds the customer's API key"),
        )
        .arg(text_arg(arg::SESSION, "ID", "The session of the request"))
        .arg(text_arg(
            arg::ID,
            "ID",
            "The id of the request, which selects its release if it has no session [default: random]",
        ))
        .arg(text_arg(
            arg::PARTS,
            "ID:TOKENS,…",
            "The parts of the prompt, as callers send them",
        ))
        .arg(number_arg(arg::TOKENS, "The tokens of the prompt"))
        .arg(number_arg(
            arg::OUTPUT_TOKENS,
            "The maximum number of tokens to generate",
        ))
        .arg(number_arg(
            arg::DEADLINE,
            "The caller's timeout in milliseconds",
        ))
}

fn text_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn number_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(help)
}
