//! Errors of the link.

use derive_more::{Display, Error};

/// The kind of failure; the report's causes hold the details.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// A key or certificate is invalid or can't be generated.
    #[display("the fleet's keys can't be used")]
    Keys,
    /// The host's name isn't a DNS name, so no certificate is issued for it.
    #[display("the host's name isn't a DNS name")]
    HostName,
    /// The address can't be bound, the socket's address can't be read, or the idle timeout is
    /// too long for QUIC.
    #[display("can't listen on the fleet address")]
    Bind,
    /// No connection was established, so the frame was not sent.
    #[display("no connection to the host")]
    Unreachable,
    /// No response arrived in time; the frame may have been sent.
    #[display("no response in time")]
    Timeout,
    /// The connection or the stream failed, or the response is too large; the frame may have
    /// been sent.
    #[display("the connection or stream failed, or the response is too large")]
    Broken,
    /// The frame can't be encoded, or the response is missing or can't be decoded.
    #[display("the frame can't be encoded, or there is no valid response")]
    Frame,
}
