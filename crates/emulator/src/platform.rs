//! The platform: a list that runs behind, in pages, so many calls a second.

use crate::backends::Backends;
use crate::net::Net;
use crate::process::Process;
use crate::records::Notes;
use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use violetyoke_api::calls::query_parameter;
use violetyoke_transport::net::listen;

const PAGE: usize = 50;
const STEP: Duration = Duration::from_millis(50);

/// The list as it was, oldest first.
type Past = RefCell<VecDeque<BTreeMap<String, Value>>>;

/// Starts the platform at that address.
pub fn start(net: &Net, at: SocketAddr, backends: Rc<Backends>, lag_ms: u64, notes: Notes) -> Process {
    let std::net::IpAddr::V4(ip) = at.ip() else {
        return Process::start(net, std::net::Ipv4Addr::LOCALHOST, async {});
    };
    let past: Rc<Past> = Rc::default();
    let behind = (lag_ms / STEP.as_millis() as u64) as usize + 1;
    Process::start(net, ip, async move {
        let Ok(listener) = listen(at) else { return };
        let noted = past.clone();
        tokio::task::spawn_local(async move {
            loop {
                noted.borrow_mut().push_back(backends.list());
                while noted.borrow().len() > behind {
                    noted.borrow_mut().pop_front();
                }
                tokio::time::sleep(STEP).await;
            }
        });
        while let Ok((stream, _)) = listener.accept().await {
            let (past, notes) = (past.clone(), notes.clone());
            tokio::task::spawn_local(async move {
                let service = service_fn(|request: Request<hyper::body::Incoming>| {
                    notes.with(|records| records.platform_calls += 1);
                    let page = page(&past, query_parameter(request.uri().query(), "page-token"));
                    async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(page)))) }
                });
                // Whoever calls may break off.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

fn page(past: &Past, token: Option<&str>) -> String {
    let past = past.borrow();
    let from: usize = token.and_then(|token| token.strip_prefix("p-")?.parse().ok()).unwrap_or(0);
    let empty = BTreeMap::new();
    let list = past.front().unwrap_or(&empty);
    let page: Map<String, Value> =
        list.iter().skip(from).take(PAGE).map(|(id, line)| (id.clone(), line.clone())).collect();
    let next = (from + PAGE < list.len()).then(|| format!("p-{}", from + PAGE));
    serde_json::json!({ "instances": page, "next-token": next }).to_string()
}
