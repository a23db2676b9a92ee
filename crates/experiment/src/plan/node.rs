/// What a plan does next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Node {
    /// Delivers the answer of the choice asked in this place, counted from zero.
    Deliver(usize),
    /// Asks a choice and goes on by the step of its confidence.
    Ask { choice: usize, then: Vec<Node> },
}
