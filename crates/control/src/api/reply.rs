//! What handlers return.

use super::problem::Problem;
use crate::store::{Revision, Writes};
use serde_json::Value;

/// A successful response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reply {
    pub(super) status: u16,
    pub(super) body: Option<Value>,
    /// The version, for `ETag`.
    pub(super) version: Option<Revision>,
    pub(super) location: Option<String>,
    pub(super) wait_for: WaitFor,
}

/// What to wait for before the handler runs again, as long as the client waits. [`WaitFor::Nothing`]: the reply is
/// final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitFor {
    Nothing,
    /// A change of the store.
    StoreChange,
    /// A lease that may have become available.
    Lease,
}

/// What a handler returns.
pub(crate) type HandlerResult = Result<Reply, Problem>;

/// What a handler decides in a transaction: what is written and the reply, or why nothing is.
pub(super) type Decision = Result<(Writes, Reply), Problem>;

impl Reply {
    /// 200 with a body.
    pub(super) fn ok(body: Value) -> Reply {
        Reply { status: 200, body: Some(body), ..Reply::no_content() }
    }

    /// 201 with a body, for what is at `location` now.
    pub(super) fn created(body: Value, location: String) -> Reply {
        Reply { status: 201, location: Some(location), ..Reply::ok(body) }
    }

    /// 204.
    pub(super) fn no_content() -> Reply {
        Reply { status: 204, body: None, version: None, location: None, wait_for: WaitFor::Nothing }
    }

    /// 304, unless what is waited for comes in time.
    pub(super) fn not_modified(wait_for: WaitFor) -> Reply {
        Reply { status: 304, wait_for, ..Reply::no_content() }
    }

    pub(super) fn with_version(self, version: Revision) -> Reply {
        Reply { version: Some(version), ..self }
    }
}
