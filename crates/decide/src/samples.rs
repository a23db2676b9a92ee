//! Answers that were sent to be rated.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::belief::Turn;
use crate::key;
use crate::tally::Bucket;

/// Answers whose rating is waited for.
const KEPT: usize = 8192;

/// Answers that were sent to be rated, the oldest forgotten first: many
/// ratings never come.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    waiting: HashMap<Name, Sample>,
    order: VecDeque<Name>,
}

/// What has to be known of an answer when its rating comes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) bucket: Bucket,
    pub(crate) turn: Turn,
    /// When the answer came; unknown for those of other hosts.
    pub(crate) at: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Name {
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
        let name = Name::new(request, version);
        if self.order.len() >= KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.waiting.remove(&oldest);
        }
        self.order.push_back(name);
        self.waiting.insert(name, sample);
    }

    /// Each answer is rated once; a second rating finds nothing.
    pub(crate) fn take(
        &mut self,
        request: key::Request,
        version: &kernel::VersionId,
    ) -> Option<Sample> {
        self.waiting.remove(&Name::new(request, version))
    }
}

impl Name {
    fn new(request: key::Request, version: &kernel::VersionId) -> Self {
        Self {
            request,
            version: key::hash(version.as_str().as_bytes()),
        }
    }
}
