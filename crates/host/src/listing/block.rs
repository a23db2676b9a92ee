//! Entries of the listing as hosts send them to each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use kernel::{EndpointId, Incarnation};
use route::endpoint::{Entry, State};
use serde::{Deserialize, Serialize};

/// Entries of a listing, in which each text that many entries share stands once. Thousands of
/// entries name a few services, data centres and releases.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Block {
    texts: Vec<String>,
    entries: Vec<PackedEntry>,
}

/// An entry with the positions of its texts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PackedEntry {
    id: EndpointId,
    incarnation: Option<Incarnation>,
    service: u32,
    address: SocketAddr,
    data_centre: u32,
    release: u32,
    slots: u32,
    state: State,
    cold: Duration,
}

impl Block {
    /// Packs entries.
    pub fn pack<'a>(entries: impl Iterator<Item = &'a Entry>) -> Self {
        let mut block = Self::default();
        let mut positions = HashMap::new();
        for it in entries {
            let mut position = |text: &'a str| {
                *positions.entry(text).or_insert_with(|| {
                    block.texts.push(text.to_owned());
                    u32::try_from(block.texts.len() - 1).unwrap_or(u32::MAX)
                })
            };
            let packed = PackedEntry {
                id: it.id.clone(),
                incarnation: it.incarnation,
                service: position(it.service.as_str()),
                address: it.address,
                data_centre: position(it.data_centre.as_str()),
                release: position(it.release.as_str()),
                slots: it.slots,
                state: it.state,
                cold: it.cold,
            };
            block.entries.push(packed);
        }
        block
    }

    /// Returns the entries; `None` if one of them refers to a text that the block doesn't have.
    #[must_use]
    pub fn unpack(self) -> Option<Vec<Entry>> {
        let Self { texts, entries } = self;
        let text = |position: u32| {
            texts
                .get(usize::try_from(position).ok()?)
                .map(String::as_str)
        };
        let unpacked = entries.into_iter().map(|it| {
            Some(Entry {
                id: it.id,
                incarnation: it.incarnation,
                service: text(it.service)?.into(),
                address: it.address,
                data_centre: text(it.data_centre)?.into(),
                release: text(it.release)?.into(),
                slots: it.slots,
                state: it.state,
                cold: it.cold,
            })
        });
        unpacked.collect()
    }
}
