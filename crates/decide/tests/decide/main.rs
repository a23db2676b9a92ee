//! The decider, driven from outside like a daemon would: scripts of events with
//! the actions that they have to lead to, and properties that hold for all events.

mod fleet;
mod print;
mod properties;
mod script;
mod scripts;
