//! The decision module on the simulator's wire. The program `nettlehub-drill` keeps its old name, by which
//! `deploy/balancer.toml` starts it.

pub mod wire;
