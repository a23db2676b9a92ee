/// A node of a plan's decision tree.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Node {
    /// Delivers the response of the choice tried at this position, counted from zero.
    Deliver(usize),
    /// Tries a choice and continues at the node for the bin of its confidence.
    Try { choice: usize, by_bin: Vec<Node> },
}
