//! Errors of the link.

use derive_more::{Display, Error};

/// The kind of failure; the report's causes hold the details.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The CA, certificate or private key is invalid.
    #[display("the fleet's keys can't be used")]
    Keys,
    /// The host's name isn't a DNS name, so a certificate can't contain it.
    #[display("the host's name isn't a DNS name")]
    HostName,
    /// The address can't be bound, or the idle timeout is too long for QUIC.
    #[display("can't listen on the fleet address")]
    Bind,
    /// No connection was established, so the frame was not sent.
    #[display("no connection to the host")]
    Unreachable,
    /// No response arrived in time; the frame may have been sent.
    #[display("no response in time")]
    Timeout,
    /// The connection broke; the frame may have been sent.
    #[display("the connection broke")]
    Broken,
    /// The frame is too large, or the response can't be decoded.
    #[display("the frame is too large, or the response is not a frame")]
    Frame,
}
