//! What the platform asks: is this ingress ready?

use crate::state::Proxy;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;
use violetyoke_station::calls::{find, Call, Taker};

pub async fn serve(listener: TcpListener, proxy: Rc<Proxy>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let proxy = proxy.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<hyper::body::Incoming>| {
                let uri = request.uri();
                let call = find(Taker::Edge, request.method().as_str(), uri.path(), uri.query());
                let mut answer = Response::new(Empty::<Bytes>::new());
                *answer.status_mut() = match call {
                    Some(Call::Readiness) if proxy.serving() => StatusCode::OK,
                    Some(_) => StatusCode::SERVICE_UNAVAILABLE,
                    None => StatusCode::NOT_FOUND,
                };
                async move { Ok::<_, Infallible>(answer) }
            });
            // The platform may break off as it likes.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
