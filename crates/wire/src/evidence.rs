//! The message that distributes evidence about versions and customers' demand.

use serde::{Deserialize, Serialize};

use crate::{Delta, Identity};

/// Counts that have not been sent before on the same hop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The sender.
    pub from: Identity,
    /// The hop on which the counts are sent.
    pub hop: Hop,
    /// The counts.
    pub deltas: Vec<Delta>,
}

/// A hop on the path of evidence from the host that counted it to all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hop {
    /// From a host to another in a small fleet. The receiver doesn't forward the counts.
    Direct,
    /// From a host to the relay of the topic's group in its data centre, which aggregates the
    /// counts.
    Host,
    /// From a relay to the topic's first home, which aggregates the counts of all data
    /// centres and returns the sums to all hosts via the relays.
    DataCentre,
    /// From a relay to the topic's other homes, which don't return sums.
    Standby,
    /// The sums over all data centres since the last return, from the first home to a relay,
    /// which forwards them to the hosts of its data centre.
    Fleet,
    /// The returned sums, from a relay to a host of its data centre.
    Final,
}
