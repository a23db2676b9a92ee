/// The chance of a good answer to easy and to hard requests of a class.
///
/// How hard a request is is the same for each version, so that a strong
/// version's answer to what a weak one failed at is no fresh draw.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Skill {
    pub(crate) easy: f64,
    pub(crate) hard: f64,
}

impl Skill {
    pub(crate) const fn new(easy: f64, hard: f64) -> Self {
        Self { easy, hard }
    }

    pub(crate) fn at(self, hard: bool) -> f64 {
        if hard { self.hard } else { self.easy }
    }

    /// The skill that is left when a share of the answers is bad by a fault.
    pub(crate) fn damaged(self, share: f64) -> Self {
        Self {
            easy: self.easy * (1.0 - share),
            hard: self.hard * (1.0 - share),
        }
    }
}
