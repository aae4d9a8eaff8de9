//! A client: it resolves edge addresses, keeps connections, and sends the attempts of requests.

use super::{Submission, Workload};
use crate::http_client::{connect, send, send_once, Connection, Response};
use crate::records::{Answer, Attempt};
use crate::site::{RequestKind, HOST};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use violetyoke_api::calls::header::OPERATION_KEY;
use violetyoke_api::configuration::RouteKind;

const MAX_ATTEMPTS: usize = 3;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A request with less time left than this is given up.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// The pause before the next attempt if no edge is known.
const RESOLVE_PAUSE: Duration = Duration::from_millis(100);
/// The maximum number of registries queried for edges, nearest first.
const MAX_DIRECTORIES: usize = 3;

/// A client.
#[derive(Default)]
pub(super) struct Client {
    /// The edges in the last answer of a registry.
    edges: RefCell<Vec<SocketAddr>>,
    edges_valid_until: Cell<Option<Instant>>,
    /// Edges that have failed since that answer.
    failed: RefCell<Vec<SocketAddr>>,
    idle: RefCell<HashMap<SocketAddr, Connection>>,
}

/// The parameters of an attempt.
struct Outgoing<'a> {
    to: SocketAddr,
    kind: &'a RequestKind,
    id: &'a str,
    key: &'a str,
    operation_key: Option<&'a str>,
    until: Instant,
    /// Whether an idle connection may be used, and kept afterwards.
    may_reuse: bool,
}

impl Client {
    /// Sends a request, with retries as far as the protocol allows; returns whether it was served.
    pub(super) async fn request(
        &self,
        workload: &Workload,
        submission: &Submission,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let Submission { request: index, credential: key, zone, is_repeat: _ } = submission;
        let (kind, operation_key) = workload.recorder.with(|records| {
            let request = &records.requests[*index];
            (request.kind, request.operation_key.clone())
        });
        let request_kind = &workload.site.request_kinds[kind];
        let until = Instant::now() + Duration::from_millis(request_kind.deadline_ms);
        for number in 0..MAX_ATTEMPTS {
            let left = until.saturating_duration_since(Instant::now());
            if left < MIN_ATTEMPT_TIME {
                return false;
            }
            let Some(to) = self.choose_edge(workload, *zone, rng).await else {
                sleep(RESOLVE_PAUSE.min(left)).await;
                continue;
            };
            let id = format!("{:016x}", rng.random::<u64>());
            let attempt = Attempt {
                id: id.clone(),
                request: *index,
                kind,
                key: key.clone(),
                operation_key: operation_key.clone(),
                zone: *zone,
                sent: workload.recorder.now(),
                ended: None,
                status: 0,
                is_valid: false,
                answer: None,
            };
            let attempt_index = workload.recorder.with(|records| {
                records.attempts.push(attempt);
                records.attempts.len() - 1
            });
            let is_idempotent = request_kind.route_kind == RouteKind::Idempotent;
            let may_reuse = number == 0 && is_idempotent;
            let operation_key = operation_key.as_deref();
            let outgoing = Outgoing { to, kind: request_kind, id: &id, key, operation_key, until, may_reuse };
            let response = self.send_attempt(&outgoing).await;
            record_response(workload, attempt_index, response.as_ref());
            match response.as_ref().map_or(0, |response| response.status) {
                200..=299 => return true,
                400 | 401 | 404 | 413 | 431 => return false,
                409 | 429 | 503 => {
                    let retry_after = response.as_ref().and_then(retry_after).unwrap_or_default();
                    let left = until.saturating_duration_since(Instant::now());
                    sleep(retry_after.min(left / 3)).await;
                }
                _ if request_kind.route_kind == RouteKind::Nonidempotent => return false,
                0 => self.failed.borrow_mut().push(to),
                _ => {}
            }
        }
        false
    }

    /// A random edge among those that have not failed. Resolves the edges again if the last answer has expired.
    async fn choose_edge(&self, workload: &Workload, zone: usize, rng: &mut Pcg64Mcg) -> Option<SocketAddr> {
        if self.edges_valid_until.get().is_none_or(|until| Instant::now() >= until) {
            self.resolve(workload, zone).await;
        }
        let (edges, failed) = (self.edges.borrow(), self.failed.borrow());
        let healthy: Vec<SocketAddr> = edges.iter().copied().filter(|edge| !failed.contains(edge)).collect();
        let candidates = if healthy.is_empty() { &*edges } else { &healthy };
        (!candidates.is_empty()).then(|| candidates[rng.random_range(0..candidates.len())])
    }

    async fn resolve(&self, workload: &Workload, zone: usize) {
        let site = &workload.site;
        let region = site.region(zone);
        let mut nearest = workload.directories.clone();
        nearest.sort_by_key(|directory| (directory.zone != zone, site.region(directory.zone) != region));
        let (region, zone) = (site.regions[region], site.zones[zone].name);
        let target = format!("/api/resolve?name={HOST}&region={region}&zone={zone}");
        for directory in nearest.into_iter().take(MAX_DIRECTORIES) {
            let response = send_once(directory.address, "GET", &target, String::new(), CONNECT_TIMEOUT).await;
            let Some(response) = response.filter(|response| response.status == 200) else { continue };
            let Ok(body) = serde_json::from_slice::<Value>(&response.body) else { continue };
            let addresses = body["addresses"].as_array().into_iter().flatten();
            let edges: Vec<SocketAddr> =
                addresses.filter_map(|address| address.as_str()?.parse().ok()).collect();
            self.idle.borrow_mut().retain(|edge, _| edges.contains(edge));
            *self.edges.borrow_mut() = edges;
            self.failed.borrow_mut().clear();
            let ttl_s = body["ttl-s"].as_f64().unwrap_or(1.0).clamp(0.0, 5.0);
            self.edges_valid_until.set(Some(Instant::now() + Duration::from_secs_f64(ttl_s)));
            break;
        }
    }

    async fn send_attempt(&self, attempt: &Outgoing<'_>) -> Option<Response> {
        let idle = if attempt.may_reuse { self.idle.borrow_mut().remove(&attempt.to) } else { None };
        let mut connection = match idle.filter(|connection| !connection.is_closed()) {
            Some(connection) => connection,
            None => {
                let left = attempt.until.saturating_duration_since(Instant::now());
                connect(attempt.to, CONNECT_TIMEOUT.min(left)).await?
            }
        };
        let response = send(&mut connection, attempt.to_request()?, attempt.until).await;
        if attempt.may_reuse && response.is_some() {
            self.idle.borrow_mut().insert(attempt.to, connection);
        }
        response
    }
}

impl Outgoing<'_> {
    fn to_request(&self) -> Option<Request<Full<Bytes>>> {
        let Outgoing { kind, id, .. } = self;
        let left = self.until.saturating_duration_since(Instant::now()).as_millis();
        let (method, body) = match kind.route_kind {
            RouteKind::Idempotent => ("GET", String::new()),
            RouteKind::Nonidempotent | RouteKind::Keyed => ("POST", format!("two nights of {id}")),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{id}", kind.path))
            .header("host", HOST)
            .header("x-attempt-id", *id)
            .header("x-deadline-ms", left.to_string())
            .header("x-credential", self.key);
        let request = match self.operation_key {
            Some(key) => request.header(OPERATION_KEY, key),
            None => request,
        };
        request.body(Full::new(Bytes::from(body))).ok()
    }
}

fn record_response(workload: &Workload, attempt: usize, response: Option<&Response>) {
    let status = response.map_or(0, |response| response.status);
    let success = response.filter(|response| (200..300).contains(&response.status));
    let answer = success.and_then(to_answer);
    let now = workload.recorder.now();
    workload.recorder.with(|records| {
        let attempt = &mut records.attempts[attempt];
        let is_valid = success.is_some_and(|response| is_own(response, attempt));
        (attempt.ended, attempt.status, attempt.is_valid) = (Some(now), status, is_valid);
        attempt.answer = answer;
        let request = &mut records.requests[attempt.request];
        if is_valid {
            request.served_at.get_or_insert(now);
        }
        // The system doesn't have to serve requests with a revoked credential.
        request.is_owed &= status != 401;
    });
}

/// Whether a response is from a backend and belongs to this attempt. With an operation key, the answer may come from
/// the execution of another attempt with the same key.
fn is_own(response: &Response, attempt: &Attempt) -> bool {
    let is_to_this = match attempt.operation_key {
        Some(_) => {
            response.headers.get("x-attempt-id").is_some_and(|id| id.as_bytes() == attempt.id.as_bytes())
        }
        None => response.body.ends_with(format!(" ran {}", attempt.id).as_bytes()),
    };
    response.headers.contains_key("x-server-seal") && is_to_this
}

fn to_answer(response: &Response) -> Option<Answer> {
    let seal = response.headers.get("x-server-seal")?.to_str().ok()?.to_owned();
    Some(Answer { seal, body: String::from_utf8_lossy(&response.body).into_owned() })
}

fn retry_after(response: &Response) -> Option<Duration> {
    let seconds: f64 = response.headers.get("retry-after")?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs_f64(seconds.clamp(0.0, 60.0)))
}
