//! The system clock with an offset that a session can increase.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::{Clock, SystemClock};

#[derive(Debug, Default)]
pub(crate) struct ShiftedClock {
    system: SystemClock,
    offset_ms: AtomicU64,
}

impl ShiftedClock {
    pub(crate) fn advance(&self, by: Duration) {
        let ms = u64::try_from(by.as_millis()).unwrap();
        self.offset_ms.fetch_add(ms, Ordering::SeqCst);
    }

    fn offset(&self) -> Duration {
        Duration::from_millis(self.offset_ms.load(Ordering::SeqCst))
    }
}

impl Clock for ShiftedClock {
    fn now(&self) -> Duration {
        self.system.now() + self.offset()
    }

    fn wall(&self) -> Duration {
        self.system.wall() + self.offset()
    }
}
