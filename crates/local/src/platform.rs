//! A stand-in for the platform: the list of backends, in pages.

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Map, Value};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use violetyoke_api::calls::query;

/// Entries of a page, unless more are wanted.
const PAGE: usize = 4;

#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    lines: Arc<Mutex<Map<String, Value>>>,
    calls: Arc<AtomicU64>,
    page: usize,
}

impl Platform {
    pub fn start(runtime: &Handle) -> io::Result<Platform> {
        Platform::with_pages(runtime, PAGE)
    }

    /// The same, with so many entries on a page.
    pub fn with_pages(runtime: &Handle, page: usize) -> io::Result<Platform> {
        let listener = violetyoke_standin::listen(violetyoke_standin::any())?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let platform = Platform { address, lines: Arc::default(), calls: Arc::default(), page };
        let _entered = runtime.enter();
        runtime.spawn(serve(TcpListener::from_std(listener)?, platform.clone()));
        Ok(platform)
    }

    /// Puts a line in the list, or another in its place; none takes it out.
    pub fn set(&self, id: &str, line: Option<Value>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        match line {
            Some(line) => drop(lines.insert(id.to_owned(), line)),
            None => drop(lines.remove(id)),
        }
    }

    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn page(&self, token: Option<&str>) -> String {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let from = token.and_then(|token| token.strip_prefix("p-")?.parse().ok()).unwrap_or(0);
        let page: Map<String, Value> =
            lines.iter().skip(from).take(self.page).map(|(id, line)| (id.clone(), line.clone())).collect();
        let next = (from + self.page < lines.len()).then(|| format!("p-{}", from + self.page));
        serde_json::json!({ "instances": page, "next-token": next }).to_string()
    }
}

async fn serve(listener: TcpListener, platform: Platform) {
    while let Ok((stream, _)) = listener.accept().await {
        let platform = platform.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<hyper::body::Incoming>| {
                platform.calls.fetch_add(1, Ordering::Relaxed);
                let page = platform.page(query(request.uri().query(), "page-token"));
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(page)))) }
            });
            // Whoever calls may break off.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
