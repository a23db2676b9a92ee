//! Selects the hosts whose addresses a caller gets.

use std::net::SocketAddr;

use kernel::{DataCentre, Region, hash};

/// Largest number of addresses that callers accept.
const MAX_ADDRESSES: usize = 64;
/// Number of hosts in the caller's data centre from which on only a few remote hosts are
/// added. If there are fewer, a failed host would leave its callers too few alternatives.
const ENOUGH_LOCAL: usize = 8;
/// Number of local hosts per added remote host. With the remote hosts, callers still find a
/// live host when their data centre fails.
const LOCAL_PER_REMOTE: usize = 8;

/// A host's address for callers, and its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address {
    /// The address for callers.
    pub front: SocketAddr,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The host's region.
    pub region: Region,
}

/// Chooses the addresses for a caller in this data centre and region, the nearest
/// first.
///
/// Callers use any of the addresses that they get. A request to a host in another data
/// centre crosses between data centres, and the same list for all callers would send all
/// traffic to a few hosts. The choice depends only on the caller's location and the hosts,
/// so that every host gives the same answer. Otherwise callers would often reconnect, since
/// they close connections to hosts that are missing from a new answer.
#[must_use]
pub fn choose(
    hosts: &[Address],
    data_centre: Option<&DataCentre>,
    region: Option<&Region>,
) -> Vec<SocketAddr> {
    let distance = |it: &Address| {
        if Some(&it.data_centre) == data_centre {
            Distance::SameDataCentre
        } else if Some(&it.region) == region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    };
    let mut order: Vec<_> = hosts
        .iter()
        .map(|it| (distance(it), hash::of(&(it.front, data_centre)), it.front))
        .collect();
    order.sort_unstable();
    let local_count = order.partition_point(|it| it.0 == Distance::SameDataCentre);
    let count = if local_count < ENOUGH_LOCAL {
        MAX_ADDRESSES
    } else {
        local_count + local_count.div_ceil(LOCAL_PER_REMOTE)
    };
    order.truncate(count.min(MAX_ADDRESSES));
    order.into_iter().map(|it| it.2).collect()
}

/// The distance from a caller to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}
