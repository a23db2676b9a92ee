//! Follows which requests are found to end endpoints: has the others told, and the store
//! keep them for the case that all hosts start again.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use telemetry::{Event, Value};

use crate::life::Life;
use crate::{Backoff, Store, say};

/// How often it is looked for such requests. Endpoints end within a tenth of a second
/// under them, and each goes on ending them until all hosts know.
const LOOK: Duration = Duration::from_millis(100);
/// How often it is looked for what the store is to keep.
const KEEP_LOOK: Duration = Duration::from_millis(500);
/// How much longer each host waits than the one before it until it writes: the first one
/// does, and the others hear of it.
const TURN: Duration = Duration::from_millis(400);
/// The most turns that a host waits.
const MOST_TURNS: usize = 8;

pub(crate) async fn follow<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    loop {
        sleep(LOOK).await;
        let (has_news, caught) = {
            let mut router = life.node.router();
            let quarantine = router.quarantine();
            (quarantine.take_news(), quarantine.take_caught())
        };
        for (print, ends) in caught {
            life.recorder().say(
                Event::RequestHeld,
                &[
                    ("print", Value::Text(&print)),
                    ("ends", Value::Count(ends as u64)),
                ],
            );
        }
        if has_news {
            life.hurry();
        }
    }
}

/// Has the store keep what is held, and no longer what isn't.
pub(crate) async fn keep<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    let mut backoff = Backoff::default();
    loop {
        sleep(KEEP_LOOK).await;
        let released = life.node.router().quarantine().take_released();
        if !released.is_empty() && life.rank() == 0 {
            let began = life.node.now();
            let done = life.store.release(&released).await;
            // A row that stays is read by hosts that start, which let it go in their turn.
            say::store(&life, "release", began, &done);
        }
        if life.node.router().quarantine().unkept().is_empty() {
            continue;
        }
        let turns = u32::try_from(life.rank().min(MOST_TURNS)).unwrap_or_default();
        sleep(TURN * turns).await;
        let unkept = life.node.router().quarantine().unkept();
        if unkept.is_empty() {
            continue;
        }
        let began = life.node.now();
        let done = life.store.hold(&unkept).await;
        say::store(&life, "hold", began, &done);
        if done.is_ok() {
            backoff.reset();
            let now = life.node.now();
            life.node.router().quarantine().keep(now, &unkept);
        } else {
            life.back_off(&mut backoff).await;
        }
    }
}
