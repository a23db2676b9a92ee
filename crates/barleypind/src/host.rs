//! What every service of this process shares.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use config::Settings;
use kernel::{Clock, Incarnation, Registry, RequestId};

use crate::contact::Contact;
use crate::current::Current;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::secrets::Secrets;

/// This host: its settings, its clock and the means to find its services.
pub(crate) struct Host {
    pub(crate) settings: Settings,
    pub(crate) secrets: Secrets,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) registry: Registry,
    pub(crate) current: Current,
    pub(crate) contact: Contact,
    pub(crate) http: http::Client,
    phase: AtomicU8,
    incarnation: AtomicU64,
    last_request: AtomicU64,
    open: AtomicUsize,
}

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It has no configuration yet.
    Starting,
    /// It takes work.
    Ready,
    /// It finishes what it has.
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
            clock,
            log,
            metrics: Metrics::new(),
            registry: Registry::default(),
            current: Current::default(),
            contact: Contact::default(),
            phase: AtomicU8::new(0),
            incarnation: AtomicU64::new(incarnation.0),
            last_request: AtomicU64::new(0),
            open: AtomicUsize::new(0),
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

    /// Goes on to `phase`, unless the process is further already.
    pub(crate) fn enter(&self, phase: Phase) -> Phase {
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

    /// Takes a new incarnation, after the old one was fenced.
    pub(crate) fn renew(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation.0, Ordering::SeqCst);
    }

    /// Names a request: its number here, and the name that others see.
    pub(crate) fn name_request(&self) -> (decide::key::Request, RequestId) {
        let number = self.last_request.fetch_add(1, Ordering::Relaxed) + 1;
        let name = format!("{:x}-{number:x}", self.incarnation().0);
        (decide::key::Request(number), RequestId::from(name))
    }

    /// The number of a request of this incarnation.
    pub(crate) fn request_number(&self, name: &str) -> Option<decide::key::Request> {
        let (incarnation, number) = name.split_once('-')?;
        let same = u64::from_str_radix(incarnation, 16).ok()? == self.incarnation().0;
        let number = u64::from_str_radix(number, 16).ok()?;
        same.then_some(decide::key::Request(number))
    }

    /// Counts a call as open until the guard is dropped; nothing comes back
    /// when too many are.
    pub(crate) fn open_call(self: &Arc<Self>) -> Option<Open> {
        let open = Open {
            host: Arc::clone(self),
        };
        let before = self.open.fetch_add(1, Ordering::SeqCst);
        (before < self.settings.limits.max_in_flight).then_some(open)
    }

    pub(crate) fn open_calls(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

/// An open call.
pub(crate) struct Open {
    host: Arc<Host>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.host.open.fetch_sub(1, Ordering::SeqCst);
    }
}
