//! Envoy's rate limit service, v3, as published: packages, field numbers and enums are those of
//! `envoy/service/ratelimit/v3/rls.proto` and of what it imports. Only what clients and servers of this service
//! use is here; unknown fields are passed over, as protobuf has it.

mod channel;
pub mod envoy;

pub use channel::{never_processed, Channel, LocalExecutor};
pub use envoy::config::core::v3::HeaderValue;
pub use envoy::extensions::common::ratelimit::v3::{rate_limit_descriptor::Entry, RateLimitDescriptor};
pub use envoy::service::ratelimit::v3::rate_limit_response::{
    rate_limit::Unit, Code, DescriptorStatus, RateLimit,
};
pub use envoy::service::ratelimit::v3::rate_limit_service_client::RateLimitServiceClient;
pub use envoy::service::ratelimit::v3::rate_limit_service_server::{
    RateLimitService, RateLimitServiceServer,
};
pub use envoy::service::ratelimit::v3::{RateLimitRequest, RateLimitResponse};
pub use prost_types::Duration;

/// The definitions themselves, for server reflection.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/ratelimit.bin"));
