//! Responses that were sent to the rating service.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::histogram::Bucket;
use crate::key;
use crate::response_stats::StepPosition;

/// The number of most recent samples whose rating is accepted.
const MAX_REMEMBERED: usize = 8192;

/// Responses that wait for a rating. Only the last [`MAX_REMEMBERED`] samples are kept,
/// rated or not, because many ratings never arrive.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    pending: HashMap<SampleKey, Sample>,
    order: VecDeque<SampleKey>,
}

/// The data about a response that is needed when its rating arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) bucket: Bucket,
    pub(crate) position: StepPosition,
    /// The time at which the response was received; `None` for those of other hosts.
    pub(crate) at: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SampleKey {
    request: key::Request,
    version: u64,
}

impl Samples {
    pub(crate) fn insert(
        &mut self,
        request: key::Request,
        version: &kernel::VersionId,
        sample: Sample,
    ) {
        let sample_key = SampleKey::new(request, version);
        if self.order.len() >= MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.pending.remove(&oldest);
        }
        self.order.push_back(sample_key);
        self.pending.insert(sample_key, sample);
    }

    /// Removes and returns the sample, so a second rating of a response is ignored.
    pub(crate) fn take(
        &mut self,
        request: key::Request,
        version: &kernel::VersionId,
    ) -> Option<Sample> {
        self.pending.remove(&SampleKey::new(request, version))
    }
}

impl SampleKey {
    fn new(request: key::Request, version: &kernel::VersionId) -> Self {
        Self {
            request,
            version: key::hash(version.as_str().as_bytes()),
        }
    }
}
