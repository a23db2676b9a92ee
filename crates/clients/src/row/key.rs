//! Row keys and their text form.

use std::fmt;
use std::sync::Arc;

use kernel::{ChangeId, Customer, Incarnation, RequestKey, Revision, VersionId};

use crate::percent::{decode, escape_key_part};

/// Key of a row. `docs/PROTOCOLS.md` lists all keys.
///
/// Parts that come from outside are escaped. Otherwise slashes in the customer
/// and the idempotency key could map two different requests to the same row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The configuration document and its revision.
    ConfigHead,
    /// An operator's committed change.
    ConfigChange(ChangeId),
    /// The change made by a revision.
    ConfigHistory(Revision),
    /// Marks a request as taken by one host, so that it runs at most once.
    Claim(RequestKey),
    /// A batch of billing records.
    Bill {
        /// Incarnation of the host that wrote the row.
        incarnation: Incarnation,
        /// Sequence number of the batch within that incarnation.
        sequence: u64,
    },
    /// The billing record of a single request.
    BilledRequest {
        /// Home of the request; another host may write the row.
        incarnation: Incarnation,
        /// The request.
        key: RequestKey,
    },
    /// Forbids an incarnation of a host to write further billing batches.
    Fence(Incarnation),
    /// Lease on a job that only one host may run at a time.
    Lease(Arc<str>),
    /// The progress of a version's roll-out.
    Rollout(VersionId),
}

impl Key {
    /// Parses the text of a row key; returns `None` if it is unknown or malformed.
    ///
    /// Also accepts numbers and escapes in forms that [`fmt::Display`] doesn't
    /// write, so formatting the result may give another text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let parts: Vec<_> = text.split('/').collect();
        match parts.as_slice() {
            ["config", "head"] => Some(Self::ConfigHead),
            ["config", "change", id] => Some(Self::ConfigChange(decode(id)?.into())),
            ["config", "history", revision] => {
                Some(Self::ConfigHistory(Revision(parse_number(revision)?)))
            }
            ["claim", customer, home, key] => {
                Some(Self::Claim(parse_request_key(customer, home, key)?))
            }
            ["bill", incarnation, "key", customer, home, key] => Some(Self::BilledRequest {
                incarnation: Incarnation(parse_number(incarnation)?),
                key: parse_request_key(customer, home, key)?,
            }),
            ["bill", incarnation, sequence] => Some(Self::Bill {
                incarnation: Incarnation(parse_number(incarnation)?),
                sequence: parse_number(sequence)?,
            }),
            ["fence", incarnation] => Some(Self::Fence(Incarnation(parse_number(incarnation)?))),
            ["lease", name] => Some(Self::Lease(decode(name)?.into())),
            ["rollout", version] => Some(Self::Rollout(decode(version)?.into())),
            _ => None,
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigHead => f.write_str("config/head"),
            Self::ConfigChange(id) => write!(f, "config/change/{}", escape_key_part(id.as_str())),
            // Zero-padded, because the table sorts keys as text.
            Self::ConfigHistory(revision) => write!(f, "config/history/{:020}", revision.0),
            Self::Claim(key) => write!(f, "claim/{}", Escaped(key)),
            Self::Bill {
                incarnation,
                sequence,
            } => write!(f, "bill/{incarnation}/{sequence:020}"),
            Self::BilledRequest { incarnation, key } => {
                write!(f, "bill/{incarnation}/key/{}", Escaped(key))
            }
            Self::Fence(incarnation) => write!(f, "fence/{incarnation}"),
            Self::Lease(name) => write!(f, "lease/{}", escape_key_part(name)),
            Self::Rollout(version) => write!(f, "rollout/{}", escape_key_part(version.as_str())),
        }
    }
}

struct Escaped<'a>(&'a RequestKey);

impl fmt::Display for Escaped<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestKey {
            customer,
            home,
            key,
        } = self.0;
        write!(
            f,
            "{}/{home}/{}",
            escape_key_part(customer.as_str()),
            escape_key_part(key)
        )
    }
}

fn parse_request_key(customer: &str, home: &str, key: &str) -> Option<RequestKey> {
    Some(RequestKey {
        customer: Customer::from(decode(customer)?),
        home: Incarnation(parse_number(home)?),
        key: decode(key)?.into(),
    })
}

fn parse_number(text: &str) -> Option<u64> {
    text.parse().ok()
}
