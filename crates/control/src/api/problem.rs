//! Errors as problem details (RFC 9457).

use crate::store::{Error, Revision};
use serde::Serialize;
use std::num::NonZeroU64;
use utoipa::ToSchema;
use violetyoke_ownership::Epoch;
use violetyoke_tenants::model::Fault;

/// What went wrong, `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Serialize, ToSchema)]
pub struct Problem {
    /// Names the kind: `/problems/KIND`.
    #[serde(rename = "type")]
    pub kind: String,
    pub title: String,
    pub status: u16,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<Fault>,
    /// What the thing is at now, where the caller has seen another version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub current_version: Option<Revision>,
    /// The newest epoch, where a write was under an older one.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<u64>)]
    pub newest: Option<NonZeroU64>,
    /// Seconds after which to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<f64>,
}

impl Problem {
    pub fn new(status: u16, kind: &str, title: impl Into<String>) -> Problem {
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

    /// Not there, or not for the caller to know of.
    pub fn not_found() -> Problem {
        Problem::new(404, "not-found", "there is no such thing")
    }

    pub fn faults(errors: Vec<Fault>) -> Problem {
        Problem { errors, ..Problem::new(422, "invalid", "fields are wrong") }
    }

    pub fn field(field: &str, reason: impl Into<String>) -> Problem {
        Problem::faults(vec![Fault::new(field, reason)])
    }

    /// A body that is no JSON, or not of the shape: `path` is where in it, `.` for the whole.
    pub fn body(path: &str, error: &serde_json::Error) -> Problem {
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
            errors: vec![Fault::new(field, text)],
            ..Problem::new(400, "unreadable", "the body is not readable")
        }
    }

    /// A write under a lease that is not the newest.
    pub fn fenced(newest: Epoch) -> Problem {
        let errors = vec![Fault::new("epoch", format!("a newer one has been given out: {newest}"))];
        Problem {
            errors,
            newest: NonZeroU64::new(newest.0.max(1)),
            ..Problem::new(409, "fenced", "the lease is another's")
        }
    }

    pub fn changed(now: Revision) -> Problem {
        let title = "it has been changed since it was read";
        Problem { current_version: Some(now), ..Problem::new(412, "changed", title) }
    }

    pub fn failed(reason: impl Into<String>) -> Problem {
        Problem::new(500, "failed", reason)
    }
}

impl From<Error> for Problem {
    fn from(error: Error) -> Problem {
        Problem::failed(error.to_string())
    }
}
