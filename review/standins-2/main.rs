//! Stand-ins of the platform's store, of replicas and of clients, and the cases that use them.
//!
//! `standins CASE FOLDER` runs a case from the repository's root. It exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case couldn't run.

mod client;
mod host;
mod lost;
mod model;
mod record;
mod replica;
mod sessions;
mod store;
mod wire;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::{env, fs};

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    /// The case couldn't run, for this reason.
    NotRun(String),
}

/// What a case needs to run.
pub struct Context {
    pub record: Record,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    };
    let temporary = env::temp_dir().join(format!("barleypin-review-{}", std::process::id()));
    if let Err(err) = fs::create_dir_all(&temporary) {
        eprintln!("{}: {err}", temporary.display());
        exit(2);
    }
    let context = Context {
        record: Record::create(Path::new(folder)),
        folder: temporary.clone(),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case.as_str() {
        "lost" => lost::run(&context),
        "model" => model::run(&context),
        "withdrawn" => sessions::run_withdrawn(&context),
        "restarts" => sessions::run_restarts(&context),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    };
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    match verdict {
        Verdict::Held => {
            context.record.result("the rule held");
            exit(0);
        }
        Verdict::Broken => {
            context.record.result("the rule was broken");
            exit(1);
        }
        Verdict::NotRun(why) => {
            context.record.result(&format!("the case couldn't run: {why}"));
            exit(2);
        }
    }
}
