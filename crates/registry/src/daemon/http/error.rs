//! Why a call of the HTTP API fails, and the response to it.

use hyper::StatusCode;
use violetyoke_api::ValidationError;

/// Why a call fails. The text of each begins with the field that is at fault; clients get both.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApiError {
    #[error("call: is none that this address takes")]
    UnknownCall,
    /// The call is one of the system's, and another process takes it.
    #[error("call: is not taken here")]
    OtherProcess,
    /// A configuration or a parameter is not valid.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    /// The body could not be received, or is too large.
    #[error("document: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// Another text was accepted under the version. This text has no effect, also if it is sent again.
    #[error("version: {version} was accepted with another text")]
    VersionConflict { version: u64 },
    #[error("configuration: none was ever sent")]
    NotConfigured,
    /// No store has answered in time.
    #[error("order: no store has answered: it may be in force or may not")]
    OutcomeUnknown,
    #[error("addresses: no ingress is ready")]
    NoReadyProxy,
}

impl ApiError {
    pub(super) fn status(&self) -> StatusCode {
        match self {
            ApiError::UnknownCall | ApiError::OtherProcess | ApiError::NotConfigured => StatusCode::NOT_FOUND,
            ApiError::Invalid(_) => StatusCode::BAD_REQUEST,
            ApiError::Body(_) => StatusCode::PAYLOAD_TOO_LARGE,
            ApiError::VersionConflict { .. } => StatusCode::CONFLICT,
            ApiError::OutcomeUnknown | ApiError::NoReadyProxy => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The JSON document that the client gets.
    pub(super) fn body(&self) -> String {
        serde_json::json!({ "error": self.to_string(), "field": self.field() }).to_string()
    }

    /// The time (s) after which to repeat the call, if repeating may help.
    pub(super) fn retry_after(&self) -> Option<&'static str> {
        matches!(self, ApiError::OutcomeUnknown).then_some("0.2")
    }

    fn field(&self) -> &str {
        match self {
            ApiError::UnknownCall | ApiError::OtherProcess => "call",
            ApiError::Invalid(error) => &error.field,
            ApiError::Body(_) => "document",
            ApiError::VersionConflict { .. } => "version",
            ApiError::NotConfigured => "configuration",
            ApiError::OutcomeUnknown => "order",
            ApiError::NoReadyProxy => "addresses",
        }
    }
}
