//! What a backend does with a request.

use super::{Backend, PORT};
use crate::records::{Arrival, Notes};
use crate::site::Site;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
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

/// Requests that wait at a backend, beside those that it works on; one more is never answered.
const QUEUE: usize = 24;
/// How far work times spread (the deviation of their logarithm).
const SPREAD: f64 = 0.7;

pub(super) async fn serve(backend: Rc<Backend>, site: Site, notes: Notes) {
    let Ok(listener) = listen((backend.ip, PORT).into()) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        let (backend, site, notes) = (backend.clone(), site.clone(), notes.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| answer(&backend, &site, &notes, request));
            // Whoever calls may break off: then the work ends too.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(
    backend: &Rc<Backend>,
    site: &Site,
    notes: &Notes,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, io::Error> {
    let field = |name: &str| request.headers().get(name).and_then(|it| it.to_str().ok()).map(str::to_owned);
    let id = field("x-attempt-id").unwrap_or_default();
    let elsewhere = field("x-target-instance").is_some_and(|target| target != backend.id);
    let tenant = field("x-tenant");
    let path = request.uri().path().to_owned();
    request.into_body().collect().await.map_err(io::Error::other)?;
    let (at, life) = (notes.now(), backend.number);
    let arrival = Arrival { at, life, id: id.clone(), tenant, path, ran: false, elsewhere };
    let place = notes.with(|records| {
        records.arrivals.push(arrival);
        records.arrivals.len() - 1
    });
    if elsewhere {
        return reply(backend, 421, &id, Bytes::new());
    }
    if backend.slots.available_permits() == 0 && backend.waiting.get() >= QUEUE {
        return pending().await;
    }
    backend.waiting.set(backend.waiting.get() + 1);
    let slot = backend.slots.acquire().await;
    backend.waiting.set(backend.waiting.get() - 1);
    let _slot = slot.map_err(io::Error::other)?;
    notes.with(|records| records.arrivals[place].ran = true);
    let kind = site.kinds.iter().find(|kind| kind.service == backend.service);
    let mean = kind.map_or(50.0, |kind| kind.work_ms);
    let pace = backend.speed * if notes.now() < backend.cold_until.get() { 0.5 } else { 1.0 };
    let (drawn, lost) = {
        let rng = &mut *backend.rng.borrow_mut();
        let spread = LogNormal::new(-SPREAD * SPREAD / 2.0, SPREAD).map_err(io::Error::other)?;
        (spread.sample(rng), rng.random::<f64>() < backend.loses.get())
    };
    tokio::time::sleep(Duration::from_secs_f64((mean * drawn / pace).min(6.0 * mean) / 1000.0)).await;
    if lost {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let body = Bytes::from(format!("{} ran {id}", backend.id));
    let mut answer = reply(backend, 200, &id, body)?;
    answer.headers_mut().insert("x-server-seal", hyper::header::HeaderValue::from_static("seal"));
    Ok(answer)
}

fn reply(backend: &Backend, status: u16, id: &str, body: Bytes) -> Result<Response<Full<Bytes>>, io::Error> {
    let running = 6usize.saturating_sub(backend.slots.available_permits());
    Response::builder()
        .status(status)
        .header("x-attempt-id", id)
        .header("x-server-load", format!("{running},{},6", backend.waiting.get()))
        .body(Full::new(body))
        .map_err(io::Error::other)
}
