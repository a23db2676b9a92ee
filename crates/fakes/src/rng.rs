//! Random numbers that depend only on the seed and on what they are drawn for,
//! so that the order in which requests happen to arrive changes nothing.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The generator for one draw.
pub(crate) fn drawn_for<T: Hash>(seed: u64, what: &T) -> Pcg64Mcg {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    what.hash(&mut hasher);
    Pcg64Mcg::seed_from_u64(hasher.finish())
}
