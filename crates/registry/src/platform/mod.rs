//! A client of the platform that hosts the backends. It reads the list of backends, in pages of `GET /instances`.

mod page;

pub use page::Page;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;
use violetyoke_api::calls::Call;
use violetyoke_transport::messages::Backend;
use violetyoke_transport::net::connect;

/// Time limit for reading all pages of a list.
const LIST_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum size of a page, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Maximum number of pages of a list: 200 pages of 50 are 10,000 backends.
const MAX_PAGES: usize = 200;

/// Why the list of backends could not be read.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The pages took longer than `LIST_TIMEOUT`.
    #[error("the platform did not answer within {} ms", LIST_TIMEOUT.as_millis())]
    Timeout,
    /// No connection could be opened.
    #[error("no connection to the platform")]
    Connect(#[source] io::Error),
    /// The page token that the platform has sent is not valid in a URI.
    #[error("the platform's page token is not valid in a URI")]
    PageToken(#[source] hyper::http::Error),
    /// The connection failed, or the received bytes are not HTTP.
    #[error("the exchange with the platform failed")]
    Exchange(#[from] hyper::Error),
    /// The platform refused the request.
    #[error("the platform answered with status {0}")]
    Status(StatusCode),
    /// A page ended early or is too large.
    #[error("a page could not be received")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// A page is not of the form that the platform documents.
    #[error("a page could not be read")]
    Page(#[from] serde_json::Error),
    /// The list has more than `MAX_PAGES` pages.
    #[error("the list has more than {MAX_PAGES} pages")]
    TooManyPages,
}

/// Reads the complete list of backends.
///
/// Each list is read on its own connection, and its pages are requested one after the other, so that a late response
/// can't be mistaken for that of another page or list. The connection is closed when the call returns.
///
/// # Errors
///
/// If any of the pages could not be read: an incomplete list would take the missing backends out of service.
pub async fn fetch_backends(address: SocketAddr) -> Result<Vec<Backend>, PlatformError> {
    match timeout(LIST_TIMEOUT, fetch_pages(address)).await {
        Ok(result) => result,
        Err(_) => Err(PlatformError::Timeout),
    }
}

async fn fetch_pages(address: SocketAddr) -> Result<Vec<Backend>, PlatformError> {
    let stream = connect(address).await.map_err(PlatformError::Connect)?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    // Dropping the set closes the connection, whether the call has succeeded, failed or timed out.
    let mut driver = JoinSet::new();
    // Errors of the connection are returned by the requests on it.
    driver.spawn_local(async move { drop(connection.await) });
    let mut backends = Vec::new();
    let mut page_token = None;
    for _ in 0..MAX_PAGES {
        let page = fetch_page(&mut sender, address, page_token.as_deref()).await?;
        backends.extend(page.backends);
        if page.next_token.is_none() {
            return Ok(backends);
        }
        page_token = page.next_token;
    }
    Err(PlatformError::TooManyPages)
}

async fn fetch_page(
    sender: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    page_token: Option<&str>,
) -> Result<Page, PlatformError> {
    let path = Call::Instances.entry().path;
    let target = match page_token {
        None => path.to_owned(),
        Some(token) => format!("{path}?page-token={token}"),
    };
    sender.ready().await?;
    let request = Request::get(target).header("host", address.to_string()).body(Empty::new());
    let response = sender.send_request(request.map_err(PlatformError::PageToken)?).await?;
    if response.status() != StatusCode::OK {
        return Err(PlatformError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_PAGE_BYTES).collect().await;
    Ok(Page::parse(&body.map_err(PlatformError::Body)?.to_bytes())?)
}
