//! Clients: their connections, what a well-formed request is, and the end of service on SIGTERM.

use super::connections::{ClientConnection, ConnectionTable, Stage};
use super::pool::{Pool, ResponseBody};
use super::precheck::{PrecheckOutcome, PrecheckRequest};
use super::quota_headers;
use super::request::{account_name, bad_request, body as body_of, check, Rejection, BODY_TIMED_OUT};
use super::roaming;
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

/// Connections waiting to be accepted.
const BACKLOG: u32 = 1024;
/// How often the table of connections is looked through.
const TIDY: Duration = Duration::from_millis(100);
/// The longest head; a longer one is answered 431.
const LARGEST_HEAD: usize = 16 * 1024;
/// What is read and forgotten of a request that was turned down, at most.
const MOST_DRAINED: u64 = 80 * 1024 * 1024;

/// Tells an account's requests that were counted elsewhere from those that are counted here.
const COUNTED: u64 = 1 << 63;

/// What all client connections share.
pub struct ServerState {
    pub router: Router,
    clock: Clock,
    pub connections: Rc<ConnectionTable>,
    /// Where connections are until they carry a request, if their tasks move.
    door: Option<Rc<TaskSet>>,
    /// Ids for requests whose clients gave them none.
    next_name: Cell<u64>,
    /// How this process stands to its clients.
    pub serving_state: Cell<ServingState>,
    /// Set until an older process that serves the same clients has been told to leave them to this one.
    pub awaiting_takeover: Cell<bool>,
    /// Told to connections that are to end with what they have.
    closing: watch::Sender<()>,
}

impl ServerState {
    pub fn new(
        router: Router,
        clock: Clock,
        connections: Rc<ConnectionTable>,
        door: Option<Rc<TaskSet>>,
    ) -> ServerState {
        let next_name = Cell::new(clock.now());
        let (closing, _) = watch::channel(());
        ServerState {
            router,
            clock,
            connections,
            door,
            next_name,
            serving_state: Cell::default(),
            awaiting_takeover: Cell::new(false),
            closing,
        }
    }

    /// Changes how this process stands to its clients.
    pub fn update_state(&self, change: impl FnOnce(&mut ServingState, Micros)) {
        let mut state = self.serving_state.get();
        change(&mut state, self.clock.now());
        if state != self.serving_state.replace(state) {
            eprintln!("clients: {state:?}");
        }
    }

    /// Whether it takes clients, as whoever deals them out asks.
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

/// Accepts until SIGTERM and a while longer; returns when every connection has ended, or the longest
/// deadline has passed for whatever was still taken. A listener that other processes accept on too (`passed`
/// tells whether one of them has taken over) is left to them until this one can serve.
pub async fn serve(
    listener: TcpListener,
    passed: Option<&dyn Fn() -> bool>,
    shared: Rc<ServerState>,
    mut terminate: Signal,
    longest: impl Fn() -> Duration,
) -> io::Result<()> {
    let mut tidy = interval(TIDY);
    tidy.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let (room, state) = (shared.connections.has_capacity(), shared.serving_state.get());
        let takes = state.accepts_connections(shared.clock.now()) && !shared.awaiting_takeover.get();
        let closes_at = state.closes_at().map(|at| Instant::from_std(shared.clock.instant(at)));
        tokio::select! {
            accepted = listener.accept(), if room && takes => match accepted {
                Ok((stream, _)) => open(stream, &shared, state.is_shutting_down()),
                // Out of descriptors, or a client gone already: neither ends the service.
                Err(error) => {
                    eprintln!("accept: {error}");
                    sleep(Duration::from_millis(5)).await;
                }
            },
            () = shared.connections.freed.notified(), if !room => {}
            _ = tidy.tick() => {
                shared.connections.close_overdue();
                if shared.serving_state.get().idle_policy(shared.clock.now()) == IdlePolicy::CloseQuiet {
                    shared.connections.close_idle();
                }
            }
            _ = terminate.recv(), if !state.is_shutting_down() => {
                if passed.is_some_and(|taken_over| taken_over()) {
                    shared.update_state(|state, _| state.on_taken_over());
                }
                shared.update_state(ServingState::shut_down);
                // Idle connections close now, while a request that crosses this still finds a listener.
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
    // By then all that was taken has its answer: what is left is half a request that may never be whole.
    let _ = timeout(longest(), all_ended).await;
    Ok(())
}

async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Serves one connection in a task of its own; its failure ends nothing else.
fn open(stream: TcpStream, shared: &Rc<ServerState>, last: bool) {
    let mut closing = shared.closing.subscribe();
    let socket = Socket::for_client(stream);
    let shared = shared.clone();
    // Dropped, the connection is closed: there is nobody among those without a request who could make room.
    let Some((place, ticket)) = shared.connections.register(socket.clone()) else { return };
    let (entry, door) = (place.clone(), shared.door.clone());
    let work = async move {
        let _ticket = ticket;
        let turned_down = Cell::new(false);
        let broken = {
            let service = service_fn(|request| {
                let (shared, place, turned_down) = (shared.clone(), &place, &turned_down);
                async move {
                    place.set_stage(Stage::Open);
                    let answer = answer(&shared, place, turned_down, request).await;
                    if !answer.as_ref().is_ok_and(|response| response.body().is_long()) {
                        place.set_stage(Stage::Idle);
                    }
                    // A kept connection holds its place for 2 s at least, whether or not its client has more to
                    // ask: a table full of those that haven't keeps everybody else waiting. Guards against any
                    // crowd of clients with little to ask each; costs those with much a handshake a request.
                    let answer = match answer {
                        Ok(response)
                            if shared.connections.is_crowded()
                                || !shared.serving_state.get().keeps_connections() =>
                        {
                            Ok(close(response))
                        }
                        answer => answer,
                    };
                    // A client that sent one bad request is not listened to any further: what follows may be
                    // the rest of it.
                    Ok::<_, Infallible>(answer.unwrap_or_else(|rejection| {
                        turned_down.set(true);
                        close(turned_away(&shared, rejection))
                    }))
                }
            });
            let mut builder = http1::Builder::new();
            builder.keep_alive(!last).auto_date_header(false).max_buf_size(LARGEST_HEAD);
            let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
            let mut told = false;
            loop {
                tokio::select! {
                    biased;
                    end = connection.as_mut() => break end.is_err(),
                    change = closing.changed(), if !told => {
                        told = true;
                        if change.is_ok() {
                            connection.as_mut().graceful_shutdown();
                        }
                    }
                }
            }
        };
        if broken || turned_down.get() {
            place.set_stage(Stage::Draining);
            place.socket.shutdown_write();
            tokio::select! {
                () = place.socket.drain(MOST_DRAINED) => {}
                // Once told to end, the program waits for nobody who was turned down.
                _ = closing.changed() => {}
            }
        }
    };
    match door {
        Some(door) => roaming::start(&door, Box::pin(work), entry),
        None => entry.set_task(tasks::spawn(work)),
    }
}

/// The answer to a request, or why a bad one is turned down for good.
async fn answer(
    shared: &Rc<ServerState>,
    place: &Rc<ClientConnection>,
    turned_down: &Cell<bool>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Rejection> {
    let (head, body) = request.into_parts();
    // Asked of every head, in their order.
    if !place.socket.next_head_is_unambiguous() && head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(bad_request("transfer-encoding: beside a content-length"));
    }
    if head.uri.path() == "/-/ready" && !head.headers.contains_key(TRANSFER_ENCODING) {
        let ready = shared.is_ready();
        return Ok(status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
    }
    let RouteMatch { pool, uri, class, tenant } = shared.router.find(&head)?;
    // Whose room it takes.
    let member = tenant.as_ref().map_or(pool.member, |tenant| tenant.member());
    let set = || tenant.as_ref().map_or_else(|| pool.set.clone(), |tenant| tenant.set());
    if !shared.connections.assign(place, member, set) {
        return Ok(close(status(StatusCode::SERVICE_UNAVAILABLE)));
    }
    let rules = pool.rules();
    let mut terms = check(&rules, &head, class, tenant.is_some())?;
    // Held until the answer is there: a table that is replaced meanwhile changes nothing for this request.
    let Some(_entry) = pool.open_request() else { return Ok(status(StatusCode::SERVICE_UNAVAILABLE)) };
    let _admitted = match &tenant {
        None => None,
        Some(tenant) => match tenant.admit(pool.member, &account_name(&head.headers)) {
            Ok(admitted) => {
                (terms.plan, terms.customer) = (admitted.plan, admitted.customer);
                Some(admitted.place)
            }
            Err(rejection) if rejection.code == StatusCode::SERVICE_UNAVAILABLE => {
                return Ok(close(turned_away(shared, rejection)));
            }
            Err(rejection) => return Err(rejection),
        },
    };
    let Some(held) = pool.reserve_bytes(member, body.size_hint().lower()) else {
        return Ok(close(status(StatusCode::SERVICE_UNAVAILABLE)));
    };
    let body = body_of(&rules, &head, body, shared.clock).await?;
    let upload = body.upload().cloned();
    // A client's time counts from its request's last byte.
    let arrived_at = shared.clock.now();
    let wire_id = terms.wire_id.unwrap_or_else(|| own_name(shared));
    let Some(mut named) = pool.register_request(&wire_id) else {
        return Err(Rejection { code: StatusCode::BAD_REQUEST, reason: "req-id: that of an open request" });
    };
    let (mut plan, mut customer, mut pass) = (terms.plan, terms.customer, None);
    if let Some(precheck) = pool.precheck(terms.attempt_name.is_some(), || plan) {
        let about = PrecheckRequest {
            source: Source::Request,
            customer,
            units: terms.units,
            attempt_name: terms.attempt_name,
            account: tenant.as_ref().map_or_else(
                || account_name(&head.headers),
                |tenant| tenant.account(&account_name(&head.headers)),
            ),
            plan: rules.plans[usize::from(plan)].clone(),
            class: Some(rules.classes[usize::from(terms.class)].clone()),
            arrived_at,
            budget: terms.budget,
        };
        match precheck.run(about).await {
            PrecheckOutcome::Pass(passed) => {
                if passed.already_counted {
                    // It goes on, under a name of its own that has no quota.
                    (plan, customer) = (rules.uncounted_plan().unwrap_or(plan), customer ^ COUNTED);
                }
                pass = Some(passed);
            }
            PrecheckOutcome::OverLimit { retry_after } => {
                named.over = true;
                return Ok(turned_back(StatusCode::TOO_MANY_REQUESTS, retry_after));
            }
            PrecheckOutcome::Unavailable { retry_after } => {
                named.over = true;
                return Ok(turned_back(StatusCode::SERVICE_UNAVAILABLE, retry_after));
            }
        }
    }
    let (reply, answered) = oneshot::channel();
    let forward =
        Some(Rc::new(ForwardedRequest { method: head.method, uri, wire_id, body, _held: Some(held) }));
    let request = ClientRequest {
        id: named.id,
        arrived_at,
        budget: terms.budget,
        class: terms.class,
        plan,
        customer,
        units: terms.units,
        spread: terms.spread,
        first_ingress: terms.first,
        is_retry: terms.is_retry,
        forward,
        claim: pass.as_ref().and_then(|pass| pass.claim),
        charged_member: tenant.as_ref().map(|_| member),
        reply,
    };
    if !pool.send(Message::Request(request)) {
        named.over = true;
        return Ok(status(StatusCode::INTERNAL_SERVER_ERROR));
    }
    let reply = match &upload {
        None => answered.await,
        Some(upload) => tokio::select! {
            reply = answered => reply,
            () = upload.stalled() => return Err(BODY_TIMED_OUT),
        },
    };
    // What is left of it is read and forgotten: a client that still writes would not see its answer.
    if upload.is_some_and(|upload| upload.ended_at().is_none()) {
        turned_down.set(true);
    }
    let reply = reply.unwrap_or(Reply { answer: ClientAnswer::Failed, standing: None });
    named.over = true;
    if let Some(pass) = &mut pass {
        // Refused, it has run nowhere.
        pass.finish(!matches!(reply.answer, ClientAnswer::Refused { .. }));
    }
    let response = written(&pool, member, reply, place);
    Ok(if turned_down.get() { close(response) } else { response })
}

/// An id of this ingress's own, for a client that gave none.
fn own_name(shared: &ServerState) -> HeaderValue {
    let name = shared.next_name.replace(shared.next_name.get() + 1);
    HeaderValue::from_str(&format!("v{name:016x}")).unwrap_or(HeaderValue::from_static("v"))
}

fn written(
    pool: &Pool,
    member: Member,
    reply: Reply,
    place: &Rc<ClientConnection>,
) -> Response<ResponseBody> {
    let mut response = match reply.answer {
        ClientAnswer::Complete(body) => {
            let held = pool.reserve_bytes_unchecked(member, body.len() as u64);
            Response::new(ResponseBody::new(body, Some(held)))
        }
        ClientAnswer::Streaming(first, rest) => {
            Response::new(ResponseBody::long(first, rest, ResponseInProgress(place.clone())))
        }
        ClientAnswer::Failed | ClientAnswer::Admitted => status(StatusCode::BAD_GATEWAY),
        ClientAnswer::Refused { retry_after: 0 } => status(StatusCode::SERVICE_UNAVAILABLE),
        // The module names a time to come back only where the quota refills by then.
        ClientAnswer::Refused { retry_after } => turned_back(StatusCode::TOO_MANY_REQUESTS, retry_after),
    };
    if let Some(standing) = &reply.standing {
        quota_headers::write(response.headers_mut(), pool.quota_headers.get(), standing);
    }
    response
}

/// A refusal, with the time after which to come back where one is known.
fn turned_back(code: StatusCode, retry_after: Micros) -> Response<ResponseBody> {
    let mut response = status(code);
    if retry_after > 0 {
        let seconds = format!("{:.3}", (retry_after as f64 / 1e3).ceil() / 1e3);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Why a request is turned down: in words too, where clients are not the platform's.
fn turned_away(shared: &ServerState, rejection: Rejection) -> Response<ResponseBody> {
    let mut response = status(rejection.code);
    if shared.router.explains_errors() {
        *response.body_mut() = ResponseBody::new(Bytes::from(format!("{}\n", rejection.reason)), None);
    }
    response
}

fn status(code: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::default());
    *response.status_mut() = code;
    response
}

fn close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
