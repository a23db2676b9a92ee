//! What the core is told.

use std::sync::Arc;
use std::time::Duration;

use kernel::{HostName, Revision, VersionId};
use wire::{Delta, Endpoint, Frame, Identity, Member, Ruling};

/// Something that happened, or the passing of time.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; due at [`crate::Fleet::deadline`] or a little later.
    Tick,
    /// The platform's list of entry hosts. It lags, so it only says whom to
    /// ask; nobody is taken for alive or dead because of it.
    Hosts(Vec<Member>),
    /// A frame came from the host that the certificate names.
    Frame {
        /// The proven sender.
        from: HostName,
        /// What it sent.
        frame: Frame,
    },
    /// The table was read, or a change was committed by this host.
    Polled(Polled),
    /// A read of the table failed or took too long.
    PollFailed,
    /// What this host counted since it last said so.
    Evidence(Vec<Delta>),
    /// This host's decision core made a verdict.
    Ruled(Ruled),
    /// This host learned something of an endpoint, from the endpoint itself or
    /// from the host list.
    Endpoint(Endpoint),
    /// This host's load, from 0 (idle) to 255 (full).
    Load(u8),
    /// This host drains from now on.
    Leave,
    /// This host ends; what follows is its last word.
    Goodbye,
    /// The table holds a fence for the incarnation, so it is over for good.
    Fenced(Identity),
    /// An operator asks for a host to drain.
    Drain(Identity),
}

/// What the table said of the configuration.
#[derive(Clone, Debug)]
pub struct Polled {
    /// When the table was asked. Proofs count from here, because the answer
    /// may be older than its arrival.
    pub asked: Duration,
    /// The newest revision.
    pub revision: Revision,
    /// Its document as JSON; may be absent when the revision is already in force.
    pub json: Option<Arc<[u8]>>,
}

/// A verdict of this host's decision core.
#[derive(Clone, Debug)]
pub struct Ruled {
    /// The version.
    pub version: VersionId,
    /// What was decided.
    pub ruling: Ruling,
    /// What it was decided on, in the form of the decision core.
    pub evidence: Vec<u8>,
}
