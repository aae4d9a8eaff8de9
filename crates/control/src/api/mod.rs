//! The administration API, `/v1`. Each endpoint is one row of [`ENDPOINTS`]: the router, what a key may do, and the
//! OpenAPI page are made from that table, so nothing can be reached that is not in it. Handlers are plain functions
//! of a [`Call`]; [`http`] brings them on the wire.

mod app;
mod creation;
mod endpoint;
mod endpoints;
mod findings;
mod http;
mod keys;
mod leases;
mod openapi;
mod problem;
mod resources;
mod roles;
mod snapshots;
mod sweep;
mod tenants;
mod usage;
mod wire;

pub use app::{App, Options};
pub use endpoint::{Access, Endpoint};
pub use endpoints::{openapi, ENDPOINTS};
pub use http::serve;
pub use problem::Problem;
pub(crate) use tenants::purge;

use crate::keys::Role;
use crate::store::{Author, Read, Revision, Store, Writes};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;
use violetyoke_tenants::model::{Resource, State, StoredTenant};

/// Who calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// The key's id.
    pub id: String,
    pub role: Role,
}

/// One call, as handlers see it.
pub struct Call<'a> {
    pub app: &'a App,
    pub caller: Caller,
    pub path: String,
    pub params: BTreeMap<String, String>,
    pub query: BTreeMap<String, String>,
    /// Versions of `If-Match`; `Some` of none: `*`.
    pub if_match: Option<Vec<Revision>>,
    pub if_none_match: Option<Revision>,
    pub idempotency_key: Option<String>,
    pub body: &'a [u8],
    /// Unix time in milliseconds.
    pub now: u64,
}

/// What a handler answers.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Option<Value>,
    /// The version, for `ETag`.
    pub version: Option<Revision>,
    pub location: Option<String>,
    pub wait: Wait,
}

/// Nothing new yet: to be asked again when something has changed, as long as the client waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    No,
    /// For a change of the store.
    Change,
    /// For a lease that may have become available.
    Lease,
}

impl Answer {
    pub fn ok(body: Value) -> Answer {
        Answer { status: 200, body: Some(body), version: None, location: None, wait: Wait::No }
    }

    pub fn none() -> Answer {
        Answer { status: 204, body: None, version: None, location: None, wait: Wait::No }
    }

    fn at(self, version: Revision) -> Answer {
        Answer { version: Some(version), ..self }
    }
}

pub type Outcome = Result<Answer, Problem>;

/// What a transaction came to: what is written and answered, or why not.
type Decided = Result<(Writes, Answer), Problem>;

impl Call<'_> {
    fn store(&self) -> &dyn Store {
        &*self.app.store
    }

    fn param(&self, name: &str) -> &str {
        self.params.get(name).map_or("", String::as_str)
    }

    fn author(&self) -> Author {
        Author { who: self.caller.id.clone(), at: self.now }
    }

    /// Reads that belong together.
    fn read<T>(&self, look: impl Fn(&dyn Read) -> Result<T, Problem>) -> Result<T, Problem> {
        let mut outcome = None;
        self.store().view(&mut |read| {
            outcome = Some(look(read));
            Ok(())
        })?;
        outcome.unwrap_or_else(|| Err(Problem::failed("the store did nothing")))
    }

    /// One transaction: what `decide` returns is done whole, or nothing is. The answer gets the version.
    fn change(&self, decide: impl Fn(&dyn Read) -> Decided) -> Outcome {
        let mut outcome = Err(Problem::failed("the store did nothing"));
        let revision = self.store().transact(&self.author(), &mut |read| match decide(read) {
            Ok((writes, answer)) => {
                outcome = Ok(answer);
                Ok(Some(writes).and_then(Writes::non_empty))
            }
            Err(problem) => {
                outcome = Err(problem);
                Ok(None)
            }
        })?;
        let answer = outcome?;
        if let Some(revision) = revision {
            self.app.announce_revision(revision);
            let versioned = answer.version.is_some();
            return Ok(if versioned { answer.at(revision) } else { answer });
        }
        Ok(answer)
    }

    /// Refuses where the caller has seen another version, or none.
    fn must_match(&self, now: Revision) -> Result<(), Problem> {
        match &self.if_match {
            None => Err(Problem::new(
                428,
                "precondition-required",
                "If-Match is missing: the ETag that was read, or *",
            )),
            Some(versions) if versions.is_empty() || versions.contains(&now) => Ok(()),
            Some(_) => Err(Problem::changed(now)),
        }
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T, Problem> {
        let mut reader = serde_json::Deserializer::from_slice(self.body);
        let read = serde_path_to_error::deserialize(&mut reader);
        let value = read.map_err(|error| Problem::body(&error.path().to_string(), error.inner()))?;
        reader.end().map_err(|error| Problem::body(".", &error))?;
        Ok(value)
    }

    /// A resource from the body, checked.
    fn resource<R: Resource>(&self) -> Result<R, Problem> {
        let resource: R = self.json()?;
        checked(resource)
    }

    /// A whole number of the query; none if it is not there.
    fn number_in_query(&self, field: &str) -> Result<Option<u64>, Problem> {
        let number = self.query.get(field).map(|text| text.parse::<u64>()).transpose();
        number.map_err(|_| Problem::field(field, "must be a whole number"))
    }

    /// Page of a list: where it begins and how long it is.
    fn page(&self) -> Result<(String, usize), Problem> {
        let limit = match self.query.get("limit").map(|text| text.parse::<usize>()) {
            None => 100,
            Some(Ok(limit)) if (1..=1_000).contains(&limit) => limit,
            Some(_) => return Err(Problem::field("limit", "must be 1 to 1000")),
        };
        Ok((self.query.get("after").cloned().unwrap_or_default(), limit))
    }
}

impl Answer {
    fn maybe(self, version: Option<Revision>) -> Answer {
        Answer { version, ..self }
    }
}

fn checked<R: Resource>(resource: R) -> Result<R, Problem> {
    let faults = resource.check();
    if faults.is_empty() {
        Ok(resource)
    } else {
        Err(Problem::faults(faults))
    }
}

fn value<T: serde::Serialize>(what: &T) -> Result<Value, Problem> {
    serde_json::to_value(what).map_err(|error| Problem::failed(error.to_string()))
}

fn stored<T: DeserializeOwned>(body: Value) -> Result<T, Problem> {
    serde_json::from_value(body)
        .map_err(|error| Problem::failed(format!("the store holds what is none: {error}")))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A tenant that is there, and its version.
fn tenant(read: &dyn Read, name: &str) -> Result<(StoredTenant, Revision), Problem> {
    let document = read.get(&format!("tenants/{name}"))?.ok_or_else(Problem::not_found)?;
    Ok((stored(document.body)?, document.version))
}

/// A tenant whose things may be changed: it is not draining.
fn active(read: &dyn Read, name: &str) -> Result<StoredTenant, Problem> {
    let (tenant, _) = tenant(read, name)?;
    match tenant.state {
        State::Active => Ok(tenant),
        State::Draining { .. } => {
            Err(Problem::new(409, "draining", "the tenant is draining: restore it first"))
        }
    }
}
