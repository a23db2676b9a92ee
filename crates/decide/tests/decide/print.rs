//! Formats actions as lines of text.

use decide::action::{Action, Deliver, Dispatch, Verdict};
use decide::{Policy, endpoint, key};

/// Resolves the keys in actions to names.
pub(crate) struct Names<'a> {
    pub(crate) policy: &'a Policy,
    pub(crate) endpoints: &'a [(String, endpoint::Id)],
}

impl Names<'_> {
    /// Formats an action; `None` for messages between hosts.
    pub(crate) fn line(&self, action: &Action) -> Option<String> {
        let line = match action {
            Action::Dispatch(it) => self.dispatch(it),
            Action::Deliver(it) => self.deliver(it),
            Action::Refuse { request, refusal } => {
                let after = refusal.retry_after;
                let after = after.map_or(String::new(), |it| format!(" after {it:.1?}"));
                format!(
                    "refuse {request} {:?} {:?}{after}",
                    refusal.reason, refusal.run
                )
            }
            Action::Cancel { attempt } => format!("cancel #{attempt}"),
            Action::Publish(_) | Action::Demand(_) => return None,
            Action::Sample { attempt, .. } => format!("sample #{attempt}"),
            Action::Version { version, verdict } => {
                let verdict = match verdict {
                    Verdict::Healthy => "healthy".to_owned(),
                    Verdict::Quarantined(cause) => format!("quarantined for {cause:?}"),
                };
                format!("version {} {verdict}", self.version(*version))
            }
            Action::LastResort {
                version, customer, ..
            } => {
                let customer = &self.policy.customers[customer.index()].name;
                format!("last resort {} of {customer}", self.version(*version))
            }
            Action::Step(it) => format!("step {} {} -> {}", it.rollout, it.from, it.to),
        };
        Some(line)
    }

    pub(crate) fn version(&self, key: key::Version) -> &str {
        self.policy.versions[key.index()].id.as_str()
    }

    fn dispatch(&self, it: &Dispatch) -> String {
        let endpoint = self.endpoints.iter().find(|(_, id)| *id == it.endpoint);
        let endpoint = endpoint.map_or("?", |(name, _)| name);
        let version = it.version.map_or("", |it| self.version(it));
        format!(
            "dispatch {} #{} to {endpoint} {version} {:?} {:?} {:.1?}",
            it.request, it.attempt, it.relay, it.session, it.timeout
        )
    }

    fn deliver(&self, it: &Deliver) -> String {
        let version = it.version.map_or("", |it| self.version(it));
        format!(
            "deliver {} #{} {version} cost {} after {}",
            it.request, it.attempt, it.cost, it.attempts
        )
    }
}
