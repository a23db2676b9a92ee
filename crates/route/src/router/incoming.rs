//! Requests of callers.

use std::time::Duration;

use crate::{ModelChoice, Relayed, RequestProfile};

/// A request that was received from a caller.
#[derive(Clone, Debug)]
pub struct IncomingRequest<'a> {
    /// The request ID. A caller's retry has a new one.
    pub id: &'a str,
    /// The requested host name, in lower case and without a port.
    pub host: &'a str,
    /// The path, without a query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
    /// The API key, if there is one.
    pub key: Option<&'a str>,
    /// The caller's timeout, if it sent one.
    pub timeout: Option<Duration>,
    /// The properties that placement depends on.
    pub profile: RequestProfile,
    /// Who chooses the model, if the route has several.
    pub model_choice: ModelChoice,
    /// Set if another host forwards the request.
    pub relayed: Option<Relayed>,
}
