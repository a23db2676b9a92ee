//! QUIC transport of frames between hosts, with mutual TLS.
