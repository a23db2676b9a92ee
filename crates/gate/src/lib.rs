//! What callers and operators send and receive, parsed at the edge.
