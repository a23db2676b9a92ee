//! Frames between hosts.
