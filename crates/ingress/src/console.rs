//! The console, a second address for operators: one call on each connection, answered within a second under any
//! load. If all connections are in use, a new one replaces the oldest one without a call.

use crate::handover_folder::HandoverFolder;
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

/// Time-out of a connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the driver may take to apply a call.
const DRIVER_TIMEOUT: Duration = Duration::from_millis(800);
/// The largest request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;

pub struct Console {
    pub shared: Rc<server::ServerState>,
    pub pool: Rc<Pool>,
    pub handover: Option<Rc<HandoverFolder>>,
    /// The maximum number of open connections.
    pub max_callers: usize,
}

/// An open connection.
struct Caller {
    task: AbortHandle,
    /// Whether a call has arrived on it.
    has_called: Rc<Cell<bool>>,
}

/// Accepts connections until the process ends.
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
        if open.len() >= console.max_callers {
            // Closes the connection that has been idle for longest. A call itself arrives within a moment.
            let idle = open.iter().position(|caller| !caller.has_called.get());
            if let Some(caller) = idle.and_then(|idle| open.remove(idle)) {
                caller.task.abort();
            }
        }
        let has_called = Rc::new(Cell::new(false));
        let task = tokio::task::spawn_local(handle_connection(stream, console.clone(), has_called.clone()));
        open.push_back(Caller { task: task.abort_handle(), has_called });
    }
}

async fn handle_connection(stream: TcpStream, console: Rc<Console>, has_called: Rc<Cell<bool>>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|call| {
        has_called.set(true);
        let console = &console;
        async move { Ok::<_, Infallible>(empty_response(console.answer(call).await)) }
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).auto_date_header(false).max_buf_size(MAX_HEAD_BYTES);
    let _ = timeout(CALL_TIMEOUT, builder.serve_connection(TokioIo::new(stream), service)).await;
}

fn empty_response(status: StatusCode) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

impl Console {
    async fn answer(&self, call: Request<Incoming>) -> StatusCode {
        let (method, path) = (call.method(), call.uri().path());
        let node = path.strip_prefix("/-/backends/").and_then(|rest| rest.rsplit_once('/'));
        let expected = match (path, node) {
            ("/-/ready", _) => Method::GET,
            ("/-/drain" | "/-/resume", _) | (_, Some((_, "disable" | "enable"))) => Method::PUT,
            _ => return StatusCode::NOT_FOUND,
        };
        if *method != expected && !(expected == Method::GET && *method == Method::HEAD) {
            return StatusCode::METHOD_NOT_ALLOWED;
        }
        match (path, node) {
            ("/-/drain", _) => self.shared.update_state(ServingState::drain),
            ("/-/resume", _) => self.shared.update_state(|state, _| state.resume()),
            (_, Some((node, call))) => return self.set_manual_ejection(node, call == "disable").await,
            _ if self.shared.is_ready() => {}
            _ => return StatusCode::SERVICE_UNAVAILABLE,
        }
        StatusCode::OK
    }

    async fn set_manual_ejection(&self, node: &str, ejected: bool) -> StatusCode {
        let Ok(node) = percent_decode_str(node).decode_utf8() else { return StatusCode::BAD_REQUEST };
        let (reply, applied) = oneshot::channel();
        if !self.pool.send(Message::SetManualEjection { node: node.to_string(), ejected, reply }) {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        match timeout(DRIVER_TIMEOUT, applied).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => return StatusCode::NOT_FOUND,
            _ => return StatusCode::SERVICE_UNAVAILABLE,
        }
        if let Some(Err(error)) =
            self.handover.as_ref().map(|handover| handover.set_manual_ejection(&node, ejected))
        {
            // The change is in force in this process, but a successor will not have it.
            eprintln!("console: {node}: {error}");
        }
        StatusCode::OK
    }
}
