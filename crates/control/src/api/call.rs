//! One call of an endpoint, as handlers see it.

use super::app::App;
use super::documents::validated;
use super::problem::Problem;
use super::reply::{Decision, HandlerResult};
use crate::keys::KeyRole;
use crate::store::{Author, ReadView, Revision, Store};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use violetyoke_tenants::model::Resource;

/// Items of a page, if the query does not say.
const DEFAULT_PAGE_SIZE: usize = 100;
const MAX_PAGE_SIZE: usize = 1_000;

/// Who calls.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Caller {
    /// The key's id.
    pub(super) id: String,
    pub(super) role: KeyRole,
}

/// The header `If-Match`.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum IfMatch {
    /// `*`.
    Any,
    /// One of these versions.
    Versions(Vec<Revision>),
}

/// The part of a list that is asked for.
pub(super) struct PageQuery {
    /// The last item of the page before; empty for the first page.
    pub(super) after: String,
    /// Most items of the page.
    pub(super) limit: usize,
}

/// One call.
pub(crate) struct Call<'a> {
    pub(super) app: &'a App,
    pub(super) caller: &'a Caller,
    pub(super) path: &'a str,
    /// Parameters of the path.
    pub(super) params: &'a BTreeMap<String, String>,
    pub(super) query: &'a BTreeMap<String, String>,
    pub(super) if_match: Option<&'a IfMatch>,
    pub(super) if_none_match: Option<Revision>,
    pub(super) idempotency_key: Option<&'a str>,
    pub(super) body: &'a [u8],
    /// Unix time in milliseconds.
    pub(super) now: u64,
}

impl Call<'_> {
    pub(super) fn store(&self) -> &dyn Store {
        &*self.app.store
    }

    /// A parameter of the path.
    pub(super) fn param(&self, name: &str) -> &str {
        self.params.get(name).map_or("", String::as_str)
    }

    /// The tenant that the path names, if it names one.
    pub(super) fn tenant_param(&self) -> Option<&str> {
        self.params.get("tenant").map(String::as_str)
    }

    /// The caller, as the author of changes.
    pub(super) fn author(&self) -> Author {
        Author { key_id: self.caller.id.clone(), at_ms: self.now }
    }

    /// Reads of one state of the store.
    pub(super) fn read<T>(&self, look: impl Fn(&dyn ReadView) -> Result<T, Problem>) -> Result<T, Problem> {
        let mut outcome = None;
        self.store().view(&mut |read| {
            outcome = Some(look(read));
            Ok(())
        })?;
        outcome.unwrap_or_else(|| Err(Problem::internal("the store did nothing")))
    }

    /// One transaction: all that `decide` returns is written, or nothing is. A reply with a version gets the new one.
    pub(super) fn transact(&self, decide: impl Fn(&dyn ReadView) -> Decision) -> HandlerResult {
        let mut outcome = Err(Problem::internal("the store did nothing"));
        let revision = self.store().transact(&self.author(), &mut |read| match decide(read) {
            Ok((writes, reply)) => {
                outcome = Ok(reply);
                Ok(writes.non_empty())
            }
            Err(problem) => {
                outcome = Err(problem);
                Ok(None)
            }
        })?;
        let reply = outcome?;
        let Some(revision) = revision else { return Ok(reply) };
        self.app.announce_revision(revision);
        Ok(if reply.version.is_some() { reply.with_version(revision) } else { reply })
    }

    /// Fails if the caller has read another version, or none.
    pub(super) fn require_if_match(&self, version: Revision) -> Result<(), Problem> {
        match self.if_match {
            None => Err(Problem::new(
                428,
                "precondition-required",
                "If-Match is missing: the ETag that was read, or *",
            )),
            Some(IfMatch::Any) => Ok(()),
            Some(IfMatch::Versions(versions)) if versions.contains(&version) => Ok(()),
            Some(IfMatch::Versions(_)) => Err(Problem::changed(version)),
        }
    }

    /// The body, as JSON of this type.
    pub(super) fn parse_body<T: DeserializeOwned>(&self) -> Result<T, Problem> {
        let mut reader = serde_json::Deserializer::from_slice(self.body);
        let parsed = serde_path_to_error::deserialize(&mut reader);
        let value =
            parsed.map_err(|error| Problem::unreadable_body(&error.path().to_string(), error.inner()))?;
        reader.end().map_err(|error| Problem::unreadable_body(".", &error))?;
        Ok(value)
    }

    /// The body, as a valid resource.
    pub(super) fn parse_resource<R: Resource>(&self) -> Result<R, Problem> {
        validated(self.parse_body()?)
    }

    /// A whole number of the query; none if it is not there.
    pub(super) fn number_in_query(&self, field: &str) -> Result<Option<u64>, Problem> {
        let number = self.query.get(field).map(|text| text.parse::<u64>()).transpose();
        number.map_err(|_| Problem::field(field, "must be a whole number"))
    }

    /// The part of a list that the query asks for.
    pub(super) fn page(&self) -> Result<PageQuery, Problem> {
        let limit = match self.query.get("limit").map(|text| text.parse::<usize>()) {
            None => DEFAULT_PAGE_SIZE,
            Some(Ok(limit)) if (1..=MAX_PAGE_SIZE).contains(&limit) => limit,
            Some(_) => return Err(Problem::field("limit", "must be 1 to 1000")),
        };
        Ok(PageQuery { after: self.query.get("after").cloned().unwrap_or_default(), limit })
    }
}
