//! Random faults.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{HOSTS, span};
use crate::sim::{Mode, RunState, World};

/// A fault. Hosts are given by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize, Duration),
    Drain(usize),
    Disconnect(usize, usize, Duration),
    Isolate(usize, Duration),
    TableOut(Duration),
    TableHangs(Duration),
    TableLoses(u32),
    TableLate(u32),
}

impl Fault {
    pub(super) fn draw(rng: &mut Pcg64Mcg) -> Self {
        let host = rng.random_range(0..HOSTS.len());
        let other = (host + rng.random_range(1..HOSTS.len())) % HOSTS.len();
        let long = span(rng, Duration::from_secs(1), Duration::from_secs(50));
        let count = rng.random_range(1..12);
        match rng.random_range(0..10) {
            0 => Self::Kill(host),
            1 => Self::Restart(host),
            2 => Self::Freeze(host, long),
            3 => Self::Drain(host),
            4 => Self::Disconnect(host, other, long),
            5 => Self::Isolate(host, long),
            6 => Self::TableOut(long),
            7 => Self::TableHangs(long),
            8 => Self::TableLoses(count),
            _ => Self::TableLate(count),
        }
    }

    /// The duration of the fault, if it has one.
    pub(super) fn duration(&self) -> Option<Duration> {
        match *self {
            Self::Freeze(_, span)
            | Self::Disconnect(_, _, span)
            | Self::Isolate(_, span)
            | Self::TableOut(span)
            | Self::TableHangs(span) => Some(span),
            Self::Kill(_)
            | Self::Restart(_)
            | Self::Drain(_)
            | Self::TableLoses(_)
            | Self::TableLate(_) => None,
        }
    }

    pub(super) fn begin(&self, world: &mut World) {
        match *self {
            Self::Kill(host) => world.kill(host),
            Self::Restart(host) => {
                world.kill(host);
                world.restart(host);
            }
            Self::Freeze(host, _) => world.freeze(host),
            Self::Drain(host) => {
                if world.hosts[host].run_state == RunState::Running {
                    world.drain(host);
                }
            }
            Self::Disconnect(host, other, _) => world.disconnect(host, other),
            Self::Isolate(host, _) => {
                for other in (0..world.hosts.len()).filter(|it| *it != host) {
                    world.disconnect(host, other);
                }
            }
            Self::TableOut(_) => world.table.mode = Mode::Out,
            Self::TableHangs(_) => world.table.mode = Mode::Hanging,
            Self::TableLoses(count) => world.table.lost_responses = count,
            Self::TableLate(count) => world.table.late_writes = count,
        }
    }

    pub(super) fn finish(&self, world: &mut World) {
        match *self {
            Self::Freeze(host, _) => world.thaw(host),
            Self::Disconnect(..) | Self::Isolate(..) => world.reconnect(),
            Self::TableOut(_) | Self::TableHangs(_) => world.table.mode = Mode::Fine,
            _ => {}
        }
    }
}

/// Ends all faults.
pub(super) fn end_all(world: &mut World) {
    world.table.mode = Mode::Fine;
    world.table.lost_responses = 0;
    world.table.late_writes = 0;
    world.reconnect();
    for host in 0..world.hosts.len() {
        world.thaw(host);
    }
}
