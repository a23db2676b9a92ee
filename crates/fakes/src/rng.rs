//! Random number generators derived from the seed and a key, so that the draws for a request
//! don't depend on the order in which requests arrive.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Creates the generator for a key.
pub(crate) fn keyed<T: Hash>(seed: u64, key: &T) -> Pcg64Mcg {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    key.hash(&mut hasher);
    Pcg64Mcg::seed_from_u64(hasher.finish())
}
