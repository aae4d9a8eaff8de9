//! Scripted backends. Tests determine each byte of their responses.

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

/// What a backend does after it has received a complete request.
#[derive(Clone, Debug)]
pub(crate) enum Behavior {
    /// Sends these bytes and waits for the next request.
    Respond(String),
    /// Sends these bytes and closes the connection.
    RespondAndClose(String),
    /// Closes only its sending direction and continues to read.
    HalfClose,
    /// Never responds.
    Hang,
    /// Responds after this time, unless the proxy closes the connection before.
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
    /// Number of connections that were opened to the backend, with or without requests.
    connections_opened: Rc<Cell<usize>>,
    /// The attempt ids of requests whose connection was closed before their response, with the time of the
    /// close.
    disconnected: Rc<RefCell<Vec<(String, Instant)>>>,
}

impl Backend {
    /// A listed backend without a listener at its address.
    pub(crate) fn unreachable(id: &'static str, service: &'static str, number: u8) -> Backend {
        let address = SocketAddrV4::new([10, 8, 0, number].into(), 8080);
        Backend {
            id,
            service,
            zone: "a",
            address,
            received: Rc::default(),
            connections_opened: Rc::default(),
            disconnected: Rc::default(),
        }
    }

    /// Starts a backend whose address is distinguished by `number`.
    pub(crate) fn start(
        id: &'static str,
        service: &'static str,
        number: u8,
        script: impl FnMut(&ReceivedRequest) -> Behavior + 'static,
    ) -> Backend {
        let backend = Backend::unreachable(id, service, number);
        let listener = listen(backend.address.into()).expect("a listener");
        let (received, script): (_, Script) = (backend.received.clone(), Rc::new(RefCell::new(script)));
        let (connections_opened, disconnected) =
            (backend.connections_opened.clone(), backend.disconnected.clone());
        tokio::task::spawn_local(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                connections_opened.set(connection);
                let records =
                    RequestRecords { received: received.clone(), disconnected: disconnected.clone() };
                tokio::task::spawn_local(serve(stream, connection, records, script.clone()));
            }
        });
        backend
    }

    /// Starts the only backend of the service `finder`, whose requests are idempotent.
    pub(crate) fn finder(script: impl FnMut(&ReceivedRequest) -> Behavior + 'static) -> Backend {
        Backend::start("finder-1", "finder", 1, script)
    }

    /// Starts the backend `ledger-1`, which responds as soon as it has received a request's head. It keeps
    /// the connection open and discards all further bytes as the rest of the body.
    pub(crate) fn early_responding_ledger(mut response: impl FnMut(&str) -> String + 'static) -> Backend {
        let backend = Backend::unreachable("ledger-1", "ledger", 1);
        let listener = listen(backend.address.into()).expect("a listener");
        let received = backend.received.clone();
        tokio::task::spawn_local(async move {
            let mut connection = 0;
            let mut drain_tasks = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                connection += 1;
                let mut buffer = Vec::new();
                let Some(mut request) = read_head(&mut stream, &mut buffer).await else { continue };
                request.connection = connection;
                received.borrow_mut().push(request.clone());
                drop(stream.write_all(response(&request.attempt_id).as_bytes()).await);
                drain_tasks.push(tokio::task::spawn_local(drain(stream)));
            }
        });
        backend
    }

    /// Starts the backend `ledger-1`, which responds to each request with a booked room.
    pub(crate) fn booking_ledger() -> Backend {
        Backend::ledger(1, |request| {
            let id = &request.attempt_id;
            let headers = format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\nx-room: 12\r\n");
            Behavior::Respond(raw_response(201, &headers, "booked"))
        })
    }

    /// Starts one of two backends of the service `ledger`, whose requests are not idempotent.
    pub(crate) fn ledger(number: u8, script: impl FnMut(&ReceivedRequest) -> Behavior + 'static) -> Backend {
        let ids = ["", "ledger-1", "ledger-2"];
        Backend::start(ids[usize::from(number)], "ledger", number, script)
    }

    /// The same backend in another zone.
    pub(crate) fn in_zone(self, zone: &'static str) -> Backend {
        Backend { zone, ..self }
    }

    /// The number of connections that were opened to the backend so far.
    pub(crate) fn connections_opened(&self) -> usize {
        self.connections_opened.get()
    }

    /// When the connection of a request was closed before its response, if it was.
    pub(crate) fn disconnected_at(&self, attempt_id: &str) -> Option<Instant> {
        self.disconnected.borrow().iter().find(|(id, _)| id == attempt_id).map(|(_, at)| *at)
    }

    /// The values of `X-Deadline-Ms` in all attempts of a request.
    pub(crate) fn deadlines_ms(&self, attempt_id: &str) -> Vec<u64> {
        let received = self.received.borrow();
        received
            .iter()
            .filter(|request| request.attempt_id == attempt_id)
            .map(|request| request.deadline_ms)
            .collect()
    }

    /// The backend's entry in the platform's list.
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

    /// All requests that the backend has received so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.borrow().clone()
    }

    /// The number of the connection of each received request.
    pub(crate) fn connections_used(&self) -> Vec<usize> {
        self.received.borrow().iter().map(|request| request.connection).collect()
    }

    /// How often the backend received a request.
    pub(crate) fn times_received(&self, attempt_id: &str) -> usize {
        self.received.borrow().iter().filter(|request| request.attempt_id == attempt_id).count()
    }
}

/// What a backend records about its requests.
struct RequestRecords {
    received: Rc<RefCell<Vec<ReceivedRequest>>>,
    disconnected: Rc<RefCell<Vec<(String, Instant)>>>,
}

async fn serve(mut stream: Stream, connection: usize, records: RequestRecords, script: Script) {
    let mut buffer = Vec::new();
    while let Some(mut request) = read_request(&mut stream, &mut buffer).await {
        request.connection = connection;
        records.received.borrow_mut().push(request.clone());
        let behavior = (script.borrow_mut())(&request);
        // Writes fail if the proxy has closed the connection. The next read detects that.
        match behavior {
            Behavior::Respond(text) => drop(stream.write_all(text.as_bytes()).await),
            Behavior::RespondAndClose(text) => {
                drop(stream.write_all(text.as_bytes()).await);
                return;
            }
            Behavior::HalfClose => drop(stream.shutdown().await),
            Behavior::Hang => std::future::pending().await,
            Behavior::RespondAfter(time, text) => {
                // The proxy sends nothing before it has the response, so a completed read means that it
                // closed the connection.
                if timeout(time, stream.read_buf(&mut buffer)).await.is_ok() {
                    let mut disconnected = records.disconnected.borrow_mut();
                    return disconnected.push((request.attempt_id, Instant::now()));
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
