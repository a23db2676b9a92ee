//! An attempt in flight.

use std::time::Duration;

use kernel::AttemptId;

use crate::action::Relay;
use crate::directory::Target;
use crate::plan::Step;
use crate::{replica, request};

slotmap::new_key_type! {
    /// An attempt in flight.
    pub(crate) struct Key;
}

/// An attempt from its dispatch to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Its number towards the driver.
    pub(crate) id: AttemptId,
    pub(crate) request: request::Key,
    pub(crate) replica: replica::Key,
    pub(crate) target: Target,
    pub(crate) step: Step,
    pub(crate) relay: Relay,
    pub(crate) sent: Duration,
    pub(crate) timeout: Duration,
    pub(crate) progress: Progress,
    /// How full the endpoint was when it was sent.
    pub(crate) fill: Fill,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    Sent,
    /// Its first byte came at this time.
    Started(Duration),
}

/// How full an endpoint was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fill {
    Free,
    Full,
}
