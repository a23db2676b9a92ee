//! State shared by all services of this process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use config::Settings;
use kernel::{Clock, Incarnation, Registry, RequestId};

use crate::contact::LastContact;
use crate::current::CurrentConfig;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::secrets::Secrets;

/// The host's settings, keys, clock, shared state and service registry.
pub(crate) struct Host {
    pub(crate) settings: Settings,
    pub(crate) secrets: Secrets,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) registry: Registry,
    pub(crate) current_config: CurrentConfig,
    pub(crate) last_contact: LastContact,
    pub(crate) http: http::Client,
    phase: AtomicU8,
    incarnation: AtomicU64,
    last_request: AtomicU64,
    open_calls: AtomicUsize,
}

/// The life cycle phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No configuration is in force yet.
    Starting,
    /// A configuration is in force, and no drain was requested.
    Ready,
    /// The host drains. It accepts calls until callers have dropped its address, then finishes them
    /// and exits.
    Leaving,
}

impl Host {
    pub(crate) fn new(
        settings: Settings,
        secrets: Secrets,
        clock: Arc<dyn Clock>,
        log: Log,
        incarnation: Incarnation,
    ) -> Self {
        let pool = http::PoolLimits {
            max_idle: settings.http.idle_connections,
            max_idle_time: settings.http.idle,
            ..http::PoolLimits::default()
        };
        Self {
            http: http::Client::new(Arc::clone(&clock), pool),
            settings,
            secrets,
            last_contact: LastContact::new(clock.now()),
            clock,
            log,
            metrics: Metrics::new(),
            registry: Registry::default(),
            current_config: CurrentConfig::default(),
            phase: AtomicU8::new(0),
            incarnation: AtomicU64::new(incarnation.0),
            last_request: AtomicU64::new(0),
            open_calls: AtomicUsize::new(0),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Starting,
            1 => Phase::Ready,
            _ => Phase::Leaving,
        }
    }

    /// Advances to `phase` unless the process is already further, and returns the previous phase.
    pub(crate) fn advance_to(&self, phase: Phase) -> Phase {
        let before = self.phase.fetch_max(phase as u8, Ordering::SeqCst);
        match before {
            0 => Phase::Starting,
            1 => Phase::Ready,
            _ => Phase::Leaving,
        }
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::SeqCst))
    }

    /// Sets a new incarnation; see [`crate::renew::renew`].
    pub(crate) fn renew(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation.0, Ordering::SeqCst);
    }

    /// Returns a new request's number on this host and its id, which other systems see.
    pub(crate) fn next_request(&self) -> (decide::key::Request, RequestId) {
        let number = self.last_request.fetch_add(1, Ordering::Relaxed) + 1;
        let name = format!("{:x}-{number:x}", self.incarnation().0);
        (decide::key::Request(number), RequestId::from(name))
    }

    /// Returns the number of a request id of this incarnation, and `None` for any other id.
    pub(crate) fn request_number(&self, name: &str) -> Option<decide::key::Request> {
        let (incarnation, number) = name.split_once('-')?;
        let same = u64::from_str_radix(incarnation, 16).ok()? == self.incarnation().0;
        let number = u64::from_str_radix(number, 16).ok()?;
        same.then_some(decide::key::Request(number))
    }

    /// Counts a call as open until the guard is dropped. Returns `None` if the limit on open
    /// calls is reached.
    pub(crate) fn try_open_call(self: &Arc<Self>) -> Option<OpenCall> {
        let open = OpenCall {
            host: Arc::clone(self),
        };
        let before = self.open_calls.fetch_add(1, Ordering::SeqCst);
        (before < self.settings.limits.max_in_flight).then_some(open)
    }

    pub(crate) fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::SeqCst)
    }
}

/// A guard that counts one call as open.
pub(crate) struct OpenCall {
    host: Arc<Host>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.host.open_calls.fetch_sub(1, Ordering::SeqCst);
    }
}
