//! Chores: demo, load, experiment, capacity and soak.

fn main() {}
