//! Selects the hosts whose addresses a caller gets.

use std::net::SocketAddr;

use kernel::{DataCentre, Region, hash};

use crate::Capacity;

/// Largest number of addresses that callers accept.
const MAX_ADDRESSES: usize = 64;
/// Number of hosts in the caller's data centre from which on only a few remote hosts are
/// added. If there are fewer, a failed host would leave its callers too few alternatives.
const ENOUGH_LOCAL: usize = 8;
/// Number of local hosts per added remote host. With the remote hosts, callers still find a
/// live host when their data centre fails.
const LOCAL_PER_REMOTE: usize = 8;

/// Hosts rated at less than one part in this many of the highest rating in their data centre get
/// no callers, provided that the others suffice.
const SMALL_RATING_DIVISOR: u64 = 4;
/// The others suffice if they have at least one part in this many of the data centre's processors.
const MIN_PROCESSOR_DIVISOR: u64 = 4;

/// A host's address for callers, and its location.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Address {
    /// The address for callers.
    pub front: SocketAddr,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The host's region.
    pub region: Region,
    /// The host's processor and link.
    pub capacity: Capacity,
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
    let least_rating = least_rating(
        hosts
            .iter()
            .filter(|it| Some(&it.data_centre) == data_centre),
    );
    let mut order: Vec<_> = hosts
        .iter()
        .map(|it| {
            let is_small = it.capacity.rating() < least_rating;
            let order = hash::of(&(it.front, data_centre));
            (is_small, distance(it), order, it.front)
        })
        .collect();
    order.sort_unstable();
    let is_local =
        |it: &(bool, Distance, u64, SocketAddr)| !it.0 && it.1 == Distance::SameDataCentre;
    let local_count = order.partition_point(is_local);
    let count = if local_count < ENOUGH_LOCAL {
        MAX_ADDRESSES
    } else {
        local_count + local_count.div_ceil(LOCAL_PER_REMOTE)
    };
    order.truncate(count.min(MAX_ADDRESSES));
    order.into_iter().map(|it| it.3).collect()
}

/// Returns the rating from which on the local hosts get callers; 0 if all of them do.
///
/// Callers choose among their addresses at random. If small hosts were among them, they would get
/// as many requests as hosts with many times their processor and link, which would stay idle.
fn least_rating<'a>(local: impl Iterator<Item = &'a Address> + Clone) -> u64 {
    let highest = local.clone().map(|it| it.capacity.rating()).max();
    let least = highest.unwrap_or_default() / SMALL_RATING_DIVISOR;
    let large = local.clone().filter(|it| it.capacity.rating() >= least);
    let processor = |it: &Address| u64::from(it.capacity.millicores);
    let all: u64 = local.map(processor).sum();
    let of_large: u64 = large.clone().map(processor).sum();
    let suffices = large.count() >= ENOUGH_LOCAL && of_large >= all / MIN_PROCESSOR_DIVISOR;
    if suffices { least } else { 0 }
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
