//! The session token, which carries a session's version.
//!
//! Hosts keep nothing, so the caller brings the pin along: any host can honour
//! it, also one that started a moment ago; see `docs/design/decide-sessions.md`.

use std::time::Duration;

use kernel::{Customer, ProfileName, Secret, VersionId};
use serde::{Deserialize, Serialize};

use crate::problem::{Problem, Reason};
use crate::seal;

const PREFIX: &str = "s1.";

/// A session's pin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Whose session it is.
    pub customer: Customer,
    /// The profile under which it began.
    pub profile: ProfileName,
    /// The version that it keeps.
    pub version: VersionId,
    /// Wall time of the pin, since the Unix epoch.
    pub issued: Duration,
}

impl Token {
    /// The token as a header value.
    #[must_use]
    pub fn seal(&self, secret: &Secret) -> String {
        seal::seal(secret, PREFIX, self)
    }

    /// Reads a token that `customer` presents for `profile`.
    ///
    /// # Errors
    /// A 400 problem when the token wasn't minted by this system or belongs to
    /// another customer or profile.
    pub fn open(
        secret: &Secret,
        text: &str,
        customer: &Customer,
        profile: &ProfileName,
    ) -> Result<Self, Problem> {
        let token: Self = seal::open(secret, PREFIX, text)
            .ok_or_else(|| fault("is not a token of this system; leave it out to start anew"))?;
        if token.customer != *customer {
            return Err(fault("belongs to another customer"));
        }
        if token.profile != *profile {
            return Err(fault(&format!(
                "belongs to profile {}, not {profile}",
                token.profile
            )));
        }
        Ok(token)
    }
}

fn fault(what: &str) -> Problem {
    Problem::not_run(Reason::BadRequest, format!("barleypin-session: {what}"))
}
