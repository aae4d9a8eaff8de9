//! Model checking of the production consensus replica: an explicit-state checker (`stateright`) explores every order of
//! events up to a depth.
//!
//! Each model is run unchanged, where no acknowledged command may be lost, and without one of the checks of the
//! algorithm, where the checker must find the loss that the check prevents.

#![cfg(test)]
#![allow(unreachable_pub, reason = "support modules are public to the tests")]

mod explore;
mod message_sizes;
mod reconfiguration;
mod reconfiguration_tests;
mod replication;
mod replication_tests;
mod system;
