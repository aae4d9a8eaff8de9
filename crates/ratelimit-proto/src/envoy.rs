//! What prost and tonic generate from the published definitions, under the packages they have there. Their
//! comments are Envoy's; what has none there has none here.

#![allow(
    clippy::allow_attributes_without_reason,
    clippy::too_many_lines,
    missing_docs,
    unused_qualifications,
    reason = "generated code: its shape is the generator's"
)]

pub mod config {
    pub mod core {
        pub mod v3 {
            tonic::include_proto!("envoy.config.core.v3");
        }
    }
}
pub mod extensions {
    pub mod common {
        pub mod ratelimit {
            pub mod v3 {
                tonic::include_proto!("envoy.extensions.common.ratelimit.v3");
            }
        }
    }
}
pub mod service {
    pub mod ratelimit {
        pub mod v3 {
            tonic::include_proto!("envoy.service.ratelimit.v3");
        }
    }
}
pub mod r#type {
    pub mod v3 {
        tonic::include_proto!("envoy.r#type.v3");
    }
}
