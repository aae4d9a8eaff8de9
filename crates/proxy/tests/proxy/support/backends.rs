//! Backends that behave as a test scripts them, byte for byte.

pub(crate) use super::http::{ok_response, raw_response, ReceivedRequest};
use super::http::{read_head, read_request};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{timeout, Instant};
use violetyoke_transport::messages;
use violetyoke_transport::net::{listen, Stream};

/// What a backend does once it has received a whole request.
#[derive(Clone, Debug)]
pub(crate) enum Behavior {
    /// Sends these bytes and waits for the next request.
    Respond(String),
    /// Sends these bytes and closes.
    RespondAndClose(String),
    /// Closes its sending direction alone, and keeps reading.
    HalfClose,
    /// Never responds.
    Hang,
    /// Responds after this time, unless the connection is closed before.
    RespondAfter(Duration, String),
}

impl Behavior {
    /// A script that responds to each request with this body.
    pub(crate) fn respond_ok(
        body: &'static str,
    ) -> impl FnMut(&ReceivedRequest) -> Behavior + Clone + 'static {
        move |request| Behavior::Respond(ok_response(&request.attempt_id, body))
    }
}

type Script = Rc<RefCell<dyn FnMut(&ReceivedRequest) -> Behavior>>;

#[derive(Clone)]
pub(crate) struct Backend {
    id: &'static str,
    service: &'static str,
    zone: &'static str,
    address: SocketAddrV4,
    received: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// Connections that were opened to it, with requests or without.
    connections_opened: Rc<Cell<usize>>,
    /// The ids of requests whose connection was closed before their response, and when.
    broken_off: Rc<RefCell<Vec<(String, Instant)>>>,
}

impl Backend {
    /// A backend that is listed, and at whose address nothing listens.
    pub(crate) fn unreachable(id: &'static str, service: &'static str, number: u8) -> Backend {
        let address = SocketAddrV4::new([10, 8, 0, number].into(), 8080);
        Backend {
            id,
            service,
            zone: "a",
            address,
            received: Rc::default(),
            connections_opened: Rc::default(),
            broken_off: Rc::default(),
        }
    }

    /// Starts a backend; `number` distinguishes its address.
    pub(crate) fn start(
        id: &'static str,
        service: &'static str,
        number: u8,
        script: impl FnMut(&ReceivedRequest) -> Behavior + 'static,
    ) -> Backend {
        let backend = Backend::unreachable(id, service, number);
        let listener = listen(backend.address.into()).expect("a listener");
        let (received, script): (_, Script) = (backend.received.clone(), Rc::new(RefCell::new(script)));
        let (connections_opened, broken_off) =
            (backend.connections_opened.clone(), backend.broken_off.clone());
        tokio::task::spawn_local(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                connections_opened.set(connection);
                let observers = Observers { received: received.clone(), broken_off: broken_off.clone() };
                tokio::task::spawn_local(serve(stream, connection, observers, script.clone()));
            }
        });
        backend
    }

    /// Starts the only backend of the service `finder`, whose requests may be retried.
    pub(crate) fn finder(script: impl FnMut(&ReceivedRequest) -> Behavior + 'static) -> Backend {
        Backend::start("finder-1", "finder", 1, script)
    }

    /// Starts the backend `ledger-1`, which responds as soon as it has a request's head, keeps the connection, and takes
    /// what follows for the rest of the body.
    pub(crate) fn early_ledger(mut response: impl FnMut(&str) -> String + 'static) -> Backend {
        let backend = Backend::unreachable("ledger-1", "ledger", 1);
        let listener = listen(backend.address.into()).expect("a listener");
        let received = backend.received.clone();
        tokio::task::spawn_local(async move {
            let mut connection = 0;
            let mut kept = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                connection += 1;
                let mut buffer = Vec::new();
                let Some(mut request) = read_head(&mut stream, &mut buffer).await else { continue };
                request.connection = connection;
                received.borrow_mut().push(request.clone());
                drop(stream.write_all(response(&request.attempt_id).as_bytes()).await);
                kept.push(tokio::task::spawn_local(drain(stream)));
            }
        });
        backend
    }

    /// Starts the backend `ledger-1`, which books a room for each request.
    pub(crate) fn booking_ledger() -> Backend {
        Backend::ledger(1, |request| {
            let id = &request.attempt_id;
            let headers = format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\nx-room: 12\r\n");
            Behavior::Respond(raw_response(201, &headers, "booked"))
        })
    }

    /// Starts one of two backends of the service `ledger`, whose requests may run only once.
    pub(crate) fn ledger(number: u8, script: impl FnMut(&ReceivedRequest) -> Behavior + 'static) -> Backend {
        let ids = ["", "ledger-1", "ledger-2"];
        Backend::start(ids[usize::from(number)], "ledger", number, script)
    }

    /// The same backend in another zone.
    pub(crate) fn in_zone(self, zone: &'static str) -> Backend {
        Backend { zone, ..self }
    }

    /// The number of connections that were opened to it so far.
    pub(crate) fn connections_opened(&self) -> usize {
        self.connections_opened.get()
    }

    /// When the connection of a request was closed before its response.
    pub(crate) fn disconnected_at(&self, attempt_id: &str) -> Option<Instant> {
        self.broken_off.borrow().iter().find(|(id, _)| id == attempt_id).map(|(_, at)| *at)
    }

    /// What a request's `X-Deadline-Ms` said, each time that it came.
    pub(crate) fn deadlines_ms(&self, attempt_id: &str) -> Vec<u64> {
        let received = self.received.borrow();
        received.iter().filter(|it| it.attempt_id == attempt_id).map(|it| it.deadline_ms).collect()
    }

    /// Its entry in the platform's list.
    pub(crate) fn list_entry(&self) -> messages::Backend {
        messages::Backend {
            id: self.id.into(),
            service: self.service.into(),
            address: self.address,
            zone: self.zone.into(),
            slots: 4,
            draining: false,
            slow_start_left_ms: 0,
        }
    }

    /// All requests so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.borrow().clone()
    }

    /// The connections on which requests came, one for each request.
    pub(crate) fn connections_used(&self) -> Vec<usize> {
        self.received.borrow().iter().map(|request| request.connection).collect()
    }

    /// How often a request came.
    pub(crate) fn times_received(&self, attempt_id: &str) -> usize {
        self.received.borrow().iter().filter(|request| request.attempt_id == attempt_id).count()
    }
}

/// What a backend notes of its requests.
struct Observers {
    received: Rc<RefCell<Vec<ReceivedRequest>>>,
    broken_off: Rc<RefCell<Vec<(String, Instant)>>>,
}

async fn serve(mut stream: Stream, connection: usize, observers: Observers, script: Script) {
    let mut buffer = Vec::new();
    while let Some(mut request) = read_request(&mut stream, &mut buffer).await {
        request.connection = connection;
        observers.received.borrow_mut().push(request.clone());
        let behavior = (script.borrow_mut())(&request);
        // Writes fail where the proxy has closed first, which the next read finds.
        match behavior {
            Behavior::Respond(text) => drop(stream.write_all(text.as_bytes()).await),
            Behavior::RespondAndClose(text) => {
                drop(stream.write_all(text.as_bytes()).await);
                return;
            }
            Behavior::HalfClose => drop(stream.shutdown().await),
            Behavior::Hang => std::future::pending().await,
            Behavior::RespondAfter(time, text) => {
                // The proxy sends nothing until it has the response: what is read is the end of the connection.
                if timeout(time, stream.read_buf(&mut buffer)).await.is_ok() {
                    let mut broken_off = observers.broken_off.borrow_mut();
                    return broken_off.push((request.attempt_id, Instant::now()));
                }
                drop(stream.write_all(text.as_bytes()).await);
            }
        }
    }
}

/// Reads until the connection ends.
async fn drain(mut stream: Stream) {
    let mut buffer = Vec::new();
    while stream.read_buf(&mut buffer).await.is_ok_and(|count| count > 0) {
        buffer.clear();
    }
}
