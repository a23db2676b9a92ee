//! The entry host daemon.

fn main() {}
