//! Operators' calls: to one registry after the other, unchanged, until one of them answers conclusively.

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::http::uri::InvalidUri;
use hyper::{Request, Uri};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};
use violetyoke_api::calls::{Call, CallEntry};

/// How long one registry may take for one answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
/// The first pause between two rounds over all registries, and the longest.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 64 << 20;
const MAX_REDIRECTS: usize = 2;

/// No registry answered conclusively; the last failure is attached.
#[derive(Debug, thiserror::Error)]
#[error("no core machine gave a clear answer")]
pub struct NoConclusiveResponse;

/// Why one registry did not answer.
#[derive(Debug, thiserror::Error)]
enum AttemptError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error(transparent)]
    RedirectUri(#[from] InvalidUri),
    #[error(transparent)]
    RedirectAddress(#[from] AddrParseError),
    #[error("a redirection to no address")]
    RedirectWithoutAddress,
    #[error("redirected too often")]
    TooManyRedirects,
}

/// What an operator asks for.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// The call, as the table of calls has it.
    pub call: Call,
    /// The zone that it is about.
    pub zone: Option<&'a str>,
    /// The body.
    pub body: Bytes,
}

impl CallRequest<'_> {
    /// A call without zone and body.
    #[must_use]
    pub fn new(call: Call) -> Self {
        CallRequest { call, zone: None, body: Bytes::new() }
    }

    fn method(&self) -> &'static str {
        self.call.entry().method
    }

    /// Path and query.
    fn target(&self) -> String {
        let CallEntry { path, name, .. } = self.call.entry();
        let zone = self.zone.map_or(String::new(), |zone| format!("&of={zone}"));
        name.map_or_else(|| (*path).to_owned(), |name| format!("{path}?call={name}{zone}"))
    }
}

/// A conclusive response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The complete body.
    pub body: Bytes,
}

impl Response {
    /// Whether the response says what has become of a call. A 5xx, 408 and 429 leave it open.
    fn is_conclusive(&self) -> bool {
        self.status < 500 && self.status != 408 && self.status != 429
    }
}

/// Sends the request to each of `registries` in turn, with growing pauses between rounds, until one answers
/// conclusively or `within` is over. Each is asked at least once.
///
/// # Errors
/// When none has answered conclusively: a change may be in force or may not.
pub async fn call(
    registries: &[SocketAddr],
    request: &CallRequest<'_>,
    within: Duration,
) -> Result<Response, Report<NoConclusiveResponse>> {
    let until = Instant::now() + within;
    let mut backoff = MIN_BACKOFF;
    let mut last_failure = String::from("no address was given");
    loop {
        for registry in registries {
            match timeout(ATTEMPT_TIMEOUT, send(*registry, request)).await {
                Ok(Ok(response)) if response.is_conclusive() => return Ok(response),
                Ok(Ok(response)) => last_failure = format!("{registry} answered {}", response.status),
                Ok(Err(error)) => last_failure = format!("{registry}: {error}"),
                Err(_) => last_failure = format!("{registry} kept silent"),
            }
        }
        if registries.is_empty() || Instant::now() + backoff > until {
            return Err(Report::new(NoConclusiveResponse)).attach(last_failure);
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Sends the request once, and again to where a 307 points.
async fn send(registry: SocketAddr, request: &CallRequest<'_>) -> Result<Response, AttemptError> {
    let (mut address, mut target) = (registry, request.target());
    for _ in 0..=MAX_REDIRECTS {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection);
        let message = Request::builder()
            .method(request.method())
            .uri(&target)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(request.body.clone()))?;
        let response = sender.send_request(message).await?;
        let status = response.status().as_u16();
        let location = response.headers().get("location").and_then(|location| location.to_str().ok());
        let redirect = location.filter(|_| status == 307).map(str::to_owned);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(AttemptError::Body)?.to_bytes();
        driver.abort();
        let Some(redirect) = redirect else { return Ok(Response { status, body }) };
        let uri: Uri = redirect.parse()?;
        address = uri.authority().ok_or(AttemptError::RedirectWithoutAddress)?.as_str().parse()?;
        target = uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    }
    Err(AttemptError::TooManyRedirects)
}
