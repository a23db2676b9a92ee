//! At-most-once execution and billing, as a pure core.
