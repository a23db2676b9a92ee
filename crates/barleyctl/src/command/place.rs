//! The command `place`: where relaying hosts would send a request now.

mod difference;
mod view;

use std::path::PathBuf;

use clap::ArgMatches;
use error_stack::Report;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::json;

use crate::cli::arg;
use crate::client::{Answer, Explained};
use crate::error::{Error, FailedAttempt};
use crate::output;
use crate::session::{self, Session};

use difference::Difference;

/// Asks the hosts where they would send a request, and prints their answers and where these differ.
pub(super) async fn run(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<(), Report<Error>> {
    let key_file = matches.get_one::<PathBuf>(arg::CUSTOMER_KEY_FILE);
    let customer_key = key_file.map(|it| session::read_key(it)).transpose()?;
    let id = matches.get_one::<String>(arg::ID).cloned();
    let id = id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let target = target(matches, &id);
    let explained = session
        .client
        .explanations(&target, customer_key.as_deref())
        .await?;
    let answers: Vec<&Answer> = explained.iter().filter_map(Explained::answer).collect();
    let failed = explained.iter().filter_map(Explained::failed).flatten();
    let failed: Vec<&FailedAttempt> = failed.collect();
    let differences = Difference::between(&answers);
    let unreachable: Vec<_> = failed
        .iter()
        .map(|it| json!({"address": it.host, "reason": it.reason}))
        .collect();
    let json = json!({
        "request": id,
        "answers": answers,
        "unreachable": unreachable,
        "differences": differences,
    });
    let text = match answers.as_slice() {
        [answer] => view::details(answer),
        answers => view::comparison(answers, &differences),
    };
    output::print_text(session, &format!("request {id}\n{text}"), &json);
    for it in failed {
        session.console.print_err(&format!("no answer from {it}\n"));
    }
    Ok(())
}

/// Returns the target of the request to the hosts.
fn target(matches: &ArgMatches, id: &str) -> String {
    let (host, path): &(String, String) = matches
        .get_one(arg::TARGET)
        .expect("the target is a required argument");
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let number = |name: &str| matches.get_one::<u64>(name).map(u64::to_string);
    let parameters = [
        ("host", Some(host.clone())),
        ("path", Some(path.clone())),
        ("id", Some(id.to_owned())),
        ("session", text(arg::SESSION)),
        ("parts", text(arg::PARTS)),
        ("tokens", number(arg::TOKENS)),
        ("output_tokens", number(arg::OUTPUT_TOKENS)),
        ("timeout_ms", number(arg::DEADLINE)),
    ];
    let encoded = parameters.into_iter().filter_map(|(name, value)| {
        let value = value?;
        Some(format!(
            "{name}={}",
            utf8_percent_encode(&value, NON_ALPHANUMERIC)
        ))
    });
    format!("/explain?{}", encoded.collect::<Vec<_>>().join("&"))
}
