//! The script command that explains where a request would go.

use std::fmt::{Display, Write};

use route::{Candidate, Explanation, Prospect};

use super::Script;
use crate::line::Line;

impl Script {
    /// Explains where a request would go, and prints its candidates and what excludes the other
    /// endpoints.
    pub(super) fn explain(&mut self, line: &Line<'_>) -> String {
        let now = self.now;
        match self.router().explain(now, line.request()) {
            Explanation::Denied(denial) => format!("denied: {denial}"),
            Explanation::Admitted(prospect) => format_prospect(&prospect),
        }
    }
}

fn format_prospect(prospect: &Prospect) -> String {
    let mut head = format!("to {} by {}", prospect.service, prospect.route);
    push(&mut head, "customer", prospect.customer.as_ref());
    push(&mut head, "model", prospect.model.as_ref());
    if let Some(it) = &prospect.assignment {
        push(&mut head, "assigned", Some(it.side));
        push(&mut head, "used", Some(it.used));
        push(&mut head, "verdict", Some(it.verdict));
    }
    push(&mut head, "filter", Some(prospect.leniency));
    let retry_after = prospect.retry_after.map(|it| it.as_millis());
    push(&mut head, "retry-after", retry_after);
    let candidates = prospect.candidates.iter().map(format_candidate);
    let excluded = prospect.excluded.iter();
    let excluded = excluded.map(|it| format!("{} excluded: {}", it.id, it.reason));
    let lines: Vec<_> = [head]
        .into_iter()
        .chain(candidates)
        .chain(excluded)
        .collect();
    lines.join("\n")
}

fn push(line: &mut String, name: &str, value: Option<impl Display>) {
    if let Some(it) = value {
        let _ = write!(line, " {name} {it}");
    }
}

/// Formats a candidate with the terms of its score that aren't zero.
fn format_candidate(it: &Candidate) -> String {
    let terms = it.score.terms();
    let terms = terms.iter().filter(|it| it.1 != 0.0);
    let terms: Vec<_> = terms.map(|(name, it)| format!(" {name} {it:.3}")).collect();
    let terms = terms.concat();
    let chance = if it.may_be_chosen { "" } else { " never" };
    format!("{} {:.3} ={terms}{chance}", it.id, it.total)
}
