//! Definition of the command line.

mod place;
mod value;

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use config::{EntryKind, Rollout};

/// Names of arguments.
pub(crate) mod arg {
    pub(crate) const AUTHOR: &str = "author";
    pub(crate) const CHANGE: &str = "change";
    pub(crate) const COMPLETION_PRICE: &str = "completion-price";
    pub(crate) const CUSTOMER_KEY_FILE: &str = "customer-key-file";
    pub(crate) const DEADLINE: &str = "deadline-ms";
    pub(crate) const DIRECTORY: &str = "directory";
    pub(crate) const FILE: &str = "file";
    pub(crate) const FLEET: &str = "fleet";
    pub(crate) const FORCE: &str = "force";
    pub(crate) const HOST: &str = "host";
    pub(crate) const ID: &str = "id";
    pub(crate) const KEY_FILE: &str = "key-file";
    pub(crate) const LIMIT: &str = "limit";
    pub(crate) const NAME: &str = "name";
    pub(crate) const OUTPUT: &str = "output";
    pub(crate) const OUTPUT_TOKENS: &str = "output-tokens";
    pub(crate) const PARTS: &str = "parts";
    pub(crate) const PROMPT_PRICE: &str = "prompt-price";
    pub(crate) const REPLACES: &str = "replaces";
    pub(crate) const REVISION: &str = "revision";
    pub(crate) const SESSION: &str = "session";
    pub(crate) const SHELL: &str = "shell";
    pub(crate) const STEPS: &str = "steps";
    pub(crate) const TARGET: &str = "target";
    pub(crate) const TIMEOUT: &str = "timeout";
    pub(crate) const TOKENS: &str = "tokens";
}

/// Names of commands, except those that are named after a kind of entry.
pub(crate) mod verb {
    pub(crate) const ABORT: &str = "abort";
    pub(crate) const APPLY: &str = "apply";
    pub(crate) const COMPLETIONS: &str = "completions";
    pub(crate) const DIFF: &str = "diff";
    pub(crate) const DRAIN: &str = "drain";
    pub(crate) const EDIT: &str = "edit";
    pub(crate) const EXPLAIN: &str = "explain";
    pub(crate) const HASH: &str = "hash";
    pub(crate) const HISTORY: &str = "history";
    pub(crate) const HOST: &str = "host";
    pub(crate) const HOSTS: &str = "hosts";
    pub(crate) const INIT: &str = "init";
    pub(crate) const KEYS: &str = "keys";
    pub(crate) const LIST: &str = "list";
    pub(crate) const PAUSE: &str = "pause";
    pub(crate) const PLACE: &str = "place";
    pub(crate) const PUT: &str = "put";
    pub(crate) const REMOVE: &str = "remove";
    pub(crate) const RESUME: &str = "resume";
    pub(crate) const ROLLOUT: &str = "rollout";
    pub(crate) const SHOW: &str = "show";
    pub(crate) const START: &str = "start";
    pub(crate) const STATUS: &str = "status";
    pub(crate) const WITHDRAW: &str = "withdraw";
}

/// Default timeout, in seconds, of the wait for a change to be in force; also the
/// upper bound of each request's timeout.
const DEFAULT_TIMEOUT: &str = "30";

/// Default number of commits that `history` lists.
const DEFAULT_LIMIT: &str = "20";

/// Returns the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("barleyctl")
        .version(clap::crate_version!())
        .about("Edits profiles, rolls versions in and out and looks after the hosts of barleypin")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(entry_command(
            EntryKind::Profile,
            "Profiles, which callers name in requests",
        ))
        .subcommand(versions())
        .subcommand(customers())
        .subcommand(entry_command(EntryKind::Service, "Plain services"))
        .subcommand(explain())
        .subcommand(place::command())
        .subcommand(hosts())
        .subcommand(
            Command::new(verb::STATUS)
                .about("Shows the hosts, versions, roll-outs and billing backlog"),
        )
        .subcommand(keys())
        .subcommand(
            Command::new(verb::COMPLETIONS)
                .about("Prints the completions for a shell")
                .arg(
                    Arg::new(arg::SHELL)
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn global_args() -> [Arg; 4] {
    [
        Arg::new(arg::HOST)
            .long(arg::HOST)
            .global(true)
            .action(ArgAction::Append)
            .value_name("ADDRESS")
            .value_parser(value_parser!(SocketAddr))
            .help("The operators' address of a host; repeat it for each host"),
        Arg::new(arg::KEY_FILE)
            .long(arg::KEY_FILE)
            .global(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("The file that holds the operators' key"),
        Arg::new(arg::OUTPUT)
            .long(arg::OUTPUT)
            .global(true)
            .value_name("FORMAT")
            .default_value("table")
            .value_parser(PossibleValuesParser::new(["table", "json"]))
            .help("The output format"),
        Arg::new(arg::TIMEOUT)
            .long(arg::TIMEOUT)
            .global(true)
            .value_name("SECONDS")
            .default_value(DEFAULT_TIMEOUT)
            .value_parser(value::seconds)
            .help("How long to wait until a change is in force everywhere"),
    ]
}

fn entry_command(kind: EntryKind, about: &'static str) -> Command {
    Command::new(kind.plural())
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new(verb::LIST).about("Lists them"))
        .subcommand(
            Command::new(verb::SHOW)
                .about("Prints one as a file that `apply` takes")
                .arg(name_arg()),
        )
        .subcommand(with_change_args(
            Command::new(verb::APPLY)
                .about(
                    "Puts the content of a file, by default at the base revision in its first line",
                )
                .arg(name_arg())
                .arg(file_arg())
                .arg(revision_arg()),
        ))
        .subcommand(with_change_args(
            Command::new(verb::EDIT)
                .about("Puts the content of a file at the given base revision")
                .arg(name_arg())
                .arg(file_arg())
                .arg(revision_arg().required(true)),
        ))
        .subcommand(
            Command::new(verb::DIFF)
                .about("Shows what a file would change")
                .arg(name_arg())
                .arg(file_arg()),
        )
        .subcommand(with_change_args(
            Command::new(verb::REMOVE)
                .about("Removes one")
                .arg(name_arg())
                .arg(revision_arg()),
        ))
        .subcommand(
            Command::new(verb::HISTORY)
                .about("Lists the changes, newest first")
                .arg(name_arg().required(false))
                .arg(limit_arg()),
        )
}

fn versions() -> Command {
    entry_command(EntryKind::Version, "Versions of models")
        .subcommand(with_change_args(
            Command::new(verb::PUT)
                .about("Puts an active version with its prices")
                .arg(name_arg())
                .arg(price_arg(
                    arg::PROMPT_PRICE,
                    "The price of a million prompt tokens, in microcents",
                ))
                .arg(price_arg(
                    arg::COMPLETION_PRICE,
                    "The price of a million completion tokens, in microcents",
                )),
        ))
        .subcommand(with_change_args(
            Command::new(verb::WITHDRAW)
                .about("Withdraws a version: it gets no new work")
                .arg(name_arg())
                .arg(
                    Arg::new(arg::FORCE)
                        .long(arg::FORCE)
                        .action(ArgAction::SetTrue)
                        .help("Withdraws it even if a profile or customer has no other version"),
                ),
        ))
        .subcommand(rollout())
}

fn rollout() -> Command {
    let steps: Vec<_> = Rollout::DEFAULT_STEPS.iter().map(f64::to_string).collect();
    Command::new(verb::ROLLOUT)
        .about("Rolls a version out in steps")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_change_args(
            Command::new(verb::START)
                .about("Starts the roll-out of a version")
                .arg(name_arg())
                .arg(
                    Arg::new(arg::REPLACES)
                        .long(arg::REPLACES)
                        .required(true)
                        .value_name("VERSION")
                        .help("The version whose work is taken over"),
                )
                .arg(
                    Arg::new(arg::STEPS)
                        .long(arg::STEPS)
                        .value_name("SHARES")
                        .value_delimiter(',')
                        .value_parser(value_parser!(f64))
                        .default_value(steps.join(","))
                        .help("The share of that work that each step gives to the new version"),
                ),
        ))
        .subcommand(with_change_args(
            Command::new(verb::PAUSE)
                .about("Stays at the step in force")
                .arg(name_arg()),
        ))
        .subcommand(with_change_args(
            Command::new(verb::RESUME)
                .about("Goes on after a pause")
                .arg(name_arg()),
        ))
        .subcommand(with_change_args(
            Command::new(verb::ABORT)
                .about("Gives the work back to the replaced version")
                .arg(name_arg()),
        ))
        .subcommand(Command::new(verb::STATUS).about("Shows the roll-outs"))
}

fn customers() -> Command {
    entry_command(EntryKind::Customer, "Customers").subcommand(
        Command::new(verb::HASH)
            .about("Prints the hash of the bearer key in a file")
            .arg(file_arg()),
    )
}

fn hosts() -> Command {
    Command::new(verb::HOSTS)
        .about("Entry hosts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new(verb::LIST).about("Lists them"))
        .subcommand(
            Command::new(verb::DRAIN)
                .about("Asks a host to finish its work and end")
                .arg(name_arg()),
        )
}

fn explain() -> Command {
    Command::new(verb::EXPLAIN)
        .about("Explains the outcome of a request from log lines of the hosts")
        .arg(
            Arg::new(arg::NAME)
                .value_name("REQUEST-ID")
                .help("The request id, as in the log lines")
                .required(true),
        )
        .arg(
            Arg::new(arg::FILE)
                .value_name("FILE")
                .help("Logs of one or several hosts; standard input without any")
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append)
                .num_args(0..),
        )
}

fn keys() -> Command {
    let directory = Arg::new(arg::DIRECTORY)
        .long(arg::DIRECTORY)
        .value_name("DIRECTORY")
        .default_value(".")
        .value_parser(value_parser!(PathBuf))
        .help("Where the key files are");
    Command::new(verb::KEYS)
        .about("Makes the keys of the fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new(verb::INIT)
                .about("Makes the fleet's authority, the operators' key and the session key")
                .arg(directory.clone())
                .arg(
                    Arg::new(arg::FLEET)
                        .long(arg::FLEET)
                        .value_name("NAME")
                        .default_value("barleypin")
                        .help("The fleet's name, for the CA certificate"),
                ),
        )
        .subcommand(
            Command::new(verb::HOST)
                .about("Makes the key and the certificate of a host")
                .arg(name_arg())
                .arg(directory),
        )
}

/// Adds the arguments of commands that change an entry.
fn with_change_args(command: Command) -> Command {
    command
        .arg(
            Arg::new(arg::CHANGE)
                .long(arg::CHANGE)
                .value_name("ID")
                .value_parser(value::change_id)
                .help("Repeats the change with this id if its outcome is unknown"),
        )
        .arg(
            Arg::new(arg::AUTHOR)
                .long(arg::AUTHOR)
                .value_name("NAME")
                .help("Who makes the change, for the history [default: the user]"),
        )
}

fn name_arg() -> Arg {
    Arg::new(arg::NAME).required(true).value_name("NAME")
}

fn file_arg() -> Arg {
    Arg::new(arg::FILE)
        .value_name("FILE")
        .default_value("-")
        .value_parser(value_parser!(PathBuf))
        .help("The file, or `-` for standard input")
}

fn revision_arg() -> Arg {
    Arg::new(arg::REVISION)
        .long(arg::REVISION)
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
        .help("The revision that the entry was read at, 0 for a new one")
}

fn limit_arg() -> Arg {
    Arg::new(arg::LIMIT)
        .long(arg::LIMIT)
        .value_name("COUNT")
        .default_value(DEFAULT_LIMIT)
        .value_parser(value_parser!(u32).range(1..=500))
        .help("How many are listed")
}

fn price_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .required(true)
        .value_name("MICROCENTS")
        .value_parser(value_parser!(u64))
        .help(help)
}
