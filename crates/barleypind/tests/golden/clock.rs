//! The system clock with an offset that a session can increase.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::{Clock, SystemClock};

#[derive(Debug, Default)]
pub(crate) struct Shifted {
    system: SystemClock,
    ahead_ms: AtomicU64,
}

impl Shifted {
    pub(crate) fn advance(&self, by: Duration) {
        let ms = u64::try_from(by.as_millis()).unwrap();
        self.ahead_ms.fetch_add(ms, Ordering::SeqCst);
    }

    fn ahead(&self) -> Duration {
        Duration::from_millis(self.ahead_ms.load(Ordering::SeqCst))
    }
}

impl Clock for Shifted {
    fn now(&self) -> Duration {
        self.system.now() + self.ahead()
    }

    fn wall(&self) -> Duration {
        self.system.wall() + self.ahead()
    }
}
