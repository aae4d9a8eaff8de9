//! The platform: serves its list of backends in pages, with a lag.

use crate::backends::Backends;
use crate::net::Net;
use crate::process::Process;
use crate::records::Recorder;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use violetyoke_api::calls::query_parameter;
use violetyoke_transport::net::listen;

/// The number of entries on a page.
const PAGE_SIZE: usize = 50;
/// The interval between copies of the list.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);

/// Copies of the list, oldest first. The oldest one is served.
type Snapshots = RefCell<VecDeque<BTreeMap<String, Value>>>;

/// Starts the platform at an address. It serves the list as it was `lag_ms` ago.
pub(crate) fn start(
    net: &Net,
    at: SocketAddrV4,
    backends: Rc<Backends>,
    lag_ms: u64,
    recorder: Recorder,
) -> Process {
    let snapshots: Rc<Snapshots> = Rc::default();
    let snapshot_count = (lag_ms / SNAPSHOT_INTERVAL.as_millis() as u64) as usize + 1;
    Process::start(net, *at.ip(), async move {
        let Ok(listener) = listen(at.into()) else { return };
        tokio::task::spawn_local(take_snapshots(snapshots.clone(), backends, snapshot_count));
        while let Ok((stream, _)) = listener.accept().await {
            let (snapshots, recorder) = (snapshots.clone(), recorder.clone());
            tokio::task::spawn_local(async move {
                let service = service_fn(|request: Request<Incoming>| {
                    recorder.with(|records| records.platform_calls += 1);
                    let page = page(&snapshots, query_parameter(request.uri().query(), "page-token"));
                    async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(page)))) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                #[expect(clippy::let_underscore_must_use, reason = "a registry may close its connection")]
                let _ = connection.await;
            });
        }
    })
}

async fn take_snapshots(snapshots: Rc<Snapshots>, backends: Rc<Backends>, snapshot_count: usize) {
    loop {
        snapshots.borrow_mut().push_back(backends.list());
        while snapshots.borrow().len() > snapshot_count {
            snapshots.borrow_mut().pop_front();
        }
        tokio::time::sleep(SNAPSHOT_INTERVAL).await;
    }
}

fn page(snapshots: &Snapshots, token: Option<&str>) -> String {
    let snapshots = snapshots.borrow();
    let from: usize = token.and_then(|token| token.strip_prefix("p-")?.parse().ok()).unwrap_or(0);
    let empty = BTreeMap::new();
    let list = snapshots.front().unwrap_or(&empty);
    let entries = list.iter().skip(from).take(PAGE_SIZE);
    let page: Map<String, Value> = entries.map(|(id, entry)| (id.clone(), entry.clone())).collect();
    let next = from + PAGE_SIZE;
    let next_token = (next < list.len()).then(|| format!("p-{next}"));
    serde_json::json!({ "instances": page, "next-token": next_token }).to_string()
}
