//! Envoy's rate limit service, version 3: messages, client and server.
//!
//! Packages, field numbers and enums are those of `envoy/service/ratelimit/v3/rls.proto` and of what it imports. The
//! definitions in `proto` have only what clients and servers of this service use; unknown fields are passed over, as
//! protobuf has it. What a request means, and how it is answered, is decided in `violetyoke_ratelimit`.
//!
//! A client needs a transport: [`Channel`] is one HTTP/2 connection without reconnection and without retries.
//!
//! ```
//! use violetyoke_ratelimit_proto::{Entry, RateLimitDescriptor, RateLimitRequest};
//!
//! let entry = Entry { key: "account".into(), value: "customer-1".into() };
//! let descriptor = RateLimitDescriptor { entries: vec![entry], ..RateLimitDescriptor::default() };
//! let request = RateLimitRequest { domain: "bookings".into(), descriptors: vec![descriptor], hits_addend: 1 };
//! assert_eq!(request.descriptors[0].entries[0].key, "account");
//! ```

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

/// The definitions as an encoded `FileDescriptorSet`, for server reflection.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/ratelimit.bin"));
