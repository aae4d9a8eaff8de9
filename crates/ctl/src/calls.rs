//! Operators' calls: to one core machine after the other, unchanged, until one gives a clear answer.

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};
use violetyoke_api::calls::Call;

/// One try; a registry itself waits 2.8 s for a store.
const ONE: Duration = Duration::from_secs(4);
const LARGEST: usize = 64 << 20;
const MOST_REDIRECTS: usize = 2;

/// Why there was no clear answer.
#[derive(Debug)]
pub struct NoAnswer;

impl fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no core machine gave a clear answer")
    }
}

impl std::error::Error for NoAnswer {}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

/// The target of a call, as the one table of calls has it; `of`: the zone that it is about.
pub fn target(call: Call, of: Option<&str>) -> String {
    let entry = call.entry();
    let of = of.map_or(String::new(), |zone| format!("&of={zone}"));
    let path = entry.path;
    entry.name.map_or_else(|| path.to_owned(), |name| format!("{path}?call={name}{of}"))
}

/// Calls until `within` is over. A clear answer is any but 5xx, 408 and 429; pauses between rounds grow.
pub async fn call(
    to: &[SocketAddr],
    call: Call,
    of: Option<&str>,
    body: Bytes,
    within: Duration,
) -> Result<Answer, Report<NoAnswer>> {
    let until = Instant::now() + within;
    let mut pause = Duration::from_millis(100);
    let mut last = String::from("no address was given");
    loop {
        for address in to {
            match timeout(ONE, one(*address, call.entry().method, target(call, of), body.clone())).await {
                Ok(Ok(answer)) if answer.status < 500 && answer.status != 408 && answer.status != 429 => {
                    return Ok(answer)
                }
                Ok(Ok(answer)) => last = format!("{address} answered {}", answer.status),
                Ok(Err(error)) => last = format!("{address}: {error}"),
                Err(_) => last = format!("{address} kept silent"),
            }
        }
        if to.is_empty() || Instant::now() + pause > until {
            return Err(Report::new(NoAnswer)).attach(last);
        }
        sleep(pause).await;
        pause = (pause * 2).min(Duration::from_secs(2));
    }
}

async fn one(
    address: SocketAddr,
    method: &str,
    target: String,
    body: Bytes,
) -> Result<Answer, Box<dyn std::error::Error + Send + Sync>> {
    let (mut address, mut target) = (address, target);
    for _ in 0..=MOST_REDIRECTS {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(&target)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body.clone()))?;
        let answer = sender.send_request(request).await?;
        let status = answer.status().as_u16();
        let location = answer.headers().get("location").and_then(|it| it.to_str().ok()).map(str::to_owned);
        let body = Limited::new(answer.into_body(), LARGEST).collect().await?.to_bytes();
        driver.abort();
        match location.filter(|_| status == 307) {
            None => return Ok(Answer { status, body }),
            Some(location) => {
                let uri: hyper::Uri = location.parse()?;
                let authority = uri.authority().ok_or("a redirection to no address")?;
                address = authority.as_str().parse()?;
                target = uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
            }
        }
    }
    Err("redirected too often".into())
}
