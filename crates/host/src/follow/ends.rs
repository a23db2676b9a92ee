//! Follows which requests are found to end endpoints, and has the others told.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use telemetry::{Event, Value};

use crate::Store;
use crate::life::Life;

/// How often it is looked for such requests. Endpoints end within a tenth of a second
/// under them, and each goes on ending them until all hosts know.
const LOOK: Duration = Duration::from_millis(50);

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
