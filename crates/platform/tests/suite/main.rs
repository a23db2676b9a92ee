//! Tests of the circuit and the row keys, which are pure, and of the clients
//! against scripted services.

mod calls;
mod circuit;
mod row;
