//! What the tasks of a host share.

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
use telemetry::Recorder;

use crate::pool::Pool;
use crate::{Dialect, Timing};

/// What the tasks of a host share. They run on one thread, and none holds a
/// borrow across a wait.
pub struct Node<D> {
    pub(crate) dialect: D,
    pub(crate) recorder: Rc<Recorder>,
    pub(crate) timing: Timing,
    pub(crate) pool: Pool,
    /// The endpoints that are being asked whether they have ended.
    pub(crate) asked: RefCell<HashSet<Key>>,
    tasks: LocalExecutor<'static>,
    clock: Arc<dyn Clock>,
    started: Duration,
    router: RefCell<Router>,
    phase: Cell<Phase>,
    open: Cell<usize>,
    busy: Cell<usize>,
}

/// Where a host is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was asked to stop and still serves, since callers that keep an older
    /// list of addresses still come.
    Leaving,
    /// It takes only requests that end before it does, and finishes those that
    /// it has.
    Finishing {
        /// When the process ends at the latest.
        end: Duration,
    },
}

impl<D: Dialect> Node<D> {
    /// A host that knows nothing yet.
    #[must_use]
    pub fn new(
        router: Router,
        dialect: D,
        recorder: Rc<Recorder>,
        timing: Timing,
        clock: Arc<dyn Clock>,
    ) -> Rc<Self> {
        Rc::new(Self {
            dialect,
            recorder,
            timing,
            pool: Pool::default(),
            asked: RefCell::default(),
            tasks: LocalExecutor::new(),
            started: clock.now(),
            clock,
            router: RefCell::new(router),
            phase: Cell::new(Phase::Serving),
            open: Cell::new(0),
            busy: Cell::new(0),
        })
    }

    /// Starts a task on the host's thread. It ends with the process at the latest.
    ///
    /// The tasks are the node's own: those of `async_std::task::spawn_local` lie
    /// in a thread's local storage and are dropped when parts of that storage
    /// are gone already, so that a process with open connections ends by a panic.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task).detach();
    }

    /// Runs the host's tasks until `main` ends.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        self.tasks.run(main).await
    }

    /// Monotonic time.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    /// The decisions. Not to be held across a wait.
    pub fn router(&self) -> RefMut<'_, Router> {
        self.router.borrow_mut()
    }

    /// What logs and counts.
    #[must_use]
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Where the host is in its life.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Begins to leave: answers tell callers to connect elsewhere.
    pub fn leave(&self) {
        self.phase.set(Phase::Leaving);
    }

    /// Takes only requests from now on that end before the process does.
    pub fn finish(&self, end: Duration) {
        self.phase.set(Phase::Finishing { end });
    }

    /// Waits, while the host has only just started, until it knows a configuration and
    /// endpoints.
    pub(crate) async fn settle(&self) {
        const LOOK: Duration = Duration::from_millis(10);
        let end = self.started + self.timing.start;
        while !self.knows_where() && self.now() < end {
            sleep(LOOK).await;
        }
    }

    fn knows_where(&self) -> bool {
        let router = self.router();
        router.config().is_some() && !router.directory().is_empty()
    }

    /// Requests that are between their head and the end of their answer.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Callers' connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Forgets idle connections that are too old to be used.
    pub fn sweep(&self) {
        self.pool.sweep(self.now(), self.timing.idle);
    }

    pub(crate) fn count_open(self: &Rc<Self>) -> Count<'_> {
        Count::up(&self.open)
    }

    pub(crate) fn count_busy(&self) -> Count<'_> {
        Count::up(&self.busy)
    }
}

/// One of a number of things, until it is dropped.
pub(crate) struct Count<'a>(&'a Cell<usize>);

impl<'a> Count<'a> {
    fn up(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
