//! A caller that retries at other hosts, with the same idempotency key and ticket. An attempt is
//! here a try of the caller at a host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use async_std::task;

use super::steps::{CallSpec, HOSTS, Ticket};
use crate::call::Call;
use crate::client::Client;
use crate::command::{Arguments, parse_line};
use crate::defaults::{CUSTOMER, KEY_PREFIX};

/// Maximum number of attempts of a call.
const MAX_ATTEMPTS: usize = 12;
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The current addresses of the hosts.
#[derive(Clone, Default)]
pub(super) struct Addresses {
    by_name: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
}

impl Addresses {
    pub(super) fn set(&self, name: &str, address: SocketAddr) {
        let mut by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        by_name.insert(name.to_owned(), address);
    }

    fn get(&self, idx: usize) -> Option<SocketAddr> {
        let by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        by_name.get(HOSTS[idx % HOSTS.len()]).copied()
    }
}

/// A call and its outcomes in order.
#[derive(Debug)]
pub(super) struct CallHistory {
    pub(super) spec: CallSpec,
    pub(super) outcomes: Vec<AttemptOutcome>,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub(super) struct AttemptOutcome {
    /// Time at which the attempt ended, in milliseconds since the Unix epoch.
    pub(super) at_ms: u64,
    pub(super) line: String,
    /// The caller's name for its call, as it stands in the response.
    pub(super) call: Option<String>,
}

impl AttemptOutcome {
    pub(super) fn is_success(&self) -> bool {
        self.line.starts_with("200")
    }
}

impl CallHistory {
    pub(super) fn has_succeeded(&self) -> bool {
        self.outcomes.iter().any(AttemptOutcome::is_success)
    }
}

/// Makes a call, and retries it at the next host until it succeeds or the attempts are used up.
pub(super) async fn call(client: Client, addresses: Addresses, spec: CallSpec) -> CallHistory {
    let mut outcomes = Vec::new();
    let ticket = match spec.ticket {
        Ticket::Taken => take_ticket(&client, &addresses, spec.first).await,
        Ticket::None => None,
    };
    let given = parse_line(&format!(
        "{} key={} patience_ms=4000",
        spec.kind.arguments(),
        spec.key
    ));
    for attempt in 0..MAX_ATTEMPTS {
        if let Some(to) = addresses.get(spec.first + attempt) {
            let call = Call::new(&Arguments::new(&given), to, ticket.clone(), None);
            let outcome = call.perform(client.clone()).await;
            outcomes.push(AttemptOutcome {
                at_ms: now_ms(),
                line: outcome.line,
                call: outcome.call,
            });
            if outcomes.last().is_some_and(AttemptOutcome::is_success) {
                break;
            }
        }
        task::sleep(RETRY_PAUSE).await;
    }
    CallHistory { spec, outcomes }
}

async fn take_ticket(client: &Client, addresses: &Addresses, first: usize) -> Option<String> {
    let key = format!("{KEY_PREFIX}{CUSTOMER}");
    for idx in first..first + HOSTS.len() {
        let Some(to) = addresses.get(idx) else {
            continue;
        };
        let response = client.get(to, "/v1/hosts", &key).await;
        if let Some(ticket) = response.as_ref().and_then(|it| it["ticket"].as_str()) {
            return Some(ticket.to_owned());
        }
    }
    None
}

pub(super) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
