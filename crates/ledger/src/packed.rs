//! Records as they are held: encoded, since there may be tens of thousands.

use kernel::Incarnation;

use crate::{Record, Serial};

/// A record in its encoded form. In an outage of the table an hour's worth of
/// them is held, and as many copies; what that saves is measured in
/// `docs/design/ledger.md`.
#[derive(Debug)]
pub(crate) struct Packed {
    pub(crate) serial: Serial,
    pub(crate) home: Incarnation,
    pub(crate) floor: Serial,
    outcome_bytes: u32,
    bytes: Box<[u8]>,
}

impl Packed {
    pub(crate) fn new(record: &Record) -> Self {
        let bytes =
            postcard::to_stdvec(record).expect("a record has nothing that can't be encoded");
        Self {
            serial: record.serial,
            home: record.key.home,
            floor: record.floor,
            outcome_bytes: u32::try_from(record.outcome_bytes()).unwrap_or(u32::MAX),
            bytes: bytes.into(),
        }
    }

    pub(crate) fn unpack(&self) -> Record {
        postcard::from_bytes(&self.bytes).expect("it was encoded from a record")
    }

    /// The bytes of the answer that is kept with it.
    pub(crate) fn outcome_bytes(&self) -> usize {
        self.outcome_bytes as usize
    }
}
