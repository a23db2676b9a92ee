//! Endpoints that hosts judge differently.

use std::collections::{BTreeSet, HashMap};

use kernel::{EndpointId, HostName};
use route::{Exclusion, Prospect};
use serde::Serialize;

use crate::client::Answer;

/// How a host judges endpoints, by ID.
type Standings<'a> = HashMap<&'a str, Standing>;

/// An endpoint that hosts judge differently.
#[derive(Debug, Serialize)]
pub(super) struct Difference {
    /// The endpoint.
    pub(super) endpoint: EndpointId,
    /// How each host that would admit the request judges it, in the order of the answers.
    pub(super) standings: Vec<(HostName, Standing)>,
}

/// How a host judges an endpoint.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Standing {
    /// It is a candidate with this total score.
    Candidate(f64),
    /// It is excluded.
    Excluded(Exclusion),
    /// The host doesn't know it.
    Unknown,
}

impl Difference {
    /// Returns the endpoints that hosts judge differently, by ID. Scores count as different if
    /// they are further apart than the range of their random terms, and reasons of the same kind
    /// as equal, whatever the remaining time.
    pub(super) fn between(answers: &[&Answer]) -> Vec<Self> {
        let hosts: Vec<_> = answers
            .iter()
            .filter_map(|it| Some((&it.host, standings(it.prospect()?))))
            .collect();
        let prospects = answers.iter().filter_map(|it| it.prospect());
        let range = prospects.map(|it| it.random_range).fold(0.0, f64::max);
        let endpoints = hosts.iter().flat_map(|it| it.1.keys().copied());
        let endpoints: BTreeSet<&str> = endpoints.collect();
        let judged = endpoints.into_iter().map(|endpoint| {
            let standing = |standings: &Standings<'_>| {
                let known = standings.get(endpoint).copied();
                known.unwrap_or(Standing::Unknown)
            };
            let standings = hosts.iter();
            Self {
                endpoint: endpoint.into(),
                standings: standings
                    .map(|(host, it)| ((*host).clone(), standing(it)))
                    .collect(),
            }
        });
        judged.filter(|it| it.is_significant(range)).collect()
    }

    fn is_significant(&self, range: f64) -> bool {
        let mut standings = self.standings.iter().map(|it| &it.1);
        let Some(first) = standings.next() else {
            return false;
        };
        standings.any(|it| !first.is_similar(it, range))
    }
}

impl Standing {
    fn is_similar(&self, other: &Self, range: f64) -> bool {
        match (self, other) {
            (Self::Candidate(one), Self::Candidate(other)) => (one - other).abs() <= range,
            (Self::Excluded(one), Self::Excluded(other)) => {
                std::mem::discriminant(one) == std::mem::discriminant(other)
            }
            (Self::Unknown, Self::Unknown) => true,
            _ => false,
        }
    }
}

/// Returns how a host judges the endpoints.
fn standings(prospect: &Prospect) -> Standings<'_> {
    let candidates = prospect.candidates.iter();
    let excluded = prospect.excluded.iter();
    candidates
        .map(|it| (it.id.as_str(), Standing::Candidate(it.total)))
        .chain(excluded.map(|it| (it.id.as_str(), Standing::Excluded(it.reason))))
        .collect()
}
