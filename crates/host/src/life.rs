//! A host from its start to its end.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_std::task::{sleep, spawn_local};
use forward::{Dialect, Front, Node, Observer, Phase};
use kernel::ServiceName;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{Judgement, Member, Members, Store, follow};

/// How often old connections are closed.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// How often a host that leaves looks whether its last request has ended.
const END_PERIOD: Duration = Duration::from_millis(50);

/// A host from its start to its end.
pub struct Life<S, D, O> {
    pub(crate) store: S,
    pub(crate) node: Rc<Node<D, O>>,
    pub(crate) members: RefCell<Members>,
    pub(crate) judgements: RefCell<HashMap<ServiceName, Judgement>>,
    pub(crate) period: Duration,
    own: Member,
    rng: RefCell<Pcg32>,
    answers: Cell<bool>,
}

/// How long a host that was asked to stop still serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving {
    /// Takes new requests.
    pub taking: Duration,
    /// Finishes what it has; then the process ends.
    pub finishing: Duration,
}

impl<S: Store, D: Dialect, O: Observer> Life<S, D, O> {
    /// A host that has not started yet and will renew its entry each `period`.
    #[must_use]
    pub fn new(store: S, node: Rc<Node<D, O>>, own: Member, period: Duration, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            store,
            node,
            members: RefCell::new(Members::new(own.clone(), period)),
            judgements: RefCell::default(),
            period,
            own,
            rng: RefCell::new(Pcg32::seed_from_u64(seed)),
            answers: Cell::new(false),
        })
    }

    /// Starts everything that goes on while the host lives.
    pub fn start(self: &Rc<Self>, front: Front) {
        spawn_local(front.run(Rc::clone(&self.node)));
        self.answers.set(true);
        spawn_local(follow::documents(Rc::clone(self)));
        spawn_local(follow::judgements(Rc::clone(self)));
        spawn_local(follow::endpoints(Rc::clone(self)));
        spawn_local(follow::members(Rc::clone(self)));
        spawn_local(follow::judge(Rc::clone(self)));
        spawn_local(announce(Rc::clone(self)));
        spawn_local(sweep(Rc::clone(&self.node)));
    }

    /// The relay.
    #[must_use]
    pub fn node(&self) -> &Rc<Node<D, O>> {
        &self.node
    }

    /// The hosts.
    #[must_use]
    pub fn members(&self) -> &RefCell<Members> {
        &self.members
    }

    /// Whether callers are to come: the front answers, a configuration and
    /// endpoints are known, and nobody asked the host to stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let router = self.node.router();
        let knows = router.config().is_some() && !router.directory().is_empty();
        self.answers.get() && knows && self.node.phase() == Phase::Serving
    }

    /// Leaves: tells the others, serves those who still come, and returns when
    /// nothing is left or the time is over.
    pub async fn leave(&self, serving: Serving) {
        self.node.enter(Phase::Leaving);
        self.members.borrow_mut().leave();
        // The others notice by the missing renewals, too.
        let _ = self.store.withdraw(&self.own).await;
        sleep(serving.taking).await;
        self.node.enter(Phase::Finishing);
        let end = self.node.now() + serving.finishing;
        while self.node.busy() > 0 && self.node.now() < end {
            sleep(END_PERIOD).await;
        }
    }

    pub(crate) fn chance(&self, below: u64) -> u64 {
        self.rng.borrow_mut().random_range(0..below)
    }
}

async fn announce<S: Store, D: Dialect, O: Observer>(life: Rc<Life<S, D, O>>) {
    let mut own = life.own.clone();
    while life.node.phase() == Phase::Serving {
        if life.is_ready() {
            own.renewal += 1;
            // The next renewal makes up for one that failed.
            let _ = life.store.announce(&own).await;
            sleep(life.period).await;
        } else {
            sleep(END_PERIOD).await;
        }
    }
}

async fn sweep<D: Dialect, O: Observer>(node: Rc<Node<D, O>>) {
    loop {
        sleep(SWEEP_PERIOD).await;
        node.sweep();
    }
}
