//! A caller of the administration API, and how it is told where the API is and which key to use.

use clap::Args;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, ETAG, IF_MATCH};
use hyper::{Method, Request};
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use violetyoke_duties::http_client::{call, Response};

/// For how long an answer is waited for.
const WAIT: Duration = Duration::from_secs(30);

/// Taken before and after the verb.
#[derive(Args)]
pub struct Access {
    /// Where the control plane is; else VIOLETYOKE_CONTROL, else 127.0.0.1:8070.
    #[arg(long, global = true)]
    server: Option<SocketAddr>,
    /// A file that holds the key; else VIOLETYOKE_KEY holds it. Never an argument: those are seen by others.
    #[arg(long, global = true)]
    key_file: Option<PathBuf>,
    /// The answers as they came.
    #[arg(long, global = true)]
    pub json: bool,
}

impl Access {
    pub fn client(&self) -> Result<Client, String> {
        let server = match (self.server, std::env::var("VIOLETYOKE_CONTROL")) {
            (Some(server), _) => server,
            (None, Ok(text)) => {
                text.parse().map_err(|_| format!("VIOLETYOKE_CONTROL: {text:?} is not an address"))?
            }
            (None, Err(_)) => SocketAddr::from(([127, 0, 0, 1], 8070)),
        };
        let key = match &self.key_file {
            Some(path) => {
                std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
            }
            None => std::env::var("VIOLETYOKE_KEY")
                .map_err(|_| "no key: --key-file or VIOLETYOKE_KEY".to_string())?,
        };
        Ok(Client { server, key: key.trim().to_string() })
    }

    pub fn print(&self, answer: &Value) {
        if self.json {
            println!("{answer}");
        } else {
            print!("{}", crate::table::table(answer));
        }
    }
}

pub fn segment(name: &str) -> String {
    utf8_percent_encode(name, NON_ALPHANUMERIC).to_string()
}

pub struct Client {
    pub server: SocketAddr,
    pub key: String,
}

pub struct Told {
    pub body: Value,
    pub version: Option<String>,
}

impl Client {
    /// One call on a connection of its own: nothing is ever sent twice.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        version: Option<String>,
    ) -> Result<Told, String> {
        let mut request =
            Request::builder().method(method).uri(path).header(AUTHORIZATION, format!("Bearer {}", self.key));
        if let Some(version) = version {
            request = request.header(IF_MATCH, version);
        }
        let body = body.map_or(Bytes::new(), |body| Bytes::from(body.to_string()));
        let request = request.body(body).map_err(|error| error.to_string())?;
        let response = call(self.server, request, WAIT).await;
        let Response { status, headers, body } = response.map_err(|error| error.to_string())?;
        let version = headers.get(ETAG).and_then(|value| value.to_str().ok()).map(String::from);
        let body: Value = match body.is_empty() {
            true => Value::Null,
            false => serde_json::from_slice(&body).map_err(|error| format!("{}: {error}", self.server))?,
        };
        if status.is_success() {
            return Ok(Told { body, version });
        }
        let mut text = format!("{}: {}", status.as_u16(), body["title"].as_str().unwrap_or_default());
        for error in body["errors"].as_array().into_iter().flatten() {
            let (field, reason) = (error["field"].as_str(), error["reason"].as_str());
            text += &format!("\n  {}: {}", field.unwrap_or_default(), reason.unwrap_or_default());
        }
        Err(text)
    }

    /// All pages of a list.
    pub async fn list(&self, base: &str) -> Result<Value, String> {
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
