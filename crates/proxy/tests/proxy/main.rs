//! Tests of one proxy in virtual time, with scripted registries and backends.

#![cfg(test)]

mod client_disconnects;
mod connections;
mod control_updates;
mod metrics;
mod numbers_in_configurations;
mod numbers_in_responses;
mod operation_ends;
mod operation_registries;
mod operations;
mod overload;
mod partitions;
mod preconnect;
mod quota;
mod response_matching;
mod retry_safety;
mod splits;
mod support;
