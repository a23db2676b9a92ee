//! The state that the tasks of a host share.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_std::task::sleep;
use kernel::Clock;
use route::Router;
use route::endpoint::Key;
use route::reach::State;
use telemetry::Recorder;

use crate::buffers::Buffers;
use crate::connections::ConnectionControl;
use crate::pool::Pool;
use crate::{Connector, Dialect, Timeouts};

/// The state that the tasks of a host share. They run on one thread, and none holds a
/// borrow across an `await`.
pub struct Node<D> {
    pub(crate) dialect: D,
    pub(crate) recorder: Rc<Recorder>,
    pub(crate) timeouts: Timeouts,
    pub(crate) connector: Box<dyn Connector>,
    pub(crate) pool: Pool,
    pub(crate) connections: Rc<ConnectionControl>,
    pub(crate) buffers: Rc<Buffers>,
    /// The endpoints that are being probed.
    pub(crate) probing: RefCell<HashSet<Key>>,
    /// Whether checks run that show whether this host is cut off from all endpoints.
    pub(crate) checks_reach: Cell<bool>,
    /// Whether this host reaches endpoints, as last logged.
    pub(crate) reach: Cell<State>,
    tasks: LocalExecutor<'static>,
    clock: Arc<dyn Clock>,
    started: Duration,
    router: RefCell<Router>,
    phase: Cell<Phase>,
    open_connections: Cell<usize>,
    active_requests: Cell<usize>,
}

/// The phase of a host between start and shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts all requests.
    Serving,
    /// Stopping, and still accepting all requests: callers with an older list of addresses
    /// still connect.
    Leaving,
    /// Accepts only requests whose deadline is not after the end of the process, and finishes
    /// those in progress.
    Draining {
        /// The latest time at which the process ends.
        end: Duration,
    },
}

impl<D: Dialect> Node<D> {
    /// Creates the state of a host that has no configuration or endpoints yet. Bodies of requests
    /// and responses take `buffer_bytes` of memory at most.
    #[must_use]
    pub fn new(
        router: Router,
        dialect: D,
        recorder: Rc<Recorder>,
        timeouts: Timeouts,
        buffer_bytes: usize,
        clock: Arc<dyn Clock>,
        connector: Box<dyn Connector>,
    ) -> Rc<Self> {
        Rc::new(Self {
            dialect,
            recorder,
            timeouts,
            connector,
            pool: Pool::default(),
            connections: ConnectionControl::new(Arc::clone(&clock)),
            buffers: Buffers::new(buffer_bytes),
            probing: RefCell::default(),
            checks_reach: Cell::new(false),
            reach: Cell::default(),
            tasks: LocalExecutor::new(),
            started: clock.now(),
            clock,
            router: RefCell::new(router),
            phase: Cell::new(Phase::Serving),
            open_connections: Cell::new(0),
            active_requests: Cell::new(0),
        })
    }

    /// Spawns a task on the host's thread.
    ///
    /// It isn't spawned with `async_std::task::spawn_local`, whose tasks are in thread-local
    /// storage: they are dropped after other parts of that storage, and a process with open
    /// connections then panics at its end.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task).detach();
    }

    /// Runs the host's tasks until `main` completes.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        self.tasks.run(main).await
    }

    /// Returns the monotonic time.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// Borrows the router. The borrow must not be held across an `await`.
    pub fn router(&self) -> RefMut<'_, Router> {
        self.router.borrow_mut()
    }

    /// Returns the recorder of log events and metrics.
    #[must_use]
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Returns the phase of the host.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Starts leaving: each connection is closed after the next request that starts on it.
    pub fn leave(&self) {
        self.phase.set(Phase::Leaving);
    }

    /// Accepts only requests whose deadline is not after `end` from now on.
    pub fn drain(&self, end: Duration) {
        self.phase.set(Phase::Draining { end });
    }

    /// Waits until there are a configuration and endpoints, for a short time after the start
    /// of the host.
    pub(crate) async fn wait_until_configured(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let end = self.started + self.timeouts.startup_wait;
        while !self.is_configured() && self.now() < end {
            sleep(POLL_INTERVAL).await;
        }
    }

    fn is_configured(&self) -> bool {
        let router = self.router();
        router.config().is_some() && !router.directory().is_empty()
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }

    /// Returns the number of open connections from callers.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Closes connections to endpoints that have been idle for too long to be reused.
    pub fn sweep(&self) {
        self.pool
            .sweep(self.now(), self.timeouts.idempotent_max_idle);
    }

    pub(crate) fn track_connection(self: &Rc<Self>) -> CountGuard<'_> {
        CountGuard::increment(&self.open_connections)
    }

    pub(crate) fn track_request(&self) -> CountGuard<'_> {
        CountGuard::increment(&self.active_requests)
    }
}

/// Keeps a counter incremented by one until dropped.
pub(crate) struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn increment(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
