//! A stub of the platform: its list of backends, in pages.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Map, Value};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use violetyoke_api::calls::query_parameter;

/// Default number of entries on a page.
const PAGE_SIZE: usize = 4;

/// A stub of the platform. Its server is a task of the runtime that it was started on, and ends with that runtime.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    entries: Arc<Mutex<Map<String, Value>>>,
    page_size: usize,
}

impl Platform {
    /// Starts a platform with an empty list, on a free loopback port.
    ///
    /// # Errors
    /// When no port can be opened.
    pub fn start(runtime: &Handle) -> io::Result<Platform> {
        Platform::with_page_size(runtime, PAGE_SIZE)
    }

    /// Starts a platform like [`Platform::start`], with `page_size` entries on each page of the list.
    ///
    /// # Errors
    /// When no port can be opened.
    pub fn with_page_size(runtime: &Handle, page_size: usize) -> io::Result<Platform> {
        let listener = violetyoke_standin::listen(violetyoke_standin::any_port())?;
        listener.set_nonblocking(true)?;
        let platform = Platform { address: listener.local_addr()?, entries: Arc::default(), page_size };
        let _entered = runtime.enter();
        runtime.spawn(serve(TcpListener::from_std(listener)?, platform.clone()));
        Ok(platform)
    }

    /// Adds the entry of a backend to the list, or replaces it.
    pub fn set(&self, id: &str, entry: Value) {
        self.entries().insert(id.to_owned(), entry);
    }

    /// Removes the entry of a backend from the list.
    pub fn remove(&self, id: &str) {
        self.entries().remove(id);
    }

    fn entries(&self) -> MutexGuard<'_, Map<String, Value>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The page for `token`, or the first one without a token.
    fn page(&self, token: Option<&str>) -> String {
        let entries = self.entries();
        let from = token.and_then(|token| token.strip_prefix("p-")?.parse().ok()).unwrap_or(0);
        let on_page = entries.iter().skip(from).take(self.page_size);
        let page: Map<String, Value> = on_page.map(|(id, entry)| (id.clone(), entry.clone())).collect();
        let next = from + self.page_size;
        let next_token = (next < entries.len()).then(|| format!("p-{next}"));
        serde_json::json!({ "instances": page, "next-token": next_token }).to_string()
    }
}

async fn serve(listener: TcpListener, platform: Platform) {
    while let Ok((stream, _)) = listener.accept().await {
        let platform = platform.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let page = platform.page(query_parameter(request.uri().query(), "page-token"));
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(page)))) }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            #[expect(
                clippy::let_underscore_must_use,
                reason = "a registry may close a connection at any time"
            )]
            let _ = connection.await;
        });
    }
}
