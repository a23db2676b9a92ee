//! The decision core measured against small fakes and baselines on a virtual clock.
