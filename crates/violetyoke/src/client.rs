//! A client of the administration API, and the options for its address and key.

use clap::Args;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, ETAG, IF_MATCH};
use hyper::{Method, Request, StatusCode};
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use violetyoke_duties::http_client::{call, HttpError, Response};

/// Time-out of a connection attempt, and of a response.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Options that are accepted before and after the action.
#[derive(Args)]
pub struct Access {
    /// Address of the control plane [default: VIOLETYOKE_CONTROL, or 127.0.0.1:8070].
    #[arg(long, global = true)]
    server: Option<SocketAddr>,
    /// A file with the key [default: the key in VIOLETYOKE_KEY]. The key is never an argument, which other
    /// users could see.
    #[arg(long, global = true)]
    key_file: Option<PathBuf>,
    /// Prints the responses as JSON.
    #[arg(long, global = true)]
    pub json: bool,
}

impl Access {
    /// Creates the client from these options and the environment.
    pub fn client(&self) -> Result<Client, ClientError> {
        let server = match (self.server, std::env::var("VIOLETYOKE_CONTROL")) {
            (Some(server), _) => server,
            (None, Ok(text)) => text.parse().map_err(|_| ClientError::InvalidServer(text))?,
            (None, Err(_)) => SocketAddr::from(([127, 0, 0, 1], 8070)),
        };
        let key = match &self.key_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|source| ClientError::KeyFile { path: path.clone(), source })?,
            None => std::env::var("VIOLETYOKE_KEY").map_err(|_| ClientError::MissingKey)?,
        };
        Ok(Client { server, key: key.trim().to_string() })
    }

    /// Prints a response as a table, or as JSON with `--json`.
    pub fn print(&self, response: &Value) {
        if self.json {
            println!("{response}");
        } else {
            print!("{}", crate::table::table(response));
        }
    }
}

/// Encodes a name as a segment of a path.
pub fn segment(name: &str) -> String {
    utf8_percent_encode(name, NON_ALPHANUMERIC).to_string()
}

/// Why a call of the administration API failed. The messages are what the command line prints.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The environment names a control plane that is not an address.
    #[error("VIOLETYOKE_CONTROL: {0:?} is not an address")]
    InvalidServer(String),
    /// Neither a file nor the environment has a key.
    #[error("no key: --key-file or VIOLETYOKE_KEY")]
    MissingKey,
    /// The key cannot be read.
    #[error("{}: {source}", path.display())]
    KeyFile {
        /// Where it should be.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// `--tenant` is given for a resource that belongs to no tenant.
    #[error("--tenant is only for resources of a tenant")]
    UnexpectedTenant,
    /// `--tenant` is missing for a resource that belongs to a tenant.
    #[error("--tenant is missing")]
    MissingTenant,
    /// An argument is not a field and its value.
    #[error("{0:?} is not FIELD=VALUE")]
    InvalidField(String),
    /// The request cannot be expressed in HTTP.
    #[error("{0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// There was no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response is not JSON.
    #[error("{server}: {source}")]
    Json {
        /// The control plane.
        server: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
    /// The control plane rejected the call.
    #[error("{}: {title}{}", status.as_u16(), lines(errors))]
    Rejected {
        /// The HTTP status.
        status: StatusCode,
        /// What went wrong.
        title: String,
        /// The fields that are not valid, each with the reason.
        errors: Vec<(String, String)>,
    },
}

fn lines(errors: &[(String, String)]) -> String {
    errors.iter().map(|(field, reason)| format!("\n  {field}: {reason}")).collect()
}

/// A control plane's address, and the key to use.
pub struct Client {
    pub server: SocketAddr,
    pub key: String,
}

/// A successful response.
pub struct ApiResponse {
    pub body: Value,
    /// The version, for `If-Match`.
    pub version: Option<String>,
}

impl Client {
    /// Makes one call on a new connection, without retries.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        version: Option<String>,
    ) -> Result<ApiResponse, ClientError> {
        let mut request =
            Request::builder().method(method).uri(path).header(AUTHORIZATION, format!("Bearer {}", self.key));
        if let Some(version) = version {
            request = request.header(IF_MATCH, version);
        }
        let body = body.map_or(Bytes::new(), |body| Bytes::from(body.to_string()));
        let Response { status, headers, body } = call(self.server, request.body(body)?, TIMEOUT).await?;
        let version = headers.get(ETAG).and_then(|value| value.to_str().ok()).map(String::from);
        let body: Value = if body.is_empty() {
            Value::Null
        } else {
            let parsed = serde_json::from_slice(&body);
            parsed.map_err(|source| ClientError::Json { server: self.server, source })?
        };
        if status.is_success() {
            return Ok(ApiResponse { body, version });
        }
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        let errors = body["errors"].as_array().into_iter().flatten();
        let errors = errors.map(|error| (text(&error["field"]), text(&error["reason"]))).collect();
        Err(ClientError::Rejected { status, title: text(&body["title"]), errors })
    }

    /// Reads all pages of a list.
    pub async fn list(&self, base: &str) -> Result<Value, ClientError> {
        let (mut items, mut after) = (Vec::new(), String::new());
        loop {
            let path = format!("{base}?limit=1000&after={}", segment(&after));
            let mut page = self.call(Method::GET, &path, None, None).await?.body;
            if let Some(list) = page["items"].as_array_mut() {
                items.append(list);
            }
            match page["next"].as_str() {
                Some(next) => after = next.to_string(),
                None => return Ok(Value::Array(items)),
            }
        }
    }
}
