//! `violetyoke tenant`, `plan`, `account`, `route` and `key`: calls of the administration API, printed as a
//! table or as JSON.

use crate::client::{segment, Access, ClientError};
use clap::{Args, Subcommand};
use hyper::Method;
use serde_json::{json, Map, Value};

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    access: Access,
    /// The tenant that the resource belongs to.
    #[arg(long, global = true)]
    tenant: Option<String>,
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Lists all resources.
    List,
    /// Shows a resource.
    Show { name: String },
    /// Creates a resource with FIELD=VALUE: `rate=2.5`, `hosts='["a.example.org"]'`, `plan=basic`.
    Create {
        /// The name; for a key its role (operator, ingress, tenant_admin, tenant_reader).
        name: String,
        fields: Vec<String>,
    },
    /// Changes fields. Fails if the resource is changed by another call at the same time.
    Set { name: String, fields: Vec<String> },
    /// Deletes a resource. A tenant drains before it is deleted.
    Delete { name: String },
    /// Restores a draining tenant.
    Restore { name: String },
    /// Replaces a key. The old key stays valid for the overlap.
    Rotate {
        name: String,
        #[arg(long, default_value_t = 0)]
        overlap_seconds: u64,
    },
}

/// Calls the administration API for resources of one collection, and prints the response.
pub async fn run(collection: &'static str, arguments: Arguments) -> Result<(), ClientError> {
    let Arguments { access, tenant, action } = arguments;
    let client = access.client()?;
    let base = match (collection, &tenant) {
        ("tenants", None) => "/v1/tenants".to_string(),
        ("tenants", Some(_)) => return Err(ClientError::UnexpectedTenant),
        ("keys", None) => "/v1/keys".to_string(),
        (_, None) => return Err(ClientError::MissingTenant),
        (_, Some(tenant)) => format!("/v1/tenants/{}/{collection}", segment(tenant)),
    };
    let path_of = |name: &str| format!("{base}/{}", segment(name));
    let response = match &action {
        Action::List => client.list(&base).await?,
        Action::Show { name } => client.call(Method::GET, &path_of(name), None, None).await?.body,
        Action::Create { name, fields } => {
            let mut body = parse_fields(fields)?;
            let key = if collection == "keys" { "role" } else { "name" };
            body.insert(key.into(), name.as_str().into());
            if let (true, Some(tenant)) = (collection == "keys", &tenant) {
                body.insert("tenant".into(), tenant.as_str().into());
            }
            client.call(Method::POST, &base, Some(Value::Object(body)), None).await?.body
        }
        Action::Set { name, fields } => {
            let current = client.call(Method::GET, &path_of(name), None, None).await?;
            let body = Value::Object(parse_fields(fields)?);
            client.call(Method::PATCH, &path_of(name), Some(body), current.version).await?.body
        }
        Action::Delete { name } => {
            let current = client.call(Method::GET, &path_of(name), None, None).await?;
            client.call(Method::DELETE, &path_of(name), None, current.version).await?.body
        }
        Action::Restore { name } => {
            let current = client.call(Method::GET, &path_of(name), None, None).await?;
            client
                .call(Method::POST, &format!("{}/restore", path_of(name)), None, current.version)
                .await?
                .body
        }
        Action::Rotate { name, overlap_seconds } => {
            let body = json!({ "overlap_seconds": overlap_seconds });
            client.call(Method::POST, &format!("{}/rotate", path_of(name)), Some(body), None).await?.body
        }
    };
    access.print(&response);
    Ok(())
}

/// Parses FIELD=VALUE, where the value is JSON or else a text.
fn parse_fields(fields: &[String]) -> Result<Map<String, Value>, ClientError> {
    let field = |field: &String| {
        let (name, value) = field.split_once('=').ok_or_else(|| ClientError::InvalidField(field.clone()))?;
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        Ok((name.to_string(), value))
    };
    fields.iter().map(field).collect()
}
