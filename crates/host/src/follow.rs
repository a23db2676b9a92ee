//! Follows the store, through the hosts that read it.
//!
//! Each call to the store is paid for, so few hosts read it and tell the others.
//! A host for which what it knows gets too old reads it itself, whatever the
//! reason: every host alone keeps its bounds.

pub(crate) mod documents;
pub(crate) mod endpoints;
pub(crate) mod ends;
pub(crate) mod evacuations;
pub(crate) mod members;
pub(crate) mod verdicts;

use std::time::Duration;

use async_std::channel::Receiver;
use async_std::task::sleep;
use forward::Dialect;
use futures::future::{Either, select};
use futures::pin_mut;
use route::Revision;

use crate::Store;
use crate::life::Life;

/// How long one question for news waits. Each is paid for; a connection that
/// went silent meanwhile is noticed by its keep-alive, see `http`, and a store
/// that did by its other calls. The rest is noticed after this time.
const NEWS_WAIT: Duration = Duration::from_secs(5);
/// The same while no configuration is known, when nothing else is asked of the store:
/// what a reader knows must stay young enough for the others not to ask, too.
const FIRST_NEWS_WAIT: Duration = Duration::from_secs(1);
/// How often a host that doesn't read looks whether it has to.
const LOOK: Duration = Duration::from_millis(100);
/// The same for a host that isn't ready: short against the 30 ms that a start takes
/// to the first answer.
const GLANCE: Duration = Duration::from_millis(5);

/// Whether news of the store since `since` is of another era.
fn is_of_another_era(since: Option<Revision>, news: Revision) -> bool {
    since.is_some_and(|it| it.era != news.era)
}

/// Waits until a configuration is known, from the store or from another host.
///
/// Until then nothing else is of use, and a host that the store turns away would
/// ask it for five things at a time, each of them paid for. One question tells as
/// well when it is back.
pub(crate) async fn configured<S: Store, D: Dialect>(life: &Life<S, D>) {
    while life.node.router().version().is_none() {
        sleep(GLANCE).await;
    }
}

/// Waits until it may be this host's turn to ask the store. What isn't known at all
/// is worth looking at more often.
async fn pause<S: Store, D: Dialect>(life: &Life<S, D>) {
    if life.is_ready() {
        sleep(LOOK).await;
    } else {
        sleep(GLANCE).await;
    }
}

/// What a question to the store gives, or nothing if the store was away
/// meanwhile and the question has to be asked anew.
async fn unless<T>(returned: &Receiver<()>, question: impl Future<Output = T>) -> Option<T> {
    let returned = returned.recv();
    pin_mut!(question, returned);
    match select(question, returned).await {
        Either::Left((answer, _)) => Some(answer),
        Either::Right(_) => None,
    }
}
