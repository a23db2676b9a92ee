//! Membership, news and evidence between hosts, as a pure core.
