//! Tests of the decider through its public interface: scripts of events with the
//! expected actions, and properties of arbitrary sequences of events.

mod fleet;
mod print;
mod properties;
mod script;
mod scripts;
