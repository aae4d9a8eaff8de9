//! The platform's list of backends: pages of `GET /instances`.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use violetyoke_api::calls::Call;
use violetyoke_transport::messages::Backend;
use violetyoke_transport::net::connect;

const PATIENCE: Duration = Duration::from_millis(900);
const LARGEST: usize = 4 << 20;
/// Pages of one list: 200 of 50 are 10,000 backends.
const MOST_PAGES: usize = 200;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Page {
    instances: BTreeMap<String, Instance>,
    #[serde(default)]
    next_token: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Instance {
    service: String,
    address: SocketAddrV4,
    zone: String,
    #[serde(default)]
    slots: u32,
    state: State,
    #[serde(default)]
    cold_left_ms: f64,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Reads one page: its backends, and the token of the next.
pub fn page(body: &[u8]) -> Result<(Vec<Backend>, Option<String>), serde_json::Error> {
    let page: Page = serde_json::from_slice(body)?;
    let backends = page.instances.into_iter().map(|(id, instance)| Backend {
        id,
        service: instance.service,
        address: instance.address,
        zone: instance.zone,
        slots: instance.slots.max(1),
        draining: instance.state == State::Draining,
        slow_start_left_ms: instance.cold_left_ms.max(0.0).ceil() as u64,
    });
    Ok((backends.collect(), page.next_token))
}

/// The task that drives a connection; it ends, and the connection with it, when the call that needs it does.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Asks for the whole list; nothing where any page could not be had. Each list has a connection of its own and its pages
/// are asked for one after the other, so that an answer that comes late belongs to no other page or list.
pub async fn whole(address: SocketAddr) -> Option<Vec<Backend>> {
    timeout(PATIENCE, pages(address)).await.ok().flatten()
}

async fn pages(address: SocketAddr) -> Option<Vec<Backend>> {
    let stream = connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await.ok()?;
    let _driver = Driver(tokio::task::spawn_local(async move { drop(connection.await) }));
    let mut all = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..MOST_PAGES {
        let path = match &token {
            None => Call::Instances.entry().path.to_owned(),
            Some(token) => format!("{}?page-token={token}", Call::Instances.entry().path),
        };
        sender.ready().await.ok()?;
        let request = Request::get(path).header("host", address.to_string()).body(Empty::new()).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(answer.into_body(), LARGEST).collect().await.ok()?.to_bytes();
        let (backends, next) = page(&body).ok()?;
        all.extend(backends);
        if next.is_none() {
            return Some(all);
        }
        token = next;
    }
    None
}
