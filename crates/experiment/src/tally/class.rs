use std::time::Duration;

use hdrhistogram::Histogram;

use super::ratio;
use crate::{
    arrival::Arrival,
    record::Record,
    report::{ClassFigures, Latency},
    workload::Class,
};

/// The counts of one class.
pub(super) struct ClassTally {
    pub(super) offered: u64,
    pub(super) delivered: u64,
    pub(super) good: u64,
    pub(super) cost: u64,
    /// The cost of the requests that this router and the oracle both delivered: this router's and
    /// the oracle's.
    pub(super) paired: [u64; 2],
    tried: u64,
    latency: Histogram<u64>,
    first_token: Histogram<u64>,
}

impl ClassTally {
    pub(super) fn new() -> Self {
        Self {
            offered: 0,
            delivered: 0,
            good: 0,
            cost: 0,
            paired: [0; 2],
            tried: 0,
            latency: histogram(),
            first_token: histogram(),
        }
    }

    pub(super) fn add(&mut self, arrival: &Arrival, record: &Record, oracle: &Record) {
        self.offered += 1;
        self.cost += record.cost;
        if !record.delivered() {
            return;
        }
        self.delivered += 1;
        self.good += u64::from(record.response().is_some_and(|(_, it)| it.good));
        self.tried += u64::try_from(record.tried.len()).unwrap_or(0);
        if oracle.delivered() {
            self.paired[0] += record.cost;
            self.paired[1] += oracle.cost;
        }
        self.latency
            .saturating_record(micros(record.ended_at.saturating_sub(arrival.at)));
        if let Some(first_token) = record.first_token {
            self.first_token
                .saturating_record(micros(first_token.saturating_sub(arrival.at)));
        }
    }

    pub(super) fn figures(&self, class: &Class) -> ClassFigures {
        ClassFigures {
            class: class.name.to_owned(),
            offered: self.offered,
            delivered: self.delivered,
            target: class.target(),
            good: ratio(self.good, self.delivered),
            mean_cost: ratio(self.cost, self.delivered),
            cost_to_oracle: ratio(self.paired[0], self.paired[1]),
            versions_tried: ratio(self.tried, self.delivered),
            latency: Latency::from_histogram(&self.latency),
            first_token: Latency::from_histogram(&self.first_token),
        }
    }
}

/// Returns a histogram of microseconds, up to two hours with three significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(7_200_000_000, 3).expect("the bounds are constant and valid")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
