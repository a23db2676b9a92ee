//! Random faults.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{HOSTS, span};
use crate::sim::{Mode, Power, World};

/// A fault. Hosts are given by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize, Duration),
    Drain(usize),
    Cut(usize, usize, Duration),
    CutOff(usize, Duration),
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
            4 => Self::Cut(host, other, long),
            5 => Self::CutOff(host, long),
            6 => Self::TableOut(long),
            7 => Self::TableHangs(long),
            8 => Self::TableLoses(count),
            _ => Self::TableLate(count),
        }
    }

    /// The duration of the fault, if it has one.
    pub(super) fn end(&self) -> Option<Duration> {
        match *self {
            Self::Freeze(_, span)
            | Self::Cut(_, _, span)
            | Self::CutOff(_, span)
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
                if world.hosts[host].power == Power::On {
                    world.drain(host);
                }
            }
            Self::Cut(host, other, _) => world.cut(host, other),
            Self::CutOff(host, _) => {
                for other in (0..world.hosts.len()).filter(|it| *it != host) {
                    world.cut(host, other);
                }
            }
            Self::TableOut(_) => world.table.mode = Mode::Out,
            Self::TableHangs(_) => world.table.mode = Mode::Hanging,
            Self::TableLoses(count) => world.table.lose = count,
            Self::TableLate(count) => world.table.late = count,
        }
    }

    pub(super) fn finish(&self, world: &mut World) {
        match *self {
            Self::Freeze(host, _) => world.thaw(host),
            Self::Cut(..) | Self::CutOff(..) => world.mend(),
            Self::TableOut(_) | Self::TableHangs(_) => world.table.mode = Mode::Fine,
            _ => {}
        }
    }
}

/// Ends all faults.
pub(super) fn mend(world: &mut World) {
    world.table.mode = Mode::Fine;
    world.table.lose = 0;
    world.table.late = 0;
    world.mend();
    for host in 0..world.hosts.len() {
        world.thaw(host);
    }
}
