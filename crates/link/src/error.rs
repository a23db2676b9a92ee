//! Why something can't be sent, asked or bound.

use derive_more::{Display, Error};

/// Why the link failed; the report's causes tell the rest.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The CA, certificate or key can't be used.
    #[display("the fleet's keys can't be used")]
    Keys,
    /// The host's name isn't a DNS name, so no certificate can prove it.
    #[display("the host's name isn't a DNS name")]
    HostName,
    /// The address can't be listened on.
    #[display("the fleet address can't be listened on")]
    Bind,
    /// No connection came about, so nothing left this host.
    #[display("no connection to the host")]
    Unreachable,
    /// The frame may have left, and no answer came in time.
    #[display("no answer in time")]
    Timeout,
    /// The connection broke; the frame may have left.
    #[display("the connection broke")]
    Broken,
    /// The frame is too large, or the answer is no frame.
    #[display("not a frame")]
    Frame,
}
