//! Errors as problem details (RFC 9457).

use crate::store::{Error, Revision};
use serde::Serialize;
use std::num::NonZeroU64;
use utoipa::ToSchema;
use violetyoke_ownership::Epoch;
use violetyoke_tenants::model::FieldError;

/// What went wrong, `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Serialize, ToSchema)]
pub(crate) struct Problem {
    /// Names the kind: `/problems/KIND`.
    #[serde(rename = "type")]
    pub(crate) kind: String,
    pub(crate) title: String,
    pub(crate) status: u16,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) errors: Vec<FieldError>,
    /// What the thing is at now, where the caller has seen another version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) current_version: Option<Revision>,
    /// The newest epoch, where a write was under an older one.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<u64>)]
    pub(crate) newest: Option<NonZeroU64>,
    /// Seconds after which to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after: Option<f64>,
}

impl Problem {
    /// A problem of this HTTP status and kind.
    pub(crate) fn new(status: u16, kind: &str, title: impl Into<String>) -> Problem {
        let (kind, title) = (format!("/problems/{kind}"), title.into());
        Problem {
            kind,
            title,
            status,
            errors: Vec::new(),
            current_version: None,
            newest: None,
            retry_after: None,
        }
    }

    /// What the path names does not exist, or not for the caller.
    pub(crate) fn not_found() -> Problem {
        Problem::new(404, "not-found", "there is no such thing")
    }

    /// Fields of the request that are not valid.
    pub(crate) fn invalid(errors: Vec<FieldError>) -> Problem {
        Problem { errors, ..Problem::new(422, "invalid", "fields are wrong") }
    }

    /// One field of the request that is not valid.
    pub(crate) fn field(field: &str, reason: impl Into<String>) -> Problem {
        Problem::invalid(vec![FieldError::new(field, reason)])
    }

    /// A body that is not JSON of the expected type. `path` is where in it, `.` for the whole.
    pub(crate) fn unreadable_body(path: &str, error: &serde_json::Error) -> Problem {
        let text = error.to_string();
        let named = text.split('`').nth(1).filter(|_| error.is_data());
        let missing = text.starts_with("missing field");
        let field = match (path, named) {
            _ if !error.is_data() => "body".to_string(),
            (".", named) => named.unwrap_or("body").to_string(),
            (path, Some(named)) if missing => format!("{path}.{named}"),
            (path, _) => path.to_string(),
        };
        Problem {
            errors: vec![FieldError::new(field, text)],
            ..Problem::new(400, "unreadable", "the body is not readable")
        }
    }

    /// A write under a lease that is not the newest grant.
    pub(crate) fn fenced(newest: Epoch) -> Problem {
        let errors = vec![FieldError::new("epoch", format!("a newer one has been given out: {newest}"))];
        Problem {
            errors,
            newest: NonZeroU64::new(newest.0.max(1)),
            ..Problem::new(409, "fenced", "the lease is another's")
        }
    }

    /// What is to be created exists, at this version.
    pub(crate) fn exists(title: String, version: Revision) -> Problem {
        Problem { current_version: Some(version), ..Problem::new(409, "exists", title) }
    }

    /// A change of what was changed since the caller has read it.
    pub(crate) fn changed(now: Revision) -> Problem {
        let title = "it has been changed since it was read";
        Problem { current_version: Some(now), ..Problem::new(412, "changed", title) }
    }

    /// A failure of the control plane itself.
    pub(crate) fn internal(reason: impl Into<String>) -> Problem {
        Problem::new(500, "failed", reason)
    }
}

impl From<Error> for Problem {
    fn from(error: Error) -> Problem {
        Problem::internal(error.to_string())
    }
}
