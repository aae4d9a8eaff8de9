//! One proxy in virtual time, between scripted registries and backends.

#![cfg(test)]

mod metrics;
mod partitions;
mod response_matching;
mod retry_safety;
mod support;
