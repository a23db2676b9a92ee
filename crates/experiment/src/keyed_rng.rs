/// A stateless random number generator, keyed by purpose, request and another index such as the
/// version.
///
/// The same key gives the same number, whatever was drawn before. The draws of a request's
/// difficulty, quality and confidence have the same keys under every router, so they don't add
/// noise to the comparison (common random numbers).
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyedRng {
    seed: u64,
}

/// The use of a random number. Each purpose has its own independent sequence.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Purpose {
    Quality = 1,
    Confidence,
    Fault,
    Difficulty,
    Rating,
    RatingFlip,
    Delay,
    Choice,
    Host,
    Plan,
    FlippedShare,
}

impl KeyedRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// Returns a number in `0.0..1.0`.
    pub(crate) fn draw(self, purpose: Purpose, request: usize, other: usize) -> f64 {
        let request = u64::try_from(request).unwrap_or(u64::MAX);
        let other = u64::try_from(other).unwrap_or(u64::MAX);
        let mut bits = mix(self.seed ^ mix(purpose as u64));
        bits = mix(bits ^ request.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        bits = mix(bits ^ other.wrapping_mul(0xD1B5_4A32_D192_ED03));
        unit(bits)
    }
}

/// The finalizer of `SplitMix64`.
fn mix(mut bits: u64) -> u64 {
    bits = bits.wrapping_add(0x9E37_79B9_7F4A_7C15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}

/// Maps the upper 32 bits to `0.0..1.0`.
fn unit(bits: u64) -> f64 {
    let high = u32::try_from(bits >> 32).unwrap_or(u32::MAX);
    f64::from(high) / (f64::from(u32::MAX) + 1.0)
}
