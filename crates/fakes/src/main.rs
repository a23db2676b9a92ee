//! Stand-ins for the platform, the engines and plain services.

fn main() {}
