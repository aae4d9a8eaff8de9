//! The HTTP/1 server for clients: accepts connections, takes each request through its checks to the task that
//! runs the decision module of its pool (the driver), and shuts down on SIGTERM.

use super::connections::{ClientConnection, ConnectionTable, Stage};
use super::migrating_task;
use super::pool::{Pool, ResponseBody};
use super::precheck::{PrecheckOutcome, PrecheckRequest};
use super::quota_headers;
use super::request::{account_name, bad_request, read_body, validate_head, Rejection, BODY_TIMED_OUT};
use super::router::{RouteMatch, Router};
use super::socket::Socket;
use super::streaming::ResponseInProgress;
use super::tasks::{self, TaskSet};
use super::{ClientAnswer, ClientRequest, Clock, ForwardedRequest, Message, Reply};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::Signal;
use tokio::sync::{oneshot, watch};
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};
use violetyoke_decision::interface::Micros;
use violetyoke_operations::{IdlePolicy, ServingState};
use violetyoke_ratelimit::claim::Source;
use violetyoke_shares::Member;

/// Length of the listen queue.
const BACKLOG: u32 = 1024;
/// Interval at which the connection table is checked for connections to close.
const TABLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of the longest request head; a longer one is answered with status 431.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of bytes of a rejected request that are read and discarded.
const MAX_DISCARDED_BYTES: u64 = 80 * 1024 * 1024;

/// Set in the customer id of requests that have been counted already, to separate them from the same account's
/// requests that are counted by this pool.
const ALREADY_COUNTED_BIT: u64 = 1 << 63;

/// State shared by all client connections.
pub struct ServerState {
    pub router: Router,
    clock: Clock,
    pub connections: Rc<ConnectionTable>,
    /// The task set of connections that have carried no request yet; `None` where there are no task sets.
    unassigned_tasks: Option<Rc<TaskSet>>,
    /// The next id for a request whose client gave none.
    next_generated_id: Cell<u64>,
    /// Whether this process serves, drains, shuts down or has been taken over.
    pub serving_state: Cell<ServingState>,
    /// Set until an older process that accepts on the same socket has been told that this one serves.
    pub awaiting_takeover: Cell<bool>,
    /// Notifies connections to close once their open request has been answered.
    closing: watch::Sender<()>,
}

impl ServerState {
    pub fn new(
        router: Router,
        clock: Clock,
        connections: Rc<ConnectionTable>,
        unassigned_tasks: Option<Rc<TaskSet>>,
    ) -> ServerState {
        let next_generated_id = Cell::new(clock.now());
        let (closing, _) = watch::channel(());
        ServerState {
            router,
            clock,
            connections,
            unassigned_tasks,
            next_generated_id,
            serving_state: Cell::default(),
            awaiting_takeover: Cell::new(false),
            closing,
        }
    }

    /// Updates the serving state and logs a change.
    pub fn update_state(&self, change: impl FnOnce(&mut ServingState, Micros)) {
        let mut state = self.serving_state.get();
        change(&mut state, self.clock.now());
        if state != self.serving_state.replace(state) {
            eprintln!("clients: {state:?}");
        }
    }

    /// Whether this process accepts client traffic, as load balancer health checks ask.
    pub fn is_ready(&self) -> bool {
        self.serving_state.get().is_ready() && self.router.is_ready() && !self.awaiting_takeover.get()
    }
}

pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| io::Error::new(error.kind(), format!("listen {address}: {error}")))
}

/// Accepts connections until SIGTERM and for a grace period after it; returns when every connection has ended,
/// or after the longest deadline of any class. `taken_over` is set for a listener that other processes accept
/// on too, and returns whether one of them has taken over; this process then accepts only once it can serve.
pub async fn serve(
    listener: TcpListener,
    taken_over: Option<&dyn Fn() -> bool>,
    shared: Rc<ServerState>,
    mut terminate: Signal,
    max_deadline: impl Fn() -> Duration,
) -> io::Result<()> {
    let mut table_check = interval(TABLE_CHECK_INTERVAL);
    table_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let (has_capacity, state) = (shared.connections.has_capacity(), shared.serving_state.get());
        let accepts = state.accepts_connections(shared.clock.now()) && !shared.awaiting_takeover.get();
        let closes_at = state.closes_at().map(|at| Instant::from_std(shared.clock.instant(at)));
        tokio::select! {
            accepted = listener.accept(), if has_capacity && accepts => match accepted {
                Ok((stream, _)) => open(stream, &shared, state.is_shutting_down()),
                // Out of descriptors, or the client has disconnected: neither ends the service.
                Err(error) => {
                    eprintln!("accept: {error}");
                    sleep(Duration::from_millis(5)).await;
                }
            },
            () = shared.connections.freed.notified(), if !has_capacity => {}
            _ = table_check.tick() => {
                shared.connections.close_overdue();
                if shared.serving_state.get().idle_policy(shared.clock.now()) == IdlePolicy::CloseWithoutInput {
                    shared.connections.close_idle();
                }
            }
            _ = terminate.recv(), if !state.is_shutting_down() => {
                if taken_over.is_some_and(|taken_over| taken_over()) {
                    shared.update_state(|state, _| state.on_taken_over());
                }
                shared.update_state(ServingState::shut_down);
                // Idle connections close now: a client whose request is sent while the
                // connection is being closed can still reconnect.
                if shared.serving_state.get().idle_policy(shared.clock.now()) == IdlePolicy::CloseAll {
                    shared.closing.send_replace(());
                }
            }
            () = until(closes_at) => break,
        }
    }
    drop(listener);
    shared.closing.send_replace(());
    let all_ended = async {
        while shared.connections.count() > 0 {
            shared.connections.freed.notified().await;
        }
    };
    // By then every accepted request has been answered; what is left are incomplete requests.
    let _ = timeout(max_deadline(), all_ended).await;
    Ok(())
}

async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Serves one connection in a task of its own, so that its failure affects no other.
fn open(stream: TcpStream, shared: &Rc<ServerState>, closes_after_first_request: bool) {
    let mut closing = shared.closing.subscribe();
    let socket = Socket::for_client(stream);
    let shared = shared.clone();
    // Returning closes the connection: no unassigned connection could be closed to make room.
    let Some((client, guard)) = shared.connections.register(socket.clone()) else { return };
    let (connection, unassigned_tasks) = (client.clone(), shared.unassigned_tasks.clone());
    let connection_task = async move {
        let _guard = guard;
        let must_discard_input = Cell::new(false);
        let broken = {
            let service = service_fn(|request| {
                let (shared, client, must_discard_input) = (shared.clone(), &client, &must_discard_input);
                async move {
                    client.set_stage(Stage::Open);
                    let answer = handle_request(&shared, client, must_discard_input, request).await;
                    if !answer.as_ref().is_ok_and(|response| response.body().is_streaming()) {
                        client.set_stage(Stage::Idle);
                    }
                    // A connection that is kept alive occupies the table for at least 2 s, even if its client
                    // has no further request, and a full table blocks all other clients. Closing guards against
                    // many clients with few requests each; clients with many pay a handshake per request.
                    let answer = match answer {
                        Ok(response)
                            if shared.connections.is_crowded()
                                || !shared.serving_state.get().keeps_connections() =>
                        {
                            Ok(with_connection_close(response))
                        }
                        answer => answer,
                    };
                    // After a bad request the connection is closed: what follows may be the rest of that
                    // request.
                    Ok::<_, Infallible>(answer.unwrap_or_else(|rejection| {
                        must_discard_input.set(true);
                        with_connection_close(rejection_response(&shared, rejection))
                    }))
                }
            });
            let mut builder = http1::Builder::new();
            builder
                .keep_alive(!closes_after_first_request)
                .auto_date_header(false)
                .max_buf_size(MAX_HEAD_BYTES);
            let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
            let mut shutdown_started = false;
            loop {
                tokio::select! {
                    biased;
                    end = connection.as_mut() => break end.is_err(),
                    change = closing.changed(), if !shutdown_started => {
                        shutdown_started = true;
                        if change.is_ok() {
                            connection.as_mut().graceful_shutdown();
                        }
                    }
                }
            }
        };
        if broken || must_discard_input.get() {
            client.set_stage(Stage::DiscardingInput);
            client.socket.shutdown_write();
            tokio::select! {
                () = client.socket.drain(MAX_DISCARDED_BYTES) => {}
                // Shutdown does not wait for clients whose request was rejected.
                _ = closing.changed() => {}
            }
        }
    };
    match unassigned_tasks {
        Some(unassigned_tasks) => {
            migrating_task::spawn(&unassigned_tasks, Box::pin(connection_task), connection);
        }
        None => connection.set_task(tasks::spawn(connection_task)),
    }
}

/// Handles a request. The error is the reason for which a bad request is rejected; its connection is closed.
async fn handle_request(
    shared: &Rc<ServerState>,
    client: &Rc<ClientConnection>,
    must_discard_input: &Cell<bool>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Rejection> {
    let (head, body) = request.into_parts();
    // Has to be called for every head, in order.
    if !client.socket.next_head_is_unambiguous() && head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(bad_request("transfer-encoding: beside a content-length"));
    }
    if head.uri.path() == "/-/ready" && !head.headers.contains_key(TRANSFER_ENCODING) {
        let ready = shared.is_ready();
        return Ok(empty_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
    }
    let RouteMatch { pool, uri, class, tenant } = shared.router.find(&head)?;
    // The member whose capacity the request uses.
    let member = tenant.as_ref().map_or(pool.member, |tenant| tenant.member());
    let set = || tenant.as_ref().map_or_else(|| pool.set.clone(), |tenant| tenant.task_set());
    if !shared.connections.assign(client, member, set) {
        return Ok(with_connection_close(empty_response(StatusCode::SERVICE_UNAVAILABLE)));
    }
    let rules = pool.rules();
    let mut terms = validate_head(&rules, &head, class, tenant.is_some())?;
    // Kept until the response is complete: a routing table that is replaced meanwhile does not affect this
    // request.
    let Some(_open_request) = pool.open_request() else {
        return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    };
    let _open_tenant_request = match &tenant {
        None => None,
        Some(tenant) => match tenant.admit(pool.member, &account_name(&head.headers)) {
            Ok(admitted) => {
                (terms.plan, terms.customer) = (admitted.plan, admitted.customer_id);
                Some(admitted.open_request)
            }
            Err(rejection) if rejection.code == StatusCode::SERVICE_UNAVAILABLE => {
                return Ok(with_connection_close(rejection_response(shared, rejection)));
            }
            Err(rejection) => return Err(rejection),
        },
    };
    let Some(reservation) = pool.reserve_bytes(member, body.size_hint().lower()) else {
        return Ok(with_connection_close(empty_response(StatusCode::SERVICE_UNAVAILABLE)));
    };
    let body = read_body(&rules, &head, body, shared.clock).await?;
    let upload = body.upload().cloned();
    // The client's time budget starts with the last byte of its request.
    let arrived_at = shared.clock.now();
    let client_request_id = terms.client_request_id.unwrap_or_else(|| generate_request_id(shared));
    let Some(mut registered) = pool.register_request(&client_request_id) else {
        return Err(Rejection { code: StatusCode::BAD_REQUEST, reason: "req-id: that of an open request" });
    };
    let (mut plan, mut customer, mut precheck_pass) = (terms.plan, terms.customer, None);
    if let Some(precheck) = pool.precheck(terms.attempt_name.is_some(), || plan) {
        let precheck_request = PrecheckRequest {
            source: Source::Request,
            customer,
            units: terms.units,
            attempt_name: terms.attempt_name,
            account: tenant.as_ref().map_or_else(
                || account_name(&head.headers),
                |tenant| tenant.qualified_account(&account_name(&head.headers)),
            ),
            plan: rules.plans[usize::from(plan)].clone(),
            class: Some(rules.classes[usize::from(terms.class)].clone()),
            arrived_at,
            timeout: terms.timeout,
        };
        match precheck.run(precheck_request).await {
            PrecheckOutcome::Pass(passed) => {
                if passed.already_counted {
                    // The request is forwarded under a customer id and a plan without a quota.
                    (plan, customer) =
                        (rules.uncounted_plan().unwrap_or(plan), customer ^ ALREADY_COUNTED_BIT);
                }
                precheck_pass = Some(passed);
            }
            PrecheckOutcome::OverLimit { retry_after } => {
                registered.finished = true;
                return Ok(retry_later_response(StatusCode::TOO_MANY_REQUESTS, retry_after));
            }
            PrecheckOutcome::Unavailable { retry_after } => {
                registered.finished = true;
                return Ok(retry_later_response(StatusCode::SERVICE_UNAVAILABLE, retry_after));
            }
        }
    }
    let (reply, answered) = oneshot::channel();
    let forward = Some(Rc::new(ForwardedRequest {
        method: head.method,
        uri,
        client_request_id,
        body,
        _reservation: Some(reservation),
    }));
    let request = ClientRequest {
        id: registered.id,
        arrived_at,
        timeout: terms.timeout,
        class: terms.class,
        plan,
        customer,
        units: terms.units,
        gateway_count: terms.gateway_count,
        first_gateway: terms.first_gateway,
        is_retry: terms.is_retry,
        forward,
        claim: precheck_pass.as_ref().and_then(|precheck_pass| precheck_pass.claim),
        charged_member: tenant.as_ref().map(|_| member),
        reply,
    };
    if !pool.send(Message::Request(request)) {
        registered.finished = true;
        return Ok(empty_response(StatusCode::INTERNAL_SERVER_ERROR));
    }
    let reply = match &upload {
        None => answered.await,
        Some(upload) => tokio::select! {
            reply = answered => reply,
            () = upload.stalled() => return Err(BODY_TIMED_OUT),
        },
    };
    // The rest of the upload is read and discarded: a client that is still writing would not see the response.
    if upload.is_some_and(|upload| upload.ended_at().is_none()) {
        must_discard_input.set(true);
    }
    let reply = reply.unwrap_or(Reply { answer: ClientAnswer::Failed, quota: None });
    registered.finished = true;
    if let Some(precheck_pass) = &mut precheck_pass {
        // A refused request has not run on any backend.
        precheck_pass.finish(!matches!(reply.answer, ClientAnswer::Refused { .. }));
    }
    let response = build_response(&pool, member, reply, client);
    Ok(if must_discard_input.get() { with_connection_close(response) } else { response })
}

/// Generates an id for a request whose client gave none: `v` and a number of 16 hexadecimal digits.
fn generate_request_id(shared: &ServerState) -> HeaderValue {
    let name = shared.next_generated_id.replace(shared.next_generated_id.get() + 1);
    HeaderValue::from_str(&format!("v{name:016x}")).unwrap_or(HeaderValue::from_static("v"))
}

fn build_response(
    pool: &Pool,
    member: Member,
    reply: Reply,
    client: &Rc<ClientConnection>,
) -> Response<ResponseBody> {
    let mut response = match reply.answer {
        ClientAnswer::Complete(body) => {
            let reservation = pool.reserve_bytes_unchecked(member, body.len() as u64);
            Response::new(ResponseBody::new(body, Some(reservation)))
        }
        ClientAnswer::Streaming(first, rest) => {
            Response::new(ResponseBody::streaming(first, rest, ResponseInProgress(client.clone())))
        }
        ClientAnswer::Failed | ClientAnswer::Admitted => empty_response(StatusCode::BAD_GATEWAY),
        ClientAnswer::Refused { retry_after: 0 } => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        // The decision module sets `retry_after` only where the quota has refilled by then.
        ClientAnswer::Refused { retry_after } => {
            retry_later_response(StatusCode::TOO_MANY_REQUESTS, retry_after)
        }
    };
    if let Some(quota) = &reply.quota {
        quota_headers::write(response.headers_mut(), pool.quota_headers.get(), quota);
    }
    response
}

/// An empty response with `Retry-After` if that time is known.
fn retry_later_response(code: StatusCode, retry_after: Micros) -> Response<ResponseBody> {
    let mut response = empty_response(code);
    if retry_after > 0 {
        let retry_after_seconds = format!("{:.3}", (retry_after as f64 / 1e3).ceil() / 1e3);
        if let Ok(value) = HeaderValue::from_str(&retry_after_seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// The response to a rejected request, with the reason as its body, except in a process with a single pool
/// (the platform's program).
fn rejection_response(shared: &ServerState, rejection: Rejection) -> Response<ResponseBody> {
    let mut response = empty_response(rejection.code);
    if shared.router.includes_rejection_reason() {
        *response.body_mut() = ResponseBody::new(Bytes::from(format!("{}\n", rejection.reason)), None);
    }
    response
}

/// A response without a body.
fn empty_response(code: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::default());
    *response.status_mut() = code;
    response
}

/// Marks a response as the last one on its connection.
fn with_connection_close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
