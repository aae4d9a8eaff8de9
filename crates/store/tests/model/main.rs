//! The shipped replica in every order of events, to some depth, by an explicit-state model checker (`stateright`).
//!
//! Each model is run as it is, where nothing acknowledged may be lost, and without one of the checks that the algorithm
//! makes, where the loss that the check prevents has to be found.

#![cfg(test)]
#![allow(unreachable_pub, reason = "support modules are public to the tests")]

mod explore;
mod message_sizes;
mod reconfiguration;
mod reconfiguration_tests;
mod replication;
mod replication_tests;
mod system;
