//! How a backend handles a request.

use super::{Backend, PORT};
use crate::records::{Answer, Arrival, Recorder};
use crate::site::Site;
use crate::spoiled_numbers::header_number;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use violetyoke_transport::net::listen;

/// The maximum number of requests queued at a backend. Further requests get no response.
const QUEUE_LENGTH: usize = 24;
/// The standard deviation of the logarithm of execution times.
const TIME_SPREAD: f64 = 0.7;
/// The factor on a backend's speed during its slow start.
const COLD_SPEED: f64 = 0.5;
/// The maximum execution time, as a multiple of the mean.
const MAX_EXECUTION: f64 = 6.0;

type Reply = Response<Full<Bytes>>;

pub(super) async fn serve(backend: Rc<Backend>, site: Site, recorder: Recorder) {
    let Ok(listener) = listen((backend.ip, PORT).into()) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        let (backend, site, recorder) = (backend.clone(), site.clone(), recorder.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| respond(&backend, &site, &recorder, request));
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            #[expect(
                clippy::let_underscore_must_use,
                reason = "a proxy may close it, and the execution ends too"
            )]
            let _ = connection.await;
        });
    }
}

async fn respond(
    backend: &Rc<Backend>,
    site: &Site,
    recorder: &Recorder,
    request: Request<Incoming>,
) -> Result<Reply, io::Error> {
    let arrival = read_request(backend, recorder, request).await?;
    let (id, was_misdirected) = (arrival.id.clone(), arrival.was_misdirected);
    let index = recorder.with(|records| {
        records.arrivals.push(arrival);
        records.arrivals.len() - 1
    });
    if was_misdirected {
        return reply(backend, 421, &id, Bytes::new());
    }
    if backend.slots.available_permits() == 0 && backend.queue_length.get() >= QUEUE_LENGTH {
        return pending().await;
    }
    backend.queue_length.set(backend.queue_length.get() + 1);
    let slot = backend.slots.acquire().await;
    backend.queue_length.set(backend.queue_length.get() - 1);
    let _slot = slot.map_err(io::Error::other)?;
    recorder.with(|records| records.arrivals[index].was_executed = true);
    let is_lost = execute(backend, site, recorder).await?;
    if is_lost {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let answer = Answer { seal: format!("seal-{index}"), body: format!("{} ran {id}", backend.id) };
    recorder.with(|records| records.arrivals[index].answer = Some(answer.clone()));
    let mut response = reply(backend, 200, &id, Bytes::from(answer.body))?;
    let seal = HeaderValue::from_str(&answer.seal).map_err(io::Error::other)?;
    response.headers_mut().insert("x-server-seal", seal);
    spoil(backend, &mut response)?;
    Ok(response)
}

/// Replaces the numbers of a response, with the probability that is set.
fn spoil(backend: &Backend, response: &mut Reply) -> Result<(), io::Error> {
    let rng = &mut *backend.spoiled_rng.borrow_mut();
    if backend.spoiled_part.get() <= 0.0 || !rng.random_bool(backend.spoiled_part.get()) {
        return Ok(());
    }
    let mut number = || header_number(rng);
    let fields = [
        ("keep-alive", format!("timeout={}, max={}", number(), number())),
        ("x-server-load", format!("{},{},{}", number(), number(), number())),
        ("retry-after", number()),
    ];
    for (name, value) in fields {
        let value = HeaderValue::from_str(&value).map_err(io::Error::other)?;
        response.headers_mut().insert(name, value);
    }
    Ok(())
}

/// Reads the complete request.
async fn read_request(
    backend: &Backend,
    recorder: &Recorder,
    request: Request<Incoming>,
) -> Result<Arrival, io::Error> {
    let header = |name: &str| request.headers().get(name).and_then(|it| it.to_str().ok()).map(str::to_owned);
    let id = header("x-attempt-id").unwrap_or_default();
    let was_misdirected = header("x-target-instance").is_some_and(|target| target != backend.id);
    let tenant = header("x-tenant");
    let path = request.uri().path().to_owned();
    request.into_body().collect().await.map_err(io::Error::other)?;
    let (at, incarnation) = (recorder.now(), backend.index);
    Ok(Arrival { at, incarnation, id, tenant, path, was_executed: false, answer: None, was_misdirected })
}

/// Waits for the duration of an execution; returns whether the response is lost.
async fn execute(backend: &Backend, site: &Site, recorder: &Recorder) -> Result<bool, io::Error> {
    let kind = site.request_kinds.iter().find(|kind| kind.service == backend.service);
    let mean_ms = kind.map_or(50.0, |kind| kind.work_ms);
    let is_cold = recorder.now() < backend.cold_until.get();
    let speed = backend.speed * if is_cold { COLD_SPEED } else { 1.0 };
    let (factor, is_lost) = {
        let rng = &mut *backend.rng.borrow_mut();
        let spread =
            LogNormal::new(-TIME_SPREAD * TIME_SPREAD / 2.0, TIME_SPREAD).map_err(io::Error::other)?;
        (spread.sample(rng), rng.random::<f64>() < backend.response_loss.get())
    };
    let time_ms = (mean_ms * factor / speed).min(MAX_EXECUTION * mean_ms);
    tokio::time::sleep(Duration::from_secs_f64(time_ms / 1000.0)).await;
    Ok(is_lost)
}

fn reply(backend: &Backend, status: u16, id: &str, body: Bytes) -> Result<Reply, io::Error> {
    let in_flight = 6usize.saturating_sub(backend.slots.available_permits());
    Response::builder()
        .status(status)
        .header("x-attempt-id", id)
        .header("x-server-load", format!("{in_flight},{},6", backend.queue_length.get()))
        .body(Full::new(body))
        .map_err(io::Error::other)
}
