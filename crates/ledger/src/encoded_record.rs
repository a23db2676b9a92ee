//! Encoded records.

use kernel::Incarnation;

use crate::{Record, Serial};

/// A record in encoded form, which saves memory: while the table is unavailable a host may hold
/// tens of thousands of records and as many copies.
#[derive(Debug)]
pub(crate) struct EncodedRecord {
    pub(crate) serial: Serial,
    pub(crate) home: Incarnation,
    pub(crate) floor: Serial,
    outcome_bytes: u32,
    bytes: Box<[u8]>,
}

impl EncodedRecord {
    pub(crate) fn new(record: &Record) -> Self {
        let bytes = postcard::to_stdvec(record).expect("every record can be encoded");
        Self {
            serial: record.serial,
            home: record.key.home,
            floor: record.floor,
            outcome_bytes: u32::try_from(record.outcome_bytes()).unwrap_or(u32::MAX),
            bytes: bytes.into(),
        }
    }

    pub(crate) fn decode(&self) -> Record {
        postcard::from_bytes(&self.bytes).expect("the bytes are an encoded record")
    }

    /// Returns the size of the stored response in bytes.
    pub(crate) fn outcome_bytes(&self) -> usize {
        self.outcome_bytes as usize
    }
}
