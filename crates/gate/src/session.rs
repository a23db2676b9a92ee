//! The session token, which pins a session to a version.
//!
//! Hosts store no session state. The caller sends the token, so any host can
//! honour the pin, including one that has just started; see
//! `docs/design/decide-sessions.md`.

use std::time::Duration;

use kernel::{Customer, ProfileName, Secret, VersionId};
use serde::{Deserialize, Serialize};

use crate::problem::{Problem, Reason};
use crate::seal;

const PREFIX: &str = "s1.";

/// A session token: the version to which a customer's session is pinned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The customer that owns the session.
    pub customer: Customer,
    /// The profile under which the session started.
    pub profile: ProfileName,
    /// The version that serves the session.
    pub version: VersionId,
    /// Wall time at which this token was issued, since the Unix epoch.
    pub issued: Duration,
}

impl Token {
    /// Encodes and signs the token as a header value.
    #[must_use]
    pub fn seal(&self, secret: &Secret) -> String {
        seal::seal(secret, PREFIX, self)
    }

    /// Verifies and decodes a token that `customer` sends for `profile`.
    ///
    /// # Errors
    /// Returns a 400 problem if the token wasn't issued by this system or belongs
    /// to another customer or profile.
    pub fn open(
        secret: &Secret,
        text: &str,
        customer: &Customer,
        profile: &ProfileName,
    ) -> Result<Self, Problem> {
        let token: Self = seal::open(secret, PREFIX, text).ok_or_else(|| {
            invalid_token("is not a token of this system; leave it out to start anew")
        })?;
        if token.customer != *customer {
            return Err(invalid_token("belongs to another customer"));
        }
        if token.profile != *profile {
            return Err(invalid_token(&format!(
                "belongs to profile {}, not {profile}",
                token.profile
            )));
        }
        Ok(token)
    }
}

fn invalid_token(what: &str) -> Problem {
    Problem::not_run(Reason::BadRequest, format!("barleypin-session: {what}"))
}
