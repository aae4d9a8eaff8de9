//! The second address, where operators call: one call to a connection, each answered within a second whatever
//! the load. Callers who say nothing hold a place until another one needs it.

use crate::handover::Handover;
use crate::pool::Pool;
use crate::server;
use crate::Message;
use http_body_util::Empty;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use violetyoke_operations::ServingState;

/// A caller's whole time.
const CALL_TIME: Duration = Duration::from_secs(5);
/// How long the driver may take to heed a call.
const HEED_TIME: Duration = Duration::from_millis(800);
/// The longest head of a call.
const LARGEST_HEAD: usize = 8 * 1024;

pub struct Console {
    pub shared: Rc<server::ServerState>,
    pub pool: Rc<Pool>,
    pub handover: Option<Rc<Handover>>,
    /// Most callers at once.
    pub most: usize,
}

/// A caller, until its connection has ended.
struct Caller {
    task: AbortHandle,
    /// A call of its is being answered.
    heard: Rc<Cell<bool>>,
}

/// Takes calls for as long as the process runs.
pub async fn serve(listener: TcpListener, console: Console) {
    let console = Rc::new(console);
    let callers: Rc<RefCell<VecDeque<Caller>>> = Rc::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                eprintln!("console: accept: {error}");
                sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        let mut open = callers.borrow_mut();
        open.retain(|caller| !caller.task.is_finished());
        if open.len() >= console.most {
            // Who has been silent the longest: a call takes a moment to say.
            let silent = open.iter().position(|caller| !caller.heard.get());
            if let Some(caller) = silent.and_then(|silent| open.remove(silent)) {
                caller.task.abort();
            }
        }
        let heard = Rc::new(Cell::new(false));
        let task = tokio::task::spawn_local(hear(stream, console.clone(), heard.clone()));
        open.push_back(Caller { task: task.abort_handle(), heard });
    }
}

async fn hear(stream: TcpStream, console: Rc<Console>, heard: Rc<Cell<bool>>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|call| {
        heard.set(true);
        let console = &console;
        async move { Ok::<_, Infallible>(written(console.answer(call).await)) }
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).auto_date_header(false).max_buf_size(LARGEST_HEAD);
    let _ = timeout(CALL_TIME, builder.serve_connection(TokioIo::new(stream), service)).await;
}

fn written(status: StatusCode) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

impl Console {
    async fn answer(&self, call: Request<Incoming>) -> StatusCode {
        let (method, path) = (call.method(), call.uri().path());
        let node = path.strip_prefix("/-/backends/").and_then(|rest| rest.rsplit_once('/'));
        let wanted = match (path, node) {
            ("/-/ready", _) => Method::GET,
            ("/-/drain" | "/-/resume", _) | (_, Some((_, "disable" | "enable"))) => Method::PUT,
            _ => return StatusCode::NOT_FOUND,
        };
        if *method != wanted && !(wanted == Method::GET && *method == Method::HEAD) {
            return StatusCode::METHOD_NOT_ALLOWED;
        }
        match (path, node) {
            ("/-/drain", _) => self.shared.update_state(ServingState::drain),
            ("/-/resume", _) => self.shared.update_state(|state, _| state.resume()),
            (_, Some((node, call))) => return self.by_hand(node, call == "disable").await,
            _ if self.shared.is_ready() => {}
            _ => return StatusCode::SERVICE_UNAVAILABLE,
        }
        StatusCode::OK
    }

    async fn by_hand(&self, node: &str, ejected: bool) -> StatusCode {
        let Ok(node) = percent_decode_str(node).decode_utf8() else { return StatusCode::BAD_REQUEST };
        let (reply, heeded) = oneshot::channel();
        if !self.pool.send(Message::SetManualEjection { node: node.to_string(), ejected, reply }) {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        match timeout(HEED_TIME, heeded).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => return StatusCode::NOT_FOUND,
            _ => return StatusCode::SERVICE_UNAVAILABLE,
        }
        if let Some(Err(error)) = self.handover.as_ref().map(|handover| handover.set_out(&node, ejected)) {
            // In force here; a successor will not know.
            eprintln!("console: {node}: {error}");
        }
        StatusCode::OK
    }
}
